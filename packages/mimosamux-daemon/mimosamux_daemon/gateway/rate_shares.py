"""What one daemon may send to an endpoint that names a limit."""

from dataclasses import dataclass

BURST_S = 0.5
"""Time for which what is not used is kept, at least one request."""
ELSEWHERE_RETRY_S = 0.5
"""When to come again if only other daemons may send there now."""


@dataclass(kw_only=True, slots=True)
class RateShare:
    """A token bucket; times are of the steady clock."""

    filled_at: float
    limit_per_s: float = 0.0
    """Requests a second that the endpoint takes from all daemons."""
    per_s: float = 0.0
    """How many of them are this daemon's, 0: none are now."""
    left: float = 0.0
    """Requests that may be sent now; below zero where some went there
    without asking, as those that go on from a copy do."""

    def change(self, per_s: float, now: float) -> None:
        """Go on with another rate.

        A share that begins anew begins with nothing: whoever had it before
        may just have used it.
        """
        self._fill(now)
        if not self.per_s or not per_s:
            self.left = min(self.left, 0.0)
        self.per_s = per_s

    def has_room(self, now: float) -> bool:
        """Whether a request may be sent now."""
        self._fill(now)
        return self.per_s > 0 and self.left >= 1

    def take(self, now: float) -> None:
        """Count a request that is sent now."""
        self._fill(now)
        self.left -= 1

    def opens_in_s(self, now: float) -> float:
        """Return the time until a request may be sent."""
        if not self.per_s:
            return ELSEWHERE_RETRY_S
        self._fill(now)
        return max(0.0, (1 - self.left) / self.per_s)

    def _fill(self, now: float) -> None:
        most = max(1.0, self.per_s * BURST_S)
        gained = self.per_s * (now - self.filled_at)
        self.left = min(self.left + gained, most)
        self.filled_at = now
