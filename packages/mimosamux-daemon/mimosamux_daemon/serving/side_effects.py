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
from mimosamux_daemon.serving.side_effect_follow import Follower
from mimosamux_daemon.serving.side_effect_limits import SideEffectLimits
from mimosamux_daemon.serving.side_effect_orphans import Liveness, Orphans
from mimosamux_daemon.serving.side_effect_outcomes import (
    check_key,
    in_doubt,
    not_running,
    refuse_unseen,
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
    Found,
    NotClaimed,
    is_not_run,
)
from mimosamux_daemon.serving.side_effect_upkeep import Cleaner, LateWrites

__all__ = [
    'ChooseEndpoint',
    'Liveness',
    'SideEffectLimits',
    'SideEffects',
    'refuse_unseen',
]

log = get_log('side_effects')


@dataclass(kw_only=True, slots=True)
class _Waiting:
    done: anyio.Event = field(default_factory=anyio.Event)
    outcome: Outcome | None = None


def _always() -> bool:
    return True


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
        may_clean: Callable[[], bool] = _always,
        limits: SideEffectLimits | None = None,
        chance: random.Random | None = None,
    ) -> None:
        self._choose = choose
        self._daemon = daemon
        self._incarnation = incarnation
        self._limits = limits or SideEffectLimits()
        chance = chance or random.Random()
        self._store = CallStore(
            table=table, objects=objects, wall_clock=wall_clock
        )
        self._late = LateWrites(store=self._store, chance=chance)
        orphans = Orphans(
            daemon=daemon,
            incarnation=incarnation,
            liveness=liveness,
            extra_s=self._limits.overdue_s,
        )
        self._cleaner = Cleaner(
            store=self._store,
            orphans=orphans,
            may_clean=may_clean,
            chance=chance,
        )
        self._follower = Follower(
            store=self._store,
            orphans=orphans,
            limits=self._limits,
            chance=chance,
        )
        self._dispatcher = Dispatcher(
            store=self._store,
            late=self._late,
            services=services,
            choose=choose,
            wall_clock=wall_clock,
            limits=self._limits,
        )
        self._tasks: anyio.abc.TaskGroup | None = None
        self._open = 0

    async def run(self) -> None:
        """Run the calls, late writes and the cleaner until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._cleaner.run)
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
            stopped = not_running(self._limits.retry_after_s)
            return refuse_unseen(call, stopped)
        waiting = _Waiting()
        self._open += 1
        self._tasks.start_soon(self._drive, call, waiting)
        await waiting.done.wait()
        return waiting.outcome or in_doubt(call, self._limits.retry_after_s)

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
                return await self._dispatcher.dispatch(claim, call)
            if not isinstance(claim, Found):
                return claim
            outcome = await self._follower.follow(claim, call, give_up_at)
            if outcome is not None:
                return outcome

    async def _claim(
        self, key: str, call: ServiceCall
    ) -> Claim | Found | Refused | InDoubt:
        no_endpoint = self._choose(call.service, frozenset())
        if isinstance(no_endpoint, Refused):
            return await self._find_earlier(key, call, no_endpoint)
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
        give_up_at = min(now + self._limits.settle_s, call.deadline)
        claim = await self._store.claim(key, row, give_up_at=give_up_at)
        if not isinstance(claim, NotClaimed):
            return claim
        if claim.may_replace is not None:
            self._late.add(
                AbandonedIntent(
                    key=key, row=row, may_replace=claim.may_replace
                )
            )
        refused = store_unavailable(claim.reason, self._limits.retry_after_s)
        return refuse_unseen(call, refused)

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
