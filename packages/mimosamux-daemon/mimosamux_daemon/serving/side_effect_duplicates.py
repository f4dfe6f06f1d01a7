"""Calls whose idempotency key already has a row: duplicates of a call."""

import random
from dataclasses import dataclass

import anyio

from mimosamux_daemon.domain.outcomes import Outcome
from mimosamux_daemon.domain.store import Unavailable
from mimosamux_daemon.domain.work import ServiceCall
from mimosamux_daemon.serving.side_effect_limits import SideEffectLimits
from mimosamux_daemon.serving.side_effect_orphans import OrphanDetector
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
from mimosamux_daemon.serving.side_effect_store import CallStore, FoundRow


@dataclass(frozen=True, kw_only=True, slots=True)
class DuplicateCalls:
    """Waits until the first call has settled and replays its answer."""

    store: CallStore
    orphans: OrphanDetector
    limits: SideEffectLimits
    rng: random.Random

    async def find_outcome(
        self, found: FoundRow, call: ServiceCall, give_up_at: float
    ) -> Outcome | None:
        """Return the outcome of the first call.

        None means that the first call did not run, so the key is free.
        """
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
            now = await self._poll(found, pause_s)
            if now is None:
                return None
            if isinstance(now, Unavailable):
                return in_doubt(call, self.limits.retry_after_s)
            pause_s = min(2 * pause_s, self.limits.max_poll_s)
            found = now

    async def _poll(
        self, found: FoundRow, pause_s: float
    ) -> FoundRow | None | Unavailable:
        """Poll the row after a pause; settle it at once if it is orphaned."""
        if found.row is not None and self.orphans.is_orphan(found.row):
            return await self.store.declare_unknown(found, found.row)
        await anyio.sleep(pause_s * self.rng.uniform(0.5, 1.5))
        return await self.store.find(found.key)

    async def _replay(
        self, found: FoundRow, row: CallRow, call: ServiceCall
    ) -> Outcome | None:
        if row.state is CallState.NOT_RUN:
            return None
        if row.state is CallState.UNKNOWN or row.answer is None:
            return unknown_outcome(call)
        body = await self.store.load_body(found.key, row)
        if isinstance(body, bytes):
            return replayed_outcome(call, row.answer, body)
        return in_doubt(call, self.limits.retry_after_s)
