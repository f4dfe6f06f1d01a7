"""Moves running requests away from an endpoint that is leaving."""

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

MOVES_AT_ONCE = 1
"""Exports from one endpoint that this daemon has under way: a stream
stands still from its export on, so it does not wait behind others."""
SHORTEST_TRY_S = 1.0
"""Time that a move may take in any case, if the notice allows it."""
TRY_SHARE = 0.5
"""Share of what is left of the notice that one move may take; a target
that stands still would hold up all the others."""
LAST_SECONDS = 0.5
"""What is left of a notice when the remaining requests prompt again."""
UNKNOWN_NOTICE_S = 2.0
"""Time counted on when an endpoint leaves without saying when."""
STAY_SHARE = 0.8
"""Share of the notice that an answer may need to end where it runs."""
FIRST_GUESS_S_PER_TOKEN = 20e-6
"""Time to move one token's KV cache, before one was measured."""
MOVE_OVERHEAD_S = 0.05
"""Time of a move that does not depend on its size."""
SMOOTHING = 0.3
"""Weight of the newest measurement of the time to move a token."""
IMPORT_TARGETS = 2
"""Endpoints that an exported KV cache is offered to, one by one."""


class Recovery:
    """Moves requests, longest context first, within the notice.

    The longest contexts cost most to compute again, so they go first; a
    request that ends within the notice stays, and one whose move does
    not fit goes on elsewhere from its prompt and the tokens sent.
    """

    def __init__(
        self, *, engines: Engines, fleet: Fleet, router: Router
    ) -> None:
        self._engines = engines
        self._fleet = fleet
        self._router = router
        self._s_per_token = FIRST_GUESS_S_PER_TOKEN

    async def move_away(
        self, state: EndpointState, attempts: list[Attempt]
    ) -> None:
        """Bring attempts away from a leaving endpoint before it goes."""
        notice = self._seconds_left(state)
        last_call = anyio.current_time() + max(0.0, notice - LAST_SECONDS)
        moving = [
            attempt
            for attempt in attempts
            if not ends_within(attempt, notice * STAY_SHARE)
        ]
        moving.sort(key=lambda attempt: attempt.context_tokens, reverse=True)
        limiter = anyio.Semaphore(MOVES_AT_ONCE)
        async with anyio.create_task_group() as tasks:
            for attempt in moving:
                await limiter.acquire()
                tasks.start_soon(self._move, attempt, last_call, limiter)
        await anyio.sleep_until(last_call)
        for attempt in attempts:
            if is_running(attempt):
                attempt.interrupt(
                    AttemptBroken(
                        cause=BreakCause.RECLAIM, reason='endpoint leaves'
                    )
                )

    def _seconds_left(self, state: EndpointState) -> float:
        if state.leaves_at is None:
            return UNKNOWN_NOTICE_S
        return state.leaves_at - anyio.current_time()

    async def _move(
        self, attempt: Attempt, last_call: float, limiter: anyio.Semaphore
    ) -> None:
        try:
            tokens = attempt.context_tokens
            needed = MOVE_OVERHEAD_S + tokens * self._s_per_token
            if not is_running(attempt):
                return
            if anyio.current_time() + needed > last_call:
                return
            moved = anyio.Event()
            attempt.moving = moved
            try:
                with anyio.CancelScope(deadline=limit_move(last_call)):
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
            # The engine goes on with the attempt, if it still runs, and
            # the last seconds of the notice end it.
            log.info(
                'kv_not_exported', request=call.request, reason=export.reason
            )
            attempt.moving = None
            return
        moved = await self._import_somewhere(attempt, export)
        if moved is not None:
            self._measure(anyio.current_time() - started, moved.tokens)
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

    async def _import_somewhere(
        self, attempt: Attempt, export: KvExport
    ) -> Transferred | None:
        tried = {attempt.endpoint.id}
        for _ in range(IMPORT_TARGETS):
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
        # Counted as sent, so that other moves see where this one goes.
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

    def _measure(self, seconds: float, tokens: int) -> None:
        measured = max(0.0, seconds - MOVE_OVERHEAD_S) / max(tokens, 1)
        self._s_per_token += SMOOTHING * (measured - self._s_per_token)


async def _cancel_when_leaving(
    target: EndpointState, scope: anyio.CancelScope
) -> None:
    await target.leaving.wait()
    scope.cancel()


def limit_move(last_call: float) -> float:
    """Return the time by which one move has to be done."""
    now = anyio.current_time()
    seconds = max(SHORTEST_TRY_S, TRY_SHARE * (last_call - now))
    return min(last_call, now + seconds)


def is_running(attempt: Attempt) -> bool:
    """Whether the attempt still runs and nobody moves it."""
    return (
        attempt.interruption is None
        and not attempt.active.has_ended
        and attempt.active.attempt == attempt.call.attempt
    )


def ends_within(attempt: Attempt, seconds: float) -> bool:
    """Whether the answer will be whole in that time where it runs."""
    if not attempt.progress.tokens:
        return False
    request = attempt.active.request
    passed = anyio.current_time() - attempt.progress.started_at
    interval = passed / attempt.progress.tokens
    missing = request.max_tokens - len(attempt.active.tokens)
    return missing * interval <= seconds
