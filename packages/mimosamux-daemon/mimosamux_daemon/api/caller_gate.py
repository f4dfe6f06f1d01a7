"""Admits requests to the caller API, as the account of callers allows."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from starlette.types import ASGIApp, Receive, Scope, Send

from mimosamux_daemon.api.errors import outcome_response
from mimosamux_daemon.callers import (
    YIELDED_RETRY_S,
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


@dataclass(kw_only=True, slots=True, eq=False)
class GatedRequest:
    """A request's part in what callers hold, from its head to its answer."""

    account: CallerAccount
    connection: CallerConnection | None
    """None if its connection is not known."""
    body_timeout_s: float
    give_up: Callable[[], None] = lambda: None
    """Ends the wait for its body."""
    has_yielded: bool = False
    holding: RequestHolding = field(init=False)
    _is_working: bool = False

    def __post_init__(self) -> None:
        self.holding = self.account.hold_request(self._yield)

    def _yield(self) -> None:
        self.has_yielded = True
        self.give_up()

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
        try:
            if request.begin(has_body=_has_body(scope)):
                scope[GATED_REQUEST] = request
                await self.app(scope, receive, send)
            else:
                await outcome_response(YIELDED)(scope, receive, send)
        finally:
            request.end()


def _has_body(scope: Scope) -> bool:
    return any(
        name.lower() in BODY_HEADERS and value != b'0'
        for name, value in scope['headers']
    )
