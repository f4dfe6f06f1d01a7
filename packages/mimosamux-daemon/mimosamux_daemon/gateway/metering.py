"""Reports usage window by window, each with the same counts for good.

The platform takes two different reports of one window for two holders of
the duty. What a window's counts are is therefore settled in the table
before they are reported for the first time; whoever reports later, after
a lost answer or as the next holder, reports what stands there.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
import orjson

from mimosamux_daemon.control.leases import Lease
from mimosamux_daemon.domain.names import AccountId
from mimosamux_daemon.domain.store import (
    Check,
    Committed,
    Conflict,
    Row,
    Unavailable,
    Write,
)
from mimosamux_daemon.gateway.begun_counts import BegunCounts
from mimosamux_daemon.gateway.metrics import GatewayMetrics
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports import Table
from mimosamux_daemon.ports.duty_calls import (
    DutyCalls,
    DutyOutcome,
    UsageReport,
)

log = get_log('metering')

ROW_KEY = 'metering/settled'
SETTLE_AFTER_S = 1.5
"""Time after the end of a window for the last digests of it to come."""
TICK_S = 0.5
KEPT_WINDOWS = 6
"""Settled windows that the row keeps."""


@dataclass(kw_only=True, slots=True)
class Metering:
    """The duty of reporting usage, for as long as a lease is held."""

    table: Table
    calls: DutyCalls
    begun: BegunCounts
    lateness_s: float
    """Time after the end of a window up to which its report is due."""
    metrics: GatewayMetrics
    lose_lease: Callable[[Lease], None]
    """Called when the platform has seen a higher fencing number."""
    _settled: dict[int, dict[AccountId, int]] = field(default_factory=dict)
    _reported: set[int] = field(default_factory=set)
    _version: int | None = None
    """Version of the row as this holder last saw it."""

    async def run(self, lease: Lease) -> None:
        """Settle and report until cancelled."""
        self._version = None
        self._reported.clear()
        while True:
            if lease.is_valid():
                await self._settle_due()
                await self._report_settled(lease)
            await anyio.sleep(TICK_S)

    async def _settle_due(self) -> None:
        if self._version is None and not await self._read():
            return
        now = self.begun.now()
        newest = int((now - SETTLE_AFTER_S) // self.begun.window_s) - 1
        due = [
            window
            for window in range(newest - KEPT_WINDOWS + 1, newest + 1)
            if window not in self._settled and self._is_in_time(window, now)
        ]
        if due:
            await self._settle(due)

    async def _settle(self, windows: list[int]) -> None:
        settled = dict(self._settled)
        for window in windows:
            settled[window] = dict(self.begun.total(window))
        kept = sorted(settled)[-KEPT_WINDOWS:]
        settled = {window: settled[window] for window in kept}
        outcome = await self.table.commit(
            [Check(key=ROW_KEY, version=self._version or 0)],
            [Write(key=ROW_KEY, value=_render(settled))],
        )
        if isinstance(outcome, Committed):
            self._settled = settled
            self._version = outcome.versions[ROW_KEY]
            return
        # Written by somebody else, or nobody knows: what stands in the
        # row is what counts, so it is read again before anything is sent.
        self._version = None
        reason = (
            'conflict' if isinstance(outcome, Conflict) else outcome.reason
        )
        log.info('windows_not_settled', windows=windows, reason=reason)

    async def _read(self) -> bool:
        row = await self.table.read(ROW_KEY)
        if isinstance(row, Unavailable):
            return False
        self._settled = {} if row is None else _parse(row)
        self._version = 0 if row is None else row.version
        return True

    async def _report_settled(self, lease: Lease) -> None:
        if self._version is None:
            return
        for window in sorted(self._settled):
            if window in self._reported:
                continue
            if not self._is_in_time(window, self.begun.now()):
                self._reported.add(window)
                continue
            if not lease.is_valid():
                return
            await self._report(window, lease)

    async def _report(self, window: int, lease: Lease) -> None:
        counts = self._settled[window]
        outcome = await self.calls.report_usage(
            UsageReport(window=window, counts=counts),
            fencing=lease.fencing,
        )
        log.info(
            'usage_reported',
            window=window,
            requests=sum(counts.values()),
            fencing=lease.fencing,
            outcome=outcome.name.lower(),
        )
        self.metrics.duty_calls.inc(
            {'duty': 'usage', 'outcome': outcome.name.lower()}
        )
        if outcome is DutyOutcome.REFUSED:
            self.lose_lease(lease)
        elif outcome in (DutyOutcome.DONE, DutyOutcome.INVALID):
            self._reported.add(window)

    def _is_in_time(self, window: int, now: float) -> bool:
        end = (window + 1) * self.begun.window_s
        return now < end + self.lateness_s


def _render(settled: dict[int, dict[AccountId, int]]) -> bytes:
    return orjson.dumps({str(key): value for key, value in settled.items()})


def _parse(row: Row) -> dict[int, dict[AccountId, int]]:
    try:
        fields = orjson.loads(row.value)
        return {
            int(window): {
                AccountId(account): int(count)
                for account, count in counts.items()
            }
            for window, counts in fields.items()
        }
    except (ValueError, AttributeError, TypeError) as error:
        log.error('row_unreadable', key=ROW_KEY, problem=str(error))
        return {}
