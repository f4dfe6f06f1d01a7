"""Reads pages of the audit trail from the platform's table."""

from dataclasses import dataclass

from mimosamux_daemon.domain.audit import (
    AUDIT_PREFIX,
    AuditEntry,
    AuditKind,
    parse_entry,
)
from mimosamux_daemon.domain.store import Unavailable
from mimosamux_daemon.metrics import Metrics
from mimosamux_daemon.ports import Table

SCAN_ROWS = 500
MAX_SCANS = 20
"""Scans per page; a search by name that needs more returns the cursor at
which to continue."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AuditFilter:
    """Selects audit entries.

    `who` matches any part of an entry's `who`; `since` is wall-clock time
    in seconds; `after` is the `next` cursor of the previous page.
    """

    kind: AuditKind | None = None
    who: str | None = None
    since: float = 0.0
    after: str = ''
    limit: int = 100


@dataclass(frozen=True, kw_only=True, slots=True)
class AuditPage:
    """Entries, oldest first, and the cursor of the next page.

    `next` is empty on the last page.
    """

    entries: tuple[AuditEntry, ...]
    next: str


class AuditTrail:
    """The audit trail that all daemons write."""

    def __init__(
        self, *, table: Table, metrics: Metrics | None = None
    ) -> None:
        self._table = table
        self._metrics = metrics

    async def read(self, filter_: AuditFilter) -> AuditPage | Unavailable:
        """Return the next page of entries."""
        cursor = filter_.after or f'{filter_.since:017.6f}'
        matches: list[AuditEntry] = []
        for _ in range(MAX_SCANS):
            entries = await self._scan(filter_, cursor)
            if isinstance(entries, Unavailable):
                return entries
            if not entries:
                return AuditPage(entries=tuple(matches), next='')
            for entry in entries:
                cursor = _cursor_of(entry)
                if filter_.who is None or filter_.who in entry.who:
                    matches.append(entry)
                if len(matches) == filter_.limit:
                    return AuditPage(entries=tuple(matches), next=cursor)
        return AuditPage(entries=tuple(matches), next=cursor)

    async def _scan(
        self, filter_: AuditFilter, cursor: str
    ) -> list[AuditEntry] | Unavailable:
        kinds = [filter_.kind] if filter_.kind else list(AuditKind)
        limit = SCAN_ROWS if filter_.who else filter_.limit
        entries: list[AuditEntry] = []
        for kind in kinds:
            prefix = f'{AUDIT_PREFIX}{kind}/'
            rows = await self._table.scan(
                prefix, after=prefix + cursor, limit=limit
            )
            if isinstance(rows, Unavailable):
                return rows
            if self._metrics is not None:
                labels = {'mechanism': 'audit', 'kind': 'read'}
                self._metrics.table_rows.add(labels, len(rows))
            entries.extend(parse_entry(row.value) for row in rows)
        # Keys within a kind sort by time and id; the merged kinds must too.
        return sorted(entries, key=_cursor_of)[:limit]


def _cursor_of(entry: AuditEntry) -> str:
    return f'{entry.at:017.6f}/{entry.id}'
