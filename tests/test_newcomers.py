"""Connections to listeners for peers, before anybody has proved himself."""

import unittest

import anyio
import anyio.lowlevel
from mimosamux_daemon.callers import Newcomers
from mimosamux_daemon.callers.limits import PROOF_S, find_newcomer_limit

from tests.support.clock import run_paused

DESCRIPTORS = 256
MOST = find_newcomer_limit(DESCRIPTORS)


class TestNewcomers(unittest.TestCase):
    """What happens to connections that prove nothing, and to one more."""

    def play(self, check):
        """Run a check beside as many connections as may have no proof."""

        async def run():
            newcomers = Newcomers(descriptors=DESCRIPTORS)
            ended = []

            async def stay(number):
                with newcomers.admit():
                    await anyio.sleep_forever()
                ended.append(number)

            async with anyio.create_task_group() as tasks:
                for number in range(MOST):
                    self.assertTrue(newcomers.may_accept(0))
                    tasks.start_soon(stay, number)
                    await anyio.lowlevel.checkpoint()
                await check(newcomers)
                await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()
            return ended

        return run_paused(run)

    # Guards against strangers that use up the descriptors.
    def test_no_more_are_accepted_than_may_have_no_proof(self):
        async def check(newcomers):
            self.assertFalse(newcomers.may_accept(0))

        self.assertEqual(self.play(check), [])

    # Guards against strangers that lock peers out.
    def test_earliest_yields_once_it_had_its_time(self):
        async def check(newcomers):
            await anyio.sleep(PROOF_S)
            self.assertFalse(newcomers.may_accept(0))
            await anyio.sleep(0.01)
            self.assertTrue(newcomers.may_accept(0))

        self.assertEqual(self.play(check), [0])

    def test_those_that_open_count(self):
        async def run():
            newcomers = Newcomers(descriptors=DESCRIPTORS)
            self.assertTrue(newcomers.may_accept(MOST - 1))
            self.assertFalse(newcomers.may_accept(MOST))

        run_paused(run)

    def test_who_has_proved_itself_does_not_count(self):
        async def run():
            newcomers = Newcomers(descriptors=DESCRIPTORS)
            for _ in range(MOST):
                with newcomers.admit():
                    await anyio.lowlevel.checkpoint()
            self.assertTrue(newcomers.may_accept(MOST - 1))

        run_paused(run)

    def test_limit_grows_with_the_descriptors(self):
        self.assertEqual(
            [find_newcomer_limit(each) for each in (256, 1024, 4100)],
            [24, 32, 128],
        )
