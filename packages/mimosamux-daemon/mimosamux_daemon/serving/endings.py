"""Builds the outcomes of model requests."""

import anyio

from mimosamux_daemon.domain.engine import StreamEnd
from mimosamux_daemon.domain.outcomes import (
    Answered,
    Failed,
    Outcome,
    Reason,
    Unknown,
)
from mimosamux_daemon.serving.requests import ActiveRequest

FAILURE_TEXT = {
    Reason.CALLER_GONE: 'nobody read the answer any more',
    Reason.DEADLINE: 'the deadline of its class passed',
    Reason.ENDPOINT_FAILED: 'no endpoint gave a whole answer',
}


def answered(active: ActiveRequest, end: StreamEnd) -> Answered:
    """Return the outcome of a complete answer."""
    return Answered(
        request=active.request.id,
        text=''.join(active.tokens),
        tokens=len(active.tokens),
        finish_reason=end.finish_reason,
    )


def abandoned(active: ActiveRequest) -> Outcome:
    """Return the outcome of a request that is not attempted again.

    It is `Unknown` if no token arrived, as the request may have run.
    """
    request = active.request
    if anyio.current_time() >= request.deadline:
        return failed(active, Reason.DEADLINE)
    if active.tokens:
        return failed(active, Reason.ENDPOINT_FAILED)
    return Unknown(
        request=request.id,
        message='the endpoint was lost before it gave an answer',
    )


def failed(active: ActiveRequest, reason: Reason) -> Failed:
    """Return the outcome of a request without a complete answer."""
    return Failed(
        request=active.request.id,
        reason=reason,
        message=FAILURE_TEXT[reason],
    )
