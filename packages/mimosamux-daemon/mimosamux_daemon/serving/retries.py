"""Budget of retries for each class of work.

Without a budget, an endpoint that fails many requests at once makes the
daemon send them all again at the moment when capacity is short, and the
retries fail the next endpoint. The budget bounds retries to a share of
recent traffic; work that finds it used up waits and goes on later.
"""

from dataclasses import dataclass, field

import anyio

from mimosamux_daemon.domain.names import ClassName
from mimosamux_daemon.domain.work import WorkClass

RECENT_S = 60.0
"""Window of the traffic that counts as recent, in seconds."""
RESERVE = 10.0
"""Retries that are allowed at once however little traffic there is."""
SHORTEST_WAIT_S = 0.01
"""Shortest pause before the budget is looked at again, in seconds."""
REFILL_PER_S = 1.0
"""Retries a second allowed without any traffic, so that all go on."""


@dataclass(kw_only=True, slots=True)
class _Bucket:
    share: float
    filled_at: float
    tokens: float = RESERVE
    recent: float = 0.0
    """Requests of the recent window, decayed over it."""

    def fill(self, now: float) -> None:
        passed = now - self.filled_at
        self.filled_at = now
        self.recent *= max(0.0, 1.0 - passed / RECENT_S)
        self._add(passed * REFILL_PER_S)

    def note_request(self) -> None:
        self.recent += 1.0
        self._add(self.share)

    def _add(self, tokens: float) -> None:
        most = max(RESERVE, self.share * self.recent)
        self.tokens = min(self.tokens + tokens, most)


@dataclass(kw_only=True, slots=True)
class RetryBudget:
    """Token buckets of retries by class."""

    _by_class: dict[ClassName, _Bucket] = field(default_factory=dict)

    def note_request(self, work_class: WorkClass) -> None:
        """Count an accepted request, which allows a share of a retry."""
        self._bucket(work_class).note_request()

    def take(self, work_class: WorkClass) -> bool:
        """Take one retry; False: the budget is used up for now."""
        bucket = self._bucket(work_class)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    async def wait(self, work_class: WorkClass) -> None:
        """Take one retry as soon as the budget has one."""
        while not self.take(work_class):
            missing = 1.0 - self._bucket(work_class).tokens
            await anyio.sleep(max(missing / REFILL_PER_S, SHORTEST_WAIT_S))

    def _bucket(self, work_class: WorkClass) -> _Bucket:
        now = anyio.current_time()
        bucket = self._by_class.get(work_class.name)
        if bucket is None:
            bucket = _Bucket(share=work_class.retry_share, filled_at=now)
            self._by_class[work_class.name] = bucket
        bucket.share = work_class.retry_share
        bucket.fill(now)
        return bucket
