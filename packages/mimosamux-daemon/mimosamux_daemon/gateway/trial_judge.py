"""Whether a new version is as good as the ones beside it.

A sequential probability-ratio test (Wald, 1945) against a control group of
the same seconds, as in canary analysis: one hypothesis is that answers of
the new version are bad as often as those of the others, the other that a
further part of them is. It decides as soon as the answers tell, and one test
each for every route and for every way to be bad finds a version that fails
on a single route or is slow without failing.
"""

import math
from collections import defaultdict
from collections.abc import Callable, Mapping
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
BAD_EVIDENCE = 7.0
"""Log likelihood ratio from which on a version is bad: e to the power of it
is how much better a bad version explains the answers."""
GOOD_EVIDENCE = -4.0
"""The same, below which it is good, over all routes together."""
ROUTE_EVIDENCE = -1.3
"""What each route has to tell by itself; the last tenth of the requests may
be of a route that gives six answers in a trial."""
LEANING = 1.0
"""What has to be left of the evidence without the worst endpoint."""
RARE_ROUTE = 0.03
"""Part of the control's answers below which a route need not tell."""
FEWEST_ANSWERS = 8
"""Answers without which nothing is decided, even when time is short."""
LEAST_PART = 0.5
"""Part of the roll-out's time before which no version is found good: some
fail only some seconds in."""
LAST_PART = 0.72
"""Part of it after which the evidence that there is decides; the rest is for
moving what runs and writing the end down."""


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


def _failures(tally: Tally) -> int:
    return tally.failed


def _slower(place: int) -> Measure:
    return lambda tally: tally.failed + tally.slower[place]


MEASURES: Mapping[str, Measure] = {
    'failed': _failures,
    **{
        f'slower_{factor:g}x': _slower(place)
        for place, factor in enumerate(SLOW_FACTORS)
    },
}


@dataclass(frozen=True, kw_only=True, slots=True)
class SequentialJudge:
    """Judges by the likelihood of what was seen."""

    least_part: float = LEAST_PART
    last_part: float = LAST_PART

    def judge(self, evidence: Evidence) -> Judgement:
        """Return what the answers so far say of the new version."""
        groups = group_tallies(evidence.by_kind)
        whole = groups.get(None, Group())
        if whole.new.answers == 0:
            return Judgement(verdict=Verdict.OPEN, reason='no answers')
        found = self._find_bad(groups)
        if found is not None:
            return Judgement(verdict=Verdict.BAD, reason=found)
        return self._find_good(evidence, groups, whole)

    def _find_bad(self, groups: 'Groups') -> str | None:
        for route, group in groups.items():
            for name, measure in MEASURES.items():
                ratio = group.ratio(measure)
                if ratio < BAD_EVIDENCE:
                    continue
                if group.ratio_without_worst(measure) < LEANING:
                    continue
                return describe(route, name, group, measure, ratio)
        return None

    def _find_good(
        self, evidence: Evidence, groups: 'Groups', whole: 'Group'
    ) -> Judgement:
        worst_of_all = whole.worst_ratio()
        is_clear = worst_of_all <= GOOD_EVIDENCE and all(
            group.worst_ratio() <= ROUTE_EVIDENCE
            for route, group in groups.items()
            if route is not None and not group.is_rare(whole)
        )
        reason = (
            f'{whole.new.answers} answers, {whole.new.failed} failed, '
            f'ratio {worst_of_all:.1f}'
        )
        is_due = evidence.passed >= self.least_part or evidence.is_urgent
        if is_clear and is_due:
            return Judgement(verdict=Verdict.GOOD, reason=reason)
        if evidence.passed < self.last_part:
            return Judgement(verdict=Verdict.OPEN, reason=reason)
        if whole.new.answers < FEWEST_ANSWERS:
            return Judgement(verdict=Verdict.OPEN, reason=reason)
        leans_good = all(
            group.worst_ratio() < 0
            for group in groups.values()
            if group.new.answers
        )
        verdict = Verdict.GOOD if leans_good else Verdict.BAD
        return Judgement(verdict=verdict, reason=f'{reason}, time is up')


