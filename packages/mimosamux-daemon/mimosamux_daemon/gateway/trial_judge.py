"""Decides by sequential tests whether a new version is as good as the others.

As in canary analysis, answers of the new version are compared with those that
the other versions, the control, gave at the same time. The null hypothesis is
that the new version gives bad answers as often as the control. The alternative
is that a fixed further part of its answers is bad. Two tests compare the two:

- A cumulative-sum test (CUSUM; Page, 1954) detects a version that turns bad
  at some moment, because it discards earlier evidence for the version.
- A sequential probability-ratio test (SPRT; Wald, 1945) over the whole trial
  decides when enough answers were good.

Both run for each route and for each measure of bad answers, so that a version
that fails on a single route, or is slow without failing, is detected as well.
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
    TalliesBySource,
    Tally,
)

EXCESS_BAD_RATE = 0.2
"""Part of the answers that would be good at the control and that a bad version
spoils, under the alternative hypothesis."""
MIN_BAD_RATE = 0.01
"""Lower bound of the control's rate of bad answers in the tests."""
MAX_BAD_RATE = 0.9
"""Upper bound of the same rate."""
BAD_EVIDENCE = 8.0
"""Cumulative log-likelihood ratio from which on a version is judged bad. Its
exponential is how many times better the alternative explains the answers."""
LEFT_OUT_EVIDENCE = 5.5
"""Ratio that must remain when any single endpoint is left out."""
GOOD_EVIDENCE = -4.0
"""Log-likelihood ratio over the trial up to which a version may be judged
good."""
ROUTE_EVIDENCE = -1.3
"""The same bound for each single route; it takes six good answers."""
DOUBT_EVIDENCE = 2.0
"""Cumulative sum from which on a version is not judged good."""
FINAL_DOUBT_EVIDENCE = 4.5
"""The same bound when time is up; it tolerates a single bad answer."""
RARE_ROUTE_SHARE = 0.03
"""Part of the control's answers below which a route needs no evidence of its
own."""
MIN_ANSWERS = 8
"""Smallest number of answers for a verdict when time is up."""
MIN_OTHER_ANSWERS = 6
"""Smallest number of answers of the other endpoints that allows an endpoint to
be left out."""
MIN_ELAPSED = 0.65
"""Part of the roll-out's time before which no version is judged good, because
some versions fail only after some seconds."""
FINAL_ELAPSED = 0.78
"""Part of the roll-out's time after which the evidence so far decides. The
rest is for moving running streams and storing the last step."""
RECENT_EVALUATIONS = 3
"""Number of latest evaluations whose control answers count as recent."""
CONTROL_WEIGHT = 10
"""Weight of the control's overall rate, in answers, when it is combined with
its recent answers."""


class Verdict(Enum):
    """Decision on a new version."""

    OPEN = auto()
    GOOD = auto()
    BAD = auto()


@dataclass(frozen=True, kw_only=True, slots=True)
class Judgement:
    """A verdict and the figures behind it."""

    verdict: Verdict
    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Evidence:
    """Input of a judgement."""

    by_source: TalliesBySource
    elapsed: float
    """Part of the roll-out's time that has elapsed."""
    is_urgent: bool = False
    """Whether no endpoint of another version accepts requests."""


Measure = Callable[[Tally], int]
"""Counts the answers of a tally that are bad in one respect."""


def _count_failed(tally: Tally) -> int:
    return tally.failed


def _count_slower(index: int) -> Measure:
    return lambda tally: tally.failed + tally.slower[index]


MEASURES: Mapping[str, Measure] = {
    'failed': _count_failed,
    **{
        f'slower_{factor:g}x': _count_slower(index)
        for index, factor in enumerate(SLOW_FACTORS)
    },
}
"""Measures by the name that verdicts mention."""
TestKey = tuple[str | None, str, EndpointId | None]
"""Route or None for all, measure, and endpoint left out or None."""


