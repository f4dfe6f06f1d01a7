"""How long the requests of a route take, from their arrival to their end."""

from dataclasses import dataclass, field

MEAN_WEIGHT = 1 / 8
"""Weight of the latest sample in the mean, as in RFC 6298."""
DEVIATION_WEIGHT = 1 / 4
"""Weight of the latest sample in the mean deviation, as in RFC 6298."""
DEVIATIONS = 2.0
"""Mean deviations above the mean within which most requests end."""
MAX_ROUTES = 1024
"""Most routes that are kept; the least recently used is removed first."""


@dataclass(kw_only=True, slots=True)
class _Estimate:
    """Smoothed mean and mean deviation, in seconds."""

    mean_s: float
    deviation_s: float = 0.0

    def add(self, took_s: float) -> None:
        difference_s = took_s - self.mean_s
        self.deviation_s += DEVIATION_WEIGHT * (
            abs(difference_s) - self.deviation_s
        )
        self.mean_s += MEAN_WEIGHT * difference_s


@dataclass(kw_only=True, slots=True)
class AnswerTimes:
    """Estimates by route.

    They rest on requests that were answered whole, and on those that reached
    their time limit.
    """

    _by_route: dict[str, _Estimate] = field(default_factory=dict)

    def note(self, route: str, took_s: float) -> None:
        """Add the time from the arrival of a request to its end."""
        estimate = self._by_route.pop(route, None)
        if estimate is None:
            estimate = _Estimate(mean_s=took_s)
        else:
            estimate.add(took_s)
        self._by_route[route] = estimate
        if len(self._by_route) > MAX_ROUTES:
            del self._by_route[next(iter(self._by_route))]

    def expected_s(self, route: str) -> float:
        """Return the time in which most requests end, 0 if not known."""
        estimate = self._by_route.get(route)
        if estimate is None:
            return 0.0
        return estimate.mean_s + DEVIATIONS * estimate.deviation_s
