"""Retries of repeatable service calls, limited by budget and deadline."""

from dataclasses import dataclass

import anyio

from mimosamux_daemon.domain.engine import ConnectFailed
from mimosamux_daemon.domain.names import EndpointId
from mimosamux_daemon.domain.outcomes import (
    Answered,
    Failed,
    Outcome,
    Reason,
    Refused,
)
from mimosamux_daemon.domain.work import ServiceCall
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.models.service import ServiceAnswer, Services
from mimosamux_daemon.serving.retries import RetryBudget
from mimosamux_daemon.serving.side_effects import ChooseEndpoint

log = get_log('services')

RETRY_AFTER_S = 1.0
"""Retry-After of a call that was refused without having run."""


@dataclass(kw_only=True, slots=True)
class _Progress:
    """Attempts of one call so far."""

    excluding: frozenset[EndpointId] = frozenset()
    """Endpoints that did not answer the call."""
    may_have_run: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class RepeatableCalls:
    """Retries a call until it is answered, within budget and deadline."""

    services: Services
    choose: ChooseEndpoint
    budget: RetryBudget

    async def call(self, call: ServiceCall) -> Outcome:
        """Run the call at least once, or report why there is no answer.

        A call that cannot have run is refused; any other one failed.
        """
        self.budget.note_request(call.work_class)
        progress = _Progress()
        with anyio.CancelScope(deadline=call.deadline):
            return await self._try_endpoints(call, progress)
        return _as_failure(
            call, progress, Reason.DEADLINE, 'the deadline of its class passed'
        )

    async def _try_endpoints(
        self, call: ServiceCall, progress: _Progress
    ) -> Outcome:
        while True:
            endpoint = self.choose(call.service, progress.excluding)
            if isinstance(endpoint, Refused):
                if not progress.may_have_run:
                    return endpoint
                return _as_failure(
                    call, progress, Reason.ENDPOINT_FAILED, endpoint.message
                )
            may_have_run_before = progress.may_have_run
            progress.may_have_run = True
            answer = await self.services.call(endpoint, call)
            if isinstance(answer, ServiceAnswer):
                return Answered(
                    request=call.id,
                    status=answer.status,
                    headers=answer.headers,
                    body=answer.body,
                )
            if isinstance(answer, ConnectFailed):
                progress.may_have_run = may_have_run_before
            progress.excluding |= {endpoint.id}
            log.info(
                'call_unanswered',
                request=call.id,
                endpoint=endpoint.id,
                reason=answer.reason,
            )
            if not self.budget.take(call.work_class):
                return _as_failure(
                    call,
                    progress,
                    Reason.RETRY_BUDGET,
                    f'{answer.reason}; too many retries of late',
                )


def _as_failure(
    call: ServiceCall, progress: _Progress, reason: Reason, message: str
) -> Failed | Refused:
    if progress.may_have_run:
        return Failed(request=call.id, reason=reason, message=message)
    return Refused(reason=reason, message=message, retry_after_s=RETRY_AFTER_S)
