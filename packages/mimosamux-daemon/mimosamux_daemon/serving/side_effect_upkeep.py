"""Background maintenance of call rows: retried writes and clean-up.

Writes that fail during a store outage are retried. Otherwise a call that
was refused during the outage would stay in doubt, and an answer that the
caller received would not be available to duplicate calls. The cleaner
keeps the table from growing without bound.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatch

import anyio

from mimosamux_daemon.domain.store import Check, Row, Unavailable, Write
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.serving.side_effect_orphans import OrphanDetector
from mimosamux_daemon.serving.side_effect_rows import (
    SIDE_EFFECT_PREFIX,
    parse_row,
)
from mimosamux_daemon.serving.side_effect_store import (
    AbandonedIntent,
    CallStore,
    FinalState,
    FoundRow,
)

log = get_log('side_effects')

MAX_PENDING_WRITES = 10_000
INITIAL_PAUSE_S = 0.25
MAX_PAUSE_S = 5.0
RETENTION_S = 24 * 3600.0
"""Time that settled rows are kept, far longer than a write can be
delayed."""
CLEAN_PAGE_ROWS = 100
"""Rows read, and at most deleted, in one step of the cleaner."""
CLEAN_PAUSE_S = 10.0
"""Mean pause between two steps: reads 10 rows a second."""
BUSY_PAUSE_S = 1.0
"""Mean pause after a full page of expired rows: deletes 100 rows a second."""

PendingWrite = AbandonedIntent | FinalState


class PendingWrites:
    """Retries writes until the store has accepted them."""

    def __init__(self, *, store: CallStore, rng: random.Random) -> None:
        self._store = store
        self._rng = rng
        self._pending: list[PendingWrite] = []
        self._added = anyio.Event()

    @property
    def is_pending(self) -> bool:
        """Whether any write is still pending."""
        return bool(self._pending)

    def add(self, write: PendingWrite) -> None:
        """Queue a write for retries; a full queue drops its oldest write.

        The call of a dropped write becomes unknown once it is overdue.
        """
        if len(self._pending) >= MAX_PENDING_WRITES:
            log.warning('late_write_dropped')
            del self._pending[0]
        self._pending.append(write)
        self._added.set()

    async def run(self) -> None:
        """Retry pending writes with exponential backoff and jitter."""
        pause_s = INITIAL_PAUSE_S
        while True:
            await self._added.wait()
            failed = [
                write
                for write in tuple(self._pending)
                if not await self._is_written(write)
            ]
            if not self._pending:
                self._added = anyio.Event()
            if not failed:
                pause_s = INITIAL_PAUSE_S
                continue
            await anyio.sleep(pause_s * self._rng.uniform(0.5, 1.5))
            pause_s = min(2 * pause_s, MAX_PAUSE_S)

    async def _is_written(self, write: PendingWrite) -> bool:
        if not await retry_write(write, self._store):
            return False
        if write in self._pending:
            self._pending.remove(write)
        return True


@singledispatch
async def retry_write(write: object, store: CallStore) -> bool:
    """Try a write again; return False if the store did not accept it."""
    raise TypeError(f'not a pending write: {type(write).__name__}')


@retry_write.register
async def _(write: AbandonedIntent, store: CallStore) -> bool:
    return await store.mark_not_run(write)


@retry_write.register
async def _(write: FinalState, store: CallStore) -> bool:
    return not isinstance(await store.write_final_state(write), Unavailable)


@dataclass(frozen=True, kw_only=True, slots=True)
class CleaningStep:
    """Result of one step of the cleaner."""

    next_after: str
    """Key after which the next page starts; empty for the first page."""
    is_busy: bool = False
    """Whether the page was full and all its rows had expired."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Cleaner:
    """Deletes settled rows after the retention time and settles orphans.

    `may_clean` limits the work to one daemon, for example to the holder of
    a lease. Two cleaners at once do no harm but read every row twice.
    """

    store: CallStore
    orphans: OrphanDetector
    may_clean: Callable[[], bool]
    rng: random.Random
    retention_s: float = RETENTION_S
    pause_s: float = CLEAN_PAUSE_S

    async def run(self) -> None:
        """Scan all rows repeatedly, one page per step."""
        step = CleaningStep(next_after='')
        while True:
            pause_s = BUSY_PAUSE_S if step.is_busy else self.pause_s
            await anyio.sleep(pause_s * self.rng.uniform(0.5, 1.5))
            if self.may_clean():
                step = await self.clean_page(step.next_after)

    async def clean_page(self, after: str = '') -> CleaningStep:
        """Delete expired rows of one page and settle its orphans."""
        rows = await self.store.table.scan(
            SIDE_EFFECT_PREFIX, after=after, limit=CLEAN_PAGE_ROWS
        )
        if isinstance(rows, Unavailable):
            return CleaningStep(next_after=after)
        expired = [row for row in rows if self._is_expired(row)]
        if expired:
            await self.store.table.commit(
                [Check(key=row.key, version=row.version) for row in expired],
                [Write(key=row.key, value=None) for row in expired],
            )
            log.info('side_effect_rows_deleted', rows=len(expired))
        for row in rows:
            await self._settle_orphan(row)
        if len(rows) < CLEAN_PAGE_ROWS:
            return CleaningStep(next_after='')
        return CleaningStep(
            next_after=rows[-1].key, is_busy=len(expired) == CLEAN_PAGE_ROWS
        )

    def _is_expired(self, row: Row) -> bool:
        parsed = parse_row(row.value)
        if parsed is None or not parsed.is_settled:
            return False
        age_s = self.store.wall_clock() - parsed.settled_at
        return age_s > self.retention_s

    async def _settle_orphan(self, row: Row) -> None:
        parsed = parse_row(row.value)
        if parsed is None or parsed.is_settled:
            return
        if self.orphans.is_orphan(parsed):
            found = FoundRow(key=row.key, row=parsed, version=row.version)
            await self.store.declare_unknown(found, parsed)
