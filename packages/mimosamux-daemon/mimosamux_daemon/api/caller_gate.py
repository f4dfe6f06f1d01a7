"""Admits requests to the caller API, as the account of callers allows."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from starlette.types import ASGIApp, Message, Receive, Scope, Send

from mimosamux_daemon.api.errors import outcome_response
from mimosamux_daemon.callers import (
    ANSWER_PART_BYTES,
    YIELDED_RETRY_S,
    AnswerHolding,
    CallerAccount,
    CallerConnection,
    Phase,
    RequestHolding,
)
from mimosamux_daemon.domain.outcomes import Reason, Refused

GATED_REQUEST = 'mimosamux.gated_request'
"""Key of the `GatedRequest` in an ASGI scope."""
BODY_HEADERS = (b'content-length', b'transfer-encoding')
YIELDED = Refused(
    reason=Reason.NO_CAPACITY,
    message='too many requests are arriving; nothing has run',
    retry_after_s=YIELDED_RETRY_S,
)


def give_up_nothing() -> None:
    """Do nothing: no body is awaited."""


@dataclass(kw_only=True, slots=True, eq=False)
class GatedRequest:
    """A request's part in what callers hold, from its head to its answer."""

    account: CallerAccount
    connection: CallerConnection | None
    """None if its connection is not known."""
    body_timeout_s: float
    give_up: Callable[[], None] = give_up_nothing
    """Ends the wait for its body."""
    has_yielded: bool = False
    holding: RequestHolding = field(init=False)
    answer: AnswerHolding = field(init=False)
    _is_working: bool = False

    def __post_init__(self) -> None:
        self.holding = self.account.hold_request(self._yield)
        self.answer = self.account.hold_answer(
            self.holding, self.connection, self._break_off
        )

    def _yield(self) -> None:
        self.has_yielded = True
        self.give_up()

    def _break_off(self) -> None:
        if self.connection is not None:
            self.connection.yield_()

    async def send(self, message: Message, send: Send) -> None:
        """Send a part of the answer, which its caller has to take.

        The server keeps what it is given until then: it gets large parts in
        pieces.
        """
        body = message.get('body', b'')
        for start in range(0, len(body) or 1, ANSWER_PART_BYTES):
            end = start + ANSWER_PART_BYTES
            self.answer.wait(len(body))
            await send(
                {
                    **message,
                    'body': body[start:end],
                    'more_body': end < len(body)
                    or message.get('more_body', False),
                }
            )
        self.answer.go_on()

    def begin(self, *, has_body: bool) -> bool:
        """Note that its head has come; False if it is refused."""
        if not has_body:
            return self.begin_work()
        if self.connection is not None:
            self.connection.enter(Phase.BODY)
        return True

    def begin_work(self) -> bool:
        """Note that it has arrived whole; False if it is refused."""
        if self.connection is None or self._is_working:
            return True
        self._is_working = self.connection.begin_work()
        return self._is_working

    def end(self) -> None:
        """Note that it is answered or given up."""
        self.holding.release()
        self.answer.release()
        if self.connection is None:
            return
        if self._is_working:
            self.connection.end_work()
        else:
            self.connection.enter(Phase.IDLE)


@dataclass(kw_only=True, slots=True)
class CallerGate:
    """ASGI middleware that gives each request its `GatedRequest`."""

    app: ASGIApp
    account: CallerAccount
    find_connection: Callable[[Any], CallerConnection | None]
    """Returns the connection from a client's host and port."""
    body_timeout_s: float

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Run the application, unless too much is held for its request."""
        if scope['type'] != 'http':
            await self.app(scope, receive, send)
            return
        request = GatedRequest(
            account=self.account,
            connection=self.find_connection(scope.get('client')),
            body_timeout_s=self.body_timeout_s,
        )

        async def send_counted(message: Message) -> None:
            if message['type'] == 'http.response.body':
                await request.send(message, send)
            else:
                await send(message)

        try:
            if request.begin(has_body=_has_body(scope)):
                scope[GATED_REQUEST] = request
                await self.app(scope, receive, send_counted)
            else:
                await outcome_response(YIELDED)(scope, receive, send)
        finally:
            request.end()


def _has_body(scope: Scope) -> bool:
    return any(
        name.lower() in BODY_HEADERS and value != b'0'
        for name, value in scope['headers']
    )
