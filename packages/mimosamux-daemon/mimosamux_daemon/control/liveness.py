"""Decides from the membership which incarnations of daemons are dead."""

import anyio

from mimosamux_daemon.control.members import GONE_AFTER_S
from mimosamux_daemon.control.membership import Membership
from mimosamux_daemon.domain.names import DaemonId

DISCOVERY_S = 2 * GONE_AFTER_S
"""Time within which a new daemon learns of every live daemon."""


class MembershipLiveness:
    """Detects dead incarnations of daemons.

    A daemon that has just started knows no other daemon. If it did not wait
    for `DISCOVERY_S`, it would take over requests that live daemons serve.
    """

    def __init__(self, *, membership: Membership) -> None:
        self._membership = membership
        self._started_at = anyio.current_time()

    def is_dead(self, daemon: DaemonId, incarnation: int) -> bool:
        """Return whether this incarnation of the daemon counts as dead."""
        current = self._membership.incarnation_of(daemon)
        if current is not None:
            return current > incarnation
        if anyio.current_time() < self._started_at + DISCOVERY_S:
            return False
        return self._membership.is_gone(daemon)
