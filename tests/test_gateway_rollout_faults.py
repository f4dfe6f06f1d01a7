"""Roll-outs beside daemons that die, a table that is away, and reclaims."""

import unittest

import anyio
from mimosamux_standins.site import Fault
from mimosamux_standins.site.replica import ReplicaSpeed
from mimosamux_standins.site.store import StoreTrouble

from tests.support.rollouts import bring_in, play
from tests.support.site_checks import find_joined_versions

PATHS = ('/question/', '/draft/')
LONG = ReplicaSpeed(events=60, event_s=0.05)
"""Streams of three seconds."""


def find_holder(site):
    """Return the number of the daemon that holds the duties."""
    return next(
        number
        for number, handle in enumerate(site.daemons)
        if handle is not None and handle.daemon.parts.duties.held is not None
    )


async def play_beside(rollout, disturb, *, fault=Fault.NONE, for_s=24.0):
    """Bring a version in while callers ask and something happens."""
    rollout.order('llm', 'v2')
    await anyio.sleep(1.2)
    rollout.spoil_new(fault)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(lambda: rollout.ask(PATHS, for_s=for_s))
        tasks.start_soon(disturb, rollout)
    return rollout.state('llm')


class TestHolders(unittest.TestCase):
    # Guards against steps that are lost, or taken twice, with their holder.

    def test_holder_that_dies_at_any_stage_loses_no_order(self):
        for moment_s in (2.0, 7.0, 10.0, 11.0, 12.0):
            for fault, state in (
                (Fault.NONE, 'completed'),
                (Fault.ERROR, 'reverted'),
            ):
                with self.subTest(moment_s=moment_s, fault=fault):

                    async def kill(rollout, moment_s=moment_s):
                        await anyio.sleep(moment_s)
                        site = rollout.site
                        number = find_holder(site)
                        site.kill_daemon(number)
                        await anyio.sleep(1.0)
                        await site.start_daemon(number).wait()

                    found = play(
                        lambda each, kill=kill, fault=fault: play_beside(
                            each, kill, fault=fault
                        )
                    )
                    self.assertEqual(found, state)

    def test_decided_order_is_not_begun_again_by_new_daemons(self):
        async def check(rollout):
            await bring_in(rollout, PATHS, fault=Fault.ERROR)
            before = rollout.status('llm')
            site = rollout.site
            for number in range(3):
                site.kill_daemon(number)
            await anyio.sleep(0.5)
            await site.start_daemons(3)
            trials = rollout.trials()
            await rollout.ask(PATHS, for_s=5.0)
            return before, rollout.status('llm'), rollout.trials() - trials

        before, after, trials = play(check)
        self.assertEqual(before['state'], 'reverted')
        self.assertEqual(after, before)
        self.assertEqual(trials, 0)

    def test_daemons_that_all_start_anew_go_on_with_the_trial(self):
        async def restart(rollout):
            await anyio.sleep(4.0)
            site = rollout.site
            for number in range(3):
                site.kill_daemon(number)
            await anyio.sleep(0.5)
            await site.start_daemons(3)

        async def check(rollout):
            return await play_beside(rollout, restart)

        self.assertEqual(play(check), 'completed')


class TestTable(unittest.TestCase):
    # Guards against daemons that decide what nobody can read afterwards.

    def test_bad_version_gets_little_while_the_table_is_away(self):
        for trouble in (StoreTrouble.SILENT, StoreTrouble.BUSY):
            with self.subTest(trouble=trouble):

                async def take_away(rollout, trouble=trouble):
                    await anyio.sleep(2.0)
                    rollout.site.store.trouble = trouble
                    await anyio.sleep(8.0)
                    rollout.site.store.trouble = StoreTrouble.NONE

                async def check(rollout, take_away=take_away):
                    state = await play_beside(
                        rollout, take_away, fault=Fault.ERROR
                    )
                    return state, rollout.trials()

                state, trials = play(check)
                self.assertEqual(state, 'reverted')
                self.assertLess(trials, 60)

    def test_step_whose_answer_is_lost_is_taken_once(self):
        async def lose(rollout):
            rollout.site.store.lost_answers = 0.5
            await anyio.sleep(14.0)
            rollout.site.store.lost_answers = 0.0

        async def check(rollout):
            return await play_beside(rollout, lose)

        self.assertEqual(play(check), 'completed')


class TestStreams(unittest.TestCase):
    # Guards against streams that end with the endpoints of the old version.

    def test_streams_at_the_old_endpoints_are_whole(self):
        async def check(rollout):
            for replica in rollout.site.replicas_by_id.values():
                replica.speed = LONG
            rollout.order('llm', 'v2', speed=LONG)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    lambda: rollout.ask(('/draft/',), for_s=18.0, every_s=0.2)
                )
                await rollout.wait_until_over('llm', 20.0)
            joined = find_joined_versions(rollout.site.runs())
            return rollout.state('llm'), rollout.not_served(), joined

        self.assertEqual(play(check), ('completed', [], []))


class TestEndpoints(unittest.TestCase):
    # Guards against a good version that is condemned for one endpoint.

    def test_good_version_with_a_crash_takes_over(self):
        async def crash(rollout):
            await anyio.sleep(5.0)
            replica = rollout.new[0]
            rollout.site.crash_replica(replica)
            await anyio.sleep(2.0)
            rollout.site.unlist_replica(replica)

        async def check(rollout):
            return await play_beside(rollout, crash)

        self.assertEqual(play(check), 'completed')

    def test_callers_are_served_when_only_the_new_version_is_left(self):
        async def reclaim(rollout):
            await anyio.sleep(6.0)
            for replica in rollout.old:
                replica.leaves_ms = 2000.0
                rollout.site.drain_replica(replica)
            await anyio.sleep(2.0)
            for replica in rollout.old:
                rollout.site.crash_replica(replica)
                rollout.site.unlist_replica(replica)

        async def check(rollout):
            state = await play_beside(rollout, reclaim)
            return state, len(rollout.not_served(since=14.0))

        state, late = play(check)
        self.assertEqual((state, late), ('completed', 0))


class TestSecondOrders(unittest.TestCase):
    # Guards against two orders for one service that undo each other.

    def test_later_order_takes_the_place_of_an_earlier_one(self):
        async def check(rollout):
            rollout.order('llm', 'v2', count=0)
            await rollout.ask(PATHS, for_s=2.0)
            first = rollout.status('llm')
            rollout.order('llm', 'v3')
            await rollout.ask(PATHS, for_s=18.0)
            return first, rollout.status('llm')

        first, second = play(check)
        self.assertEqual(first, {'state': 'in_progress', 'to': 'v2'})
        self.assertEqual(second, {'state': 'completed', 'to': 'v3'})
