"""Whether a new version is as good as the ones beside it.

Answers of the new version are compared with those that the others gave in
the same seconds, as in canary analysis. One hypothesis is that they are bad
as often, the other that a further part of them is. Two tests weigh the two:

- A cumulative-sum test (Page, 1954) finds a version that is bad from some
  moment on: it forgets what spoke for the version before.
- A sequential probability-ratio test (Wald, 1945) over the whole trial says
  when enough answers were good.

There is one test each for every route and for every way to be bad: a version
that fails on a single route, or is slow without failing, is found as well.
"""

import math
from collections import deque
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from enum import Enum, auto

from mimosamux_daemon.domain.names import EndpointId
from mimosamux_daemon.gateway.trial_tallies import (
    CONTROL,
    SLOW_FACTORS,
    TalliesByKind,
    Tally,
)

FURTHER_SHARE = 0.2
"""Part of the answers, beyond those that are bad anyway, from which on a
version counts as bad."""
LEAST_SHARE = 0.01
"""Bad answers that are taken as usual where the control has fewer."""
MOST_SHARE = 0.9
BAD_EVIDENCE = 8.0
"""Log likelihood ratio from which on a version is bad: e to the power of it
is how much better a bad version explains the answers."""
LEANING = 5.5
"""What has to be left of it without any one endpoint."""
GOOD_EVIDENCE = -4.0
"""The same ratio, below which a version is good."""
ROUTE_EVIDENCE = -1.3
"""What each route has to tell by itself: six good answers."""
DOUBT = 2.0
"""Cumulative sum from which on a version is not called good."""
LAST_DOUBT = 4.5
"""The same when time is up: a single bad answer is forgiven then."""
RARE_ROUTE = 0.03
"""Part of the control's answers below which a route need not tell."""
FEWEST_ANSWERS = 8
"""Answers without which nothing is decided, even when time is short."""
FEWEST_OTHERS = 6
"""Answers of other endpoints without which one cannot be left out."""
LEAST_PART = 0.65
"""Part of the roll-out's time before which no version is found good: some
fail only some seconds in."""
LAST_PART = 0.78
"""Part of it after which the evidence that there is decides; the rest is for
moving what runs and writing the end down."""
RECENT_LOOKS = 3
"""Looks at the control that make its recent answers."""
CONTROL_WEIGHT = 10
"""Answers that the control's whole past counts for beside recent ones."""


class Verdict(Enum):
    """What is to become of a new version."""

    OPEN = auto()
    GOOD = auto()
    BAD = auto()


@dataclass(frozen=True, kw_only=True, slots=True)
class Judgement:
    """A verdict, and the figures that decided it."""

    verdict: Verdict
    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Evidence:
    """What is known of a version when it is judged."""

    by_kind: TalliesByKind
    passed: float
    """Part of the roll-out's time that is over."""
    is_urgent: bool = False
    """Whether no other version takes work any more."""


Measure = Callable[[Tally], int]
"""Counts the answers of a tally that are bad in one way."""


def _count_failed(tally: Tally) -> int:
    return tally.failed


def _count_slower(place: int) -> Measure:
    return lambda tally: tally.failed + tally.slower[place]


MEASURES: Mapping[str, Measure] = {
    'failed': _count_failed,
    **{
        f'slower_{factor:g}x': _count_slower(place)
        for place, factor in enumerate(SLOW_FACTORS)
    },
}
TestKey = tuple[str | None, str, EndpointId | None]
"""Route, None: all; measure; endpoint that is left out, None: none."""


