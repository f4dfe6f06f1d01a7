"""What a version under trial gets, and what is judged of it."""

import random
import unittest

from mimosamux_daemon.domain.gateway import ListedEndpoint
from mimosamux_daemon.domain.names import DataCentreName, EndpointId
from mimosamux_daemon.domain.rollouts import (
    Rollout,
    RolloutOrder,
    RolloutStage,
)
from mimosamux_daemon.gateway.balancing.endpoint_record import EndpointRecord
from mimosamux_daemon.gateway.rollouts import (
    SAFE_FRACTION,
    SHARE_VALIDITY_S,
    RolloutLimits,
    Rollouts,
)
from mimosamux_daemon.gateway.trial_judge import SequentialJudge, Verdict
from mimosamux_daemon.gateway.trial_share import TrialShare

from tests.support.trial_model import VERSIONS, play_trial

SERVICE = 'llm'
LIMITS = RolloutLimits()
BAD = [name for name, version in VERSIONS.items() if not version.is_good]


def make_rollout(stage=RolloutStage.TRIAL, *, number=1, step=1, **fields):
    return Rollout(
        order=RolloutOrder(
            service=SERVICE, version='v2', within_s=16.0, number=number
        ),
        stage=stage,
        step=step,
        began_at=0.0,
        **fields,
    )


def make_record(number, software):
    listed = ListedEndpoint(
        id=EndpointId(f'i-{software}-{number}'),
        service=SERVICE,
        address=f'10.0.0.{number}:80',
        data_centre=DataCentreName('north'),
        slots=8,
        software=software,
    )
    return EndpointRecord(listed=listed, listed_at=0.0)


class Fleet:
    """Rollouts of one daemon on a clock of its own."""

    def __init__(self, *, old=4, new=4):
        self.now = 0.0
        self.is_alone = False
        self.records = [make_record(n, 'v1') for n in range(old)]
        self.records += [make_record(n, 'v2') for n in range(new)]
        self.rollouts = Rollouts(
            limits=LIMITS,
            serving=lambda service: self.records,
            is_isolated=lambda: self.is_alone,
            clock=lambda: self.now,
        )

    def versions(self, request_id='r', *, allow_trial=True):
        found = self.rollouts.filter_endpoints(
            SERVICE,
            self.records,
            request_id=request_id,
            allow_trial=allow_trial,
        )
        return {record.listed.software for record in found}

    def count_trials(self, requests):
        return sum(
            self.versions(f'r{number}') == {'v2'} for number in range(requests)
        )


