"""Port to the platform's transactional table service."""

from collections.abc import Sequence
from typing import Protocol

from mimosamux_daemon.domain.store import (
    Check,
    CommitOutcome,
    Row,
    Unavailable,
    Write,
)


class Table(Protocol):
    """Rows by key, written in transactions that check versions."""

    async def read(self, key: str) -> Row | None | Unavailable:
        """Return the row, None where there is none."""

    async def scan(
        self, prefix: str, *, after: str = '', limit: int = 1000
    ) -> tuple[Row, ...] | Unavailable:
        """Return rows whose key starts with `prefix`, sorted by key.

        Only keys greater than `after` are returned, `limit` at most.
        """

    async def commit(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> CommitOutcome:
        """Write all rows together if every check holds."""
