"""The pace at which streams are read and written under load."""

from dataclasses import dataclass

GAP_PER_STREAM_S = 0.0004
"""Pause between two looks at a stream, for each stream that is open."""
SHORTEST_GAP_S = 0.01
"""Pauses below this are left out, as they join nothing."""
LONGEST_GAP_S = 0.1


@dataclass(kw_only=True, slots=True)
class Pace:
    """Says how far apart the reads, or the writes, of each stream are.

    A read and a write cost about the same for one token as for several.
    With 250 streams open, one of each for every token takes more than a
    core, and every first token waits for it; after a pause, all that came
    meanwhile goes together.
    """

    streams: int = 0
    """Streams that are open now."""

    @property
    def gap_s(self) -> float:
        """Pause between two looks at one stream, in seconds."""
        gap = min(GAP_PER_STREAM_S * self.streams, LONGEST_GAP_S)
        return gap if gap >= SHORTEST_GAP_S else 0.0
