"""How much work callers bring for each service, over all daemons."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from mimosamux_wire import ServiceDemand, StateDigest

from mimosamux_daemon.domain.names import DaemonId, ServiceName
from mimosamux_daemon.gateway.peer_states import PeerState

STEP_S = 1.0
"""Time over which work is added up to one point of the record."""
SHORT_STEPS = 2
"""Newest points that make the demand of now: long enough that the length
of single prompts does not move it much."""
KEPT_STEPS = 30


@dataclass(kw_only=True, slots=True)
class _Record:
    """Work of one service; the newest point is still being added to."""

    points: deque[float] = field(
        default_factory=lambda: deque([0.0], maxlen=KEPT_STEPS)
    )
    own_s: float = 0.0
    own_requests: int = 0
    first_at: float | None = None
    """When the first work came."""
    told_by_peer: dict[DaemonId, tuple[int, int]] = field(default_factory=dict)


class Demand:
    """Work brought to this daemon and, as they tell it, to its peers."""

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._step_ends_at = clock() + STEP_S
        self._by_service: dict[ServiceName, _Record] = {}

    def note(self, service: ServiceName, busy_s: float) -> None:
        """Count a request that keeps one endpoint busy for a time."""
        self._step()
        record = self._record(service)
        record.own_s += busy_s
        record.own_requests += 1
        self._add(record, busy_s)

    def busy(self, service: ServiceName) -> float:
        """Return how many endpoints the work of now keeps busy."""
        self._step()
        points = list(self._record(service).points)[:-1][-SHORT_STEPS:]
        return sum(points) / (len(points) * STEP_S) if points else 0.0

    def mean_s(self, service: ServiceName) -> float:
        """Return the time for which a request here keeps an endpoint busy."""
        record = self._record(service)
        return record.own_s / max(record.own_requests, 1)

    def busy_most(self, service: ServiceName) -> float:
        """Return the highest such number of the last half minute."""
        self._step()
        points = list(self._record(service).points)[:-1]
        sums = [
            sum(points[end - SHORT_STEPS : end])
            for end in range(SHORT_STEPS, len(points) + 1)
        ]
        if not sums:
            return self.busy(service)
        return max(sums) / (SHORT_STEPS * STEP_S)

    def seen_s(self, service: ServiceName) -> float:
        """Return for how long work has been coming for a service."""
        first_at = self._record(service).first_at
        return 0.0 if first_at is None else self._clock() - first_at

    def write(self, digest: StateDigest) -> None:
        """Tell the work that was brought here."""
        digest.demands.extend(
            ServiceDemand(service=service, busy_ms=int(record.own_s * 1000))
            for service, record in self._by_service.items()
        )

    def take(self, peer: PeerState, digest: StateDigest) -> None:
        """Add the work brought to a peer since it told last."""
        self._step()
        for demand in digest.demands:
            record = self._record(ServiceName(demand.service))
            lifetime, before = record.told_by_peer.get(
                peer.place.id, (peer.lifetime, demand.busy_ms)
            )
            if lifetime != peer.lifetime:
                before = 0
            record.told_by_peer[peer.place.id] = (
                peer.lifetime,
                demand.busy_ms,
            )
            self._add(record, max(0, demand.busy_ms - before) / 1000)

    def _add(self, record: _Record, busy_s: float) -> None:
        record.points[-1] += busy_s
        if record.first_at is None and busy_s > 0:
            record.first_at = self._clock()

    def _record(self, service: ServiceName) -> _Record:
        return self._by_service.setdefault(service, _Record())

    def _step(self) -> None:
        """Begin a new point for each step that is over."""
        now = self._clock()
        steps = 0
        while now >= self._step_ends_at and steps < KEPT_STEPS:
            self._step_ends_at += STEP_S
            steps += 1
            for record in self._by_service.values():
                record.points.append(0.0)
        self._step_ends_at = max(self._step_ends_at, now)
