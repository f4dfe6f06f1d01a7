"""Retry budget: limits how many requests are sent to a further endpoint.

The limit holds for all daemons together. Each daemon enforces its own part of
it, so that the limit also holds while daemons cannot reach each other: a fixed
share of the requests that the daemon forwards itself, and an equal part of the
extra allowance.
"""

from collections import Counter, defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass

from mimosamux_daemon.domain.names import ServiceName

SHARE_USED = 0.8
"""Fraction of the allowed share that is used; the rest covers requests that
count in another window than their retries."""
EXTRA_USED = 0.4
"""Fraction of the extra allowance that is used: a daemon that restarts has its
part again, and all daemons may restart within one window."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RetryLimits:
    """Retry limits of a service, for all daemons together."""

    share: float
    """Retries allowed per request."""
    window_s: float
    extra: float
    """Retries allowed per window in addition to the share."""


class RetryBudget:
    """Counts requests and retries of each service in a sliding window."""

    def __init__(
        self,
        *,
        limits: RetryLimits,
        daemons: Callable[[], int],
        clock: Callable[[], float],
    ) -> None:
        self._limits = limits
        self._daemons = daemons
        self._clock = clock
        self._events: deque[tuple[float, ServiceName, bool]] = deque()
        self._requests: Counter[ServiceName] = Counter()
        self._retries: dict[ServiceName, int] = defaultdict(int)

    def note_request(self, service: ServiceName) -> None:
        """Count a caller's request, which adds to the budget."""
        self._expire()
        self._events.append((self._clock(), service, False))
        self._requests[service] += 1

    def take(self, service: ServiceName) -> bool:
        """Spend one retry from the budget; False if none is left."""
        self._expire()
        share = self._limits.share * SHARE_USED * self._requests[service]
        extra = self._limits.extra * EXTRA_USED / max(self._daemons(), 1)
        if self._retries[service] + 1 > share + extra:
            return False
        self._events.append((self._clock(), service, True))
        self._retries[service] += 1
        return True

    def _expire(self) -> None:
        oldest = self._clock() - self._limits.window_s
        while self._events and self._events[0][0] <= oldest:
            _, service, is_retry = self._events.popleft()
            if is_retry:
                self._retries[service] -= 1
            else:
                self._requests[service] -= 1
