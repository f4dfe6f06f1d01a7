"""Leases: who holds them, for how long, and what lost answers do."""

import random
import unittest

import anyio
from mimosamux_daemon.adapters.memory_table import MemoryTable
from mimosamux_daemon.control.lease_keeper import LeaseKeeper
from mimosamux_daemon.control.leases import (
    LeaseLost,
    LeasePolicy,
    LeaseTable,
    Renewed,
)
from mimosamux_daemon.domain.audit import AUDIT_PREFIX, parse_entry
from mimosamux_daemon.domain.names import DaemonId

from tests.support.clock import run_paused

POLICY = LeasePolicy()
NAME = 'planner/north'


def build_leases(table, holder, incarnation=1):
    return LeaseTable(
        table=table,
        name=NAME,
        holder=DaemonId(holder),
        incarnation=incarnation,
        wall_clock=lambda: 7.0,
        policy=POLICY,
    )


def build_keeper(table, holder, *, honoured=True, incarnation=1):
    return LeaseKeeper(
        leases=build_leases(table, holder, incarnation),
        policy=POLICY,
        randomness=random.Random(1),
        fencing_is_honoured=lambda: honoured,
    )


async def time_takeover(*, honoured):
    table = MemoryTable()
    await build_keeper(table, 'first').acquire()
    start = anyio.current_time()
    await build_keeper(table, 'second', honoured=honoured).acquire()
    return anyio.current_time() - start


class TestLeases(unittest.TestCase):
    def test_change_of_holder_is_audited_in_the_same_transaction(self):
        async def check():
            table = MemoryTable()
            leases = build_leases(table, 'first')
            await leases.release(await leases.take(None))
            rows = await table.scan(AUDIT_PREFIX)
            entries = [parse_entry(row.value) for row in rows]
            self.assertEqual(
                sorted((entry.before, entry.after) for entry in entries),
                [('', 'first'), ('first', '')],
            )
            self.assertEqual(table.commits, 2)

        run_paused(check)

    def test_renewals_are_not_audited(self):
        async def check():
            table = MemoryTable()
            leases = build_leases(table, 'first')
            lease = await leases.take(None)
            self.assertEqual(await leases.renew(lease), Renewed())
            self.assertEqual(len(await table.scan(AUDIT_PREFIX)), 1)

        run_paused(check)

    def test_lost_answer_to_a_take_is_settled_by_reading_back(self):
        """The table wrote the row and the answer was lost on the way.

        Nobody would act for a whole lease time if the daemon that has the
        row did not notice that it has it.
        """

        async def check():
            table = MemoryTable()
            table.faults.lose_next_answers = 1
            lease = await build_leases(table, 'first').take(None)
            self.assertTrue(lease.is_valid())

        run_paused(check)

    def test_lost_answers_to_renewals_do_not_drop_the_lease(self):
        """Some renewals are written and their answers lost.

        The holder meets its own newer row. Taking that for another
        holder's would stop all planning at each lost answer.
        """

        async def check():
            table = MemoryTable()
            held = []
            keeper = build_keeper(table, 'first')

            async def hold(lease):
                held.append(lease.fencing)
                await anyio.sleep_forever()

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(keeper.run, hold)
                for _ in range(40):
                    await anyio.sleep(2.0)
                    table.faults.lose_next_answers = 1
                self.assertTrue(keeper.held.is_valid())
                tasks.cancel_scope.cancel()
            self.assertEqual(held, [1])

        run_paused(check)

    def test_successor_waits_longer_where_the_number_is_ignored(self):
        """The holder died and left its row.

        Its last order may still be under way to an endpoint that ignores
        the number, and would undo an order of the successor.
        """
        full = POLICY.duration_s + POLICY.take_margin_s
        fenced = run_paused(lambda: time_takeover(honoured=True))
        unfenced = run_paused(lambda: time_takeover(honoured=False))
        self.assertGreaterEqual(fenced, full)
        self.assertLess(fenced, full + 2 * POLICY.poll_interval_s)
        self.assertGreaterEqual(unfenced, full + POLICY.unfenced_margin_s)

    def test_earlier_life_of_the_same_daemon_counts_as_another_holder(self):
        """A daemon was restarted under its old name.

        Its earlier process may only be paused, and would go on beside the
        new one with the same fencing number.
        """

        async def check():
            table = MemoryTable()
            earlier = build_leases(table, 'first')
            lease = await earlier.take(None)
            start = anyio.current_time()
            later = await build_keeper(table, 'first', incarnation=2).acquire()
            waited = anyio.current_time() - start
            self.assertGreater(waited, POLICY.duration_s)
            self.assertEqual(later.fencing, 2)
            self.assertEqual(
                await earlier.renew(lease), LeaseLost(holder='first')
            )
            self.assertFalse(lease.is_valid())

        run_paused(check)

    def test_loss_of_the_lease_cancels_the_task(self):
        """The table is down for longer than the lease lasts.

        The holder cannot tell whether somebody else has the lease now, so
        it stops by its own clock, well before a successor may start.
        """

        async def check():
            table = MemoryTable()
            keeper = build_keeper(table, 'first')
            ended = []

            async def hold(lease):
                try:
                    await anyio.sleep_forever()
                finally:
                    ended.append(anyio.current_time())

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(keeper.run, hold)
                await anyio.sleep(1.0)
                table.faults.down = True
                start = anyio.current_time()
                await anyio.sleep(30.0)
                tasks.cancel_scope.cancel()
            self.assertLess(
                ended[0] - start,
                POLICY.duration_s - POLICY.stop_margin_s,
            )

        run_paused(check)

    def test_graceful_stop_hands_the_lease_on_at_once(self):
        async def check():
            table = MemoryTable()
            keeper = build_keeper(table, 'first')
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(keeper.run, lambda _: anyio.sleep(100.0))
                await anyio.sleep(1.0)
                tasks.cancel_scope.cancel()
            start = anyio.current_time()
            lease = await build_keeper(table, 'second').acquire()
            self.assertEqual(anyio.current_time(), start)
            self.assertEqual(lease.fencing, 2)

        run_paused(check)
