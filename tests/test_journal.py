"""The journal of accepted requests of durable classes."""

import unittest
import unittest.mock

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st
from mimosamux_daemon.adapters.memory_table import MemoryTable
from mimosamux_daemon.domain.store import Unavailable
from mimosamux_daemon.domain.work import ModelRequest, WorkClass
from mimosamux_daemon.serving.commit_budget import (
    BURST_COMMITS,
    FLEET_COMMITS_PER_S,
)
from mimosamux_daemon.serving.journal import Journal

from tests.support.clock import run_paused

DRAFT = WorkClass(
    name='drafts', first_token_s=5.0, deadline_s=500.0, durable=True
)


def a_request(name):
    return ModelRequest(
        id=name,
        account='a',
        work_class=DRAFT,
        model='m',
        prompt='plan',
        max_tokens=9,
        arrived=anyio.current_time() - 100.0,
        parameters={'temperature': 0.5},
    )


class Daemons:
    """Journals of several daemons over one table."""

    def __init__(self, tasks, kind=Journal, count=1):
        self.kind = kind
        self.tasks = tasks
        self.count = count
        self.table = MemoryTable()
        self.dead = set()
        self.scopes = {}
        self.journals = {}
        self.accepted, self.refused, self.ended = set(), set(), set()
        self.claimed = []

    def is_dead(self, daemon, incarnation):
        return daemon in self.dead

    def start(self, name):
        journal = self.kind(
            table=self.table,
            liveness=self,
            daemon=name,
            incarnation=1,
            daemons=lambda: self.count,
        )
        self.journals[name] = journal
        self.scopes[name] = anyio.CancelScope()
        self.tasks.start_soon(self._run, name)
        return journal

    async def _run(self, name):
        with self.scopes[name]:
            await self.journals[name].run()

    def kill(self, name):
        self.scopes[name].cancel()
        self.dead.add(name)

    async def record(self, name, request):
        with anyio.CancelScope() as scope:
            self.scopes[f'{name}/{request}'] = scope
            failed = await self.journals[name].record(a_request(request))
            (self.refused if failed else self.accepted).add(request)
            return failed

    async def forget(self, name, request):
        self.ended.add(request)
        await self.journals[name].forget(request)

    async def claim(self, claimer, dead):
        requests = await self.journals[claimer].claim(dead)
        if isinstance(requests, Unavailable):
            return requests
        self.claimed.extend(request.id for request in requests)
        return requests