class SequentialJudge:
    """Judges one trial by the likelihood of what was seen."""

    def __init__(
        self, *, least_part: float = LEAST_PART, last_part: float = LAST_PART
    ) -> None:
        self._least_part = least_part
        self._last_part = last_part
        self._before: TalliesByKind = {}
        self._sums: dict[TestKey, float] = {}
        self._recent: deque[Groups] = deque(maxlen=RECENT_LOOKS)

    def judge(self, evidence: Evidence) -> Judgement:
        """Return what the answers so far say of the new version."""
        groups = group_tallies(evidence.by_kind)
        self._add_up(evidence.by_kind, groups)
        whole = groups.get(None, Group())
        if whole.new.answers == 0:
            return Judgement(verdict=Verdict.OPEN, reason='no answers')
        found = self._find_bad(groups)
        if found is not None:
            return Judgement(verdict=Verdict.BAD, reason=found)
        return self._find_good(evidence, groups, whole)

    def _add_up(self, by_kind: TalliesByKind, groups: 'Groups') -> None:
        """Go on with the cumulative sums by what is new since last time."""
        news = group_tallies(
            {
                kind: tally.since(self._before.get(kind))
                for kind, tally in by_kind.items()
            }
        )
        self._before = {kind: tally.copy() for kind, tally in by_kind.items()}
        self._recent.append(news)
        for route, group in news.items():
            endpoints = groups[route].by_endpoint
            for name, measure in MEASURES.items():
                usual = self._find_usual(route, groups[route], measure)
                for left_out in (None, *endpoints):
                    key = (route, name, left_out)
                    ratio = group.ratio(measure, usual, leaving_out=left_out)
                    self._sums[key] = max(
                        0.0, self._sums.get(key, 0.0) + ratio
                    )

    def _find_usual(
        self, route: str | None, group: 'Group', measure: Measure
    ) -> float:
        """Return how much of the control's answers is bad lately."""
        recent = Tally()
        for groups in self._recent:
            if route in groups:
                recent.add(groups[route].control)
        past = find_usual(group.control, measure)
        return (measure(recent) + CONTROL_WEIGHT * past) / (
            recent.answers + CONTROL_WEIGHT
        )

    def _find_bad(self, groups: 'Groups') -> str | None:
        for route, group in groups.items():
            for name, measure in MEASURES.items():
                total = self._sums[route, name, None]
                if total < BAD_EVIDENCE:
                    continue
                if self._least_without(route, name, group) >= LEANING:
                    return describe(route, name, group, measure, total)
        return None

    def _least_without(
        self, route: str | None, name: str, group: 'Group'
    ) -> float:
        """Return the evidence that is left without any one endpoint.

        One that crashes or is ill by itself gives many bad answers at once,
        whatever its version.
        """
        if len(group.by_endpoint) < 2:
            return self._sums[route, name, None]
        most = max(tally.answers for tally in group.by_endpoint.values())
        if group.new.answers - most < FEWEST_OTHERS:
            return 0.0
        return min(
            self._sums[route, name, endpoint] for endpoint in group.by_endpoint
        )

    def _find_good(
        self, evidence: Evidence, groups: 'Groups', whole: 'Group'
    ) -> Judgement:
        ratio = whole.worst_ratio()
        reason = (
            f'{whole.new.answers} answers, {whole.new.failed} failed, '
            f'ratio {ratio:.1f}'
        )
        routes = [
            group
            for route, group in groups.items()
            if route is not None and not group.is_rare(whole)
        ]
        is_clear = ratio <= GOOD_EVIDENCE and all(
            group.worst_ratio() <= ROUTE_EVIDENCE for group in routes
        )
        is_due = evidence.passed >= self._least_part or evidence.is_urgent
        if is_clear and is_due and not self._is_doubtful(groups, DOUBT):
            return Judgement(verdict=Verdict.GOOD, reason=reason)
        is_last = evidence.passed >= self._last_part
        if not is_last or whole.new.answers < FEWEST_ANSWERS:
            return Judgement(verdict=Verdict.OPEN, reason=reason)
        is_good = ratio < 0 and not self._is_doubtful(groups, LAST_DOUBT)
        return Judgement(
            verdict=Verdict.GOOD if is_good else Verdict.BAD,
            reason=f'{reason}, time is up',
        )

    def _is_doubtful(self, groups: 'Groups', limit: float) -> bool:
        return any(
            self._least_without(route, name, group) >= limit
            for route, group in groups.items()
            for name in MEASURES
        )


class Group:
    """Answers that are compared: of one route, or of all."""

    def __init__(self) -> None:
        self.control = Tally()
        self.new = Tally()
        self.by_endpoint: dict[EndpointId, Tally] = {}

    def add(self, endpoint: EndpointId, tally: Tally) -> None:
        """Add the answers of an endpoint, or of the control."""
        if endpoint == CONTROL:
            self.control.add(tally)
            return
        self.new.add(tally)
        self.by_endpoint.setdefault(endpoint, Tally()).add(tally)

    def ratio(
        self,
        measure: Measure,
        usual: float,
        *,
        leaving_out: EndpointId | None = None,
    ) -> float:
        """Return how much better a bad version explains the answers."""
        answers, bad = self.new.answers, measure(self.new)
        if leaving_out in self.by_endpoint:
            left_out = self.by_endpoint[leaving_out]
            answers -= left_out.answers
            bad -= measure(left_out)
        usual = min(max(usual, LEAST_SHARE), MOST_SHARE)
        worse = usual + FURTHER_SHARE * (1 - usual)
        return bad * math.log(worse / usual) + (answers - bad) * math.log(
            (1 - worse) / (1 - usual)
        )

    def worst_ratio(self) -> float:
        """Return the highest ratio of all the ways to be bad.

        One ill endpoint is left out, where others tell enough without it.
        """
        return max(self._ratio_of(each) for each in MEASURES.values())

    def is_rare(self, whole: 'Group') -> bool:
        """Whether so few requests are of this route that it need not tell."""
        return self.control.answers < RARE_ROUTE * whole.control.answers

    def _ratio_of(self, measure: Measure) -> float:
        usual = find_usual(self.control, measure)
        return min(
            self.ratio(measure, usual, leaving_out=endpoint)
            for endpoint in (None, *self._may_leave_out())
        )

    def _may_leave_out(self) -> Collection[EndpointId]:
        return [
            endpoint
            for endpoint, tally in self.by_endpoint.items()
            if self.new.answers - tally.answers >= FEWEST_OTHERS
        ]


Groups = dict[str | None, Group]
"""Groups by route, and one of all routes under None."""


def find_usual(control: Tally, measure: Measure) -> float:
    """Return the part of the control's answers that is bad."""
    return measure(control) / (control.answers + 1)


def group_tallies(by_kind: TalliesByKind) -> Groups:
    """Return what is compared of the tallies."""
    groups: Groups = {}
    for (endpoint, route), tally in by_kind.items():
        for key in (None, route):
            groups.setdefault(key, Group()).add(endpoint, tally)
    return groups


def describe(
    route: str | None,
    name: str,
    group: Group,
    measure: Measure,
    evidence: float,
) -> str:
    """Return the figures that condemn a version."""
    return (
        f'{name} {measure(group.new)} of {group.new.answers}, control '
        f'{measure(group.control)} of {group.control.answers}, '
        f'route {route or "all"}, evidence {evidence:.1f}'
    )
