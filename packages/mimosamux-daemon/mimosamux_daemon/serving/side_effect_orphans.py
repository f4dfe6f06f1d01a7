"""Detection of open calls whose holder will not settle them."""

from typing import Protocol

import anyio

from mimosamux_daemon.domain.names import DaemonId
from mimosamux_daemon.serving.side_effect_rows import CallRow

MAX_TRACKED_ROWS = 10_000
"""Most open rows whose first sighting is remembered."""


class Liveness(Protocol):
    """Reports which incarnations of daemons are dead."""

    def is_dead(self, daemon: DaemonId, incarnation: int) -> bool:
        """Whether this incarnation of the daemon is considered dead."""


class OrphanDetector:
    """Detects open rows whose holder is dead or that are overdue.

    A live holder can leave a row open too: its write of the result may
    have been dropped during a long store outage.
    """

    def __init__(
        self,
        *,
        daemon: DaemonId,
        incarnation: int,
        liveness: Liveness,
        grace_s: float,
    ) -> None:
        self._daemon = daemon
        self._incarnation = incarnation
        self._liveness = liveness
        self._grace_s = grace_s
        self._first_seen_by_token: dict[str, float] = {}

    def is_orphan(self, row: CallRow) -> bool:
        """Whether the holder of an open call will not settle it."""
        if row.daemon == self._daemon and row.incarnation != self._incarnation:
            return True
        if self._liveness.is_dead(row.daemon, row.incarnation):
            return True
        return self._is_overdue(row)

    def _is_overdue(self, row: CallRow) -> bool:
        now = anyio.current_time()
        first_seen = self._first_seen_by_token.get(row.token)
        if first_seen is None:
            if len(self._first_seen_by_token) >= MAX_TRACKED_ROWS:
                del self._first_seen_by_token[
                    next(iter(self._first_seen_by_token))
                ]
            self._first_seen_by_token[row.token] = first_seen = now
        return now > first_seen + row.time_left_s + self._grace_s
