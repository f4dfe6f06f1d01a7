"""What every stand-in program has in common."""

import signal
from collections.abc import Callable

import anyio
from mimosamux_daemon.adapters.http_server import listen, serve_http
from starlette.applications import Starlette

GRACE_S = 1.0
"""Time that open requests get when a stand-in is stopped."""


async def serve_app(
    app: Starlette, *, host: str, port: int, name: str = 'listening'
) -> None:
    """Serve until SIGTERM or Ctrl-C; prints `name` and the address."""
    listener = listen(host, port)
    found_host, found_port = listener.getsockname()[:2]
    announce(name, f'{found_host}:{found_port}')
    stopping = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(wait_for_signal, stopping.set)
        await serve_http(
            app, listener, shutdown=stopping.wait, grace_s=GRACE_S
        )
        tasks.cancel_scope.cancel()


def announce(what: str, address: str) -> None:
    """Print a line that another program can read an address from."""
    print(f'{what} {address}', flush=True)


async def wait_for_signal(stop: Callable[[], None]) -> None:
    """Call `stop` on each SIGTERM or Ctrl-C, until cancelled.

    With its receiver gone, a further signal would end the process at once.
    """
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            stop()
