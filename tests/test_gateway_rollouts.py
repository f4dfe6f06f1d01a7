"""A new version of a service is brought in, on a whole site."""

import unittest
from unittest import mock

import anyio
import orjson
from mimosamux_standins.site import Fault
from mimosamux_standins.site.replica import ReplicaSpeed

from tests.support.platform_site import default_document
from tests.support.rollouts import bring_in, play

ENGINE_PATHS = ('/question/', '/draft/')
APP_PATHS = ('/slip/', '/list/')
SLOW = ReplicaSpeed(event_s=0.25)
SEEDS = range(1, 5)
"""Seeds of the order of tasks, on which the number of trials depends."""


class TestGoodVersions(unittest.TestCase):
    # Guards against operators who have to move a service by hand, and
    # against callers who are cut off when the old endpoints stop.

    def test_good_version_takes_over_in_time_and_cuts_nobody_off(self):
        async def check(rollout):
            took_s = await bring_in(rollout, ENGINE_PATHS)
            return took_s, rollout.status('llm'), rollout.not_served()

        took_s, status, not_served = play(check)
        self.assertEqual(status, {'state': 'completed', 'to': 'v2'})
        self.assertLess(took_s, 16.0)
        self.assertEqual(not_served, [])

    def test_good_version_of_a_plain_service_takes_over(self):
        async def check(rollout):
            await bring_in(rollout, APP_PATHS, service='app')
            return rollout.state('app'), rollout.not_served()

        state, not_served = play(check)
        self.assertEqual(state, 'completed')
        self.assertEqual(not_served, [])

    def test_operator_sees_the_trial_and_its_figures(self):
        async def check(rollout):
            rollout.order('llm', 'v2')
            await rollout.ask(ENGINE_PATHS, for_s=6.0)
            site = rollout.site
            address = site.daemons[0].daemon.settings.metrics
            status = await site.caller().send(
                address, '/v1/operator/status', method='GET'
            )
            (row,) = orjson.loads(status.body)['rollouts']
            return row

        row = play(check)
        self.assertEqual((row['version'], row['stage']), ('v2', 'trial'))
        self.assertGreater(row['tried'], 0)
        self.assertEqual(row['bad'], 0)

    def test_operator_reads_that_it_is_under_way(self):
        async def check(rollout):
            rollout.order('llm', 'v2')
            await anyio.sleep(1.0)
            return rollout.status('llm')

        self.assertEqual(play(check), {'state': 'in_progress', 'to': 'v2'})


class TestBadVersions(unittest.TestCase):
    # Guards against a version that fails its callers and stays.

    def test_version_that_fails_is_reverted_and_gets_nothing_more(self):
        for fault in (Fault.ERROR, Fault.HANG, Fault.LOST):
            with self.subTest(fault=fault):

                async def check(rollout, fault=fault):
                    await bring_in(rollout, ENGINE_PATHS, fault=fault)
                    await anyio.sleep(1.0)
                    trials = rollout.trials()
                    await rollout.ask(ENGINE_PATHS, for_s=3.0)
                    later = rollout.trials() - trials
                    return rollout.state('llm'), trials, later

                state, trials, later = play(check)
                self.assertEqual(state, 'reverted')
                self.assertLess(trials, 50)
                self.assertEqual(later, 0)

    def test_version_that_is_slow_is_reverted_unless_it_is_cold_yet(self):
        for cold_ms, state in ((0, 'reverted'), (60_000, 'completed')):
            with self.subTest(cold_ms=cold_ms):

                async def check(rollout, cold_ms=cold_ms):
                    await rollout.ask(ENGINE_PATHS, for_s=3.0)
                    await bring_in(
                        rollout, ENGINE_PATHS, speed=SLOW, cold_ms=cold_ms
                    )
                    return rollout.state('llm')

                self.assertEqual(play(check), state)

    def test_question_that_fails_at_a_trial_is_answered_by_the_old(self):
        async def check(rollout):
            rollout.order('llm', 'v2')
            await anyio.sleep(1.2)
            rollout.spoil_new(Fault.ERROR)
            await rollout.ask(('/question/',), for_s=6.0)
            return rollout.trials(), rollout.not_served()

        counts = []
        for seed in SEEDS:
            with mock.patch('tests.support.clock.SEED', seed):
                trials, not_served = play(check)
            self.assertEqual(not_served, [])
            counts.append(trials)
        self.assertGreater(min(counts), 0)
        self.assertGreater(sum(counts), 3 * len(SEEDS))


class TestOrderedEndpoints(unittest.TestCase):
    # Guards against orders for fewer endpoints, which end those of the new
    # version: the platform counts all versions together.

    def test_endpoints_of_a_version_under_trial_are_not_sent_away(self):
        async def check(rollout):
            await rollout.ask(ENGINE_PATHS, for_s=12.0)
            rollout.order('llm', 'v2')
            states = set()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(lambda: rollout.ask(ENGINE_PATHS, for_s=16.0))
                for _ in range(120):
                    states |= {replica.state for replica in rollout.new}
                    await anyio.sleep(0.1)
            return states

        document = default_document(is_scaled=True)
        self.assertEqual(play(check, document=document), {'ready'})


class TestOtherOrders(unittest.TestCase):
    # Guards against orders that stay without an answer.

    def test_order_for_the_version_that_runs_is_completed_at_once(self):
        async def check(rollout):
            rollout.order('llm', 'v1', count=0)
            await anyio.sleep(1.5)
            return rollout.state('llm')

        self.assertEqual(play(check), 'completed')

    def test_unknown_service_and_no_time_are_reverted(self):
        async def check(rollout):
            rollout.order('nobody', 'v2', count=0)
            rollout.order('app', 'v2', within_s=0, count=0)
            await anyio.sleep(1.5)
            return rollout.state('nobody'), rollout.state('app')

        self.assertEqual(play(check), ('reverted', 'reverted'))

    def test_version_without_endpoints_is_reverted_when_its_time_is_up(self):
        async def check(rollout):
            rollout.order('llm', 'v2', within_s=5.0, count=0)
            await rollout.ask(ENGINE_PATHS, for_s=6.0)
            return rollout.state('llm'), rollout.not_served()

        self.assertEqual(play(check), ('reverted', []))

    def test_order_that_cannot_be_read_changes_nothing(self):
        async def check(rollout):
            rollout.site.store.put('op', 'rollout/llm', {'to': 7})
            await rollout.ask(ENGINE_PATHS, for_s=2.0)
            return rollout.status('llm'), rollout.not_served()

        self.assertEqual(play(check), ({}, []))
