"""Which addresses callers are told to use."""

from collections.abc import Callable
from dataclasses import dataclass

from mimosamux_daemon.control.members import MemberState
from mimosamux_daemon.gateway.peer_states import DaemonPlace, PeerStates

HEARD_S = 2.0
"""Silence after which callers are no longer sent to a daemon."""
FEWEST = 2
"""Addresses below which those of other data centres are added: a caller
whose only address fails has to wait for its answer to become old."""
MOST = 64


@dataclass(frozen=True, kw_only=True, slots=True)
class Discovery:
    """Answers callers from what the daemons tell each other."""

    states: PeerStates
    clock: Callable[[], float]

    def addresses(self, region: str, data_centre: str) -> list[str]:
        """Return the addresses for a caller in a place, near ones first."""
        ready = self._ready()
        near = [each for each in ready if each.data_centre == data_centre]
        if len(near) >= FEWEST:
            return _addresses_of(near)
        rest = [each for each in ready if each not in near]
        rest.sort(key=lambda each: each.region != region)
        return _addresses_of([*near, *rest])

    def _ready(self) -> list[DaemonPlace]:
        oldest = self.clock() - max(HEARD_S, self.states.fresh_s)
        places = [
            peer.place
            for peer in self.states.by_id.values()
            if peer.state is MemberState.READY and peer.heard_at > oldest
        ]
        if self.states.state is MemberState.READY:
            places.append(self.states.place)
        # With nobody ready, one that is about to stop still serves, and no
        # address at all would turn every caller away.
        return places or [self.states.place]


def _addresses_of(places: list[DaemonPlace]) -> list[str]:
    return [place.entry_address for place in places[:MOST]]
