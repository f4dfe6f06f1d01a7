"""Limits probe requests for contents whose quarantine is over.

A probe request shows whether a content still crashes endpoints. One daemon
per content sends it: if every daemon did, as many endpoints could crash.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from mimosamux_daemon.control.members import rank
from mimosamux_daemon.domain.names import ContentKey
from mimosamux_daemon.gateway.peer_states import PeerStates

PROBE_INTERVAL_S = 10.0
"""Shortest time between two probe requests for a content, longer than the
detection of a crash takes."""


@dataclass(kw_only=True, slots=True)
class CrashProbes:
    """Decides whether this daemon sends a probe request.

    Rendezvous hashing over the daemons that are ready assigns each content to
    one of them.
    """

    states: PeerStates
    clock: Callable[[], float]
    _reserved_at: dict[ContentKey, float] = field(default_factory=dict)
    """Time of the last probe request for each content."""
    _started_at: float = field(init=False)

    def __post_init__(self) -> None:
        self._started_at = self.clock()

    def reserve(self, content: ContentKey) -> bool:
        """Reserve a probe request; False if this daemon must not send it."""
        now = self.clock()
        if now - self._started_at < PROBE_INTERVAL_S:
            # Before it knows its peers, the daemon would rank first for
            # every content.
            return False
        for probed, reserved_at in tuple(self._reserved_at.items()):
            if now - reserved_at >= PROBE_INTERVAL_S:
                del self._reserved_at[probed]
        if content in self._reserved_at or not self._is_responsible(content):
            return False
        self._reserved_at[content] = now
        return True

    def _is_responsible(self, content: ContentKey) -> bool:
        """Whether this daemon ranks first for a content among those ready."""
        own_id = self.states.place.id
        peers = [peer.place.id for peer in self.states.ready()]
        return rank([own_id, *peers], content)[0] == own_id
