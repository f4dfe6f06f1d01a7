"""Bounds the staleness of the endpoint list that requests are sent by.

Daemons announce leaving endpoints to each other, and poll the list. Both can
be late: connections fall silent, a relay dies, a daemon gets no processor
time. So the age of the list is checked each time a request is sent.
"""

from collections.abc import Callable
from dataclasses import dataclass

from mimosamux_daemon.domain.gateway import ListedEndpoint
from mimosamux_daemon.gateway.feed_reader import FeedReader
from mimosamux_daemon.gateway.roster import Roster

MAX_AGE_SHARE = 0.8
"""Maximum age of the list, as a share of the drain time. An older list is
read again before a request is sent by it."""
MAX_HELD_S = 0.3
"""Time for which a request waits for that read."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ListFreshness:
    """Holds requests while the endpoint list is stale and can be read."""

    reader: FeedReader[ListedEndpoint]
    roster: Roster
    drain_s: float
    """Time that an endpoint keeps serving after it is listed as leaving."""
    is_told_by_peers: Callable[[], bool]
    """Whether peers that read the list announce to this daemon who leaves."""
    clock: Callable[[], float]

    async def wait_until_fresh(self) -> None:
        """Wait until the list is fresh, its read takes too long, or it fails.

        While the list stays stale, the table is not away and no peer tells
        who leaves, only endpoints whose own answers show that they do not
        leave accept requests.
        """
        reader, max_age_s = self.reader, MAX_AGE_SHARE * self.drain_s
        if reader.age_s > max_age_s:
            await reader.refresh(older_than_s=max_age_s, timeout_s=MAX_HELD_S)
        is_uninformed = not reader.is_away and not self.is_told_by_peers()
        if reader.age_s > max_age_s and is_uninformed:
            self.roster.withhold_unconfirmed(self.clock() - max_age_s)
        else:
            self.roster.release_withheld()
