"""Token bucket for a daemon's share of an endpoint's rate limit."""

from dataclasses import dataclass

BURST_S = 0.5
"""Capacity of the bucket, in seconds at the daemon's rate; at least one
request."""
NO_SHARE_RETRY_S = 0.5
"""Retry delay while only other daemons have a share."""


@dataclass(kw_only=True, slots=True)
class RateShare:
    """A daemon's share of an endpoint's rate limit, as a token bucket.

    Times are readings of the steady clock.
    """

    refilled_at: float
    limit_per_s: float = 0.0
    """Requests per second that the endpoint accepts from all daemons."""
    per_s: float = 0.0
    """Requests per second that this daemon may send, 0 without a share."""
    tokens: float = 0.0
    """Tokens: requests that may be sent now. Negative after requests that are
    sent without a check, such as streams resumed from a copy."""

    def set_rate(self, per_s: float, now: float) -> None:
        """Change the rate.

        A share that starts anew starts without tokens, as its previous owner
        may just have used them.
        """
        self._refill(now)
        if not self.per_s or not per_s:
            self.tokens = min(self.tokens, 0.0)
        self.per_s = per_s

    def has_token(self, now: float) -> bool:
        """Whether a request may be sent now."""
        self._refill(now)
        return self.per_s > 0 and self.tokens >= 1

    def take(self, now: float) -> None:
        """Take a token for a request that is sent now."""
        self._refill(now)
        self.tokens -= 1

    def available_in_s(self, now: float) -> float:
        """Return the time in seconds until a request may be sent."""
        if not self.per_s:
            return NO_SHARE_RETRY_S
        self._refill(now)
        return max(0.0, (1 - self.tokens) / self.per_s)

    def _refill(self, now: float) -> None:
        capacity = max(1.0, self.per_s * BURST_S)
        added = self.per_s * (now - self.refilled_at)
        self.tokens = min(self.tokens + added, capacity)
        self.refilled_at = now
