"""The guard before the platform's store."""

import random
import unittest

import anyio
from mimosamux_daemon.adapters.memory_object_store import MemoryObjectStore
from mimosamux_daemon.adapters.memory_table import MemoryTable
from mimosamux_daemon.control.store_guard import GuardLimits, StoreGuard
from mimosamux_daemon.domain.store import (
    Check,
    Committed,
    Row,
    Unavailable,
    Write,
)
from mimosamux_daemon.metrics import Metrics

from tests.support.clock import run_paused

CHECKS = [Check(key='a', version=0)]
WRITES = [Write(key='a', value=b'1')]


class FlakyTable(MemoryTable):
    """Fails the next calls without any effect, and counts all calls."""

    failures = 0
    calls = 0

    async def _is_up(self):
        self.calls += 1
        self.failures -= 1
        return await super()._is_up() and self.failures < 0


class TestStoreGuard(unittest.TestCase):
    def setUp(self):
        self.memory = FlakyTable()
        self.guard = StoreGuard(
            metrics=Metrics(),
            limits=GuardLimits(max_saved_retries=10.0),
            rng=random.Random(1),
        )
        self.table = self.guard.table(self.memory, mechanism='test')

    def test_a_failure_without_effect_is_tried_again(self):
        async def check():
            self.memory.failures = 2
            outcome = await self.table.commit(CHECKS, WRITES)
            self.assertIsInstance(outcome, Committed)
            self.assertIsInstance(await self.table.read('a'), Row)

        run_paused(check)

    def test_a_commit_that_may_have_landed_is_not_tried_again(self):
        """The store took the write and its answer was lost.

        A second try would meet the first one's row, and the caller would
        take its own write for somebody else's.
        """

        async def check():
            self.memory.faults.lose_next_answers = 1
            outcome = await self.table.commit(CHECKS, WRITES)
            self.assertTrue(outcome.may_have_taken_effect)
            self.assertEqual(self.memory.calls, 1)

        run_paused(check)

    def test_a_slow_store_holds_no_caller_beyond_the_timeout(self):
        """The store answers after a minute; callers would hang on it."""

        async def check():
            self.memory.faults.delay_s = 60.0
            outcome = await self.table.commit(CHECKS, WRITES)
            self.assertTrue(outcome.may_have_taken_effect)
            self.assertLess(anyio.current_time() - started, 2.0)

        started = 0.0

        async def run():
            nonlocal started
            started = anyio.current_time()
            await check()

        run_paused(run)

    def test_an_outage_opens_the_circuit_and_its_end_closes_it(self):
        """The store is down for ten minutes.

        Without the breaker each request would wait for its retries, and
        the store would be flooded when it comes back.
        """

        async def check():
            self.memory.faults.down = True
            for _ in range(600):
                await self.table.read('a')
                await anyio.sleep(1)
            self.assertTrue(self.guard.table_calls.breaker.is_open)
            self.assertLess(self.memory.calls, 200)
            self.memory.faults.down = False
            await anyio.sleep(15)
            self.assertIsNone(await self.table.read('a'))
            self.assertFalse(self.guard.table_calls.breaker.is_open)

        run_paused(check)

    def test_an_open_circuit_says_that_nothing_landed(self):
        async def check():
            self.memory.faults.down = True
            for _ in range(5):
                await self.table.read('a')
            calls = self.memory.calls
            outcome = await self.table.commit(CHECKS, WRITES)
            self.assertFalse(outcome.may_have_taken_effect)
            self.assertEqual(self.memory.calls, calls)

        run_paused(check)

    def test_retries_stay_within_the_budget(self):
        async def check():
            limits = GuardLimits(
                max_saved_retries=2.0, retry_share=0.0, failures_to_open=1000
            )
            guard = StoreGuard(metrics=Metrics(), limits=limits)
            table = guard.table(self.memory, mechanism='test')
            self.memory.faults.down = True
            for _ in range(50):
                await table.read('a')
            self.assertEqual(self.memory.calls, 52)

        run_paused(check)

    def test_rows_are_counted_by_mechanism(self):
        async def check():
            await self.table.commit(CHECKS, WRITES)
            await self.table.scan('a')
            counted = self.guard.metrics.table_rows
            for kind in ('read', 'written'):
                labels = {'mechanism': 'test', 'kind': kind}
                self.assertEqual(counted.get(labels), 1)

        run_paused(check)

    def test_objects_are_guarded_too(self):
        async def check():
            memory = MemoryObjectStore()
            objects = self.guard.objects(memory)
            await objects.put('a', b'1')
            self.assertEqual(await objects.get('a'), b'1')
            memory.down = True
            self.assertIsInstance(await objects.get('a'), Unavailable)

        run_paused(check)

    def test_an_outage_of_the_objects_leaves_the_table_usable(self):
        """The object store is down and the table is up.

        With one circuit for both, every call that may not be repeated
        would be refused, though it needs only the table.
        """

        async def check():
            memory = MemoryObjectStore(down=True)
            objects = self.guard.objects(memory)
            for _ in range(10):
                await objects.get('a')
            self.assertTrue(self.guard.object_calls.breaker.is_open)
            outcome = await self.table.commit(CHECKS, WRITES)
            self.assertIsInstance(outcome, Committed)

        run_paused(check)
