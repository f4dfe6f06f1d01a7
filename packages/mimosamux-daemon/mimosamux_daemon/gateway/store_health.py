"""Whether the platform's store answers, as its readers find."""

from collections.abc import Callable
from dataclasses import dataclass, field

LAPSE_S = 2.0
"""Time after the store is back within which live endpoints that lapsed
from its list meanwhile are listed again."""


@dataclass(kw_only=True, slots=True)
class StoreHealth:
    """Readers that are without an answer, and when the store was back."""

    clock: Callable[[], float]
    _lost: set[str] = field(default_factory=set)
    _regained_at: float | None = None

    def note_lost(self, reader: str) -> None:
        """Note that a reader gets no answer any more."""
        self._lost.add(reader)

    def note_regained(self, reader: str) -> None:
        """Note that a reader gets answers again, after a time without."""
        self._lost.discard(reader)
        self._regained_at = self.clock()

    def note_told_of_outage(self) -> None:
        """Note that the store is, or just was, away from another daemon."""
        self._regained_at = self.clock()

    @property
    def is_answering(self) -> bool:
        """Whether all readers here are answered."""
        return not self._lost

    def may_have_lapsed(self) -> bool:
        """Whether an endpoint that is missing may live all the same.

        While the store is away, live endpoints cannot renew their entries.
        """
        if self._lost:
            return True
        regained_at = self._regained_at
        return regained_at is not None and (
            self.clock() - regained_at < LAPSE_S
        )
