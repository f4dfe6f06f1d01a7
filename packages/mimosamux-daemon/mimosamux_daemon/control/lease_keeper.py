"""Acquires a lease, renews it and runs a task while it is held."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio

from mimosamux_daemon.control.leases import (
    Lease,
    LeaseLost,
    LeasePolicy,
    LeaseTable,
    LeaseUnconfirmed,
    first_fencing,
)
from mimosamux_daemon.domain.store import Row, Unavailable
from mimosamux_daemon.domain.store_eras import era_of
from mimosamux_daemon.logs import get_log

log = get_log('leases')

EARLY_RELEASE_FRACTION = 0.5
"""Fraction of the lease duration. A holder with less than this left that
cannot reach the table, while other daemons can, releases the lease."""
NO_VERSION = -1
"""Version that no row has: no row has been read yet."""


@dataclass(kw_only=True, slots=True)
class RowAge:
    """Measures for how long the row of a lease has not changed."""

    version: int = NO_VERSION
    unchanged_since: float = 0.0
    clock: Callable[[], float] = anyio.current_time

    def observe(self, version: int) -> float:
        """Record the version just read; return its age in seconds.

        The age counts from after the first read of that version, as the
        row may have been written until then.
        """
        now = self.clock()
        if version != self.version:
            self.version = version
            self.unchanged_since = now
        return now - self.unchanged_since


class LeaseKeeper:
    """Holds one lease; `run` calls a task whenever the lease is held."""

    def __init__(
        self,
        *,
        leases: LeaseTable,
        policy: LeasePolicy,
        randomness: random.Random,
        fencing_is_honoured: Callable[[], bool] = lambda: False,
        may_acquire: Callable[[], bool] = lambda: True,
        is_known_released: Callable[[int], bool] = lambda version: False,
        peers_reach_table: Callable[[], bool] = lambda: False,
        clock: Callable[[], float] = anyio.current_time,
    ) -> None:
        """Set up the keeper.

        `may_acquire` returns whether to read the table for the lease: a
        daemon that knows of a live holder need not. `is_known_released`
        returns whether the holder that wrote a version of the row has
        announced that it stopped acting. `peers_reach_table` returns
        whether the table answers other daemons.
        """
        self.ended_version = 0
        """Row version of the last lease that ended at this daemon; 0 if
        none has ended, or while this daemon holds the lease again."""
        self._is_known_released = is_known_released
        self._peers_reach_table = peers_reach_table
        self._may_acquire = may_acquire
        self._clock = clock
        self._leases = leases
        self._policy = policy
        self._random = randomness
        self._fencing_is_honoured = fencing_is_honoured
        self.held: Lease | None = None
        self._unshared: Lease | None = None
        """The last lease held here, if nobody knows that it has ended."""

    async def run(self, task: Callable[[Lease], Awaitable[None]]) -> None:
        """Acquire the lease, run the task while it is held, and repeat.

        The task is cancelled when the lease is lost. The lease is released
        when the task ends or this call is cancelled.
        """
        while True:
            lease = await self.acquire()
            self.ended_version = 0
            self._unshared = None
            log.info('lease_taken', lease=lease.name, fencing=lease.fencing)
            self.held = lease
            try:
                await self._run_while_held(lease, task)
            finally:
                self.held = None
                if lease is not self._unshared:
                    self.ended_version = lease.version
                    await self._release(lease)
            log.info('lease_ended', lease=lease.name, fencing=lease.fencing)

    async def acquire(self) -> Lease:
        """Poll the row of the lease until it is taken; return the lease."""
        row_age = RowAge(clock=self._clock)
        while True:
            lease = (
                await self._try_acquire(row_age)
                if self._may_acquire()
                else None
            )
            if lease is not None:
                return lease
            await anyio.sleep(self._jittered(self._policy.poll_interval_s))

    async def _try_acquire(self, row_age: RowAge) -> Lease | None:
        row = await self._leases.read()
        if isinstance(row, Unavailable):
            return None
        is_continuous = self._continues(row)
        if row is not None and self._leases.is_own(row):
            result = await self._leases.resume(row)
        elif is_continuous or self._may_take(row, row_age):
            result = await self._leases.take(row)
            if isinstance(result, Lease):
                result.is_continuous = is_continuous
        else:
            return None
        return None if isinstance(result, LeaseUnconfirmed) else result

    def _continues(self, row: Row | None) -> bool:
        """Return whether nobody can have taken the lease since it was held.

        A table that was away for everybody for a moment comes back from an
        older copy. Until the lease that was held here last could be taken,
        no other daemon can have held it, whatever the copy shows.
        """
        last, era = self._unshared, self._leases.table_era
        record = self._leases.record_of(row)
        if last is None or (row is not None and record is None):
            return False
        if record and record.fencing >= first_fencing(era.current):
            return False
        takeable_at = last.renewed_at + self._longest_lease_s()
        return last.renewed_at < era.seen_at < takeable_at

    def _may_take(self, row: Row | None, row_age: RowAge) -> bool:
        unchanged_s = 0.0 if row is None else row_age.observe(row.version)
        if self._leases.table_era.age_s < self._longest_lease_s():
            # A holder whose row the restored table lacks may still act.
            return False
        if row is None or self._holder_has_restarted(row):
            return True
        record = self._leases.record_of(row)
        if record is None:
            return unchanged_s >= self._longest_lease_s()
        # A holder that announced its end can resume only by writing the
        # row again; that changes the version, and then the take fails.
        has_ended = record.released or self._is_known_released(row.version)
        wait_s = 0.0 if has_ended else record.duration_s
        if not has_ended:
            wait_s += self._policy.take_margin_s
        wait_s += self._order_transit_s()
        return unchanged_s >= wait_s

    def _longest_lease_s(self) -> float:
        """Return the time after which orders of any lease have landed."""
        lease_s = self._policy.duration_s + self._policy.take_margin_s
        return lease_s + self._order_transit_s()

    def _order_transit_s(self) -> float:
        """Return for how long orders of an ended lease may take effect."""
        if self._fencing_is_honoured():
            return 0.0
        return self._policy.unfenced_margin_s

    def _holder_has_restarted(self, row: Row) -> bool:
        """Return whether an ended process of this daemon holds the lease.

        Waiting for that lease to expire would leave the fleet without
        orders for the lease duration after each restart of all daemons.
        """
        return (
            self._policy.restart_ends_lease
            and self._leases.is_other_incarnation(row)
        )

    async def _run_while_held(
        self, lease: Lease, task: Callable[[Lease], Awaitable[None]]
    ) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._renew_until_lost, lease, tasks.cancel_scope)
            await task(lease)
            tasks.cancel_scope.cancel()

    async def _renew_until_lost(
        self, lease: Lease, scope: anyio.CancelScope
    ) -> None:
        delay_s = self._jittered(self._policy.renew_interval_s)
        has_lost_row = False
        while not lease.has_expired():
            left_s = lease.valid_until - self._clock()
            await anyio.sleep(min(delay_s, left_s))
            if lease.has_expired():
                break
            left_s = lease.valid_until - self._clock()
            with anyio.move_on_after(left_s):
                outcome = await self._leases.renew(lease)
                if isinstance(outcome, LeaseLost):
                    has_lost_row = True
                    break
                # An unconfirmed renewal is retried early: after the usual
                # interval, too little of the lease duration would be left.
                is_unconfirmed = isinstance(outcome, LeaseUnconfirmed)
                if is_unconfirmed and self._should_release_early(lease):
                    break
                factor = 0.25 if is_unconfirmed else 1.0
                delay_s = factor * self._jittered(
                    self._policy.renew_interval_s
                )
        if self._ends_unnoticed(lease, has_lost_row):
            self._unshared = lease
        lease.end()
        scope.cancel()

    def _ends_unnoticed(self, lease: Lease, has_lost_row: bool) -> bool:
        """Return whether no other daemon can know that a lease ends.

        One that its task has ended is released instead: the next holder need
        not wait, and has to act under another token.
        """
        if lease.is_ended and not has_lost_row:
            return False
        if era_of(lease.version) != self._leases.table_era.current:
            return True
        return not lease.is_ended and not self._peers_reach_table()

    def _should_release_early(self, lease: Lease) -> bool:
        """Return whether to release a lease that cannot be renewed.

        If the table answers other daemons only, holding the lease until it
        expires would leave the fleet without orders until a successor has
        waited for the expiry.
        """
        left_s = lease.valid_until - self._clock()
        threshold_s = EARLY_RELEASE_FRACTION * self._policy.duration_s
        return left_s < threshold_s and self._peers_reach_table()

    async def _release(self, lease: Lease) -> None:
        with anyio.move_on_after(self._policy.call_timeout_s, shield=True):
            await self._leases.release(lease)

    def _jittered(self, interval_s: float) -> float:
        return interval_s * (1.0 - self._policy.jitter * self._random.random())
