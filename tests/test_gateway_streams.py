"""Streams: whole events, resumed, moved, broken off, never joined."""

import unittest

import anyio
from mimosamux_standins.site import Fault, ReplicaSpeed
from mimosamux_standins.site.replica import render_event

from tests.support.clock import run_paused
from tests.support.platform_site import default_document, open_site

PROMPT = (
    (b'X-Model', b'm'),
    (b'X-Token-Usage', b'1460,80'),
    (b'X-Prompt-Prefix', b'5c1e07a2:800,91bd3f06:410,e4402b7d:250'),
)


def whole_body(id_, events):
    numbers = range(1, events + 1)
    return b''.join(render_event(id_, number) for number in numbers)


def engines_of(site):
    return [
        replica
        for replica in site.replicas_by_id.values()
        if replica.service == 'llm'
    ]


def prompt_of(part):
    """Return the headers of a prompt that shares `part` with others."""
    parts = f'5c1e07a2:800,{part}:410,e4402b7d:250'
    return (*PROMPT[:2], (b'X-Prompt-Prefix', parts.encode()))


async def send_draft(site, target='/draft/1', number=0, headers=PROMPT):
    return await site.caller(patience_s=15.0).send(
        site.daemons[number].entry, target, body=b'brief', headers=headers
    )


