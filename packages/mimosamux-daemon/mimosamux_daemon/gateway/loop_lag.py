"""Measures the event loop's lag, to estimate how long requests waited unread.

A daemon short of processor time leaves requests in the socket buffer. On a
small VM under overload they waited 1.5 s, longer than some callers' time-outs:
such requests were forwarded after their callers had left.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

PERIOD_S = 0.1
MIN_LAG_S = 0.2
"""A smaller lag is ignored: timers are a few ms late on an idle machine, and a
request waits for only a part of the lag."""


@dataclass(kw_only=True, slots=True)
class LoopLag:
    """Measures how late a periodic timer of the event loop fires."""

    clock: Callable[[], float]
    on_tick: list[Callable[[], None]] = field(default_factory=list)
    """Called each time the timer fires."""
    _due_at: float | None = None
    _last_lag_s: float = 0.0

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            self._due_at = self.clock() + PERIOD_S
            await anyio.sleep(PERIOD_S)
            self._last_lag_s = max(self.clock() - self._due_at, 0.0)
            for listener in self.on_tick:
                listener()

    def estimated_wait_s(self) -> float:
        """Return the likely wait of a request that is read now."""
        if self._due_at is None:
            return 0.0
        lag_s = max(self.clock() - self._due_at, self._last_lag_s)
        return lag_s if lag_s >= MIN_LAG_S else 0.0
