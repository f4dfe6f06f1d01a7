"""Runs an accepted request: attempts, retries with backoff, outcome."""

from dataclasses import dataclass, field

import anyio

from mimosamux_daemon.domain.engine import EngineCall, StreamEnd
from mimosamux_daemon.domain.names import EndpointId
from mimosamux_daemon.domain.outcomes import (
    Reason,
)
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.metrics import Metrics
from mimosamux_daemon.ports.models.engine import Engines
from mimosamux_daemon.serving.attempts import (
    Attempt,
    AttemptResult,
    CallerGone,
    Transferred,
    count_tokens,
)
from mimosamux_daemon.serving.endings import abandoned, answered, failed
from mimosamux_daemon.serving.fleet import Fleet
from mimosamux_daemon.serving.relay import (
    AttemptBroken,
    BreakCause,
    FrameFault,
    Progress,
)
from mimosamux_daemon.serving.requests import ActiveRequest
from mimosamux_daemon.serving.retries import RetryBudget
from mimosamux_daemon.serving.routing import Choice, Router
from mimosamux_daemon.serving.suspects import Suspects
from mimosamux_daemon.serving.watch import AttemptWatch

log = get_log('serving')

MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
"""Exponential backoff between attempts, and while no endpoint is free."""
BUDGETED_CAUSES = frozenset({BreakCause.STREAM, BreakCause.FRAMES})
"""Causes that take a retry from the budget.

`AttemptWatch` already took one for an attempt that it timed out.
"""
MAX_HARD_REFUSALS = 3
"""Refusals without a Retry-After since the last token that end a request."""
CANCEL_TIMEOUT_S = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class DriverParts:
    """Dependencies shared by all request drivers of a daemon."""

    engines: Engines
    fleet: Fleet
    router: Router
    budget: RetryBudget
    watch: AttemptWatch
    metrics: Metrics
    suspects: Suspects = field(default_factory=Suspects)


