"""A time of day on which the daemons agree.

The clocks of VMs differ, and some jump by seconds. The platform's store has a
steady clock that all daemons read. Each daemon reports the offset of its own
time of day from that clock, and all take the median of the reported offsets,
so that jumps on a few VMs change nothing.
"""

import statistics
from collections.abc import Callable
from dataclasses import dataclass

from mimosamux_wire import StateDigest

from mimosamux_daemon.domain.names import DaemonId
from mimosamux_daemon.gateway.exchange.peer_states import PeerState

MIN_TRANSIT_BOUND_S = 0.05
"""Upper bound on the transit time of the store's fastest answer."""
MS_PER_S = 1000
RETAIN_S = 600.0
"""Time for which the last reported offset of a peer is used."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _PeerOffset:
    offset_s: float
    at: float


class SharedTime:
    """The agreed time of day, and conversions to and from store time."""

    def __init__(
        self, *, clock: Callable[[], float], wall_clock: Callable[[], float]
    ) -> None:
        self._clock = clock
        self._wall_clock = wall_clock
        self._store_lead_s: float | None = None
        """Store time minus this machine's clock, from the fastest answer."""
        self._offset_by_peer: dict[DaemonId, _PeerOffset] = {}

    def note_store_time(self, store_s: float) -> float:
        """Take a reading of the store's clock that has just arrived.

        A slow answer carries an older time, so the largest lead belongs to the
        fastest answer. Return the time of the reading on this machine's clock:
        not later than the true one.
        """
        lead = store_s - self._clock()
        if self._store_lead_s is None or lead > self._store_lead_s:
            self._store_lead_s = lead
        return store_s - self._store_lead_s - MIN_TRANSIT_BOUND_S

    def now(self) -> float:
        """Return the agreed time of day, in seconds since 1970."""
        store_now = self.store_now()
        if store_now is None:
            return self._wall_clock()
        return store_now + self._agreed_offset_s(store_now)

    def store_now(self) -> float | None:
        """Return the store's time in seconds, None before it was ever seen."""
        if self._store_lead_s is None:
            return None
        return self._clock() + self._store_lead_s

    def to_store_ms(self, at: float) -> int | None:
        """Convert a local time to store time in ms.

        The result is never later than the true time; None before the store's
        clock was ever seen.
        """
        if self._store_lead_s is None:
            return None
        return int((at + self._store_lead_s) * MS_PER_S)

    def from_store_ms(self, store_ms: int) -> float | None:
        """Convert a store time in ms to a local time.

        The result is never later than the true time; None before the store's
        clock was ever seen. A message may be in transit for any time, so the
        age of what it reports follows from the store time in it and not from
        its arrival.
        """
        if self._store_lead_s is None:
            return None
        return store_ms / MS_PER_S - self._store_lead_s - MIN_TRANSIT_BOUND_S

    def write(self, digest: StateDigest) -> None:
        """Add the offset of the local time of day from the store's clock."""
        store_now = self.store_now()
        if store_now is not None:
            offset_s = self._wall_clock() - store_now
            digest.wall_offset_ms = int(offset_s * 1000)

    def take(self, peer: PeerState, digest: StateDigest) -> None:
        """Take the clock offset that a peer reports."""
        if digest.wall_offset_ms:
            self._offset_by_peer[peer.place.id] = _PeerOffset(
                offset_s=digest.wall_offset_ms / 1000, at=self._clock()
            )

    def _agreed_offset_s(self, store_now: float) -> float:
        oldest = self._clock() - RETAIN_S
        peer_offsets = [
            each.offset_s
            for each in self._offset_by_peer.values()
            if each.at > oldest
        ]
        own = self._wall_clock() - store_now
        return statistics.median_low([*peer_offsets, own])
