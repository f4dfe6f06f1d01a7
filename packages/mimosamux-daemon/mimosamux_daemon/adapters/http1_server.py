"""HTTP/1.1 towards callers whose requests are passed on untouched.

The parser is h11, which hypercorn uses as well. What an ASGI server hides
has to be seen here: the request line as it was sent, a caller that is
gone, and how a connection ends, see docs/DECISIONS.md.
"""

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from http import HTTPStatus

import anyio
import h11

from mimosamux_daemon.adapters.http1_channel import (
    BROKEN,
    READ_BYTES,
    describe,
)
from mimosamux_daemon.adapters.http1_exchange import (
    Handler,
    IncomingRequest,
    Reply,
)
from mimosamux_daemon.domain.http_messages import (
    RequestHead,
    find_values,
)
from mimosamux_daemon.domain.routes import TrafficLimits
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.network import Connection

log = get_log('http1_server')

BACKLOG = 1024
LINGER_S = 1.0
"""Time for the other side to take an answer that ends its connection."""
LINGER_BYTES = 256 * 1024


@dataclass(frozen=True, kw_only=True, slots=True)
class Unreadable:
    """A request that cannot be taken; the connection ends with this."""

    status: int
    problem: str


@dataclass(frozen=True, kw_only=True, slots=True, eq=False)
class _IdleWait:
    """A connection's wait for its next request."""

    scope: anyio.CancelScope
    began_at: float


class Http1Server:
    """Serves connections of callers until it is told to stop."""

    def __init__(
        self, *, handler: Handler, limits: Callable[[], TrafficLimits]
    ) -> None:
        self.connections = 0
        self.open_requests = 0
        self.is_draining = False
        self._handler = handler
        self._limits = limits
        self._idle_waits: set[_IdleWait] = set()

    def drain(self) -> None:
        """End each connection behind the answer that is due on it."""
        self.is_draining = True

    def close_idle(self, *, longer_than_s: float) -> None:
        """Close the connections on which nothing came for some time."""
        before = anyio.current_time() - longer_than_s
        for wait in tuple(self._idle_waits):
            if wait.began_at <= before:
                wait.scope.cancel()

    async def serve(self, connection: Connection) -> None:
        """Serve one connection until it ends."""
        self.connections += 1
        try:
            await _Session(server=self, connection=connection).run()
        except Exception as error:
            # One request that runs into a fault of this program must not
            # end the requests of all other callers with the process.
            log.exception('connection_failed', error=describe(error))
        finally:
            self.connections -= 1
            with anyio.CancelScope(shield=True), suppress(*BROKEN):
                await connection.aclose()


