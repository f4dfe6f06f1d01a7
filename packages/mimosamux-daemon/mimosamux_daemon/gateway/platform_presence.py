"""Tells a platform that is away from one that is only slow.

The difference decides whether requests go out by what was known last, or wait
for the platform's answer.
"""

from collections.abc import Callable
from dataclasses import dataclass

from mimosamux_daemon.domain.store import Unavailable

MIN_FAILURES = 2
"""Failed calls in a row after which the platform counts as away. A single one
may be due to a connection that was reset."""


@dataclass(kw_only=True, slots=True)
class PlatformPresence:
    """Whether the platform is there, from the calls of one reader.

    A platform that is slow is there, and so is one whose answers lie unread at
    this daemon since its event loop is late.
    """

    away_after_s: float
    """Time without any answer after which it counts as away."""
    clock: Callable[[], float]
    _failures: int = 0
    """Calls in a row that failed otherwise than by a time-out."""
    _unanswered_since: float | None = None
    """When the first call was sent that had no answer in time, None if the
    platform was reached since."""

    @property
    def is_away(self) -> bool:
        """Whether the platform is away, as far as this daemon can tell."""
        if self._failures >= MIN_FAILURES:
            return True
        since = self._unanswered_since
        return since is not None and self.clock() - since >= self.away_after_s

    def note_failure(self, problem: Unavailable) -> None:
        """Count a call that failed; a time-out alone proves nothing."""
        if not problem.is_timeout:
            self._failures += 1

    def note_unanswered(self, sent_at: float) -> None:
        """Note that a call on a new connection had no answer in time.

        On one that was open before, the connection may be dead.
        """
        if self._unanswered_since is None:
            self._unanswered_since = sent_at

    def note_reached(self) -> None:
        """Note that the platform answers, to this daemon or to a peer."""
        self._failures = 0
        self._unanswered_since = None
