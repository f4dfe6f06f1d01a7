"""Keeps up with one table of the platform."""

import random
from collections.abc import Callable, Mapping
from typing import Generic, Protocol, TypeVar

import anyio

from mimosamux_daemon.domain.store import Unavailable
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.feeds import (
    Feed,
    FeedNews,
    FeedState,
    HistoryLost,
)

log = get_log('feed_reader')

ItemT = TypeVar('ItemT')
TakenT = TypeVar('TakenT', contravariant=True)

FIRST_RETRY_S = 0.1
LAST_RETRY_S = 1.0
"""Pause between two tries while the platform is away: its return has to be
noticed within the time in which a change must be in force."""


class FeedItems(Protocol[TakenT]):
    """What takes the items of a table."""

    def replace(self, items: Mapping[str, TakenT]) -> None:
        """Take everything that is in the table."""

    def apply(self, changes: tuple[tuple[str, TakenT | None], ...]) -> None:
        """Take changes in their order."""

    def confirm(self, at: float) -> None:
        """Note that all changes up to a moment have been taken."""


class FeedReader(Generic[ItemT]):
    """Reads a table, then follows its changes."""

    def __init__(
        self,
        *,
        name: str,
        feed: Feed[ItemT],
        items: FeedItems[ItemT],
        wait_s: float,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.is_current = False
        """Whether the last call to the platform was answered."""
        self.regained_at: float | None = None
        """When the platform answered again after a time without."""
        self._name = name
        self._feed = feed
        self._items = items
        self._wait_s = wait_s
        self._clock = clock
        self._rng = rng
        self._cursor: int | None = None
        self._pause_s = FIRST_RETRY_S

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            sent_at = self._clock()
            found = await self._ask()
            if isinstance(found, Unavailable):
                await self._wait_after(found)
                continue
            self._note_answer()
            if isinstance(found, HistoryLost):
                log.info('history_lost', feed=self._name)
                self._cursor = None
                continue
            if isinstance(found, FeedState):
                self._items.replace(found.items_by_key)
            elif found.changes:
                self._items.apply(found.changes)
            self._cursor = found.cursor
            # The answer tells of all changes up to some moment after the
            # question was sent; that it did is all that is sure.
            self._items.confirm(sent_at)

    async def _ask(
        self,
    ) -> FeedState[ItemT] | FeedNews[ItemT] | HistoryLost | Unavailable:
        if self._cursor is None:
            return await self._feed.read()
        return await self._feed.follow(self._cursor, wait_s=self._wait_s)

    def _note_answer(self) -> None:
        self._pause_s = FIRST_RETRY_S
        if not self.is_current:
            self.is_current = True
            self.regained_at = self._clock()
            log.info('feed_regained', feed=self._name)

    async def _wait_after(self, problem: Unavailable) -> None:
        if self.is_current:
            self.is_current = False
            log.warning('feed_lost', feed=self._name, reason=problem.reason)
        await anyio.sleep(self._pause_s * self._rng.uniform(0.5, 1.0))
        self._pause_s = min(self._pause_s * 2, LAST_RETRY_S)
