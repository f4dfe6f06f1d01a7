"""Writes that the store did not take in time, and old rows.

Without the late writes, a call that was refused during an outage would
stay in doubt, and an answer that a caller got would be lost to the next
one who asks. Without the cleaner the table would grow for ever.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatch

import anyio

from mimosamux_daemon.domain.store import Check, Row, Unavailable, Write
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.serving.side_effect_orphans import Orphans
from mimosamux_daemon.serving.side_effect_rows import (
    SIDE_EFFECT_PREFIX,
    parse_row,
)
from mimosamux_daemon.serving.side_effect_store import (
    AbandonedIntent,
    CallStore,
    Ending,
    Found,
)

log = get_log('side_effects')

MOST_LATE_WRITES = 10_000
FIRST_PAUSE_S = 0.25
MOST_PAUSE_S = 5.0
RETENTION_S = 24 * 3600.0
"""Settled rows are kept so long; far longer than a write can be late."""
CLEAN_PAGE_ROWS = 100
"""Rows read, and at most deleted, in one step of the cleaner."""
CLEAN_PAUSE_S = 10.0
"""Mean pause between two steps, which reads 10 rows a second."""
BUSY_PAUSE_S = 1.0
"""The same while whole pages are old: 100 rows deleted a second."""

LateWrite = AbandonedIntent | Ending


class LateWrites:
    """Repeats writes until the store has taken them."""

    def __init__(self, *, store: CallStore, chance: random.Random) -> None:
        self._store = store
        self._chance = chance
        self._pending: list[LateWrite] = []
        self._added = anyio.Event()

    @property
    def is_pending(self) -> bool:
        """Whether any write still waits for the store."""
        return bool(self._pending)

    def add(self, write: LateWrite) -> None:
        """Have a write repeated; above the limit the oldest is dropped.

        The row of a dropped one becomes unknown once it is overdue.
        """
        if len(self._pending) >= MOST_LATE_WRITES:
            log.warning('late_write_dropped')
            del self._pending[0]
        self._pending.append(write)
        self._added.set()

    async def run(self) -> None:
        """Write what is pending, with growing pauses while it fails."""
        pause_s = FIRST_PAUSE_S
        while True:
            await self._added.wait()
            failed = [
                write
                for write in tuple(self._pending)
                if not await self._is_done(write)
            ]
            if not self._pending:
                self._added = anyio.Event()
            if not failed:
                pause_s = FIRST_PAUSE_S
                continue
            await anyio.sleep(pause_s * self._chance.uniform(0.5, 1.5))
            pause_s = min(2 * pause_s, MOST_PAUSE_S)

    async def _is_done(self, write: LateWrite) -> bool:
        if not await write_late(write, self._store):
            return False
        if write in self._pending:
            self._pending.remove(write)
        return True


@singledispatch
async def write_late(write: object, store: CallStore) -> bool:
    """Write once more; False if the store did not take it."""
    raise TypeError(f'not a late write: {type(write).__name__}')


@write_late.register
async def _(write: AbandonedIntent, store: CallStore) -> bool:
    return await store.mark_not_run(write)


@write_late.register
async def _(write: Ending, store: CallStore) -> bool:
    return not isinstance(await store.write_ending(write), Unavailable)


@dataclass(frozen=True, kw_only=True, slots=True)
class Cleaned:
    """One step of the cleaner."""

    next_after: str
    """Key behind which to go on; empty: from the start."""
    is_busy: bool = False
    """Whether every row of a full page was old."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Cleaner:
    """Deletes settled rows some time after their end; settles orphans.

    `may_clean` keeps it to one daemon, for example a lease's holder; two
    at once do no harm but read every row twice.
    """

    store: CallStore
    orphans: Orphans
    may_clean: Callable[[], bool]
    chance: random.Random
    retention_s: float = RETENTION_S
    pause_s: float = CLEAN_PAUSE_S

    async def run(self) -> None:
        """Go through all rows again and again, one page a step."""
        step = Cleaned(next_after='')
        while True:
            pause_s = BUSY_PAUSE_S if step.is_busy else self.pause_s
            await anyio.sleep(pause_s * self.chance.uniform(0.5, 1.5))
            if self.may_clean():
                step = await self.clean_page(step.next_after)

    async def clean_page(self, after: str = '') -> Cleaned:
        """Clean the rows of one page."""
        rows = await self.store.table.scan(
            SIDE_EFFECT_PREFIX, after=after, limit=CLEAN_PAGE_ROWS
        )
        if isinstance(rows, Unavailable):
            return Cleaned(next_after=after)
        old = [row for row in rows if self._is_old(row)]
        if old:
            await self.store.table.commit(
                [Check(key=row.key, version=row.version) for row in old],
                [Write(key=row.key, value=None) for row in old],
            )
            log.info('side_effect_rows_deleted', rows=len(old))
        for row in rows:
            await self._settle_orphan(row)
        if len(rows) < CLEAN_PAGE_ROWS:
            return Cleaned(next_after='')
        return Cleaned(
            next_after=rows[-1].key, is_busy=len(old) == CLEAN_PAGE_ROWS
        )

    def _is_old(self, row: Row) -> bool:
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
            found = Found(key=row.key, row=parsed, version=row.version)
            await self.store.declare_unknown(found, parsed)
