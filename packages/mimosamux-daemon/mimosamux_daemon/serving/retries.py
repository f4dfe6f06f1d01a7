"""Retry budget for each class of work.

An endpoint that fails many requests at once would otherwise cause a retry
storm: all of them are sent again while capacity is short, and overload the
next endpoint. The budget bounds retries to a fraction of recent traffic;
a request that finds it exhausted waits for the next retry.
"""

from dataclasses import dataclass, field

import anyio

from mimosamux_daemon.domain.names import ClassName
from mimosamux_daemon.domain.work import WorkClass

TRAFFIC_WINDOW_S = 60.0
"""Window of the recent traffic, in seconds."""
MIN_CAPACITY = 10.0
"""Smallest capacity of a bucket, in retries, with little traffic."""
MIN_WAIT_S = 0.01
"""Shortest wait before the budget is checked again, in seconds."""
REFILL_PER_S = 1.0
"""Retries a second without any traffic, so that no request starves."""


@dataclass(kw_only=True, slots=True)
class _Bucket:
    share: float
    """Retries that each request adds."""
    refilled_at: float
    tokens: float = MIN_CAPACITY
    recent_requests: float = 0.0
    """Requests in the window, decayed over it."""

    def refill(self, now: float) -> None:
        elapsed_s = now - self.refilled_at
        self.refilled_at = now
        self.recent_requests *= max(0.0, 1.0 - elapsed_s / TRAFFIC_WINDOW_S)
        self._add(elapsed_s * REFILL_PER_S)

    def note_request(self) -> None:
        self.recent_requests += 1.0
        self._add(self.share)

    def _add(self, tokens: float) -> None:
        capacity = max(MIN_CAPACITY, self.share * self.recent_requests)
        self.tokens = min(self.tokens + tokens, capacity)


@dataclass(kw_only=True, slots=True)
class RetryBudget:
    """Token buckets for retries, by class."""

    _by_class: dict[ClassName, _Bucket] = field(default_factory=dict)

    def note_request(self, work_class: WorkClass) -> None:
        """Count an accepted request, which adds a fraction of a retry."""
        self._bucket(work_class).note_request()

    def take(self, work_class: WorkClass) -> bool:
        """Take one retry; return False if the budget is exhausted."""
        bucket = self._bucket(work_class)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    async def wait(self, work_class: WorkClass) -> None:
        """Wait until the budget has a retry, and take it."""
        while not self.take(work_class):
            missing = 1.0 - self._bucket(work_class).tokens
            await anyio.sleep(max(missing / REFILL_PER_S, MIN_WAIT_S))

    def _bucket(self, work_class: WorkClass) -> _Bucket:
        now = anyio.current_time()
        bucket = self._by_class.get(work_class.name)
        if bucket is None:
            bucket = _Bucket(share=work_class.retry_share, refilled_at=now)
            self._by_class[work_class.name] = bucket
        bucket.share = work_class.retry_share
        bucket.refill(now)
        return bucket
