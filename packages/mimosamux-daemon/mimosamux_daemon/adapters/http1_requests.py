"""Reads callers' requests, within what the process may hold for them.

A request whose bytes have all arrived with its head is taken as it is. For any
other the reader asks who sends it and whether it can be served at all, before
it takes the body in; from then on the request may have to yield.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Protocol

import anyio
import h11

from mimosamux_daemon.adapters.http1_channel import BROKEN, READ_BYTES
from mimosamux_daemon.adapters.http1_exchange import IncomingRequest, Reply
from mimosamux_daemon.callers import (
    EVENTS_A_TURN,
    YIELDED_RETRY_S,
    CallerAccount,
    LossCause,
    ParseTurns,
    Phase,
)
from mimosamux_daemon.domain.gateway import ScreenedRequest
from mimosamux_daemon.domain.http_messages import (
    CONTENT_LENGTH,
    TRANSFER_ENCODING,
    RawHeaders,
    RequestHead,
    find_value,
    find_values,
)
from mimosamux_daemon.domain.outcomes import Refused
from mimosamux_daemon.domain.routes import TrafficLimits
from mimosamux_daemon.ports.network import Connection


@dataclass(frozen=True, kw_only=True, slots=True)
class Unreadable:
    """A request that is not taken; the connection ends with this answer."""

    status: int
    problem: str
    headers: RawHeaders = ()
    refused: Refused | None = None
    """Refusal that the server's screen renders, None: it has no body."""
    cause: LossCause | None = None
    """Limit that it met, None: a fault of the request."""


class Screen(Protocol):
    """Says from its head whether a request can be served."""

    def screen(self, head: RequestHead) -> ScreenedRequest | Refused:
        """Check a request whose body has not arrived; charge nothing."""

    async def render(self, outcome: Refused, reply: Reply) -> None:
        """Send the answer to a request that was refused."""


class ReadingRules(Protocol):
    """What all connections of a server have in common."""

    limits: Callable[[], TrafficLimits]
    account: CallerAccount
    turns: ParseTurns
    screen: Screen | None
    takes_bodies: bool
    body_timeout_s: float


def yielded() -> Unreadable:
    """Return the answer to a request that had to yield: it has not run."""
    return Unreadable(
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        problem='too many requests are arriving',
        headers=((b'Retry-After', b'%.3f' % YIELDED_RETRY_S),),
    )


@dataclass(kw_only=True, eq=False)
class _Body:
    """A body that arrives."""

    data: bytearray = field(default_factory=bytearray)
    events: int = 0
    deadline: float | None = None
    """Time by which it has to be whole; None until it has to be awaited."""


