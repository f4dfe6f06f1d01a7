"""Prompt parts that crash engines, in requests that callers repeat."""

import unittest
from contextlib import asynccontextmanager

import anyio
from mimosamux_daemon.domain.gateway import PromptInfo, PromptPart
from mimosamux_daemon.gateway.crashes.content_keys import find_part_keys
from mimosamux_daemon.gateway.crashes.suspects import EndpointIncarnation
from mimosamux_standins.site import Framing, ReplicaSpeed

from tests.support.clock import run_paused
from tests.support.crashes import CrashingSite, count_arrivals
from tests.support.crashing_parts import (
    BAD,
    MOST_LATE,
    Play,
    Traffic,
    play,
)
from tests.support.memory_network import machine_of
from tests.support.platform_site import open_site

FOR_S = 40.0
LONG_ANSWERS = ReplicaSpeed(events=40, event_s=0.2)
MANY_PARTS = tuple(f'{number:04x}' for number in range(10))
MODELS = tuple(f'm{number}' for number in range(6))


class PartsCase(unittest.TestCase):
    def check_play(self, **fields):
        each = run_paused(lambda: play(for_s=FOR_S, **fields))
        self.assertLessEqual(each.count_late(), MOST_LATE)
        self.assertGreaterEqual(each.share_served(), 0.9)
        return each


class TestRepeatedRequests(PartsCase):
    # Guards against requests that, repeated, acquit a part of their own.

    def test_part_of_repeated_questions_is_held_back(self):
        self.check_play(bad_every_s=1.5, repeats=1, daemons=6)

    def test_part_of_questions_that_come_seldom_is_held_back(self):
        self.check_play(bad_every_s=4.0, repeats=3)

    def test_part_of_questions_repeated_at_once_is_held_back(self):
        self.check_play(bad_every_s=1.5, repeats=1, pause_s=0.0)

    def test_part_of_repeated_drafts_is_held_back(self):
        self.check_play(path='/draft/', bad_every_s=3.0, repeats=3)

    def test_part_of_repeated_questions_is_held_back_at_a_small_site(self):
        self.check_play(bad_every_s=1.5, repeats=1, engines=3)

    def test_daemons_behind_relays_hold_a_repeated_part_back(self):
        self.check_play(bad_every_s=1.5, repeats=1, daemons=13, engines=15)

    def test_daemons_that_start_anew_hold_a_repeated_part_back(self):
        async def kill_all(site):
            await anyio.sleep(14.0)
            for number in range(len(site.daemons)):
                site.kill_daemon(number)
            await anyio.sleep(0.5)
            for number in range(len(site.daemons)):
                await site.start_daemon(number).wait()

        self.check_play(bad_every_s=1.5, repeats=1, beside=kill_all)


class TestAnswersThatLookWhole(PartsCase):
    # Guards against crashes that are taken for the end of an answer.

    def test_part_that_ends_engines_behind_a_whole_event_is_held_back(self):
        self.check_play(framing=Framing.UNFRAMED, crash_events=1)

    def test_part_that_ends_engines_which_listen_for_a_while_is_held_back(
        self,
    ):
        self.check_play(framing=Framing.UNFRAMED, crash_events=1, exit_s=0.05)

    def test_stream_that_ends_with_its_engine_is_not_whole(self):
        each = run_paused(
            lambda: play(framing=Framing.UNFRAMED, crash_events=1)
        )
        whole = [a for a in each.bad_answers if a.status == 200 and a.is_whole]
        self.assertEqual(whole, [])

    def test_part_that_ends_engines_before_an_event_is_held_back(self):
        self.check_play(framing=Framing.UNFRAMED)


class TestPartsOfEveryPrompt(PartsCase):
    # Guards against parts that are not looked at.

    def test_first_of_many_parts_is_held_back_alone(self):
        self.check_play(
            bad=(BAD, *MANY_PARTS[1:]),
            sound=MANY_PARTS,
        )

    def test_part_that_crashes_every_model_is_held_back(self):
        self.check_play(models=MODELS)


class TestSoundParts(unittest.TestCase):
    # Guards against sound parts that are held for the bad one beside them.

    def test_long_drafts_begin_beside_a_bad_part(self):
        async def slow_down(site):
            for replica in site.replicas_by_id.values():
                replica.speed = LONG_ANSWERS
                replica.slots = 64

        for engines in (3, 9):
            with self.subTest(engines=engines):
                each = run_paused(
                    lambda engines=engines: play(
                        path='/draft/',
                        engines=engines,
                        for_s=FOR_S,
                        bad_every_s=3.0,
                        repeats=1,
                        beside=slow_down,
                    )
                )
                self.assertLessEqual(each.count_late(), MOST_LATE)
                self.assertGreaterEqual(each.share_begun(), 0.9)


class TestWaitingRequests(unittest.TestCase):
    # Guards against requests that wait while their part is found out.

    def test_request_that_waits_is_refused_once_its_part_is_held(self):
        async def check():
            async with open_single_daemon() as each:
                forwarder = each.site.daemons[0].daemon.parts.forwarder
                waiting = WaitingList(forwarder.list_freshness)
                forwarder.list_freshness = waiting
                statuses = await hold_while_it_waits(each)
                waiting.ended.set()
                return statuses, count_arrivals(each.site)

        self.assertEqual(run_paused(check), ([503], 0))

    def test_request_that_did_not_connect_is_not_sent_once_its_part_is_held(
        self,
    ):
        async def check():
            async with open_single_daemon() as each:
                network = each.site.network
                for address in each.site.replicas_by_address:
                    network.dark.add(machine_of(address))
                await hold_while_it_waits(each, network.dark.clear)
                statuses = [answer.status for answer in each.bad_answers]
                return statuses, count_arrivals(each.site)

        self.assertEqual(run_paused(check), ([503], 0))


@asynccontextmanager
async def open_single_daemon():
    async with open_site(engines=3, daemons=1, apps=0) as site:
        crashing = CrashingSite(site=site)
        yield Play(site=site, crashing=crashing, traffic=Traffic())


async def hold_while_it_waits(each, then=lambda: None):
    """Hold the part of a request back; return how it is answered at once."""
    each.site.tasks.start_soon(each.ask_bad, 0)
    await anyio.sleep(0.3)
    hold_back(each.site.daemons[0].daemon.parts, *each.traffic.bad)
    await anyio.sleep(0.1)
    statuses = [answer.status for answer in each.bad_answers]
    then()
    await anyio.sleep(2.0)
    return statuses


def hold_back(daemon_parts, *shared):
    """Have a daemon know three crashes under parts of prompts."""
    parts = [PromptPart(id=id_, tokens=1) for id_ in (*shared, 'own')]
    keys = find_part_keys(PromptInfo(model='m', parts=tuple(parts)))
    for number in range(3):
        daemon_parts.quarantine.exchange.report_crash(
            EndpointIncarnation(id=f'crashed-{number}'),
            [f'content-{number}', *keys],
        )


class WaitingList:
    """An endpoint list that is too old until the test ends the wait."""

    def __init__(self, freshness):
        self.freshness = freshness
        self.ended = anyio.Event()

    async def wait_until_fresh(self):
        await self.ended.wait()
        await self.freshness.wait_until_fresh()


if __name__ == '__main__':
    unittest.main()
