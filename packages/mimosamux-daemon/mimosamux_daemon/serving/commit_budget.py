"""Spaces the journal's commits so that all daemons stay in one budget.

The table takes several hundred writes a second for everybody. With more
daemons each one commits less often, and with more requests each time.
"""

from collections.abc import Callable

import anyio

FLEET_COMMITS_PER_S = 150.0
"""Commits a second that the journals of all daemons may take together."""
BURST = 5.0
"""Commits that a daemon may make at once after a quiet time."""
SHORTEST_PAUSE_S = 0.005
"""Least time between two commits, so that requests gather."""


class CommitBudget:
    """A token bucket that is refilled with this daemon's part."""

    def __init__(self, *, daemons: Callable[[], int]) -> None:
        self._daemons = daemons
        self._saved = BURST
        self._filled_at: float | None = None

    async def wait(self) -> None:
        """Return when the next commit may go out."""
        await anyio.sleep(SHORTEST_PAUSE_S)
        rate = FLEET_COMMITS_PER_S / max(1, self._daemons())
        self._fill(rate)
        if self._saved < 1:
            await anyio.sleep((1 - self._saved) / rate)
            self._fill(rate)
        self._saved -= 1

    def _fill(self, rate: float) -> None:
        now = anyio.current_time()
        if self._filled_at is not None:
            earned = (now - self._filled_at) * rate
            self._saved = min(BURST, self._saved + earned)
        self._filled_at = now
