"""The order in which a daemon stops."""

import unittest
from dataclasses import replace

import anyio
from mimosamux_daemon.serving.intake import Intake
from mimosamux_daemon.stopping import (
    CLOSE_RESERVE_S,
    StopCallbacks,
    StopSequence,
    find_end,
    wait_for_notice,
)

from tests.support.clock import run_paused
from tests.support.clouds import FakeCloud
from tests.support.serving import DRAFT, make_request

ADDRESS_TTL_S = 30.0
GRACE_S = 60.0


class FakeDaemon:
    """Open requests with their ends, and what the stop did to them."""

    def __init__(self, *ends: float, peers: bool = True) -> None:
        self.ends = list(ends)
        self.peers = peers
        self.left_at: float | None = None
        self.handed_over: list[float] = []
        self.refuses = 0
        self.drained = False
        self.closed_at: float | None = None
        self.read_ends: list[float] = []
        """When callers will have read an answer."""

    def sequence(self) -> StopSequence:
        parts = StopCallbacks(
            leave=self.leave,
            has_peers=lambda: self.peers,
            drained_at=lambda: self.left_at + ADDRESS_TTL_S,
            open_requests=self.count_open,
            open_answers=self.count_answers,
            close_intake=self.close_intake,
            hand_over=self.hand_over,
            drain_side_effects=self.drain,
        )
        return StopSequence(callbacks=parts, grace_s=GRACE_S)

    async def leave(self) -> None:
        self.left_at = anyio.current_time()

    def count_open(self) -> int:
        now = anyio.current_time()
        return sum(end > now for end in self.ends)

    def count_answers(self) -> int:
        now = anyio.current_time()
        return sum(end > now for end in self.read_ends)

    def close_intake(self) -> None:
        self.closed_at = anyio.current_time()

    async def hand_over(self, seconds: float) -> None:
        if self.refuses:
            self.refuses -= 1
            return
        now = anyio.current_time()
        self.handed_over += [end for end in self.ends if end > now]
        self.ends = [end for end in self.ends if end <= now]

    async def drain(self) -> None:
        self.drained = True


def stop(daemon, seconds_left=None):
    async def check():
        start = anyio.current_time()
        daemon.ends = [start + end for end in daemon.ends]
        daemon.read_ends = [start + end for end in daemon.read_ends]
        last = None if seconds_left is None else start + seconds_left
        await daemon.sequence().run(last)
        return anyio.current_time() - start

    return run_paused(check)


class TestStopSequence(unittest.TestCase):
    def test_older_address_answers_are_served_until_they_expire(self):
        """Callers keep an address for a while and connect to it.

        A daemon that closed at once would turn them away for no reason.
        """
        daemon = FakeDaemon()
        self.assertAlmostEqual(stop(daemon), ADDRESS_TTL_S, delta=1.0)
        self.assertTrue(daemon.drained)

    def test_what_ends_in_time_is_not_handed_over(self):
        daemon = FakeDaemon(20.0, 50.0)
        self.assertLess(stop(daemon), 55.0)
        self.assertEqual(daemon.handed_over, [])

    def test_what_does_not_end_in_time_is_handed_over(self):
        daemon = FakeDaemon(20.0, 400.0)
        self.assertLess(stop(daemon), 100.0)
        self.assertEqual(len(daemon.handed_over), 1)

    def test_without_a_peer_everything_is_served_to_its_end(self):
        """The last daemon is stopped while teachers wait for drafts.

        Closing would cut them off, and nobody could take them over.
        """
        daemon = FakeDaemon(400.0, peers=False)
        self.assertAlmostEqual(stop(daemon), 400.0, delta=1.0)
        self.assertEqual(daemon.handed_over, [])

    def test_a_reclaim_hands_over_before_the_vm_is_gone(self):
        """The platform takes the entry VM back in ten seconds.

        A request that is still there when it goes is cut off.
        """
        daemon = FakeDaemon(400.0)
        self.assertLess(stop(daemon, seconds_left=10.0), 10.0)
        self.assertEqual(len(daemon.handed_over), 1)

    def test_nothing_is_taken_behind_the_grace_period(self):
        # Guards against a stop without end under callers that stay.
        daemon = FakeDaemon(400.0, peers=False)
        self.assertAlmostEqual(stop(daemon), 400.0, delta=1.0)
        taken_s = daemon.closed_at - daemon.left_at
        self.assertAlmostEqual(taken_s, GRACE_S, delta=1.0)

    def test_an_answer_that_nobody_reads_does_not_hold_the_stop(self):
        # Guards against a stop without end under a reader that stands still.
        daemon = FakeDaemon(peers=False)
        daemon.read_ends = [1_000.0]
        self.assertAlmostEqual(stop(daemon), 2 * GRACE_S, delta=1.0)

    def test_a_reclaim_leaves_time_to_close(self):
        # Guards against a stop that goes on until the VM is gone.
        daemon = FakeDaemon(400.0)
        daemon.refuses = 1_000
        took_s = stop(daemon, seconds_left=10.0)
        self.assertLessEqual(took_s, 10.0 - CLOSE_RESERVE_S + 0.001)

    def test_a_peer_that_refuses_is_asked_again(self):
        daemon = FakeDaemon(400.0)
        daemon.refuses = 3
        stop(daemon, seconds_left=10.0)
        self.assertEqual(len(daemon.handed_over), 1)


