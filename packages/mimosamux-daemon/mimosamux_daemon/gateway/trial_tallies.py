"""Counts how requests ended at a new version and at the other versions.

Each daemon counts from the moment at which it learns of a roll-out, and sends
its counts to the other daemons in its state digest. The answers of the other
versions in the same period are the control for the new version.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from mimosamux_wire import RolloutUse, StateDigest, TrialTally

from mimosamux_daemon.domain.names import DaemonId, EndpointId, ServiceName
from mimosamux_daemon.domain.rollouts import Rollout, RolloutStage
from mimosamux_daemon.gateway.exchange.peer_states import PeerState
from mimosamux_daemon.gateway.rollouts import Rollouts
from mimosamux_daemon.gateway.roster import Roster

SLOW_FACTORS = (3.0, 5.0)
"""Factors of the expected time; each has its own count of slower answers."""
CONTROL = EndpointId('')
"""Key that stands for all endpoints of the other versions."""
MIN_EXPECTED_S = 0.03
"""Lower bound of the expected time. Below it, random variation alone makes an
answer several times slower."""
SMOOTHING_FACTOR = 0.1
"""Weight of a new answer in the moving average of the time to answer."""
MAX_ROUTE_WEIGHT = 4.0
"""Upper bound of the factor by which rare routes are sampled more often."""
MAX_BAD_ANSWERS = 25
"""Bad answers of a version under trial at which each daemon stops the trial on
its own. Requests still in flight may add further bad answers."""


@dataclass(kw_only=True, slots=True)
class Tally:
    """Counts of answers since the roll-out began."""

    answers: int = 0
    failed: int = 0
    slower: list[int] = field(default_factory=lambda: [0] * len(SLOW_FACTORS))
    """Answers slower than expected by each of `SLOW_FACTORS`."""

    def add(self, other: 'Tally') -> None:
        """Add the counts of another tally."""
        self.answers += other.answers
        self.failed += other.failed
        for index, count in enumerate(other.slower):
            self.slower[index] += count

    def copy(self) -> 'Tally':
        """Return an independent copy."""
        return Tally(
            answers=self.answers,
            failed=self.failed,
            slower=list(self.slower),
        )

    def since(self, before: 'Tally | None') -> 'Tally':
        """Return the increase since an earlier tally, at least zero.

        A sum over daemons can decrease, because the counts of a daemon that
        died are missing in it.
        """
        if before is None:
            return self.copy()
        return Tally(
            answers=max(self.answers - before.answers, 0),
            failed=max(self.failed - before.failed, 0),
            slower=[
                max(now - then, 0)
                for now, then in zip(self.slower, before.slower, strict=True)
            ],
        )

    @property
    def bad(self) -> int:
        """Return the answers that failed or exceeded the largest factor."""
        return self.failed + self.slower[-1]


TalliesBySource = dict[tuple[EndpointId, str], Tally]
"""Tallies by endpoint of the new version (or `CONTROL`) and route."""


@dataclass(kw_only=True, slots=True)
class TrialCounts:
    """Counts of one roll-out, of one daemon or of all."""

    number: int
    step: int = 0
    """Newest step in force at the daemon."""
    requests: int = 0
    """Requests sent to any version since the roll-out began."""
    trials: int = 0
    """Requests sent to the new version."""
    open_elsewhere: int = 0
    """Requests in flight at other versions."""
    by_source: TalliesBySource = field(default_factory=dict)


@dataclass(kw_only=True, slots=True)
class TrialTallies:
    """Keeps the counts of this daemon and the latest counts of its peers."""

    rollouts: Rollouts
    roster: Roster
    _own: dict[ServiceName, TrialCounts] = field(default_factory=dict)
    _by_peer: dict[DaemonId, dict[ServiceName, TrialCounts]] = field(
        default_factory=dict
    )
    _mean_s: dict[tuple[ServiceName, str], float] = field(default_factory=dict)
    """Moving average of the control's time to answer in seconds, by route."""
    _weight_by_route: dict[tuple[ServiceName, str], float] = field(
        default_factory=dict
    )

    def __post_init__(self) -> None:
        self.rollouts.on_changed.append(self._start_counting)

    def note_send(self, service: ServiceName, software: str) -> None:
        """Count a request sent to an endpoint with the given software."""
        counts, rollout = self._find_own(service)
        if counts is None or rollout is None:
            return
        counts.requests += 1
        counts.trials += software == rollout.order.version

    def note_end(
        self,
        service: ServiceName,
        route: str,
        endpoint: EndpointId,
        software: str,
        *,
        failed: bool,
        took_s: float | None = None,
        expected_s: float = 0.0,
    ) -> None:
        """Count how a request ended.

        `took_s` is the time until the answer began. `expected_s` is the
        estimate with which the endpoint was chosen; 0 means that there was
        none, and the moving average of the other versions is used instead.
        """
        counts, rollout = self._find_own(service)
        if counts is None or rollout is None:
            return
        is_new = software == rollout.order.version
        source = (endpoint if is_new else CONTROL, route)
        tally = counts.by_source.setdefault(source, Tally())
        tally.answers += 1
        tally.failed += failed
        if failed or took_s is None:
            return
        if not expected_s:
            expected_s = self._mean_s.get((service, route), math.inf)
            if not is_new:
                self._update_mean(service, route, took_s)
        ratio = took_s / max(expected_s, MIN_EXPECTED_S)
        for index, factor in enumerate(SLOW_FACTORS):
            tally.slower[index] += ratio >= factor

    def total(self, service: ServiceName) -> TrialCounts | None:
        """Return the sum over all daemons, None without a roll-out."""
        own, rollout = self._find_own(service)
        if own is None or rollout is None:
            return None
        total = TrialCounts(number=own.number)
        for counts in self._all_counts(service, own.number):
            total.requests += counts.requests
            total.trials += counts.trials
            for source, tally in counts.by_source.items():
                total.by_source.setdefault(source, Tally()).add(tally)
        return total

    def peer_counts(
        self, peer: DaemonId, service: ServiceName
    ) -> TrialCounts | None:
        """Return the latest counts received from a peer."""
        return self._by_peer.get(peer, {}).get(service)

    def weight(self, service: ServiceName, route: str) -> float:
        """Return the factor by which a route's share of trials is multiplied.

        It evens out the number of answers per route; the mean over all
        requests is at most 1.
        """
        return self._weight_by_route.get((service, route), 1.0)

    def open_elsewhere(self, service: ServiceName) -> int:
        """Count this daemon's requests in flight at other versions."""
        rollout = self.rollouts.current(service)
        if rollout is None:
            return 0
        return sum(
            record.load.requests
            for record in self.roster.by_id.values()
            if record.listed.service == service
            and record.listed.software != rollout.order.version
        )

    def write(self, digest: StateDigest) -> None:
        """Add the counts of this daemon to a digest.

        Also updates the weights of routes, and stops trials with too many bad
        answers.
        """
        self._weight_by_route.clear()
        for service in self._own:
            total = self.total(service)
            if total is not None:
                self._stop_if_bad(service, total)
                self._update_weights(service, total)
        for service, counts in self._own.items():
            rollout = self.rollouts.current(service)
            if rollout is None:
                continue
            digest.rollouts.append(
                RolloutUse(
                    service=service,
                    number=counts.number,
                    step=rollout.step,
                    requests=counts.requests,
                    trials=counts.trials,
                    open_elsewhere=self.open_elsewhere(service),
                    tallies=[
                        _as_message(*source, tally)
                        for source, tally in counts.by_source.items()
                    ],
                )
            )

    def take(self, peer: PeerState, digest: StateDigest) -> None:
        """Replace the counts of a peer by those in its digest."""
        if not digest.rollouts:
            self._by_peer.pop(peer.place.id, None)
            return
        self._by_peer[peer.place.id] = {
            ServiceName(use.service): _parse_counts(use)
            for use in digest.rollouts
        }

    def forget_peer(self, peer: DaemonId) -> None:
        """Drop the counts of a peer that was removed."""
        self._by_peer.pop(peer, None)

    def _stop_if_bad(self, service: ServiceName, total: TrialCounts) -> None:
        """Stop a trial that has reached `MAX_BAD_ANSWERS` bad answers."""
        rollout = self.rollouts.current(service)
        if rollout is None or rollout.stage is not RolloutStage.TRIAL:
            return
        bad = count_bad_answers(total.by_source)
        if bad >= MAX_BAD_ANSWERS:
            self.rollouts.stop_trial(service, f'{bad} bad answers')

    def _update_weights(
        self, service: ServiceName, total: TrialCounts
    ) -> None:
        for route, weight in compute_route_weights(total.by_source).items():
            self._weight_by_route[service, route] = weight

    def _start_counting(self, rollout: Rollout) -> None:
        service = rollout.order.service
        known = self._own.get(service)
        if known is None or known.number != rollout.order.number:
            self._own[service] = TrialCounts(number=rollout.order.number)

    def _find_own(
        self, service: ServiceName
    ) -> tuple[TrialCounts | None, Rollout | None]:
        """Return this daemon's counts and the roll-out in progress."""
        if not self._own:
            return None, None
        return self._own.get(service), self.rollouts.current(service)

    def _all_counts(
        self, service: ServiceName, number: int
    ) -> Iterable[TrialCounts]:
        yield self._own[service]
        for received in self._by_peer.values():
            counts = received.get(service)
            if counts is not None and counts.number == number:
                yield counts

    def _update_mean(
        self, service: ServiceName, route: str, took_s: float
    ) -> None:
        known = self._mean_s.get((service, route), took_s)
        self._mean_s[service, route] = known + SMOOTHING_FACTOR * (
            took_s - known
        )


