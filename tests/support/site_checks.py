"""Promises checked from what callers, replicas and the platform saw."""

from collections import Counter, defaultdict

from mimosamux_standins.site.replica import render_event, sign

from tests.support.platform_site import WALL_START

PROMISES = (408, 421, 429, 503)
DRAIN_S = 2.0
REVOCATION_S = 5.0
LEASE_S = 3.0
TOUCH_S = 3.0
"""Time without trouble after which bounds on time hold."""


def find_problems(site, log):
    """Return every broken promise, in words."""
    return [
        *_check_runs(site, log),
        *find_joined_versions(site.runs()),
        *_check_answers(site, log),
        *_check_keys(site, log),
        *_check_leaving(site, log),
        *_check_caps(site),
        *_check_retries(site, log),
        *_check_duties(site),
        *log.reverted,
    ]


def may_repeat(target):
    return target.startswith(('/list/', '/question/'))


def _first_runs(runs):
    return [run for run in runs if not run.kv_source]


def _check_runs(site, log):
    runs_by_id = defaultdict(list)
    for run in site.runs():
        runs_by_id[run.id].append(run)
    for id_, runs in runs_by_id.items():
        sent = log.sent_by_id.get(id_)
        if sent is None:
            yield f'{id_} ran and nobody sent it'
            continue
        for run in runs:
            yield from _compare(site, log, run, sent)
        if not may_repeat(sent.target) and len(_first_runs(runs)) > 1:
            yield f'{id_} ({sent.target}) ran {len(runs)} times'
        for run, after in zip(runs, runs[1:], strict=False):
            if after.kv_source and run.ended_at is None:
                yield f'{id_} went on elsewhere while it still ran'


def find_joined_versions(runs):
    """Return the streams that went on at another version, in words.

    A stream is a request and those that take it up.
    """
    version_by_stream, joined = {}, []
    for run in runs:
        stream = run.resumes or run.id
        began = version_by_stream.setdefault(stream, run.version)
        if not run.resumed_behind:
            version_by_stream[stream] = run.version
        elif run.version != began:
            joined.append(f'{stream} of {began} goes on at {run.version}')
    return joined


def _compare(site, log, run, sent):
    """Yield how a run differs from what its caller sent."""
    if (run.method, run.target, run.body) != (
        sent.method,
        sent.target,
        sent.body,
    ):
        yield f'{run.id} ran as {run.method} {run.target}'
    service = site.replicas_by_id[run.replica].service
    if service != sent.service:
        yield f'{run.id} for {sent.service} ran at {service}'
    if run.tenant != log.account_by_key.get(sent.key):
        yield f'{run.id} ran for {run.tenant}'


def _check_answers(site, log):
    ran = {run.id for run in site.runs()}
    for answer in log.answers():
        sent = log.sent_by_id[answer.id]
        is_promise = answer.status in PROMISES
        if is_promise and not may_repeat(sent.target) and answer.id in ran:
            yield f'{answer.id} was called not run, and ran'
        if answer.status == 200 and answer.is_whole:
            yield from _check_success(site, sent, answer)
        elif answer.status == 200 and sent.is_stream:
            yield from _check_events(sent, answer, is_whole=False)


def _check_success(site, sent, answer):
    if sent.is_stream:
        yield from _check_events(sent, answer, is_whole=True)
        return
    headers = {name.lower(): value for name, value in answer.headers}
    proof = headers.get(b'x-replica-signature')
    makers = [
        replica.id
        for replica in site.replicas_by_id.values()
        if sign(replica.id, answer.id, answer.body) == proof
    ]
    if not makers:
        yield f'{answer.id} got a success that no replica made'


def _check_events(sent, answer, *, is_whole):
    count = answer.body.count(b'\n\n')
    numbers = range(sent.behind + 1, sent.behind + count + 1)
    expected = b''.join(render_event(answer.id, each) for each in numbers)
    if not is_whole:
        # The last event may have been cut on its way to the caller.
        whole = answer.body[: answer.body.rfind(b'\n\n') + 2]
        if count and whole != expected:
            yield f'{answer.id} got events out of order'
        return
    if answer.body != expected or sent.behind + count != sent.events:
        yield f'{answer.id} got {count} of {sent.events} events as whole'


def _check_keys(site, log):
    for run in site.runs():
        sent = log.sent_by_id.get(run.id)
        if sent is None or sent.key not in log.revoked_at_by_key:
            continue
        late_s = sent.at - log.revoked_at_by_key[sent.key]
        if late_s > REVOCATION_S:
            yield f'{run.id} ran {late_s:.2f} s after its key was taken away'


def _check_leaving(site, log):
    for replica_id, at in log.drained_at_by_id.items():
        replica = site.replicas_by_id[replica_id]
        for when, id_ in replica.arrivals:
            if when > at + DRAIN_S and log.is_calm(when, TOUCH_S):
                yield f'{id_} reached {replica_id} {when - at:.2f} s later'


def _check_caps(site):
    window_s = site.caps.window_s
    times_by_tenant = defaultdict(list)
    for run in _first_runs(site.runs()):
        times_by_tenant[run.tenant].append(run.began_at)
    for tenant in site.document.tenants:
        if 'ratePerS' not in tenant:
            continue
        allowed = tenant['ratePerS'] * window_s + tenant['burst']
        allowed = allowed * (1 + site.caps.overage) + site.caps.tolerance
        times = times_by_tenant[tenant['name']]
        for start in times:
            count = sum(start <= at < start + window_s for at in times)
            if count > allowed:
                yield f'{tenant["name"]} used {count} of {allowed:.0f}'
                break


def _check_retries(site, log, share=0.2, extra=58.0, window_s=10.0):
    for service in ('app', 'llm'):
        first_at, again = {}, []
        arrivals = sorted(
            arrival
            for replica in site.replicas_by_id.values()
            if replica.service == service
            for arrival in replica.arrivals
        )
        for at, id_ in arrivals:
            if id_ in first_at:
                again.append(at)
            first_at.setdefault(id_, at)
        sent = [s.at for s in log.sent_by_id.values() if s.service == service]
        for start in again:
            end = start + window_s
            count = sum(start <= at < end for at in again)
            requests = sum(start <= at < end for at in sent)
            if count > share * requests + extra:
                yield f'{service} got {count} repeats of {requests} requests'
                break


def _check_duties(site):
    reports = defaultdict(set)
    holders = []
    by_number = {}
    for call in site.cloud.calls:
        if not call.is_taken:
            continue
        if call.path == '/usage':
            counts = tuple(sorted(call.body['counts'].items()))
            reports[call.body['windowNumber']].add(counts)
        if by_number.setdefault(call.fencing, call.holder) != call.holder:
            yield f'{call.fencing} is the number of two holders'
        if not holders or holders[-1][1] != call.holder:
            holders.append((call.at, call.holder))
    for window, different in reports.items():
        if len(different) > 1:
            yield f'window {window - int(WALL_START // 5)} has two reports'
    for first, third in zip(holders, holders[2:], strict=False):
        if first[1] == third[1] and third[0] - first[0] < LEASE_S:
            yield f'{first[1]} acted again after {third[0] - first[0]:.2f} s'


def describe(problems):
    """Return the problems, the same ones counted together."""
    return '\n'.join(
        f'{count} x {problem}' for problem, count in Counter(problems).items()
    )