class TestJournal(unittest.TestCase):
    def play(self, check, **options):
        async def run():
            async with anyio.create_task_group() as tasks:
                daemons = Daemons(tasks, **options)
                daemons.start('d1')
                daemons.start('d2')
                await check(daemons)
                tasks.cancel_scope.cancel()

        run_paused(run)

    async def record_many(self, daemons, count):
        async with anyio.create_task_group() as tasks:
            for number in range(count):
                tasks.start_soon(daemons.record, 'd1', f'r{number}')

    def test_requests_that_wait_together_share_one_commit(self):
        async def check(daemons):
            daemons.table.faults.delay_s = 0.01
            await self.record_many(daemons, 100)
            self.assertEqual(len(daemons.accepted), 100)
            self.assertLessEqual(daemons.table.commits, 2)
            self.assertLessEqual(daemons.table.rows_written, 2)

        self.play(check)

    def test_rows_of_ended_requests_are_deleted(self):
        async def check(daemons):
            await self.record_many(daemons, 20)
            for number in range(20):
                await daemons.forget('d1', f'r{number}')
            await anyio.sleep(10)
            self.assertEqual(daemons.table.rows_by_key, {})

        self.play(check)

    def test_a_daemon_that_ends_leaves_no_ended_requests(self):
        # Guards against answered requests that another daemon runs again.
        async def check(daemons):
            await daemons.record('d1', 'r')
            await daemons.forget('d1', 'r')
            await daemons.journals['d1'].drain()
            daemons.kill('d1')
            await daemons.claim('d2', 'd1')
            self.assertEqual(daemons.claimed, [])

        self.play(check)

    def test_another_daemon_claims_what_a_dead_one_left(self):
        """A daemon is killed while it works on an accepted draft."""

        async def check(daemons):
            await self.record_many(daemons, 3)
            await daemons.forget('d1', 'r1')
            await anyio.sleep(10)
            daemons.kill('d1')
            requests = await daemons.claim('d2', 'd1')
            self.assertEqual({each.id for each in requests}, {'r0', 'r2'})
            left_s = requests[0].deadline - anyio.current_time()
            self.assertAlmostEqual(left_s, 400.0, places=3)
            self.assertEqual(requests[0].parameters, {'temperature': 0.5})
            self.assertEqual(await daemons.claim('d2', 'd1'), ())

        self.play(check)

    def test_two_daemons_that_claim_at_once_do_not_both_go_on(self):
        async def check(daemons):
            daemons.start('d3')
            await self.record_many(daemons, 3)
            daemons.kill('d1')
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(daemons.claim, 'd2', 'd1')
                tasks.start_soon(daemons.claim, 'd3', 'd1')
            self.assertEqual(sorted(daemons.claimed), ['r0', 'r1', 'r2'])

        self.play(check)

    def test_the_rows_of_a_living_daemon_are_not_claimed(self):
        async def check(daemons):
            await self.record_many(daemons, 1)
            self.assertEqual(await daemons.claim('d2', 'd1'), ())

        self.play(check)

    def test_a_request_in_two_rows_leaves_neither_behind(self):
        """A request is handed over, and claimed again after a death.

        A row that stays would have it run once more, long after its end.
        """

        async def check(daemons):
            await daemons.record('d1', 'r0')
            await daemons.record('d2', 'r0')
            daemons.kill('d1')
            await daemons.claim('d2', 'd1')
            await daemons.forget('d2', 'r0')
            await anyio.sleep(30)
            self.assertEqual(daemons.table.rows_by_key, {})

        self.play(check)

    def test_a_caller_who_is_gone_leaves_no_entry_behind(self):
        """The client hangs up while its draft is being recorded."""

        async def check(daemons):
            daemons.table.faults.delay_s = 1.0
            with anyio.move_on_after(0.5):
                await daemons.record('d1', 'r0')
            await anyio.sleep(30)
            self.assertEqual(daemons.table.rows_by_key, {})

        self.play(check)

    def test_a_claim_whose_answer_was_lost_is_found_again(self):
        """The claim takes effect, and the store goes down before it says.

        The rows have moved, so nobody else would ever find them.
        """

        async def check(daemons):
            await self.record_many(daemons, 2)
            daemons.kill('d1')
            daemons.table.faults.lose_next_answers = 100
            with unittest.mock.patch.object(MemoryTable, 'read', fail):
                first = await daemons.claim('d2', 'd1')
            self.assertIsInstance(first, Unavailable)
            self.assertEqual(len(await daemons.claim('d2', 'd1')), 2)

        async def fail(table, key):
            return Unavailable(reason='down', may_have_taken_effect=False)

        self.play(check)

    def test_a_refused_request_is_not_claimed_though_it_lands_late(self):
        """The store holds a record back until after the refusal.

        The user was told that the draft was not taken, and would pay for
        one that nobody reads.
        """

        async def check(daemons):
            daemons.table.faults.hold_next_commits = 100
            daemons.table.faults.hold_s = 6.0
            failed = await daemons.record('d1', 'r0')
            self.assertTrue(failed.may_have_taken_effect)
            daemons.table.faults.hold_next_commits = 0
            await anyio.sleep(30)
            daemons.kill('d1')
            self.assertEqual(await daemons.claim('d2', 'd1'), ())

        self.play(check)

    def test_commits_of_all_daemons_stay_in_one_budget(self):
        async def check(daemons):
            started = anyio.current_time()
            number = 0
            while anyio.current_time() < started + 60:
                daemons.tasks.start_soon(daemons.record, 'd1', f'r{number}')
                number += 1
                await anyio.sleep(0.05)
            most = BURST_COMMITS + 60 * FLEET_COMMITS_PER_S / 340 + 1
            self.assertLessEqual(daemons.table.commits, most)

        self.play(check, count=340)

    STEPS = st.lists(
        st.tuples(
            st.sampled_from(
                [*(4 * ['record']), 'forget', 'lose', 'hold', 'down', 'up']
            ),
            st.sampled_from(['d1', 'd2']),
            st.sampled_from([0.0, 0.02, 1.0, 4.0]),
        ),
        max_size=25,
    )

    async def play_schedule(self, schedule, kind=Journal):
        """Return accepted requests that nobody, or too many, go on with."""
        async with anyio.create_task_group() as tasks:
            daemons = Daemons(tasks, kind=kind)
            for name in ('d1', 'd2', 'd3'):
                daemons.start(name)
            for number, (action, name, after_s) in enumerate(schedule):
                await self.take(daemons, number, action, name)
                await anyio.sleep(after_s)
            daemons.table.faults.__init__()
            await anyio.sleep(20)
            for name in ('d1', 'd2'):
                daemons.kill(name)
                await daemons.claim('d3', name)
                await daemons.claim('d3', name)
            tasks.cancel_scope.cancel()
        wanted = daemons.accepted - daemons.ended
        return sorted(wanted.symmetric_difference(daemons.claimed)) + [
            each for each in wanted if daemons.claimed.count(each) > 1
        ]

    async def take(self, daemons, number, action, name):
        faults = daemons.table.faults
        match action:
            case 'record':
                daemons.tasks.start_soon(
                    daemons.record, name, f'{name}/{number}'
                )
            case 'forget':
                for each in sorted(daemons.accepted - daemons.ended)[:1]:
                    await daemons.forget(each.partition('/')[0], each)
            case 'lose':
                faults.lose_next_answers = 3
            case 'hold':
                faults.hold_next_commits = 3
            case _:
                faults.down = action == 'down'

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(STEPS)
    def test_accepted_requests_outlive_their_daemon_once(self, schedule):
        """Daemons die after the store lost answers, held writes or fell.

        A user would notice a draft that never comes, or pay for two.
        """
        self.assertEqual(run_paused(self.play_schedule, schedule), [])

    def test_the_check_finds_a_journal_that_accepts_too_early(self):
        class TooEarly(Journal):
            async def record(self, request):
                return None

        found = run_paused(
            self.play_schedule, [('record', 'd1', 1.0)], TooEarly
        )
        self.assertEqual(found, ['d1/0'])
