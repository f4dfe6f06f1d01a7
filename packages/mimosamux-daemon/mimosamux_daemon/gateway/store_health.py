"""Whether the platform's store answers, as its readers find."""

from collections.abc import Callable
from dataclasses import dataclass, field

LAPSE_S = 2.0
"""Time after the store is back within which live endpoints that lapsed
from its list meanwhile are listed again."""
TOLD_S = 1.5
"""Time for which the word of another daemon counts: a little more than what
passes until it tells again. Daemons tell only what they see themselves; were
the word passed on as their own, an outage would never end."""


@dataclass(kw_only=True, slots=True)
class StoreHealth:
    """Readers that are without an answer, and when the store was back."""

    clock: Callable[[], float]
    _lost: set[str] = field(default_factory=set)
    _regained_at: float | None = None
    _told_at: float | None = None
    """When another daemon told last that it sees an outage."""

    def note_lost(self, reader: str) -> None:
        """Note that a reader gets no answer any more."""
        self._lost.add(reader)

    def note_regained(self, reader: str) -> None:
        """Note that a reader gets answers again, after a time without."""
        self._lost.discard(reader)
        self._regained_at = self.clock()

    def note_told_of_outage(self) -> None:
        """Note that the store is, or just was, away from another daemon."""
        self._told_at = self.clock()

    @property
    def is_answering(self) -> bool:
        """Whether all readers here are answered."""
        return not self._lost

    def has_seen_outage(self) -> bool:
        """Whether the store is, or just was, away from this daemon."""
        return bool(self._lost) or self._is_within(self._regained_at, LAPSE_S)

    def may_have_lapsed(self) -> bool:
        """Whether an endpoint that is missing may live all the same.

        While the store is away, live endpoints cannot renew their entries.
        """
        return self.has_seen_outage() or self._is_within(self._told_at, TOLD_S)

    def _is_within(self, at: float | None, duration_s: float) -> bool:
        return at is not None and self.clock() - at < duration_s
