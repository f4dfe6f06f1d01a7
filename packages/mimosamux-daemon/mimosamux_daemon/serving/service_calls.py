"""Service calls: admission, then the path for the call's class.

Repeatable calls are retried; non-repeatable calls run at most once.
"""

from dataclasses import dataclass, field

import anyio

from mimosamux_daemon.domain.configuration import Configuration
from mimosamux_daemon.domain.engine import ConnectFailed
from mimosamux_daemon.domain.names import RequestId
from mimosamux_daemon.domain.outcomes import Outcome, Refused
from mimosamux_daemon.domain.vms import Endpoint
from mimosamux_daemon.domain.work import ServiceCall
from mimosamux_daemon.metrics import Metrics
from mimosamux_daemon.ports.models.service import (
    ServiceAnswer,
    Services,
    ServiceUnanswered,
)
from mimosamux_daemon.serving.admission import Admission
from mimosamux_daemon.serving.cut_requests import CutRequests
from mimosamux_daemon.serving.fleet import Fleet
from mimosamux_daemon.serving.intake import Intake
from mimosamux_daemon.serving.repeatable_calls import RepeatableCalls
from mimosamux_daemon.serving.side_effects import SideEffects, refuse_unchecked

ONLY_ATTEMPT = 1
"""Attempt number in the fleet's load counts; calls have only one."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CountedServices:
    """`Services` port that counts open calls and failed connects."""

    services: Services
    fleet: Fleet

    async def call(
        self, endpoint: Endpoint, call: ServiceCall
    ) -> ServiceAnswer | ConnectFailed | ServiceUnanswered:
        """Send a call and count it in the load of its endpoint."""
        self.fleet.note_sent(endpoint.id, call.id, ONLY_ATTEMPT)
        try:
            answer = await self.services.call(endpoint, call)
        finally:
            self.fleet.note_finished(endpoint.id, call.id)
        failed = isinstance(answer, ConnectFailed)
        self.fleet.note_connect(endpoint.id, failed=failed)
        return answer


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceCalls:
    """Admits calls and runs each as its class requires."""

    side_effects: SideEffects
    repeatable: RepeatableCalls
    admission: Admission
    metrics: Metrics
    intake: Intake = field(default_factory=Intake)
    cuts: CutRequests | None = None
    """Gets the calls that the end of a stop cuts."""
    open_by_id: dict[RequestId, ServiceCall] = field(default_factory=dict)
    """Admitted calls whose callers wait for the outcome."""

    async def call(
        self, call: ServiceCall, configuration: Configuration
    ) -> Outcome:
        """Admit and run a call; return its outcome."""
        account = configuration.accounts[call.account]
        refused = self.intake.find_refusal(call)
        if refused is None:
            refused = self.admission.acquire(account, call)
        if refused is not None:
            return self._refuse(call, refused)
        self.open_by_id[call.id] = call
        try:
            outcome = await self._run(call)
        except anyio.get_cancelled_exc_class():
            # Only the end of a stop cancels a call; it goes on without a
            # caller who hangs up.
            if self.cuts is not None and self.intake.is_closed:
                self.cuts.note_work(call)
            raise
        finally:
            del self.open_by_id[call.id]
            self.admission.release(call.id)
        self.metrics.requests_ended.inc(
            {
                'work_class': call.work_class.name,
                'outcome': type(outcome).__name__.lower(),
            }
        )
        return outcome

    def _refuse(self, call: ServiceCall, refused: Refused) -> Outcome:
        self.metrics.requests_refused.inc(
            {
                'work_class': call.work_class.name,
                'reason': str(refused.reason),
            }
        )
        if call.work_class.repeatable:
            return refused
        return refuse_unchecked(call, refused)

    async def _run(self, call: ServiceCall) -> Outcome:
        if call.work_class.repeatable:
            return await self.repeatable.call(call)
        return await self.side_effects.call(call)