class SequentialJudge:
    """Judges one trial by the likelihood of its answers."""

    def __init__(
        self,
        *,
        min_elapsed: float = MIN_ELAPSED,
        final_elapsed: float = FINAL_ELAPSED,
    ) -> None:
        self._min_elapsed = min_elapsed
        self._final_elapsed = final_elapsed
        self._last_tallies: TalliesBySource = {}
        self._cusums: dict[TestKey, float] = {}
        self._recent_groups: deque[Groups] = deque(maxlen=RECENT_EVALUATIONS)

    def judge(self, evidence: Evidence) -> Judgement:
        """Return the judgement that the answers so far support."""
        groups = group_tallies(evidence.by_source)
        self._update_sums(evidence.by_source, groups)
        overall = groups.get(None, Group())
        if overall.new.answers == 0:
            return Judgement(verdict=Verdict.OPEN, reason='no answers')
        reason = self._find_bad(groups)
        if reason is not None:
            return Judgement(verdict=Verdict.BAD, reason=reason)
        return self._find_good(evidence, groups, overall)

    def _update_sums(
        self, by_source: TalliesBySource, groups: 'Groups'
    ) -> None:
        """Add the answers since the last evaluation to the CUSUMs."""
        new_groups = group_tallies(
            {
                source: tally.since(self._last_tallies.get(source))
                for source, tally in by_source.items()
            }
        )
        self._last_tallies = {
            source: tally.copy() for source, tally in by_source.items()
        }
        self._recent_groups.append(new_groups)
        for route, group in new_groups.items():
            endpoints = groups[route].by_endpoint
            for name, measure in MEASURES.items():
                bad_rate = self._recent_bad_rate(route, groups[route], measure)
                for left_out in (None, *endpoints):
                    key = (route, name, left_out)
                    ratio = group.ratio(
                        measure, bad_rate, leaving_out=left_out
                    )
                    self._cusums[key] = max(
                        0.0, self._cusums.get(key, 0.0) + ratio
                    )

    def _recent_bad_rate(
        self, route: str | None, group: 'Group', measure: Measure
    ) -> float:
        """Return the control's recent rate of bad answers."""
        recent = Tally()
        for groups in self._recent_groups:
            if route in groups:
                recent.add(groups[route].control)
        overall_rate = overall_bad_rate(group.control, measure)
        return (measure(recent) + CONTROL_WEIGHT * overall_rate) / (
            recent.answers + CONTROL_WEIGHT
        )

    def _find_bad(self, groups: 'Groups') -> str | None:
        for route, group in groups.items():
            for name, measure in MEASURES.items():
                cusum = self._cusums[route, name, None]
                if cusum < BAD_EVIDENCE:
                    continue
                if (
                    self._least_sum_leaving_out(route, name, group)
                    >= LEFT_OUT_EVIDENCE
                ):
                    return describe(route, name, group, measure, cusum)
        return None

    def _least_sum_leaving_out(
        self, route: str | None, name: str, group: 'Group'
    ) -> float:
        """Return the lowest CUSUM with any single endpoint left out.

        An endpoint that crashes or is faulty gives many bad answers at once,
        whatever its version.
        """
        if len(group.by_endpoint) < 2:
            return self._cusums[route, name, None]
        largest = max(tally.answers for tally in group.by_endpoint.values())
        if group.new.answers - largest < MIN_OTHER_ANSWERS:
            return 0.0
        return min(
            self._cusums[route, name, endpoint]
            for endpoint in group.by_endpoint
        )

    def _find_good(
        self, evidence: Evidence, groups: 'Groups', overall: 'Group'
    ) -> Judgement:
        ratio = overall.worst_ratio()
        reason = (
            f'{overall.new.answers} answers, {overall.new.failed} failed, '
            f'ratio {ratio:.1f}'
        )
        frequent_routes = [
            group
            for route, group in groups.items()
            if route is not None and not group.is_rare(overall)
        ]
        is_good_enough = ratio <= GOOD_EVIDENCE and all(
            group.worst_ratio() <= ROUTE_EVIDENCE for group in frequent_routes
        )
        is_due = evidence.elapsed >= self._min_elapsed or evidence.is_urgent
        if (
            is_good_enough
            and is_due
            and not self._has_doubt(groups, DOUBT_EVIDENCE)
        ):
            return Judgement(verdict=Verdict.GOOD, reason=reason)
        is_last = evidence.elapsed >= self._final_elapsed
        if not is_last or overall.new.answers < MIN_ANSWERS:
            return Judgement(verdict=Verdict.OPEN, reason=reason)
        is_good = ratio < 0 and not self._has_doubt(
            groups, FINAL_DOUBT_EVIDENCE
        )
        return Judgement(
            verdict=Verdict.GOOD if is_good else Verdict.BAD,
            reason=f'{reason}, time is up',
        )

    def _has_doubt(self, groups: 'Groups', limit: float) -> bool:
        """Whether the CUSUM of any test reaches a limit."""
        return any(
            self._least_sum_leaving_out(route, name, group) >= limit
            for route, group in groups.items()
            for name in MEASURES
        )


