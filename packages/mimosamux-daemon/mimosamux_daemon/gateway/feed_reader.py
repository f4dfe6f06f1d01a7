"""Keeps up with one table of the platform."""

import random
from collections.abc import Callable, Mapping
from typing import Generic, Protocol, TypeVar

import anyio

from mimosamux_daemon.domain.store import Unavailable
from mimosamux_daemon.gateway.store_health import StoreHealth
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.feeds import (
    Feed,
    FeedNews,
    FeedState,
    HistoryLost,
    Unreadable,
)

log = get_log('feed_reader')

ItemT = TypeVar('ItemT')
TakenT = TypeVar('TakenT', contravariant=True)

FIRST_RETRY_S = 0.1
LAST_RETRY_S = 0.5
"""Pause between two tries while the platform is away: its return has to be
noticed within the time in which a change must be in force."""


class FeedItems(Protocol[TakenT]):
    """What takes the items of a table."""

    def replace(self, items: Mapping[str, TakenT | Unreadable]) -> None:
        """Take everything that is in the table."""

    def apply(
        self, changes: tuple[tuple[str, TakenT | Unreadable | None], ...]
    ) -> None:
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
        health: StoreHealth,
        wait_s: float,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.is_current = False
        """Whether the last call to the platform was answered."""
        self.first_read = anyio.Event()
        """Set once the whole table was read."""
        self._name = name
        self._feed = feed
        self._items = items
        self._health = health
        self._wait_s = wait_s
        self._clock = clock
        self._rng = rng
        self._cursor: int | None = None
        self._was_lost = False
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
                self.first_read.set()
            elif found.changes:
                self._items.apply(found.changes)
            self._cursor = found.cursor
            # However the platform's clock was read, the answer is not
            # older than the question.
            self._items.confirm(max(sent_at, found.as_of))

    async def _ask(
        self,
    ) -> FeedState[ItemT] | FeedNews[ItemT] | HistoryLost | Unavailable:
        if self._cursor is None:
            return await self._feed.read()
        # After an outage the answer is wanted at once: until it comes, it
        # is not known whether what is held here is still in force.
        wait_s = self._wait_s if self.is_current else 0.0
        return await self._feed.follow(self._cursor, wait_s=wait_s)

    def _note_answer(self) -> None:
        self._pause_s = FIRST_RETRY_S
        if self.is_current:
            return
        self.is_current = True
        if self._was_lost:
            self._health.note_regained(self._name)
        log.info('feed_regained', feed=self._name, was_lost=self._was_lost)

    async def _wait_after(self, problem: Unavailable) -> None:
        if self.is_current:
            self.is_current = False
            self._was_lost = True
            self._health.note_lost(self._name)
            log.warning('feed_lost', feed=self._name, reason=problem.reason)
        await anyio.sleep(self._pause_s * self._rng.uniform(0.5, 1.0))
        self._pause_s = min(self._pause_s * 2, LAST_RETRY_S)
