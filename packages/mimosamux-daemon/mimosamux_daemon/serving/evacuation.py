"""Migration of running requests away from an endpoint that leaves.

A request moves with its KV cache if the notice period allows it;
otherwise it is prompted again at another endpoint.
"""

import anyio

from mimosamux_daemon.domain.engine import (
    KvExport,
    KvImported,
    KvUnavailable,
)
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.models.engine import Engines
from mimosamux_daemon.serving.attempts import Attempt, Transferred
from mimosamux_daemon.serving.fleet import EndpointState, Fleet
from mimosamux_daemon.serving.relay import AttemptBroken, BreakCause
from mimosamux_daemon.serving.routing import Choice, Router

log = get_log('recovery')

MAX_CONCURRENT_MOVES = 1
"""Concurrent KV cache exports of this daemon from one endpoint. A stream
pauses from its export on, so it must not queue behind other moves."""
MIN_MOVE_LIMIT_S = 1.0
"""Shortest time limit of one move, unless the notice period ends first."""
MOVE_TIME_FRACTION = 0.5
"""Fraction of the rest of the notice period that one move may take, so
that a stalled target does not block all other moves."""
REPROMPT_RESERVE_S = 0.5
"""Time before the end of the notice period at which requests that have
not moved are prompted again elsewhere."""
DEFAULT_NOTICE_S = 2.0
"""Notice period assumed if an endpoint leaves without announcing when."""
STAY_FRACTION = 0.8
"""An answer stays if it can complete within this fraction of the notice
period."""
INITIAL_S_PER_TOKEN = 20e-6
"""Initial estimate of the time to move one token's KV cache."""
MOVE_OVERHEAD_S = 0.05
"""Fixed time of a move, independent of its size."""
SMOOTHING = 0.3
"""Weight of the newest sample in the moving average of the time per
token."""
MAX_IMPORT_TARGETS = 2
"""Endpoints tried, one after the other, for one exported KV cache."""


