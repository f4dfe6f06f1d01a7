"""Decides which requests a stopping daemon still takes.

Both kinds of daemon follow this rule: a request is taken only if it can be
finished before the stop ends. Any other is refused at once, while its caller
has time left for another daemon.
"""

import math
from dataclasses import dataclass


@dataclass(kw_only=True, slots=True)
class StopWindow:
    """Times of a stop, in seconds of its owner's monotonic clock."""

    began_at: float | None = None
    """Time of the stop signal; None while the daemon serves."""
    directed_until: float = math.inf
    """Until when callers may follow an address answer that names the daemon.

    A request that is refused earlier may come back to the same daemon."""
    ends_at: float = math.inf
    """Time at which requests that are still open are ended."""

    @property
    def is_stopping(self) -> bool:
        """Whether the stop has begun."""
        return self.began_at is not None

    def begin(
        self,
        *,
        at: float,
        directed_until: float = math.inf,
        ends_at: float = math.inf,
    ) -> None:
        """Begin the stop, or move the end of one that has begun."""
        if self.began_at is None:
            self.began_at = at
        self.directed_until = directed_until
        self.ends_at = ends_at

    def behind_s(self, now: float) -> float:
        """Return the time since the stop signal, 0 before it."""
        return 0.0 if self.began_at is None else now - self.began_at

    def can_finish(
        self,
        *,
        now: float,
        limit_s: float,
        expected_s: float = math.inf,
        may_have_run: bool = False,
    ) -> bool:
        """Whether a request may be sent now: it can end before the stop does.

        `limit_s` is the time to the request's deadline, `expected_s` the
        likely time to its end. The deadline is certain. The estimate decides
        where a refusal would be of no use: while a refused caller might be
        directed here again, and for one that may have run, which can't be
        called not run any more.
        """
        left_s = self.ends_at - now
        if limit_s <= left_s:
            return True
        is_estimate_enough = now <= self.directed_until or may_have_run
        return is_estimate_enough and expected_s <= left_s
