"""How long a daemon that is short of processor time leaves things waiting.

A request lies in the socket until its daemon gets to it. On a small VM in a
flood that was 1.5 s, more than some callers wait at all: their requests were
sent on after they had left.
"""

from collections.abc import Callable
from dataclasses import dataclass

import anyio

PERIOD_S = 0.1
LEAST_S = 0.2
"""Lag below which nothing is taken off: timers are late by some ms in calm,
and a request waits through a part of the lag only."""


@dataclass(kw_only=True, slots=True)
class LoopLag:
    """Measures by how much the daemon's own timer is late."""

    clock: Callable[[], float]
    _due: float | None = None
    _last_s: float = 0.0

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            self._due = self.clock() + PERIOD_S
            await anyio.sleep(PERIOD_S)
            self._last_s = max(self.clock() - self._due, 0.0)

    def waited_s(self) -> float:
        """Return how long what is read now has likely waited."""
        if self._due is None:
            return 0.0
        lag_s = max(self.clock() - self._due, self._last_s)
        return lag_s if lag_s >= LEAST_S else 0.0
