"""A short soak with a fixed seed, and checks that can fail."""

import math
import random
import unittest
from dataclasses import replace
from types import SimpleNamespace

import anyio
from mimosamux_standins.site.caller import last_event_id
from mimosamux_standins.site.replica import render_event

from tests.support.soak import LARGE_SITES, play
from tests.support.soak_callers import REVOKED_KEY, Callers, Sent
from tests.support.soak_checks import find_problems
from tests.support.soak_record import (
    EVENTS,
    Absence,
    AbsenceKind,
    Disruption,
    Record,
)

SEED = 7
SECONDS = 5.0
LARGE_SITE_SECONDS = 1.0
LONG_STREAMS_SEED = 1
LONG_STREAMS_SECONDS = 6.0
HANGS_SEED = 3


class TestSoak(unittest.TestCase):
    def test_no_promise_is_broken_by_faults_from_outside(self):
        """Daemons are frozen, killed and stopped, and the store misbehaves.

        A caller would see a slip sent twice, an answer that is not its own, or
        a refusal of what has run.
        """
        record = play(SEED, seconds=SECONDS)
        self.assertEqual(find_problems(record), [], record.log)
        answered = [each for each in record.sent if each.answer.status == 200]
        self.assertGreater(len(answered), 20)

    # Guards against endpoints in need whose requests are lost or run twice.
    def test_no_promise_is_broken_beside_endpoints_in_need(self):
        record = play(SEED, seconds=SECONDS, has_needy_endpoints=True)
        self.assertEqual(find_problems(record), [], record.log)
        answered = [each for each in record.sent if each.answer.status == 200]
        self.assertGreater(len(answered), 20)

    # Guards against a stream that goes on at another software version.
    def test_no_promise_is_broken_where_two_versions_serve(self):
        record = play(SEED, seconds=SECONDS, has_versions=True)
        self.assertEqual(find_problems(record), [], record.log)
        versions = {run['version'] for run in record.seen['runs']}
        self.assertEqual(versions, {'v1', 'v2'})

    # Guards against streams that join versions, or that half of them ends,
    # where all daemons are killed around a release.
    def test_no_promise_is_broken_by_kills_around_releases(self):
        record = play(
            SEED, seconds=SECONDS, has_versions=True, has_rejoins=True
        )
        self.assertEqual(find_problems(record), [], record.log)
        versions = {run['version'] for run in record.seen['runs']}
        self.assertGreater(len(versions), 1)

    # Guards against streams of a version of which a daemon has not heard.
    def test_no_promise_is_broken_while_a_daemon_is_out_of_step(self):
        record = play(
            SEED, seconds=SECONDS, has_versions=True, has_out_of_step=True
        )
        self.assertEqual(find_problems(record), [], record.log)
        versions = {run['version'] for run in record.seen['runs']}
        self.assertGreater(len(versions), 1)

    # Guards against callers that fill a daemon's memory beside its faults.
    def test_no_promise_is_broken_beside_callers_that_misbehave(self):
        record = play(SEED, seconds=SECONDS, has_crowds=True)
        self.assertEqual(find_problems(record), [], record.log)
        answered = [each for each in record.sent if each.answer.status == 200]
        self.assertGreater(len(answered), 20)

    def test_no_promise_is_broken_at_a_site_with_relays(self):
        """Requests wait for engines while daemons and the store fail.

        A caller would see no answer in time, a refusal of what has run, or
        its request sent after it had left.
        """
        record = play(SEED, daemons=LARGE_SITES[0], seconds=LARGE_SITE_SECONDS)
        self.assertEqual(find_problems(record), [], record.log)
        self.assertGreater(record.waits, 0)

    # Guards against a prompt part that ends engines while callers repeat.
    def test_no_promise_is_broken_by_a_part_that_crashes_engines(self):
        record = play(SEED, seconds=SECONDS, has_bad_parts=True)
        self.assertEqual(find_problems(record), [], record.log)
        self.assertGreater(len(record.seen['crashes']), 1)

    # Guards against cut streams that look whole where a listener lives on.
    def test_no_promise_is_broken_by_engines_that_hang_before_they_exit(self):
        record = play(
            HANGS_SEED,
            seconds=LONG_STREAMS_SECONDS,
            has_long_streams=True,
            has_hangs=True,
        )
        self.assertEqual(find_problems(record), [], record.log)
        hung = record.seen['hung']
        cut = [run for run in record.seen['runs'] if run['replica'] in hung]
        self.assertGreater(len(cut), 0)

    # Guards against requests that a stopping daemon takes and cuts.
    def test_no_request_is_cut_by_stops_in_series(self):
        record = play(
            LONG_STREAMS_SEED,
            seconds=LONG_STREAMS_SECONDS,
            has_long_streams=True,
        )
        self.assertEqual(find_problems(record), [], record.log)
        answered = [each for each in record.sent if each.answer.status == 200]
        self.assertGreater(len(answered), 60)
        stops = [
            each
            for each in record.absences
            if each.kind is AbsenceKind.STOPPING
        ]
        self.assertGreater(len(stops), 1)


