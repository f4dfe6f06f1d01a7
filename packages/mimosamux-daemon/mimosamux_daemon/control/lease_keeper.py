"""Waits for a lease, holds it, and runs a task while it is held."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio

from mimosamux_daemon.control.leases import (
    Lease,
    LeaseHeld,
    LeasePolicy,
    LeaseTable,
    LeaseUnsettled,
    parse_record,
)
from mimosamux_daemon.domain.store import Row, Unavailable
from mimosamux_daemon.logs import get_log

log = get_log('leases')

LEFT_SHARE = 0.5
"""Part of a lease's time below which a holder that cannot renew it, while
others reach the table, gives it up."""
FIRST_FRESH_VERSION = -1
"""Version that no row has: nothing was seen yet."""


@dataclass(kw_only=True, slots=True)
class RowWatch:
    """How long the row of a lease has stood unchanged before our eyes."""

    version: int = FIRST_FRESH_VERSION
    since: float = 0.0
    clock: Callable[[], float] = anyio.current_time

    def note(self, version: int) -> float:
        """Note a row just read; return how long it has not changed.

        The time runs from after the first read of it, never from before,
        as the row may have been written until then.
        """
        now = self.clock()
        if version != self.version:
            self.version = version
            self.since = now
        return now - self.since


class LeaseKeeper:
    """Keeps one lease; `run` calls a task whenever the lease is held."""

    def __init__(
        self,
        *,
        leases: LeaseTable,
        policy: LeasePolicy,
        randomness: random.Random,
        fencing_is_honoured: Callable[[], bool] = lambda: False,
        may_try: Callable[[], bool] = lambda: True,
        is_known_ended: Callable[[int], bool] = lambda version: False,
        is_cut_off: Callable[[], bool] = lambda: False,
        clock: Callable[[], float] = anyio.current_time,
    ) -> None:
        """Take the parts; `may_try` says whether to look for the lease.

        Daemons that know of a live holder need not ask the table. Of a row
        at a version `is_known_ended` says whether its holder has said that
        it acts no more; `is_cut_off` whether the table answers others only.
        """
        self.ended_version = 0
        """Version of the row at which a lease ended here, 0: none did, or
        it is held again."""
        self._is_known_ended = is_known_ended
        self._is_cut_off = is_cut_off
        self._may_try = may_try
        self._clock = clock
        self._leases = leases
        self._policy = policy
        self._random = randomness
        self._fencing_is_honoured = fencing_is_honoured
        self.held: Lease | None = None

    async def run(self, task: Callable[[Lease], Awaitable[None]]) -> None:
        """Acquire, run the task while the lease is held, start again.

        The task is cancelled when the lease is lost. On cancellation from
        outside the lease is given up.
        """
        while True:
            lease = await self.acquire()
            self.ended_version = 0
            log.info('lease_taken', lease=lease.name, fencing=lease.fencing)
            self.held = lease
            try:
                await self._run_held(lease, task)
            finally:
                self.held = None
                self.ended_version = lease.version
                await self._release(lease)
            log.info('lease_ended', lease=lease.name, fencing=lease.fencing)

    async def acquire(self) -> Lease:
        """Return the lease once it may be taken and was taken."""
        watch = RowWatch(clock=self._clock)
        while True:
            lease = await self._try_once(watch) if self._may_try() else None
            if lease is not None:
                return lease
            await anyio.sleep(self._jittered(self._policy.poll_interval_s))

    async def _try_once(self, watch: RowWatch) -> Lease | None:
        row = await self._leases.read()
        if isinstance(row, Unavailable):
            return None
        if row is not None and self._leases.is_own(row):
            result = await self._leases.resume(row)
        elif self._may_take(row, watch):
            result = await self._leases.take(row)
        else:
            return None
        return None if isinstance(result, LeaseUnsettled) else result

    def _may_take(self, row: Row | None, watch: RowWatch) -> bool:
        if row is None or self._has_ended_with_restart(row):
            return True
        record = parse_record(row)
        # Its holder may go on with the row only while the row stands as it
        # did when it said so, and then taking the row fails.
        is_over = record.released or self._is_known_ended(row.version)
        wait = 0.0 if is_over else record.duration_s
        if not is_over:
            wait += self._policy.take_margin_s
        if not self._fencing_is_honoured():
            wait += self._policy.unfenced_margin_s
        return watch.note(row.version) >= wait

    def _has_ended_with_restart(self, row: Row) -> bool:
        """Whether the holder was this daemon's own earlier process.

        Waiting for it to end left a fleet without orders for as long as
        the lease runs after each stop of all.
        """
        return (
            self._policy.restart_ends_lease
            and self._leases.is_of_earlier_life(row)
        )

    async def _run_held(
        self, lease: Lease, task: Callable[[Lease], Awaitable[None]]
    ) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._renew_until_lost, lease, tasks.cancel_scope)
            await task(lease)
            tasks.cancel_scope.cancel()

    async def _renew_until_lost(
        self, lease: Lease, scope: anyio.CancelScope
    ) -> None:
        pause = self._jittered(self._policy.renew_interval_s)
        while lease.is_valid():
            left = lease.valid_until - self._clock()
            await anyio.sleep(min(pause, left))
            if not lease.is_valid():
                break
            left = lease.valid_until - self._clock()
            with anyio.move_on_after(left):
                outcome = await self._leases.renew(lease)
                if isinstance(outcome, LeaseHeld):
                    break
                # An unsettled renewal is tried again soon: waiting for
                # the usual interval would use up the time that is left.
                unsettled = isinstance(outcome, LeaseUnsettled)
                if unsettled and self._is_better_left(lease):
                    break
                share = 0.25 if unsettled else 1.0
                pause = share * self._jittered(self._policy.renew_interval_s)
        lease.end()
        scope.cancel()

    def _is_better_left(self, lease: Lease) -> bool:
        """Whether another daemon can hold a lease that this one will lose.

        Held to its end it would leave the fleet without orders until a
        successor has waited for that.
        """
        left_s = lease.valid_until - self._clock()
        half_s = LEFT_SHARE * self._policy.duration_s
        return left_s < half_s and self._is_cut_off()

    async def _release(self, lease: Lease) -> None:
        with anyio.move_on_after(self._policy.call_timeout_s, shield=True):
            await self._leases.release(lease)

    def _jittered(self, interval_s: float) -> float:
        return interval_s * (1.0 - self._policy.jitter * self._random.random())
