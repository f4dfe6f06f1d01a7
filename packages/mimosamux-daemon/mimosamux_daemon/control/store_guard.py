"""Guards the platform's store: deadlines, retries, a circuit breaker.

The store can be slow or down for a long time. Without a deadline a call
would hold its caller for as long; without a breaker every request would
wait for that deadline during an outage; and retries without a budget
would multiply the load on a store that is coming back.
"""

import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from typing import TypeVar

import anyio

from mimosamux_daemon.control.circuit_breaker import (
    CircuitBreaker,
    GuardLimits,
    RetryAllowance,
)
from mimosamux_daemon.domain.store import (
    Check,
    CommitOutcome,
    Committed,
    Row,
    Unavailable,
    Write,
)
from mimosamux_daemon.metrics import Metrics
from mimosamux_daemon.ports.models.object_store import ObjectStore
from mimosamux_daemon.ports.table import Table

__all__ = [
    'GuardLimits',
    'GuardedObjectStore',
    'GuardedTable',
    'StoreGuard',
]

ResultT = TypeVar('ResultT')

ROWS_READ = 'read'
ROWS_WRITTEN = 'written'
CIRCUIT_OPEN = Unavailable(reason='circuit open', may_have_landed=False)


@dataclass(kw_only=True, slots=True)
class CallGuard:
    """Guards the calls of one port; its users share one circuit."""

    limits: GuardLimits
    chance: random.Random
    budget: RetryAllowance = field(init=False)
    breaker: CircuitBreaker = field(init=False)

    def __post_init__(self) -> None:
        self.budget = RetryAllowance(
            share=self.limits.retry_share, most=self.limits.retries_kept
        )
        self.breaker = CircuitBreaker(limits=self.limits, chance=self.chance)

    async def read(
        self,
        call: Callable[[], Awaitable[ResultT | Unavailable]],
        *,
        timeout_s: float,
    ) -> ResultT | Unavailable:
        """Try a call that may be repeated, within the retry budget."""
        return await self._try(call, timeout_s=timeout_s, repeatable=True)

    async def write(
        self,
        call: Callable[[], Awaitable[ResultT | Unavailable]],
        *,
        timeout_s: float,
    ) -> ResultT | Unavailable:
        """Try a call again only if no earlier try can have landed."""
        return await self._try(call, timeout_s=timeout_s, repeatable=False)

    async def _try(
        self,
        call: Callable[[], Awaitable[ResultT | Unavailable]],
        *,
        timeout_s: float,
        repeatable: bool,
    ) -> ResultT | Unavailable:
        self.budget.note_call()
        result: ResultT | Unavailable = CIRCUIT_OPEN
        for number in range(self.limits.tries):
            if number and not await self._pause_before(number):
                return result
            if not self.breaker.allows():
                return result
            result = await self._try_once(call, timeout_s)
            if not isinstance(result, Unavailable):
                return result
            if result.may_have_landed and not repeatable:
                return result
        return result

    async def _try_once(
        self,
        call: Callable[[], Awaitable[ResultT | Unavailable]],
        timeout_s: float,
    ) -> ResultT | Unavailable:
        # A call that is cut off here may still be on its way to the
        # store, so a write that ran out of time may have landed.
        result: ResultT | Unavailable = Unavailable(
            reason=f'no answer in {timeout_s} s', may_have_landed=True
        )
        with anyio.move_on_after(timeout_s):
            result = await call()
        self.breaker.note(failed=isinstance(result, Unavailable))
        return result

    async def _pause_before(self, number: int) -> bool:
        if not self.budget.take():
            return False
        mean = self.limits.pause_s * 2 ** (number - 1)
        await anyio.sleep(mean * self.chance.uniform(0.5, 1.5))
        return True


@dataclass(kw_only=True, slots=True)
class StoreGuard:
    """Guards of the table and the object store.

    Each has a circuit of its own: the object store can be down while the
    table is up, and calls that need only the table must go on then.
    """

    metrics: Metrics
    limits: GuardLimits = field(default_factory=GuardLimits)
    chance: random.Random = field(default_factory=random.Random)
    table_calls: CallGuard = field(init=False)
    object_calls: CallGuard = field(init=False)

    def __post_init__(self) -> None:
        self.table_calls = CallGuard(limits=self.limits, chance=self.chance)
        self.object_calls = CallGuard(limits=self.limits, chance=self.chance)

    def table(self, table: Table, *, mechanism: str) -> 'GuardedTable':
        """Return a guarded table whose rows count for a mechanism."""
        return GuardedTable(guard=self, table=table, mechanism=mechanism)

    def objects(self, objects: ObjectStore) -> 'GuardedObjectStore':
        """Return a guarded object store."""
        return GuardedObjectStore(guard=self, objects=objects)


@dataclass(frozen=True, kw_only=True, slots=True)
class GuardedTable:
    """The `Table` port with deadlines, retries and a breaker."""

    guard: StoreGuard
    table: Table
    mechanism: str

    async def read(self, key: str) -> Row | None | Unavailable:
        """Return the row, None where there is none."""
        self._count(ROWS_READ, 1)
        return await self.guard.table_calls.read(
            lambda: self.table.read(key),
            timeout_s=self.guard.limits.call_timeout_s,
        )

    async def scan(
        self, prefix: str, *, after: str = '', limit: int = 1000
    ) -> tuple[Row, ...] | Unavailable:
        """Return rows whose key starts with `prefix`, sorted by key."""
        rows = await self.guard.table_calls.read(
            lambda: self.table.scan(prefix, after=after, limit=limit),
            timeout_s=self.guard.limits.call_timeout_s,
        )
        if not isinstance(rows, Unavailable):
            self._count(ROWS_READ, len(rows))
        return rows

    async def commit(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> CommitOutcome:
        """Write all rows together if every check holds."""
        outcome: CommitOutcome = await self.guard.table_calls.write(
            lambda: self.table.commit(checks, writes),
            timeout_s=self.guard.limits.call_timeout_s,
        )
        if isinstance(outcome, Committed):
            self._count(ROWS_WRITTEN, len(writes))
        return outcome

    def _count(self, kind: str, rows: int) -> None:
        self.guard.metrics.table_rows.add(
            {'mechanism': self.mechanism, 'kind': kind}, rows
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class GuardedObjectStore:
    """The `ObjectStore` port with deadlines, retries and a breaker."""

    guard: StoreGuard
    objects: ObjectStore

    async def put(self, key: str, data: bytes) -> None | Unavailable:
        """Store the object; a repeat stores the same once more."""
        return await self.guard.object_calls.read(
            lambda: self.objects.put(key, data),
            timeout_s=self.guard.limits.object_timeout_s,
        )

    async def get(self, key: str) -> bytes | None | Unavailable:
        """Return the object, None where there is none."""
        return await self.guard.object_calls.read(
            lambda: self.objects.get(key),
            timeout_s=self.guard.limits.object_timeout_s,
        )