class BreakingCaller:
    """Gets two events of a stream each time it takes it up."""

    key = 'key-school'

    def __init__(self):
        self.resumed = []

    async def resume(self, last, entry, target, *, began, **_):
        behind = int(last_event_id(last.body))
        self.resumed.append((began, behind))
        body = b''.join(render_event('b', behind + n) for n in (1, 2))
        return answer_to(f'b{behind}', body=body, is_whole=behind >= 5)


class TestTakeUps(unittest.TestCase):
    # Guards against callers that take a stream up once and give it up then.
    def test_stream_that_breaks_off_again_is_taken_up_again(self):
        callers = Callers(entries=['d'], rng=random.Random(1))
        caller = BreakingCaller()
        broken = answer_to(body=render_event('a1', 1), is_whole=False)

        async def take_up():
            await callers._take_up(caller, callers.rng, '/question/1', broken)

        anyio.run(take_up)
        self.assertEqual(caller.resumed, [('a1', 1), ('a1', 3), ('a1', 5)])
        self.assertEqual([each.behind for each in callers.sent], [1, 3, 5])


def answer_to(id_='a1', **fields):
    fields = {'status': 200, 'is_whole': True, 'body': b'', **fields}
    fields = {'ended_at': 103.0, 'problem': '', 'whole_at': 100.0, **fields}
    fields = {'sent_at': 100.0, **fields}
    return SimpleNamespace(id=id_, headers=(), **fields)


def run_of(target, id_='a1', **fields):
    run = {'id': id_, 'target': target, 'tenant': 'school', 'is_moved': False}
    return run | {'ended_at': 103.0} | fields


def record_of(target, answer, runs, **fields):
    sent = Sent(
        target=target,
        key=fields.pop('key', 'key-school'),
        answer=answer,
        entry='d',
        patience_s=fields.get('patience_s'),
        limit_s=fields.pop('patience_s', None) or math.inf,
        has_left=fields.pop('has_left', False),
    )
    return Record(
        sent=[sent],
        seen={
            'runs': runs,
            'replicas': [{'id': 'i-0001'}],
            'crashes': [],
            'duty_calls': fields.pop('duty_calls', []),
        },
        revoked_at=fields.pop('revoked_at', None),
        log=[],
        serves_again=fields.pop('serves_again', True),
    )


