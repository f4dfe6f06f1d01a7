"""How a daemon that passes requests on stops without a cut."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio

from mimosamux_daemon.adapters.http1_server import Http1Server
from mimosamux_daemon.logs import get_log

log = get_log('stopping')

ACCEPT_S = 2.5
"""Time for which new connections are still served: callers who asked for
addresses before the stop began come for about as long as answers live."""
LAST_S = 0.6
"""What is kept of the grace for the last bytes and the end of the
process."""
POLL_S = 0.05


@dataclass(kw_only=True, slots=True)
class GatewayStop:
    """Stops in order: tell the peers, serve on, finish."""

    server: Http1Server
    tell_peers: Callable[[], Awaitable[None]]
    stop_accepting: Callable[[], None]
    grace_s: float

    async def run(self) -> None:
        """Return when nothing is under way, or the grace is over."""
        started_at = anyio.current_time()
        log.info('leaving', open=self.server.open_requests)
        self.server.drain()
        await self.tell_peers()
        self.server.close_idle()
        await anyio.sleep(min(ACCEPT_S, self.grace_s / 3))
        self.stop_accepting()
        self.server.close_idle()
        end = started_at + self.grace_s - LAST_S
        while self.server.connections and anyio.current_time() < end:
            self.server.close_idle()
            await anyio.sleep(POLL_S)
        log.info('left', cut=self.server.open_requests)
