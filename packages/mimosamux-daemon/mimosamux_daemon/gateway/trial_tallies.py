"""How requests ended at a new version and, beside it, at the others.

Each daemon counts from the moment at which it learns of a roll-out and tells
its counts; what was counted in the same seconds at the other versions is the
control that the new one is compared with.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from mimosamux_wire import RolloutUse, StateDigest, TrialTally

from mimosamux_daemon.domain.names import DaemonId, EndpointId, ServiceName
from mimosamux_daemon.domain.rollouts import Rollout, RolloutStage
from mimosamux_daemon.gateway.peer_states import PeerState
from mimosamux_daemon.gateway.rollouts import Rollouts
from mimosamux_daemon.gateway.roster import Roster

SLOW_FACTORS = (3.0, 5.0)
"""An answer that took so many times as long as expected counts as slow."""
CONTROL = EndpointId('')
"""Stands for all endpoints of the other versions."""
LEAST_EXPECTED_S = 0.03
"""Shortest expectation: below it, chance alone multiplies a time."""
TYPICAL_WEIGHT = 0.1
"""Weight of an answer in the running mean of how long such ones take."""
MOST_WEIGHT = 4.0
"""How much more often requests of a rare route are tried at most."""
MOST_BAD = 25
"""Bad answers of a version under trial at which each daemon stops by itself;
others may be under way yet, and count as well."""


@dataclass(kw_only=True, slots=True)
class Tally:
    """Answers of one kind since the roll-out began."""

    answers: int = 0
    failed: int = 0
    slower: list[int] = field(default_factory=lambda: [0] * len(SLOW_FACTORS))
    """Answers that were slower than expected, by each of the factors."""

    def add(self, other: 'Tally') -> None:
        """Add the answers of another one."""
        self.answers += other.answers
        self.failed += other.failed
        for place, count in enumerate(other.slower):
            self.slower[place] += count

    def copy(self) -> 'Tally':
        """Return one that stays as it is now."""
        return Tally(
            answers=self.answers,
            failed=self.failed,
            slower=list(self.slower),
        )

    def since(self, before: 'Tally | None') -> 'Tally':
        """Return what has come since an earlier moment.

        Counts of a daemon that died are missing in a sum, which may be less
        than it was: then nothing is known to have come.
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
        """Return the answers that failed or took several times as long."""
        return self.failed + self.slower[-1]


TalliesByKind = dict[tuple[EndpointId, str], Tally]
"""Tallies by endpoint of the new version, or `CONTROL`, and route."""


@dataclass(kw_only=True, slots=True)
class Counts:
    """What one daemon has counted of one roll-out."""

    number: int
    step: int = 0
    """Newest step that the daemon has put in force."""
    requests: int = 0
    trials: int = 0
    open_elsewhere: int = 0
    by_kind: TalliesByKind = field(default_factory=dict)


