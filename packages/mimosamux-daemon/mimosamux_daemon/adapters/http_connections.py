"""Connections of hypercorn's server, under the account of callers.

hypercorn's worker accepts all connections that come. Its server of one
connection is used as it is, behind a listener that accepts as many as the
account allows, and counts each from its accept on.
"""

import asyncio
import select
import socket
import ssl
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config
from hypercorn.typing import AppWrapper
from hypercorn.utils import wrap_app

from mimosamux_daemon.adapters.accepting import Accepting
from mimosamux_daemon.adapters.tcp_network import has_event
from mimosamux_daemon.callers import CallerAccount, CallerConnection, Phase

READ_AHEAD_BYTES = 16 * 1024
"""Twice as many bytes at most are read of a connection before it pauses."""


@dataclass(kw_only=True, slots=True)
class CallerConnections:
    """Open connections of callers, by their address."""

    account: CallerAccount
    _by_client: dict[Any, CallerConnection] = field(default_factory=dict)

    def find(self, client: Any) -> CallerConnection | None:
        """Return a connection by the host and port of its caller."""
        return self._by_client.get(client)

    def add(self, client: Any, connection: CallerConnection) -> None:
        """Note whose connection it is."""
        self._by_client[client] = connection

    def remove(self, client: Any) -> None:
        """Forget a connection that has ended."""
        self._by_client.pop(client, None)


async def serve_connections(
    app: Any,
    config: Config,
    *,
    connections: CallerConnections,
    shutdown: Callable[[], Awaitable[None]],
) -> None:
    """Serve until `shutdown` returns, then let open connections finish."""
    sockets = config.create_sockets()
    (listening,) = [*sockets.secure_sockets, *sockets.insecure_sockets]
    listening.setblocking(False)
    context = WorkerContext(None)
    listener = CallerListener(
        listening=listening,
        app=wrap_app(app, config.wsgi_max_body_size, None),
        config=config,
        context=context,
        connections=connections,
    )
    accepting = asyncio.create_task(listener.run())
    try:
        await shutdown()
    finally:
        await context.terminated.set()
        accepting.cancel()
        with suppress(asyncio.CancelledError):
            await accepting
        listening.close()
        await listener.finish(config.graceful_timeout)


@dataclass(kw_only=True, slots=True)
class CallerListener:
    """Accepts connections, and serves each in a task of its own."""

    listening: socket.socket
    app: AppWrapper
    config: Config
    context: WorkerContext
    connections: CallerConnections
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def run(self) -> None:
        """Accept connections until cancelled."""
        account = self.connections.account
        accepting = Accepting(
            listening=self.listening,
            may_accept=lambda: account.may_accept(0),
            begin=self.begin,
        )
        await accepting.run()

    def begin(self, accepted: socket.socket) -> None:
        """Serve a connection that was accepted, if there is room for it."""
        served = _Served(listener=self, accepted=accepted)
        if not served.is_admitted:
            accepted.close()
            return
        served.task = task = asyncio.create_task(served.run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        # One that yields before its task has begun never runs.
        task.add_done_callback(lambda _: served.release())

    async def finish(self, grace_s: float) -> None:
        """Wait for connections to end, and cut those that are left."""
        if not self._tasks:
            return
        _, left = await asyncio.wait(self._tasks, timeout=grace_s)
        for task in left:
            task.cancel()
        if left:
            await asyncio.wait(left)


class _ConnectionServer(TCPServer):
    """hypercorn's server of one connection; its idle timer ends with that.

    The timer waits for a next request, also on a connection that has ended,
    which would count until then.
    """

    _has_ended = False

    async def _read_data(self) -> None:
        await super()._read_data()
        self._has_ended = True
        await self.idle_task.stop()

    async def _idle_timeout(self) -> None:
        if not self._has_ended:
            await super()._idle_timeout()


class _Served:
    """One connection, from its accept until it is closed."""

    def __init__(
        self, *, listener: CallerListener, accepted: socket.socket
    ) -> None:
        self._listener = listener
        self._accepted = accepted
        self._is_handed_over = False
        """Whether the event loop closes the socket."""
        self._transport: asyncio.Transport | None = None
        self._client: Any = None
        self.task: asyncio.Task[None] | None = None
        self._caller = listener.connections.account.open(self._end)

    @property
    def is_admitted(self) -> bool:
        """Whether the account has room for it."""
        return self._caller is not None

    def _end(self) -> bool:
        """End it at once; False if a request has just come on it."""
        if self._is_idle() and self._has_input():
            return False
        if self._transport is not None:
            self._transport.abort()
        elif self.task is not None:
            self.task.cancel()
        return True

    def _is_idle(self) -> bool:
        return self._caller is not None and self._caller.phase is Phase.IDLE

    def _has_input(self) -> bool:
        """Whether bytes have arrived that the event loop has not read."""
        accepted = self._accepted
        return accepted.fileno() >= 0 and has_event(accepted, select.POLLIN)

    async def run(self) -> None:
        """Serve it until it ends."""
        assert self._caller is not None
        try:
            self._client = self._accepted.getpeername()[:2]
            self._listener.connections.add(self._client, self._caller)
            reader, writer = await self._open_streams(self._caller)
            await _ConnectionServer(
                self._listener.app,
                asyncio.get_running_loop(),
                self._listener.config,
                self._listener.context,
                {},
                reader,
                writer,
            )
        except OSError:
            # Its caller has left, or the TLS handshake has failed.
            pass

    def release(self) -> None:
        """Note that nothing is left of it."""
        self._listener.connections.remove(self._client)
        if not self._is_handed_over:
            self._accepted.close()
        if self._caller is not None:
            self._caller.close()

    async def _open_streams(
        self, caller: CallerConnection
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Return its streams, over TLS behind the handshake."""
        config = self._listener.config
        context: ssl.SSLContext | None = None
        if config.ssl_enabled:
            context = config.create_ssl_context()
            caller.enter(Phase.HEAD)
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader(limit=READ_AHEAD_BYTES)
        protocol = asyncio.StreamReaderProtocol(reader)
        self._is_handed_over = True
        self._transport, _ = await loop.connect_accepted_socket(
            lambda: protocol,
            self._accepted,
            ssl=context,
            ssl_handshake_timeout=(
                config.ssl_handshake_timeout if context else None
            ),
        )
        caller.enter(Phase.IDLE)
        return reader, asyncio.StreamWriter(
            self._transport, protocol, reader, loop
        )
