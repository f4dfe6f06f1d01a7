"""Calls that may not be repeated: one case at a time."""

import unittest
from unittest.mock import patch

import anyio
from mimosamux_daemon.domain.names import EndpointId
from mimosamux_daemon.domain.outcomes import (
    Answered,
    Failed,
    InDoubt,
    Reason,
    Refused,
    Unknown,
)
from mimosamux_daemon.ports.models.service import ServiceAnswer
from mimosamux_daemon.serving.side_effect_dispatch import Dispatcher
from mimosamux_daemon.serving.side_effect_rows import (
    OBJECT_ANSWER_LIMIT,
    ROW_ANSWER_LIMIT,
    CallState,
    parse_row,
)
from mimosamux_daemon.serving.side_effect_upkeep import RETENTION_S

from tests.support.clock import run_paused
from tests.support.side_effects import Site


class TestSideEffects(unittest.TestCase):
    def play(self, check):
        async def run():
            site = Site(timers_run_first=False)
            async with anyio.create_task_group() as tasks:
                await site.start(tasks, 'd1')
                await site.start(tasks, 'd2')
                await check(site)
                tasks.cancel_scope.cancel()
            self.assertEqual(site.faults(), [])

        run_paused(run)

    def test_a_call_without_a_key_is_refused(self):
        async def check(site):
            outcome = await site.ask_now('d1', '')
            self.assertIs(outcome.reason, Reason.BAD_REQUEST)
            self.assertIn('Idempotency-Key', outcome.message)
            self.assertEqual(site.services.runs, [])

        self.play(check)

    def test_the_answer_is_given_again_for_the_same_key(self):
        async def check(site):
            first = await site.ask_now('d1', 'k', b'slip')
            again = await site.ask_now('d2', 'k', b'slip')
            self.assertEqual(again.body, b'run 1: slip')
            self.assertEqual(first.body, again.body)
            self.assertEqual(site.table.rows_written, 2)

        self.play(check)

    def test_the_key_of_another_body_is_refused(self):
        async def check(site):
            await site.ask_now('d1', 'k', b'one')
            outcome = await site.ask_now('d2', 'k', b'two')
            self.assertIs(outcome.reason, Reason.CONFLICT)
            self.assertEqual(len(site.services.runs), 1)

        self.play(check)

    def test_two_daemons_at_once_run_a_call_once(self):
        """A client that times out sends the call again to another daemon.

        A user would notice two seat lists for one coach.
        """

        async def check(site):
            site.services.faults.delay_s = 3.0
            first = site.ask('d1', 'k')
            second = site.ask('d2', 'k')
            await first.ended.wait()
            await second.ended.wait()
            self.assertIsInstance(first.outcome, Answered)
            self.assertEqual(first.outcome.body, second.outcome.body)
            self.assertEqual(len(site.services.runs), 1)

        self.play(check)

    def test_the_second_caller_is_told_when_to_come_again(self):
        async def check(site):
            site.services.faults.delay_s = 15.0
            site.ask('d1', 'k')
            await anyio.sleep(0.1)
            outcome = await site.ask_now('d2', 'k')
            self.assertIsInstance(outcome, InDoubt)
            self.assertGreater(outcome.retry_after_s, 0)
            await anyio.sleep(10)
            self.assertIsInstance(await site.ask_now('d2', 'k'), Answered)

        self.play(check)

    def test_a_lost_answer_of_the_store_is_settled(self):
        """The intent is written, and the store's answer to it is lost.

        A daemon that took this for a failure would leave the key in
        doubt; one that took the row for another's would never run it.
        """

        async def check(site):
            site.table.faults.lose_next_answers = 2
            self.assertIsInstance(await site.ask_now('d1', 'k'), Answered)
            self.assertEqual(len(site.services.runs), 1)

        self.play(check)

    def test_a_call_is_refused_while_the_store_is_down(self):
        """The platform's store is down; a user may send the slip later."""

        async def check(site):
            site.table.faults.down = True
            outcome = await site.ask_now('d1', 'k')
            self.assertIs(outcome.reason, Reason.STORE_UNAVAILABLE)
            self.assertIsNotNone(outcome.retry_after_s)
            site.table.faults.down = False
            await anyio.sleep(20)
            self.assertIsInstance(await site.ask_now('d1', 'k'), Answered)

        self.play(check)

    def test_a_key_that_may_have_run_is_in_doubt_without_the_store(self):
        """A client sends a key again while the store is down.

        The call has run and its answer was lost. A user who is told that
        it did not run would send it under another key.
        """

        async def check(site):
            await site.ask_now('d1', 'k')
            site.table.faults.down = True
            self.assertIsInstance(await site.ask_now('d2', 'k'), InDoubt)

        self.play(check)

    def test_an_intent_that_lands_late_is_never_sent(self):
        """The store holds a write back until after the call was refused.

        The user was told that the slip did not go out. It must not go
        out later, and the key must not stay in doubt for ever.
        """

        async def check(site):
            site.table.faults.hold_next_commits = 1000
            site.table.faults.hold_s = 8.0
            outcome = await site.ask_now('d1', 'k')
            self.assertIs(outcome.reason, Reason.STORE_UNAVAILABLE)
            site.table.faults.hold_next_commits = 0
            await anyio.sleep(30)
            self.assertEqual(site.services.runs, [])
            self.assertIsInstance(await site.ask_now('d2', 'k'), Answered)

        self.play(check)

    async def pause_the_holder(self, site):
        """Return what another daemon says, and what ran after that."""
        site.table.faults.delay_after_s = 0.5
        asked = site.ask('d1', 'k')
        await anyio.sleep(0.1)
        site.pause('d1', 12.0)
        await anyio.sleep(5.0)
        outcome = await site.ask_now('d2', 'k')
        ran_before = len(site.services.runs)
        await asked.ended.wait()
        return outcome, len(site.services.runs) - ran_before

    def test_a_holder_that_wakes_does_not_send(self):
        """The holder is stopped between its intent and the dispatch.

        Meanwhile another daemon has told a user that the outcome is
        unknown, and the user may have acted on what the service showed.
        """

        async def check(site):
            outcome, ran_after = await self.pause_the_holder(site)
            self.assertIsInstance(outcome, Unknown)
            self.assertEqual(ran_after, 0)
            self.assertIsInstance(await site.ask_now('d1', 'k'), Unknown)

        self.play(check)

    def test_the_check_finds_a_holder_that_sends_after_a_pause(self):
        async def check(site):
            _, ran_after = await self.pause_the_holder(site)
            self.assertEqual(ran_after, 1)

        def never(dispatcher, claim):
            return False

        with patch.object(Dispatcher, '_is_stale', never):
            self.play(check)

    def test_the_call_of_a_dead_holder_is_unknown_for_good(self):
        """A daemon is killed while it waits for the service's answer."""

        async def check(site):
            site.services.faults.delay_s = 5.0
            site.ask('d1', 'k')
            await anyio.sleep(1)
            site.kill('d1')
            self.assertIsInstance(await site.ask_now('d2', 'k'), Unknown)
            await anyio.sleep(10)
            self.assertIsInstance(await site.ask_now('d2', 'k'), Unknown)
            self.assertEqual(len(site.services.runs), 1)

        self.play(check)

    def test_an_answer_after_unknown_was_said_changes_nothing(self):
        """The holder is stopped while the service works on the call.

        Another daemon tells a user that the outcome is unknown. When the
        holder wakes with the answer, its caller must not hear otherwise.
        """

        async def check(site):
            site.services.faults.delay_s = 1.0
            asked = site.ask('d1', 'k')
            await anyio.sleep(0.5)
            site.pause('d1', 12.0)
            await anyio.sleep(5)
            self.assertIsInstance(await site.ask_now('d2', 'k'), Unknown)
            await asked.ended.wait()
            self.assertIsInstance(asked.outcome, Unknown)
            self.assertIsInstance(await site.ask_now('d1', 'k'), Unknown)

        self.play(check)

    def test_a_cut_after_the_dispatch_is_unknown(self):
        """The service runs the call and its connection is cut."""

        async def check(site):
            site.services.faults.cut_next = 1
            self.assertIsInstance(await site.ask_now('d1', 'k'), Unknown)
            self.assertIsInstance(await site.ask_now('d2', 'k'), Unknown)
            self.assertEqual(len(site.services.runs), 1)

        self.play(check)

    def test_a_refused_connection_goes_to_another_endpoint(self):
        async def check(site):
            site.services.faults.refuse_connects = frozenset(
                {EndpointId('s1')}
            )
            self.assertIsInstance(await site.ask_now('d1', 'k'), Answered)
            self.assertEqual(site.services.runs[0].endpoint, 's2')

        self.play(check)

    def test_a_call_that_no_endpoint_took_did_not_run(self):
        """No service can be connected to; the same key works later."""

        async def check(site):
            faults = site.services.faults
            faults.refuse_connects = frozenset({'s1', 's2'})
            self.assertIsInstance(await site.ask_now('d1', 'k'), Refused)
            faults.refuse_connects = frozenset()
            self.assertIsInstance(await site.ask_now('d2', 'k'), Answered)

        self.play(check)

    def test_the_caller_is_answered_when_the_store_fails_after_the_run(self):
        """The store goes down between the dispatch and the answer."""

        async def check(site):
            site.services.faults.delay_s = 2.0
            asked = site.ask('d1', 'k')
            await anyio.sleep(1)
            site.table.faults.down = True
            await asked.ended.wait()
            self.assertIsInstance(asked.outcome, Answered)
            await anyio.sleep(60)
            site.table.faults.down = False
            await anyio.sleep(20)
            again = await site.ask_now('d2', 'k')
            self.assertEqual(again.body, asked.outcome.body)

        self.play(check)

    def test_large_answers_are_kept_as_objects_up_to_a_limit(self):
        async def check(site):
            for size, kind in (
                (ROW_ANSWER_LIMIT + 1, Answered),
                (OBJECT_ANSWER_LIMIT + 1, Failed),
            ):
                body = b'x' * size
                site.services.answer = lambda call, run, body=body: (
                    ServiceAnswer(status=200, headers=(), body=body)
                )
                first = await site.ask_now('d1', f'k{size}')
                again = await site.ask_now('d2', f'k{size}')
                self.assertEqual(first.body, body)
                self.assertIsInstance(again, kind)
            self.assertEqual(len(site.objects.objects_by_key), 1)

        self.play(check)

    def test_old_rows_are_deleted_and_open_ones_stay(self):
        async def check(site):
            await site.ask_now('d1', 'old')
            await anyio.sleep(RETENTION_S + 1)
            site.services.faults.delay_s = 18.0
            site.ask('d1', 'open')
            site.cleans = True
            await anyio.sleep(17)
            rows = list(site.table.rows_by_key.values())
            self.assertEqual(len(rows), 1)
            self.assertIs(parse_row(rows[0].value).state, CallState.INTENT)

        self.play(check)

    def test_the_cleaner_settles_calls_of_dead_holders(self):
        """A daemon dies in the middle of a call that nobody asks for again.

        Its row would stay open, and in the table, for ever.
        """

        async def check(site):
            site.services.faults.delay_s = 15.0
            site.ask('d1', 'k')
            await anyio.sleep(1)
            site.kill('d1')
            site.cleans = True
            await anyio.sleep(60)
            row = next(iter(site.table.rows_by_key.values()))
            self.assertIs(parse_row(row.value).state, CallState.UNKNOWN)

        self.play(check)

    def test_a_drain_waits_for_late_writes(self):
        """The daemon is stopped while the store is down.

        The end of the call would be lost with it.
        """

        async def check(site):
            site.services.faults.delay_s = 2.0
            asked = site.ask('d1', 'k')
            await anyio.sleep(1)
            site.table.faults.down = True
            await asked.ended.wait()
            with anyio.move_on_after(50) as scope:
                await site.processes['d1'].effects.drain()
            self.assertTrue(scope.cancelled_caught)
            site.table.faults.down = False
            with anyio.fail_after(20):
                await site.processes['d1'].effects.drain()

        self.play(check)
