"""Reports usage to the platform by window, with final counts.

The platform takes two different reports of one window as a sign of two lease
holders. The counts of a window are therefore finalized in the table before
their first report; every later report, after a lost answer or by the next
holder, repeats the stored counts.

A table that is restored from an older copy may lack counts that were
reported. The holder repeats those that it or a peer remembers, and writes
them again. A holder that cannot know whether a window was reported abandons
it: a missing report costs less than a second, different one.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Annotated

import anyio
import msgspec
import orjson

from mimosamux_daemon.control.leases import Lease
from mimosamux_daemon.decoding import decode_json
from mimosamux_daemon.domain.names import AccountId
from mimosamux_daemon.domain.store import (
    Check,
    Committed,
    Conflict,
    Row,
    Unavailable,
    Write,
)
from mimosamux_daemon.domain.store_eras import UNKNOWN_ERA, StoreEra
from mimosamux_daemon.errors import InvalidConfiguration
from mimosamux_daemon.gateway.finalized_windows import (
    RETAINED_WINDOWS,
    FinalizedWindows,
    WindowCounts,
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

PREFIX = 'metering/'
ROW_KEY = PREFIX + 'settled'
ERA_KEY = PREFIX + 'era'
"""Row that tells in which era of the table the counts were last written."""
FINALIZE_DELAY_S = 1.5
"""Shortest time after the end of a window before its counts are finalized.
Digests of the window may arrive until then."""
MAX_FINALIZE_DELAY_SHARE = 0.5
"""Longest such time, as a share of the time until the report is due, unless
the shortest is longer; the rest is for a slow table, and for another daemon
that takes over."""
TICK_S = 0.5
MAX_WINDOW = 10_000_000_000
"""Bound of a window's number, far above that of any window of this century."""
MAX_COUNT = 2**31 - 1
"""Largest count that fits into a message between daemons."""
Window = Annotated[int, msgspec.Meta(ge=0, le=MAX_WINDOW)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]


@dataclass(frozen=True, kw_only=True, slots=True)
class _WrittenIn:
    """Content of the row of the era."""

    era: int = UNKNOWN_ERA
    first_window: Window = 0
    """Windows before this one that are not in the table are abandoned."""


@dataclass(kw_only=True, slots=True)
class Metering:
    """Reports usage while this daemon holds the lease."""

    table: Table
    table_era: StoreEra
    calls: DutyCalls
    request_counts: RequestCounts
    finalized: FinalizedWindows
    lateness_s: float
    """Time after the end of a window until which its report is due."""
    propagation_s: Callable[[], float]
    """Returns the time in which the daemons' digests reach all others."""
    metrics: GatewayMetrics
    lose_lease: Callable[[Lease], None]
    """Called when the platform has seen a higher fencing number."""
    _reported: set[int] = field(default_factory=set)
    _version: int | None = None
    """Version of the row as last read or written, None: unknown."""
    _first_window: int = 0
    """First window that may be finalized here."""
    _has_read: bool = False
    """Whether the table was read under this lease, or one that it continues.
    From then on, no other daemon can have finalized a window."""
    _must_write: bool = False
    """Whether the table lacks counts that are known here."""

    async def run(self, lease: Lease) -> None:
        """Finalize and report windows until cancelled."""
        self._version = None
        self._has_read = self._has_read and lease.is_continuous
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
        newest = self._newest_due(now)
        due = [
            window
            for window in range(newest - RETAINED_WINDOWS + 1, newest + 1)
            if window >= self._first_window
            and window not in self.finalized.by_window
            and self._is_in_time(window, now)
        ]
        if due or self._must_write:
            await self._finalize(due)

    def _newest_due(self, now: float) -> int:
        """Return the newest window whose counts may be finalized."""
        delay_s = max(
            FINALIZE_DELAY_S,
            min(
                self.propagation_s(),
                MAX_FINALIZE_DELAY_SHARE * self.lateness_s,
            ),
        )
        return int((now - delay_s) // self.request_counts.window_s) - 1

    async def _finalize(self, windows: list[int]) -> None:
        counts = {
            window: dict(self.request_counts.total(window))
            for window in windows
        }
        known = self.finalized.by_window | counts
        retained = sorted(known)[-RETAINED_WINDOWS:]
        written_in = _WrittenIn(
            era=self.table_era.current, first_window=self._first_window
        )
        outcome = await self.table.commit(
            [Check(key=ROW_KEY, version=self._version or 0)],
            [
                Write(
                    key=ROW_KEY,
                    value=_render({each: known[each] for each in retained}),
                ),
                Write(key=ERA_KEY, value=orjson.dumps(written_in)),
            ],
        )
        if isinstance(outcome, Committed):
            self._version = outcome.versions[ROW_KEY]
            self._must_write = False
            self.finalized.add(counts)
            self.finalized.announce(windows)
            log.info(
                'windows_finalized',
                windows=windows,
                requests=[sum(counts[each].values()) for each in windows],
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
        rows = await self.table.scan(PREFIX)
        if isinstance(rows, Unavailable):
            return False
        row_by_key = {row.key: row for row in rows}
        row = row_by_key.get(ROW_KEY)
        stored = {} if row is None else _parse(row)
        written_in = _parse_era(row_by_key.get(ERA_KEY))
        if not self._has_read:
            self._first_window = self._find_first_window(written_in)
        self.finalized.add(stored)
        self._must_write = (
            written_in.era != self.table_era.current
            or not self.finalized.by_window.keys() <= stored.keys()
        )
        self._has_read = True
        self._version = 0 if row is None else row.version
        return True

    def _find_first_window(self, written_in: _WrittenIn) -> int:
        """Return the first window that no other holder may have reported.

        If the counts were last written in an earlier era, the table may
        have lost any that could be finalized until now.
        """
        if written_in.era == self.table_era.current:
            return written_in.first_window
        first = self._newest_due(self.request_counts.now()) + 1
        log.warning(
            'windows_abandoned', before=first, written_in=written_in.era
        )
        return first

    async def _report_finalized(self, lease: Lease) -> None:
        if self._version is None or self._must_write:
            return
        for window in sorted(self.finalized.by_window):
            if window in self._reported:
                continue
            if not self._is_in_time(window, self.request_counts.now()):
                self._reported.add(window)
                continue
            if not lease.is_valid():
                return
            await self._report(window, lease)

    async def _report(self, window: int, lease: Lease) -> None:
        counts = self.finalized.by_window[window]
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


def _render(by_window: Mapping[int, WindowCounts]) -> bytes:
    return orjson.dumps({str(key): value for key, value in by_window.items()})


def _parse(row: Row) -> Mapping[int, WindowCounts]:
    try:
        return decode_json(row.value, dict[Window, dict[AccountId, Count]])
    except InvalidConfiguration as error:
        log.error('row_unreadable', key=row.key, problem=str(error))
        return {}


def _parse_era(row: Row | None) -> _WrittenIn:
    """Parse the row of the era; none was written in an unknown era."""
    if row is None:
        return _WrittenIn()
    try:
        return decode_json(row.value, _WrittenIn)
    except InvalidConfiguration as error:
        log.error('row_unreadable', key=row.key, problem=str(error))
        return _WrittenIn()
