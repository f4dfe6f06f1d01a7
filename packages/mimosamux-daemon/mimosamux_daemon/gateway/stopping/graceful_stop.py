"""Graceful shutdown of a gateway daemon, without cutting off requests."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio

from mimosamux_daemon.adapters.http1_server import Http1Server
from mimosamux_daemon.adapters.tunnel_server import TunnelServer
from mimosamux_daemon.logs import get_log

log = get_log('stopping')

ACCEPT_S = 2.5
"""Time for which new connections are still accepted: callers that resolved
the address before the shutdown keep connecting for about the TTL of the
answer."""
EXIT_RESERVE_S = 0.6
"""Part of the grace period that is reserved for sending the last bytes and
for the exit of the process."""
POLL_INTERVAL_S = 0.05
"""Interval of the checks whether connections are left."""


@dataclass(kw_only=True, slots=True)
class GracefulStop:
    """Shuts down in order: notify the peers, keep serving, finish requests."""

    server: Http1Server
    tunnels: TunnelServer
    notify_peers: Callable[[], Awaitable[None]]
    stop_accepting: Callable[[], None]
    grace_s: float

    async def run(self) -> None:
        """Return when no connection is left, or the grace period is over."""
        started_at = anyio.current_time()
        log.info(
            'leaving',
            open=self.server.open_requests,
            connections=self.server.connections,
            tunnels=self.tunnels.open_tunnels,
        )
        self.server.drain()
        self.tunnels.drain()
        await self.notify_peers()
        self.server.close_idle()
        await anyio.sleep(min(ACCEPT_S, self.grace_s / 3))
        self.stop_accepting()
        log.info(
            'accepting_ended',
            open=self.server.open_requests,
            connections=self.server.connections,
            tunnels=self.tunnels.open_tunnels,
            behind_s=round(anyio.current_time() - started_at, 3),
        )
        self.server.close_idle()
        deadline = started_at + self.grace_s - EXIT_RESERVE_S
        while self._is_busy() and anyio.current_time() < deadline:
            self.server.close_idle()
            self.tunnels.close_idle()
            await anyio.sleep(POLL_INTERVAL_S)
        log.info(
            'left',
            cut=self.server.open_requests,
            connections=self.server.connections,
            tunnels=self.tunnels.open_tunnels,
            behind_s=round(anyio.current_time() - started_at, 3),
        )

    def _is_busy(self) -> bool:
        """Whether connections of callers or tunnels of peers are left."""
        return bool(self.server.connections or self.tunnels.open_tunnels)