class TestExposure(unittest.TestCase):
    # Guards against an unproven version that gets more than its share.

    def test_daemons_of_any_number_keep_to_the_share_without_a_word(self):
        for daemons in (1, 9, 62, 195, 340):
            for seed in range(80):
                with self.subTest(daemons=daemons, seed=seed):
                    rng = random.Random(f'{daemons} {seed}')
                    requests, trials = 0, 0
                    for _ in range(daemons):
                        fleet = Fleet()
                        fleet.rollouts.apply_step(
                            make_rollout(), source='test'
                        )
                        own = rng.randrange(1, 2000 // daemons + 2)
                        requests += own
                        trials += sum(
                            fleet.versions(f'{rng.random()}') == {'v2'}
                            for _ in range(own)
                        )
                    most = LIMITS.share * requests + LIMITS.tolerance
                    self.assertLessEqual(trials, most)

    def test_share_of_the_holder_ends_without_a_further_word(self):
        fleet = Fleet()
        rollout = make_rollout()
        fleet.rollouts.apply_step(rollout, source='test')
        fleet.rollouts.apply_share(rollout, 1, 0.5)
        allowed = fleet.rollouts.share(SERVICE)
        fleet.now = SHARE_VALIDITY_S + 0.1
        self.assertEqual(
            (allowed, fleet.rollouts.share(SERVICE)),
            (0.5, SAFE_FRACTION * LIMITS.share),
        )

    def test_daemon_that_hears_no_other_tries_nothing(self):
        fleet = Fleet()
        fleet.rollouts.apply_step(make_rollout(), source='test')
        fleet.is_alone = True
        self.assertEqual(fleet.count_trials(200), 0)

    def test_older_word_of_the_share_changes_nothing(self):
        fleet = Fleet()
        rollout = make_rollout()
        fleet.rollouts.apply_step(rollout, source='test')
        fleet.rollouts.apply_share(rollout, 5, 0.02)
        self.assertFalse(fleet.rollouts.apply_share(rollout, 4, 0.5))
        self.assertEqual(fleet.rollouts.share(SERVICE), 0.02)

    def test_share_spends_no_more_than_part_of_the_tolerance(self):
        share = TrialShare(limits=LIMITS)
        for rate in (5, 33, 343, 6900):
            with self.subTest(rate=rate):
                requests, trials, told = 0.0, 0.0, [(0.0, 0.0)]
                for step in range(64):
                    late = told[max(len(told) - 8, 0)]
                    now = share.find(
                        requests=int(late[0]),
                        trials=int(late[1]),
                        passed_s=0.25 * step,
                    )
                    requests += 0.25 * rate
                    trials += 0.25 * rate * now
                    told.append((requests, trials))
                most = LIMITS.share * requests + 0.8 * LIMITS.tolerance
                self.assertLess(trials, most)


class TestVersions(unittest.TestCase):
    # Guards against requests that reach a version which may not have them.

    def test_version_of_an_order_gets_nothing_before_its_trial(self):
        fleet = Fleet()
        fleet.rollouts.apply_order(make_rollout().order)
        self.assertEqual(fleet.versions(), {'v1'})

    def test_request_that_was_sent_before_goes_to_no_trial(self):
        fleet = Fleet()
        fleet.rollouts.apply_step(make_rollout(), source='test')
        found = {
            frozenset(fleet.versions(f'r{n}', allow_trial=False))
            for n in range(200)
        }
        self.assertEqual(found, {frozenset({'v1'})})

    def test_every_request_goes_to_the_version_that_takes_over(self):
        for stage in (RolloutStage.TAKEOVER, RolloutStage.CLEARING):
            with self.subTest(stage=stage):
                fleet = Fleet()
                fleet.rollouts.apply_step(make_rollout(stage), source='test')
                self.assertEqual(fleet.count_trials(50), 50)

    def test_reverted_version_gets_nothing(self):
        fleet = Fleet()
        fleet.rollouts.apply_step(make_rollout(), source='test')
        reverted = make_rollout(RolloutStage.REVERTED, step=2)
        fleet.rollouts.apply_step(reverted, source='test')
        self.assertEqual(fleet.count_trials(200), 0)

    def test_older_step_and_older_order_change_nothing(self):
        fleet = Fleet()
        reverted = make_rollout(RolloutStage.REVERTED, number=7, step=2)
        fleet.rollouts.apply_step(reverted, source='test')
        for late in (
            make_rollout(number=7, step=1),
            make_rollout(RolloutStage.TAKEOVER, number=6, step=9),
        ):
            self.assertFalse(fleet.rollouts.apply_step(late, source='test'))
        self.assertEqual(fleet.count_trials(200), 0)

    def test_order_for_the_only_version_there_is_leaves_it_in_use(self):
        fleet = Fleet(old=0)
        fleet.rollouts.apply_order(make_rollout().order)
        self.assertEqual(fleet.versions(), {'v2'})

    def test_daemon_that_stops_a_trial_sends_it_nothing_more(self):
        fleet = Fleet()
        fleet.rollouts.apply_step(make_rollout(), source='test')
        fleet.rollouts.stop_trial(SERVICE, 'bad answers')
        self.assertEqual(fleet.count_trials(200), 0)


class TestJudge(unittest.TestCase):
    # Guards against a bad version that passes, and against a good one that
    # is condemned for what happens beside it.

    def count(self, version, trouble, site, seeds=12):
        played = [
            play_trial(SequentialJudge, version, trouble, site, seed)
            for seed in range(seeds)
        ]
        good = sum(each.verdict is Verdict.GOOD for each in played)
        return good, sum(each.is_exposed for each in played)

    def test_versions_that_are_bad_from_the_start_never_pass(self):
        for version in BAD:
            if VERSIONS[version].bad_from_s:
                continue
            with self.subTest(version=version):
                found = self.count(version, 'calm', '343/s', seeds=6)
                self.assertEqual(found, (0, 0))

    def test_version_that_turns_bad_later_does_not_pass(self):
        found = self.count('fails a half, from 5 s on', 'calm', '343/s', 6)
        self.assertEqual(found, (0, 0))

    def test_good_version_passes_in_calm(self):
        for site in ('33/s', '343/s'):
            with self.subTest(site=site):
                good, _ = self.count('good', 'calm', site, seeds=6)
                self.assertEqual(good, 6)
