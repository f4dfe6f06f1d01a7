"""Calls whose key has a row already: what became of the earlier one."""

import random
from dataclasses import dataclass

import anyio

from mimosamux_daemon.domain.outcomes import Outcome
from mimosamux_daemon.domain.store import Unavailable
from mimosamux_daemon.domain.work import ServiceCall
from mimosamux_daemon.serving.side_effect_limits import SideEffectLimits
from mimosamux_daemon.serving.side_effect_orphans import Orphans
from mimosamux_daemon.serving.side_effect_outcomes import (
    in_doubt,
    key_reused,
    replayed_outcome,
    unknown_outcome,
)
from mimosamux_daemon.serving.side_effect_rows import (
    CallRow,
    CallState,
    digest_call,
)
from mimosamux_daemon.serving.side_effect_store import CallStore, Found


@dataclass(frozen=True, kw_only=True, slots=True)
class Follower:
    """Waits for the end of an earlier call, and gives its answer again."""

    store: CallStore
    orphans: Orphans
    limits: SideEffectLimits
    chance: random.Random

    async def follow(
        self, found: Found, call: ServiceCall, give_up_at: float
    ) -> Outcome | None:
        """Return what became of the call; None: the key is free."""
        pause_s = self.limits.poll_s
        digest = digest_call(call)
        while True:
            row = found.row
            if row is not None and row.digest != digest:
                return key_reused()
            if row is not None and row.is_settled:
                return await self._replay(found, row, call)
            if min(give_up_at, call.deadline) <= anyio.current_time():
                return in_doubt(call, self.limits.retry_after_s)
            now = await self._look_again(found, pause_s)
            if now is None:
                return None
            if isinstance(now, Unavailable):
                return in_doubt(call, self.limits.retry_after_s)
            pause_s = min(2 * pause_s, self.limits.poll_most_s)
            found = now

    async def _look_again(
        self, found: Found, pause_s: float
    ) -> Found | None | Unavailable:
        """Return the row some time later, or settled if nobody else will."""
        if found.row is not None and self.orphans.is_orphan(found.row):
            return await self.store.declare_unknown(found, found.row)
        await anyio.sleep(pause_s * self.chance.uniform(0.5, 1.5))
        return await self.store.find(found.key)

    async def _replay(
        self, found: Found, row: CallRow, call: ServiceCall
    ) -> Outcome | None:
        if row.state is CallState.NOT_RUN:
            return None
        if row.state is CallState.UNKNOWN or row.answer is None:
            return unknown_outcome(call)
        body = await self.store.load_body(found.key, row)
        if isinstance(body, bytes):
            return replayed_outcome(call, row.answer, body)
        return in_doubt(call, self.limits.retry_after_s)
