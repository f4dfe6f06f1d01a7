"""Drives one accepted request over its attempts to its outcome."""

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
from mimosamux_daemon.serving.endings import answered, failed, given_up
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

SHORTEST_PAUSE_S = 0.05
LONGEST_PAUSE_S = 1.0
"""Pauses between looks for an endpoint double between these two."""
PAID_CAUSES = frozenset({BreakCause.STREAM, BreakCause.FRAMES})
"""Breaks that spend the retry budget; silence has paid before."""
FLAT_REFUSALS = 3
"""Refusals without a time to come again, in a row, that end a request."""
CANCEL_TIMEOUT_S = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class DriverParts:
    """What all drivers of a daemon share."""

    engines: Engines
    fleet: Fleet
    router: Router
    budget: RetryBudget
    watch: AttemptWatch
    metrics: Metrics
    suspects: Suspects = field(default_factory=Suspects)


@dataclass(kw_only=True, slots=True, eq=False)
class RequestDriver:
    """One accepted request and the state of its attempts."""

    parts: DriverParts
    active: ActiveRequest
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    stopped: anyio.Event = field(default_factory=anyio.Event)
    is_parked: bool = False
    cause: BreakCause | None = None
    """Why the last attempt broke."""
    computed_before: bool = False
    """Whether an engine has computed the prompt already."""
    silences: int = 0
    flat_refusals: int = 0
    pause: float = SHORTEST_PAUSE_S

    async def run(self, choice: Choice | None) -> None:
        """Serve until the outcome, the deadline, or being parked."""
        request = self.active.request
        self.scope.deadline = request.deadline
        try:
            with self.scope:
                await self._go_through_attempts(choice)
            if not (self.active.has_ended or self.is_parked):
                self.active.end(given_up(self.active))
        finally:
            self.stopped.set()

    async def _go_through_attempts(self, choice: Choice | None) -> None:
        handle: str | None = None
        while not self.active.has_ended:
            if choice is None:
                choice = await self._next_choice()
            result = await self._attempt(choice, handle)
            choice, handle = None, None
            if isinstance(result, StreamEnd):
                self.active.end(answered(self.active, result))
            elif isinstance(result, Transferred):
                choice, handle = result.choice, result.handle
                self.cause = BreakCause.RECLAIM
            elif isinstance(result, CallerGone):
                self.active.end(failed(self.active, Reason.CALLER_GONE))
            else:
                await self._after_break(result)

    async def _next_choice(self) -> Choice:
        while True:
            suspects = self.parts.suspects.current()
            choice = self._choose(suspects)
            if choice is None and suspects:
                choice = self._choose(frozenset())
            if choice is not None:
                return choice
            await self._pause()

    def _choose(self, excluding: frozenset[EndpointId]) -> Choice | None:
        choice = self.parts.router.choose(
            self.active.request,
            answer_tokens=len(self.active.tokens),
            excluding=excluding,
            accepted=True,
        )
        return choice if isinstance(choice, Choice) else None

    async def _pause(self, at_least: float = 0.0) -> None:
        await anyio.sleep(max(self.pause, at_least))
        self.pause = min(2 * self.pause, LONGEST_PAUSE_S)

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
        fleet.note_connect(endpoint.id, failed=has_not_connected(result))
        self._note_result(attempt, result, choice, handle)
        if isinstance(result, CallerGone) or is_silence(result):
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
            patience=2.0**self.silences,
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
        if self.computed_before and attempt.progress.tokens:
            self._count_recomputed(attempt, result, choice, handle)
        if attempt.progress.tokens:
            self.computed_before = True
            self.pause = SHORTEST_PAUSE_S
            self.flat_refusals = 0
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
        """Count what the engine computed again, or the best estimate."""
        if isinstance(result, StreamEnd):
            tokens = result.computed_tokens
        elif handle is not None:
            tokens = 0
        else:
            context = count_tokens(attempt.call.prompt)
            context += len(attempt.call.answer_so_far)
            tokens = max(0, context - choice.cached_tokens)
        self.parts.metrics.tokens_recomputed.add(
            {'cause': str(self.cause)}, tokens
        )

    async def _after_break(self, broken: AttemptBroken) -> None:
        self.cause = broken.cause
        request = self.active.request
        if broken.cause is BreakCause.LEAVING:
            return
        if broken.cause is BreakCause.CONNECT:
            await self._pause()
            return
        if not request.work_class.repeatable:
            self.active.end(given_up(self.active))
            return
        if broken.cause is BreakCause.REFUSED:
            await self._after_refusal(broken)
        elif broken.cause is BreakCause.SILENT:
            self.silences += 1
        elif broken.cause in PAID_CAUSES:
            await self.parts.budget.wait(request.work_class)

    async def _after_refusal(self, broken: AttemptBroken) -> None:
        if broken.retry_after_s is not None:
            await self._pause(at_least=min(broken.retry_after_s, 5.0))
            return
        self.flat_refusals += 1
        if self.flat_refusals >= FLAT_REFUSALS:
            self.active.end(failed(self.active, Reason.ENDPOINT_FAILED))
            return
        await self._pause()

    async def _cancel(self, attempt: Attempt) -> None:
        with anyio.move_on_after(CANCEL_TIMEOUT_S):
            await self.parts.engines.cancel(
                attempt.endpoint, attempt.call.request, attempt.call.attempt
            )


def is_silence(result: AttemptResult) -> bool:
    """Whether the attempt was given up because the engine was silent."""
    return (
        isinstance(result, AttemptBroken) and result.cause is BreakCause.SILENT
    )


def has_not_connected(result: AttemptResult) -> bool:
    """Whether no connection to the endpoint came about."""
    return (
        isinstance(result, AttemptBroken)
        and result.cause is BreakCause.CONNECT
    )
