"""Measures the offered load of each service, over all daemons.

The offered load is the mean number of endpoints that the requests keep busy:
the busy time that they cause, divided by the time in which they arrive. Each
daemon adds up its own requests, and reports its total in the state digest.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from mimosamux_wire import ServiceDemand, StateDigest

from mimosamux_daemon.domain.names import DaemonId, ServiceName
from mimosamux_daemon.gateway.exchange.peer_states import PeerState

BUCKET_S = 1.0
"""Time span of one bucket of the history."""
CURRENT_BUCKETS = 2
"""Number of complete buckets that make up the current load: enough that the
length of single prompts has little effect on it."""
HISTORY_BUCKETS = 30
"""Length of the history, the incomplete bucket included."""


@dataclass(kw_only=True, slots=True)
class _History:
    """Busy time of one service in seconds, by bucket, oldest first.

    The last bucket is incomplete.
    """

    buckets: deque[float] = field(
        default_factory=lambda: deque([0.0], maxlen=HISTORY_BUCKETS)
    )
    own_busy_s: float = 0.0
    """Total busy time of the requests that this daemon received."""
    own_requests: int = 0
    first_seen_at: float | None = None
    """When the first request was observed."""
    reported_by_peer: dict[DaemonId, tuple[int, int]] = field(
        default_factory=dict
    )
    """Incarnation of each peer, and its total busy time in milliseconds."""


class Demand:
    """Load of the requests to this daemon and, as reported, to its peers."""

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._bucket_ends_at = clock() + BUCKET_S
        self._by_service: dict[ServiceName, _History] = {}

    def note(self, service: ServiceName, busy_s: float) -> None:
        """Count a request that keeps one endpoint busy for `busy_s`."""
        self._advance()
        history = self._history(service)
        history.own_busy_s += busy_s
        history.own_requests += 1
        self._add(history, busy_s)

    def offered_load(self, service: ServiceName) -> float:
        """Return the current offered load, in endpoints."""
        self._advance()
        buckets = list(self._history(service).buckets)[:-1][-CURRENT_BUCKETS:]
        return sum(buckets) / (len(buckets) * BUCKET_S) if buckets else 0.0

    def mean_busy_s(self, service: ServiceName) -> float:
        """Return the mean busy time of the requests to this daemon."""
        history = self._history(service)
        return history.own_busy_s / max(history.own_requests, 1)

    def peak_offered_load(self, service: ServiceName) -> float:
        """Return the highest offered load of the last half minute."""
        self._advance()
        buckets = list(self._history(service).buckets)[:-1]
        sums = [
            sum(buckets[end - CURRENT_BUCKETS : end])
            for end in range(CURRENT_BUCKETS, len(buckets) + 1)
        ]
        if not sums:
            return self.offered_load(service)
        return max(sums) / (CURRENT_BUCKETS * BUCKET_S)

    def observed_s(self, service: ServiceName) -> float:
        """Return the time since the first request, 0 if there was none."""
        first_seen_at = self._history(service).first_seen_at
        return 0.0 if first_seen_at is None else self._clock() - first_seen_at

    def write(self, digest: StateDigest) -> None:
        """Write the total busy time of this daemon's requests."""
        digest.demands.extend(
            ServiceDemand(
                service=service, busy_ms=int(history.own_busy_s * 1000)
            )
            for service, history in self._by_service.items()
        )

    def take(self, peer: PeerState, digest: StateDigest) -> None:
        """Add the busy time that a peer reports beyond its last report."""
        self._advance()
        for demand in digest.demands:
            history = self._history(ServiceName(demand.service))
            incarnation, before = history.reported_by_peer.get(
                peer.place.id, (peer.incarnation, demand.busy_ms)
            )
            if incarnation != peer.incarnation:
                before = 0
            history.reported_by_peer[peer.place.id] = (
                peer.incarnation,
                demand.busy_ms,
            )
            self._add(history, max(0, demand.busy_ms - before) / 1000)

    def _add(self, history: _History, busy_s: float) -> None:
        history.buckets[-1] += busy_s
        if history.first_seen_at is None and busy_s > 0:
            history.first_seen_at = self._clock()

    def _history(self, service: ServiceName) -> _History:
        history = self._by_service.get(service)
        if history is None:
            history = self._by_service[service] = _History()
        return history

    def _advance(self) -> None:
        """Append an empty bucket for each bucket span that has ended."""
        now = self._clock()
        added = 0
        while now >= self._bucket_ends_at and added < HISTORY_BUCKETS:
            self._bucket_ends_at += BUCKET_S
            added += 1
            for history in self._by_service.values():
                history.buckets.append(0.0)
        self._bucket_ends_at = max(self._bucket_ends_at, now)
