"""Failure rate of an endpoint, from the outcomes of requests sent to it.

An endpoint can report that it is healthy and still fail some of its requests.
A single daemon sees few of them, so daemons share their counts.
"""

import math
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
    """Answers, failed ones included."""
    failed: int = 0


NO_ANSWERS = AnswerCounts()


@dataclass(kw_only=True, slots=True)
class EndpointHealth:
    """Answers of one endpoint to this daemon and to its peers."""

    _own: deque[tuple[float, bool]] = field(default_factory=deque)
    _own_failed: int = 0
    """Number of failures among them."""
    _by_peer: dict[DaemonId, tuple[float, AnswerCounts]] = field(
        default_factory=dict
    )
    _peer_ended: int = 0
    _peer_failed: int = 0
    """Sums over the peers, which every choice of an endpoint needs."""
    _peer_sum_expires_at: float = math.inf
    """When the oldest counts in the sum expire, or an earlier time."""

    def note(self, now: float, *, failed: bool) -> None:
        """Count an answer, or a failure to get one."""
        self._own.append((now, failed))
        self._own_failed += failed

    def note_peer(
        self, peer: DaemonId, answers: AnswerCounts, now: float
    ) -> None:
        """Store the counts of a peer's last window."""
        previous = self._by_peer.get(peer)
        if answers.ended:
            new = answers
            self._by_peer[peer] = (now, answers)
            if now + WINDOW_S < self._peer_sum_expires_at:
                self._peer_sum_expires_at = now + WINDOW_S
        elif previous is None:
            return
        else:
            new = NO_ANSWERS
            del self._by_peer[peer]
        old = NO_ANSWERS if previous is None else previous[1]
        # The same object stands for equal counts in most digests.
        if new is not old:
            self._peer_ended += new.ended - old.ended
            self._peer_failed += new.failed - old.failed

    def own(self, now: float) -> AnswerCounts:
        """Return the counts of this daemon's own requests."""
        while self._own and self._own[0][0] < now - WINDOW_S:
            _, was_failed = self._own.popleft()
            self._own_failed -= was_failed
        if not self._own:
            return NO_ANSWERS
        return AnswerCounts(ended=len(self._own), failed=self._own_failed)

    def ended(self, now: float) -> int:
        """Return the number of answers to all daemons, also failed ones."""
        return self._total(now).ended

    def failure_rate(self, now: float) -> float | None:
        """Return the failure rate, None for too few answers."""
        total = self._total(now)
        if total.ended < MIN_ANSWERS:
            return None
        return total.failed / total.ended

    def _total(self, now: float) -> AnswerCounts:
        """Return the counts of this daemon and its peers."""
        if now >= self._peer_sum_expires_at:
            self._expire_peers(now)
        own = self.own(now)
        return AnswerCounts(
            ended=own.ended + self._peer_ended,
            failed=own.failed + self._peer_failed,
        )

    def _expire_peers(self, now: float) -> None:
        """Drop counts that are older than `WINDOW_S`."""
        self._by_peer = {
            peer: (at, answers)
            for peer, (at, answers) in self._by_peer.items()
            if at + WINDOW_S > now
        }
        counts = [answers for _, answers in self._by_peer.values()]
        self._peer_ended = sum(answers.ended for answers in counts)
        self._peer_failed = sum(answers.failed for answers in counts)
        self._peer_sum_expires_at = WINDOW_S + min(
            (at for at, _ in self._by_peer.values()), default=math.inf
        )
