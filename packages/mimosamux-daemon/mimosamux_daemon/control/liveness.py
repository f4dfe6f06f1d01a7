"""Which processes of daemons are gone for good."""

import anyio

from mimosamux_daemon.control.members import GONE_AFTER_S
from mimosamux_daemon.control.membership import Membership
from mimosamux_daemon.domain.names import DaemonId

LEARN_S = 2 * GONE_AFTER_S
"""Time in which a new daemon hears of every other one that lives."""


class MembershipLiveness:
    """Tells from the membership what a daemon left behind.

    A daemon that has just started knows nobody. Without waiting it would
    take over the requests of daemons that serve them.
    """

    def __init__(self, *, membership: Membership) -> None:
        self._membership = membership
        self._started_at = anyio.current_time()

    def is_dead(self, daemon: DaemonId, incarnation: int) -> bool:
        """Whether this process of the daemon counts as dead."""
        current = self._membership.incarnation_of(daemon)
        if current is not None:
            return current > incarnation
        if anyio.current_time() < self._started_at + LEARN_S:
            return False
        return self._membership.is_gone(daemon)
