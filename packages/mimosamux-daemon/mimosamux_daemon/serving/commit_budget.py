"""Rate limit for the journal's commits, shared by all daemons.

The table accepts several hundred writes a second in total. Each daemon
gets an equal share of the commit rate: with more daemons, each of them
commits less often and batches more requests into a commit.
"""

from collections.abc import Callable

import anyio

FLEET_COMMITS_PER_S = 150.0
"""Commits a second, in total over the journals of all daemons."""
BURST_COMMITS = 5.0
"""Capacity of the bucket: commits in a row after an idle period."""
MIN_COMMIT_INTERVAL_S = 0.005
"""Shortest time between two commits, in which requests are batched."""


class CommitBudget:
    """A token bucket, refilled at this daemon's share of the rate.

    `daemons` returns the current number of daemons.
    """

    def __init__(self, *, daemons: Callable[[], int]) -> None:
        self._daemons = daemons
        self._tokens = BURST_COMMITS
        self._refilled_at: float | None = None

    async def wait(self) -> None:
        """Wait for a token; return when the next commit may be made."""
        await anyio.sleep(MIN_COMMIT_INTERVAL_S)
        rate = FLEET_COMMITS_PER_S / max(1, self._daemons())
        self._refill(rate)
        if self._tokens < 1:
            await anyio.sleep((1 - self._tokens) / rate)
            self._refill(rate)
        self._tokens -= 1

    def _refill(self, rate: float) -> None:
        now = anyio.current_time()
        if self._refilled_at is not None:
            refilled = (now - self._refilled_at) * rate
            self._tokens = min(BURST_COMMITS, self._tokens + refilled)
        self._refilled_at = now
