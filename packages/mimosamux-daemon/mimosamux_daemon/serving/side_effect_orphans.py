"""Open calls whose holder will not end them."""

from typing import Protocol

import anyio

from mimosamux_daemon.domain.names import DaemonId
from mimosamux_daemon.serving.side_effect_rows import CallRow

MOST_ROWS = 10_000
"""Open rows of which the first look is remembered."""


class Liveness(Protocol):
    """Tells which processes of daemons are gone for good."""

    def is_dead(self, daemon: DaemonId, incarnation: int) -> bool:
        """Whether this process of the daemon counts as dead."""


class Orphans:
    """Finds open rows of holders that are dead, or have had their time.

    A holder that is alive can leave a row open too: its write of the end
    may have been dropped after a long outage.
    """

    def __init__(
        self,
        *,
        daemon: DaemonId,
        incarnation: int,
        liveness: Liveness,
        extra_s: float,
    ) -> None:
        self._daemon = daemon
        self._incarnation = incarnation
        self._liveness = liveness
        self._extra_s = extra_s
        self._since_by_token: dict[str, float] = {}

    def is_orphan(self, row: CallRow) -> bool:
        """Whether the holder of an open call will not end it."""
        if row.daemon == self._daemon and row.incarnation != self._incarnation:
            return True
        if self._liveness.is_dead(row.daemon, row.incarnation):
            return True
        return self._is_overdue(row)

    def _is_overdue(self, row: CallRow) -> bool:
        now = anyio.current_time()
        since = self._since_by_token.get(row.token)
        if since is None:
            if len(self._since_by_token) >= MOST_ROWS:
                del self._since_by_token[next(iter(self._since_by_token))]
            self._since_by_token[row.token] = since = now
        return now > since + row.time_left_s + self._extra_s
