"""Failure rate of an endpoint, from the outcomes of requests sent to it.

An endpoint can report that it is healthy and still fail some of its requests.
A single daemon sees few of them, so daemons share their counts.
"""

from collections import deque
from dataclasses import dataclass, field

from mimosamux_daemon.domain.names import DaemonId

WINDOW_S = 3.0
"""Sliding window in which answers are counted. An endpoint that gets no
requests because of its failures is tried again after this time."""
MIN_ANSWERS = 4
"""Minimum number of answers for a failure rate."""
MAX_EXCESS_FAILURE_RATE = 0.25
"""An endpoint counts as unhealthy if its failure rate exceeds that of the
service's best endpoint by more than this. Requests that fail everywhere fail
at the best one as well."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerCounts:
    """Numbers of an endpoint's answers in the last window."""

    ended: int = 0
    failed: int = 0


@dataclass(kw_only=True, slots=True)
class EndpointHealth:
    """Answers of one endpoint to this daemon and to its peers."""

    _own: deque[tuple[float, bool]] = field(default_factory=deque)
    _by_peer: dict[DaemonId, tuple[float, AnswerCounts]] = field(
        default_factory=dict
    )

    def note(self, now: float, *, failed: bool) -> None:
        """Count an answer, or a failure to get one."""
        self._own.append((now, failed))

    def note_peer(
        self, peer: DaemonId, answers: AnswerCounts, now: float
    ) -> None:
        """Store the counts of a peer's last window."""
        if answers.ended:
            self._by_peer[peer] = (now, answers)
        else:
            self._by_peer.pop(peer, None)

    def own(self, now: float) -> AnswerCounts:
        """Return the counts of this daemon's own requests."""
        while self._own and self._own[0][0] < now - WINDOW_S:
            self._own.popleft()
        failed = sum(is_failed for _, is_failed in self._own)
        return AnswerCounts(ended=len(self._own), failed=failed)

    def ended(self, now: float) -> int:
        """Return the number of answers to all daemons."""
        return sum(answers.ended for answers in self._counts(now))

    def failure_rate(self, now: float) -> float | None:
        """Return the failure rate, None for too few answers."""
        counts = self._counts(now)
        ended = sum(answers.ended for answers in counts)
        if ended < MIN_ANSWERS:
            return None
        return sum(answers.failed for answers in counts) / ended

    def _counts(self, now: float) -> list[AnswerCounts]:
        """Return the counts of this daemon and of each peer."""
        counts = [self.own(now)]
        counts += [
            answers
            for at, answers in self._by_peer.values()
            if at > now - WINDOW_S
        ]
        return counts