class RequestReader:
    """Reads the requests of one connection, one after the other."""

    def __init__(
        self,
        *,
        connection: Connection,
        parser: h11.Connection,
        rules: ReadingRules,
    ) -> None:
        self._connection = connection
        self._parser = parser
        self._rules = rules
        self._scope: anyio.CancelScope | None = None
        """Scope of the wait for bytes, if it waits."""
        self._has_yielded = False
        self._on_wait: Callable[[Phase], None] = lambda _: None
        self._body = _Body()
        self.holding = rules.account.hold_request(self.give_up)

    def give_up(self) -> None:
        """Take no more bytes of the request that arrives."""
        self._has_yielded = True
        self._body.data = bytearray()
        if self._scope is not None:
            self._scope.cancel()

    async def read(
        self, *, on_wait: Callable[[Phase], None]
    ) -> IncomingRequest | Unreadable | None:
        """Return the request that begins; None if its caller is gone.

        `on_wait` is called if its head or its body has to be awaited.
        """
        self._on_wait = on_wait
        self._body = _Body()
        limits = self._rules.limits()
        event = self._parse()
        if event is None:
            event = await self._await_event(
                limits.header_timeout_s,
                Unreadable(
                    status=HTTPStatus.REQUEST_TIMEOUT,
                    problem='request took too long',
                ),
            )
        if not isinstance(event, h11.Request):
            return event if isinstance(event, Unreadable) else None
        headers = tuple(event.headers)
        problem = find_problem(event.target, headers, limits)
        if problem is None:
            problem = self._find_body_problem(headers, limits)
        if problem is not None:
            return problem
        head = RequestHead(
            method=event.method,
            target=event.target,
            headers=tuple(event.headers.raw_items()),
        )
        return await self._read_body(head, limits)

    def _find_body_problem(
        self, headers: RawHeaders, limits: TrafficLimits
    ) -> Unreadable | None:
        """Return why the body that a head announces is not taken."""
        # h11 has checked that there is one length, and that it is a number.
        length = int(find_value(headers, CONTENT_LENGTH) or 0)
        is_chunked = find_value(headers, TRANSFER_ENCODING) is not None
        if length > limits.max_body_bytes:
            return too_large(limits)
        if (length or is_chunked) and not self._rules.takes_bodies:
            return Unreadable(
                status=HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                problem='no body is taken here',
                cause=LossCause.NO_BODY_TAKEN,
            )
        return None

    async def _read_body(
        self, head: RequestHead, limits: TrafficLimits
    ) -> IncomingRequest | Unreadable | None:
        body = self._body
        while True:
            part = self._parse()
            if part is None:
                part = await self._await_part(head, limits)
            if self._has_yielded:
                # Its last bytes may have come in the same pass of the loop:
                # what came before them is gone.
                return yielded()
            if isinstance(part, h11.EndOfMessage):
                break
            if not isinstance(part, h11.Data):
                return part if isinstance(part, Unreadable) else None
            body.data += part.data
            if len(body.data) > limits.max_body_bytes:
                return too_large(limits)
            body.events += 1
            if body.events % EVENTS_A_TURN == 0 and not await self._turn():
                return None
        data, body.data = bytes(body.data), bytearray()
        if not self.holding.finish(len(data)):
            return yielded()
        return IncomingRequest(
            head=head, body=data, connection=self._connection
        )

    async def _turn(self) -> bool:
        """Let others have their turn; False if the caller is gone.

        What it has sent would be parsed to its end for nobody.
        """
        await self._rules.turns.wait()
        return not self._connection.has_ended()

    async def _await_part(
        self, head: RequestHead, limits: TrafficLimits
    ) -> h11.Event | Unreadable:
        """Return the next part of a body that has not arrived whole."""
        body = self._body
        if body.deadline is None:
            refused = self._screen(head)
            if refused is not None:
                return refused
            now = anyio.current_time()
            body.deadline = now + self._rules.body_timeout_s
            self._on_wait(Phase.BODY)
        left_s = body.deadline - anyio.current_time()
        return await self._await_event(
            min(limits.idle_timeout_s, left_s),
            Unreadable(
                status=HTTPStatus.REQUEST_TIMEOUT,
                problem='request body took too long',
                cause=LossCause.SLOW_BODY,
            ),
        )

    def _screen(self, head: RequestHead) -> Unreadable | None:
        """Return the answer to a request that can't be served."""
        if self._rules.screen is None:
            return None
        found = self._rules.screen.screen(head)
        if isinstance(found, Refused):
            return Unreadable(
                status=HTTPStatus.SERVICE_UNAVAILABLE,
                problem=found.message,
                refused=found,
                cause=LossCause.TURNED_AWAY,
            )
        self.holding.assign(
            found.account or '',
            due_at=anyio.current_time() + found.limit_s,
        )
        return None

    async def _await_event(
        self, timeout_s: float, too_late: Unreadable
    ) -> h11.Event | Unreadable:
        """Return the next event, or `too_late` if it did not arrive in time.

        Most requests arrive in one piece: a timer is set only for what has
        not arrived yet.
        """
        if self._body.deadline is None:
            self._on_wait(Phase.HEAD)
        with anyio.move_on_after(timeout_s) as self._scope:
            return await self._receive_event()
        if self._has_yielded:
            return yielded()
        return too_late

    def _parse(self) -> h11.Event | Unreadable | None:
        """Return the next event, None if it has not arrived."""
        try:
            event = self._parser.next_event()
        except h11.RemoteProtocolError as error:
            return Unreadable(
                status=error.error_status_hint, problem=str(error)
            )
        return event if isinstance(event, h11.Event) else None

    async def _receive_event(self) -> h11.Event | Unreadable:
        """Return the next event; `ConnectionClosed` if the caller is gone."""
        while True:
            if self._parser.they_are_waiting_for_100_continue:
                go_on = h11.InformationalResponse(status_code=100, headers=[])
                await self._connection.send(self._parser.send(go_on) or b'')
            try:
                data = await self._connection.receive(READ_BYTES)
            except BROKEN:
                return h11.ConnectionClosed()
            if not self.holding.hold(len(self._body.data) + len(data)):
                return yielded()
            self._parser.receive_data(data)
            event = self._parse()
            if event is not None:
                return event


def too_large(limits: TrafficLimits) -> Unreadable:
    """Return the answer to a request whose body is over the limit."""
    return Unreadable(
        status=HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        problem=f'body is above {limits.max_body_bytes} bytes',
        cause=LossCause.TOO_LARGE,
    )


def find_problem(
    target: bytes, headers: RawHeaders, limits: TrafficLimits
) -> Unreadable | None:
    """Return why a request may not be passed on, None if it may.

    With two statements of its length, the next server may see another end
    of the request than this one, and take what follows for a request that
    nobody sent.
    """
    size = len(target) + sum(len(k) + len(v) + 4 for k, v in headers)
    if size > limits.max_header_bytes:
        return Unreadable(
            status=HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            problem=f'headers are above {limits.max_header_bytes} bytes',
        )
    has_length = find_value(headers, CONTENT_LENGTH) is not None
    if has_length and find_value(headers, TRANSFER_ENCODING) is not None:
        problem = 'both Content-Length and Transfer-Encoding'
    elif len(find_values(headers, b'host')) != 1:
        problem = 'not exactly one Host'
    elif not target.startswith(b'/'):
        problem = 'target is not a path'
    else:
        return None
    return Unreadable(status=HTTPStatus.BAD_REQUEST, problem=problem)
