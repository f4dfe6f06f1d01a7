"""Bounds the staleness of the endpoint list that requests are sent by.

Daemons announce leaving endpoints to each other, and poll the list. Both can
be late: connections fall silent, a relay dies, a daemon gets no processor
time. So the age of the list is checked each time a request is sent.
"""

from dataclasses import dataclass

import anyio

from mimosamux_daemon.domain.gateway import ListedEndpoint
from mimosamux_daemon.gateway.feed_reader import FeedReader

MAX_AGE_SHARE = 0.8
"""Maximum age of the list, as a share of the drain time. An older list is
read again before a request is sent by it."""
READ_TIMEOUT_S = 0.3
"""Time-out of that read. If the table does not answer in time, it counts as
unavailable, and the last known list is used. A request waits at most twice as
long, since it may first wait for a read that another one began."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ListFreshness:
    """Holds requests while the endpoint list is stale and can be read."""

    reader: FeedReader[ListedEndpoint]
    drain_s: float
    """Time that an endpoint keeps serving after it is listed as leaving."""

    async def wait_until_fresh(self) -> None:
        """Wait until the list is fresh enough, or cannot be read."""
        reader, max_age_s = self.reader, MAX_AGE_SHARE * self.drain_s
        if reader.age_s <= max_age_s or not reader.can_refresh:
            return
        with anyio.move_on_after(2 * READ_TIMEOUT_S):
            await reader.refresh(
                older_than_s=max_age_s, timeout_s=READ_TIMEOUT_S
            )
