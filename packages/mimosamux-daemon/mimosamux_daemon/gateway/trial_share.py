"""Share of the requests that a version under trial gets.

At a large site the operator's share yields enough answers for a verdict. At a
small one it would yield a handful in the whole trial, so part of the tolerance
is spent as well. The lease holder bounds the rate of that spending by the
request counts of all daemons.
"""

from dataclasses import dataclass

from mimosamux_daemon.gateway.rollouts import SAFE_FRACTION, RolloutLimits

TOLERANCE_FRACTION = 0.5
"""Part of the tolerance that is spent; the rest covers requests that are sent
before the counts arrive."""
SPENDING_PERIOD_S = 8.0
"""Time over which the remaining budget is spent."""
MAX_SHARE = 0.5
"""Upper bound of the share, unless the safe share is higher."""


@dataclass(frozen=True, kw_only=True, slots=True)
class TrialShare:
    """Computes the share to announce next."""

    limits: RolloutLimits

    def find(self, *, requests: int, trials: int, passed_s: float) -> float:
        """Return the share of requests that go to the new version.

        `requests` and `trials` are the requests of all daemons since the trial
        began `passed_s` seconds ago, and those sent to the new version.
        """
        safe = SAFE_FRACTION * self.limits.share
        if requests == 0 or passed_s <= 0:
            return safe
        budget_left = (
            TOLERANCE_FRACTION * self.limits.tolerance
            + safe * requests
            - trials
        )
        rate = requests / passed_s
        wanted = safe + budget_left / (rate * SPENDING_PERIOD_S)
        return min(max(wanted, 0.0), max(safe, MAX_SHARE))
