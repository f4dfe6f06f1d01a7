"""A table in memory, with the faults that the platform's can have."""

from collections.abc import Sequence
from dataclasses import dataclass, field

import anyio
import anyio.lowlevel

from mimosamux_daemon.domain.store import (
    Check,
    CommitOutcome,
    Committed,
    Conflict,
    Row,
    Unavailable,
    Write,
)


@dataclass(kw_only=True, slots=True)
class TableFaults:
    """What goes wrong at present; tests change it while running."""

    down: bool = False
    delay_s: float = 0.0
    lose_next_answers: int = 0
    """So many commits take effect and their answers are lost."""


@dataclass(kw_only=True, slots=True)
class MemoryTable:
    """The `Table` port over a dictionary; counts what it served."""

    faults: TableFaults = field(default_factory=TableFaults)
    rows_by_key: dict[str, Row] = field(default_factory=dict)
    rows_read: int = 0
    rows_written: int = 0
    commits: int = 0

    async def read(self, key: str) -> Row | None | Unavailable:
        """Return the row, None where there is none."""
        if not await self._is_up():
            return Unavailable(reason='down', may_have_landed=False)
        self.rows_read += 1
        return self.rows_by_key.get(key)

    async def scan(
        self, prefix: str, *, after: str = '', limit: int = 1000
    ) -> tuple[Row, ...] | Unavailable:
        """Return rows whose key starts with `prefix`, sorted by key."""
        if not await self._is_up():
            return Unavailable(reason='down', may_have_landed=False)
        keys = sorted(
            key
            for key in self.rows_by_key
            if key.startswith(prefix) and key > after
        )
        rows = tuple(self.rows_by_key[key] for key in keys[:limit])
        self.rows_read += len(rows)
        return rows

    async def commit(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> CommitOutcome:
        """Write all rows together if every check holds."""
        if not await self._is_up():
            return Unavailable(reason='down', may_have_landed=False)
        for check in checks:
            row = self.rows_by_key.get(check.key)
            if (row.version if row else 0) != check.version:
                return Conflict(key=check.key, found=row)
        versions = {write.key: self._apply(write) for write in writes}
        self.commits += 1
        if self.faults.lose_next_answers > 0:
            self.faults.lose_next_answers -= 1
            return Unavailable(reason='answer lost', may_have_landed=True)
        return Committed(versions=versions)

    async def _is_up(self) -> bool:
        await anyio.lowlevel.checkpoint()
        if self.faults.delay_s:
            await anyio.sleep(self.faults.delay_s)
        return not self.faults.down

    def _apply(self, write: Write) -> int:
        self.rows_written += 1
        if write.value is None:
            self.rows_by_key.pop(write.key, None)
            return 0
        row = self.rows_by_key.get(write.key)
        version = row.version + 1 if row else 1
        self.rows_by_key[write.key] = Row(
            key=write.key, value=write.value, version=version
        )
        return version
