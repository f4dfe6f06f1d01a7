"""Replicates one table of the platform's store.

The reader follows the table by long polling, or receives updates from the
daemon that reads the table for the others (`table_sharing`). If the updates
stop, the reader polls the platform itself.
"""

import math
import random
from collections.abc import Callable, Mapping
from typing import Generic, Protocol, TypeVar

import anyio
from mimosamux_wire import TableNews

from mimosamux_daemon.domain.store import Unavailable
from mimosamux_daemon.domain.store_eras import era_of
from mimosamux_daemon.gateway.platform_presence import PlatformPresence
from mimosamux_daemon.gateway.store_health import StoreHealth
from mimosamux_daemon.gateway.table_sharing import TableSharing, TableView
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.feeds import (
    Feed,
    FeedNews,
    FeedRow,
    FeedSnapshot,
    HistoryLost,
    Unreadable,
)

log = get_log('feed_reader')

ItemT = TypeVar('ItemT')
ConsumedT = TypeVar('ConsumedT', contravariant=True)

MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.5
"""Bounds of the backoff while the platform does not answer. A daemon must
notice its return within the time in which a change must be in force."""
MAX_BACKOFF_WITH_PEERS_S = 2.0
"""Upper bound of the backoff while other daemons send updates of the table."""
SHARED_READ_WAIT_S = 1.3
"""Longest long poll of the daemon that reads for the others. They receive a
change at once, and a confirmation without changes at this interval."""
REFRESH_TIMEOUT_S = 1.5
"""Time-out of a read that requests wait for. They wait for less; what it tells
later still counts."""
PEER_SILENCE_S = 2.2
"""Time without an update after which a daemon reads a table itself. A site
with relays has 3 s or more to put a change in force everywhere."""
PEER_SILENCE_JITTER = 0.25
"""Jitter, as a part of that time. The first daemon that reads sends the
update to the others, and saves them the call."""


class FeedConsumer(Protocol[ConsumedT]):
    """Consumer of the items of a table."""

    def replace(self, items: Mapping[str, ConsumedT | Unreadable]) -> None:
        """Replace all items by the content of the table."""

    def apply(
        self, changes: tuple[tuple[str, ConsumedT | Unreadable | None], ...]
    ) -> None:
        """Apply changes in order; None stands for a deleted item."""

    def confirm(self, at: float) -> None:
        """Note that all changes up to a moment have been applied."""