class TestIntake(unittest.TestCase):
    def find_reason(self, intake, *, deadline_s, **fields):
        work_class = replace(DRAFT, deadline_s=deadline_s, **fields)
        refused = intake.find_refusal(
            make_request('plan a trip', work_class=work_class)
        )
        return refused and refused.reason

    def play(self, check, *, peers=True):
        async def run():
            intake = Intake(has_peers=lambda: peers)
            await check(intake)

        run_paused(run)

    def test_work_that_only_this_daemon_can_end_has_to_end_in_time(self):
        # Guards against work that is taken and cut by a reclaim.
        async def check(intake):
            once = {'repeatable': False}
            self.assertIsNone(self.find_reason(intake, deadline_s=99, **once))
            intake.begin_stop(ends_at=anyio.current_time() + 10.0)
            found = self.find_reason(intake, deadline_s=10.1, **once)
            self.assertEqual(found, 'stopping')
            self.assertIsNone(self.find_reason(intake, deadline_s=10, **once))
            self.assertIsNone(self.find_reason(intake, deadline_s=99))
            await anyio.sleep(1.0)
            found = self.find_reason(intake, deadline_s=10, **once)
            self.assertEqual(found, 'stopping')

        self.play(check)

    def test_work_that_no_peer_can_take_over_has_to_end_in_time(self):
        # Guards against a hand-over with nobody to hand over to.
        async def check(intake):
            intake.begin_stop(ends_at=anyio.current_time() + 10.0)
            found = self.find_reason(intake, deadline_s=99)
            self.assertEqual(found, 'stopping')
            self.assertIsNone(self.find_reason(intake, deadline_s=10))

        self.play(check, peers=False)

    def test_a_planned_stop_takes_everything_until_it_closes(self):
        # Guards against callers sent away from a daemon that could serve.
        async def check(intake):
            intake.begin_stop(ends_at=find_end(None))
            self.assertIsNone(self.find_reason(intake, deadline_s=900))
            intake.close()
            found = self.find_reason(intake, deadline_s=1)
            self.assertEqual(found, 'stopping')

        self.play(check)


class TestNotice(unittest.TestCase):
    def test_a_notice_for_the_own_vm_is_found(self):
        async def check():
            cloud = FakeCloud()
            cloud.give_notice('other')
            cloud.give_notice('mine', 25.0)
            return await wait_for_notice(cloud, 'mine')

        self.assertEqual(run_paused(check), 25.0)

    def test_an_outage_of_the_platform_is_sat_out(self):
        async def check():
            cloud = FakeCloud()
            cloud.give_notice('mine')
            cloud.is_down = True
            with anyio.move_on_after(20.0):
                await wait_for_notice(cloud, 'mine')
                self.fail('a notice was made up')
            cloud.is_down = False
            await wait_for_notice(cloud, 'mine')

        run_paused(check)
