"""Non-repeatable service calls: each runs at most once.

Before a daemon sends a call, it writes an intent row to the table under
the account and the idempotency key, and thereby becomes the call's
holder. A call is never sent again once a byte of it may have reached a
service. If its holder dies, the call settles as unknown. That state is
final: the call may have run, so it is never reported as not run.
"""

import random
import uuid
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
import anyio.abc

from mimosamux_daemon.domain.names import DaemonId
from mimosamux_daemon.domain.outcomes import InDoubt, Outcome, Refused
from mimosamux_daemon.domain.store import Unavailable
from mimosamux_daemon.domain.work import ServiceCall
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.models.object_store import ObjectStore
from mimosamux_daemon.ports.models.service import Services
from mimosamux_daemon.ports.table import Table
from mimosamux_daemon.serving.side_effect_dispatch import (
    ChooseEndpoint,
    Dispatcher,
)
from mimosamux_daemon.serving.side_effect_duplicates import DuplicateCalls
from mimosamux_daemon.serving.side_effect_limits import SideEffectLimits
from mimosamux_daemon.serving.side_effect_orphans import (
    Liveness,
    OrphanDetector,
)
from mimosamux_daemon.serving.side_effect_outcomes import (
    check_key,
    in_doubt,
    not_running,
    refuse_unchecked,
    store_unavailable,
)
from mimosamux_daemon.serving.side_effect_rows import (
    CallRow,
    CallState,
    digest_call,
    row_key,
)
from mimosamux_daemon.serving.side_effect_store import (
    AbandonedIntent,
    CallStore,
    Claim,
    FoundRow,
    NotClaimed,
    is_not_run,
)
from mimosamux_daemon.serving.side_effect_upkeep import Cleaner, PendingWrites

__all__ = [
    'ChooseEndpoint',
    'Liveness',
    'SideEffectLimits',
    'SideEffects',
    'refuse_unchecked',
]

log = get_log('side_effects')


@dataclass(kw_only=True, slots=True)
class _PendingCall:
    """A call whose caller waits for the outcome."""

    done: anyio.Event = field(default_factory=anyio.Event)
    outcome: Outcome | None = None


def _always() -> bool:
    return True


class SideEffects:
    """Runs one call at most per account and idempotency key."""

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
        may_clean: Callable[[], bool] = _always,
        limits: SideEffectLimits | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._choose = choose
        self._daemon = daemon
        self._incarnation = incarnation
        self._limits = limits or SideEffectLimits()
        rng = rng or random.Random()
        self._store = CallStore(
            table=table, objects=objects, wall_clock=wall_clock
        )
        self._pending_writes = PendingWrites(store=self._store, rng=rng)
        orphans = OrphanDetector(
            daemon=daemon,
            incarnation=incarnation,
            liveness=liveness,
            grace_s=self._limits.overdue_grace_s,
        )
        self._cleaner = Cleaner(
            store=self._store,
            orphans=orphans,
            may_clean=may_clean,
            rng=rng,
        )
        self._duplicates = DuplicateCalls(
            store=self._store,
            orphans=orphans,
            limits=self._limits,
            rng=rng,
        )
        self._dispatcher = Dispatcher(
            store=self._store,
            pending_writes=self._pending_writes,
            services=services,
            choose=choose,
            wall_clock=wall_clock,
            limits=self._limits,
        )
        self._tasks: anyio.abc.TaskGroup | None = None
        self._open_calls = 0

    async def run(self) -> None:
        """Run calls, pending row writes and the cleaner until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._cleaner.run)
            try:
                await self._pending_writes.run()
            finally:
                self._tasks = None

    async def drain(self) -> None:
        """Wait until all calls have ended and all rows are written."""
        while self._open_calls or self._pending_writes.is_pending:  # noqa: ASYNC110
            await anyio.sleep(self._limits.poll_s)

    async def call(self, call: ServiceCall) -> Outcome:
        """Run the call, or return the outcome of an earlier one.

        The call continues in the background if the caller is cancelled.
        """
        refused = check_key(call)
        if refused is not None:
            return refused
        if self._tasks is None:
            stopped = not_running(self._limits.retry_after_s)
            return refuse_unchecked(call, stopped)
        pending = _PendingCall()
        self._open_calls += 1
        self._tasks.start_soon(self._run_call, call, pending)
        await pending.done.wait()
        return pending.outcome or in_doubt(call, self._limits.retry_after_s)

    async def _run_call(
        self, call: ServiceCall, pending: _PendingCall
    ) -> None:
        try:
            pending.outcome = await self._run_or_replay(call)
        finally:
            self._open_calls -= 1
            pending.done.set()
        log.info(
            'side_effect_ended',
            request=call.id,
            account=call.account,
            service=call.service,
            outcome=type(pending.outcome).__name__,
        )

    async def _run_or_replay(self, call: ServiceCall) -> Outcome:
        key = row_key(call.account, call.idempotency_key or '')
        give_up_at = anyio.current_time() + self._limits.wait_s
        while True:
            claim = await self._claim(key, call)
            if isinstance(claim, Claim):
                return await self._dispatcher.dispatch(claim, call)
            if not isinstance(claim, FoundRow):
                return claim
            outcome = await self._duplicates.find_outcome(
                claim, call, give_up_at
            )
            if outcome is not None:
                return outcome

    async def _claim(
        self, key: str, call: ServiceCall
    ) -> Claim | FoundRow | Refused | InDoubt:
        no_endpoint = self._choose(call.service, frozenset())
        if isinstance(no_endpoint, Refused):
            return await self._find_earlier_call(key, call, no_endpoint)
        now = anyio.current_time()
        row = CallRow(
            state=CallState.INTENT,
            token=uuid.uuid4().hex,
            digest=digest_call(call),
            daemon=self._daemon,
            incarnation=self._incarnation,
            request=call.id,
            time_left_s=call.deadline - now,
        )
        give_up_at = min(now + self._limits.claim_timeout_s, call.deadline)
        claim = await self._store.claim(key, row, give_up_at=give_up_at)
        if not isinstance(claim, NotClaimed):
            return claim
        if claim.replaceable_version is not None:
            self._pending_writes.add(
                AbandonedIntent(
                    key=key,
                    row=row,
                    replaceable_version=claim.replaceable_version,
                )
            )
        refused = store_unavailable(claim.reason, self._limits.retry_after_s)
        return refuse_unchecked(call, refused)

    async def _find_earlier_call(
        self, key: str, call: ServiceCall, no_endpoint: Refused
    ) -> FoundRow | Refused | InDoubt:
        """Return the row of an earlier call when no endpoint is available.

        Without such a row, return the refusal.
        """
        found = await self._store.find(key)
        if isinstance(found, Unavailable):
            return refuse_unchecked(call, no_endpoint)
        if isinstance(found, FoundRow) and not is_not_run(found):
            return found
        return no_endpoint
