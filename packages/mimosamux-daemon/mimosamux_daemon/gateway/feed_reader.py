"""Keeps up with one table of the platform."""

from collections.abc import Callable, Mapping
from typing import Generic, TypeVar

import anyio

from mimosamux_daemon.domain.store import Unavailable
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.feeds import Feed, HistoryLost

log = get_log('feed_reader')

ItemT = TypeVar('ItemT')
RETRY_S = 0.2


class FeedReader(Generic[ItemT]):
    """Reads a table, then follows its changes."""

    def __init__(
        self,
        *,
        name: str,
        feed: Feed[ItemT],
        wait_s: float,
        replace: Callable[[Mapping[str, ItemT]], None],
        apply: Callable[[tuple[tuple[str, ItemT | None], ...]], None],
    ) -> None:
        self._name = name
        self._feed = feed
        self._wait_s = wait_s
        self._replace = replace
        self._apply = apply

    async def run(self) -> None:
        """Follow until cancelled."""
        cursor: int | None = None
        while True:
            if cursor is None:
                state = await self._feed.read()
                if isinstance(state, Unavailable):
                    log.info('feed_lost', feed=self._name, why=state.reason)
                    await anyio.sleep(RETRY_S)
                    continue
                self._replace(state.items_by_key)
                cursor = state.cursor
            news = await self._feed.follow(cursor, wait_s=self._wait_s)
            if isinstance(news, HistoryLost):
                cursor = None
            elif isinstance(news, Unavailable):
                log.info('feed_lost', feed=self._name, why=news.reason)
                await anyio.sleep(RETRY_S)
            else:
                cursor = news.cursor
                if news.changes:
                    self._apply(news.changes)
