"""Streams leave an endpoint in time, whatever becomes of single calls."""

import random
import unittest

import anyio
from mimosamux_daemon.domain.gateway import ListedEndpoint
from mimosamux_daemon.domain.routes import EngineCapabilities, ServiceEntry
from mimosamux_daemon.domain.stream_origins import StreamOrigin
from mimosamux_daemon.gateway.balancing.endpoint_record import EndpointRecord
from mimosamux_daemon.gateway.crashes.suspects import EndpointIncarnation
from mimosamux_daemon.gateway.streams.evacuation import Evacuation
from mimosamux_daemon.gateway.streams.running_stream import (
    RunningStream,
    StreamCopy,
)
from mimosamux_standins.site import Fault, MoveFault, ReplicaSpeed
from mimosamux_standins.site.replica import render_event

from tests.support.clock import run_paused
from tests.support.platform_site import default_document, open_site

EVENTS = 300
EVENT_S = 0.02
PROMPT = (
    (b'X-Model', b'm'),
    (b'X-Token-Usage', b'1460,80'),
    (b'X-Prompt-Prefix', b'5c1e07a2:800,91bd3f06:410,e4402b7d:250'),
)
NOTICES_S = (1.0, 1.7, 2.4, 4.0)
FAULTS = tuple(fault for fault in MoveFault if fault is not MoveFault.NONE)


def whole_body(answer, events=EVENTS):
    numbers = range(1, events + 1)
    return b''.join(render_event(answer.id, number) for number in numbers)


def engines_of(site):
    return [
        replica
        for replica in site.replicas_by_id.values()
        if replica.service == 'llm'
    ]


def set_draft_length(site, *, events):
    for engine in engines_of(site):
        engine.speed = ReplicaSpeed(events=events, event_s=EVENT_S)


class Reclaim:
    """A site whose engine is taken away while streams run there."""

    def __init__(self, site, *, target, streams):
        self.site = site
        self.target = target
        self.streams = streams
        self.answers = []

    async def send(self, number):
        entry = self.site.daemons[number % len(self.site.daemons)].entry
        answer = await self.site.caller(patience_s=15.0).send(
            entry, f'{self.target}{number}', body=b'brief', headers=PROMPT
        )
        self.answers.append(answer)

    async def play(
        self,
        *,
        faults,
        notice_s,
        late_streams=0,
        silent_reports=0,
        overtime_s=0.0,
    ):
        site = self.site
        for number in range(self.streams):
            site.tasks.start_soon(self.send, number)
        await anyio.sleep(0.5)
        for number in range(late_streams):
            site.tasks.start_soon(self.send, self.streams + number)
        if late_streams:
            await anyio.sleep(0.005)
        source = next(engine for engine in engines_of(site) if engine.arrivals)
        source.move_faults = list(faults)
        source.silent_reports = silent_reports
        source.leaves_ms = notice_s * 1000
        source.is_reclaimable = True
        site.drain_replica(source)
        await anyio.sleep(notice_s + overtime_s)
        site.crash_replica(source)
        await anyio.sleep(12)
        return source


def patient_document():
    """Return a document whose questions may take as long as drafts."""
    document = default_document()
    question = next(
        route for route in document.routes if route['prefix'] == '/question/'
    )
    question['timeoutMs'] = 15000
    return document


async def reclaim(
    *,
    faults,
    notice_s,
    target='/draft/',
    streams=1,
    late=0,
    engines=3,
    silent_reports=0,
    overtime_s=0.0,
):
    async with open_site(document=patient_document(), engines=engines) as site:
        set_draft_length(site, events=EVENTS)
        played = Reclaim(site, target=target, streams=streams)
        await played.play(
            faults=faults,
            notice_s=notice_s,
            late_streams=late,
            silent_reports=silent_reports,
            overtime_s=overtime_s,
        )
        return played.answers, site


