"""Reads the audit trail from the platform's table."""

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
"""A search by name stops after so many scans and says where to go on."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AuditFilter:
    """Which entries are wanted; times are wall time in seconds."""

    kind: AuditKind | None = None
    who: str | None = None
    since: float = 0.0
    after: str = ''
    limit: int = 100


@dataclass(frozen=True, kw_only=True, slots=True)
class AuditPage:
    """Entries, oldest first; `next` leads to later ones, '' at the end."""

    entries: tuple[AuditEntry, ...]
    next: str


class AuditTrail:
    """The trail of all daemons."""

    def __init__(
        self, *, table: Table, metrics: Metrics | None = None
    ) -> None:
        self._table = table
        self._metrics = metrics

    async def read(self, wanted: AuditFilter) -> AuditPage | Unavailable:
        """Return the next page of entries."""
        cursor = wanted.after or f'{wanted.since:017.6f}'
        found: list[AuditEntry] = []
        for _ in range(MAX_SCANS):
            entries = await self._scan(wanted, cursor)
            if isinstance(entries, Unavailable):
                return entries
            if not entries:
                return AuditPage(entries=tuple(found), next='')
            for entry in entries:
                cursor = _cursor_of(entry)
                if wanted.who is None or wanted.who in entry.who:
                    found.append(entry)
                if len(found) == wanted.limit:
                    return AuditPage(entries=tuple(found), next=cursor)
        return AuditPage(entries=tuple(found), next=cursor)

    async def _scan(
        self, wanted: AuditFilter, cursor: str
    ) -> list[AuditEntry] | Unavailable:
        kinds = [wanted.kind] if wanted.kind else list(AuditKind)
        limit = SCAN_ROWS if wanted.who else wanted.limit
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
        # Keys of one kind sort by time and id; so do the kinds together.
        return sorted(entries, key=_cursor_of)[:limit]


def _cursor_of(entry: AuditEntry) -> str:
    return f'{entry.at:017.6f}/{entry.id}'
