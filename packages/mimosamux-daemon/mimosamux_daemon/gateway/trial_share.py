"""How many requests a version under trial may get now.

At a large site the operator's share gives answers enough. At a small one it
would give a handful in the whole time, so part of the tolerance is spent
first, at a rate that the holder bounds by what all daemons have counted.
"""

from dataclasses import dataclass

from mimosamux_daemon.gateway.rollouts import SAFE_FRACTION, RolloutLimits

TOLERANCE_PART = 0.5
"""Part of the tolerance that is spent; the rest is for what is under way
while counts are."""
SPEND_S = 8.0
"""Time over which what is left of it is spent."""
MOST_SHARE = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class TrialShare:
    """Finds the share for the next moments."""

    limits: RolloutLimits

    def find(self, *, requests: int, trials: int, passed_s: float) -> float:
        """Return the share, from the counts of all daemons so far."""
        safe = SAFE_FRACTION * self.limits.share
        if requests == 0 or passed_s <= 0:
            return safe
        left = (
            TOLERANCE_PART * self.limits.tolerance + safe * requests - trials
        )
        rate = requests / passed_s
        wanted = safe + left / (rate * SPEND_S)
        return min(max(wanted, 0.0), max(safe, MOST_SHARE))
