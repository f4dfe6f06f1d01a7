"""Limits probe requests for contents whose quarantine is over.

A probe request shows whether a content still crashes endpoints. One daemon
per content sends it: if every daemon did, as many endpoints could crash.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from mimosamux_daemon.control.members import rank
from mimosamux_daemon.domain.names import ContentKey
from mimosamux_daemon.gateway.exchange.peer_states import PeerStates

PROBE_INTERVAL_S = 10.0
"""Shortest time between two probe requests for a content, longer than the
detection of a crash takes."""


@dataclass(kw_only=True, slots=True)
class CrashProbes:
    """Probe requests of this daemon; one daemon per content sends them."""

    states: PeerStates
    clock: Callable[[], float]
    _began_at: dict[ContentKey, float] = field(default_factory=dict)
    _started_at: float = field(init=False)

    def __post_init__(self) -> None:
        self._started_at = self.clock()

    def begin(self, contents: Sequence[ContentKey]) -> bool:
        """Begin a probe of contents that a request shares with others.

        The first one names the daemon that may send it. False if this daemon
        must not send one now.
        """
        now = self.clock()
        if now - self._started_at < PROBE_INTERVAL_S:
            # Until it knows its peers, it ranks first for every content.
            return False
        for probed, began_at in tuple(self._began_at.items()):
            if now - began_at >= PROBE_INTERVAL_S:
                del self._began_at[probed]
        is_probed = any(content in self._began_at for content in contents)
        if is_probed or not self._is_responsible(contents[0]):
            return False
        self._began_at.update(dict.fromkeys(contents, now))
        return True

    def _is_responsible(self, content: ContentKey) -> bool:
        """Whether this daemon ranks first for a content by rendezvous hash."""
        own = self.states.place.id
        others = [peer.place.id for peer in self.states.ready()]
        return rank([own, *others], content)[0] == own
