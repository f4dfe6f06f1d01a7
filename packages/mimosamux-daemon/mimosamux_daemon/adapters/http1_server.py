"""HTTP/1.1 towards callers whose requests are passed on untouched.

The parser is h11, which hypercorn uses as well. What an ASGI server hides
has to be seen here: the request line as it was sent, a caller that is
gone, and how a connection ends, see docs/DECISIONS.md.
"""

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

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
from mimosamux_daemon.adapters.http1_requests import (
    RequestReader,
    Screen,
    Unreadable,
    yielded,
)
from mimosamux_daemon.callers import (
    BODY_TIMEOUT_S,
    GATEWAY_OWN_BYTES,
    LINGER_BYTES,
    LINGER_S,
    CallerAccount,
    ParseTurns,
    Phase,
    build_account,
)
from mimosamux_daemon.domain.routes import TrafficLimits
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.network import Connection

log = get_log('http1_server')


@dataclass(frozen=True, kw_only=True, slots=True, eq=False)
class _IdleWait:
    """A connection's wait for its next request."""

    scope: anyio.CancelScope
    began_at: float


class Http1Server:
    """Serves connections of callers until it is told to stop."""

    def __init__(
        self,
        *,
        handler: Handler,
        limits: Callable[[], TrafficLimits],
        account: CallerAccount | None = None,
        turns: ParseTurns | None = None,
        screen: Screen | None = None,
        takes_bodies: bool = True,
        body_timeout_s: float = BODY_TIMEOUT_S,
    ) -> None:
        self.connections = 0
        self.open_requests = 0
        self.is_draining = False
        self.limits = limits
        self.account = account or build_account(own_bytes=GATEWAY_OWN_BYTES)
        self.turns = turns or ParseTurns()
        self.screen = screen
        self.takes_bodies = takes_bodies
        """Whether requests may have a body at all."""
        self.body_timeout_s = body_timeout_s
        self._handler = handler
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
        session = _Session(server=self, connection=connection)
        try:
            await session.run()
        except Exception as error:
            # One request that runs into a fault of this program must not
            # end the requests of all other callers with the process.
            log.exception('connection_failed', error=describe(error))
        finally:
            self.connections -= 1
            with anyio.CancelScope(shield=True), suppress(*BROKEN):
                await connection.aclose()
            session.release()


class _Session:
    """One connection: its requests, one after the other.

    A request is read when it is due. One that is read behind an answer is
    lost if that answer breaks off; unread, its caller can tell by the reset
    of the connection that it never ran.
    """

    def __init__(self, *, server: Http1Server, connection: Connection) -> None:
        self._server = server
        self.connection = connection
        limits = server.limits()
        self._parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_header_bytes
        )
        self._reader = RequestReader(
            connection=connection, parser=self._parser, rules=server
        )
        self._idle: _IdleWait | None = None
        self._lingering: anyio.CancelScope | None = None
        self._has_yielded = False
        self._caller = server.account.open(self._yield)
        self._reply: Reply | None = None
        self._answer = server.account.hold_answer(
            self._reader.holding, self._caller, self._break_off
        )

    def release(self) -> None:
        """Note that nothing is left of the connection."""
        self._reader.holding.release()
        self._answer.release()
        if self._caller is not None:
            self._caller.close()

    def _yield(self) -> bool:
        """End the connection for another; False if a request has come."""
        if self._idle is not None and self.connection.has_input():
            return False
        self._has_yielded = True
        self._reader.give_up()
        if self._idle is not None:
            self._idle.scope.cancel()
        if self._lingering is not None:
            self._lingering.cancel()
        return True

    async def run(self) -> None:
        """Serve requests until the connection ends."""
        caller = self._caller
        if caller is None:
            return
        while True:
            caller.enter(Phase.IDLE)
            if not await self._wait_for_bytes():
                return
            request = await self._reader.read(on_wait=caller.enter)
            if (
                isinstance(request, IncomingRequest)
                and not caller.begin_work()
            ):
                request = yielded()
            if request is None:
                return
            if isinstance(request, Unreadable):
                await self._turn_down(request)
                return
            reply = self._begin_reply(closes=self._is_last_answer)
            try:
                await self._handle(request, reply)
            finally:
                caller.end_work()
                self._reader.holding.release()
                self._answer.release()
            if not reply.is_finished or request.is_caller_gone:
                return
            if self._parser.our_state is not h11.DONE:
                await self._wait_for_close()
                return
            self._parser.start_next_cycle()

    def _begin_reply(self, *, closes: Callable[[], bool]) -> Reply:
        self._reply = Reply(
            parser=self._parser,
            connection=self.connection,
            holding=self._answer,
            closes=closes,
        )
        return self._reply

    def _break_off(self) -> None:
        """Have an answer that nobody takes yield to others."""
        if self._reply is not None:
            self._reply.break_off()

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

    async def _wait_for_bytes(self) -> bool:
        """Return whether a request begins before the idle time is over."""
        idle_timeout_s = self._server.limits().idle_timeout_s
        if self._parser.trailing_data[0]:
            return True
        try:
            received = await self._receive_within(idle_timeout_s)
            if self._has_yielded:
                return False
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
            self._idle = wait
            self._server._idle_waits.add(wait)
            try:
                return await self.connection.receive(READ_BYTES)
            finally:
                self._idle = None
                self._server._idle_waits.discard(wait)
        return b''

    async def _turn_down(self, problem: Unreadable) -> None:
        log.info(
            'request_unreadable',
            status=int(problem.status),
            problem=problem.problem,
        )
        self._reader.holding.release()
        if problem.cause is not None:
            self._server.account.record.add(problem.cause)
        if self._parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        reply = self._begin_reply(closes=lambda: True)
        if problem.refused is not None and self._server.screen is not None:
            await self._server.screen.render(problem.refused, reply)
        else:
            await reply.answer(int(problem.status), problem.headers)
        if not self._has_yielded and self._server.account.may_linger():
            await self._linger()

    async def _wait_for_close(self) -> None:
        """Let the other side read its whole answer, and close.

        A request that crosses the announced end stays unread.
        """
        assert self._caller is not None
        self._caller.enter(Phase.LINGERING)
        with (
            anyio.move_on_after(LINGER_S) as self._lingering,
            suppress(*BROKEN),
        ):
            await self.connection.send_eof()
            await self.connection.wait_ended()

    async def _linger(self) -> None:
        """Let the other side read why its request is turned down.

        Closing with bytes unread resets the connection, and the reset can
        overtake the answer: the caller would see a broken connection in
        place of the status. The rest of the request is read and dropped.
        """
        assert self._caller is not None
        self._caller.enter(Phase.LINGERING)
        unread = 0
        with (
            anyio.move_on_after(LINGER_S) as self._lingering,
            suppress(*BROKEN),
        ):
            await self.connection.send_eof()
            while unread < LINGER_BYTES:
                unread += len(await self.connection.receive(READ_BYTES))
