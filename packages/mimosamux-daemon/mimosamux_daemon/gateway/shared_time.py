"""A time of day on which the daemons agree.

The clocks of VMs differ, and some jump by seconds. The platform's store
has a steady clock that all daemons see. Each tells how far its own time of
day is from that clock, and the median of what all tell is taken: the jump
of a few VMs moves nothing.
"""

import statistics
from collections.abc import Callable
from dataclasses import dataclass

from mimosamux_wire import StateDigest

from mimosamux_daemon.domain.names import DaemonId
from mimosamux_daemon.gateway.peer_states import PeerState

QUICKEST_S = 0.05
"""More than the quickest answer of the store takes on its way."""
MS_PER_S = 1000
KEEP_S = 600.0
"""What a daemon told of its clock is used for so long after it is gone."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _Told:
    offset_s: float
    at: float


class SharedTime:
    """Tells the agreed time of day."""

    def __init__(
        self, *, clock: Callable[[], float], wall_clock: Callable[[], float]
    ) -> None:
        self._clock = clock
        self._wall_clock = wall_clock
        self._store_lead_s: float | None = None
        """The store's clock less the clock of this machine."""
        self._told_by_peer: dict[DaemonId, _Told] = {}

    def note_store_time(self, store_s: float) -> float:
        """Take a reading of the store's clock that has just arrived.

        An answer that took long shows an older time; the largest lead is
        that of the quickest answer. Returns when the reading was made, on
        the clock of this machine: not later than it truly was.
        """
        lead = store_s - self._clock()
        if self._store_lead_s is None or lead > self._store_lead_s:
            self._store_lead_s = lead
        return store_s - self._store_lead_s - QUICKEST_S

    def now(self) -> float:
        """Return the agreed time of day, in seconds since 1970."""
        store_now = self.store_now()
        if store_now is None:
            return self._wall_clock()
        return store_now + self._agreed_offset_s(store_now)

    def store_now(self) -> float | None:
        """Return the store's clock, None before it was ever seen."""
        if self._store_lead_s is None:
            return None
        return self._clock() + self._store_lead_s

    def to_store_ms(self, at: float) -> int | None:
        """Return a moment of this machine on the store's clock, or earlier.

        None before that clock was ever seen.
        """
        if self._store_lead_s is None:
            return None
        return int((at + self._store_lead_s) * MS_PER_S)

    def from_store_ms(self, store_ms: int) -> float | None:
        """Return a moment of the store on this machine's clock, or earlier.

        A message that tells of it may have been under way for any time: the
        age of what it tells does not rest on when it came.
        """
        if self._store_lead_s is None:
            return None
        return store_ms / MS_PER_S - self._store_lead_s - QUICKEST_S

    def write(self, digest: StateDigest) -> None:
        """Tell how far the time of day here is from the store's clock."""
        store_now = self.store_now()
        if store_now is not None:
            offset_s = self._wall_clock() - store_now
            digest.wall_offset_ms = int(offset_s * 1000)

    def take(self, peer: PeerState, digest: StateDigest) -> None:
        """Take what a peer tells of its clock."""
        if digest.wall_offset_ms:
            self._told_by_peer[peer.place.id] = _Told(
                offset_s=digest.wall_offset_ms / 1000, at=self._clock()
            )

    def _agreed_offset_s(self, store_now: float) -> float:
        oldest = self._clock() - KEEP_S
        told = [
            each.offset_s
            for each in self._told_by_peer.values()
            if each.at > oldest
        ]
        own = self._wall_clock() - store_now
        return statistics.median_low([*told, own])
