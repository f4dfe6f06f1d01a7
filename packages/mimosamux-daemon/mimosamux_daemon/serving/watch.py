"""Watch over the running attempts of a daemon."""

import anyio
import anyio.abc

from mimosamux_daemon.domain.names import EndpointId
from mimosamux_daemon.serving.attempts import Attempt, CallerGone
from mimosamux_daemon.serving.fleet import EndpointState
from mimosamux_daemon.serving.recovery import Recovery, is_running
from mimosamux_daemon.serving.relay import AttemptBroken, BreakCause
from mimosamux_daemon.serving.retries import RetryBudget

SWEEP_S = 0.1
"""Time between two looks at the running attempts."""
FIRST_TOKEN_PATIENCE = 3.0
"""Silence before the first token, in latency targets of the class."""
SHORTEST_FIRST_SILENCE_S = 3.0
STALL_PATIENCE = 60.0
"""Silence between two tokens, in token intervals of the class."""
SHORTEST_STALL_S = 2.0
GONE_GRACE_S = 5.0
"""Time that a caller has to come back before its work is cancelled."""


class AttemptWatch:
    """Finds attempts that have to be interrupted.

    One task looks at all attempts, because a timer for each would cost
    more than the relay of its tokens. It runs while there are attempts.
    """

    def __init__(
        self,
        *,
        recovery: Recovery,
        budget: RetryBudget,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        self._recovery = recovery
        self._budget = budget
        self._tasks = tasks
        self._attempts: set[Attempt] = set()
        self._is_sweeping = False
        self._being_left: set[EndpointId] = set()

    def add(self, attempt: Attempt) -> None:
        """Watch an attempt from now on."""
        self._attempts.add(attempt)
        if not self._is_sweeping:
            self._is_sweeping = True
            self._tasks.start_soon(self._sweep)

    def remove(self, attempt: Attempt) -> None:
        """Stop watching an attempt."""
        self._attempts.discard(attempt)

    async def _sweep(self) -> None:
        while self._attempts:
            await anyio.sleep(SWEEP_S)
            now = anyio.current_time()
            self._leave_endpoints()
            for attempt in tuple(self._attempts):
                self._check(attempt, now)
        self._is_sweeping = False

    def _leave_endpoints(self) -> None:
        states: dict[EndpointId, EndpointState] = {}
        for attempt in self._attempts:
            if attempt.state is not None and attempt.is_leaving:
                states[attempt.endpoint.id] = attempt.state
        for endpoint, state in states.items():
            if endpoint not in self._being_left:
                self._being_left.add(endpoint)
                self._tasks.start_soon(self._leave, state)

    async def _leave(self, state: EndpointState) -> None:
        endpoint = state.endpoint.id
        attempts = [
            attempt
            for attempt in self._attempts
            if attempt.endpoint.id == endpoint and is_movable(attempt)
        ]
        try:
            await self._recovery.move_away(state, attempts)
        finally:
            self._being_left.discard(endpoint)

    def _check(self, attempt: Attempt, now: float) -> None:
        if attempt.progress.has_event:
            attempt.progress.has_event = False
            attempt.progress.last_event_at = now
        if not is_running(attempt):
            return
        if has_lost_its_caller(attempt, now):
            attempt.interrupt(CallerGone())
        elif is_silent(attempt, now) and self._budget.take(
            attempt.active.request.work_class
        ):
            # Without a budget it keeps its place in the engine's queue:
            # giving that up for nothing would only add to an overload.
            attempt.interrupt(
                AttemptBroken(cause=BreakCause.SILENT, reason='no event')
            )


def is_movable(attempt: Attempt) -> bool:
    """Whether the request may go on at another endpoint."""
    return attempt.active.request.work_class.repeatable


def has_lost_its_caller(attempt: Attempt, now: float) -> bool:
    """Whether nobody reads, for long enough, and the class minds."""
    active = attempt.active
    return (
        active.request.work_class.cancel_when_gone
        and active.unread_since is not None
        and now - active.unread_since > GONE_GRACE_S
    )


def is_silent(attempt: Attempt, now: float) -> bool:
    """Whether the engine has been silent for longer than makes sense."""
    if attempt.moving is not None or not is_movable(attempt):
        return False
    work_class = attempt.active.request.work_class
    if attempt.progress.tokens:
        limit = max(
            SHORTEST_STALL_S, STALL_PATIENCE * work_class.token_interval_s
        )
    else:
        limit = max(
            SHORTEST_FIRST_SILENCE_S,
            FIRST_TOKEN_PATIENCE * work_class.first_token_s,
            FIRST_TOKEN_PATIENCE * attempt.estimate_s,
        )
    silence = now - attempt.progress.last_event_at
    return silence > limit * attempt.patience
