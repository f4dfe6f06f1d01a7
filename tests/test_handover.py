"""Accepted requests move to a peer when an entry VM goes away."""

import math
import unittest
from contextlib import asynccontextmanager
from dataclasses import replace
from unittest import mock

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st
from mimosamux_daemon.adapters.memory_peers import MemoryNetwork
from mimosamux_daemon.api.streams import stream_events
from mimosamux_daemon.domain.configuration import Configuration
from mimosamux_daemon.serving import handover
from mimosamux_daemon.serving.handover import Handover, HandoverTarget

from tests.support.clock import run_paused
from tests.support.serving import DRAFT, is_whole, open_site

TARGET = HandoverTarget(daemon='b', caller_address='10.0.0.2:8080')


class Targets:
    def __init__(self, *targets):
        self.targets = targets

    def handover_targets(self, account):
        return self.targets


class InForce:
    def __init__(self, site):
        self.current = site.configuration


@asynccontextmanager
async def open_pair(first_target=TARGET):
    """Run daemons `a` and `b` over the same engines."""
    network = MemoryNetwork()
    async with open_site(engines=3) as a, open_site() as b:
        b.engines.by_id.update(a.engines.by_id)
        for engine in a.engines.by_id.values():
            b.fleet.add(engine.endpoint)
        a.tasks.start_soon(network.run)
        handovers = [
            Handover(
                serving=site.serving,
                peers=network.join(name),
                targets=Targets(*targets),
                in_force=InForce(site),
                intake=site.intake,
            )
            for name, site, targets in (
                ('a', a, (first_target,) if first_target else ()),
                ('b', b, ()),
            )
        ]
        yield network, a, b, handovers


def find_doubled_attempts(site):
    runs = [
        (run.call.request, run.call.attempt)
        for engine in site.engines.by_id.values()
        for run in engine.runs
    ]
    return len(runs) - len(set(runs))


class TestHandover(unittest.TestCase):
    """The VM of a daemon is replaced while answers run through it.

    Without a handover every caller of that daemon sees a broken stream.
    """

    def test_request_goes_on_at_the_peer_from_its_offset(self):
        async def check():
            async with open_pair() as (_, a, b, (giver, _)):
                active = await a.offer('plan a trip', max_tokens=200)
                await active.wait_for_tokens(50)
                await giver.hand_over(3.0)
                self.assertEqual(active.moved.address, '10.0.0.2:8080')
                there = b.registry.by_id[active.request.id]
                await there.wait_ended()
                self.assertTrue(is_whole(there))
                self.assertEqual(there.tokens[:50], active.tokens[:50])
                self.assertEqual(there.attempt, 2)
                self.assertEqual(find_doubled_attempts(a), 0)

        run_paused(check)

    def test_stream_of_the_caller_ends_with_a_moved_event(self):
        async def check():
            async with open_pair() as (_, a, _, (giver, _)):
                active = await a.offer('plan a trip', max_tokens=200)
                events = []

                async def read():
                    async for event in stream_events(active, 0):
                        events.append(event)

                a.tasks.start_soon(read)
                await active.wait_for_tokens(50)
                await giver.hand_over(3.0)
                await anyio.sleep(0.1)
                last = events[-1].decode()
                self.assertTrue(last.startswith('event: moved\n'), last)
                identity = f'{active.request.id}:{active.moved.offset}'
                self.assertIn(f'"last_event_id":"{identity}"', last)

        run_paused(check)

    def test_without_a_peer_it_is_served_to_its_end(self):
        async def check():
            async with open_pair(None) as (_, a, _, (giver, _)):
                active = await a.offer('plan a trip', max_tokens=200)
                await active.wait_for_tokens(50)
                await giver.hand_over(3.0)
                await active.wait_ended()
                self.assertTrue(is_whole(active))

        run_paused(check)

    def test_refusing_peer_leaves_the_request_here(self):
        """The peer does not know the class yet, or stops as well."""

        async def check():
            async with open_pair() as (_, a, _, (giver, other)):
                other._in_force.current = Configuration()
                active = await a.offer('plan a trip', max_tokens=200)
                await active.wait_for_tokens(50)
                await giver.hand_over(3.0)
                await active.wait_ended()
                self.assertTrue(is_whole(active))

        run_paused(check)

    def test_stopping_peer_takes_no_requests(self):
        # Guards against a request that moves from one stop to the next.
        async def check():
            async with open_pair() as (_, a, b, (giver, _)):
                b.intake.begin_stop(ends_at=math.inf)
                active = await a.offer('plan a trip', max_tokens=200)
                await active.wait_for_tokens(50)
                await giver.hand_over(3.0)
                self.assertIsNone(active.moved)
                self.assertEqual(b.registry.by_id, {})
                await active.wait_ended()
                self.assertTrue(is_whole(active))

        run_paused(check)

    def test_call_that_may_not_be_repeated_stays(self):
        async def check():
            async with open_pair() as (_, a, _, (giver, _)):
                once = replace(DRAFT, repeatable=False)
                active = await a.offer('plan a trip', work_class=once)
                await anyio.sleep(0.5)
                await giver.hand_over(3.0)
                await active.wait_ended()
                self.assertTrue(is_whole(active))

        run_paused(check)


