"""Leases with fencing tokens, stored as rows of the platform's table.

Wall clocks of different machines are never compared. The holder measures
the lease duration on its own monotonic clock from before it sends the
write; a successor measures it on its own from after it first reads the
row. The holder's lease therefore expires before the successor may take
it, whatever the network delays.

A table that is restored from an older copy may have lost the row that a
lease rests on. The holder then stops acting until it has renewed, and the
fencing tokens of each era of the table are above all earlier ones.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
import orjson

from mimosamux_daemon.decoding import decode_json
from mimosamux_daemon.domain.audit import AuditEntry, AuditKind
from mimosamux_daemon.domain.names import DaemonId
from mimosamux_daemon.domain.store import (
    Check,
    CommitOutcome,
    Committed,
    Conflict,
    Row,
    Unavailable,
    Write,
)
from mimosamux_daemon.domain.store_eras import (
    ERA_COUNT,
    StoreEra,
    era_of,
)
from mimosamux_daemon.errors import InvalidConfiguration
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.table import Table

log = get_log('leases')

LEASE_PREFIX = 'lease/'
FENCING_PER_ERA = 1_000_000
"""Range of fencing tokens of one era; far fewer are ever used in it."""
MAX_FENCING = ERA_COUNT * FENCING_PER_ERA
MAX_DURATION_S = 3600.0
"""Longest duration of a lease; behind a longer one, nobody would take over."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LeasePolicy:
    """Durations and intervals of a lease, in seconds."""

    duration_s: float = 10.0
    renew_interval_s: float = 3.0
    poll_interval_s: float = 3.0
    """Interval at which a daemon that waits for the lease reads its row."""
    jitter: float = 0.2
    """Fraction by which each interval is at most shortened, at random."""
    stop_margin_s: float = 2.0
    """The holder stops acting this long before the lease expires."""
    take_margin_s: float = 1.0
    """Time that a successor waits beyond the lease duration; it covers
    clocks that run at slightly different rates."""
    unfenced_margin_s: float = 10.0
    """Additional wait where an endpoint ignores fencing tokens: longer than
    an order of the former holder can be in flight."""
    call_timeout_s: float = 2.0
    """Time-out of a call to the table."""
    restart_ends_lease: bool = False
    """Whether a new process under the holder's id proves that the former
    one has ended. This holds where the id is an address on which both
    processes listen."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseRecord:
    """Content of the row of a lease."""

    holder: DaemonId
    incarnation: int
    fencing: int
    """Fencing token; it increases each time the lease is taken."""
    duration_s: float
    released: bool = False
    """Whether the holder has released the lease and stopped acting."""


@dataclass(kw_only=True, slots=True)
class Lease:
    """A lease that this daemon holds; check `is_valid` before each order."""

    name: str
    record: LeaseRecord
    version: int
    valid_until: float
    renewed_at: float
    """When the newest confirmed write of its row was sent."""
    clock: Callable[[], float] = anyio.current_time
    table_era: StoreEra = field(default_factory=StoreEra)
    is_continuous: bool = False
    """Whether nobody else can have held the lease since this daemon did."""

    @property
    def fencing(self) -> int:
        """Fencing token that is sent with every order under this lease."""
        return self.record.fencing

    def is_valid(self) -> bool:
        """Return whether the holder may act at this moment.

        Another daemon may have taken the lease over while this daemon's
        VM or process was suspended, and after a resume the task can run
        before its timers fire. Without this check right before an order,
        two holders would act at once. So they would if the table has
        lost the row that the lease rests on.
        """
        is_in_table = era_of(self.version) == self.table_era.current
        return is_in_table and not self.has_expired()

    @property
    def is_ended(self) -> bool:
        """Whether the lease was ended before it ran out."""
        return self.valid_until == float('-inf')

    def has_expired(self) -> bool:
        """Return whether the lease has run out without a renewal."""
        return self.clock() >= self.valid_until

    def end(self) -> None:
        """Invalidate this lease permanently."""
        self.valid_until = float('-inf')


@dataclass(frozen=True, kw_only=True, slots=True)
class Renewed:
    """The lease is renewed for its full duration."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseLost:
    """Another daemon or incarnation has taken the lease."""

    holder: DaemonId


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseUnconfirmed:
    """The table did not confirm the write; the caller retries later."""

    reason: str