class TestLostCalls(unittest.TestCase):
    def assert_whole(self, answers, context):
        for answer in answers:
            self.assertTrue(answer.is_whole, context)
            self.assertEqual(answer.body, whole_body(answer), context)

    def test_one_call_that_fails_loses_no_draft(self):
        """An engine is reclaimed, and one call to it gets lost.

        It may be the first or the second call, done or not, unanswered,
        reset or answered with nonsense. The teacher whose draft runs there
        sees one stream with a short pause; it used to break off.
        """
        self.check_one_lost_call(engines=3)

    def test_one_call_that_fails_loses_no_draft_with_one_engine_left(self):
        """The same where only one other engine can take the draft.

        A small site has two engines after a reclaim. An endpoint was left
        alone for good once a copy to it had failed, so that no second one
        was tried though seconds of the notice were left. The teacher's
        draft broke off in the middle, in 20 of these 40 cases.
        """
        self.check_one_lost_call(engines=2)

    def check_one_lost_call(self, *, engines):
        for fault in FAULTS:
            for place in (0, 1):
                for notice_s in NOTICES_S:
                    with self.subTest(
                        fault=fault.name, place=place, notice_s=notice_s
                    ):
                        faults = [MoveFault.NONE] * place + [fault]
                        answers, _ = run_paused(
                            lambda f=faults, n=notice_s: reclaim(
                                faults=f, notice_s=n, engines=engines
                            )
                        )
                        self.assert_whole(answers, (fault, place, notice_s))

    def test_seeded_mixes_of_lost_calls_join_no_two_runs(self):
        """Several calls fail in a row while six drafts run at an engine.

        A draft may be lost where no call went through at all. None may have
        an event twice or one missing, and no two runs of one go on together.
        """
        for seed in range(30):
            rng = random.Random(seed)
            faults = rng.choices(tuple(MoveFault), k=rng.randint(2, 12))
            notice_s = rng.uniform(1.0, 4.0)
            with self.subTest(seed=seed):
                answers, site = run_paused(
                    lambda f=faults, n=notice_s: reclaim(
                        faults=f, notice_s=n, streams=6
                    )
                )
                for answer in answers:
                    if answer.is_whole:
                        self.assertEqual(answer.body, whole_body(answer))
                    self.assertTrue(whole_body(answer).startswith(answer.body))
                self.assert_one_run_at_a_time(site.runs())

    def assert_one_run_at_a_time(self, runs):
        last_by_id = {}
        for run in runs:
            before = last_by_id.get(run.id)
            if before is not None:
                self.assertIsNotNone(before.ended_at)
                self.assertLessEqual(before.ended_at, run.began_at + 0.4)
            last_by_id[run.id] = run

    def test_resumable_stream_goes_on_when_no_call_gets_through(self):
        """No call to the engine that is reclaimed is ever answered.

        A question may be asked for again from the last word that its caller
        has; it goes on elsewhere in place of breaking off.
        """
        answers, _ = run_paused(
            lambda: reclaim(
                faults=[MoveFault.UNSEEN] * 40,
                notice_s=2.4,
                target='/question/',
            )
        )
        self.assert_whole(answers, 'question')

    def test_stream_that_begins_after_the_notice_is_moved_too(self):
        """A draft is sent to an engine just before the notice comes.

        No stream runs there in the moment of the notice, so nothing seemed
        to be at stake; the draft would end with its engine.
        """
        answers, site = run_paused(
            lambda: reclaim(faults=[], notice_s=2.4, streams=0, late=1)
        )
        self.assertEqual(len(site.runs()), 2)
        self.assert_whole(answers, 'late')

    def test_call_that_hangs_holds_up_no_other_stream(self):
        """Six drafts run at an engine, and the first call hangs.

        Moved one after the other, those behind it would have no time left.
        """
        answers, _ = run_paused(
            lambda: reclaim(faults=[MoveFault.UNSEEN], notice_s=1.0, streams=6)
        )
        self.assertEqual(len(answers), 6)
        self.assert_whole(answers, 'six')


class FakeMoves:
    """Copies and stops streams at once, and notes which."""

    def __init__(self):
        self.copied = []
        self.released = []

    async def copy(self, stream, attempts):
        holder = make_record('holder')
        stream.copy = StreamCopy(kv_source='copy', holder=holder)
        self.copied.append(stream.request_id)

    async def stop(self, stream):
        stream.is_stopped = True

    async def release(self, stream):
        self.released.append(stream.request_id)


class CountedClock:
    """Counts how often the time is read."""

    def __init__(self):
        self.reads = 0

    def __call__(self):
        self.reads += 1
        return anyio.current_time()


def make_record(name):
    return EndpointRecord(
        listed=ListedEndpoint(
            id=name,
            service='llm',
            address='10.0.0.1:80',
            data_centre='north',
            slots=1,
            software='1',
        ),
        listed_at=0.0,
    )


def make_stream(number, record):
    engine = EngineCapabilities(
        slots=1,
        cache_tokens=1000,
        bytes_per_token=1.0,
        link_mbps=1000.0,
        can_move=True,
    )
    return RunningStream(
        request_id=f'request-{number}',
        service=ServiceEntry(name='llm', engine=engine),
        record=record,
        origin=StreamOrigin.of(record.listed),
        tokens=100,
    )