class Evacuation:
    """Moves requests, longest context first, within the notice period.

    Long contexts cost most to recompute, so they move first. A request
    that will complete within the notice period stays. One whose move
    does not fit is prompted again elsewhere with the tokens sent so far.
    """

    def __init__(
        self, *, engines: Engines, fleet: Fleet, router: Router
    ) -> None:
        self._engines = engines
        self._fleet = fleet
        self._router = router
        self._estimated_s_per_token = INITIAL_S_PER_TOKEN

    async def evacuate(
        self, state: EndpointState, attempts: list[Attempt]
    ) -> None:
        """Move attempts away from a leaving endpoint before it is gone."""
        notice = self._seconds_left(state)
        reprompt_at = anyio.current_time() + max(
            0.0, notice - REPROMPT_RESERVE_S
        )
        moving = [
            attempt
            for attempt in attempts
            if not completes_within(attempt, notice * STAY_FRACTION)
        ]
        moving.sort(key=lambda attempt: attempt.context_tokens, reverse=True)
        limiter = anyio.Semaphore(MAX_CONCURRENT_MOVES)
        async with anyio.create_task_group() as tasks:
            for attempt in moving:
                await limiter.acquire()
                tasks.start_soon(self._move, attempt, reprompt_at, limiter)
        await anyio.sleep_until(reprompt_at)
        for attempt in attempts:
            if is_running(attempt):
                attempt.interrupt(
                    AttemptBroken(
                        cause=BreakCause.RECLAIM, reason='endpoint leaves'
                    )
                )

    def _seconds_left(self, state: EndpointState) -> float:
        if state.leaves_at is None:
            return DEFAULT_NOTICE_S
        return state.leaves_at - anyio.current_time()

    async def _move(
        self, attempt: Attempt, reprompt_at: float, limiter: anyio.Semaphore
    ) -> None:
        try:
            tokens = attempt.context_tokens
            needed = MOVE_OVERHEAD_S + tokens * self._estimated_s_per_token
            if not is_running(attempt):
                return
            if anyio.current_time() + needed > reprompt_at:
                return
            moved = anyio.Event()
            attempt.transfer_done = moved
            try:
                with anyio.CancelScope(
                    deadline=find_move_deadline(reprompt_at)
                ):
                    await self._export_and_import(attempt)
            finally:
                moved.set()
        finally:
            limiter.release()

    async def _export_and_import(self, attempt: Attempt) -> None:
        call = attempt.call
        started = anyio.current_time()
        export = await self._engines.export_kv(
            attempt.endpoint, call.request, call.attempt
        )
        if isinstance(export, KvUnavailable):
            # The engine continues an attempt that still runs until the
            # endpoint's remaining requests are prompted again.
            log.info(
                'kv_not_exported', request=call.request, reason=export.reason
            )
            attempt.transfer_done = None
            return
        moved = await self._import_at_any(attempt, export)
        if moved is not None:
            self._update_estimate(anyio.current_time() - started, moved.tokens)
            if is_running(attempt):
                attempt.interrupt(moved)
            else:
                self._fleet.note_finished(
                    moved.choice.endpoint.id, call.request
                )
            return
        attempt.interrupt(
            AttemptBroken(
                cause=BreakCause.RECLAIM, reason='KV cache not imported'
            )
        )

    async def _import_at_any(
        self, attempt: Attempt, export: KvExport
    ) -> Transferred | None:
        tried = {attempt.endpoint.id}
        for _ in range(MAX_IMPORT_TARGETS):
            choice = self._router.choose(
                attempt.active.request,
                answer_tokens=len(attempt.active.tokens),
                excluding=frozenset(tried),
                accepted=True,
            )
            if not isinstance(choice, Choice):
                return None
            imported = await self._import_at(attempt, choice, export)
            if isinstance(imported, KvImported):
                return Transferred(
                    choice=choice,
                    handle=imported.handle,
                    tokens=imported.tokens,
                )
            log.info(
                'kv_not_imported',
                request=attempt.call.request,
                endpoint=choice.endpoint.id,
                reason=imported.reason,
            )
            tried.add(choice.endpoint.id)
        return None

    async def _import_at(
        self, attempt: Attempt, choice: Choice, export: KvExport
    ) -> KvImported | KvUnavailable:
        target = self._fleet.by_id.get(choice.endpoint.id)
        if target is None:
            return KvUnavailable(reason='endpoint is gone')
        request = attempt.call.request
        # Count the import as load so that other moves take it into account.
        self._fleet.note_sent(
            choice.endpoint.id, request, attempt.call.attempt + 1
        )
        result: KvImported | KvUnavailable = KvUnavailable(
            reason='endpoint leaves as well'
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_when_leaving, target, tasks.cancel_scope)
            result = await self._engines.import_kv(
                choice.endpoint, attempt.endpoint, export
            )
            tasks.cancel_scope.cancel()
        if target.is_leaving or isinstance(result, KvUnavailable):
            self._fleet.note_finished(choice.endpoint.id, request)
        if target.is_leaving:
            return KvUnavailable(reason='endpoint leaves as well')
        return result

    def _update_estimate(self, seconds: float, tokens: int) -> None:
        sample = max(0.0, seconds - MOVE_OVERHEAD_S) / max(tokens, 1)
        self._estimated_s_per_token += SMOOTHING * (
            sample - self._estimated_s_per_token
        )


async def _cancel_when_leaving(
    target: EndpointState, scope: anyio.CancelScope
) -> None:
    await target.leaving.wait()
    scope.cancel()


def find_move_deadline(reprompt_at: float) -> float:
    """Return the deadline of a move that starts now."""
    now = anyio.current_time()
    seconds = max(MIN_MOVE_LIMIT_S, MOVE_TIME_FRACTION * (reprompt_at - now))
    return min(reprompt_at, now + seconds)


def is_running(attempt: Attempt) -> bool:
    """Whether the attempt is current, not interrupted and not ended."""
    return (
        attempt.interruption is None
        and not attempt.active.has_ended
        and attempt.active.attempt == attempt.call.attempt
    )


def completes_within(attempt: Attempt, seconds: float) -> bool:
    """Whether the answer will be complete in that time if it stays.

    Extrapolates the mean token interval of the attempt to the request's
    maximum number of tokens.
    """
    if not attempt.progress.tokens:
        return False
    request = attempt.active.request
    elapsed = anyio.current_time() - attempt.progress.started_at
    interval = elapsed / attempt.progress.tokens
    missing = request.max_tokens - len(attempt.active.tokens)
    return missing * interval <= seconds