def compute_route_weights(by_source: TalliesBySource) -> dict[str, float]:
    """Return the sampling weight of each route, from the control's answers."""
    answers = {
        route: tally.answers
        for (endpoint, route), tally in by_source.items()
        if endpoint == CONTROL and tally.answers
    }
    mean_answers = sum(answers.values()) / max(len(answers), 1)
    return {
        route: min(mean_answers / count, MAX_ROUTE_WEIGHT)
        for route, count in answers.items()
    }


def count_bad_answers(by_source: TalliesBySource) -> int:
    """Count the bad answers of the new version."""
    return sum(
        tally.bad
        for (endpoint, _), tally in by_source.items()
        if endpoint != CONTROL
    )


def _as_message(endpoint: EndpointId, route: str, tally: Tally) -> TrialTally:
    return TrialTally(
        endpoint=endpoint,
        route=route,
        answers=tally.answers,
        failed=tally.failed,
        slower=list(tally.slower),
    )


def _parse_counts(use: RolloutUse) -> TrialCounts:
    counts = TrialCounts(
        number=use.number,
        step=use.step,
        requests=use.requests,
        trials=use.trials,
        open_elsewhere=use.open_elsewhere,
    )
    for received in use.tallies:
        slower = [*received.slower, *([0] * len(SLOW_FACTORS))]
        counts.by_source[EndpointId(received.endpoint), received.route] = (
            Tally(
                answers=received.answers,
                failed=received.failed,
                slower=slower[: len(SLOW_FACTORS)],
            )
        )
    return counts
