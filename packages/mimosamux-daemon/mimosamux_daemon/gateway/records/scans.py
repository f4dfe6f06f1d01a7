"""Reads all rows of a record."""

from mimosamux_daemon.domain.store import Row, Unavailable
from mimosamux_daemon.ports import Table

PAGE_ROWS = 500
"""Most rows of one answer of the table."""
LARGE_PAGE_BYTES = 512 * 1024
"""Size of an answer from which on it may lack rows for its size: the table
sends 1 MB at most, encoded."""


async def scan_all(table: Table, prefix: str) -> list[Row] | Unavailable:
    """Return all rows whose key starts with `prefix`, sorted by key."""
    rows: list[Row] = []
    while True:
        after = rows[-1].key if rows else ''
        page = await table.scan(prefix, after=after, limit=PAGE_ROWS)
        if isinstance(page, Unavailable):
            return page
        rows += page
        size = sum(len(row.value) for row in page)
        if len(page) < PAGE_ROWS and size < LARGE_PAGE_BYTES:
            return rows
