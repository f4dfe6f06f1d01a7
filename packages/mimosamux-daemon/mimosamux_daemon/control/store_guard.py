"""Guards the platform's store: time-outs, retries, a circuit breaker.

The store can be slow or down for a long time. Without a time-out a call
would block its caller for all that time. Without a circuit breaker every
request during an outage would wait for the time-out. Retries without a
budget would multiply the load on a store that is recovering.
"""

import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from typing import TypeVar

import anyio

from mimosamux_daemon.control.circuit_breaker import (
    CircuitBreaker,
    GuardLimits,
    RetryBudget,
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
CIRCUIT_OPEN = Unavailable(reason='circuit open', may_have_taken_effect=False)


@dataclass(kw_only=True, slots=True)
class CallGuard:
    """Guards the calls to one store; all callers share one circuit."""

    limits: GuardLimits
    rng: random.Random
    retry_budget: RetryBudget = field(init=False)
    breaker: CircuitBreaker = field(init=False)

    def __post_init__(self) -> None:
        self.retry_budget = RetryBudget(
            share=self.limits.retry_share,
            capacity=self.limits.max_saved_retries,
        )
        self.breaker = CircuitBreaker(limits=self.limits, rng=self.rng)

    async def read(
        self,
        call: Callable[[], Awaitable[ResultT | Unavailable]],
        *,
        timeout_s: float,
    ) -> ResultT | Unavailable:
        """Make an idempotent call, with retries within the retry budget."""
        return await self._call_with_retries(
            call, timeout_s=timeout_s, is_idempotent=True
        )

    async def write(
        self,
        call: Callable[[], Awaitable[ResultT | Unavailable]],
        *,
        timeout_s: float,
    ) -> ResultT | Unavailable:
        """Make a call, retried only if no earlier attempt may have landed."""
        return await self._call_with_retries(
            call, timeout_s=timeout_s, is_idempotent=False
        )

    async def _call_with_retries(
        self,
        call: Callable[[], Awaitable[ResultT | Unavailable]],
        *,
        timeout_s: float,
        is_idempotent: bool,
    ) -> ResultT | Unavailable:
        self.retry_budget.record_call()
        result: ResultT | Unavailable = CIRCUIT_OPEN
        for attempt in range(self.limits.max_attempts):
            if attempt and not await self._back_off(attempt):
                return result
            if not self.breaker.allow_call():
                return result
            result = await self._attempt(call, timeout_s)
            if not isinstance(result, Unavailable):
                return result
            if result.may_have_taken_effect and not is_idempotent:
                return result
        return result

    async def _attempt(
        self,
        call: Callable[[], Awaitable[ResultT | Unavailable]],
        timeout_s: float,
    ) -> ResultT | Unavailable:
        # A call that is cancelled here may still reach the store, so a
        # write that timed out may have landed.
        result: ResultT | Unavailable = Unavailable(
            reason=f'no answer in {timeout_s} s', may_have_taken_effect=True
        )
        with anyio.move_on_after(timeout_s):
            result = await call()
        self.breaker.record_outcome(failed=isinstance(result, Unavailable))
        return result

    async def _back_off(self, attempt: int) -> bool:
        if not self.retry_budget.spend():
            return False
        mean_s = self.limits.first_backoff_s * 2 ** (attempt - 1)
        await anyio.sleep(mean_s * self.rng.uniform(0.5, 1.5))
        return True


@dataclass(kw_only=True, slots=True)
class StoreGuard:
    """Guards for the table and the object store.

    Each has its own circuit: the object store can be down while the
    table is up, and calls that need only the table must still go through.
    """

    metrics: Metrics
    limits: GuardLimits = field(default_factory=GuardLimits)
    rng: random.Random = field(default_factory=random.Random)
    table_calls: CallGuard = field(init=False)
    object_calls: CallGuard = field(init=False)

    def __post_init__(self) -> None:
        self.table_calls = CallGuard(limits=self.limits, rng=self.rng)
        self.object_calls = CallGuard(limits=self.limits, rng=self.rng)

    def table(self, table: Table, *, mechanism: str) -> 'GuardedTable':
        """Return a guarded table.

        Its rows are counted under the metric label `mechanism`.
        """
        return GuardedTable(guard=self, table=table, mechanism=mechanism)

    def objects(self, objects: ObjectStore) -> 'GuardedObjectStore':
        """Return a guarded object store."""
        return GuardedObjectStore(guard=self, objects=objects)


@dataclass(frozen=True, kw_only=True, slots=True)
class GuardedTable:
    """A `Table` with time-outs, retries and a circuit breaker."""

    guard: StoreGuard
    table: Table
    mechanism: str

    async def read(self, key: str) -> Row | None | Unavailable:
        """Return the row, or None if there is none."""
        self._count(ROWS_READ, 1)
        return await self.guard.table_calls.read(
            lambda: self.table.read(key),
            timeout_s=self.guard.limits.call_timeout_s,
        )

    async def scan(
        self, prefix: str, *, after: str = '', limit: int = 1000
    ) -> tuple[Row, ...] | Unavailable:
        """Return up to `limit` rows with this key prefix, sorted by key.

        Rows with keys up to and including `after` are left out.
        """
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
        """Write all rows in one transaction if every check holds."""
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
    """An `ObjectStore` with time-outs, retries and a circuit breaker."""

    guard: StoreGuard
    objects: ObjectStore

    async def put(self, key: str, data: bytes) -> None | Unavailable:
        """Store the object.

        `CallGuard.read` makes the call because the put is idempotent.
        """
        return await self.guard.object_calls.read(
            lambda: self.objects.put(key, data),
            timeout_s=self.guard.limits.object_timeout_s,
        )

    async def get(self, key: str) -> bytes | None | Unavailable:
        """Return the object, or None if there is none."""
        return await self.guard.object_calls.read(
            lambda: self.objects.get(key),
            timeout_s=self.guard.limits.object_timeout_s,
        )