class Group:
    """Answers of the new version and the control on one route, or on all."""

    def __init__(self) -> None:
        self.control = Tally()
        self.new = Tally()
        self.by_endpoint: dict[EndpointId, Tally] = {}

    def add(self, endpoint: EndpointId, tally: Tally) -> None:
        """Add answers of one endpoint, or of the control."""
        if endpoint == CONTROL:
            self.control.add(tally)
            return
        self.new.add(tally)
        self.by_endpoint.setdefault(endpoint, Tally()).add(tally)

    def ratio(
        self,
        measure: Measure,
        bad_rate: float,
        *,
        leaving_out: EndpointId | None = None,
    ) -> float:
        """Return the log-likelihood ratio of a bad version to a good one.

        `bad_rate` is the control's rate of bad answers.
        """
        answers, bad = self.new.answers, measure(self.new)
        if leaving_out in self.by_endpoint:
            left_out = self.by_endpoint[leaving_out]
            answers -= left_out.answers
            bad -= measure(left_out)
        bad_rate = min(max(bad_rate, MIN_BAD_RATE), MAX_BAD_RATE)
        alternative_rate = bad_rate + EXCESS_BAD_RATE * (1 - bad_rate)
        return bad * math.log(alternative_rate / bad_rate) + (
            answers - bad
        ) * math.log((1 - alternative_rate) / (1 - bad_rate))

    def worst_ratio(self) -> float:
        """Return the highest ratio over all measures.

        For each measure the worst endpoint is left out, if the others gave
        enough answers.
        """
        return max(
            self._measure_ratio(measure) for measure in MEASURES.values()
        )

    def is_rare(self, overall: 'Group') -> bool:
        """Whether a route gets too few requests to need its own evidence."""
        return (
            self.control.answers < RARE_ROUTE_SHARE * overall.control.answers
        )

    def _measure_ratio(self, measure: Measure) -> float:
        bad_rate = overall_bad_rate(self.control, measure)
        return min(
            self.ratio(measure, bad_rate, leaving_out=endpoint)
            for endpoint in (None, *self._endpoints_to_leave_out())
        )

    def _endpoints_to_leave_out(self) -> Collection[EndpointId]:
        return [
            endpoint
            for endpoint, tally in self.by_endpoint.items()
            if self.new.answers - tally.answers >= MIN_OTHER_ANSWERS
        ]


Groups = dict[str | None, Group]
"""Groups by route; the key None holds all routes together."""


def overall_bad_rate(control: Tally, measure: Measure) -> float:
    """Return the control's rate of bad answers."""
    return measure(control) / (control.answers + 1)


def group_tallies(by_source: TalliesBySource) -> Groups:
    """Group tallies by route, and over all routes."""
    groups: Groups = {}
    for (endpoint, route), tally in by_source.items():
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
    """Format the figures behind the verdict on a bad version."""
    return (
        f'{name} {measure(group.new)} of {group.new.answers}, control '
        f'{measure(group.control)} of {group.control.answers}, '
        f'route {route or "all"}, evidence {evidence:.1f}'
    )
