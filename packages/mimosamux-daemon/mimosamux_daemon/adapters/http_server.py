"""Runs an ASGI application under hypercorn on anyio."""

import socket
from collections.abc import Awaitable, Callable
from typing import Any

import sniffio
from hypercorn.config import Config

BACKLOG = 1024


def listen(host: str, port: int) -> socket.socket:
    """Return a listening socket; port 0 takes a free one."""
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener


async def serve_http(
    app: Any,
    listener: socket.socket,
    *,
    shutdown: Callable[[], Awaitable[None]],
    grace_s: float = 60.0,
) -> None:
    """Serve until `shutdown` returns, then let open requests finish.

    The server takes the listener over and closes it.
    """
    config = Config()
    config.bind = [f'fd://{listener.detach()}']
    config.graceful_timeout = grace_s
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    if sniffio.current_async_library() == 'trio':
        from hypercorn.trio import serve as serve_trio

        await serve_trio(app, config, shutdown_trigger=shutdown)
        return
    from hypercorn.asyncio import serve

    await serve(app, config, shutdown_trigger=shutdown)