class TestChecks(unittest.TestCase):
    """Each promise is broken in a record, and the checks have to see it."""

    def assert_seen(self, words, record):
        problems = find_problems(record)
        self.assertTrue(any(words in each for each in problems), problems)

    def test_slip_that_ran_twice(self):
        answer = answer_to(status=502)
        runs = [run_of('/slip/1'), run_of('/slip/1')]
        self.assert_seen('ran 2 times', record_of('/slip/1', answer, runs))

    def test_draft_that_was_moved_is_one_run(self):
        answer = answer_to(status=502)
        runs = [run_of('/draft/1'), run_of('/draft/1', is_moved=True)]
        self.assertEqual(
            find_problems(record_of('/draft/1', answer, runs)), []
        )

    def test_slip_that_was_called_not_run_and_ran(self):
        record = record_of(
            '/slip/1', answer_to(status=503), [run_of('/slip/1')]
        )
        self.assert_seen('called not run', record)

    def test_request_that_nobody_sent(self):
        record = record_of(
            '/slip/1', answer_to(status=502), [run_of('/slip/1', 'b2')]
        )
        self.assert_seen('nobody sent it', record)

    def test_request_that_ran_for_another_account(self):
        runs = [run_of('/slip/1', tenant='office')]
        record = record_of('/slip/1', answer_to(status=502), runs)
        self.assert_seen('ran for office', record)

    def test_key_that_was_taken_away(self):
        record = record_of(
            '/slip/1',
            answer_to(status=502),
            [run_of('/slip/1', tenant='office')],
            key=REVOKED_KEY,
            revoked_at=90.0,
        )
        self.assert_seen('after its key was taken away', record)

    def record_of_bad_part(self, count, **fields):
        """Return a record with so many late arrivals of a bad part."""
        record = record_of('/question/bad-1', answer_to(status=502), [])
        sent = record.sent[0]
        record.sent = [
            replace(sent, answer=answer_to(f'late-{number}', status=502))
            for number in range(count)
        ]
        record.seen['crashes'] = [
            {'at': 100.0 + number, 'replica': 'i-0001'} for number in range(6)
        ]
        record.seen['arrivals'] = [
            {
                'id': f'late-{number}',
                'replica': 'i-0001',
                'at': 108.0,
                'is_accepted': True,
            }
            for number in range(count)
        ]
        return replace(record, **fields)

    def test_part_that_goes_on_crashing_engines(self):
        words = '4 requests with a part that crashes engines'
        self.assert_seen(words, self.record_of_bad_part(4))
        self.assertEqual(find_problems(self.record_of_bad_part(3)), [])

    def test_part_that_a_daemon_sends_behind_its_freeze(self):
        frozen = Absence(
            entry='d', kind=AbsenceKind.FROZEN, start=104.0, end=106.0
        )
        record = self.record_of_bad_part(4, absences=[frozen])
        self.assertEqual(find_problems(record), [])
        frozen.end = 104.5
        self.assert_seen('a part that crashes engines', record)

    def test_stream_that_misses_an_event(self):
        events = [render_event('a1', number) for number in range(EVENTS)]
        answer = answer_to(body=b''.join(events))
        record = record_of('/draft/1', answer, [run_of('/draft/1')])
        self.assert_seen('out of order', record)

    def test_stream_that_ends_early_as_whole(self):
        events = [render_event('a1', number) for number in range(1, EVENTS)]
        answer = answer_to(body=b''.join(events))
        record = record_of('/draft/1', answer, [run_of('/draft/1')])
        self.assert_seen('as whole', record)

    def test_stream_that_goes_on_at_another_version(self):
        began = run_of(
            '/question/1', version='v1', resumes='', resumed_behind=0
        )
        resumed = run_of(
            '/question/1', 'b2', version='v2', resumes='a1', resumed_behind=3
        )
        runs = [began | {'began_at': 1.0}, resumed | {'began_at': 2.0}]
        record = record_of('/question/1', answer_to(status=502), runs)
        self.assert_seen('a1 of v1 goes on at v2', record)

    def test_success_that_no_replica_made(self):
        record = record_of('/slip/1', answer_to(), [run_of('/slip/1')])
        self.assert_seen('no replica made', record)

    def test_window_that_was_reported_in_two_ways(self):
        calls = [
            {
                'path': '/usage',
                'holder': holder,
                'fencing': fencing,
                'is_taken': True,
                'body': {'windowNumber': 5, 'counts': {'school': count}},
            }
            for holder, fencing, count in (('one', 1, 3), ('two', 2, 4))
        ]
        record = record_of(
            '/slip/1', answer_to(status=502), [], duty_calls=calls
        )
        self.assert_seen('reported in 2 ways', record)
        calls[1]['fencing'] = 1
        self.assert_seen('one and two used 1', record)

    def test_engine_that_had_a_request_that_was_refused(self):
        """The engine queued it; whether it would run was not known."""
        record = record_of('/question/1', answer_to(status=503), [])
        self.note_arrival(record, 99.0, is_accepted=False)
        self.assertEqual(find_problems(record), [])
        self.note_arrival(record, 99.0)
        self.assert_seen('an engine had it', record)

    def test_request_that_was_sent_after_its_caller_had_left(self):
        record = record_of(
            '/draft/1', answer_to(status=None), [], has_left=True
        )
        self.note_arrival(record, 103.2)
        self.assertEqual(find_problems(record), [])
        record.seen['arrivals'].clear()
        self.note_arrival(record, 105.0)
        self.assert_seen('after its caller had left', record)

    def test_caller_that_got_no_answer(self):
        answer = answer_to(status=None, is_whole=False, problem='over')
        record = record_of('/draft/1', answer, [], patience_s=2.0)
        self.assert_seen('got no answer', record)
        for kind in (AbsenceKind.FROZEN, AbsenceKind.KILLED):
            record.absences[:] = [
                Absence(entry='d', kind=kind, start=90.0, end=100.5)
            ]
            self.assertEqual(find_problems(record), [])

    def test_answer_after_the_deadline(self):
        answer = answer_to(status=503)
        record = record_of('/draft/1', answer, [], patience_s=2.0)
        self.assert_seen('after 3.00 of 2 s', record)
        record = record_of('/draft/1', answer, [], patience_s=2.6)
        self.assertEqual(find_problems(record), [])

    def test_requests_that_are_stuck_in_a_queue(self):
        record = record_of('/slip/1', answer_to(status=502), [])
        record.still_waiting = 2.0
        self.assert_seen('2 requests wait for nobody', record)
        record.serves_after_burst = False
        self.assert_seen('serves no stream after a burst', record)

    def note_arrival(self, record, at, *, is_accepted=True):
        arrival = {'id': 'a1', 'at': at, 'is_accepted': is_accepted}
        record.seen.setdefault('arrivals', []).append(arrival)

    def test_daemon_that_serves_no_more(self):
        record = record_of(
            '/slip/1', answer_to(status=502), [], serves_again=False
        )
        self.assert_seen('serves no more', record)


