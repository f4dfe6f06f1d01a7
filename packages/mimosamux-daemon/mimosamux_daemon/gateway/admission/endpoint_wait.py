"""Waits for an endpoint of a service that has none at the moment.

A platform can reclaim all endpoints of a service within seconds. Those that
are ordered in their place serve after their boot time: a request whose time
limit allows for that waits, where its caller's one retry would come too soon.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from mimosamux_daemon.domain.names import ServiceName
from mimosamux_daemon.gateway.jobs import Job
from mimosamux_daemon.gateway.metrics import GatewayMetrics
from mimosamux_daemon.logs import get_log

log = get_log('queueing')

MAX_WAITING = 64
"""Bound of the requests of a daemon that wait here."""
MAX_WAIT_SHARE = 0.5
"""Longest wait as a share of the time limit; the rest is for the answer."""


@dataclass(kw_only=True, slots=True)
class EndpointWait:
    """Requests of this daemon that wait for the first endpoint."""

    is_enabled: Callable[[], bool]
    has_endpoints: Callable[[ServiceName], bool]
    """Whether any endpoint of a service may get new requests."""
    metrics: GatewayMetrics
    clock: Callable[[], float]
    is_closed: bool = False
    """Whether the daemon stops and lets no request wait."""
    waiting: int = 0
    _changed: anyio.Event = field(default_factory=anyio.Event)
    """Set, and replaced by a new one, when waiting requests look again."""

    def note_change(self) -> None:
        """Have waiting requests look at the endpoints again."""
        self._changed.set()
        self._changed = anyio.Event()

    def close(self) -> None:
        """End all waits, and let no further request wait."""
        self.is_closed = True
        self.note_change()

    async def wait(self, job: Job) -> bool:
        """Wait until the service has an endpoint; False if it has none.

        It returns at once for a request that may have run, and where an
        endpoint that is ordered now would serve too late for it.
        """
        started_at = self.clock()
        until = job.request.received_at + MAX_WAIT_SHARE * job.limit_s
        if not self._has_prospect(job, until - started_at):
            return False
        service = job.service.name
        self.waiting += 1
        try:
            with anyio.move_on_after(until - started_at):
                while not (self.is_closed or self.has_endpoints(service)):
                    await self._changed.wait()
        finally:
            self.waiting -= 1
        is_served = not self.is_closed and self.has_endpoints(service)
        self._note_end(job, self.clock() - started_at, is_served=is_served)
        return is_served

    def _has_prospect(self, job: Job, left_s: float) -> bool:
        """Whether an endpoint may start while the request can wait."""
        scaling = job.service.scaling
        if job.sends or scaling is None or not self.is_enabled():
            return False
        if self.is_closed or self.waiting >= MAX_WAITING:
            return False
        is_missing = not self.has_endpoints(job.service.name)
        return is_missing and scaling.boot_s < left_s

    def _note_end(self, job: Job, waited_s: float, *, is_served: bool) -> None:
        """Log and count the end of a wait."""
        service = job.service.name
        result = 'endpoint_found' if is_served else 'unplaced'
        self.metrics.note_wait(service, result, waited_s)
        log.info(
            'endpoint_awaited',
            request=job.request.id,
            route=job.route.name,
            waited_s=round(waited_s, 3),
            outcome=result,
            left_s=round(job.left_s(self.clock()), 2),
        )
