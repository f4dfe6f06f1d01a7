"""Tracks outages of the platform's store, as its readers observe them.

Endpoints renew their entries in the store. During an outage, and shortly after
it, an endpoint can be missing from the list although it is alive.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from mimosamux_daemon.logs import get_log

log = get_log('store_health')

RENEWAL_S = 2.0
"""Time after an outage within which live endpoints renew the entries that
expired during it."""
PEER_REPORT_TTL_S = 1.5
"""Time for which the outage report of another daemon counts, a little more
than the interval between its reports. Daemons report only outages that they
observe themselves: if they repeated the reports of others, an outage would
never end."""


@dataclass(kw_only=True, slots=True)
class StoreHealth:
    """Readers without an answer, and the times of the last outages."""

    clock: Callable[[], float]
    _unanswered_readers: set[str] = field(default_factory=set)
    _regained_at: float | None = None
    _restored_at: float | None = None
    _peer_outage_at: float | None = None
    """When another daemon last reported an outage."""

    def note_unanswered(self, reader: str) -> None:
        """Record that a reader gets no answers."""
        self._unanswered_readers.add(reader)

    def note_answered(
        self, reader: str, *, answered_others: bool = False
    ) -> None:
        """Record that a reader gets answers again.

        If the store has answered other daemons all the while, it answered
        endpoints too, and no entry can have expired.
        """
        self._unanswered_readers.discard(reader)
        if not answered_others:
            self._regained_at = self.clock()

    def note_restored(self, era: int) -> None:
        """Record that the store came back from an older copy.

        Entries that were written since that copy are missing until the
        endpoints write them again.
        """
        self._restored_at = self.clock()
        log.warning('store_era_began', era=era)

    def note_peer_outage(self) -> None:
        """Record that another daemon reported a current or recent outage."""
        self._peer_outage_at = self.clock()

    @property
    def is_answering(self) -> bool:
        """Whether all readers of this daemon get answers."""
        return not self._unanswered_readers

    def has_local_outage(self) -> bool:
        """Whether this daemon observes an outage or observed a recent one."""
        return (
            bool(self._unanswered_readers)
            or self._is_within(self._regained_at, RENEWAL_S)
            or self._is_within(self._restored_at, RENEWAL_S)
        )

    def may_have_lapsed(self) -> bool:
        """Whether an endpoint missing from the list may still be alive.

        During an outage, live endpoints cannot renew their entries.
        """
        return self.has_local_outage() or self._is_within(
            self._peer_outage_at, PEER_REPORT_TTL_S
        )

    def _is_within(self, at: float | None, duration_s: float) -> bool:
        return at is not None and self.clock() - at < duration_s
