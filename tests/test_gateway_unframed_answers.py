"""Answers that have neither a length nor chunks, and end early."""

import unittest
from dataclasses import replace
from functools import partial

import anyio
from mimosamux_standins.site import (
    Fault,
    Framing,
    MoveFault,
    ReplicaSpeed,
)
from mimosamux_standins.site.replica import render_event

from tests.support.clock import run_paused
from tests.support.memory_network import machine_of
from tests.support.platform_site import Partition, open_site, steady, wall_ms
from tests.support.prompts import prompt_of
from tests.test_gateway_evacuation import patient_document
from tests.test_gateway_tunnel_stop import cut_off

EVENTS = 100
STREAMS = 24
SPEED = ReplicaSpeed(events=EVENTS, event_s=0.02)
PATHS = ('/draft/', '/question/')


def open_patient_site(**fields):
    """Give a site whose questions may take as long as drafts."""
    return open_site(document=patient_document(), apps=0, **fields)


class Answers:
    """Streams under way, and what their callers get."""

    def __init__(self, site, *, daemons=None):
        self.site = site
        self.daemons = daemons or range(len(site.daemons))
        self.answers_by_path = {path: [] for path in PATHS}
        for replica in site.replicas_by_id.values():
            replica.framing = Framing.UNFRAMED
            replica.speed = SPEED

    async def send(self, number):
        daemon = self.daemons[number % len(self.daemons)]
        path = PATHS[number % 2]
        prompt = prompt_of('5c1e07a2', f'{number:08x}', 'e4402b7d')
        answer = await self.site.caller(patience_s=15.0).send(
            self.site.daemons[daemon].entry,
            f'{path}{number}',
            body=b'x',
            headers=prompt,
        )
        self.answers_by_path[path].append(answer)

    async def play(self, trouble, *, begun_s=0.7):
        """Have all streams begin, and bring the trouble about."""
        async with anyio.create_task_group() as tasks:
            for number in range(STREAMS):
                tasks.start_soon(self.send, number)
            await anyio.sleep(begun_s)
            await trouble()

    def short(self):
        """Return the answers that look whole and are not."""
        return [
            (each.id, each.body.count(b'\n\n'))
            for answers in self.answers_by_path.values()
            for each in answers
            if each.status == 200
            and each.is_whole
            and each.body
            != b''.join(render_event(each.id, n + 1) for n in range(EVENTS))
        ]

    def whole(self, path):
        """Return how many answers on a route are streams called whole."""
        return sum(
            each.status == 200 and each.is_whole
            for each in self.answers_by_path[path]
        )


def busiest(site):
    return max(site.replicas_by_id.values(), key=lambda each: len(each.runs))


async def leave_and_crash(site, *, behind_s, is_announced=True):
    """Have an engine leave, and end its process a while behind that."""
    engine = busiest(site)
    if is_announced:
        site.drain_replica(engine)
    else:
        site.unlist_replica(engine)
    await anyio.sleep(behind_s)
    site.crash_replica(engine, in_order=True)


