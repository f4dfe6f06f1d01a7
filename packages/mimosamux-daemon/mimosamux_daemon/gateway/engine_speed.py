"""How fast the engines of a service read prompts, learned from requests.

The time to the first event of a request that found no other prompt waiting
is a constant part, and one that grows with the tokens to read. A least-
squares line through such pairs gives both. Requests behind others are left
out: how much waits there is known only roughly, which flattens the line.
"""

from dataclasses import dataclass, field, replace

DEFAULT_TOKENS_PER_S = 90_000.0
"""Used before anything was seen: what the engines of both users reach
while they also write answers."""
DEFAULT_FIRST_S = 0.1
"""Constant part before anything was seen."""
FADE = 0.99
"""Weight of all earlier pairs at each new one: the last hundred count."""
PRIOR_WEIGHT = 3.0
PRIOR_TOKENS = (0.0, 10_000.0)
"""Two made-up pairs on the default line weigh so much each, and never
fade: a few odd pairs cannot turn the line over."""
USUAL_S = 0.15
"""Time to a first event that weighs one. Longer ones weigh less, by their
square: the error that counts is the relative one, and behind a long queue
the time depends on much else."""
SLOWEST, FASTEST = 2_000.0, 1_000_000.0
"""Tokens a second between which the speed of any engine lies."""


@dataclass(kw_only=True, slots=True)
class EngineSpeed:
    """Running sums of the line, and what follows from them."""

    tokens_per_s: float = DEFAULT_TOKENS_PER_S
    first_s: float = DEFAULT_FIRST_S
    _sums: 'Sums' = field(default_factory=lambda: Sums())

    def note(self, unread_tokens: float, first_event_s: float) -> None:
        """Take a request that found no other prompt waiting."""
        self._sums.fade()
        weight = min((USUAL_S / max(first_event_s, 0.01)) ** 2, 1.0)
        self._sums.add(unread_tokens, first_event_s, weight)
        self._fit()

    def read_s(self, tokens: float) -> float:
        """Return the time to read so many tokens of prompts."""
        return tokens / self.tokens_per_s

    def _fit(self) -> None:
        sums = replace(self._sums)
        for tokens in PRIOR_TOKENS:
            seconds = DEFAULT_FIRST_S + tokens / DEFAULT_TOKENS_PER_S
            sums.add(tokens, seconds, PRIOR_WEIGHT)
        mean_tokens = sums.tokens / sums.weight
        mean_s = sums.seconds / sums.weight
        variance = sums.tokens_squared / sums.weight - mean_tokens**2
        covariance = sums.product / sums.weight - mean_tokens * mean_s
        slowest, fastest = variance / FASTEST, variance / SLOWEST
        covariance = min(max(covariance, slowest), fastest)
        self.tokens_per_s = variance / covariance
        self.first_s = max(0.0, mean_s - mean_tokens / self.tokens_per_s)


@dataclass(kw_only=True, slots=True)
class Sums:
    """Weighted sums over pairs of tokens and seconds."""

    weight: float = 0.0
    tokens: float = 0.0
    seconds: float = 0.0
    tokens_squared: float = 0.0
    product: float = 0.0

    def add(self, tokens: float, seconds: float, weight: float) -> None:
        """Add one pair."""
        self.weight += weight
        self.tokens += weight * tokens
        self.seconds += weight * seconds
        self.tokens_squared += weight * tokens**2
        self.product += weight * tokens * seconds

    def fade(self) -> None:
        """Let all earlier pairs count less."""
        self.weight *= FADE
        self.tokens *= FADE
        self.seconds *= FADE
        self.tokens_squared *= FADE
        self.product *= FADE
