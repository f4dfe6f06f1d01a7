"""One line for the end of each request."""

from functools import singledispatch

from mimosamux_daemon.domain.gateway import (
    BrokenOff,
    CallerGone,
    Delivered,
    GatewayOutcome,
    GatewayRequest,
)
from mimosamux_daemon.domain.outcomes import Failed, Refused
from mimosamux_daemon.gateway.jobs import Job
from mimosamux_daemon.logs import get_log

log = get_log('requests')


def log_refusal(request: GatewayRequest, refused: Refused) -> None:
    """Log a request that was turned away before it became a job."""
    log.info(
        'request_refused',
        request=request.id,
        reason=refused.reason,
        message=refused.message,
        retry_after_s=refused.retry_after_s,
    )


def log_outcome(job: Job, outcome: GatewayOutcome, *, now: float) -> None:
    """Log what became of a job."""
    log.info(
        'request_ended',
        request=job.request.id,
        route=job.route.name,
        account=None if job.account is None else job.account.id,
        sends=job.sends,
        took_s=round(now - job.request.received_at, 3),
        **describe_outcome(outcome),
    )


@singledispatch
def describe_outcome(outcome: GatewayOutcome) -> dict[str, object]:
    """Return the fields of a line for an outcome."""
    raise NotImplementedError(type(outcome))


@describe_outcome.register
def _(outcome: Delivered) -> dict[str, object]:
    return {'outcome': 'delivered', 'status': outcome.status}


@describe_outcome.register
def _(outcome: Refused) -> dict[str, object]:
    return {
        'outcome': 'refused',
        'reason': outcome.reason,
        'message': outcome.message,
        'retry_after_s': outcome.retry_after_s,
    }


@describe_outcome.register
def _(outcome: Failed) -> dict[str, object]:
    return {
        'outcome': 'failed',
        'reason': outcome.reason,
        'message': outcome.message,
    }


@describe_outcome.register
def _(outcome: BrokenOff) -> dict[str, object]:
    return {'outcome': 'broken_off', 'reason': outcome.reason}


@describe_outcome.register
def _(outcome: CallerGone) -> dict[str, object]:
    return {'outcome': 'caller_gone'}
