"""Shares of an endpoint's slots, for services whose endpoints are brittle."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from typing import Protocol

from mimosamux_daemon.control.members import rank
from mimosamux_daemon.domain.names import DaemonId

SETTLING_S = 0.1
"""Time in which an endpoint turns a request down, if it does."""
RETRY_S = 0.1
"""Retry delay while all slots of the share are taken."""


class OpenSend(Protocol):
    """A request that is in flight."""

    sent_at: float
    """Time of sending, on the steady clock."""


@dataclass(kw_only=True, slots=True)
class SlotShare:
    """This daemon's share of the slots of one endpoint.

    Times are readings of the steady clock.
    """

    open_sends: Collection[OpenSend]
    """Requests of this daemon that are in flight there."""
    slots: int = 0
    """Requests that this daemon may have in flight there."""
    paused_until: float = 0.0
    """Until when nothing is sent, after the endpoint turned a request down."""

    def has_room(self, now: float) -> bool:
        """Whether another request may be sent now.

        Of several sent at once, all could be turned down before the first
        refusal arrives.
        """
        if now < self.paused_until:
            return False
        if any(each.sent_at > now - SETTLING_S for each in self.open_sends):
            return False
        return len(self.open_sends) < self.slots

    def available_in_s(self, now: float) -> float:
        """Return the time in seconds after which to try again."""
        return max(self.paused_until - now, RETRY_S)


def share_slots(
    slots: int, daemons: Sequence[DaemonId], own: DaemonId, key: str
) -> int:
    """Return how many of an endpoint's slots are the daemon's own.

    The shares of all daemons sum to the slots. What is left over after equal
    shares goes to the daemons that rank first by a hash of the key, so that no
    agreement is needed.
    """
    each, rest = divmod(slots, max(len(daemons), 1))
    return each + (own in rank(daemons, key)[:rest])