class TestStreams(unittest.TestCase):
    def test_resumable_stream_goes_on_behind_its_last_whole_event(self):
        """A replica stops in the middle of an event.

        The stream goes on at another one, and the caller sees each event once.
        """

        async def check():
            async with open_site(daemons=1) as site:
                engines = engines_of(site)
                engines[0].fault = engines[1].fault = Fault.CUT
                answers = [
                    await send_draft(
                        site, '/question/1', headers=prompt_of(f'{part:08x}')
                    )
                    for part in range(12)
                ]
                broken = sum(len(engine.runs) for engine in engines[:2])
                return answers, broken

        answers, broken = run_paused(check)
        self.assertGreater(broken, 0)
        for answer in answers:
            if answer.is_whole:
                self.assertEqual(answer.body, whole_body(answer.id, 6))
        self.assertGreater(sum(answer.is_whole for answer in answers), 0)

    # Guards against a status that is sent in the middle of a begun answer.
    def test_stream_whose_rest_is_answered_with_an_error_breaks_off(self):
        async def check():
            async with open_site(daemons=1, engines=2) as site:
                for engine in engines_of(site):
                    engine.speed = ReplicaSpeed(events=20, event_s=0.05)
                answers = []

                async def send():
                    answers.append(await send_draft(site, '/question/1'))

                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(send)
                    await anyio.sleep(0.6)
                    for engine in engines_of(site):
                        if engine.runs:
                            site.crash_replica(engine)
                        else:
                            engine.fault = Fault.ERROR
                metrics = site.daemons[0].daemon.parts.metrics.render()[0]
                return answers[0], len(site.runs()), metrics.decode()

        answer, runs, metrics = run_paused(check)
        self.assertEqual(
            (answer.status, answer.is_whole, runs), (200, False, 2)
        )
        self.assertNotIn('outcome="abandoned"', metrics)
        self.assertIn('outcome="broken_off"', metrics)

    def test_stream_that_may_not_resume_ends_as_broken(self):
        """The replica of a draft stops in the middle of an event.

        The draft cannot go on elsewhere; what the caller has must not look
        whole.
        """

        async def check():
            async with open_site(daemons=1) as site:
                for engine in engines_of(site):
                    engine.fault = Fault.CUT
                answer = await send_draft(site)
                return answer, len(site.runs())

        answer, runs = run_paused(check)
        self.assertFalse(answer.is_whole)
        self.assertEqual((answer.status, runs), (200, 1))
        self.assertEqual(answer.body, whole_body(answer.id, 3))

    def test_draft_survives_the_reclaim_of_its_engine(self):
        """An engine is to be taken away in the middle of a long draft.

        The draft goes on elsewhere from the engine's memory, without a gap and
        without reading the prompt again.
        """

        async def check():
            async with open_site() as site:
                speed = ReplicaSpeed(events=200, event_s=0.02)
                for engine in engines_of(site):
                    engine.speed = speed
                answers = []

                async def send():
                    answers.append(await send_draft(site))

                site.tasks.start_soon(send)
                await anyio.sleep(0.5)
                source = next(
                    engine for engine in engines_of(site) if engine.runs
                )
                source.leaves_ms = 2000
                source.is_reclaimable = True
                site.drain_replica(source)
                await anyio.sleep(2.0)
                site.crash_replica(source)
                await anyio.sleep(5)
                return answers[0], site.runs()

        answer, runs = run_paused(check)
        self.assertTrue(answer.is_whole)
        self.assertEqual(answer.body, whole_body(answer.id, 200))
        self.assertEqual(len(runs), 2)
        self.assertTrue(runs[1].kv_source)
        self.assertEqual(runs[1].read_tokens, 0)
        self.assertLessEqual(runs[0].ended_at, runs[1].began_at)

    def test_stream_that_ends_before_its_engine_goes_stays_there(self):
        """An engine is to be taken away, and a stream will end before.

        To move it would cost a copy of its memory for nothing.
        """

        async def check():
            async with open_site() as site:
                for engine in engines_of(site):
                    engine.speed = ReplicaSpeed(events=20, event_s=0.02)
                answers = []

                async def send():
                    answers.append(await send_draft(site))

                site.tasks.start_soon(send)
                await anyio.sleep(0.1)
                source = next(
                    engine for engine in engines_of(site) if engine.runs
                )
                source.leaves_ms = 2000
                site.drain_replica(source)
                await anyio.sleep(3)
                return answers[0].is_whole, len(site.runs())

        self.assertEqual(run_paused(check), (True, 1))

    def test_silence_of_an_engine_ends_no_stream_early(self):
        """An engine says nothing for seconds, then goes on.

        Ended early, the draft would be lost; it is late and whole.
        """

        async def check():
            async with open_site(daemons=1) as site:
                for engine in engines_of(site):
                    engine.speed = ReplicaSpeed(events=3, event_s=4.0)
                answer = await send_draft(site)
                return answer.is_whole, len(site.runs())

        self.assertEqual(run_paused(check), (True, 1))

    def test_engine_that_errs_gives_its_own_answer(self):
        """Every engine answers a draft with an error.

        It may not run again, so the caller gets the engine's answer with its
        proof.
        """

        async def check():
            async with open_site(daemons=1) as site:
                for engine in engines_of(site):
                    engine.fault = Fault.ERROR
                answer = await send_draft(site)
                names = [name.lower() for name, _ in answer.headers]
                return answer.status, b'x-replica-signature' in names

        self.assertEqual(run_paused(check), (500, True))

    def test_requests_that_share_a_part_go_to_the_engine_that_holds_it(self):
        async def check():
            async with open_site(daemons=3) as site:
                for number in range(12):
                    await send_draft(site, number=number % 3)
                return [run.read_tokens for run in site.runs()]

        read = run_paused(check)
        self.assertEqual(read.count(1460), 1)
        self.assertEqual(read.count(250) + read.count(0), 11)

    def test_shared_parts_of_an_engine_that_leaves_are_not_read_again(self):
        """The engine that holds a school's brief is about to be taken away.

        The next request for it goes to another engine. Read again there, the
        brief would make its caller, and all behind it, wait.
        """

        async def check():
            async with open_site(daemons=2) as site:
                await send_draft(site)
                await anyio.sleep(1)
                source = next(
                    engine for engine in engines_of(site) if engine.runs
                )
                site.drain_replica(source)
                await anyio.sleep(1)
                await send_draft(site, number=1)
                return [(run.replica, run.read_tokens) for run in site.runs()]

        (first, read), (second, read_again) = run_paused(check)
        self.assertNotEqual(first, second)
        self.assertEqual((read, read_again), (1460, 0))

    def test_nothing_is_copied_from_an_engine_that_cannot_be_reached(self):
        """The engine that holds a school's brief dies; its entry stays.

        The next engine would wait for a copy that never comes, and the caller
        with it.
        """

        async def check():
            async with open_site(daemons=1) as site:
                await send_draft(site)
                source = next(
                    engine for engine in engines_of(site) if engine.runs
                )
                site.crash_replica(source)
                for _ in range(3):
                    await send_draft(site)
                return [run.fetched_from for run in site.runs()]

        self.assertEqual(run_paused(check), ['', '', '', ''])

    def test_engines_are_told_the_rank_of_a_request(self):
        """A client account is ranked before the route's other callers.

        Engines admit by rank: without it, urgent requests wait behind others.
        """

        async def check():
            document = default_document()
            document.tenants[1]['priority'] = 7
            document.routes[0]['priority'] = 2
            async with open_site(document=document, daemons=1) as site:
                entry = site.daemons[0].entry
                for key in ('key-school', 'key-office'):
                    caller = site.caller(key, patience_s=15.0)
                    await caller.send(
                        entry, '/draft/1', body=b'b', headers=PROMPT
                    )
                return [run.rank for run in site.runs()]

        self.assertEqual(run_paused(check), [2, 7])