class TestLostReply(unittest.TestCase):
    """The peer takes a request and its reply is lost.

    Going on at both would be two streams for one caller; at neither, a
    lost request. The caller reads here until a reply has come.
    """

    def test_reply_lost_once_is_asked_for_again(self):
        async def check():
            async with open_pair() as (network, a, b, (giver, _)):
                active = await a.offer('plan a trip', max_tokens=200)
                await active.wait_for_tokens(50)
                network.faults.lose_next_answers = 1
                await giver.hand_over(3.0)
                self.assertIsNotNone(active.moved)
                there = b.registry.by_id[active.request.id]
                await there.wait_ended()
                self.assertTrue(is_whole(there))
                self.assertEqual(find_doubled_attempts(a), 0)

        run_paused(check)

    def test_without_any_reply_it_goes_on_here_alone(self):
        async def check():
            async with open_pair() as (network, a, b, (giver, _)):
                active = await a.offer('plan a trip', max_tokens=400)
                await active.wait_for_tokens(50)
                network.faults.lose_next_answers = 2
                await giver.hand_over(3.0)
                self.assertIsNone(active.moved)
                await anyio.sleep(0.5)
                self.assertNotIn(active.request.id, b.registry.by_id)
                await giver.hand_over(3.0)
                self.assertIsNotNone(active.moved)
                there = b.registry.by_id[active.request.id]
                await there.wait_ended()
                self.assertTrue(is_whole(there))
                self.assertEqual(find_doubled_attempts(a), 0)

        run_paused(check)

    @settings(max_examples=40, derandomize=True, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.floats(0.0, 1.5),
                st.integers(0, 8),
                st.booleans(),
                st.integers(0, 3),
            ),
            max_size=6,
        )
    )
    def test_caller_reads_each_answer_once_and_in_full(self, rounds):
        """Replies and notices are lost, and links are cut, at random."""
        run_paused(self._play, rounds)

    async def _play(self, rounds):
        async with open_pair() as (network, a, b, (giver, _)):
            actives = [
                await a.offer(f'trip {number}', max_tokens=80 + 40 * number)
                for number in range(3)
            ]
            for wait, lost, is_cut, notices in rounds:
                await anyio.sleep(wait)
                network.faults.lose_next_answers = lost
                network.faults.lose_next_notices = notices
                network.faults.cut = {('a', 'b')} if is_cut else set()
                await giver.hand_over(3.0)
            for active in actives:
                with anyio.move_on_after(200):
                    await active.wait_ended()
                read = list(active.tokens)
                if active.moved is not None:
                    there = b.registry.by_id[active.request.id]
                    await there.wait_ended()
                    self.assertEqual(len(read), active.moved.offset)
                    self.assertEqual(there.tokens[: len(read)], read)
                    active = there
                self.assertTrue(is_whole(active), active)
            self.assertEqual(find_doubled_attempts(a), 0)

    def test_check_finds_a_daemon_that_uses_attempt_numbers_again(self):
        """Without the step, engines mix up the daemons' attempts."""
        rounds = [(0.5, 6, False, 3), (0.5, 6, False, 3)]
        with (
            mock.patch.object(handover, 'ATTEMPT_STRIDE', 0),
            self.assertRaises(BaseExceptionGroup) as caught,
        ):
            run_paused(self._play, rounds)
        failed = caught.exception.split(AssertionError)[0]
        self.assertIsNotNone(failed)
