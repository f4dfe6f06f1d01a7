"""What a daemon that was asked to stop owes, checked in a soak's record."""

import math

from tests.support.soak_record import AbsenceKind
from tests.support.stops import (
    EXCUSED_SHARE,
    GRACE_S,
    Attempt,
    find_fate,
)

CONTACT_S = 3.0
"""Time for which an unplanned disruption excuses what begins behind it."""
STOP_EXCEEDS_S = 1.0
"""Time behind the grace period in which a request still counts."""
LIMIT_S = 3.0
"""Time limit of each route but that of drafts."""
DRAFT_LIMIT_S = 15.0
THAW_S = 1.0
"""Time for which a daemon may run behind a freeze that outlasts its stop."""
ENGINE_TARGETS = ('/draft/', '/question/')
OWN_FAILURES = (500, 502)
PROOF = b'x-replica-signature'
"""Header of each answer that an endpoint has made."""
RESET = 'BrokenResourceError'
"""Problem of an answer whose connection was reset."""


def check_stops(record):
    """Yield each stop that lasted longer than the grace period."""
    for stop in record.absences:
        if stop.kind is not AbsenceKind.STOPPING:
            continue
        if stop.gone_at > _find_latest_end(record, stop):
            took_s = stop.gone_at - stop.start
            yield f'{stop.entry} took {took_s:.2f} s to stop'


def check_cut(record, sent, arrivals, runs, *, ahead=(), sent_ahead=None):
    """Yield a request that was lost at a daemon that was asked to stop.

    `sent_ahead` is the request that was to be answered before it, `ahead`
    tells where that arrived: behind an answer that breaks off, nothing can
    follow on the connection.
    """
    stop = find_stop(record, sent)
    answer = sent.answer
    if stop is None or sent.has_left or answer.whole_at is None:
        return
    accepted = [each for each in arrivals if each['is_accepted']]
    waited_s = answer.whole_at - answer.sent_at
    fate = find_fate(
        Attempt(
            id=answer.id,
            sent_at=answer.whole_at,
            ended_at=answer.ended_at,
            status=answer.status,
            is_whole=answer.is_whole and not _is_own_failure(answer),
            patience_s=find_limit_s(sent) - waited_s,
            is_unread=_is_left_unread(sent_ahead),
        ),
        signalled_at=stop.start,
        was_passed_on=bool(accepted),
    )
    if fate == 'excused' and not _is_at_work_late(runs, stop):
        fate = 'lost'
    endpoints = {
        each['replica'] for each in (*accepted, *ahead) if each['is_accepted']
    }
    if sent.target.startswith(ENGINE_TARGETS):
        # A crash may come before the engine has noted what reaches it, or at
        # the engine that a stream is moved to.
        endpoints |= {each['replica'] for each in record.seen['crashes']}
        endpoints.update(record.seen.get('hung', ()))
    if fate == 'lost' and not _is_disrupted(record, sent, endpoints):
        sent_s, whole_s, ended_s = (
            round(at - stop.start, 2)
            for at in (answer.sent_at, answer.whole_at, answer.ended_at)
        )
        yield (
            f'{answer.id} ({sent.target}) to {sent.entry} was lost: sent from'
            f' {sent_s} to {whole_s} s and ended {ended_s} s behind SIGTERM,'
            f' {"" if accepted else "not "}passed on, {answer.status}'
            f' {answer.problem}'
        )


def find_stop(record, sent):
    """Return the stop of its daemon that a request fell into, or None."""
    stops = [
        stop
        for stop in record.absences
        if stop.kind is AbsenceKind.STOPPING
        and stop.entry == sent.entry
        and stop.start <= sent.answer.ended_at
        and sent.answer.sent_at
        <= min(stop.gone_at, stop.start + GRACE_S + STOP_EXCEEDS_S)
    ]
    return min(stops, key=lambda stop: stop.start, default=None)


def _is_left_unread(sent_ahead):
    """Whether a request behind a broken answer lay unread at the end.

    The kernel resets a connection that is closed with bytes unread, and ends
    it in order if all were read; a daemon resets no caller's connection.
    """
    if sent_ahead is None:
        return False
    answer = sent_ahead.answer
    return not answer.is_whole and answer.problem.startswith(RESET)


def find_limit_s(sent):
    """Return the time limit of a request, the caller's or the route's."""
    route_s = DRAFT_LIMIT_S if '/draft/' in sent.target else LIMIT_S
    return min(sent.limit_s, route_s)


def _find_latest_end(record, stop):
    """Return until when a daemon may stop: its signal may come by a thaw."""
    thaws = [
        each.end
        for each in record.absences
        if each.kind is AbsenceKind.FROZEN
        and each.entry == stop.entry
        and each.start <= stop.gone_at
    ]
    last_thaw = max(thaws, default=-math.inf)
    return max(stop.start + GRACE_S, last_thaw + THAW_S)


def _is_own_failure(answer):
    """Whether the daemon failed a request, and not its endpoint."""
    names = {name.lower() for name, _ in answer.headers}
    return answer.status in OWN_FAILURES and PROOF not in names


def _is_at_work_late(runs, stop):
    """Whether an endpoint still ran it in the last part of the stop."""
    late_at = stop.start + EXCUSED_SHARE * GRACE_S
    return any(
        run['ended_at'] is None or run['ended_at'] >= late_at for run in runs
    )


def _is_disrupted(record, sent, endpoints):
    """Whether something unplanned hit its daemon or one of the endpoints."""
    spans = [
        (each.start, each.end)
        for each in record.disruptions
        if each.place in endpoints or each.place == sent.entry
    ]
    for each in record.absences:
        if each.entry == sent.entry:
            if each.kind is AbsenceKind.FROZEN:
                spans.append((each.start, each.end))
            elif each.kind is AbsenceKind.KILLED:
                spans.append((each.start, each.start))
    return any(
        start <= sent.answer.ended_at
        and end >= sent.answer.sent_at - CONTACT_S
        for start, end in spans
    )