def parse_record(row: Row) -> LeaseRecord:
    """Decode the row of a lease; raises `InvalidConfiguration`."""
    record = decode_json(row.value, LeaseRecord)
    if not 0 < record.fencing < MAX_FENCING:
        raise InvalidConfiguration(path='fencing', problem='out of range')
    if not 0 <= record.duration_s <= MAX_DURATION_S:
        raise InvalidConfiguration(path='duration_s', problem='out of range')
    return record


def first_fencing(era: int) -> int:
    """Return the lowest fencing token of an era of the table."""
    return max(era * FENCING_PER_ERA, 1)


class LeaseTable:
    """Takes, renews and releases one lease, each in one transaction."""

    def __init__(
        self,
        *,
        table: Table,
        name: str,
        holder: DaemonId,
        incarnation: int,
        wall_clock: Callable[[], float],
        policy: LeasePolicy,
        clock: Callable[[], float] = anyio.current_time,
        table_era: StoreEra | None = None,
    ) -> None:
        """Set up access to the lease `name` for the daemon `holder`.

        Where the platform suspends VMs, `clock` has to advance while the
        VM is suspended. Without `table_era`, the table loses nothing.
        """
        self.table_era = table_era or StoreEra(clock=clock)
        self._clock = clock
        self._table = table
        self._name = name
        self._holder = holder
        self._incarnation = incarnation
        self._wall_clock = wall_clock
        self._policy = policy
        self._key = f'{LEASE_PREFIX}{name}'
        self._highest_fencing = 0
        """Highest fencing token that this process has read or used."""
        self._unreadable_version = 0
        """Version of the last row that was logged as unreadable."""

    def record_of(self, row: Row | None) -> LeaseRecord | None:
        """Return the record in a row, None if there is none that is valid.

        An unreadable row may hide a holder: a successor waits as for a lease
        of its own policy, from when it first reads the row.
        """
        if row is None:
            return None
        try:
            record = parse_record(row)
        except InvalidConfiguration as error:
            if row.version != self._unreadable_version:
                log.error('row_unreadable', key=row.key, problem=str(error))
            self._unreadable_version = row.version
            return None
        self._highest_fencing = max(self._highest_fencing, record.fencing)
        return record

    async def read(self) -> Row | None | Unavailable:
        """Read the current row of the lease; None if there is none."""
        with anyio.move_on_after(self._policy.call_timeout_s):
            return await self._table.read(self._key)
        return Unavailable(reason='timeout', may_have_taken_effect=False)

    def is_own(self, row: Row) -> bool:
        """Return whether this incarnation of this daemon holds the lease.

        Not if it took the lease in an earlier era: a restored table does
        not show who has taken it since.
        """
        record = self.record_of(row)
        return (
            record is not None
            and record.holder == self._holder
            and record.incarnation == self._incarnation
            and record.fencing >= first_fencing(self.table_era.current)
            and not record.released
        )

    def is_other_incarnation(self, row: Row) -> bool:
        """Return whether another incarnation of this daemon wrote the row."""
        record = self.record_of(row)
        return (
            record is not None
            and record.holder == self._holder
            and record.incarnation != self._incarnation
        )

    async def take(self, seen: Row | None) -> Lease | LeaseUnconfirmed:
        """Take the lease if its row has not changed since `seen` was read."""
        old = self.record_of(seen)
        record = LeaseRecord(
            holder=self._holder,
            incarnation=self._incarnation,
            fencing=max(
                self._highest_fencing + 1,
                first_fencing(self.table_era.current),
            ),
            duration_s=self._policy.duration_s,
        )
        version = seen.version if seen else 0
        sent_at = self._clock()
        audit = self._describe_change('take', old, record)
        outcome = await self._write(record, version, audit)
        if isinstance(outcome, Committed):
            return self._confirm_era(
                self._make_lease(record, outcome.versions[self._key], sent_at)
            )
        if isinstance(outcome, Unavailable) and outcome.may_have_taken_effect:
            return await self._confirm_take(record, sent_at)
        return LeaseUnconfirmed(reason=_describe(outcome))

    async def resume(self, seen: Row) -> Lease | LeaseUnconfirmed:
        """Renew a lease that the table shows as held by this incarnation.

        The response to a take can be lost and the write be applied late,
        after the row was read back. Without this method, no daemon could
        take the lease until that row expires, and this daemon would wait
        for its own lease to expire.
        """
        record = self.record_of(seen)
        assert record is not None
        lease = self._make_lease(record, seen.version, float('-inf'))
        outcome = await self.renew(lease)
        if isinstance(outcome, Renewed):
            return lease
        return LeaseUnconfirmed(reason='own row was not confirmed')

    async def renew(
        self, lease: Lease
    ) -> Renewed | LeaseLost | LeaseUnconfirmed:
        """Renew the lease for its full duration."""
        sent_at = self._clock()
        outcome = await self._write(lease.record, lease.version, None)
        if isinstance(outcome, Committed):
            lease.version = outcome.versions[self._key]
            lease.valid_until = self._valid_until(sent_at)
            lease.renewed_at = sent_at
            return Renewed()
        if isinstance(outcome, Unavailable):
            return LeaseUnconfirmed(reason=outcome.reason)
        found, record = outcome.found, self.record_of(outcome.found)
        if found and record == lease.record:
            # An earlier renewal was applied and its response lost. This
            # daemon still holds the row, at a newer version: treating it
            # as another holder's would lose the lease with every lost
            # response.
            lease.version = found.version
            return LeaseUnconfirmed(reason='an earlier renewal had landed')
        lease.end()
        return LeaseLost(holder=record.holder if record else DaemonId(''))

    async def release(self, lease: Lease) -> None:
        """Release the lease so that a successor need not await its expiry."""
        lease.end()
        old = lease.record
        record = LeaseRecord(
            holder=old.holder,
            incarnation=old.incarnation,
            fencing=old.fencing,
            duration_s=old.duration_s,
            released=True,
        )
        audit = self._describe_change('release', old, record)
        await self._write(record, lease.version, audit)

    async def _confirm_take(
        self, record: LeaseRecord, sent_at: float
    ) -> Lease | LeaseUnconfirmed:
        row = await self.read()
        if isinstance(row, Row) and self.record_of(row) == record:
            return self._confirm_era(
                self._make_lease(record, row.version, sent_at)
            )
        return LeaseUnconfirmed(reason='answer to the take was lost')

    def _confirm_era(self, lease: Lease) -> Lease | LeaseUnconfirmed:
        """Return a lease just taken, unless its token is of an earlier era."""
        if lease.fencing < first_fencing(self.table_era.current):
            return LeaseUnconfirmed(reason='the table was restored meanwhile')
        return lease

    async def _write(
        self, record: LeaseRecord, version: int, audit: AuditEntry | None
    ) -> CommitOutcome:
        writes = [Write(key=self._key, value=orjson.dumps(record))]
        if audit is not None:
            writes.append(audit.as_write())
        with anyio.move_on_after(self._policy.call_timeout_s):
            return await self._table.commit(
                [Check(key=self._key, version=version)], writes
            )
        return Unavailable(reason='timeout', may_have_taken_effect=True)

    def _make_lease(
        self, record: LeaseRecord, version: int, sent_at: float
    ) -> Lease:
        self._highest_fencing = max(self._highest_fencing, record.fencing)
        return Lease(
            name=self._name,
            record=record,
            version=version,
            valid_until=self._valid_until(sent_at),
            renewed_at=sent_at,
            clock=self._clock,
            table_era=self.table_era,
        )

    def _valid_until(self, sent_at: float) -> float:
        return sent_at + self._policy.duration_s - self._policy.stop_margin_s

    def _describe_change(
        self, what: str, old: LeaseRecord | None, new: LeaseRecord
    ) -> AuditEntry:
        return AuditEntry(
            id=f'{self._name}-{new.fencing}-{what}',
            kind=AuditKind.LEASE,
            at=self._wall_clock(),
            who=self._holder,
            what=f'{what} lease {self._name}',
            before=old.holder if old and not old.released else '',
            after='' if new.released else new.holder,
            version=new.fencing,
        )


def _describe(outcome: CommitOutcome) -> str:
    if isinstance(outcome, Conflict):
        return 'another daemon was first'
    return outcome.reason if isinstance(outcome, Unavailable) else ''
