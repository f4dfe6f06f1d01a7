"""Model of a trial: many daemons, one judge, answers drawn at random.

Daemons are one in number here: each request is drawn by itself, so that it
does not matter which of them had it. What matters is kept: counts reach the
holder late, and its word the daemons.
"""

import math
import random
from collections import deque
from dataclasses import dataclass, field

from mimosamux_daemon.domain.names import EndpointId
from mimosamux_daemon.gateway.rollouts import SAFE_FRACTION, RolloutLimits
from mimosamux_daemon.gateway.trial_judge import Evidence, Verdict
from mimosamux_daemon.gateway.trial_share import TrialShare
from mimosamux_daemon.gateway.trial_tallies import (
    CONTROL,
    MAX_BAD_ANSWERS,
    SLOW_FACTORS,
    Tally,
    compute_route_weights,
    count_bad_answers,
)

STEP_S = 0.25
TOLD_LATE_S = 1.5
"""Age of the counts that a holder or a daemon has of the others."""
STOP_S = 5.0
"""Bound within which a version gets nothing more that is seen to be bad."""
LIMITS = RolloutLimits()


@dataclass(frozen=True, kw_only=True)
class Version:
    """How answers of a new version turn out."""

    is_good: bool = True
    failed: float = 0.0
    """Part of the answers that are failures, beside the usual ones."""
    slow: float = 0.0
    """Part of them that take `slow_x` times as long."""
    slow_x: float = 4.0
    bad_from_s: float = 0.0
    """Time behind its start from which on it is bad."""
    bad_route: str | None = None
    """The only route on which it is bad, None: on all."""
    is_bad_under_load: bool = False
    """Whether it is bad only at endpoints as busy as the old ones."""


@dataclass(frozen=True, kw_only=True)
class Trouble:
    """What happens to both versions, or to single endpoints, besides."""

    ill_endpoints: int = 0
    """Endpoints under trial that fail answers by themselves."""
    ill_failed: float = 0.45
    crashed_endpoints: int = 0
    """Endpoints under trial that fail all answers for a second, then end."""
    slower_x: float = 1.0
    """Factor on all times for four seconds of the trial."""
    cold_s: float = 0.0
    """Time for which new endpoints take twice as long."""


@dataclass(frozen=True, kw_only=True)
class Site:
    """Size of a site, and what its answers are like."""

    rate_per_s: float = 33.0
    share_by_route: dict = field(
        default_factory=lambda: {'question': 0.84, 'draft': 0.16}
    )
    usual_failed: float = 0.01
    spread: float = 0.5
    """Standard deviation of the logarithm of times over expected ones."""
    endpoints: int = 12


@dataclass(kw_only=True)
class Played:
    """What came of a trial."""

    verdict: Verdict = Verdict.OPEN
    decided_s: float = math.inf
    requests: int = 0
    trials: int = 0
    late_trials: int = 0
    """Requests sent there after the bound behind the 50th bad answer."""
    reason: str = ''

    @property
    def is_exposed(self) -> bool:
        """Whether a bad version got more than it may."""
        most = LIMITS.share * self.requests + LIMITS.tolerance
        return self.trials > most or self.late_trials > 0


