"""Decides whether an answer that has ended is whole.

An answer with neither a length nor chunks ends with its connection. A
connection also ends with the process at its other side, and with the run that
this daemon stops for a move. Such an answer is whole only if both are ruled
out: its run was not stopped, and its process is seen to live on.
"""

from mimosamux_daemon.gateway.attempts import Attempt
from mimosamux_daemon.gateway.streams.running_stream import RunningStream
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.endpoint_calls import CallBroken

log = get_log('answer_ends')

RUN_STOPPED = CallBroken(reason='its run was stopped for a move')
PROCESS_NOT_SEEN = CallBroken(reason='its process ended with its connection')
"""Results of a call whose answer, by all that came, could be whole."""


async def find_cut(
    attempt: Attempt, stream: RunningStream | None = None
) -> CallBroken | None:
    """Return what may have cut an answer that has ended, None: it is whole.

    `stream` is the answer's run, if it is one that can be moved.
    """
    if not attempt.ends_with_connection:
        return None
    cut = None
    if stream is not None and await stream.may_have_stopped():
        cut = RUN_STOPPED
    elif not await attempt.is_process_seen():
        cut = PROCESS_NOT_SEEN
    if cut is not None:
        _record(attempt, cut)
    return cut


def _record(attempt: Attempt, cut: CallBroken) -> None:
    cause = 'stopped' if cut is RUN_STOPPED else 'process'
    attempt.recorder.metrics.unproven_ends.inc(
        {'service': attempt.job.service.name, 'cause': cause}
    )
    log.info(
        'answer_end_unproven',
        request=attempt.job.request.id,
        endpoint=attempt.endpoint.id,
        is_leaving=attempt.choice.record.is_leaving,
        cause=cause,
    )
