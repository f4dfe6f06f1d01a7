"""Estimates the prefill speed of a service's engines from requests.

If no other prompt is queued, the time to the first event is a constant plus
a part proportional to the tokens to prefill. A weighted least-squares line
through (tokens, seconds) samples gives both. Requests that were queued behind
others are left out: the length of the queue is known only roughly, and this
error in the tokens would flatten the line.
"""

from dataclasses import dataclass, field, replace

DEFAULT_TOKENS_PER_S = 90_000.0
"""Prefill speed before there are samples: what the engines of both users
reach while they also decode answers."""
DEFAULT_CONSTANT_S = 0.1
"""Constant part of the time before there are samples."""
DECAY = 0.99
"""Factor on the weight of earlier samples at each new one: about the last
hundred samples count."""
PRIOR_WEIGHT = 3.0
PRIOR_TOKENS = (0.0, 10_000.0)
"""Prior: two samples on the default line, at these numbers of tokens, with
`PRIOR_WEIGHT` each. Their weight does not decay, so that a few outliers
cannot reverse the slope."""
FULL_WEIGHT_S = 0.15
"""Time to the first event up to which a sample has weight one. The weight of
longer ones falls with the square of the time: the relative error is what
matters, and long times depend on much besides the prefill."""
MIN_TOKENS_PER_S, MAX_TOKENS_PER_S = 2_000.0, 1_000_000.0
"""Bounds of the estimated speed, in tokens a second."""


@dataclass(kw_only=True, slots=True)
class EngineSpeed:
    """Estimate from a linear regression with exponential decay."""

    tokens_per_s: float = DEFAULT_TOKENS_PER_S
    constant_s: float = DEFAULT_CONSTANT_S
    """Constant part of the time to the first event."""
    _sums: 'SampleSums' = field(default_factory=lambda: SampleSums())

    def add_sample(self, unread_tokens: float, first_event_s: float) -> None:
        """Add the sample of a request that found no other prompt queued."""
        self._sums.decay()
        weight = min((FULL_WEIGHT_S / max(first_event_s, 0.01)) ** 2, 1.0)
        self._sums.add(unread_tokens, first_event_s, weight)
        self._fit()

    def first_event_s(self, tokens: float) -> float:
        """Return the time to the first event behind a number of tokens."""
        return self.constant_s + self.prefill_s(tokens)

    def prefill_s(self, tokens: float) -> float:
        """Return the time to prefill a number of prompt tokens."""
        return tokens / self.tokens_per_s

    def _fit(self) -> None:
        """Compute the regression line from the sums and the prior."""
        sums = replace(self._sums)
        for tokens in PRIOR_TOKENS:
            seconds = DEFAULT_CONSTANT_S + tokens / DEFAULT_TOKENS_PER_S
            sums.add(tokens, seconds, PRIOR_WEIGHT)
        mean_tokens = sums.tokens / sums.weight
        mean_s = sums.seconds / sums.weight
        variance = sums.tokens_squared / sums.weight - mean_tokens**2
        covariance = (
            sums.tokens_times_seconds / sums.weight - mean_tokens * mean_s
        )
        min_covariance, max_covariance = (
            variance / MAX_TOKENS_PER_S,
            variance / MIN_TOKENS_PER_S,
        )
        covariance = min(max(covariance, min_covariance), max_covariance)
        self.tokens_per_s = variance / covariance
        self.constant_s = max(0.0, mean_s - mean_tokens / self.tokens_per_s)


@dataclass(kw_only=True, slots=True)
class SampleSums:
    """Weighted sums over samples of tokens and seconds."""

    weight: float = 0.0
    tokens: float = 0.0
    seconds: float = 0.0
    tokens_squared: float = 0.0
    tokens_times_seconds: float = 0.0

    def add(self, tokens: float, seconds: float, weight: float) -> None:
        """Add one sample."""
        self.weight += weight
        self.tokens += weight * tokens
        self.seconds += weight * seconds
        self.tokens_squared += weight * tokens**2
        self.tokens_times_seconds += weight * tokens * seconds

    def decay(self) -> None:
        """Reduce the weight of all earlier samples by `DECAY`."""
        self.weight *= DECAY
        self.tokens *= DECAY
        self.seconds *= DECAY
        self.tokens_squared *= DECAY
        self.tokens_times_seconds *= DECAY
