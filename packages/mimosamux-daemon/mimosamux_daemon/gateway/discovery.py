"""Answers callers' discovery requests with the addresses of ready daemons.

The addresses come from the digests that daemons exchange.
"""

from collections.abc import Callable
from dataclasses import dataclass

from mimosamux_daemon.control.members import MemberState
from mimosamux_daemon.gateway.exchange.peer_states import (
    DaemonPlace,
    PeerStates,
)

MAX_DIGEST_AGE_S = 2.0
"""Age of a daemon's newest digest above which it is not offered."""
MIN_ADDRESSES = 2
"""With fewer addresses in the caller's data centre, those of other data
centres are added: a caller whose only address fails must wait until its cached
discovery answer expires."""
MAX_ADDRESSES = 64


@dataclass(frozen=True, kw_only=True, slots=True)
class Discovery:
    """Selects the addresses that a caller gets."""

    states: PeerStates
    is_cut_off: Callable[[], bool]
    """Whether this daemon does not reach some service itself."""
    clock: Callable[[], float]

    def addresses(self, region: str, data_centre: str) -> list[str]:
        """Return the addresses for a caller, nearest first."""
        ready = self._ready()
        near = [each for each in ready if each.data_centre == data_centre]
        if len(near) >= MIN_ADDRESSES:
            return _addresses_of(near)
        others = [each for each in ready if each not in near]
        others.sort(key=lambda each: each.region != region)
        return _addresses_of([*near, *others])

    def _ready(self) -> list[DaemonPlace]:
        oldest = self.clock() - max(MAX_DIGEST_AGE_S, self.states.fresh_s)
        peers = [
            peer
            for peer in self.states.by_id.values()
            if peer.state is MemberState.READY and peer.heard_at > oldest
        ]
        places = [peer.place for peer in peers if not peer.unreached_services]
        cut_off = [peer.place for peer in peers if peer.unreached_services]
        if self.states.state is MemberState.READY:
            (cut_off if self.is_cut_off() else places).append(
                self.states.place
            )
        if len(places) < MIN_ADDRESSES:
            places += cut_off
        # If no daemon is ready, this one is offered although it may be about
        # to stop: it still serves, and without an address no caller is served.
        return places or [self.states.place]


def _addresses_of(places: list[DaemonPlace]) -> list[str]:
    return [place.entry_address for place in places[:MAX_ADDRESSES]]