class TestEndOfAnEndpoint(unittest.TestCase):
    # Guards against the end of a process that looks like that of an answer.

    def play(self, trouble, *, engines=4):
        async def check():
            async with open_patient_site(engines=engines) as site:
                answers = Answers(site)
                await answers.play(partial(trouble, site))
                return answers

        answers = run_paused(check)
        self.assertEqual(answers.short(), [])
        return answers

    def test_crash_of_an_endpoint_that_leaves(self):
        for behind_s in (0.1, 0.5, 1.3):
            with self.subTest(behind_s=behind_s):
                answers = self.play(
                    partial(leave_and_crash, behind_s=behind_s)
                )
                self.assertEqual(answers.whole('/question/'), STREAMS // 2)

    def test_crash_of_an_endpoint_without_an_entry(self):
        answers = self.play(
            partial(leave_and_crash, behind_s=0.5, is_announced=False)
        )
        self.assertEqual(answers.whole('/question/'), STREAMS // 2)

    def test_process_whose_listener_outlives_its_connections(self):
        for exit_s in (0.04, 0.1, 0.3, 1.0, 3.0):
            with self.subTest(exit_s=exit_s):

                async def hang(site, exit_s=exit_s):
                    site.crash_replica(
                        busiest(site), in_order=True, exit_s=exit_s
                    )

                answers = self.play(hang)
                self.assertEqual(answers.whole('/question/'), STREAMS // 2)

    def test_end_of_a_vm_that_answers_nothing_afterwards(self):
        async def vanish(site):
            engine = busiest(site)
            site.drain_replica(engine)
            await anyio.sleep(0.5)
            site.crash_replica(engine, in_order=True)
            site.network.dark.add(engine.address.rpartition(':')[0])

        answers = self.play(vanish)
        self.assertEqual(answers.whole('/question/'), STREAMS // 2)


class TestProofOfTheProcess(unittest.TestCase):
    # Guards against ends that prove nothing, and against whole answers that
    # are called cut.

    def play(self, trouble, **fields):
        async def check():
            async with open_patient_site(engines=4, **fields) as site:
                answers = Answers(site)
                await answers.play(partial(trouble, site))
                return site, answers

        site, answers = run_paused(check)
        self.assertEqual(answers.short(), [])
        return site, answers

    def check_all_whole(self, answers):
        for path in PATHS:
            self.assertEqual(answers.whole(path), STREAMS // 2, path)

    def test_another_process_behind_the_same_listener(self):
        async def replace(site):
            engine = busiest(site)
            site.network.end_connections(machine_of(engine.address))
            engine.id = 'i-9999'

        _, answers = self.play(replace)
        self.assertLess(answers.whole('/draft/'), STREAMS // 2)

    def test_another_start_of_the_endpoint_behind_the_same_listener(self):
        async def start_anew(site):
            engine = busiest(site)
            engine.born_ms = wall_ms()
            site.list_replica(engine)
            await anyio.sleep(0.3)
            site.network.end_connections(machine_of(engine.address))
            engine.born_ms += 1000

        _, answers = self.play(start_anew)
        self.assertLess(answers.whole('/draft/'), STREAMS // 2)

    def test_what_answers_in_the_place_of_an_ended_process(self):
        for status in (404, 408, 502, 503):
            with self.subTest(status=status):

                async def inherit(site, status=status):
                    engine = busiest(site)
                    engine.heir_status = status
                    site.network.end_connections(machine_of(engine.address))

                self.play(inherit)

    def test_sound_endpoints_that_are_silent_for_a_second(self):
        async def stand_still(site):
            for engine in site.replicas_by_id.values():
                engine.silent_until = steady() + 2.3

        _, answers = self.play(stand_still)
        self.check_all_whole(answers)

    def test_endpoints_that_leave_and_answer(self):
        async def drain(site):
            for engine in site.replicas_by_id.values():
                site.drain_replica(engine)

        _, answers = self.play(drain, drain_s=8.0)
        self.check_all_whole(answers)


class TestContinuation(unittest.TestCase):
    # Guards against a continuation that is not the rest of its stream.

    def play(self, framing, cut, **others):
        async def check():
            async with open_patient_site(engines=4) as site:
                answers = Answers(site)
                for engine in site.replicas_by_id.values():
                    engine.framing = framing

                async def trouble():
                    engine = busiest(site)
                    for other in site.replicas_by_id.values():
                        if other is not engine:
                            for name, value in others.items():
                                setattr(other, name, value)
                    cut(site, engine)

                await answers.play(trouble)
                return answers, site.runs()

        answers, runs = run_paused(check)
        ids = [run.id for run in runs]
        resumed = [
            each
            for each in answers.answers_by_path['/question/']
            if ids.count(each.id) > 1
        ]
        self.assertTrue(resumed)
        for each in resumed:
            self.assertFalse(each.is_whole)
            right = b''.join(
                render_event(each.id, n + 1) for n in range(EVENTS)
            )
            self.assertTrue(right.startswith(each.body))

    def test_empty_answer_does_not_end_a_stream_cut_inside_an_event(self):
        ended = replace(SPEED, events=EVENTS // 4)
        for framing in (Framing.USUAL, Framing.UNFRAMED):

            def cut(site, engine, framing=framing):
                for other in site.replicas_by_id.values():
                    other.framing = framing
                engine.fault, engine.framing = Fault.CUT, Framing.USUAL

            with self.subTest(framing=framing.name):
                self.play(Framing.USUAL, cut, speed=ended)

    def test_stream_that_begins_anew_brings_no_event_twice(self):
        def crash(site, engine):
            site.crash_replica(engine)

        for framing in (Framing.USUAL, Framing.UNFRAMED):
            with self.subTest(framing=framing.name):
                self.play(framing, crash, begins_anew=True)


class TestStoppedRun(unittest.TestCase):
    # Guards against a run stopped for a move whose answer looks ended.

    def play(self, *, faults=(), leaves_ms=None, begun_s=0.7):
        async def check():
            async with open_patient_site(engines=4) as site:
                answers = Answers(site)

                async def leave():
                    engine = busiest(site)
                    engine.leaves_ms = leaves_ms
                    engine.move_faults = list(faults)
                    site.drain_replica(engine)
                    await anyio.sleep(6.0)

                await answers.play(leave, begun_s=begun_s)
                return answers, site.runs()

        answers, runs = run_paused(check)
        self.assertEqual(answers.short(), [])
        for path in PATHS:
            self.assertEqual(answers.whole(path), STREAMS // 2, path)
        return runs

    def test_streams_of_an_engine_that_drains_go_on_at_others(self):
        runs = self.play(leaves_ms=900)
        self.assertGreater(sum(bool(run.kv_source) for run in runs), 0)

    def test_stop_whose_answer_is_lost_is_a_stop(self):
        for fault in (MoveFault.LOST, MoveFault.SILENT):
            with self.subTest(fault=fault.name):
                # The copies come first, and the stops behind them.
                faults = [MoveFault.NONE] * 6 + [fault] * 6
                self.play(leaves_ms=1200, faults=faults)

    def test_run_that_ends_beside_its_stop_is_whole_once(self):
        for leaves_ms in range(1600, 1960, 30):
            with self.subTest(leaves_ms=leaves_ms):
                self.play(leaves_ms=leaves_ms)


class TestEndOfAPeer(unittest.TestCase):
    # Guards against a killed daemon whose tunnels end answers as whole.

    def play(self, partition, *, killed):
        async def check():
            async with open_patient_site(engines=3) as site:
                await cut_off(site, 0, partition)
                answers = Answers(site, daemons=[0])

                async def kill():
                    for number in killed:
                        site.kill_daemon(number, in_order=True)

                await answers.play(kill)
                return answers

        answers = run_paused(check)
        self.assertEqual(answers.short(), [])
        return answers

    def test_streams_behind_a_killed_daemon_are_not_whole(self):
        for partition in (Partition.HANGS, Partition.LIVES_ON):
            with self.subTest(partition=partition.name):
                self.play(partition, killed=(1, 2))

    def test_process_that_hangs_before_it_exits_behind_a_peer(self):
        for exit_s in (0.3, 1.0):

            async def check(exit_s=exit_s):
                async with open_patient_site(engines=3) as site:
                    await cut_off(site, 0, Partition.HANGS)
                    answers = Answers(site, daemons=[0])

                    async def hang():
                        site.crash_replica(
                            busiest(site), in_order=True, exit_s=exit_s
                        )

                    await answers.play(hang)
                    return answers

            with self.subTest(exit_s=exit_s):
                self.assertEqual(run_paused(check).short(), [])

    def test_nor_where_another_daemon_reaches_their_endpoint(self):
        answers = self.play(Partition.HANGS, killed=(1,))
        self.assertEqual(answers.whole('/question/'), STREAMS // 2)


if __name__ == '__main__':
    unittest.main()
