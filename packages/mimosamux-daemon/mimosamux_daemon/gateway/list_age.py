"""Requests are sent by a list of endpoints that is new enough.

Who leaves is told, and looked for now and then. Each of that can come late:
connections fall silent, a relay dies, a daemon gets no processor time. So the
age of the list is what decides, at the moment of each send.
"""

from dataclasses import dataclass

import anyio

from mimosamux_daemon.domain.gateway import ListedEndpoint
from mimosamux_daemon.gateway.feed_reader import FeedReader

OLD_SHARE = 0.8
"""Part of the time that an endpoint serves on after it was listed as leaving.
A list that is older is read anew before a request is sent by it."""
HELD_S = 0.3
"""Longest wait of a request for that. A table that does not answer by then
is away, and endpoints are used as they were listed."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ListAge:
    """Holds requests while the list is too old and can be read."""

    reader: FeedReader[ListedEndpoint]
    drain_s: float
    """Time that an endpoint serves on after it was listed as leaving."""

    async def wait_until_new(self) -> None:
        """Return once the list is new enough, or cannot be read."""
        reader, oldest_s = self.reader, OLD_SHARE * self.drain_s
        if reader.age_s <= oldest_s or not reader.can_refresh:
            return
        with anyio.move_on_after(2 * HELD_S):
            await reader.refresh(older_than_s=oldest_s, timeout_s=HELD_S)
