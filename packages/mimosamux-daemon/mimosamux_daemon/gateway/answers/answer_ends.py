"""Decides whether an answer that has ended is whole.

An answer with neither a length nor chunks ends with its connection. A
connection also ends with the process at its other side, and with the run that
this daemon stops for a move. Such an answer is whole only if both are ruled
out: its run was not stopped, and its process has answered a question since.
"""

from mimosamux_daemon.domain.answer_ends import AnswerEnd, EndEvidence
from mimosamux_daemon.gateway.attempts import Attempt
from mimosamux_daemon.gateway.streams.running_stream import RunningStream
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.endpoint_calls import CallBroken, ProcessState

log = get_log('answer_ends')

BREAK_BY_EVIDENCE = {
    EndEvidence.RUN_STOPPED: CallBroken(
        reason='its run was stopped for a move'
    ),
    EndEvidence.PROCESS_ENDED: CallBroken(
        reason='its process ended with its connection'
    ),
    EndEvidence.PROCESS_REPLACED: CallBroken(
        reason='another process is at its address'
    ),
    EndEvidence.PROCESS_UNIDENTIFIED: CallBroken(
        reason='what answers at its address may be another process'
    ),
    EndEvidence.PROCESS_SILENT: CallBroken(
        reason='its process may have ended with its connection'
    ),
}
"""Results of calls whose answers, by all that came, could be whole."""
EVIDENCE_BY_STATE = {
    ProcessState.RUNNING: EndEvidence.PROCESS_ANSWERED,
    ProcessState.ENDED: EndEvidence.PROCESS_ENDED,
    ProcessState.REPLACED: EndEvidence.PROCESS_REPLACED,
    ProcessState.UNIDENTIFIED: EndEvidence.PROCESS_UNIDENTIFIED,
    ProcessState.UNKNOWN: EndEvidence.PROCESS_SILENT,
}


async def find_cut(
    attempt: Attempt, stream: RunningStream | None = None
) -> CallBroken | None:
    """Return what may have cut an answer that has ended, None: it is whole.

    `stream` is the answer's run, if it is one that can be moved.
    """
    clock = attempt.recorder.clock
    ended_at = clock()
    evidence = await _find_evidence(attempt, stream)
    attempt.job.answer_end = end = AnswerEnd(
        framing=attempt.framing,
        via=attempt.via,
        evidence=evidence,
        wait_s=clock() - ended_at,
    )
    _record(attempt, end)
    return BREAK_BY_EVIDENCE.get(evidence)


async def _find_evidence(
    attempt: Attempt, stream: RunningStream | None
) -> EndEvidence:
    if not attempt.ends_with_connection:
        return EndEvidence.FRAMED
    if stream is not None and await stream.may_have_stopped():
        return EndEvidence.RUN_STOPPED
    return EVIDENCE_BY_STATE[await attempt.find_process_state()]


def _record(attempt: Attempt, end: AnswerEnd) -> None:
    metrics = attempt.recorder.metrics
    service = attempt.job.service.name
    metrics.answer_ends.inc(
        {'service': service, 'framing': end.framing, 'end': end.evidence}
    )
    if not attempt.ends_with_connection:
        return
    metrics.end_wait_s.observe({'service': service}, end.wait_s)
    if end.evidence not in BREAK_BY_EVIDENCE:
        return
    cause = 'process'
    if end.evidence is EndEvidence.RUN_STOPPED:
        cause = 'stopped'
    metrics.unproven_ends.inc({'service': service, 'cause': cause})
    log.info(
        'answer_end_unproven',
        request=attempt.job.request.id,
        endpoint=attempt.endpoint.id,
        is_leaving=attempt.choice.record.is_leaving,
        cause=cause,
        via=end.via or None,
        events=attempt.job.events,
        last_event=attempt.job.last_event_id,
        wait_s=round(end.wait_s, 3),
    )
