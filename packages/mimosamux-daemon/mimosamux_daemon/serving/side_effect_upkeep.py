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
from mimosamux_daemon.ports.table import Table
from mimosamux_daemon.serving.side_effect_rows import (
    SIDE_EFFECT_PREFIX,
    parse_row,
)
from mimosamux_daemon.serving.side_effect_store import (
    AbandonedIntent,
    CallStore,
    Ending,
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
"""Mean pause between two steps: a budget of 10 rows a second."""

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
class Cleaner:
    """Deletes settled rows some time after their end.

    `may_clean` keeps it to one daemon, for example a lease's holder; two
    at once do no harm but read every row twice.
    """

    table: Table
    wall_clock: Callable[[], float]
    may_clean: Callable[[], bool]
    retention_s: float = RETENTION_S
    pause_s: float = CLEAN_PAUSE_S

    async def run(self) -> None:
        """Go through all rows again and again, one page a step."""
        after = ''
        while True:
            await anyio.sleep(self.pause_s)
            after = await self.clean_page(after) if self.may_clean() else ''

    async def clean_page(self, after: str) -> str:
        """Delete old rows of one page; return where to go on."""
        rows = await self.table.scan(
            SIDE_EFFECT_PREFIX, after=after, limit=CLEAN_PAGE_ROWS
        )
        if isinstance(rows, Unavailable):
            return after
        old = [row for row in rows if self._is_old(row)]
        if old:
            await self.table.commit(
                [Check(key=row.key, version=row.version) for row in old],
                [Write(key=row.key, value=None) for row in old],
            )
            log.info('side_effect_rows_deleted', rows=len(old))
        return rows[-1].key if len(rows) == CLEAN_PAGE_ROWS else ''

    def _is_old(self, row: Row) -> bool:
        parsed = parse_row(row.value)
        if parsed is None or not parsed.is_settled:
            return False
        return self.wall_clock() - parsed.settled_at > self.retention_s