class TrialModel:
    """Plays one trial."""

    def __init__(self, *, judge, version, trouble, site, within_s, rng):
        self.judge = judge
        self.version = version
        self.trouble = trouble
        self.site = site
        self.within_s = within_s
        self.rng = rng
        self.by_source = {}
        self.told = deque()
        """Counts of the last moments: when, requests, trials, tallies."""
        self.share = SAFE_FRACTION * LIMITS.share
        self.weights = {}
        self.is_stopped = False
        self.bad = 0
        self.bad_50_at = math.inf
        self.played = Played()
        self.start_s = rng.uniform(0.1, 2.5)
        """When the endpoints of the new version are there."""
        self.trouble_at = rng.uniform(3.0, 8.0)
        tried = max(3, math.ceil(LIMITS.share * site.endpoints))
        self.tried = [EndpointId(f'new-{n}') for n in range(tried)]

    def play(self):
        """Return what came of it."""
        played = self.played
        now = 0.0
        while now < self.within_s:
            self._pass(now)
            self._tell(now)
            if played.verdict is Verdict.OPEN:
                self._decide(now)
            now += STEP_S
        return played

    def _pass(self, now):
        played = self.played
        expected = self.site.rate_per_s * STEP_S
        for _ in range(_poisson(self.rng, expected)):
            played.requests += 1
            route = self.rng.choices(
                list(self.site.share_by_route),
                list(self.site.share_by_route.values()),
            )[0]
            is_trial = (
                played.verdict is Verdict.OPEN
                and not self.is_stopped
                and now >= self.start_s
                and self.rng.random()
                < self.share * self.weights.get(route, 1.0)
            )
            if is_trial:
                self._note_trial(now)
            endpoint = self.rng.choice(self.tried) if is_trial else CONTROL
            self._answer(now, endpoint, route)

    def _note_trial(self, now):
        played = self.played
        played.trials += 1
        played.late_trials += now > self.bad_50_at + STOP_S

    def _answer(self, now, endpoint, route):
        is_new = endpoint != CONTROL
        failed = self.rng.random() < self.site.usual_failed
        ratio = math.exp(self.rng.gauss(-0.1, self.site.spread))
        if self.trouble_at <= now < self.trouble_at + 4.0:
            ratio *= self.trouble.slower_x
        if is_new and now < self.start_s + self.trouble.cold_s:
            ratio *= 2.0
        if is_new and self._is_bad(now, route):
            is_failed = self.rng.random() < self.version.failed
            is_slow = self.rng.random() < self.version.slow
            ratio *= self.version.slow_x if is_slow else 1.0
            failed = failed or is_failed
            self.bad += is_failed or is_slow
            if self.bad >= 50:
                self.bad_50_at = min(self.bad_50_at, now)
        if is_new:
            failed = failed or self._is_ill(now, endpoint)
        tally = self.by_source.setdefault((endpoint, route), Tally())
        tally.answers += 1
        tally.failed += failed
        is_cold = is_new and now < self.start_s + self.trouble.cold_s
        for place, factor in enumerate(SLOW_FACTORS):
            # The list tells how long an endpoint is still cold.
            is_slower = not failed and not is_cold and ratio >= factor
            tally.slower[place] += is_slower

    def _is_bad(self, now, route):
        version = self.version
        if version.is_good or now < self.start_s + version.bad_from_s:
            return False
        if version.bad_route not in (None, route):
            return False
        if not version.is_bad_under_load:
            return True
        each_old = self.site.rate_per_s / self.site.endpoints
        each_new = self.share * self.site.rate_per_s / len(self.tried)
        return each_new >= 0.25 * each_old

    def _is_ill(self, now, endpoint):
        place = self.tried.index(endpoint)
        if place < self.trouble.ill_endpoints:
            return self.rng.random() < self.trouble.ill_failed
        crashed = self.trouble.crashed_endpoints
        if place >= crashed or now < self.trouble_at:
            return False
        if now > self.trouble_at + 1.0:
            # It is gone, and nothing is sent there any more.
            self.tried.remove(endpoint)
            self.trouble_at = math.inf
        return True

    def _tell(self, now):
        copied = {kind: tally.copy() for kind, tally in self.by_source.items()}
        self.told.append(
            (now, self.played.requests, self.played.trials, copied)
        )
        while len(self.told) > 1 and self.told[1][0] <= now - TOLD_LATE_S:
            self.told.popleft()

    def _decide(self, now):
        _, requests, trials, by_source = self.told[0]
        if count_bad_answers(by_source) >= MAX_BAD_ANSWERS:
            self.is_stopped = True
        self.weights = compute_route_weights(by_source)
        self.share = TrialShare(limits=LIMITS).find(
            requests=requests, trials=trials, passed_s=max(now, STEP_S)
        )
        found = self.judge.judge(
            Evidence(by_source=by_source, elapsed=now / self.within_s)
        )
        if found.verdict is Verdict.OPEN:
            return
        self.played.verdict = found.verdict
        self.played.decided_s = now
        self.played.reason = found.reason


def _poisson(rng, mean):
    """Return a number of arrivals; Knuth's product of uniform draws."""
    limit, count, product = math.exp(-mean), 0, rng.random()
    while product > limit:
        count += 1
        product *= rng.random()
    return count


VERSIONS = {
    'good': Version(),
    'fails a third': Version(is_good=False, failed=0.33),
    'fails a half, from 5 s on': Version(
        is_good=False, failed=0.5, bad_from_s=5.0
    ),
    'fails a half under load': Version(
        is_good=False, failed=0.5, is_bad_under_load=True
    ),
    'fails a half of the drafts': Version(
        is_good=False, failed=0.5, bad_route='draft'
    ),
    'half is 4 times slower': Version(is_good=False, slow=0.5),
    'half of the drafts is 4 times slower': Version(
        is_good=False, slow=0.5, bad_route='draft'
    ),
}
TROUBLES = {
    'calm': Trouble(),
    'one ill endpoint': Trouble(ill_endpoints=1),
    'one crashes': Trouble(crashed_endpoints=1),
    'all is slower for a while': Trouble(slower_x=2.5),
    'cold for 2 s': Trouble(cold_s=2.0),
}
SITES = {
    '33/s': Site(),
    '343/s': Site(rate_per_s=343.0, endpoints=45),
    '33/s, one in seven fails': Site(usual_failed=0.14),
}


def play_trial(judge, version, trouble, site, seed, within_s=16.0):
    """Return what came of one seeded trial."""
    return TrialModel(
        judge=judge(),
        version=VERSIONS[version],
        trouble=TROUBLES[trouble],
        site=SITES[site],
        within_s=within_s,
        rng=random.Random(f'{version} {trouble} {site} {seed}'),
    ).play()