class _Session:
    """One connection: its requests, one after the other.

    A request is read when it is due. One that is read behind an answer is
    lost if that answer breaks off; unread, its caller can tell by the reset
    of the connection that it never ran.
    """

    def __init__(self, *, server: Http1Server, connection: Connection) -> None:
        self._server = server
        self.connection = connection
        limits = server._limits()
        self._parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_header_bytes
        )

    async def run(self) -> None:
        """Serve requests until the connection ends."""
        while True:
            request = await self._read_request()
            if request is None:
                return
            if isinstance(request, Unreadable):
                await self._turn_down(request)
                return
            reply = Reply(
                parser=self._parser,
                connection=self.connection,
                closes=self._is_last_answer,
            )
            await self._handle(request, reply)
            if not reply.is_finished or request.is_caller_gone:
                return
            if self._parser.our_state is not h11.DONE:
                await self._wait_for_close()
                return
            self._parser.start_next_cycle()

    def _is_last_answer(self) -> bool:
        """Whether an answer that begins now ends the connection.

        A request that has come behind this one is answered first: told that
        the connection ends, its caller would have lost it.
        """
        return self._server.is_draining and not (
            self._parser.trailing_data[0] or self.connection.has_input()
        )

    async def _handle(self, request: IncomingRequest, reply: Reply) -> None:
        """Have the request answered, and watch for its caller to go."""
        self._server.open_requests += 1
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._watch, request)
                await self._server._handler(request, reply)
                tasks.cancel_scope.cancel()
        finally:
            self._server.open_requests -= 1

    async def _watch(self, request: IncomingRequest) -> None:
        """Note when the caller goes while its request is worked on."""
        await self.connection.wait_ended()
        request.note_gone()

    async def _read_request(self) -> IncomingRequest | Unreadable | None:
        limits = self._server._limits()
        if not await self._wait_for_bytes(limits.idle_timeout_s):
            return None
        event = await self._next_event_within(
            limits.header_timeout_s, 'request took too long'
        )
        if not isinstance(event, h11.Request):
            return event if isinstance(event, Unreadable) else None
        problem = find_problem(event, limits)
        return problem or await self._read_body(event, limits)

    async def _wait_for_bytes(self, idle_timeout_s: float) -> bool:
        """Return whether a request begins before the idle time is over."""
        if self._parser.trailing_data[0]:
            return True
        try:
            received = await self._receive_within(idle_timeout_s)
            if not received and self.connection.has_input():
                # Bytes that came in while the wait ended are a request that
                # this process has read.
                received = await self.connection.receive(READ_BYTES)
        except BROKEN:
            return False
        if received:
            self._parser.receive_data(received)
        return bool(received)

    async def _receive_within(self, idle_timeout_s: float) -> bytes:
        """Return the next bytes, none if the connection stays idle."""
        with anyio.move_on_after(idle_timeout_s) as scope:
            wait = _IdleWait(scope=scope, began_at=anyio.current_time())
            self._server._idle_waits.add(wait)
            try:
                return await self.connection.receive(READ_BYTES)
            finally:
                self._server._idle_waits.discard(wait)
        return b''

    async def _read_body(
        self, event: h11.Request, limits: TrafficLimits
    ) -> IncomingRequest | Unreadable | None:
        body = bytearray()
        while True:
            part = await self._next_event_within(
                limits.idle_timeout_s, 'request body took too long'
            )
            if isinstance(part, h11.EndOfMessage):
                break
            if not isinstance(part, h11.Data):
                return part if isinstance(part, Unreadable) else None
            body += part.data
            if len(body) > limits.max_body_bytes:
                return Unreadable(
                    status=HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                    problem=f'body is above {limits.max_body_bytes} bytes',
                )
        head = RequestHead(
            method=event.method,
            target=event.target,
            headers=tuple(event.headers.raw_items()),
        )
        return IncomingRequest(
            head=head, body=bytes(body), connection=self.connection
        )

    async def _next_event_within(
        self, timeout_s: float, problem: str
    ) -> h11.Event | Unreadable:
        """Return the next event, or that it did not arrive in time.

        Most requests arrive in one piece: a timer is set only for what has
        not arrived yet.
        """
        event = self._parse()
        if event is not None:
            return event
        with anyio.move_on_after(timeout_s):
            return await self._receive_event()
        return Unreadable(status=HTTPStatus.REQUEST_TIMEOUT, problem=problem)

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
                await self.connection.send(self._parser.send(go_on) or b'')
            try:
                data = await self.connection.receive(READ_BYTES)
            except BROKEN:
                return h11.ConnectionClosed()
            self._parser.receive_data(data)
            event = self._parse()
            if event is not None:
                return event

    async def _turn_down(self, problem: Unreadable) -> None:
        log.info(
            'request_unreadable',
            status=int(problem.status),
            problem=problem.problem,
        )
        if self._parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        reply = Reply(
            parser=self._parser,
            connection=self.connection,
            closes=lambda: True,
        )
        await reply.answer(int(problem.status), ())
        await self._linger()

    async def _wait_for_close(self) -> None:
        """Let the other side read its whole answer, and close.

        A request that crosses the announced end stays unread.
        """
        with anyio.move_on_after(LINGER_S), suppress(*BROKEN):
            await self.connection.send_eof()
            await self.connection.wait_ended()

    async def _linger(self) -> None:
        """Let the other side read why its request is turned down.

        Closing with bytes unread resets the connection, and the reset can
        overtake the answer: the caller would see a broken connection in
        place of the status. The rest of the request is read and dropped.
        """
        unread = 0
        with anyio.move_on_after(LINGER_S), suppress(*BROKEN):
            await self.connection.send_eof()
            while unread < LINGER_BYTES:
                unread += len(await self.connection.receive(READ_BYTES))


def find_problem(
    event: h11.Request, limits: TrafficLimits
) -> Unreadable | None:
    """Return why a request may not be passed on, None if it may.

    With two statements of its length, the next server may see another end
    of the request than this one, and take what follows for a request that
    nobody sent.
    """
    headers = tuple(event.headers)
    size = len(event.target) + sum(len(k) + len(v) + 4 for k, v in headers)
    if size > limits.max_header_bytes:
        return Unreadable(
            status=HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            problem=f'headers are above {limits.max_header_bytes} bytes',
        )
    has_length = bool(find_values(headers, b'content-length'))
    if has_length and find_values(headers, b'transfer-encoding'):
        problem = 'both Content-Length and Transfer-Encoding'
    elif len(find_values(headers, b'host')) != 1:
        problem = 'not exactly one Host'
    elif not event.target.startswith(b'/'):
        problem = 'target is not a path'
    else:
        return None
    return Unreadable(status=HTTPStatus.BAD_REQUEST, problem=problem)
