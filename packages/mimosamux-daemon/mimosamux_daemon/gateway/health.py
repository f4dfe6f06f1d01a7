"""How well an endpoint answers, from what requests saw there.

An endpoint can say that it is well and fail part of its requests. One
daemon sees few of them, so daemons tell each other what they saw.
"""

from collections import deque
from dataclasses import dataclass, field

from mimosamux_daemon.domain.names import DaemonId

WINDOW_S = 3.0
"""Time over which answers are counted. An endpoint that gets no requests
for its failures is tried again after it."""
FEWEST = 4
"""Answers below which nothing is concluded."""
EXCESS = 0.25
"""Share of failures above that of the best endpoint of the service from
which an endpoint is doubted. Some requests fail wherever they go; those
fail at the best one as well."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Answers:
    """Answers of an endpoint in the last window."""

    ended: int = 0
    failed: int = 0


@dataclass(kw_only=True, slots=True)
class EndpointHealth:
    """Answers that this daemon and its peers saw."""

    _own: deque[tuple[float, bool]] = field(default_factory=deque)
    _by_peer: dict[DaemonId, tuple[float, Answers]] = field(
        default_factory=dict
    )

    def note(self, now: float, *, failed: bool) -> None:
        """Count an answer, or what came in place of one."""
        self._own.append((now, failed))

    def note_peer(self, peer: DaemonId, answers: Answers, now: float) -> None:
        """Take what a peer saw in its last window."""
        if answers.ended:
            self._by_peer[peer] = (now, answers)
        else:
            self._by_peer.pop(peer, None)

    def own(self, now: float) -> Answers:
        """Return what this daemon saw."""
        while self._own and self._own[0][0] < now - WINDOW_S:
            self._own.popleft()
        failed = sum(is_failed for _, is_failed in self._own)
        return Answers(ended=len(self._own), failed=failed)

    def failed_share(self, now: float) -> float | None:
        """Return the share of failures, None for too few answers."""
        seen = [self.own(now)]
        seen += [
            answers
            for at, answers in self._by_peer.values()
            if at > now - WINDOW_S
        ]
        ended = sum(answers.ended for answers in seen)
        if ended < FEWEST:
            return None
        return sum(answers.failed for answers in seen) / ended
