"""Promises checked from what callers and the platform saw in a soak."""

from collections import defaultdict
from types import SimpleNamespace

from mimosamux_standins.site.replica import render_event, sign

from tests.support.crowds import MIB
from tests.support.site_checks import find_joined_versions
from tests.support.soak_bad_parts import check_bad_parts
from tests.support.soak_callers import KEYS, REVOKED_KEY, STREAM_TARGETS
from tests.support.soak_crowds import ID as CROWD
from tests.support.soak_crowds import VM_MEMORY_MB
from tests.support.soak_record import AbsenceKind
from tests.support.soak_stop_checks import (
    check_cut,
    check_stops,
    find_limit_s,
    find_stop,
)
from tests.support.stops import GRACE_S, PROMISES

MAY_REPEAT = ('/list/', '/question/')
REVOCATION_S = 5.0
PROBE = 'probe-'
LAG_S = 0.5
"""Delay of a process of the test on a busy machine."""
IN_FLIGHT_S = 0.5
"""Time between a send and its arrival at an engine on a busy machine."""


def find_problems(record):
    """Return every broken promise, in words."""
    sent_by_id = {each.answer.id: each for each in record.sent}
    runs_by_id = defaultdict(list)
    for run in record.seen['runs']:
        runs_by_id[run['id']].append(run)
    arrivals_by_id = defaultdict(list)
    for arrival in record.seen.get('arrivals', ()):
        arrivals_by_id[arrival['id']].append(arrival)
    problems = [] if record.serves_again else ['a daemon serves no more']
    if not record.serves_after_burst:
        problems.append('a daemon serves no stream after a burst')
    if record.still_waiting:
        problems.append(f'{record.still_waiting:g} requests wait for nobody')
    if record.most_memory_bytes > VM_MEMORY_MB * MIB:
        problems.append(f'a daemon took {record.most_memory_bytes} bytes')
    for id_, runs in runs_by_id.items():
        if not id_.startswith((PROBE, CROWD)):
            problems += _check_runs(record, id_, runs, sent_by_id.get(id_))
    for sent in record.sent:
        problems += _check_answer(record, sent, runs_by_id[sent.answer.id])
        arrivals = arrivals_by_id[sent.answer.id]
        problems += _check_wait(record, sent, arrivals)
        problems += check_cut(
            record,
            sent,
            arrivals,
            runs_by_id[sent.answer.id],
            ahead=arrivals_by_id[sent.ahead_id] if sent.ahead_id else (),
            sent_ahead=sent_by_id.get(sent.ahead_id),
        )
    runs = [SimpleNamespace(**run) for run in record.seen['runs']]
    if all('version' in run for run in record.seen['runs']):
        runs.sort(key=lambda run: run.began_at)
        problems += find_joined_versions(runs)
    problems += check_stops(record)
    problems += check_bad_parts(record)
    return [*problems, *_check_duties(record.seen['duty_calls'])]


def _check_runs(record, id_, runs, sent):
    if sent is None:
        yield f'{id_} ran and nobody sent it'
        return
    first = [run for run in runs if not run['is_moved']]
    if not sent.target.startswith(MAY_REPEAT) and len(first) > 1:
        yield f'{id_} ({sent.target}) ran {len(first)} times'
    for run in runs:
        if run['target'] != sent.target:
            yield f'{id_} for {sent.target} ran as {run["target"]}'
        if run['tenant'] != KEYS[sent.key]:
            yield f'{id_} ran for {run["tenant"]}'
    if sent.key == REVOKED_KEY and record.revoked_at is not None:
        late_s = sent.answer.sent_at - record.revoked_at
        if late_s > REVOCATION_S:
            yield f'{id_} ran {late_s:.1f} s after its key was taken away'


def _check_answer(record, sent, runs):
    answer = sent.answer
    may_repeat = sent.target.startswith(MAY_REPEAT)
    if answer.status in PROMISES and runs and not may_repeat:
        yield f'{answer.id} ({sent.target}) was called not run, and ran'
    if answer.status != 200:
        return
    if sent.target.startswith(STREAM_TARGETS):
        events = record.speed.events_of(sent.target)
        yield from _check_events(answer, sent.behind, events)
    elif answer.is_whole:
        yield from _check_proof(record, answer)


def _check_wait(record, sent, arrivals):
    answer = sent.answer
    is_refused = answer.status in PROMISES
    if is_refused and any(each['is_accepted'] for each in arrivals):
        yield f'{answer.id} ({sent.target}) was refused, and an engine had it'
    first_at = min((each['at'] for each in arrivals), default=0.0)
    late_s = first_at - answer.ended_at
    if sent.has_left and late_s > IN_FLIGHT_S:
        yield (
            f'{answer.id} ({sent.target}) was sent {late_s:.2f} s after its'
            ' caller had left'
        )
    if sent.patience_s is None or _was_absent(record, sent):
        return
    limit_s = find_limit_s(sent)
    took_s = answer.ended_at - answer.sent_at
    if answer.status is None:
        if find_stop(record, sent) is not None and took_s <= limit_s + LAG_S:
            return
        yield (
            f'{answer.id} ({sent.target}) to {sent.entry} got no answer in'
            f' {took_s:.2f} s: {answer.problem}'
        )
    elif took_s > limit_s + LAG_S:
        yield (
            f'{answer.id} ({sent.target}) was answered with {answer.status}'
            f' after {took_s:.2f} of {limit_s:g} s'
        )


def _was_absent(record, sent):
    """Whether the daemon could not answer for a part of the time."""
    return any(
        absence.entry == sent.entry
        and _find_start(absence) <= sent.answer.ended_at
        and absence.end >= sent.answer.sent_at
        for absence in record.absences
    )


def _find_start(absence):
    """Return from when a daemon need not answer."""
    if absence.kind is AbsenceKind.STOPPING:
        return min(absence.gone_at, absence.start + GRACE_S)
    return absence.start


def _check_events(answer, behind, events):
    count = answer.body.count(b'\n\n')
    expected = b''.join(
        render_event(answer.id, number)
        for number in range(behind + 1, events + 1)
    )
    if answer.is_whole and answer.body != expected:
        yield f'{answer.id} got {count} of {events} events as whole'
    if not expected.startswith(answer.body):
        yield f'{answer.id} got events out of order'


def _check_proof(record, answer):
    headers = {name.lower(): value for name, value in answer.headers}
    proof = headers.get(b'x-replica-signature')
    makers = [each['id'] for each in record.seen['replicas']]
    if not any(sign(id_, answer.id, answer.body) == proof for id_ in makers):
        yield f'{answer.id} got a success that no replica made'


def _check_duties(calls):
    counts, holders = defaultdict(set), {}
    for call in calls:
        if not call['is_taken']:
            continue
        holder = holders.setdefault(call['fencing'], call['holder'])
        if holder != call['holder']:
            yield f'{holder} and {call["holder"]} used {call["fencing"]}'
        if call['path'] == '/usage':
            body = call['body']
            counts[body['windowNumber']].add(str(body['counts']))
    for window, different in counts.items():
        if len(different) > 1:
            yield f'window {window} was reported in {len(different)} ways'
