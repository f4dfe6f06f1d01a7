"""Periodic check of running attempts: stalls, leaving endpoints, callers."""

import anyio
import anyio.abc

from mimosamux_daemon.domain.names import EndpointId
from mimosamux_daemon.serving.attempts import Attempt, CallerGone
from mimosamux_daemon.serving.evacuation import Evacuation, is_running
from mimosamux_daemon.serving.fleet import EndpointState
from mimosamux_daemon.serving.relay import AttemptBroken, BreakCause
from mimosamux_daemon.serving.retries import RetryBudget

CHECK_INTERVAL_S = 0.1
"""Interval of the check of all running attempts."""
FIRST_TOKEN_TIMEOUT_FACTOR = 3.0
"""Timeout of the first token, as a multiple of the class's latency target
and of the attempt's estimate."""
MIN_FIRST_TOKEN_TIMEOUT_S = 3.0
STALL_TIMEOUT_FACTOR = 60.0
"""Timeout between two tokens, as a multiple of the class's token interval."""
MIN_STALL_TIMEOUT_S = 2.0
CALLER_GONE_GRACE_S = 5.0
"""Time that a caller has to reconnect before its request is cancelled."""


class AttemptWatch:
    """Interrupts attempts that stall, lose their caller or must move.

    One task checks all attempts, because a timer per attempt would cost
    more than the relay of its tokens. It runs while there are attempts.
    """

    def __init__(
        self,
        *,
        evacuation: Evacuation,
        budget: RetryBudget,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        self._evacuation = evacuation
        self._budget = budget
        self._tasks = tasks
        self._attempts: set[Attempt] = set()
        self._is_checking = False
        self._evacuating: set[EndpointId] = set()

    def add(self, attempt: Attempt) -> None:
        """Start watching an attempt."""
        self._attempts.add(attempt)
        if not self._is_checking:
            self._is_checking = True
            self._tasks.start_soon(self._check_all)

    def remove(self, attempt: Attempt) -> None:
        """Stop watching an attempt."""
        self._attempts.discard(attempt)

    async def _check_all(self) -> None:
        while self._attempts:
            await anyio.sleep(CHECK_INTERVAL_S)
            now = anyio.current_time()
            self._evacuate_endpoints()
            for attempt in tuple(self._attempts):
                self._check(attempt, now)
        self._is_checking = False

    def _evacuate_endpoints(self) -> None:
        states: dict[EndpointId, EndpointState] = {}
        for attempt in self._attempts:
            if attempt.state is not None and attempt.is_leaving:
                states[attempt.endpoint.id] = attempt.state
        for endpoint, state in states.items():
            if endpoint not in self._evacuating:
                self._evacuating.add(endpoint)
                self._tasks.start_soon(self._evacuate, state)

    async def _evacuate(self, state: EndpointState) -> None:
        endpoint = state.endpoint.id
        attempts = [
            attempt
            for attempt in self._attempts
            if attempt.endpoint.id == endpoint and is_movable(attempt)
        ]
        try:
            await self._evacuation.evacuate(state, attempts)
        finally:
            self._evacuating.discard(endpoint)

    def _check(self, attempt: Attempt, now: float) -> None:
        if attempt.progress.has_event:
            attempt.progress.has_event = False
            attempt.progress.last_event_at = now
        if not is_running(attempt):
            return
        if is_abandoned(attempt, now):
            attempt.interrupt(CallerGone())
        elif is_stalled(attempt, now) and self._budget.take(
            attempt.active.request.work_class
        ):
            # Without retry budget the attempt keeps its place in the
            # engine's queue: giving it up would only add to an overload.
            attempt.interrupt(
                AttemptBroken(cause=BreakCause.SILENT, reason='no event')
            )


def is_movable(attempt: Attempt) -> bool:
    """Whether the request may continue at another endpoint."""
    return attempt.active.request.work_class.repeatable


def is_abandoned(attempt: Attempt, now: float) -> bool:
    """Whether the caller is gone for long enough to cancel the request.

    Applies only to classes with `cancel_when_gone`.
    """
    active = attempt.active
    return (
        active.request.work_class.cancel_when_gone
        and active.unread_since is not None
        and now - active.unread_since > CALLER_GONE_GRACE_S
    )


def is_stalled(attempt: Attempt, now: float) -> bool:
    """Whether the engine has sent no event for longer than its timeout."""
    if attempt.transfer_done is not None or not is_movable(attempt):
        return False
    work_class = attempt.active.request.work_class
    if attempt.progress.tokens:
        timeout_s = max(
            MIN_STALL_TIMEOUT_S,
            STALL_TIMEOUT_FACTOR * work_class.token_interval_s,
        )
    else:
        timeout_s = max(
            MIN_FIRST_TOKEN_TIMEOUT_S,
            FIRST_TOKEN_TIMEOUT_FACTOR * work_class.first_token_s,
            FIRST_TOKEN_TIMEOUT_FACTOR * attempt.estimate_s,
        )
    silence_s = now - attempt.progress.last_event_at
    return silence_s > timeout_s * attempt.timeout_factor
