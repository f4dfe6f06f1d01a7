"""Runs a stand-in's application on a free port."""

import contextlib

import anyio
from mimosamux_daemon.adapters.http_server import listen, serve_http


@contextlib.asynccontextmanager
async def serving(app):
    """Yield the `host:port` on which the application is served."""
    listener = listen('127.0.0.1', 0)
    host, port = listener.getsockname()
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:

        async def serve():
            await serve_http(app, listener, shutdown=stop.wait, grace_s=0.1)

        tasks.start_soon(serve)
        yield f'{host}:{port}'
        stop.set()
