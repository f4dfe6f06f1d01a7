"""Who tries a content that was held back, and when.

One run decides whether a content still crashes what runs it. Tried by every
daemon at once, it would end as many endpoints.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from mimosamux_daemon.control.members import rank
from mimosamux_daemon.domain.names import ContentKey
from mimosamux_daemon.gateway.peer_states import PeerStates

TRIAL_S = 10.0
"""Time from one trial of a content to the next that decides nothing, longer
than it takes to find out whether an endpoint has crashed."""


@dataclass(kw_only=True, slots=True)
class CrashTrials:
    """Trials of this daemon; for each content one daemon has them."""

    states: PeerStates
    clock: Callable[[], float]
    _began_at: dict[ContentKey, float] = field(default_factory=dict)
    _started_at: float = field(init=False)

    def __post_init__(self) -> None:
        self._started_at = self.clock()

    def begin(self, content: ContentKey) -> bool:
        """Begin a trial; False if it is not for this daemon to do now."""
        now = self.clock()
        if now - self._started_at < TRIAL_S:
            # Until it has heard its peers it is first for everything.
            return False
        for tried, began_at in tuple(self._began_at.items()):
            if now - began_at >= TRIAL_S:
                del self._began_at[tried]
        if content in self._began_at or not self._is_own(content):
            return False
        self._began_at[content] = now
        return True

    def _is_own(self, content: ContentKey) -> bool:
        """Whether this daemon is first for a content among those ready."""
        own = self.states.place.id
        others = [peer.place.id for peer in self.states.ready()]
        return rank([own, *others], content)[0] == own
