"""Accepts model requests, runs them and hands them over to peers."""

from dataclasses import dataclass, field

import anyio
import anyio.abc

from mimosamux_daemon.control.demand import DemandMeter
from mimosamux_daemon.domain.configuration import Configuration
from mimosamux_daemon.domain.names import RequestId
from mimosamux_daemon.domain.outcomes import InDoubt, Reason, Refused
from mimosamux_daemon.domain.store import Unavailable
from mimosamux_daemon.domain.work import ModelRequest
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.metrics import Metrics
from mimosamux_daemon.ports.models.engine import Engines
from mimosamux_daemon.ports.models.request_journal import RequestJournal
from mimosamux_daemon.serving.admission import Admission
from mimosamux_daemon.serving.drivers import (
    DriverParts,
    RequestDriver,
)
from mimosamux_daemon.serving.evacuation import Evacuation
from mimosamux_daemon.serving.first_tokens import FirstTokenTimes
from mimosamux_daemon.serving.fleet import Fleet
from mimosamux_daemon.serving.intake import Intake
from mimosamux_daemon.serving.requests import (
    ActiveRequest,
    Moved,
    RequestRegistry,
    has_same_body,
    was_answered,
)
from mimosamux_daemon.serving.retries import RetryBudget
from mimosamux_daemon.serving.routing import Choice, Router
from mimosamux_daemon.serving.suspects import Suspects
from mimosamux_daemon.serving.watch import AttemptWatch

log = get_log('serving')

MEMORY_FULL_RETRY_S = 2.0
"""Retry-After of refusals while open requests use all memory."""
JOURNAL_RETRY_S = 5.0
"""Retry-After while the journal does not respond."""


@dataclass(frozen=True, kw_only=True, slots=True)
class HandedOverRequest:
    """A request that another daemon accepted, and its answer so far."""

    request: ModelRequest
    tokens: tuple[str, ...] = field(default=())
    attempt: int = 0
    """Number of the last attempt there; attempts here count on from it."""