class TestWaits(unittest.TestCase):
    """Evacuations wait for events, and miss none of them."""

    def play(self, script, *, left_s=10.0):
        """Run a script against the evacuation of one endpoint."""

        async def check():
            clock, moves = CountedClock(), FakeMoves()
            evacuation = Evacuation(
                moves=None,
                stream_moves=moves,
                drain_s=left_s,
                clock=clock,
                notify_peers=lambda record: None,
            )
            record = make_record('leaving')
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(evacuation.run)
                record.leaves_at = anyio.current_time() + left_s
                evacuation.note_leaving(record)
                await script(evacuation, record, clock)
                tasks.cancel_scope.cancel()
            return moves, clock.reads

        return run_paused(check)

    async def stream(self, evacuation, record, number, lasts_s):
        with evacuation.tracking(make_stream(number, record)):
            await anyio.sleep(lasts_s)

    def test_endpoint_without_streams_costs_nothing_while_it_leaves(self):
        """Each leaving endpoint was looked at ten times a second."""

        async def script(evacuation, record, clock):
            await anyio.sleep(60)

        _, reads = self.play(script, left_s=50.0)
        self.assertLess(reads, 10)

    def test_stream_behind_one_that_has_ended_is_moved(self):
        """A stream ends during the notice, and another begins seconds later.

        An evacuation that waits only for its first stream, or that ends with
        it, would lose the second.
        """

        async def script(evacuation, record, clock):
            await self.stream(evacuation, record, 1, lasts_s=1)
            await anyio.sleep(3)
            await self.stream(evacuation, record, 2, lasts_s=7)

        moves, _ = self.play(script)
        self.assertEqual(moves.copied, ['request-2'])

    def test_stream_that_begins_while_others_are_moved_is_moved(self):
        """A response begins after the copies of the others have begun."""

        async def script(evacuation, record, clock):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.stream, evacuation, record, 1, 12)
                await anyio.sleep(9.3)
                tasks.start_soon(self.stream, evacuation, record, 2, 2)

        moves, _ = self.play(script)
        self.assertEqual(moves.copied, ['request-1', 'request-2'])

    def test_stream_begins_after_the_end_was_brought_forward(self):
        """A reclaim cuts a drain short before any stream has begun.

        The evacuation waits for the end that it knew first, and the stream
        wakes it up.
        """

        async def script(evacuation, record, clock):
            await anyio.sleep(1)
            record.leaves_at = anyio.current_time() + 1
            await self.stream(evacuation, record, 1, lasts_s=0.9)

        moves, _ = self.play(script)
        self.assertEqual(moves.copied, ['request-1'])


class TestUnknownEnds(unittest.TestCase):
    def test_question_that_gets_no_answer_loses_no_draft(self):
        """An engine is asked when it goes, and the answer is lost.

        It was taken to be there for as long as one that is only drained, and
        the first copy came after its end: `evacuation_began` with
        `is_told=false`, and no `stream_moved`. The draft broke off.
        """
        for notice_s in NOTICES_S:
            for silent in (1, 2, 20):
                with self.subTest(notice_s=notice_s, silent=silent):
                    answers, _ = run_paused(
                        lambda n=notice_s, s=silent: reclaim(
                            faults=[], notice_s=n, silent_reports=s
                        )
                    )
                    self.assertTrue(answers[0].is_whole)
                    self.assertEqual(answers[0].body, whole_body(answers[0]))

    def test_engine_that_is_there_for_longer_than_it_said_keeps_no_draft(self):
        """No call gets through in the notice, and the engine stays a while.

        What it says of its end is an estimate. Calls ended with it, and the
        draft ran on there for seconds until it broke off.
        """
        faults = [MoveFault.UNSEEN] * 3
        answers, _ = run_paused(
            lambda: reclaim(faults=faults, notice_s=1.0, overtime_s=1.5)
        )
        self.assertTrue(answers[0].is_whole)
        self.assertEqual(answers[0].body, whole_body(answers[0]))

    def test_reclaim_of_an_engine_that_drains_loses_no_draft(self):
        """An engine is drained, and reclaimed while it drains.

        When it goes was looked at once, as the drain began. The reclaim
        takes it away before that, and the draft there went with it though
        the list told of the new end.
        """

        async def play(delay_s):
            async with open_site(document=patient_document()) as site:
                set_draft_length(site, events=EVENTS)
                played = Reclaim(site, target='/draft/', streams=1)
                site.tasks.start_soon(played.send, 0)
                await anyio.sleep(0.5)
                source = next(each for each in engines_of(site) if each.runs)
                site.drain_replica(source)
                await anyio.sleep(delay_s)
                source.is_end_listed = True
                source.leaves_ms = 1000
                site.list_replica(source)
                await anyio.sleep(1.0)
                site.crash_replica(source)
                await anyio.sleep(12)
                return played.answers[0]

        for delay_s in (0.05, 0.3, 0.9):
            with self.subTest(delay_s=delay_s):
                answer = run_paused(lambda d=delay_s: play(d))
                self.assertTrue(answer.is_whole)
                self.assertEqual(answer.body, whole_body(answer))


