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
    """Key-value rows with optimistic concurrency control."""

    async def read(self, key: str) -> Row | None | Unavailable:
        """Return the row, or None if it does not exist."""

    async def scan(
        self, prefix: str, *, after: str = '', limit: int = 1000
    ) -> tuple[Row, ...] | Unavailable:
        """Return rows whose key starts with `prefix`, sorted by key.

        Returns at most `limit` rows, with keys greater than `after`.
        """

    async def commit(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> CommitOutcome:
        """Apply all writes atomically if every check holds."""
