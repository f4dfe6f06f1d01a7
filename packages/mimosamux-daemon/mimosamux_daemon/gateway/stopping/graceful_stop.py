"""Graceful shutdown of a gateway daemon, without cutting off requests."""

from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from typing import Any

import anyio

from mimosamux_daemon.adapters.http1_server import Http1Server
from mimosamux_daemon.adapters.tunnel_server import TunnelServer
from mimosamux_daemon.gateway.stopping.acceptor import Acceptor
from mimosamux_daemon.gateway.stopping.open_requests import OpenRequests
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.stop_window import StopWindow

log = get_log('stopping')

ACCEPT_S = 2.5
"""Time for which new connections are still accepted: callers that resolved
the address before the shutdown keep connecting for about the TTL of the
answer."""
EXIT_RESERVE_S = 1.0
"""Part of the grace period that is reserved for sending the last bytes and
for the exit of the process, which takes longer on a busy VM."""
MAX_EXIT_SHARE = 1 / 8
"""Largest share of the grace period that is reserved for it."""
FLUSH_S = 0.3
"""Longest wait for the last answers, within that reserve."""
IDLE_S = 0.5
"""Idle time after which a connection is closed. Its caller was not told that
it ends, and may be about to send the next request."""
POLL_INTERVAL_S = 0.05
"""Interval of the checks whether connections are left."""


def begin_stop(
    window: StopWindow, *, now: float, signalled_at: float, grace_s: float
) -> None:
    """Set the times of a stop, which count from its signal."""
    accepts_until = min(now + ACCEPT_S, signalled_at + grace_s / 3)
    window.begin(
        at=signalled_at,
        directed_until=max(accepts_until, now),
        ends_at=signalled_at
        + grace_s
        - min(EXIT_RESERVE_S, MAX_EXIT_SHARE * grace_s),
    )


@dataclass(kw_only=True, slots=True)
class GracefulStop:
    """Shuts down in order: notify the peers, keep serving, finish requests."""

    window: StopWindow
    server: Http1Server
    tunnels: TunnelServer
    open_requests: OpenRequests
    notify_peers: Callable[[], Awaitable[None]]
    acceptor: Acceptor
    send_last_digest: Callable[[], Coroutine[Any, Any, None]]
    """Sends the peers what was counted, and waits until they have it."""
    clock: Callable[[], float]

    async def run(self) -> None:
        """Return when no connection is left, or the stop has to end."""
        self._log('leaving')
        self.server.drain()
        self.tunnels.drain()
        await self.notify_peers()
        await self._sleep_until(self.window.directed_until)
        await self.acceptor.stop()
        self._log('accepting_ended')
        await self._finish()
        async with anyio.create_task_group() as tasks:
            if self._is_busy():
                self._log('stop_is_over')
                self.open_requests.end_all()
                tasks.start_soon(self._flush)
            tasks.start_soon(self.send_last_digest)
        self._log('left')

    async def _finish(self) -> None:
        """Let open requests end, and close connections that are idle.

        Tunnels are closed by the peers that use them.
        """
        while self._is_busy() and self.clock() < self.window.ends_at:
            self.server.close_idle(longer_than_s=IDLE_S)
            await anyio.sleep(POLL_INTERVAL_S)

    async def _flush(self) -> None:
        """Let the answers to requests that were ended be sent."""
        with anyio.move_on_after(FLUSH_S):
            while self.server.connections:
                self.server.close_idle(longer_than_s=0.0)
                await anyio.sleep(POLL_INTERVAL_S)

    async def _sleep_until(self, at: float) -> None:
        await anyio.sleep(max(at - self.clock(), 0.0))

    def _is_busy(self) -> bool:
        """Whether connections of callers or tunnels of peers are left."""
        return bool(
            self.acceptor.opening
            or self.server.connections
            or self.tunnels.open_tunnels
        )

    def _log(self, event: str) -> None:
        log.info(
            event,
            open=self.server.open_requests,
            connections=self.server.connections,
            tunnels=self.tunnels.open_tunnels,
            behind_s=round(self.window.behind_s(self.clock()), 3),
        )
