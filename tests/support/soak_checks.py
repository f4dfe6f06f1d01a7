"""Promises checked from what callers and the platform saw in a soak."""

from collections import defaultdict

from mimosamux_standins.site.replica import render_event, sign

from tests.support.soak import KEYS, REVOKED_KEY

PROMISES = (408, 421, 429, 503)
MAY_REPEAT = ('/list/', '/question/')
STREAMS = ('/draft/', '/question/')
EVENTS = 12
REVOCATION_S = 5.0
PROBE = 'probe-'


def find_problems(record):
    """Return every broken promise, in words."""
    sent_by_id = {each.answer.id: each for each in record.sent}
    runs_by_id = defaultdict(list)
    for run in record.seen['runs']:
        runs_by_id[run['id']].append(run)
    problems = [] if record.serves_again else ['a daemon serves no more']
    for id_, runs in runs_by_id.items():
        if not id_.startswith(PROBE):
            problems += _check_runs(record, id_, runs, sent_by_id.get(id_))
    for sent in record.sent:
        problems += _check_answer(record, sent, runs_by_id[sent.answer.id])
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
    if sent.target.startswith(STREAMS):
        yield from _check_events(answer)
    elif answer.is_whole:
        yield from _check_proof(record, answer)


def _check_events(answer):
    count = answer.body.count(b'\n\n')
    expected = b''.join(
        render_event(answer.id, number) for number in range(1, EVENTS + 1)
    )
    if answer.is_whole and answer.body != expected:
        yield f'{answer.id} got {count} of {EVENTS} events as whole'
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
