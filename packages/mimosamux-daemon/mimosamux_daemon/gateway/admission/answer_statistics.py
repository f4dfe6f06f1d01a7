"""Completion rates of services, and mean lengths of routes' answers."""

from collections.abc import Callable
from dataclasses import dataclass, field

from mimosamux_daemon.domain.names import ServiceName
from mimosamux_daemon.gateway.balancing.health import WINDOW_S
from mimosamux_daemon.gateway.roster import Roster

SAMPLE_WEIGHT = 0.1
"""Weight of the latest sample in the mean length of a route's answers."""
MAX_ROUTES = 1024
"""Most routes whose answers' length is kept; the least recently used is
removed first."""
RATE_TTL_S = 0.5
"""Time for which a computed rate is used again; it sums over all endpoints
and peers."""


@dataclass(kw_only=True, slots=True)
class AnswerStatistics:
    """Completions of services per second, and lengths of answers."""

    roster: Roster
    clock: Callable[[], float]
    _answer_s_by_route: dict[str, float] = field(default_factory=dict)
    _rate_by_service: dict[ServiceName, tuple[float, float]] = field(
        default_factory=dict
    )
    """Time of the computation, and the rate."""

    def note_answer(self, route: str, took_s: float) -> None:
        """Count the time from the first event of an answer to its end."""
        mean_s = self._answer_s_by_route.pop(route, took_s)
        mean_s += SAMPLE_WEIGHT * (took_s - mean_s)
        self._answer_s_by_route[route] = mean_s
        if len(self._answer_s_by_route) > MAX_ROUTES:
            del self._answer_s_by_route[next(iter(self._answer_s_by_route))]

    def answer_s(self, route: str) -> float:
        """Return the mean time from first event to end, 0 if not known."""
        return self._answer_s_by_route.get(route, 0.0)

    def site_rate_per_s(self, service: ServiceName) -> float:
        """Return how many requests the service completes for all daemons.

        It relies on the counts of answers in the peers' latest digests, which
        include failed ones.
        """
        now = self.clock()
        computed_at, rate_per_s = self._rate_by_service.get(
            service, (now - 2 * RATE_TTL_S, 0.0)
        )
        if now - computed_at > RATE_TTL_S:
            records = self.roster.of_service(service)
            ended = sum(record.health.ended(now) for record in records)
            rate_per_s = ended / WINDOW_S
            self._rate_by_service[service] = (now, rate_per_s)
        return rate_per_s
