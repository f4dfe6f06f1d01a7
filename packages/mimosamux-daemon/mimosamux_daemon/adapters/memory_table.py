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

ANSWER_LOST = Unavailable(reason='answer lost', may_have_taken_effect=True)


@dataclass(kw_only=True, slots=True)
class TableFaults:
    """What goes wrong at present; tests change it while running."""

    down: bool = False
    delay_s: float = 0.0
    """Time before a call takes effect."""
    delay_after_s: float = 0.0
    """Time between the effect of a call and its answer."""
    lose_next_answers: int = 0
    """So many commits take effect and their answers are lost."""
    hold_next_commits: int = 0
    """So many commits get no answer and take effect `hold_s` later."""
    hold_s: float = 5.0


@dataclass(frozen=True, kw_only=True, slots=True)
class _HeldCommit:
    due: float
    checks: tuple[Check, ...]
    writes: tuple[Write, ...]


@dataclass(kw_only=True, slots=True)
class MemoryTable:
    """The `Table` port over a dictionary; counts what it served."""

    faults: TableFaults = field(default_factory=TableFaults)
    rows_by_key: dict[str, Row] = field(default_factory=dict)
    rows_read: int = 0
    rows_written: int = 0
    commits: int = 0
    _held: list[_HeldCommit] = field(default_factory=list)

    async def read(self, key: str) -> Row | None | Unavailable:
        """Return the row, None where there is none."""
        if not await self._is_up():
            return Unavailable(reason='down', may_have_taken_effect=False)
        self.rows_read += 1
        row = self.rows_by_key.get(key)
        await self._delay_answer()
        return row

    async def scan(
        self, prefix: str, *, after: str = '', limit: int = 1000
    ) -> tuple[Row, ...] | Unavailable:
        """Return rows whose key starts with `prefix`, sorted by key."""
        if not await self._is_up():
            return Unavailable(reason='down', may_have_taken_effect=False)
        keys = sorted(
            key
            for key in self.rows_by_key
            if key.startswith(prefix) and key > after
        )
        rows = tuple(self.rows_by_key[key] for key in keys[:limit])
        self.rows_read += len(rows)
        await self._delay_answer()
        return rows

    async def commit(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> CommitOutcome:
        """Write all rows together if every check holds."""
        if not await self._is_up():
            return Unavailable(reason='down', may_have_taken_effect=False)
        if self.faults.hold_next_commits > 0:
            self.faults.hold_next_commits -= 1
            self._hold(checks, writes)
            return ANSWER_LOST
        outcome = self._commit(checks, writes)
        await self._delay_answer()
        if isinstance(outcome, Committed) and self.faults.lose_next_answers:
            self.faults.lose_next_answers -= 1
            return ANSWER_LOST
        return outcome

    async def _is_up(self) -> bool:
        await anyio.lowlevel.checkpoint()
        if self.faults.delay_s:
            await anyio.sleep(self.faults.delay_s)
        self._release_held()
        return not self.faults.down

    async def _delay_answer(self) -> None:
        if self.faults.delay_after_s:
            await anyio.sleep(self.faults.delay_after_s)

    def _hold(self, checks: Sequence[Check], writes: Sequence[Write]) -> None:
        self._held.append(
            _HeldCommit(
                due=anyio.current_time() + self.faults.hold_s,
                checks=tuple(checks),
                writes=tuple(writes),
            )
        )

    def _release_held(self) -> None:
        now = anyio.current_time()
        due = [held for held in self._held if held.due <= now]
        self._held = [held for held in self._held if held.due > now]
        for held in sorted(due, key=lambda each: each.due):
            self._commit(held.checks, held.writes)

    def _commit(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> Committed | Conflict:
        for check in checks:
            row = self.rows_by_key.get(check.key)
            if (row.version if row else 0) != check.version:
                return Conflict(key=check.key, found=row)
        self.commits += 1
        return Committed(
            versions={write.key: self._apply(write) for write in writes}
        )

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
