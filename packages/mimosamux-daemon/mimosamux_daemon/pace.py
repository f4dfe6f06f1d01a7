"""Batching interval for reads and writes of streams under load."""

from dataclasses import dataclass

GAP_PER_STREAM_S = 0.0004
"""Interval between two reads of a stream, per open stream."""
MIN_GAP_S = 0.01
"""Shorter intervals become zero, as they would batch no tokens."""
MAX_GAP_S = 0.1
"""Upper limit of the interval."""


@dataclass(kw_only=True, slots=True)
class Pace:
    """Computes the interval between reads, or writes, of each stream.

    A read or a write costs about the same for one token as for several.
    With 250 open streams, a read and a write for each token take more than
    one core, which delays every first token. The interval grows with the
    number of open streams, and one read or write then handles all tokens
    that arrived during it.
    """

    streams: int = 0
    """Number of open streams, kept up to date by the owner."""

    @property
    def gap_s(self) -> float:
        """Interval between reads, or writes, of one stream, in seconds."""
        gap = min(GAP_PER_STREAM_S * self.streams, MAX_GAP_S)
        return gap if gap >= MIN_GAP_S else 0.0