@dataclass(kw_only=True, slots=True, eq=False)
class RequestDriver:
    """Runs one accepted request over its attempts.

    `is_parked` says that `run` was stopped for a hand-over to a peer.
    """

    parts: DriverParts
    active: ActiveRequest
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    stopped: anyio.Event = field(default_factory=anyio.Event)
    is_parked: bool = False
    last_cause: BreakCause | None = None
    """Why the last attempt broke, or was moved."""
    has_prefilled: bool = False
    """Whether an engine has computed the prompt before."""
    silence_timeouts: int = 0
    """Attempts that timed out; each doubles the next time-out."""
    hard_refusals: int = 0
    backoff_s: float = MIN_BACKOFF_S

    async def run(self, choice: Choice | None) -> None:
        """Run attempts until an outcome, the deadline or a hand-over.

        The first attempt uses `choice` if it is given.
        """
        request = self.active.request
        self.scope.deadline = request.deadline
        try:
            with self.scope:
                await self._run_attempts(choice)
            if not (self.active.has_ended or self.is_parked):
                self.active.end(abandoned(self.active))
        finally:
            self.stopped.set()

    async def _run_attempts(self, choice: Choice | None) -> None:
        handle: str | None = None
        while not self.active.has_ended:
            if choice is None:
                choice = await self._wait_for_choice()
            result = await self._attempt(choice, handle)
            choice, handle = None, None
            if isinstance(result, StreamEnd):
                self.active.end(answered(self.active, result))
            elif isinstance(result, Transferred):
                choice, handle = result.choice, result.handle
                self.last_cause = BreakCause.RECLAIM
            elif isinstance(result, CallerGone):
                self.active.end(failed(self.active, Reason.CALLER_GONE))
            else:
                await self._handle_break(result)

    async def _wait_for_choice(self) -> Choice:
        while True:
            suspects = self.parts.suspects.current()
            choice = self._choose(suspects)
            if choice is None and suspects:
                choice = self._choose(frozenset())
            if choice is not None:
                return choice
            await self._back_off()

    def _choose(self, excluding: frozenset[EndpointId]) -> Choice | None:
        choice = self.parts.router.choose(
            self.active.request,
            answer_tokens=len(self.active.tokens),
            excluding=excluding,
            accepted=True,
        )
        return choice if isinstance(choice, Choice) else None

    async def _back_off(self, min_s: float = 0.0) -> None:
        await anyio.sleep(max(self.backoff_s, min_s))
        self.backoff_s = min(2 * self.backoff_s, MAX_BACKOFF_S)

    async def _attempt(
        self, choice: Choice, handle: str | None
    ) -> AttemptResult:
        request = self.active.request
        endpoint = choice.endpoint
        fleet = self.parts.fleet
        state = fleet.by_id.get(endpoint.id)
        if state is not None and state.is_leaving:
            fleet.note_finished(endpoint.id, request.id)
            return AttemptBroken(
                cause=BreakCause.LEAVING, reason='endpoint leaves'
            )
        attempt = self._new_attempt(choice, handle)
        fleet.note_sent(
            endpoint.id,
            request.id,
            attempt.call.attempt,
            work=choice.work,
        )
        self.parts.watch.add(attempt)
        try:
            result = await attempt.run(
                self.parts.engines.generate(endpoint, attempt.call)
            )
        finally:
            self.parts.watch.remove(attempt)
            fleet.note_finished(endpoint.id, request.id)
        fleet.note_connect(endpoint.id, failed=is_connect_failure(result))
        self._note_result(attempt, result, choice, handle)
        if isinstance(result, CallerGone) or is_silence_timeout(result):
            await self._cancel(attempt)
        return result

    def _new_attempt(self, choice: Choice, handle: str | None) -> Attempt:
        request = self.active.request
        self.active.attempt += 1
        now = anyio.current_time()
        return Attempt(
            active=self.active,
            call=EngineCall(
                request=request.id,
                attempt=self.active.attempt,
                model=request.model,
                prompt=request.prompt,
                max_tokens=request.max_tokens,
                priority=request.work_class.priority,
                answer_so_far=tuple(self.active.tokens),
                kv_handle=handle,
                parameters=request.parameters,
            ),
            endpoint=choice.endpoint,
            state=self.parts.fleet.by_id.get(choice.endpoint.id),
            estimate_s=choice.first_token_s,
            timeout_factor=2.0**self.silence_timeouts,
            progress=Progress(started_at=now, last_event_at=now),
            on_dropped=self._drop_frame,
        )

    def _drop_frame(self, fault: FrameFault) -> None:
        self.parts.metrics.frames_dropped.inc({'fault': str(fault)})

    def _note_result(
        self,
        attempt: Attempt,
        result: AttemptResult,
        choice: Choice,
        handle: str | None,
    ) -> None:
        if self.has_prefilled and attempt.progress.tokens:
            self._count_recomputed(attempt, result, choice, handle)
        if attempt.progress.tokens:
            self.has_prefilled = True
            self.backoff_s = MIN_BACKOFF_S
            self.hard_refusals = 0
        if isinstance(result, AttemptBroken):
            self.parts.suspects.note(attempt.endpoint.id, result.cause)
            self.parts.metrics.attempts_broken.inc(
                {'reason': str(result.cause)}
            )
            log.info(
                'attempt_broken',
                request=attempt.call.request,
                attempt=attempt.call.attempt,
                endpoint=attempt.endpoint.id,
                cause=str(result.cause),
                reason=result.reason,
            )

    def _count_recomputed(
        self,
        attempt: Attempt,
        result: AttemptResult,
        choice: Choice,
        handle: str | None,
    ) -> None:
        """Count the recomputed tokens: as reported, else as estimated."""
        if isinstance(result, StreamEnd):
            tokens = result.computed_tokens
        elif handle is not None:
            tokens = 0
        else:
            context = count_tokens(attempt.call.prompt)
            context += len(attempt.call.answer_so_far)
            tokens = max(0, context - choice.cached_tokens)
        self.parts.metrics.tokens_recomputed.add(
            {'cause': str(self.last_cause)}, tokens
        )

    async def _handle_break(self, broken: AttemptBroken) -> None:
        self.last_cause = broken.cause
        request = self.active.request
        if broken.cause is BreakCause.LEAVING:
            return
        if broken.cause is BreakCause.CONNECT:
            await self._back_off()
            return
        if not request.work_class.repeatable:
            self.active.end(abandoned(self.active))
            return
        if broken.cause is BreakCause.REFUSED:
            await self._handle_refusal(broken)
        elif broken.cause is BreakCause.SILENT:
            self.silence_timeouts += 1
        elif broken.cause in BUDGETED_CAUSES:
            await self.parts.budget.wait(request.work_class)

    async def _handle_refusal(self, broken: AttemptBroken) -> None:
        if broken.retry_after_s is not None:
            await self._back_off(min_s=min(broken.retry_after_s, 5.0))
            return
        self.hard_refusals += 1
        if self.hard_refusals >= MAX_HARD_REFUSALS:
            self.active.end(failed(self.active, Reason.ENDPOINT_FAILED))
            return
        await self._back_off()

    async def _cancel(self, attempt: Attempt) -> None:
        with anyio.move_on_after(CANCEL_TIMEOUT_S):
            await self.parts.engines.cancel(
                attempt.endpoint, attempt.call.request, attempt.call.attempt
            )


def is_silence_timeout(result: AttemptResult) -> bool:
    """Whether the attempt timed out because the engine sent nothing."""
    return (
        isinstance(result, AttemptBroken) and result.cause is BreakCause.SILENT
    )


def is_connect_failure(result: AttemptResult) -> bool:
    """Whether the attempt failed to connect to the endpoint."""
    return (
        isinstance(result, AttemptBroken)
        and result.cause is BreakCause.CONNECT
    )
