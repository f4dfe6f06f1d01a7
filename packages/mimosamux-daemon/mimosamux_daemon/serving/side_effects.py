"""Calls of services that may not be repeated: each runs at most once.

Before a call is sent, a row in the table says who is about to send it.
Nothing is sent again once a byte may have reached a service. A call
whose holder is gone ends as unknown, which is final: it is never said
of such a call that it did not run.
"""

import random
import uuid
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import anyio
import anyio.abc

from mimosamux_daemon.domain.engine import ConnectFailed
from mimosamux_daemon.domain.names import DaemonId, EndpointId, ServiceName
from mimosamux_daemon.domain.outcomes import (
    Answered,
    InDoubt,
    Outcome,
    Reason,
    Refused,
)
from mimosamux_daemon.domain.store import Unavailable
from mimosamux_daemon.domain.vms import Endpoint
from mimosamux_daemon.domain.work import ServiceCall
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.object_store import ObjectStore
from mimosamux_daemon.ports.service import ServiceAnswer, Services
from mimosamux_daemon.ports.table import Table
from mimosamux_daemon.serving.side_effect_rows import (
    MAX_KEY_LENGTH,
    CallRow,
    CallState,
    digest_call,
    keep_answer,
    replayed_outcome,
    row_key,
    unknown_outcome,
)
from mimosamux_daemon.serving.side_effect_store import (
    AbandonedIntent,
    CallStore,
    Claim,
    Ending,
    Found,
    NotClaimed,
    is_not_run,
)
from mimosamux_daemon.serving.side_effect_upkeep import LateWrites

log = get_log('side_effects')

DOUBT_RETRY_AFTER_S = 2.0
"""When to come again after a doubt for which no time was given."""

ChooseEndpoint = Callable[
    [ServiceName, frozenset[EndpointId]], Endpoint | Refused
]
"""Chooses an endpoint of a service, without the excluded ones."""


class Liveness(Protocol):
    """Tells which processes of daemons are gone for good."""

    def is_dead(self, daemon: DaemonId, incarnation: int) -> bool:
        """Whether this process of the daemon counts as dead."""


@dataclass(frozen=True, kw_only=True, slots=True)
class SideEffectLimits:
    """Times of the handling of calls, in seconds."""

    dispatch_window_s: float = 2.0
    """A call goes out this soon after its row was written, or the row is
    checked again. Shorter than the time to take a daemon for dead."""
    settle_s: float = 3.0
    """Time to find out whether a write of unknown fate has landed."""
    ending_s: float = 1.0
    """Time that the caller waits for the row to hold the answer."""
    wait_s: float = 10.0
    """Time that a second caller waits for the first one's answer."""
    poll_s: float = 0.05
    """First pause between two looks at the row; it doubles."""
    poll_most_s: float = 1.0
    overdue_s: float = 30.0
    """Added to the holder's own time until its call counts as unknown,
    even if the holder seems to be alive."""
    retry_after_s: float = 2.0
    """When a caller is told to come again."""


@dataclass(kw_only=True, slots=True)
class _Waiting:
    done: anyio.Event = field(default_factory=anyio.Event)
    outcome: Outcome | None = None