class TestStopChecks(unittest.TestCase):
    """Requests at a daemon that gets SIGTERM at 98 s; its grace ends at 106.

    A request is sent at 100 s; its draft is cut at 105 s if not said
    otherwise.
    """

    def record(self, *, gone_at=105.5, replica='i-0001', **fields):
        fields = {'status': 200, 'is_whole': False, 'ended_at': 105.0} | fields
        target = fields.pop('target', '/draft/1')
        arrivals, ran_until = fields.pop('arrivals', 1), fields['ended_at']
        run = run_of(target, ended_at=fields.pop('ran_until', ran_until))
        patience_s = fields.pop('patience_s', None)
        record = record_of(
            target,
            answer_to(problem='ended', **fields),
            [run] if arrivals else [],
            patience_s=patience_s,
        )
        record.seen['arrivals'] = [
            {'id': 'a1', 'at': 100.1, 'is_accepted': True, 'replica': replica}
        ] * arrivals
        record.absences.append(
            Absence(
                entry='d',
                kind=AbsenceKind.STOPPING,
                start=98.0,
                gone_at=gone_at,
            )
        )
        return record

    def assert_lost(self, record):
        problems = find_problems(record)
        self.assertTrue(any('was lost' in each for each in problems), problems)

    def assert_kept(self, record):
        self.assertEqual(find_problems(record), [])

    def test_stream_that_is_cut_late_in_the_grace_period(self):
        self.assert_kept(self.record())
        self.assert_lost(self.record(ended_at=104.6))
        self.assert_lost(self.record(sent_at=101.1, whole_at=101.1))
        self.assert_lost(self.record(sent_at=100.9, whole_at=101.1))

    # Guards against an excuse by a run that ended long before the cut.
    def test_stream_whose_endpoint_had_ended_is_lost(self):
        self.assert_lost(self.record(ran_until=104.6))
        self.assert_kept(self.record(ran_until=None))

    def test_request_that_waited_at_an_endpoint_is_lost(self):
        record = self.record()
        record.seen['runs'].clear()
        self.assert_lost(record)

    def test_request_that_got_no_answer_and_was_passed_on_is_lost(self):
        self.assert_lost(self.record(status=None, ended_at=100.1))

    def test_request_that_crossed_the_close(self):
        fields = {'status': None, 'arrivals': 0}
        self.assert_kept(self.record(ended_at=100.1, **fields))
        self.assert_lost(self.record(ended_at=100.3, **fields))
        self.assert_kept(self.record(ended_at=101.6, whole_at=101.5, **fields))
        self.assert_kept(self.record(ended_at=101.6, whole_at=None, **fields))

    def test_limit_that_was_reached(self):
        self.assert_kept(self.record(ended_at=102.95, target='/question/1'))
        self.assert_lost(self.record(ended_at=102.8, target='/question/1'))
        self.assert_kept(self.record(ended_at=104.0, patience_s=4.0))
        self.assert_lost(self.record(ended_at=103.8, patience_s=4.0))

    # Guards against a caller's deadline that hides a request that was cut.
    def test_stop_is_no_absence_before_its_process_has_ended(self):
        fields = {'status': None, 'ended_at': 101.0, 'patience_s': 4.0}
        self.assert_lost(self.record(**fields))
        gone = self.record(gone_at=99.0, arrivals=0, **fields)
        self.assert_kept(gone)
        gone.absences[0].end = 99.5
        problems = find_problems(gone)
        self.assertIn('got no answer', ''.join(problems))

    def test_request_at_another_time_or_daemon(self):
        self.assert_kept(self.record(gone_at=99.9))
        record = self.record(ended_at=104.0)
        record.absences[0].entry = 'e'
        self.assert_kept(record)
        record.absences[0].entry = 'd'
        record.absences[0].start = 104.1
        self.assert_kept(record)

    def test_unplanned_disruption_of_the_daemon(self):
        for kind, end, is_kept in (
            (AbsenceKind.FROZEN, 97.1, True),
            (AbsenceKind.FROZEN, 96.9, False),
            (AbsenceKind.KILLED, 200.0, False),
        ):
            record = self.record(ended_at=104.0)
            record.absences.append(
                Absence(entry='d', kind=kind, start=96.0, end=end)
            )
            (self.assert_kept if is_kept else self.assert_lost)(record)
        record.absences[-1].start = 97.1
        self.assert_kept(record)
        record.absences[-1].entry = 'e'
        self.assert_lost(record)

    def test_unplanned_disruption_of_an_endpoint_or_a_way(self):
        for place, start, end, is_kept in (
            ('i-0001', 104.1, 105.0, False),
            ('i-0001', 96.0, 96.9, False),
            ('i-0001', 96.0, 97.1, True),
            ('i-0001', 103.9, 103.9, True),
            ('i-0002', 103.9, 103.9, False),
            ('d', 103.9, 103.9, True),
            ('e', 103.9, 103.9, False),
        ):
            record = self.record(ended_at=104.0)
            record.disruptions.append(
                Disruption(place=place, start=start, end=end)
            )
            (self.assert_kept if is_kept else self.assert_lost)(record)

    def test_engine_that_a_prompt_part_crashed_disrupts_others(self):
        for target, at, is_kept in (
            ('/draft/1', 101.9, True),
            ('/draft/1', 102.1, False),
            ('/draft/1', 96.9, False),
            ('/slip/1', 101.9, False),
        ):
            record = self.record(target=target, ended_at=102.0)
            record.seen['crashes'].append({'at': at, 'replica': 'i-0002'})
            record.disruptions.append(
                Disruption(place='i-0002', start=at, end=at)
            )
            (self.assert_kept if is_kept else self.assert_lost)(record)

    # Guards against a loss where the answer before it broke off.
    def test_request_behind_an_answer_that_its_endpoint_broke_off(self):
        for place, ahead_id, is_kept in (
            ('i-0002', 'a0', True),
            ('i-0003', 'a0', False),
            ('i-0002', '', False),
        ):
            record = self.record(status=None, ended_at=101.0, arrivals=0)
            record.sent[0] = replace(record.sent[0], ahead_id=ahead_id)
            record.seen['arrivals'].append(
                {
                    'id': 'a0',
                    'at': 99.0,
                    'is_accepted': True,
                    'replica': 'i-0002',
                }
            )
            record.disruptions.append(
                Disruption(place=place, start=100.5, end=100.5)
            )
            (self.assert_kept if is_kept else self.assert_lost)(record)

    # Guards against a request that was read behind an answer, and dropped.
    def test_request_behind_an_answer_that_the_stop_cut(self):
        for problem, arrivals, is_kept in (
            ('BrokenResourceError', 0, True),
            ('BrokenResourceError', 1, False),
            ('closed within an answer', 0, False),
        ):
            record = self.record(
                status=None, ended_at=104.0, arrivals=arrivals
            )
            second = replace(record.sent[0], ahead_id='a0')
            answer = answer_to('a0', is_whole=False, problem=problem)
            # At another daemon, so that only the second request is judged.
            first = replace(second, answer=answer, entry='e', ahead_id='')
            record.sent = [first, second]
            (self.assert_kept if is_kept else self.assert_lost)(record)

    def test_stop_that_lasts_longer_than_the_grace_period(self):
        self.assert_kept(self.record(gone_at=106.0))
        record = self.record(gone_at=106.1)
        self.assertIn('took 8.10 s to stop', ''.join(find_problems(record)))
        frozen = Absence(
            entry='d', kind=AbsenceKind.FROZEN, start=97.0, end=105.2
        )
        record.absences.append(frozen)
        self.assert_kept(record)
        frozen.end = 105.0
        self.assertIn('took 8.10 s to stop', ''.join(find_problems(record)))
        record = self.record(gone_at=math.inf)
        self.assertIn('inf s to stop', ''.join(find_problems(record)))

    # Guards against cuts that pass because the daemon answers them.
    def test_failure_that_a_stopping_daemon_answers_is_a_cut(self):
        for status in (500, 502):
            fields = {'status': status, 'is_whole': True}
            self.assert_lost(self.record(ended_at=104.0, **fields))
            self.assert_kept(self.record(ended_at=105.0, **fields))
            record = self.record(ended_at=104.0, **fields)
            proof = ((b'X-Replica-Signature', b'p'),)
            record.sent[0].answer.headers = proof
            self.assert_kept(record)

    # Guards against a stopping daemon that holds a request without an answer.
    def test_request_that_is_held_beyond_its_limit(self):
        fields = {'status': None, 'patience_s': 4.0}
        self.assert_kept(self.record(ended_at=104.4, **fields))
        record = self.record(ended_at=104.6, **fields)
        self.assertIn('got no answer', ''.join(find_problems(record)))

    def test_refusal_of_what_an_endpoint_had(self):
        for status in (408, 421, 429, 503):
            record = self.record(status=status, is_whole=True)
            self.assertIn('an engine had it', ''.join(find_problems(record)))
