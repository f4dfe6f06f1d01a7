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

from mimosamux_daemon.domain.store import (
    Check,
    CommitOutcome,
    Committed,
    Row,
    Unavailable,
    Write,
)
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.metrics import Metrics
from mimosamux_daemon.ports.object_store import ObjectStore
from mimosamux_daemon.ports.table import Table

log = get_log('store_guard')

ResultT = TypeVar('ResultT')

ROWS_READ = 'read'
ROWS_WRITTEN = 'written'
CIRCUIT_OPEN = Unavailable(reason='circuit open', may_have_landed=False)


@dataclass(frozen=True, kw_only=True, slots=True)
class GuardLimits:
    """Limits of one guard; times are seconds."""

    call_timeout_s: float = 1.5
    """Longest that one try may take."""
    object_timeout_s: float = 5.0
    """The same for objects, which are larger."""
    tries: int = 3
    """Tries of one call, the first included."""
    pause_s: float = 0.05
    """Mean pause before the second try; it doubles with each."""
    retry_share: float = 0.1
    """Retries that each call earns for later ones."""
    retries_kept: float = 20.0
    """Most retries that can be saved up."""
    failures_to_open: int = 5
    """Failures in a row that open the circuit."""
    open_s: float = 1.0
    """Mean time until one call probes an open circuit."""
    open_most_s: float = 8.0
    """The time doubles with each failed probe, up to this."""


class RetryAllowance:
    """Allows retries as a share of calls, with a small reserve."""

    def __init__(self, *, share: float, most: float) -> None:
        self._share = share
        self._most = most
        self._saved = most

    def note_call(self) -> None:
        """Earn the share of one call."""
        self._saved = min(self._most, self._saved + self._share)

    def take(self) -> bool:
        """Spend one retry; False if none is left."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True


class CircuitBreaker:
    """Says when the store is so bad that calls need not be tried."""

    def __init__(self, *, limits: GuardLimits, chance: random.Random) -> None:
        self._limits = limits
        self._chance = chance
        self._failures = 0
        self._opened = 0
        self._probe_at: float | None = None

    @property
    def is_open(self) -> bool:
        """Whether the store counts as down at present."""
        return self._probe_at is not None

    def allows(self) -> bool:
        """Return True for a call that may go out, or for a due probe."""
        if self._probe_at is None:
            return True
        if anyio.current_time() < self._probe_at:
            return False
        self._put_off_probe()
        return True

    def note(self, *, failed: bool) -> None:
        """Take the outcome of a call into account."""
        if not failed:
            if self._probe_at is not None:
                log.info('circuit_closed')
            self._failures = self._opened = 0
            self._probe_at = None
            return
        self._failures += 1
        if self._failures < self._limits.failures_to_open:
            return
        if self._probe_at is None:
            log.warning('circuit_opened', failures=self._failures)
        self._opened += 1
        self._put_off_probe()

    def _put_off_probe(self) -> None:
        mean = self._limits.open_s * 2 ** max(0, self._opened - 1)
        pause = min(mean, self._limits.open_most_s)
        self._probe_at = anyio.current_time() + pause * self._chance.uniform(
            0.5, 1.5
        )


@dataclass(kw_only=True, slots=True)
class StoreGuard:
    """Shared state of the guarded ports towards one store."""

    metrics: Metrics
    limits: GuardLimits = field(default_factory=GuardLimits)
    chance: random.Random = field(default_factory=random.Random)
    budget: RetryAllowance = field(init=False)
    breaker: CircuitBreaker = field(init=False)

    def __post_init__(self) -> None:
        self.budget = RetryAllowance(
            share=self.limits.retry_share, most=self.limits.retries_kept
        )
        self.breaker = CircuitBreaker(limits=self.limits, chance=self.chance)

    def table(self, table: Table, *, mechanism: str) -> 'GuardedTable':
        """Return a guarded table whose rows count for a mechanism."""
        return GuardedTable(guard=self, table=table, mechanism=mechanism)

    def objects(self, objects: ObjectStore) -> 'GuardedObjectStore':
        """Return a guarded object store."""
        return GuardedObjectStore(guard=self, objects=objects)

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


@dataclass(frozen=True, kw_only=True, slots=True)
class GuardedTable:
    """The `Table` port with deadlines, retries and a breaker."""

    guard: StoreGuard
    table: Table
    mechanism: str

    async def read(self, key: str) -> Row | None | Unavailable:
        """Return the row, None where there is none."""
        self._count(ROWS_READ, 1)
        return await self.guard.read(
            lambda: self.table.read(key),
            timeout_s=self.guard.limits.call_timeout_s,
        )

    async def scan(
        self, prefix: str, *, after: str = '', limit: int = 1000
    ) -> tuple[Row, ...] | Unavailable:
        """Return rows whose key starts with `prefix`, sorted by key."""
        rows = await self.guard.read(
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
        outcome: CommitOutcome = await self.guard.write(
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
        return await self.guard.read(
            lambda: self.objects.put(key, data),
            timeout_s=self.guard.limits.object_timeout_s,
        )

    async def get(self, key: str) -> bytes | None | Unavailable:
        """Return the object, None where there is none."""
        return await self.guard.read(
            lambda: self.objects.get(key),
            timeout_s=self.guard.limits.object_timeout_s,
        )