@dataclass(frozen=True, kw_only=True, slots=True)
class ThresholdJudge:
    """Judges by fixed shares after fixed numbers of answers."""

    fewest_answers: int = 30
    further_share: float = 0.15
    least_part: float = LEAST_PART
    last_part: float = LAST_PART

    def judge(self, evidence: Evidence) -> Judgement:
        """Return what the answers so far say of the new version."""
        whole = group_tallies(evidence.by_kind).get(None, Group())
        reason = f'{whole.new.answers} answers, {whole.new.bad} bad'
        answers = whole.new.answers
        is_last = evidence.passed >= self.last_part
        if answers < (FEWEST_ANSWERS if is_last else self.fewest_answers):
            return Judgement(verdict=Verdict.OPEN, reason=reason)
        control = whole.control.bad / max(whole.control.answers, 1)
        if whole.new.bad / answers > control + self.further_share:
            return Judgement(verdict=Verdict.BAD, reason=reason)
        if evidence.passed < self.least_part and not evidence.is_urgent:
            return Judgement(verdict=Verdict.OPEN, reason=reason)
        return Judgement(verdict=Verdict.GOOD, reason=reason)


class Group:
    """Answers that are compared: of one route, or of all."""

    def __init__(self) -> None:
        self.control = Tally()
        self.new = Tally()
        self.by_endpoint: dict[EndpointId, Tally] = defaultdict(Tally)

    def add(self, endpoint: EndpointId, tally: Tally) -> None:
        """Add the answers of an endpoint, or of the control."""
        if endpoint == CONTROL:
            self.control.add(tally)
            return
        self.new.add(tally)
        self.by_endpoint[endpoint].add(tally)

    def ratio(self, measure: Measure) -> float:
        """Return how much better a bad version explains the answers."""
        return self._ratio(measure, self.new.answers, measure(self.new))

    def ratio_without_worst(self, measure: Measure) -> float:
        """Return the same without the endpoint that has most bad answers.

        An endpoint that crashes or is ill by itself gives many at once,
        whatever its version. All of it is left where there is no other.
        """
        tallies = list(self.by_endpoint.values())
        if len(tallies) < 2:
            return self.ratio(measure)
        worst = max(tallies, key=measure)
        return self._ratio(
            measure,
            self.new.answers - worst.answers,
            measure(self.new) - measure(worst),
        )

    def worst_ratio(self) -> float:
        """Return the highest ratio of all the ways to be bad.

        One ill endpoint is left out: it does not condemn its version.
        """
        return max(
            min(self.ratio(measure), self.ratio_without_worst(measure))
            for measure in MEASURES.values()
        )

    def is_rare(self, whole: 'Group') -> bool:
        """Whether so few requests are of this route that it need not tell."""
        return self.control.answers < RARE_ROUTE * whole.control.answers

    def _ratio(self, measure: Measure, answers: int, bad: int) -> float:
        # One good answer more than there was, so that a control of few
        # answers does not make every bad one look usual.
        usual = measure(self.control) / (self.control.answers + 1)
        usual = min(max(usual, LEAST_SHARE), MOST_SHARE)
        worse = usual + FURTHER_SHARE * (1 - usual)
        return bad * math.log(worse / usual) + (answers - bad) * math.log(
            (1 - worse) / (1 - usual)
        )


Groups = dict[str | None, Group]
"""Groups by route, and one of all routes under None."""


def group_tallies(by_kind: TalliesByKind) -> Groups:
    """Return what is compared of the tallies."""
    groups: dict[str | None, Group] = defaultdict(Group)
    for (endpoint, route), tally in by_kind.items():
        groups[None].add(endpoint, tally)
        groups[route].add(endpoint, tally)
    return dict(groups)


def describe(
    route: str | None,
    name: str,
    group: Group,
    measure: Measure,
    ratio: float,
) -> str:
    """Return the figures that condemn a version."""
    return (
        f'{name} {measure(group.new)} of {group.new.answers}, control '
        f'{measure(group.control)} of {group.control.answers}, '
        f'route {route or "all"}, ratio {ratio:.1f}'
    )
