"""How fast the engines of a service read prompts, learned from requests.

The time to the first event of a request that found its engine idle is a
constant part and one that grows with the tokens that had to be read. A
least-squares line through such pairs gives both.
"""

from dataclasses import dataclass

DEFAULT_TOKENS_PER_S = 50_000.0
"""Used before anything was seen. Half of what the engines of both users
reach: too low a speed costs an endpoint too many for some seconds."""
DEFAULT_FIRST_S = 0.1
"""Constant part before anything was seen."""
FADE = 0.99
"""Weight of all earlier pairs at each new one: the last hundred count."""
LEAST_WEIGHT = 8.0
LEAST_SPREAD = 1000.0
"""Standard deviation of the token counts, below which no slope is taken
from them."""
SLOWEST, FASTEST = 1_000.0, 2_000_000.0


@dataclass(kw_only=True, slots=True)
class EngineSpeed:
    """Running sums of the line, and what follows from them."""

    tokens_per_s: float = DEFAULT_TOKENS_PER_S
    first_s: float = DEFAULT_FIRST_S
    _weight: float = 0.0
    _tokens: float = 0.0
    _seconds: float = 0.0
    _tokens_squared: float = 0.0
    _tokens_seconds: float = 0.0

    def note(self, unread_tokens: float, first_event_s: float) -> None:
        """Take a request that had its engine's prompts to itself."""
        self._weight = self._weight * FADE + 1
        self._tokens = self._tokens * FADE + unread_tokens
        self._seconds = self._seconds * FADE + first_event_s
        self._tokens_squared = self._tokens_squared * FADE + unread_tokens**2
        self._tokens_seconds = (
            self._tokens_seconds * FADE + unread_tokens * first_event_s
        )
        self._fit()

    def read_s(self, tokens: float) -> float:
        """Return the time to read so many tokens of prompts."""
        return tokens / self.tokens_per_s

    def _fit(self) -> None:
        if self._weight < LEAST_WEIGHT:
            return
        mean_tokens = self._tokens / self._weight
        mean_s = self._seconds / self._weight
        variance = self._tokens_squared / self._weight - mean_tokens**2
        if variance < LEAST_SPREAD**2:
            return
        covariance = self._tokens_seconds / self._weight - mean_tokens * mean_s
        if covariance <= 0:
            return
        speed = variance / covariance
        self.tokens_per_s = min(max(speed, SLOWEST), FASTEST)
        self.first_s = max(0.0, mean_s - mean_tokens / self.tokens_per_s)