class ModelServing:
    """Accepts and runs the model requests of one daemon."""

    def __init__(
        self,
        *,
        engines: Engines,
        fleet: Fleet,
        router: Router,
        admission: Admission,
        registry: RequestRegistry,
        tasks: anyio.abc.TaskGroup,
        metrics: Metrics | None = None,
        journal: RequestJournal | None = None,
        budget: RetryBudget | None = None,
        meter: DemandMeter | None = None,
        intake: Intake | None = None,
    ) -> None:
        self.registry = registry
        self.first_tokens = FirstTokenTimes()
        self._router = router
        self._admission = admission
        self._tasks = tasks
        self._metrics = metrics or Metrics()
        self._journal = journal
        self._meter = DemandMeter() if meter is None else meter
        self._budget = budget or RetryBudget()
        self._intake = Intake() if intake is None else intake
        self._drivers: dict[RequestId, RequestDriver] = {}
        evacuation = Evacuation(engines=engines, fleet=fleet, router=router)
        self._parts = DriverParts(
            engines=engines,
            fleet=fleet,
            router=router,
            budget=self._budget,
            watch=AttemptWatch(
                evacuation=evacuation, budget=self._budget, tasks=tasks
            ),
            metrics=self._metrics,
            suspects=Suspects(),
        )

    async def offer(
        self, request: ModelRequest, configuration: Configuration
    ) -> ActiveRequest | Refused | InDoubt:
        """Accept a request, or refuse it before any of it has run.

        For a known idempotency key, return the existing request.
        `InDoubt` means that the journal may or may not have recorded the
        request, so it is neither accepted nor safely refused.
        """
        known = self._find_duplicate(request)
        if known is not None:
            return known
        admitted: Choice | Refused | None
        admitted = self._intake.find_refusal(request)
        if admitted is None:
            self._meter.note_offered(request)
            admitted = self._admit(request, configuration)
        if isinstance(admitted, Refused):
            self._metrics.requests_refused.inc(
                {
                    'work_class': request.work_class.name,
                    'reason': str(admitted.reason),
                }
            )
            return admitted
        active = ActiveRequest(request=request)
        self.registry.add(active)
        # If the caller disconnects here, the request must still be run or
        # released: otherwise it would count as open for its account forever.
        with anyio.CancelScope(shield=True):
            refused = await self._record_in_journal(active)
        if refused is not None:
            self._admission.release(request.id)
            active.end(refused)
            self.registry.forget(active)
            return refused
        self._budget.note_request(request.work_class)
        self._start(active, admitted, is_admitted=True)
        return active

    async def take_over(
        self, handed_over: HandedOverRequest, configuration: Configuration
    ) -> ActiveRequest | Refused:
        """Continue a request that a peer accepted.

        Admission control does not refuse it, as it has been accepted. A
        repeated hand-over has no effect; one with a higher attempt
        replaces the copy here, because the peer has run it further.
        """
        request = handed_over.request
        if request.account not in configuration.accounts:
            return Refused(
                reason=Reason.NOT_AUTHORISED,
                message='the account is not known here',
            )
        known = self.registry.by_id.get(request.id)
        if known is not None:
            if known.moved is None and known.attempt >= handed_over.attempt:
                return known
            await self._discard_copy(known)
        active = ActiveRequest(
            request=request,
            tokens=list(handed_over.tokens),
            attempt=handed_over.attempt,
        )
        self.registry.add(active)
        account = configuration.accounts[request.account]
        is_admitted = self._admission.acquire(account, request) is None
        self._start(active, None, is_admitted=is_admitted)
        log.info(
            'request_taken_over',
            request=request.id,
            account=request.account,
            attempt=handed_over.attempt,
            tokens=len(handed_over.tokens),
        )
        return active

    async def park(self, active: ActiveRequest) -> bool:
        """Stop a request so that it can be handed over; False if it ended."""
        driver = self._drivers.get(active.request.id)
        if driver is None or active.has_ended:
            return False
        driver.is_parked = True
        driver.scope.cancel()
        await driver.stopped.wait()
        return not active.has_ended

    async def move(
        self, active: ActiveRequest, moved: Moved, *, is_recorded: bool
    ) -> None:
        """Redirect the callers of a parked request to its new daemon.

        `is_recorded` says that the new daemon's journal has the request.
        If not, the entry in this daemon's journal is kept, so that the
        request survives a crash of the new daemon.
        """
        active.move(moved)
        self.registry.note_ended(active)
        durable = active.request.work_class.durable
        if self._journal is not None and durable and is_recorded:
            await self._journal.forget(active.request.id)

    async def drop(self, active: ActiveRequest) -> None:
        """Stop and forget a request that continues at another daemon."""
        if await self.park(active):
            self.registry.forget(active)

    def resume(self, active: ActiveRequest) -> None:
        """Continue a parked request at this daemon."""
        if not active.has_ended:
            self._start(active, None, is_admitted=False)

    def _find_duplicate(
        self, request: ModelRequest
    ) -> ActiveRequest | Refused | None:
        if request.idempotency_key is None:
            return None
        known = self.registry.find_by_key(
            request.account, request.idempotency_key
        )
        if known is None:
            return None
        if not has_same_body(known.request, request):
            return Refused(
                reason=Reason.CONFLICT,
                message='the key was used for a request with another body',
            )
        if known.outcome is None or was_answered(known):
            return known
        if not request.work_class.repeatable:
            return known
        # It ended without an answer and is repeatable: a caller that sends
        # its key again wants it to run again.
        return None

    def _admit(
        self, request: ModelRequest, configuration: Configuration
    ) -> Choice | Refused:
        if self.registry.is_full:
            return Refused(
                reason=Reason.OVERLOADED,
                message='the answers in progress hold all memory there is',
                retry_after_s=MEMORY_FULL_RETRY_S,
            )
        suspects = self._parts.suspects.current()
        choice = self._router.choose(request, excluding=suspects)
        if isinstance(choice, Refused) and suspects:
            choice = self._router.choose(request)
        account = configuration.accounts[request.account]
        if isinstance(choice, Refused):
            self._admission.note_refused(account, tokens=request.max_tokens)
            return choice
        refused = self._admission.acquire(
            account,
            request,
            first_token_s=choice.first_token_s - choice.unavoidable_s,
            is_own=choice.is_own,
            tokens=choice.work.tokens + request.max_tokens,
        )
        return choice if refused is None else refused

    async def _record_in_journal(
        self, active: ActiveRequest
    ) -> Refused | InDoubt | None:
        """Record a request of a durable class in the journal.

        A write that may have succeeded is undone in the background. If
        this daemon crashes before that, another one finds the record and
        runs the request. The result is then `InDoubt`, because a refusal
        would wrongly promise that the request does not run.
        """
        request = active.request
        if self._journal is None or not request.work_class.durable:
            return None
        recorded = await self._journal.record(request)
        if not isinstance(recorded, Unavailable):
            return None
        if recorded.may_have_taken_effect:
            return InDoubt(
                request=request.id,
                message='the journal gave no answer; the request may be run',
                retry_after_s=JOURNAL_RETRY_S,
            )
        return Refused(
            reason=Reason.STORE_UNAVAILABLE,
            message='the journal of accepted requests does not answer',
            retry_after_s=JOURNAL_RETRY_S,
        )

    async def _discard_copy(self, known: ActiveRequest) -> None:
        await self.park(known)
        self.registry.forget(known)

    def _start(
        self,
        active: ActiveRequest,
        choice: Choice | None,
        *,
        is_admitted: bool,
    ) -> None:
        driver = RequestDriver(parts=self._parts, active=active)
        self._drivers[active.request.id] = driver
        self._metrics.open_requests.set({}, len(self._drivers))
        self._tasks.start_soon(self._drive, driver, choice, is_admitted)

    async def _drive(
        self,
        driver: RequestDriver,
        choice: Choice | None,
        is_admitted: bool,
    ) -> None:
        active = driver.active
        try:
            await driver.run(choice)
        finally:
            if is_admitted:
                self._admission.release(active.request.id)
            if self._drivers.get(active.request.id) is driver:
                del self._drivers[active.request.id]
            self._metrics.open_requests.set({}, len(self._drivers))
        if not driver.is_parked:
            await self._finish(active)

    def _note_first_token(self, active: ActiveRequest) -> None:
        if active.first_token_at is None:
            return
        work_class = active.request.work_class
        seconds = active.first_token_at - active.request.arrived
        self.first_tokens.note(work_class, seconds)
        self._metrics.first_token_s.observe(
            {'work_class': work_class.name}, seconds
        )

    async def _finish(self, active: ActiveRequest) -> None:
        request = active.request
        self.registry.note_ended(active)
        self._note_first_token(active)
        if was_answered(active):
            self._meter.note_answered(request, len(active.tokens))
        outcome = type(active.outcome).__name__.lower()
        self._metrics.requests_ended.inc(
            {'work_class': request.work_class.name, 'outcome': outcome}
        )
        log.info(
            'request_ended',
            request=request.id,
            account=request.account,
            work_class=request.work_class.name,
            outcome=outcome,
            attempts=active.attempt,
            tokens=len(active.tokens),
        )
        if self._journal is not None and request.work_class.durable:
            await self._journal.forget(request.id)
