"""Port to the change feeds of the platform's tables."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from mimosamux_daemon.domain.store import Unavailable

ItemT = TypeVar('ItemT')


@dataclass(frozen=True, kw_only=True, slots=True)
class Unreadable:
    """An item that exists but cannot be parsed.

    Writers of a table may write arbitrary bytes. Treating such an item as
    deleted would remove what it described; ignoring it would keep an
    outdated value in use.
    """

    problem: str


@dataclass(frozen=True, kw_only=True, slots=True)
class FeedRow:
    """A row of the table, not yet parsed."""

    key: str
    value: bytes | None
    """None: the row is deleted, or its bytes could not be decoded."""
    version: int
    is_deleted: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class FeedSnapshot(Generic[ItemT]):
    """Snapshot of a table."""

    items_by_key: Mapping[str, ItemT | Unreadable]
    cursor: int
    """Position in the feed after which later changes follow."""
    as_of: float
    """Time of the snapshot, on the monotonic clock of this machine."""


@dataclass(frozen=True, kw_only=True, slots=True)
class FeedNews(Generic[ItemT]):
    """Changes by key in their order; None: the item was deleted."""

    changes: tuple[tuple[str, ItemT | Unreadable | None], ...]
    cursor: int
    as_of: float
    """Time up to which the changes are complete, on the monotonic clock."""
    rows: tuple[FeedRow, ...] = ()
    """Changed rows, to forward to daemons that do not read the table."""


@dataclass(frozen=True, kw_only=True, slots=True)
class HistoryLost:
    """The feed has dropped changes after the cursor: read a snapshot."""


class Feed(Protocol[ItemT]):
    """Change feed of one table."""

    async def read(self) -> FeedSnapshot[ItemT] | Unavailable:
        """Return a snapshot of the table."""

    async def long_poll(
        self, cursor: int, *, wait_s: float
    ) -> FeedNews[ItemT] | HistoryLost | Unavailable:
        """Return the changes after a cursor, by long polling.

        Returns at once if there are any, and otherwise after `wait_s`,
        without changes.
        """

    async def poll(
        self, cursor: int, *, timeout_s: float
    ) -> FeedNews[ItemT] | HistoryLost | Unavailable:
        """Return the changes after a cursor without waiting for any.

        Uses a new connection, as open ones may be dead without notice.
        """

    def parse(
        self, rows: tuple[FeedRow, ...]
    ) -> tuple[tuple[str, ItemT | Unreadable | None], ...]:
        """Parse rows that another daemon has read."""
