"""Runs an ASGI application under hypercorn on anyio."""

import asyncio
import socket
import ssl
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import sniffio
from hypercorn.config import Config

from mimosamux_daemon.adapters.http_connections import (
    CallerConnections,
    serve_connections,
)
from mimosamux_daemon.adapters.http_lingering import LingeringClose
from mimosamux_daemon.early_listeners import limit_buffers
from mimosamux_daemon.logs import get_log

log = get_log('http_server')

BACKLOG = 1024
KEEP_ALIVE_S = 75.0
MAX_HEADER_BYTES = 32 * 1024
TLS_HANDSHAKE_S = 5.0
MAX_STREAMS = 16
"""Requests at once on one HTTP/2 connection."""
MAX_QUEUED_PARTS = 2
"""Parts of a body that the server keeps for an application that is busy."""
ABORT_DELAY_S = 0.2
"""Time for the server to end by itself behind the grace period."""


class _ServerConfig(Config):
    """Hypercorn's settings, with a TLS context that we keep hold of."""

    context: ssl.SSLContext | None = None

    @property
    def ssl_enabled(self) -> bool:
        """Whether callers have to speak TLS."""
        return self.context is not None

    def create_ssl_context(self) -> ssl.SSLContext | None:
        """Return the context, so that its certificate can be replaced."""
        return self.context


def listen(host: str, port: int) -> socket.socket:
    """Return a listening socket; port 0 takes a free one."""
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    limit_buffers(listener)
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener


async def serve_http(
    app: Any,
    listener: socket.socket,
    *,
    shutdown: Callable[[], Awaitable[None]],
    grace_s: float = 60.0,
    find_grace_s: Callable[[], float] | None = None,
    context: ssl.SSLContext | None = None,
    connections: CallerConnections | None = None,
) -> None:
    """Serve until `shutdown` returns, then let open requests finish.

    The server takes the listener over and closes it. `find_grace_s` is
    called at the shutdown and replaces `grace_s`. Connections that are open
    at the end of the grace period are aborted. With `connections`, these are
    counted and may have to yield.
    """
    ending = anyio.CancelScope()

    async def await_shutdown() -> None:
        await shutdown()
        if find_grace_s is not None:
            config.graceful_timeout = find_grace_s()
        ending.deadline = (
            anyio.current_time() + config.graceful_timeout + ABORT_DELAY_S
        )

    config = _ServerConfig()
    config.bind = [f'fd://{listener.detach()}']
    config.context = context
    config.graceful_timeout = grace_s
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.h11_max_incomplete_size = MAX_HEADER_BYTES
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    config.ssl_handshake_timeout = TLS_HANDSHAKE_S
    config.h2_max_concurrent_streams = MAX_STREAMS
    config.max_app_queue_size = MAX_QUEUED_PARTS
    app = LingeringClose(app=app)
    if sniffio.current_async_library() == 'trio':
        from hypercorn.trio import serve as serve_trio

        await serve_trio(app, config, shutdown_trigger=await_shutdown)
        return
    from hypercorn.asyncio import serve

    # The server leaves the task that runs it marked as cancelled, so that
    # the next cancel scope of that task would end in an error after a
    # graceful stop: it gets a task of its own.
    async def serve_until_aborted() -> None:
        try:
            if connections is None:
                await serve(app, config, shutdown_trigger=await_shutdown)
            else:
                await serve_connections(
                    app,
                    config,
                    connections=connections,
                    shutdown=await_shutdown,
                )
        except asyncio.InvalidStateError:
            # The server asks for the result of connections that still
            # send when it is cancelled.
            if not ending.cancel_called:
                raise
        except ExceptionGroup as errors:
            # The server starts the idle timer of an HTTP/2 connection
            # while it cancels that connection.
            is_over = anyio.current_time() >= ending.deadline - ABORT_DELAY_S
            if not is_over or errors.split(RuntimeError)[1] is not None:
                raise
            log.warning('connection_cut', error=repr(errors))

    with ending:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(serve_until_aborted)