class FeedReader(Generic[ItemT]):
    """Reads a whole table, then follows its changes."""

    def __init__(
        self,
        *,
        name: str,
        feed: Feed[ItemT],
        consumer: FeedConsumer[ItemT],
        health: StoreHealth,
        sharing: TableSharing,
        wait_s: float,
        away_after_s: float,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.is_connected = False
        """Whether the platform answered the last call."""
        self.first_read = anyio.Event()
        """Set once the whole table has been read."""
        self._name = name
        self._feed = feed
        self._consumer = consumer
        self._health = health
        self.sharing = sharing
        self._wait_s = wait_s
        self._clock = clock
        self._rng = rng
        self._cursor: int | None = None
        """Version of the store up to which the table is known."""
        self._last_change = 0
        """Version of the newest change that is known."""
        self._confirmed_at = -math.inf
        """Time up to which all changes are known."""
        self._read_now = anyio.Event()
        """Set when an update reveals a change whose rows are missing here."""
        self._had_outage = False
        self._longest_gap_s = 0.0
        """Longest time during an outage without a confirmation by peers."""
        self._backoff_s = MIN_BACKOFF_S
        self._presence = PlatformPresence(
            away_after_s=away_after_s, clock=clock
        )
        self._refresh_wanted = anyio.Event()
        self._refresh_ended = anyio.Event()
        self._refresh_began_at: float | None = None
        """When the present refresh began, None: there is none."""

    @property
    def age_s(self) -> float:
        """Return the staleness: the time since all changes were known."""
        return self._clock() - self._confirmed_at

    @property
    def is_away(self) -> bool:
        """Whether the platform is away, as far as this daemon can tell."""
        return self._presence.is_away

    async def refresh(self, *, older_than_s: float, timeout_s: float) -> None:
        """Have the changes read if the state here is older than a limit.

        Return once the state is new enough, the read has failed, or it goes
        on for longer than the time-out: it is not cancelled then.
        """
        now = self._clock()
        if self.is_away or self.age_s <= older_than_s:
            return
        if self._refresh_began_at is None:
            self._refresh_began_at = now
            self._refresh_wanted.set()
        ended = self._refresh_ended
        with anyio.move_on_after(self._refresh_began_at + timeout_s - now):
            await ended.wait()

    async def run_refreshes(self) -> None:
        """Make the reads that `refresh` asks for, until cancelled."""
        while True:
            await self._refresh_wanted.wait()
            self._refresh_wanted = anyio.Event()
            await self._refresh_once()
            self._refresh_began_at = None
            self._refresh_ended.set()
            self._refresh_ended = anyio.Event()

    async def _refresh_once(self) -> None:
        """Read the changes on a connection of its own."""
        age_s, sent_at = self.age_s, self._clock()
        answer = await self._poll_or_read()
        if isinstance(answer, Unavailable):
            self._presence.note_failure(answer)
            if answer.is_timeout:
                self._presence.note_unanswered(sent_at)
        else:
            self._presence.note_reached()
            self._apply_answer(answer, max(sent_at, answer.as_of))
        log.info(
            'list_was_old',
            feed=self._name,
            age_s=round(age_s, 3),
            took_s=round(self._clock() - sent_at, 3),
            outcome=type(answer).__name__,
        )

    async def _poll_or_read(
        self,
    ) -> FeedSnapshot[ItemT] | FeedNews[ItemT] | Unavailable:
        """Return the changes at once, or the whole table if need be."""
        if self._cursor is not None:
            answer = await self._feed.poll(
                self._cursor, timeout_s=REFRESH_TIMEOUT_S
            )
            if not isinstance(answer, HistoryLost):
                return answer
        return await self._feed.read()

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            has_table = self.is_connected and self._cursor is not None
            if has_table and not self.sharing.is_reader():
                await self._wait_for_peer_silence()
            await self._read_once()

    def receive_update(self, update: TableNews) -> None:
        """Apply changes that another daemon has read from the table."""
        view = self.sharing.receive(update)
        if view is None or self._cursor is None:
            return
        if era_of(view.version) != era_of(self._cursor):
            # Neither view says what the other lacks. A later era has lost
            # rows that are known here, so the whole table is read.
            if view.version > self._cursor:
                self._read_now.set()
            return
        if view.changed > self._cursor:
            if not view.rows or view.preceding_change > self._cursor:
                self._read_now.set()
                return
            self._apply_changes(view.rows, self._feed.parse(view.rows))
        self._note_progress(view.version, view.changed, view.as_of)

    async def _read_once(self) -> None:
        """Make one call to the platform, and apply its answer."""
        self._read_now = anyio.Event()
        sent_at = self._clock()
        answer = await self._fetch()
        if isinstance(answer, Unavailable):
            # A time-out counts for nothing here: the connection may be dead.
            self._presence.note_failure(answer)
            await self._back_off(answer)
            return
        self._presence.note_reached()
        self._note_answer()
        if isinstance(answer, HistoryLost):
            log.info('history_lost', feed=self._name)
            self._cursor = None
            return
        # The answer is not older than the request, whatever the estimate of
        # the platform's clock says.
        self._apply_answer(answer, max(sent_at, answer.as_of))

    def _apply_answer(
        self, answer: FeedSnapshot[ItemT] | FeedNews[ItemT], as_of: float
    ) -> None:
        if self._cursor is not None and answer.cursor < self._cursor:
            # A peer's update has brought a newer state meanwhile: the older
            # rows of this answer would undo later changes.
            return
        if isinstance(answer, FeedSnapshot):
            self._apply_snapshot(answer, as_of)
            return
        behind = self._last_change
        changed = max((row.version for row in answer.rows), default=behind)
        self._apply_changes(answer.rows, answer.changes)
        self._note_progress(answer.cursor, changed, as_of)
        self.sharing.send_update(
            TableView(
                version=answer.cursor,
                changed=self._last_change,
                preceding_change=behind,
                as_of=as_of,
                rows=answer.rows,
            )
        )

    def _apply_snapshot(
        self, answer: FeedSnapshot[ItemT], as_of: float
    ) -> None:
        before = self._last_change
        has_restored = before > 0 and era_of(before) < era_of(answer.cursor)
        self._consumer.replace(answer.items_by_key)
        self._note_progress(answer.cursor, answer.cursor, as_of)
        self.first_read.set()
        # A whole read does not say which row changed last, and each peer
        # would read the table to find it. After a restore all have to.
        if has_restored:
            self.sharing.send_update(
                TableView(
                    version=answer.cursor,
                    changed=answer.cursor,
                    preceding_change=answer.cursor,
                    as_of=as_of,
                )
            )

    def _apply_changes(
        self,
        rows: tuple[FeedRow, ...],
        changes: tuple[tuple[str, ItemT | Unreadable | None], ...],
    ) -> None:
        """Apply the changes that are newer than the cursor."""
        cursor = self._cursor or 0
        new = tuple(
            change
            for row, change in zip(rows, changes, strict=True)
            if row.version > cursor
        )
        if new:
            self._consumer.apply(new)

    def _note_progress(self, version: int, changed: int, as_of: float) -> None:
        """Advance the cursor, and confirm all changes up to `as_of`."""
        self._note_gap(as_of)
        self._cursor = max(self._cursor or 0, version)
        self._last_change = max(self._last_change, changed)
        self._confirmed_at = max(self._confirmed_at, as_of)
        self._presence.note_reached()
        self._consumer.confirm(as_of)

    def _note_gap(self, until: float) -> None:
        """Extend the longest gap of an outage by the present one."""
        if not self.is_connected:
            gap_s = until - self._confirmed_at
            self._longest_gap_s = max(self._longest_gap_s, gap_s)

    async def _wait_for_peer_silence(self) -> None:
        """Wait while updates from peers keep the table up to date."""
        limit_s = PEER_SILENCE_S * (
            1 - self._rng.uniform(0.0, PEER_SILENCE_JITTER)
        )
        while not self._read_now.is_set():
            left_s = self._confirmed_at + limit_s - self._clock()
            if left_s <= 0:
                return
            with anyio.move_on_after(left_s):
                await self._read_now.wait()

    async def _fetch(
        self,
    ) -> FeedSnapshot[ItemT] | FeedNews[ItemT] | HistoryLost | Unavailable:
        """Read the whole table, or the changes after the cursor."""
        if self._cursor is None:
            return await self._feed.read()
        return await self._feed.long_poll(
            self._cursor, wait_s=self._long_poll_s()
        )

    def _long_poll_s(self) -> float:
        """Return how long the platform may wait for a change."""
        # After an outage the first answer must come at once: until then it
        # is unknown whether the state here is still in force.
        if not self.is_connected or not self.sharing.is_reader():
            return 0.0
        if self.sharing.states.is_flat:
            return self._wait_s
        return min(self._wait_s, SHARED_READ_WAIT_S)

    def _note_answer(self) -> None:
        """Reset the backoff, and note the end of an outage."""
        self._backoff_s = MIN_BACKOFF_S
        if self.is_connected:
            return
        self._note_gap(self._clock())
        self.is_connected = True
        if self._had_outage:
            self._health.note_answered(
                self._name,
                answered_others=self._longest_gap_s < PEER_SILENCE_S,
            )
        log.info('feed_regained', feed=self._name, was_lost=self._had_outage)

    async def _back_off(self, problem: Unavailable) -> None:
        """Note that a call failed, and wait before the next one."""
        if self.is_connected:
            self.is_connected = False
            self._had_outage = True
            self._longest_gap_s = 0.0
            self._health.note_unanswered(self._name)
            log.warning('feed_lost', feed=self._name, reason=problem.reason)
        await anyio.sleep(self._backoff_s * self._rng.uniform(0.5, 1.0))
        has_peer_updates = self._clock() - self._confirmed_at < PEER_SILENCE_S
        limit_s = (
            MAX_BACKOFF_WITH_PEERS_S if has_peer_updates else MAX_BACKOFF_S
        )
        self._backoff_s = min(self._backoff_s * 2, limit_s)