@dataclass(kw_only=True, slots=True)
class TrialTallies:
    """Counts of this daemon and, as they tell them, of its peers."""

    rollouts: Rollouts
    roster: Roster
    _own: dict[ServiceName, Counts] = field(default_factory=dict)
    _by_peer: dict[DaemonId, dict[ServiceName, Counts]] = field(
        default_factory=dict
    )
    _typical_s: dict[tuple[ServiceName, str], float] = field(
        default_factory=dict
    )
    """Running mean of how long the control takes, by route."""
    _weight_by_route: dict[tuple[ServiceName, str], float] = field(
        default_factory=dict
    )

    def __post_init__(self) -> None:
        self.rollouts.on_changed.append(self._begin)

    def note_send(self, service: ServiceName, software: str) -> None:
        """Count a request that is sent to an endpoint."""
        counts, rollout = self._find(service)
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
        """Count how a request ended, and how long its answer took to begin.

        `expected_s` is what the choice of the endpoint rested on, 0: it had
        no estimate, and the mean of the other versions is taken.
        """
        counts, rollout = self._find(service)
        if counts is None or rollout is None:
            return
        is_new = software == rollout.order.version
        kind = (endpoint if is_new else CONTROL, route)
        tally = counts.by_kind.setdefault(kind, Tally())
        tally.answers += 1
        tally.failed += failed
        if failed or took_s is None:
            return
        if not expected_s:
            expected_s = self._typical_s.get((service, route), math.inf)
            if not is_new:
                self._note_typical(service, route, took_s)
        ratio = took_s / max(expected_s, LEAST_EXPECTED_S)
        for place, factor in enumerate(SLOW_FACTORS):
            tally.slower[place] += ratio >= factor

    def total(self, service: ServiceName) -> Counts | None:
        """Return the sum over all daemons, None: no roll-out goes on."""
        own, rollout = self._find(service)
        if own is None or rollout is None:
            return None
        total = Counts(number=own.number)
        for counts in self._all(service, own.number):
            total.requests += counts.requests
            total.trials += counts.trials
            for kind, tally in counts.by_kind.items():
                total.by_kind.setdefault(kind, Tally()).add(tally)
        return total

    def peer_counts(
        self, peer: DaemonId, service: ServiceName
    ) -> Counts | None:
        """Return what a peer told last of a service's roll-out."""
        return self._by_peer.get(peer, {}).get(service)

    def weight(self, service: ServiceName, route: str) -> float:
        """Return how much more often than others a route is to be tried.

        So that each gives as many answers; over all of them it is 1 at most.
        """
        return self._weight_by_route.get((service, route), 1.0)

    def open_elsewhere(self, service: ServiceName) -> int:
        """Return what is under way from here at other versions."""
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
        """Tell what was counted here."""
        self._weight_by_route.clear()
        for service in self._own:
            total = self.total(service)
            if total is not None:
                self._stop_if_bad(service, total)
                self._note_weights(service, total)
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
                        _write_tally(*kind, tally)
                        for kind, tally in counts.by_kind.items()
                    ],
                )
            )

    def take(self, peer: PeerState, digest: StateDigest) -> None:
        """Take what a peer tells; it replaces what it told before."""
        if not digest.rollouts:
            self._by_peer.pop(peer.place.id, None)
            return
        self._by_peer[peer.place.id] = {
            ServiceName(use.service): _read_use(use) for use in digest.rollouts
        }

    def forget_peer(self, peer: DaemonId) -> None:
        """Drop what a peer told that is given up."""
        self._by_peer.pop(peer, None)

    def _stop_if_bad(self, service: ServiceName, total: Counts) -> None:
        """Stop a trial whose version has given too many bad answers."""
        rollout = self.rollouts.current(service)
        if rollout is None or rollout.stage is not RolloutStage.TRIAL:
            return
        bad = count_bad(total.by_kind)
        if bad >= MOST_BAD:
            self.rollouts.stop_trial(service, f'{bad} bad answers')

    def _note_weights(self, service: ServiceName, total: Counts) -> None:
        for route, weight in find_weights(total.by_kind).items():
            self._weight_by_route[service, route] = weight

    def _begin(self, rollout: Rollout) -> None:
        service = rollout.order.service
        known = self._own.get(service)
        if known is None or known.number != rollout.order.number:
            self._own[service] = Counts(number=rollout.order.number)

    def _find(
        self, service: ServiceName
    ) -> tuple[Counts | None, Rollout | None]:
        if not self._own:
            return None, None
        return self._own.get(service), self.rollouts.current(service)

    def _all(self, service: ServiceName, number: int) -> Iterable[Counts]:
        yield self._own[service]
        for told in self._by_peer.values():
            counts = told.get(service)
            if counts is not None and counts.number == number:
                yield counts

    def _note_typical(
        self, service: ServiceName, route: str, took_s: float
    ) -> None:
        known = self._typical_s.get((service, route), took_s)
        self._typical_s[service, route] = known + TYPICAL_WEIGHT * (
            took_s - known
        )


def find_weights(by_kind: TalliesByKind) -> dict[str, float]:
    """Return how much more often than others each route is to be tried."""
    answers = {
        route: tally.answers
        for (endpoint, route), tally in by_kind.items()
        if endpoint == CONTROL and tally.answers
    }
    even = sum(answers.values()) / max(len(answers), 1)
    return {
        route: min(even / count, MOST_WEIGHT)
        for route, count in answers.items()
    }


def count_bad(by_kind: TalliesByKind) -> int:
    """Return the bad answers of the new version."""
    return sum(
        tally.bad
        for (endpoint, _), tally in by_kind.items()
        if endpoint != CONTROL
    )


def _write_tally(endpoint: EndpointId, route: str, tally: Tally) -> TrialTally:
    return TrialTally(
        endpoint=endpoint,
        route=route,
        answers=tally.answers,
        failed=tally.failed,
        slower=list(tally.slower),
    )


def _read_use(use: RolloutUse) -> Counts:
    counts = Counts(
        number=use.number,
        step=use.step,
        requests=use.requests,
        trials=use.trials,
        open_elsewhere=use.open_elsewhere,
    )
    for told in use.tallies:
        slower = [*told.slower, *([0] * len(SLOW_FACTORS))]
        counts.by_kind[EndpointId(told.endpoint), told.route] = Tally(
            answers=told.answers,
            failed=told.failed,
            slower=slower[: len(SLOW_FACTORS)],
        )
    return counts