class TestCopies(unittest.TestCase):
    def check_moved_whole(self, played, *, events):
        answers, runs = played
        self.assertTrue(any(run.kv_source for run in runs))
        self.assertEqual(len(answers), 2)
        for answer in answers:
            self.assertTrue(answer.is_whole)
            self.assertEqual(answer.body, whole_body(answer, events=events))

    def test_copy_whose_holder_leaves_is_made_anew(self):
        """The engine that holds a draft's copy is drained before the stop.

        The source found no room for the rest there and kept the run, so the
        draft went on at the engine it was to leave, and broke off with it.
        """

        async def check():
            async with open_site(document=patient_document()) as site:
                set_draft_length(site, events=EVENTS)
                played = Reclaim(site, target='/draft/', streams=1)
                site.tasks.start_soon(drain_holder, site)
                source = await played.play(faults=[], notice_s=2.4)
                places = [run.replica for run in site.runs()]
                return played.answers[0], places.count(source.id)

        async def drain_holder(site):
            # The copy is made 0.9 s before the end, the stop 0.5 s before.
            await anyio.sleep(0.5 + 2.4 - 0.7)
            holder = next(each for each in engines_of(site) if each.copies)
            site.drain_replica(holder)

        answer, runs_at_source = run_paused(check)
        self.assertEqual(runs_at_source, 1)
        self.assertTrue(answer.is_whole)
        self.assertEqual(answer.body, whole_body(answer))

    # Guards against a run that is stopped for a move and goes on nowhere.
    def test_draft_that_is_moved_before_its_first_event_is_whole(self):
        async def check():
            async with open_site(engines=3) as site:
                for engine in engines_of(site):
                    engine.speed = ReplicaSpeed(events=3, event_s=2.0)
                plan = Reclaim(site, target='/draft/', streams=2)
                await plan.play(faults=(), notice_s=1.0)
                return plan.answers, site.runs()

        self.check_moved_whole(run_paused(check), events=3)

    # Guards against a moved stream that is lost with its one try.
    def test_draft_whose_copy_is_turned_down_for_a_moment_is_whole(self):
        async def check():
            async with open_site(engines=3) as site:
                set_draft_length(site, events=100)
                plan = Reclaim(site, target='/draft/', streams=2)

                async def shed():
                    await anyio.sleep(0.9)
                    for engine in engines_of(site):
                        engine.fault = Fault.SHED
                    await anyio.sleep(0.5)
                    for engine in engines_of(site):
                        engine.fault = Fault.NONE

                site.tasks.start_soon(shed)
                await plan.play(faults=(), notice_s=1.0)
                return plan.answers, site.runs()

        self.check_moved_whole(run_paused(check), events=100)

    def test_copy_of_a_stream_that_ended_in_time_is_freed(self):
        """A draft ends after it was copied and before its engine goes.

        Its copy would hold a slot of another engine for nothing, and other
        callers would wait for it.
        """

        async def check():
            async with open_site(daemons=1) as site:
                # The copy is made 0.9 s before the end, the draft ends
                # 0.6 s before it.
                set_draft_length(site, events=115)
                played = Reclaim(site, target='/draft/', streams=1)
                await played.play(faults=[], notice_s=2.4)
                copies = sum(engine.copies for engine in engines_of(site))
                return played.answers[0].is_whole, len(site.runs()), copies

        self.assertEqual(run_paused(check), (True, 1, 0))


class TestHeldContents(unittest.TestCase):
    # Guards against drafts that are cut when their engine leaves, since their
    # content was held for the crashes of others.

    def test_draft_whose_content_is_held_leaves_its_engine(self):
        async def check():
            async with open_site(engines=3, apps=0, daemons=1) as site:
                set_draft_length(site, events=EVENTS)
                each = Reclaim(site, target='/draft/', streams=3)
                site.tasks.start_soon(hold_all, site)
                await each.play(faults=(), notice_s=1.7)
                return [
                    answer.body == whole_body(answer)
                    for answer in each.answers
                ]

        self.assertEqual(run_paused(check), [True] * 3)


async def hold_all(site):
    """Have the contents of all drafts held once they are under way."""
    await anyio.sleep(0.4)
    quarantine = site.daemons[0].daemon.parts.quarantine
    for waiting in tuple(quarantine._admitted):
        for number in range(3):
            quarantine.exchange.report_crash(
                EndpointIncarnation(id=f'crashed-{number}'),
                [waiting.job.content],
            )
