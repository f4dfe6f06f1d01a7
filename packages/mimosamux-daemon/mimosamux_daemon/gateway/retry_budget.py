"""How often requests may be sent to a further endpoint.

The limit holds for all daemons together. Each keeps to its own part of it,
so that it holds as well where daemons cannot talk to each other: a share
of the requests that it passes on itself, and an equal part of what is
allowed on top.
"""

from collections import Counter, defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass

from mimosamux_daemon.domain.names import ServiceName

SHARE_USED = 0.8
"""Part of the allowed share that is used; the rest covers requests that
count in another window than their retries."""
EXTRA_USED = 0.4
"""Part of the extra allowance that is used: daemons that start anew have
theirs again, and all of them may start anew within one window."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RetryLimits:
    """Limits for a service, over all daemons."""

    share: float
    """Retries allowed for each request."""
    window_s: float
    extra: float
    """Retries allowed in a window on top of the share."""


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
        self._log: deque[tuple[float, ServiceName, bool]] = deque()
        self._requests: Counter[ServiceName] = Counter()
        self._retries: dict[ServiceName, int] = defaultdict(int)

    def note_request(self, service: ServiceName) -> None:
        """Count a caller's request."""
        self._forget_old()
        self._log.append((self._clock(), service, False))
        self._requests[service] += 1

    def take(self, service: ServiceName) -> bool:
        """Spend one retry; False if none is left."""
        self._forget_old()
        share = self._limits.share * SHARE_USED * self._requests[service]
        extra = self._limits.extra * EXTRA_USED / max(self._daemons(), 1)
        if self._retries[service] + 1 > share + extra:
            return False
        self._log.append((self._clock(), service, True))
        self._retries[service] += 1
        return True

    def _forget_old(self) -> None:
        oldest = self._clock() - self._limits.window_s
        while self._log and self._log[0][0] <= oldest:
            _, service, is_retry = self._log.popleft()
            if is_retry:
                self._retries[service] -= 1
            else:
                self._requests[service] -= 1
