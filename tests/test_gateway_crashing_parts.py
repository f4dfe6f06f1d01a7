"""Prompt parts that crash the engines that write an answer on them."""

import unittest
from types import SimpleNamespace

import anyio
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from mimosamux_daemon.control.members import rank
from mimosamux_daemon.domain.gateway import Delivered, PromptInfo, PromptPart
from mimosamux_daemon.gateway.attempts import Attempt
from mimosamux_daemon.gateway.crashes.content_keys import find_part_keys
from mimosamux_daemon.gateway.crashes.probes import (
    PROBE_INTERVAL_S,
    CrashProbes,
)
from mimosamux_daemon.gateway.crashes.suspects import (
    FIRST_QUARANTINE_S,
    QUARANTINE_FACTOR,
    CrashSuspects,
    EndpointIncarnation,
    Suspect,
)
from mimosamux_daemon.gateway.forwarding import is_whole_run
from mimosamux_standins.site.store import StoreTrouble

from tests.support.clock import run_paused
from tests.support.crashes import CrashingSite
from tests.support.crashing_parts import (
    BAD,
    MOST_LATE,
    SECOND,
    Play,
    Traffic,
    play,
)
from tests.support.platform_site import open_site

KILL_S = 14.0
KEYS = ('content-a', 'content-b', 'part-a', 'part-b')
CRASHES = st.lists(
    st.tuples(st.integers(0, 5), st.sets(st.sampled_from(KEYS), min_size=1)),
    max_size=12,
)


class TestCrashingParts(unittest.TestCase):
    # Guards against a prompt part that ends one engine after the other, in
    # requests of which no two are alike.

    def check_play(self, **fields):
        each = run_paused(lambda: play(**fields))
        self.assertLessEqual(each.count_late(), MOST_LATE)
        self.assertGreaterEqual(each.share_served(), 0.9)
        return each

    def test_part_of_questions_is_held_back(self):
        each = self.check_play()
        self.assertLessEqual(len(each.crashing.crashes), 5)

    def test_first_part_of_questions_is_held_back(self):
        self.check_play(bad=(BAD, SECOND), sound=('aa', SECOND))

    def test_part_of_drafts_is_held_back(self):
        self.check_play(path='/draft/')

    def test_small_site_serves_others_beside_a_part(self):
        self.check_play(engines=3)

    def test_nine_daemons_hold_a_part_back(self):
        self.check_play(daemons=9, engines=15)

    def test_daemons_behind_relays_hold_a_part_back(self):
        self.check_play(daemons=13, engines=15)

    def test_daemons_that_start_anew_hold_a_part_back(self):
        async def kill_all(site):
            await anyio.sleep(KILL_S)
            for number in range(len(site.daemons)):
                site.kill_daemon(number)
            await anyio.sleep(0.5)
            for number in range(len(site.daemons)):
                await site.start_daemon(number).wait()

        each = run_paused(lambda: play(beside=kill_all))
        self.assertLessEqual(each.count_late(), MOST_LATE)

    def test_daemon_that_is_cut_off_from_peers_holds_a_part_back(self):
        async def cut(site):
            site.cut_from_peers(2)

        self.check_play(beside=cut)

    def test_daemons_hold_a_part_back_while_the_table_is_away(self):
        async def silence(site):
            site.store.trouble = StoreTrouble.SILENT
            await anyio.sleep(4.0)
            site.store.trouble = StoreTrouble.NONE

        self.check_play(beside=silence)


class TestSeenByPeers(unittest.TestCase):
    # Guards against daemons that each find dead endpoints by themselves.

    def test_endpoint_that_a_peer_saw_crash_is_avoided(self):
        async def check():
            async with open_site(engines=9, apps=0) as site:
                crashing = CrashingSite(site=site, parts={BAD})
                crashing.arm()
                traffic = Traffic(path='/draft/')
                each = Play(site=site, crashing=crashing, traffic=traffic)
                await each.ask(0, traffic.bad, each.bad_answers)
                await anyio.sleep(0.1)
                (dead,) = (
                    replica.id
                    for replica in site.replicas_by_id.values()
                    if replica.state == 'gone'
                )
                return [
                    handle.daemon.parts.roster.by_id[dead].is_unreachable(
                        anyio.current_time()
                    )
                    for handle in site.daemons
                ]

        self.assertEqual(run_paused(check), [True] * 3)


def states_of(own, daemons):
    """Return the peers' states as a daemon knows them, all of them ready."""
    peers = [
        SimpleNamespace(place=SimpleNamespace(id=id_))
        for id_ in daemons
        if id_ != own
    ]
    return SimpleNamespace(place=SimpleNamespace(id=own), ready=lambda: peers)


