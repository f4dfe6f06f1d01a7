"""Reports usage to the platform by window, with final counts.

The platform takes two different reports of one window as a sign of two lease
holders. The counts of a window are therefore finalized in the table before
their first report; every later report, after a lost answer or by the next
holder, repeats the stored counts.
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
from mimosamux_daemon.gateway.metrics import GatewayMetrics
from mimosamux_daemon.gateway.request_counts import RequestCounts
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports import Table
from mimosamux_daemon.ports.duty_calls import (
    DutyCalls,
    DutyOutcome,
    UsageReport,
)

log = get_log('metering')

ROW_KEY = 'metering/settled'
FINALIZE_DELAY_S = 1.5
"""Time after the end of a window in which its last digests may still
arrive."""
TICK_S = 0.5
RETAINED_WINDOWS = 6
"""Finalized windows that the row retains."""


@dataclass(kw_only=True, slots=True)
class Metering:
    """Reports usage while this daemon holds the lease."""

    table: Table
    calls: DutyCalls
    request_counts: RequestCounts
    lateness_s: float
    """Time after the end of a window until which its report is due."""
    metrics: GatewayMetrics
    lose_lease: Callable[[Lease], None]
    """Called when the platform has seen a higher fencing number."""
    _finalized: dict[int, dict[AccountId, int]] = field(default_factory=dict)
    _reported: set[int] = field(default_factory=set)
    _version: int | None = None
    """Version of the row as last read or written, None: unknown."""

    async def run(self, lease: Lease) -> None:
        """Finalize and report windows until cancelled."""
        self._version = None
        self._reported.clear()
        while True:
            if lease.is_valid():
                await self._finalize_due()
                await self._report_finalized(lease)
            await anyio.sleep(TICK_S)

    async def _finalize_due(self) -> None:
        if self._version is None and not await self._read():
            return
        now = self.request_counts.now()
        newest = (
            int((now - FINALIZE_DELAY_S) // self.request_counts.window_s) - 1
        )
        due = [
            window
            for window in range(newest - RETAINED_WINDOWS + 1, newest + 1)
            if window not in self._finalized and self._is_in_time(window, now)
        ]
        if due:
            await self._finalize(due)

    async def _finalize(self, windows: list[int]) -> None:
        finalized = dict(self._finalized)
        for window in windows:
            finalized[window] = dict(self.request_counts.total(window))
        retained = sorted(finalized)[-RETAINED_WINDOWS:]
        finalized = {window: finalized[window] for window in retained}
        outcome = await self.table.commit(
            [Check(key=ROW_KEY, version=self._version or 0)],
            [Write(key=ROW_KEY, value=_render(finalized))],
        )
        if isinstance(outcome, Committed):
            self._finalized = finalized
            self._version = outcome.versions[ROW_KEY]
            log.info(
                'windows_finalized',
                windows=windows,
                requests=[sum(finalized[each].values()) for each in windows],
                row_version=self._version,
            )
            return
        # Another daemon has written the row, or the outcome is unknown. Only
        # the stored counts are valid, so the row is read again before anything
        # is reported.
        self._version = None
        reason = (
            'conflict' if isinstance(outcome, Conflict) else outcome.reason
        )
        log.info('windows_not_finalized', windows=windows, reason=reason)

    async def _read(self) -> bool:
        row = await self.table.read(ROW_KEY)
        if isinstance(row, Unavailable):
            return False
        self._finalized = {} if row is None else _parse(row)
        self._version = 0 if row is None else row.version
        return True

    async def _report_finalized(self, lease: Lease) -> None:
        if self._version is None:
            return
        for window in sorted(self._finalized):
            if window in self._reported:
                continue
            if not self._is_in_time(window, self.request_counts.now()):
                self._reported.add(window)
                continue
            if not lease.is_valid():
                return
            await self._report(window, lease)

    async def _report(self, window: int, lease: Lease) -> None:
        counts = self._finalized[window]
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
        end = (window + 1) * self.request_counts.window_s
        return now < end + self.lateness_s


def _render(finalized: dict[int, dict[AccountId, int]]) -> bytes:
    return orjson.dumps({str(key): value for key, value in finalized.items()})


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
