"""Port to tables of the platform that are read as they change."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from mimosamux_daemon.domain.store import Unavailable

ItemT = TypeVar('ItemT')


@dataclass(frozen=True, kw_only=True, slots=True)
class Unreadable:
    """An item that is there and says nothing that can be understood.

    Whoever may write to a table may write anything there. Taken as gone,
    such an item would end what it stood for; left out, what stood there
    before would be used on.
    """

    problem: str


@dataclass(frozen=True, kw_only=True, slots=True)
class FeedRow:
    """A row as it stands in the table."""

    key: str
    value: bytes | None
    """None: the row is gone, or its bytes could not be decoded."""
    version: int
    is_deleted: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class FeedState(Generic[ItemT]):
    """Everything in a table at one moment."""

    items_by_key: Mapping[str, ItemT | Unreadable]
    cursor: int
    """Where the changes behind it begin."""
    as_of: float
    """When it was so, on the steady clock of this machine."""


@dataclass(frozen=True, kw_only=True, slots=True)
class FeedNews(Generic[ItemT]):
    """Changes in their order; None stands for an item that is gone."""

    changes: tuple[tuple[str, ItemT | Unreadable | None], ...]
    cursor: int
    as_of: float
    """Up to when these are all, on the steady clock of this machine."""
    rows: tuple[FeedRow, ...] = ()
    """The rows that changed, for daemons that do not read the table."""


@dataclass(frozen=True, kw_only=True, slots=True)
class HistoryLost:
    """Changes behind the cursor are no longer known: read all again."""


class Feed(Protocol[ItemT]):
    """One table."""

    async def read(self) -> FeedState[ItemT] | Unavailable:
        """Return everything that is there now."""

    async def follow(
        self, cursor: int, *, wait_s: float
    ) -> FeedNews[ItemT] | HistoryLost | Unavailable:
        """Return what changed behind a cursor, at once if anything did.

        Without a change the answer comes after `wait_s`, and says that
        there was none up to then.
        """

    async def look(
        self, cursor: int, *, timeout_s: float
    ) -> FeedNews[ItemT] | HistoryLost | Unavailable:
        """Return the same without waiting, on a connection of its own.

        Those that are open may have fallen silent.
        """

    def parse(
        self, rows: tuple[FeedRow, ...]
    ) -> tuple[tuple[str, ItemT | Unreadable | None], ...]:
        """Return the items of rows that another daemon has read."""