class TestAccused(unittest.TestCase):
    # Guards against crashes that are put down to sound parts.

    def setUp(self):
        self.now = 0.0
        self.suspects = CrashSuspects(clock=lambda: self.now)

    def crash(self, number, *contents):
        for content in contents:
            self.suspects.add(
                Suspect(
                    content=content,
                    crashed=frozenset({EndpointIncarnation(id=f'i-{number}')}),
                    last_crash_at=self.now,
                )
            )

    def held(self):
        return [each.content for each in self.suspects.quarantined()]

    def test_part_is_held_for_crashes_of_several_contents(self):
        for number in range(3):
            self.crash(number, f'content-{number}', 'part-a')
        self.assertEqual(self.held(), ['part-a'])

    def test_part_of_one_crashing_content_is_not_held(self):
        for number in range(5):
            self.crash(number, 'content', 'part-a')
        self.assertEqual(self.held(), ['content'])
        self.suspects.clear('content')
        self.assertEqual(self.held(), ['part-a'])

    def test_part_of_two_repeated_contents_is_held_at_the_fourth_crash(self):
        for number in range(3):
            self.crash(number, 'content-a', 'part-a')
        self.crash(3, 'content-b', 'part-a')
        self.assertEqual(self.held(), ['content-a', 'part-a'])
        for number in range(4, 6):
            self.crash(number, 'content-b', 'part-a')
        self.assertEqual(self.held(), ['content-a', 'part-a', 'content-b'])

    def test_part_that_other_models_run_is_held_for_the_one_that_it_ends(self):
        for number in range(3):
            self.crash(number, f'content-{number}', 'part-all', 'part-model')
            self.suspects.note_completion('part-all')
        self.assertEqual(self.held(), ['part-model'])

    def test_explained_part_is_neither_held_nor_probed(self):
        for number in range(4):
            self.crash(number, 'content', 'part-a')
        ((part, content),) = self.suspects.explained()
        self.assertEqual((part.content, content), ('part-a', 'content'))
        self.now = FIRST_QUARANTINE_S * QUARANTINE_FACTOR
        self.assertTrue(self.suspects.is_probe_due('content'))
        self.assertFalse(self.suspects.is_probe_due('part-a'))

    @settings(suppress_health_check=[HealthCheck.too_slow])
    @given(crashes=CRASHES, data=st.data())
    def test_daemons_hold_the_same_in_whatever_order_they_hear(
        self, crashes, data
    ):
        held = []
        for order in (crashes, data.draw(st.permutations(crashes))):
            self.suspects = CrashSuspects(clock=lambda: self.now)
            for number, contents in order:
                self.crash(number, *contents)
            held.append(set(self.held()))
        self.assertEqual(held[0], held[1])

    def test_error_answer_and_resumed_stream_clear_nothing(self):
        for status, is_resumed, is_whole in (
            (200, False, True),
            (200, True, False),
            (500, False, False),
        ):
            job = SimpleNamespace(is_resumed=is_resumed)
            outcome = Delivered(status=status)
            self.assertEqual(is_whole_run(job, outcome), is_whole)

    def test_part_that_keeps_crashing_is_probed_within_half_an_hour(self):
        for number in range(9):
            self.crash(number, f'content-{number}', 'part-a')
        self.assertEqual(self.suspects.quarantine_left_s('part-a'), 1800.0)

    def test_each_part_but_the_own_has_a_key_with_and_without_its_model(self):
        parts = tuple(PromptPart(id=f'p{n}', tokens=1) for n in range(20))
        keys = find_part_keys(PromptInfo(model='m', parts=parts))
        shared = [f'p{n}' for n in range(19)]
        self.assertEqual(sorted(keys.values()), sorted(shared * 2))
        other = find_part_keys(PromptInfo(model='n', parts=parts))
        common = keys.keys() & other.keys()
        self.assertEqual(sorted(map(keys.get, common)), sorted(shared))
        self.assertEqual(find_part_keys(None), {})

    def test_keys_of_several_daemons_are_probed_by_the_first_of_them(self):
        first, second = 'part-a', 'part-b'
        daemons = ['a', 'b', 'c']
        self.assertNotEqual(rank(daemons, first)[0], rank(daemons, second)[0])
        fleet = [
            CrashProbes(states=states_of(own, daemons), clock=self.read_clock)
            for own in daemons
        ]
        self.now = PROBE_INTERVAL_S
        began = [probes.begin([first, second]) for probes in fleet]
        self.assertEqual(
            began, [own == rank(daemons, first)[0] for own in daemons]
        )
        again = [probes.begin([second, first]) for probes in fleet]
        self.assertEqual(
            again, [own == rank(daemons, second)[0] for own in daemons]
        )

    def read_clock(self):
        return self.now

    def test_parts_of_an_answer_well_under_way_are_not_accused(self):
        listed = SimpleNamespace(service='llm', software='v1')
        job = SimpleNamespace(content='c', suspect_keys=('c', 'part-a'))
        attempt = Attempt(
            job=job,
            choice=SimpleNamespace(record=SimpleNamespace(listed=listed)),
            sent_at=0.0,
            may_have_run_before=False,
            silence_deadline=1.0,
            recorder=SimpleNamespace(clock=lambda: self.now),
        )
        accused = []
        for began_at in (None, 9.5, 8.9):
            self.now, attempt.time_to_first_event_s = 10.0, began_at
            accused.append(attempt.find_suspects())
        both = ('c', 'part-a')
        self.assertEqual(accused, [both, both, ('c',)])


if __name__ == '__main__':
    unittest.main()
