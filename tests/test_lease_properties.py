"""No two holders of a lease act at once, whatever goes wrong."""

import random
import unittest

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st
from mimosamux_daemon.adapters.memory_table import MemoryTable
from mimosamux_daemon.control.lease_keeper import LeaseKeeper
from mimosamux_daemon.control.leases import LeasePolicy, LeaseTable

from tests.support.clock import run_paused
from tests.support.leases import (
    Contender,
    TroubledTable,
    find_overlap,
)

TROUBLE = st.sampled_from(
    ['cut', 'lose', 'freeze', 'slow_request', 'slow_answer', 'calm']
)
SCHEDULES = st.lists(
    st.tuples(
        st.integers(0, 2),
        TROUBLE,
        st.floats(0.5, 25.0),
    ),
    min_size=3,
    max_size=8,
)


def apply_trouble(way: TroubledTable, trouble: str) -> None:
    way.is_cut = trouble == 'cut'
    way.loses_answers = trouble == 'lose'
    way.request_delay_s = 1.5 if trouble == 'slow_request' else 0.0
    way.answer_delay_s = 1.5 if trouble == 'slow_answer' else 0.0
    if trouble == 'freeze':
        way.thawed = anyio.Event()
    else:
        way.thawed.set()


async def play(schedule, seed, **variant):
    table = MemoryTable()
    acts, arrivals = [], []
    contenders = [
        Contender(
            name=f'd{number}',
            way=TroubledTable(table=table),
            acts=acts,
            arrivals=arrivals,
            randomness=random.Random(seed + number),
            **variant,
        )
        for number in range(3)
    ]
    async with anyio.create_task_group() as tasks:
        for contender in contenders:
            contender.way.thawed.set()
            tasks.start_soon(contender.run)
        for number, trouble, pause_s in schedule:
            await anyio.sleep(pause_s)
            thaw_and_apply(contenders[number].way, trouble)
        for contender in contenders:
            thaw_and_apply(contender.way, 'calm')
        await anyio.sleep(60.0)
        ended = anyio.current_time()
        tasks.cancel_scope.cancel()
    return acts, arrivals, ended


def thaw_and_apply(way: TroubledTable, trouble: str) -> None:
    way.thawed.set()
    apply_trouble(way, trouble)


def trouble_each(trouble: str):
    return [
        step
        for number in (0, 1, 2)
        for step in ((number, trouble, 20.0), (number, 'calm', 45.0))
    ]


class WithoutWaiting(LeaseKeeper):
    """Takes the lease over as soon as it sees it."""

    def _may_take(self, row, watch):
        return True


class HoldingTooLong(LeaseTable):
    """Counts more time for itself than it wrote into the row."""

    def _valid_until(self, sent):
        return sent + 4 * self._policy.duration_s


class TestLeaseProperties(unittest.TestCase):
    @settings(max_examples=40, deadline=None, derandomize=True)
    @given(schedule=SCHEDULES, seed=st.integers(0, 1000))
    def test_holders_never_act_beside_each_other(self, schedule, seed):
        """Daemons freeze, are cut off, and lose answers, in any order.

        Two planners at once would start VMs twice and stop each other's.
        The check looks at the orders when they were given, and when they
        reached the endpoint, as those of an endpoint that ignores fencing
        numbers take effect then.
        """
        acts, arrivals, ended = run_paused(play, schedule, seed)
        self.assertIsNone(find_overlap(acts))
        self.assertIsNone(find_overlap(arrivals))
        # With nobody holding the lease no lost VM would be replaced.
        self.assertLess(ended - acts[-1].at, 5.0)

    def test_check_finds_a_holder_that_does_not_look_after_a_pause(self):
        acts, _, _ = run_paused(
            lambda: play(trouble_each('freeze'), 1, checks_lease=False)
        )
        self.assertIsNotNone(find_overlap(acts))

    def test_check_finds_a_successor_that_does_not_wait(self):
        acts, _, _ = run_paused(
            lambda: play([], 1, keeper_type=WithoutWaiting)
        )
        self.assertIsNotNone(find_overlap(acts))

    def test_check_finds_a_holder_that_counts_too_long(self):
        acts, _, _ = run_paused(
            lambda: play(
                trouble_each('cut'), 1, lease_table_type=HoldingTooLong
            )
        )
        self.assertIsNotNone(find_overlap(acts))

    def test_check_finds_a_successor_that_is_too_early_for_late_orders(self):
        hasty = LeasePolicy(unfenced_margin_s=0.0)
        runs = [
            run_paused(
                lambda seed=seed: play(trouble_each('cut'), seed, policy=hasty)
            )
            for seed in range(10)
        ]
        self.assertTrue(any(find_overlap(run[1]) for run in runs))