class SideEffects:
    """Runs each call of an account under one key at most once."""

    def __init__(
        self,
        *,
        table: Table,
        objects: ObjectStore,
        services: Services,
        choose: ChooseEndpoint,
        liveness: Liveness,
        daemon: DaemonId,
        incarnation: int,
        wall_clock: Callable[[], float],
        limits: SideEffectLimits | None = None,
        chance: random.Random | None = None,
    ) -> None:
        self._services = services
        self._choose = choose
        self._liveness = liveness
        self._daemon = daemon
        self._incarnation = incarnation
        self._wall_clock = wall_clock
        self._limits = limits or SideEffectLimits()
        self._chance = chance or random.Random()
        self._store = CallStore(
            table=table, objects=objects, daemon=daemon, wall_clock=wall_clock
        )
        self._late = LateWrites(store=self._store, chance=self._chance)
        self._overdue = OverdueRows(extra_s=self._limits.overdue_s)
        self._tasks: anyio.abc.TaskGroup | None = None
        self._open = 0

    async def run(self) -> None:
        """Run the calls, and write late what the store did not take."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            try:
                await self._late.run()
            finally:
                self._tasks = None

    async def drain(self) -> None:
        """Return once every call has ended and every row is written."""
        while self._open or self._late.is_pending:  # noqa: ASYNC110
            await anyio.sleep(self._limits.poll_s)

    async def call(self, call: ServiceCall) -> Outcome:
        """Run the call, or return what became of it before.

        The call goes on if the one who waits here is cancelled.
        """
        refused = check_key(call)
        if refused is not None:
            return refused
        if self._tasks is None:
            stopping = Refused(
                reason=Reason.STOPPING,
                message='this daemon is not running; use another one',
                retry_after_s=self._limits.retry_after_s,
            )
            return refuse_unseen(call, stopping)
        waiting = _Waiting()
        self._open += 1
        self._tasks.start_soon(self._drive, call, waiting)
        await waiting.done.wait()
        return waiting.outcome or self._in_doubt(call)

    async def _drive(self, call: ServiceCall, waiting: _Waiting) -> None:
        try:
            waiting.outcome = await self._find_outcome(call)
        finally:
            self._open -= 1
            waiting.done.set()
        log.info(
            'side_effect_ended',
            request=call.id,
            account=call.account,
            service=call.service,
            outcome=type(waiting.outcome).__name__,
        )

    async def _find_outcome(self, call: ServiceCall) -> Outcome:
        key = row_key(call.account, call.idempotency_key or '')
        give_up_at = anyio.current_time() + self._limits.wait_s
        while True:
            claim = await self._claim(key, call)
            if isinstance(claim, Claim):
                return await self._dispatch(claim, call)
            if not isinstance(claim, Found):
                return claim
            outcome = await self._follow(claim, call, give_up_at)
            if outcome is not None:
                return outcome

    async def _claim(
        self, key: str, call: ServiceCall
    ) -> Claim | Found | Refused | InDoubt:
        no_endpoint = self._choose(call.service, frozenset())
        if isinstance(no_endpoint, Refused):
            return await self._find_earlier(key, call, no_endpoint)
        row = CallRow(
            state=CallState.INTENT,
            token=uuid.uuid4().hex,
            digest=digest_call(call),
            daemon=self._daemon,
            incarnation=self._incarnation,
            request=call.id,
            time_left_s=call.deadline - anyio.current_time(),
        )
        claim = await self._store.claim(
            key, row, give_up_at=self._settle_until(call)
        )
        if not isinstance(claim, NotClaimed):
            return claim
        self._abandon(key, row, claim.may_replace)
        return refuse_unseen(call, self._store_unavailable(claim.reason))

    async def _find_earlier(
        self, key: str, call: ServiceCall, no_endpoint: Refused
    ) -> Found | Refused | InDoubt:
        """Return the row of an earlier call; nothing new can be sent."""
        found = await self._store.find(key)
        if isinstance(found, Unavailable):
            return refuse_unseen(call, no_endpoint)
        if isinstance(found, Found) and not is_not_run(found):
            return found
        return no_endpoint

    async def _dispatch(self, claim: Claim, call: ServiceCall) -> Outcome:
        excluding: frozenset[EndpointId] = frozenset()
        while True:
            endpoint = self._choose(call.service, excluding)
            if isinstance(endpoint, Refused):
                return self._give_up(claim, endpoint)
            if anyio.current_time() >= call.deadline:
                return self._give_up(claim, _deadline_passed())
            confirmed = await self._confirm(claim, call)
            if not isinstance(confirmed, Claim):
                return confirmed
            claim = confirmed
            if self._is_stale(claim):
                continue
            answer = await self._send(endpoint, call)
            if not isinstance(answer, ConnectFailed):
                return await self._end(claim, call, answer)
            log.info(
                'connect_failed',
                request=call.id,
                endpoint=endpoint.id,
                reason=answer.reason,
            )
            excluding |= {endpoint.id}

    async def _send(
        self, endpoint: Endpoint, call: ServiceCall
    ) -> ServiceAnswer | ConnectFailed | None:
        """Send the call once; None if it may have run unanswered."""
        with anyio.CancelScope(deadline=call.deadline):
            answer = await self._services.call(endpoint, call)
            if isinstance(answer, ServiceAnswer | ConnectFailed):
                return answer
        return None

    def _is_stale(self, claim: Claim) -> bool:
        age_s = anyio.current_time() - claim.sent_at
        return age_s > self._limits.dispatch_window_s

    async def _confirm(
        self, claim: Claim, call: ServiceCall
    ) -> Claim | Outcome:
        if not self._is_stale(claim):
            return claim
        confirmed = await self._store.confirm(
            claim, give_up_at=self._settle_until(call)
        )
        if isinstance(confirmed, Claim):
            return confirmed
        if isinstance(confirmed, NotClaimed):
            return self._give_up(
                claim, self._store_unavailable(confirmed.reason)
            )
        # Somebody has settled the call meanwhile; it must not go out.
        return unknown_outcome(call)

    async def _end(
        self, claim: Claim, call: ServiceCall, answer: ServiceAnswer | None
    ) -> Outcome:
        kept = keep_answer(answer) if answer else None
        state = CallState.ANSWERED if answer else CallState.UNKNOWN
        ending = Ending(
            claim=claim,
            row=claim.row.settle(
                state, settled_at=self._wall_clock(), answer=kept
            ),
            body=answer.body if answer else b'',
        )
        stands = await self._write_ending(ending)
        if answer is None or stands.state is not CallState.ANSWERED:
            return unknown_outcome(call)
        return Answered(
            request=call.id,
            status=answer.status,
            headers=answer.headers,
            body=answer.body,
        )

    async def _write_ending(self, ending: Ending) -> CallRow:
        """Return the row that stands; during an outage, our own.

        The service has answered: the caller gets the answer, also while
        the store is down, and the row is written once it is back.
        """
        give_up_at = anyio.current_time() + self._limits.ending_s
        stands = await self._store.write_ending(ending)
        while isinstance(stands, Unavailable):
            if anyio.current_time() >= give_up_at:
                self._late.add(ending)
                return ending.row
            await anyio.sleep(self._limits.poll_s)
            stands = await self._store.write_ending(ending)
        return stands

    def _give_up(self, claim: Claim, refused: Refused) -> Refused:
        """Refuse a call that this daemon will never send."""
        self._abandon(claim.key, claim.row, claim.version)
        return refused

    def _abandon(
        self, key: str, row: CallRow, may_replace: int | None
    ) -> None:
        if may_replace is not None:
            self._late.add(
                AbandonedIntent(key=key, row=row, may_replace=may_replace)
            )

    async def _follow(
        self, found: Found, call: ServiceCall, give_up_at: float
    ) -> Outcome | None:
        """Wait for the end of a call that has a row; None: key is free."""
        pause_s = self._limits.poll_s
        digest = digest_call(call)
        while True:
            row = found.row
            if row is not None and row.digest != digest:
                return _key_reused()
            if row is not None and row.is_settled:
                return await self._replay(found, row, call)
            if row is not None and self._is_orphan(row):
                now: (
                    Found | None | Unavailable
                ) = await self._store.declare_unknown(found, row)
            elif min(give_up_at, call.deadline) <= anyio.current_time():
                return self._in_doubt(call)
            else:
                await anyio.sleep(pause_s * self._chance.uniform(0.5, 1.5))
                pause_s = min(2 * pause_s, self._limits.poll_most_s)
                now = await self._store.find(found.key)
            if now is None:
                return None
            if isinstance(now, Unavailable):
                return self._in_doubt(call)
            found = now

    async def _replay(
        self, found: Found, row: CallRow, call: ServiceCall
    ) -> Outcome | None:
        if row.state is CallState.NOT_RUN:
            return None
        if row.state is CallState.UNKNOWN or row.answer is None:
            return unknown_outcome(call)
        body = await self._store.load_body(found.key, row)
        if isinstance(body, bytes):
            return replayed_outcome(call, row.answer, body)
        return self._in_doubt(call)

    def _is_orphan(self, row: CallRow) -> bool:
        """Whether the holder of an open call will not end it."""
        if row.daemon == self._daemon and row.incarnation != self._incarnation:
            return True
        if self._liveness.is_dead(row.daemon, row.incarnation):
            return True
        return self._overdue.is_overdue(row)

    def _in_doubt(self, call: ServiceCall) -> InDoubt:
        return InDoubt(
            request=call.id,
            message='an earlier call with this key is not settled yet',
            retry_after_s=self._limits.retry_after_s,
        )

    def _settle_until(self, call: ServiceCall) -> float:
        latest = anyio.current_time() + self._limits.settle_s
        return min(latest, call.deadline)

    def _store_unavailable(self, reason: str) -> Refused:
        return Refused(
            reason=Reason.STORE_UNAVAILABLE,
            message=f'the platform cannot record the call now: {reason}',
            retry_after_s=self._limits.retry_after_s,
        )


class OverdueRows:
    """Remembers since when open rows have been seen at this daemon."""

    MOST_ROWS = 10_000

    def __init__(self, *, extra_s: float) -> None:
        self._extra_s = extra_s
        self._since_by_token: dict[str, float] = {}

    def is_overdue(self, row: CallRow) -> bool:
        """Whether the holder has had all its time since the first look."""
        now = anyio.current_time()
        if len(self._since_by_token) >= self.MOST_ROWS:
            oldest = next(iter(self._since_by_token))
            del self._since_by_token[oldest]
        since = self._since_by_token.setdefault(row.token, now)
        return now > since + row.time_left_s + self._extra_s


def check_key(call: ServiceCall) -> Refused | None:
    """Return why a call's idempotency key will not do, if it won't."""
    key = call.idempotency_key
    if key and len(key) <= MAX_KEY_LENGTH:
        return None
    return Refused(
        reason=Reason.BAD_REQUEST,
        message=(
            f'Idempotency-Key: calls of class {call.work_class.name!r} may'
            ' not be repeated, so they need a key of 1 to'
            f' {MAX_KEY_LENGTH} characters'
        ),
    )


def refuse_unseen(call: ServiceCall, refused: Refused) -> Refused | InDoubt:
    """Return the refusal of a call whose row this daemon has not seen.

    An earlier call with the same key may have run, for example through a
    daemon that died before it could answer. A caller who is told 'not
    run' would send the call under another key, and it would run twice.
    """
    if call.is_first:
        return refused
    return InDoubt(
        request=call.id,
        message=(
            f'{refused.message}; whether an earlier call with this key ran'
            ' cannot be told now, so come again with the same key'
        ),
        retry_after_s=refused.retry_after_s or DOUBT_RETRY_AFTER_S,
    )


def _key_reused() -> Refused:
    return Refused(
        reason=Reason.CONFLICT,
        message='Idempotency-Key: it was used for another path or body',
    )


def _deadline_passed() -> Refused:
    return Refused(
        reason=Reason.DEADLINE,
        message='the deadline of its class passed before it could be sent',
    )
