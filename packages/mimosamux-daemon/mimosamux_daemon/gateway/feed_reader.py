"""Keeps up with one table of the platform, by itself or through others."""

import math
import random
from collections.abc import Callable, Mapping
from typing import Generic, Protocol, TypeVar

import anyio
from mimosamux_wire import TableNews

from mimosamux_daemon.domain.store import Unavailable
from mimosamux_daemon.gateway.store_health import StoreHealth
from mimosamux_daemon.gateway.table_sharing import TableSharing, TableView
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.feeds import (
    Feed,
    FeedNews,
    FeedRow,
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
TOLD_RETRY_S = 2.0
"""The same while other daemons tell what the platform says."""
READER_WAIT_S = 1.3
"""Wait of the daemon that reads for others: a change reaches them at once,
and this often they are told that there was none."""
UNTOLD_S = 2.2
"""Time after which a daemon that is told nothing of a table looks itself. A
site with relays has 3 s and more to put a change in force everywhere."""
UNTOLD_SPREAD = 0.25
"""Part of that time by which daemons differ: the first one that looks tells
the others, and spares them the call."""


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
        sharing: TableSharing,
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
        self.sharing = sharing
        self._wait_s = wait_s
        self._clock = clock
        self._rng = rng
        self._cursor: int | None = None
        self._changed = 0
        self._confirmed_at = -math.inf
        self._look = anyio.Event()
        """Set when others know of a change that was not passed on."""
        self._was_lost = False
        self._pause_s = FIRST_RETRY_S
        self._looking = anyio.Lock()
        self._looked_in_vain = False
        """Whether a look found nothing, and nothing was learned since."""

    @property
    def age_s(self) -> float:
        """Return the time since the table is known to have had no more."""
        return self._clock() - self._confirmed_at

    @property
    def may_look(self) -> bool:
        """Whether the platform may tell more at once than is known here."""
        return self.is_current and not self._looked_in_vain

    async def look(self, *, older_than_s: float, timeout_s: float) -> None:
        """Read at once what is known too long, beside what `run` does.

        Who asks while another one looks waits for what that one finds.
        """
        async with self._looking:
            cursor, age_s = self._cursor, self.age_s
            if cursor is None or not self.may_look or age_s <= older_than_s:
                return
            sent_at = self._clock()
            found = await self._feed.look(cursor, timeout_s=timeout_s)
            if isinstance(found, FeedNews):
                self._take(found, max(sent_at, found.as_of))
            self._looked_in_vain = self.age_s > older_than_s
            log.info(
                'list_was_old',
                feed=self._name,
                age_s=round(age_s, 3),
                took_s=round(self._clock() - sent_at, 3),
                outcome=type(found).__name__,
            )

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if not self.sharing.is_reader() and self.is_current:
                await self._wait_until_untold()
            await self._read_once()

    def take_news(self, news: TableNews) -> None:
        """Take what another daemon has read of the table."""
        view = self.sharing.receive(news)
        if view is None or self._cursor is None:
            return
        if view.changed > self._cursor:
            if not view.rows or view.behind > self._cursor:
                self._look.set()
                return
            self._apply(view.rows, self._feed.parse(view.rows))
        self._note_view(view.version, view.changed, view.as_of)

    async def _read_once(self) -> None:
        self._look = anyio.Event()
        sent_at = self._clock()
        found = await self._ask()
        if isinstance(found, Unavailable):
            await self._wait_after(found)
            return
        self._note_answer()
        if isinstance(found, HistoryLost):
            log.info('history_lost', feed=self._name)
            self._cursor = None
            return
        # However the platform's clock was read, the answer is not older
        # than the question.
        self._take(found, max(sent_at, found.as_of))

    def _take(
        self, found: FeedState[ItemT] | FeedNews[ItemT], as_of: float
    ) -> None:
        if self._cursor is not None and found.cursor < self._cursor:
            # Others have told of a newer state meanwhile: rows of this
            # one would bring back what has changed since.
            return
        if isinstance(found, FeedState):
            # Others are not told: which row changed last is not known after
            # a whole read, and all of them would look for it.
            self._items.replace(found.items_by_key)
            self._note_view(found.cursor, found.cursor, as_of)
            self.first_read.set()
            return
        behind = self._changed
        changed = max((row.version for row in found.rows), default=behind)
        self._apply(found.rows, found.changes)
        self._note_view(found.cursor, changed, as_of)
        self.sharing.tell(
            TableView(
                version=found.cursor,
                changed=self._changed,
                behind=behind,
                as_of=as_of,
                rows=found.rows,
            )
        )

    def _apply(
        self,
        rows: tuple[FeedRow, ...],
        changes: tuple[tuple[str, ItemT | Unreadable | None], ...],
    ) -> None:
        """Apply changes that are not known yet."""
        cursor = self._cursor or 0
        new = tuple(
            change
            for row, change in zip(rows, changes, strict=True)
            if row.version > cursor
        )
        if new:
            self._items.apply(new)

    def _note_view(self, version: int, changed: int, as_of: float) -> None:
        self._cursor = max(self._cursor or 0, version)
        self._changed = max(self._changed, changed)
        self._confirmed_at = max(self._confirmed_at, as_of)
        self._looked_in_vain = False
        self._items.confirm(as_of)

    async def _wait_until_untold(self) -> None:
        """Wait for as long as others tell that nothing has changed."""
        longest_s = UNTOLD_S * (1 - self._rng.uniform(0.0, UNTOLD_SPREAD))
        while not self._look.is_set():
            left_s = self._confirmed_at + longest_s - self._clock()
            if left_s <= 0:
                return
            with anyio.move_on_after(left_s):
                await self._look.wait()

    async def _ask(
        self,
    ) -> FeedState[ItemT] | FeedNews[ItemT] | HistoryLost | Unavailable:
        if self._cursor is None:
            return await self._feed.read()
        return await self._feed.follow(self._cursor, wait_s=self._wait())

    def _wait(self) -> float:
        """Return for how long the platform may hold the answer back."""
        # After an outage the answer is wanted at once: until it comes, it
        # is not known whether what is held here is still in force.
        if not self.is_current or not self.sharing.is_reader():
            return 0.0
        if self.sharing.states.is_flat:
            return self._wait_s
        return min(self._wait_s, READER_WAIT_S)

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
        is_told = self._clock() - self._confirmed_at < UNTOLD_S
        longest_s = TOLD_RETRY_S if is_told else LAST_RETRY_S
        self._pause_s = min(self._pause_s * 2, longest_s)
