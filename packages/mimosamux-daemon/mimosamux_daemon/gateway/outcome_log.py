"""Logs and counts how each request ends."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatch

from mimosamux_daemon.domain.gateway import (
    AnswerTruncated,
    CallerGone,
    Delivered,
    GatewayOutcome,
    GatewayRequest,
)
from mimosamux_daemon.domain.outcomes import Failed, Reason, Refused
from mimosamux_daemon.gateway.configuration import ConfirmedConfiguration
from mimosamux_daemon.gateway.jobs import Job
from mimosamux_daemon.gateway.metrics import GatewayMetrics
from mimosamux_daemon.logs import get_log

log = get_log('requests')


@dataclass(frozen=True, kw_only=True, slots=True)
class OutcomeLog:
    """Logs the end of each request, and counts it."""

    metrics: GatewayMetrics
    configuration: ConfirmedConfiguration
    clock: Callable[[], float]

    def log_refusal(self, request: GatewayRequest, refused: Refused) -> None:
        """Record a request that was refused by admission."""
        self.metrics.requests.inc(
            {'route': '', 'outcome': 'refused', 'reason': refused.reason}
        )
        log.info(
            'request_refused',
            request=request.id,
            host=request.host,
            reason=refused.reason,
            message=refused.message,
            retry_after_s=refused.retry_after_s,
            **self._configuration_fields(),
        )

    def log_caller_gone(self, request: GatewayRequest) -> None:
        """Record a caller that disconnected before admission."""
        self.metrics.requests.inc(
            {'route': '', 'outcome': 'caller_gone', 'reason': ''}
        )
        log.info(
            'request_left',
            request=request.id,
            host=request.host,
            waited_s=round(self.clock() - request.received_at, 3),
            **self._configuration_fields(),
        )

    def log_abandoned(
        self, request: GatewayRequest, error: BaseException
    ) -> None:
        """Record a request whose handling ended without an outcome."""
        self.metrics.requests.inc(
            {'route': '', 'outcome': 'abandoned', 'reason': ''}
        )
        log.warning(
            'request_abandoned',
            request=request.id,
            host=request.host,
            age_s=round(self.clock() - request.received_at, 3),
            error=type(error).__name__,
            **self._configuration_fields(),
        )

    def log_outcome(self, job: Job, outcome: GatewayOutcome) -> None:
        """Record the outcome of an admitted request."""
        took_s = self.clock() - job.request.received_at
        fields = describe_outcome(outcome)
        route = self.metrics.route_label(job.route)
        self.metrics.requests.inc(
            {
                'route': route,
                'outcome': str(fields['outcome']),
                'reason': str(fields.get('reason', '')),
            }
        )
        self.metrics.request_s.observe({'route': route}, took_s)
        is_cut = fields.get('reason') is Reason.STOPPING and not isinstance(
            outcome, Refused
        )
        # Warnings pass the rate limit of the log.
        write = log.warning if is_cut else log.info
        write(
            'request_ended',
            request=job.request.id,
            content=job.content,
            route=job.route.name,
            account=None if job.account is None else job.account.id,
            sends=job.sends,
            took_s=round(took_s, 3),
            **fields,
            **describe_end(job),
            **self._configuration_fields(),
        )

    def _configuration_fields(self) -> dict[str, object]:
        """Return the version of the configuration in use, and its age."""
        return {
            'version': self.configuration.current.version,
            'version_age_s': round(min(self.configuration.age_s, 1e6), 2),
        }


def describe_end(job: Job) -> dict[str, object]:
    """Return the log fields of what a job's answer ended with."""
    fields: dict[str, object] = {}
    if job.is_stream:
        fields |= {'events': job.events, 'last_event': job.last_event_id}
    end = job.answer_end
    if end is not None:
        fields |= {
            'framing': end.framing,
            'via': end.via or None,
            'end': end.evidence,
            'end_wait_s': round(end.wait_s, 3),
        }
    return fields


@singledispatch
def describe_outcome(outcome: GatewayOutcome) -> dict[str, object]:
    """Return the log fields of an outcome."""
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
def _(outcome: AnswerTruncated) -> dict[str, object]:
    return {
        'outcome': 'broken_off',
        'reason': outcome.cause,
        'message': outcome.reason,
    }


@describe_outcome.register
def _(outcome: CallerGone) -> dict[str, object]:
    return {'outcome': 'caller_gone'}
