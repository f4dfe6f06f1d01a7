"""Retry-after times that follow the rate at which capacity becomes free.

The callers that a daemon refuses during a burst would return together if all
were given the same time. Each is given a time behind the callers that the
daemon has already told to return, spread at random.
"""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from mimosamux_daemon.domain.names import ServiceName
from mimosamux_daemon.gateway.jobs import Job

MIN_RETRY_AFTER_S = 0.2
"""Shortest retry-after time."""
MAX_RETRY_AFTER_SHARE = 0.3
"""Longest retry-after time, as a share of the time left until the request's
deadline; the caller would not wait longer."""
MIN_SPREAD, MAX_SPREAD = 0.5, 1.5
"""Bounds of the random factor on a retry-after time."""
MAX_RETURNS = 256
"""Returns that are remembered for a service."""


@dataclass(kw_only=True, slots=True)
class RetryTimes:
    """Draws retry-after times for the refused requests of this daemon."""

    site_rate_per_s: Callable[[ServiceName], float]
    """Rate at which all daemons complete requests of a service."""
    daemons: Callable[[], int]
    clock: Callable[[], float]
    rng: random.Random
    _returns_by_service: dict[ServiceName, list[float]] = field(
        default_factory=dict
    )
    """When refused callers may return, as a heap for each service."""

    def draw_s(self, job: Job, *, late_s: float, ahead: int) -> float:
        """Return a retry-after time in seconds.

        `late_s` is how much too late the endpoint with the least wait would
        begin the request, and `ahead` the number of requests that wait here.
        """
        now, service = self.clock(), job.service.name
        returns = self._returns_by_service.setdefault(service, [])
        while returns and returns[0] <= now:
            heapq.heappop(returns)
        wait_s = max(late_s, MIN_RETRY_AFTER_S)
        rate_per_s = self.site_rate_per_s(service) / max(self.daemons(), 1)
        if rate_per_s > 0:
            wait_s += (ahead + len(returns)) / rate_per_s
        max_s = MAX_RETRY_AFTER_SHARE * max(job.left_s(now), 0.0)
        upper_s = min(MAX_SPREAD * wait_s, max_s)
        lower_s = min(
            max(MIN_SPREAD * wait_s, MIN_RETRY_AFTER_S), MIN_SPREAD * max_s
        )
        retry_after_s = self.rng.uniform(min(lower_s, upper_s), upper_s)
        if len(returns) < MAX_RETURNS:
            heapq.heappush(returns, now + retry_after_s)
        return retry_after_s
