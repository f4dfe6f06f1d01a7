"""Leases with fencing numbers, kept as rows of the platform's table.

No wall clocks are compared between machines. The holder counts from
before its write was sent, on its own clock; a successor counts from after
it first saw the row, on its own clock. The holder's time therefore ends
before the successor's begins, whatever the delays between them.
"""

from collections.abc import Callable
from dataclasses import dataclass

import anyio
import orjson

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
from mimosamux_daemon.ports.table import Table

LEASE_PREFIX = 'lease/'


@dataclass(frozen=True, kw_only=True, slots=True)
class LeasePolicy:
    """Times of a lease, in seconds."""

    duration_s: float = 10.0
    renew_interval_s: float = 3.0
    poll_interval_s: float = 3.0
    """Time between two looks of a daemon that waits for the lease."""
    jitter: float = 0.2
    """Each interval is shortened at random by up to this share."""
    stop_margin_s: float = 2.0
    """The holder stops this long before its time is over."""
    take_margin_s: float = 1.0
    """A successor waits this long beyond the full time; it covers clocks
    that run at slightly different rates."""
    unfenced_margin_s: float = 10.0
    """Wait beyond that where an endpoint ignores fencing numbers: longer
    than an order of the old holder can be under way."""
    call_timeout_s: float = 2.0
    restart_ends_lease: bool = False
    """Whether a new process under the holder's name proves that the old one
    has ended; so it is where the name is an address that both listen at."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseRecord:
    """What the row of a lease says."""

    holder: DaemonId
    incarnation: int
    fencing: int
    """Goes up by one with every change of holder."""
    duration_s: float
    released: bool = False
    """The holder gave the lease up and has stopped acting."""


@dataclass(kw_only=True, slots=True)
class Lease:
    """A lease that this daemon holds; ask `is_valid` before each act."""

    name: str
    record: LeaseRecord
    version: int
    valid_until: float
    clock: Callable[[], float] = anyio.current_time

    @property
    def fencing(self) -> int:
        """Number that goes with every order under this lease."""
        return self.record.fencing

    def is_valid(self) -> bool:
        """Return whether the holder may act at this moment.

        A daemon that was paused wakes up with a lease that others may
        have taken over; its task runs on before any timer of it. Without
        this look right before an order, two holders would act at once.
        """
        return self.clock() < self.valid_until

    def end(self) -> None:
        """Stop acting under this lease for good."""
        self.valid_until = float('-inf')


@dataclass(frozen=True, kw_only=True, slots=True)
class Renewed:
    """The lease is held for another full time."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseHeld:
    """Another daemon, or an earlier life of this one, has the row."""

    holder: DaemonId


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseUnsettled:
    """The table gave no clear answer; look again later."""

    reason: str


def parse_record(row: Row) -> LeaseRecord:
    """Return what the row of a lease says."""
    return LeaseRecord(**orjson.loads(row.value))


class LeaseTable:
    """Takes, renews and gives up one lease, each a single transaction."""

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
    ) -> None:
        """Take the parts.

        Where the platform suspends VMs, `clock` has to count that time.
        """
        self._clock = clock
        self._table = table
        self._name = name
        self._holder = holder
        self._incarnation = incarnation
        self._wall_clock = wall_clock
        self._policy = policy
        self._key = f'{LEASE_PREFIX}{name}'

    async def read(self) -> Row | None | Unavailable:
        """Return the row of the lease as it is now."""
        with anyio.move_on_after(self._policy.call_timeout_s):
            return await self._table.read(self._key)
        return Unavailable(reason='timeout', may_have_landed=False)

    def is_own(self, row: Row) -> bool:
        """Return whether the row names this life of this daemon."""
        record = parse_record(row)
        return (
            record.holder == self._holder
            and record.incarnation == self._incarnation
            and not record.released
        )

    def is_of_earlier_life(self, row: Row) -> bool:
        """Return whether the row names this daemon before its restart."""
        record = parse_record(row)
        return (
            record.holder == self._holder
            and record.incarnation != self._incarnation
        )

    async def take(self, seen: Row | None) -> Lease | LeaseUnsettled:
        """Take the lease over if the row is still the one seen."""
        old = parse_record(seen) if seen else None
        record = LeaseRecord(
            holder=self._holder,
            incarnation=self._incarnation,
            fencing=old.fencing + 1 if old else 1,
            duration_s=self._policy.duration_s,
        )
        version = seen.version if seen else 0
        sent = self._clock()
        audit = self._describe_change('take', old, record)
        outcome = await self._write(record, version, audit)
        if isinstance(outcome, Committed):
            return self._as_lease(record, outcome.versions[self._key], sent)
        if isinstance(outcome, Unavailable) and outcome.may_have_landed:
            return await self._settle_take(record, sent)
        return LeaseUnsettled(reason=_describe(outcome))

    async def resume(self, seen: Row) -> Lease | LeaseUnsettled:
        """Go on with a row of this daemon's own, found in the table.

        The answer to a take can be lost and the write land late, after
        the row was read back. Nobody else would get the lease until that
        row is old, and this daemon would wait for itself.
        """
        record = parse_record(seen)
        lease = self._as_lease(record, seen.version, float('-inf'))
        outcome = await self.renew(lease)
        if isinstance(outcome, Renewed):
            return lease
        return LeaseUnsettled(reason='own row was not confirmed')

    async def renew(
        self, lease: Lease
    ) -> Renewed | LeaseHeld | LeaseUnsettled:
        """Hold the lease for another full time."""
        sent = self._clock()
        outcome = await self._write(lease.record, lease.version, None)
        if isinstance(outcome, Committed):
            lease.version = outcome.versions[self._key]
            lease.valid_until = self._end_of(sent)
            return Renewed()
        if isinstance(outcome, Unavailable):
            return LeaseUnsettled(reason=outcome.reason)
        found = outcome.found
        if found and parse_record(found) == lease.record:
            # An earlier renewal landed and its answer was lost. The row
            # is still ours at a newer version: taking it as foreign would
            # drop the lease at every lost answer.
            lease.version = found.version
            return LeaseUnsettled(reason='an earlier renewal had landed')
        lease.end()
        holder = parse_record(found).holder if found else DaemonId('')
        return LeaseHeld(holder=holder)

    async def release(self, lease: Lease) -> None:
        """Give the lease up, so that a successor need not wait for it."""
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

    async def _settle_take(
        self, record: LeaseRecord, sent: float
    ) -> Lease | LeaseUnsettled:
        row = await self.read()
        if isinstance(row, Row) and parse_record(row) == record:
            return self._as_lease(record, row.version, sent)
        return LeaseUnsettled(reason='answer to the take was lost')

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
        return Unavailable(reason='timeout', may_have_landed=True)

    def _as_lease(
        self, record: LeaseRecord, version: int, sent: float
    ) -> Lease:
        return Lease(
            name=self._name,
            record=record,
            version=version,
            valid_until=self._end_of(sent),
            clock=self._clock,
        )

    def _end_of(self, sent: float) -> float:
        return sent + self._policy.duration_s - self._policy.stop_margin_s

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
