"""Load of one endpoint now, estimated from reports that come late.

A report tells how things stood some time ago. What this daemon sent and
saw finish since then is known exactly, what its peers sent is known from
their digests, and what they send between two digests is taken to go on
at the rate seen so far. Without the last part, daemons that all see the
same idle endpoint would fill it together.
"""

import math
from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field

from mimosamux_daemon.domain.engine import LoadReport

DEFAULT_PREFILL_TOKENS_PER_S = 8000.0
DEFAULT_DECODE_INTERVAL_S = 0.03
DEFAULT_SLOTS = 16
PEER_RATE_WINDOW_S = 3.0
"""Time over which the rate of the peers' sends is averaged."""
UNSEEN_LIMIT_S = 2.0
"""Longest time for which unseen sends of peers are assumed."""
MAX_NOTES = 512
"""Sends and ends kept for each endpoint between two reports."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Sent:
    """Work sent to an endpoint: how much, how often and when."""

    at: float
    tokens: float
    requests: int = 1
    ended: int = 0
    """Requests seen to end there; `requests` may then be 0."""


@dataclass(slots=True)
class LoadNow:
    """Load of an endpoint now; made for each candidate of a decision."""

    backlog_s: float
    """Time that the queued prompts still take."""
    occupied: float
    """Requests that run or wait there."""
    unseen_requests: float
    """Those of them that peers have likely sent unseen."""


@dataclass(kw_only=True, slots=True)
class Load:
    """What is known of an endpoint's queue; times are anyio's."""

    report: LoadReport | None = None
    reported_at: float = -math.inf
    """Time as of which the report is true."""
    prefill_tokens_per_s: float = DEFAULT_PREFILL_TOKENS_PER_S
    decode_interval_s: float = DEFAULT_DECODE_INTERVAL_S
    slots: int = DEFAULT_SLOTS
    _notes: deque[Sent] = field(
        default_factory=lambda: deque(maxlen=MAX_NOTES)
    )
    _backlog: float = 0.0
    _backlog_at: float = -math.inf
    _occupied: int = 0
    _peers_at: float = -math.inf
    _peer_tokens: float = 0.0
    _peer_requests: float = 0.0

    def take_report(self, report: LoadReport, *, now: float) -> bool:
        """Take a report unless one of a later time is known."""
        as_of = now - report.age_s
        if as_of <= self.reported_at:
            return False
        self.report = report
        self.reported_at = as_of
        self.prefill_tokens_per_s = max(report.prefill_tokens_per_s, 1.0)
        self.decode_interval_s = report.decode_interval_s
        self.slots = max(report.slots, 1)
        self._replay()
        return True

    def note(self, sent: Sent) -> None:
        """Count work that this daemon sent or saw end."""
        if sent.at <= self.reported_at:
            return
        self._notes.append(sent)
        self._add(sent)

    def note_peer(self, sent: Sent) -> None:
        """Count what a peer's digest tells of its sends."""
        decay = self._decay(sent.at)
        self._peer_tokens = self._peer_tokens * decay + sent.tokens
        self._peer_requests = self._peer_requests * decay + sent.requests
        self._peers_at = max(self._peers_at, sent.at)
        if sent.at <= self.reported_at:
            return
        self._notes.append(sent)
        if sent.at < self._backlog_at:
            self._replay()
        else:
            self._add(sent)

    def look(self, now: float) -> LoadNow:
        """Return the load as it is likely to be now."""
        drained = self.prefill_tokens_per_s * (now - self._backlog_at)
        backlog = max(0.0, self._backlog - drained) if self._backlog else 0.0
        if not self._peer_requests:
            return LoadNow(
                backlog / self.prefill_tokens_per_s, self._occupied, 0.0
            )
        unseen = self._unseen_s(now) / PEER_RATE_WINDOW_S
        backlog += self._peer_tokens * unseen
        requests = self._peer_requests * unseen
        return LoadNow(
            backlog / self.prefill_tokens_per_s,
            self._occupied + requests,
            requests,
        )

    def slot_wait_s(
        self,
        now: float,
        service_s: float,
        ends: Collection[float],
        *,
        occupied: float,
    ) -> float:
        """Return the wait for a slot if each is held for `service_s`.

        `ends` are the times at which known requests likely end. Requests
        that came together end together, and the mean alone would promise
        a slot long before the first of them is done.
        """
        ahead = occupied - self.slots + 1
        mean_s = ahead / self.slots * service_s
        if not ends:
            return mean_s
        index = math.ceil(ahead * len(ends) / occupied) - 1
        if ahead < 1:
            return mean_s
        return max(mean_s, sorted(ends)[index] - now)

    def _unseen_s(self, now: float) -> float:
        """Return the time of sends unseen, at the rate of the last."""
        since = now - max(self._peers_at, self.reported_at)
        return min(max(since, 0.0), UNSEEN_LIMIT_S) * self._decay(now)

    def _decay(self, now: float) -> float:
        if self._peers_at == -math.inf:
            return 1.0
        passed = max(now - self._peers_at, 0.0)
        return math.exp(-passed / PEER_RATE_WINDOW_S)

    def _replay(self) -> None:
        kept = [note for note in self._notes if note.at > self.reported_at]
        kept.sort(key=_time_of)
        self._notes.clear()
        report = self.report
        self._backlog = float(report.queued_prefill_tokens if report else 0)
        self._occupied = report.running + report.waiting if report else 0
        self._backlog_at = self.reported_at
        for note in kept:
            self._notes.append(note)
            self._add(note)

    def _add(self, sent: Sent) -> None:
        if self._backlog:
            passed = sent.at - self._backlog_at
            left = self._backlog - passed * self.prefill_tokens_per_s
            self._backlog = max(0.0, left)
        self._backlog_at = sent.at
        self._backlog += sent.tokens
        self._occupied = max(self._occupied + sent.requests - sent.ended, 0)


def _time_of(sent: Sent) -> float:
    return sent.at
