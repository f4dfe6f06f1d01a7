"""A daemon that runs beside the test, in a thread of this process."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import anyio
import anyio.from_thread
from mimosamux_daemon.daemon import Daemon, build_daemon
from mimosamux_daemon.settings import Settings


@contextmanager
def running_daemon(
    settings: Settings,
    prepare: Callable[[Daemon], None] = lambda daemon: None,
) -> Iterator[Daemon]:
    """Run a daemon until the block ends, then stop it gracefully."""
    with anyio.from_thread.start_blocking_portal() as portal:
        daemon = portal.call(_build, settings)
        prepare(daemon)
        done = portal.start_task_soon(daemon.run)
        portal.call(daemon.started.wait)
        try:
            yield daemon
        finally:
            portal.call(daemon.stop)
            done.result()


async def _build(settings: Settings) -> Daemon:
    return build_daemon(settings)
