"""Connections of hypercorn's server, under the account of callers."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config
from hypercorn.utils import wrap_app

from mimosamux_daemon.callers import CallerAccount, CallerConnection

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

    @contextmanager
    def track(self, writer: asyncio.StreamWriter) -> Iterator[bool]:
        """Count a connection during the block; gives False if it is refused.

        One that yields ends at once: no answer is under way on it.
        """

        def end() -> bool:
            writer.transport.abort()
            return True

        connection = self.account.open(end)
        if connection is None:
            writer.transport.abort()
            yield False
            return
        client = writer.get_extra_info('peername')
        key = None if client is None else tuple(client[:2])
        self._by_client[key] = connection
        try:
            yield True
        finally:
            self._by_client.pop(key, None)
            connection.close()


async def serve_connections(
    app: Any,
    config: Config,
    *,
    connections: CallerConnections,
    shutdown: Callable[[], Awaitable[None]],
) -> None:
    """Serve as hypercorn's worker does, with each connection counted.

    That worker accepts all connections that come. Its server of one
    connection is used as it is.
    """
    loop = asyncio.get_running_loop()
    context = WorkerContext(None)
    wrapped = wrap_app(app, config.wsgi_max_body_size, None)
    tasks: set[asyncio.Task[None]] = set()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        with connections.track(writer) as is_admitted:
            if is_admitted:
                await TCPServer(
                    wrapped, loop, config, context, {}, reader, writer
                )

    sockets = config.create_sockets()
    listening = [*sockets.secure_sockets, *sockets.insecure_sockets]
    server = await asyncio.start_server(
        serve,
        sock=listening[0],
        backlog=connections.account.limits.backlog,
        limit=READ_AHEAD_BYTES,
        ssl=config.create_ssl_context() if config.ssl_enabled else None,
        ssl_handshake_timeout=(
            config.ssl_handshake_timeout if config.ssl_enabled else None
        ),
    )
    try:
        await shutdown()
    finally:
        await context.terminated.set()
        server.close()
        await server.wait_closed()
        if tasks:
            await _let_finish(tasks, config.graceful_timeout)


async def _let_finish(tasks: set[asyncio.Task[None]], grace_s: float) -> None:
    """Wait for connections to end, and cut those that are left."""
    _, left = await asyncio.wait(tasks, timeout=grace_s)
    for task in left:
        task.cancel()
    if left:
        await asyncio.wait(left)
