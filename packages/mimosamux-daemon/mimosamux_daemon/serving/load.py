"""Estimate of an endpoint's current load from delayed load reports.

The estimate starts from the newest report, which describes the load some
time ago. It adds the work that this daemon has sent and seen end since
then, the work that peers report in their digests, and an extrapolation of
the peers' recent send rate for the time since their last digest. Without
the extrapolation, all daemons that see the same idle endpoint would send
to it at the same time and overload it.
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
"""Time constant of the exponential average of the peers' send rate."""
MAX_UNREPORTED_S = 2.0
"""Longest time over which the peers' send rate is extrapolated."""
MAX_SENT_WORK = 512
"""Sends and completions kept per endpoint between two reports."""


@dataclass(frozen=True, kw_only=True, slots=True)
class SentWork:
    """Work that a daemon sent to an endpoint, or saw end there."""

    at: float
    tokens: float
    """Prompt tokens to prefill."""
    requests: int = 1
    ended: int = 0
    """Requests that ended there; `requests` may then be 0."""


@dataclass(slots=True)
class LoadEstimate:
    """Estimated load of an endpoint; created for each candidate."""

    backlog_s: float
    """Time to prefill the queued prompts."""
    occupied: float
    """Requests that run or are queued there."""
    unreported_requests: float
    """Part of `occupied` that peers have likely sent since their digests."""


@dataclass(kw_only=True, slots=True)
class Load:
    """Queue of an endpoint; times are those of `anyio.current_time`."""

    report: LoadReport | None = None
    reported_at: float = -math.inf
    """Time at which the endpoint measured the report."""
    prefill_tokens_per_s: float = DEFAULT_PREFILL_TOKENS_PER_S
    decode_interval_s: float = DEFAULT_DECODE_INTERVAL_S
    slots: int = DEFAULT_SLOTS
    _sent_since_report: deque[SentWork] = field(
        default_factory=lambda: deque(maxlen=MAX_SENT_WORK)
    )
    _backlog: float = 0.0
    """Prompt tokens to prefill at `_backlog_at`."""
    _backlog_at: float = -math.inf
    _occupied: int = 0
    _peers_at: float = -math.inf
    _peer_tokens: float = 0.0
    """Tokens that peers sent, decayed to `_peers_at`."""
    _peer_requests: float = 0.0

    def apply_report(self, report: LoadReport, *, now: float) -> bool:
        """Apply a report; return False if it is older than the last one."""
        measured_at = now - report.age_s
        if measured_at <= self.reported_at:
            return False
        self.report = report
        self.reported_at = measured_at
        self.prefill_tokens_per_s = max(report.prefill_tokens_per_s, 1.0)
        self.decode_interval_s = report.decode_interval_s
        self.slots = max(report.slots, 1)
        self._replay()
        return True

    def note_own(self, sent: SentWork) -> None:
        """Count work that this daemon sent or saw end."""
        if sent.at <= self.reported_at:
            return
        self._sent_since_report.append(sent)
        self._apply(sent)

    def note_peer(self, sent: SentWork) -> None:
        """Count work that a peer reports in a digest."""
        decay = self._decay(sent.at)
        self._peer_tokens = self._peer_tokens * decay + sent.tokens
        self._peer_requests = self._peer_requests * decay + sent.requests
        self._peers_at = max(self._peers_at, sent.at)
        if sent.at <= self.reported_at:
            return
        self._sent_since_report.append(sent)
        if sent.at < self._backlog_at:
            self._replay()
        else:
            self._apply(sent)

    def estimate(self, now: float) -> LoadEstimate:
        """Return the estimated load at the time `now`."""
        drained = self.prefill_tokens_per_s * (now - self._backlog_at)
        backlog = max(0.0, self._backlog - drained) if self._backlog else 0.0
        if not self._peer_requests:
            return LoadEstimate(
                backlog / self.prefill_tokens_per_s, self._occupied, 0.0
            )
        unreported = self._unreported_s(now) / PEER_RATE_WINDOW_S
        backlog += self._peer_tokens * unreported
        requests = self._peer_requests * unreported
        return LoadEstimate(
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
        """Return the wait for a slot if each request holds one `service_s`.

        `ends` are the estimated end times of this daemon's requests, and
        `occupied` is the number of requests that run or are queued.
        Requests that started together also end together; the mean
        departure rate alone would predict a free slot long before the
        first of them ends.
        """
        ahead = occupied - self.slots + 1
        mean_s = ahead / self.slots * service_s
        if not ends:
            return mean_s
        index = math.ceil(ahead * len(ends) / occupied) - 1
        if ahead < 1:
            return mean_s
        return max(mean_s, sorted(ends)[index] - now)

    def _unreported_s(self, now: float) -> float:
        """Return the time to extrapolate sends over, weighted by decay."""
        since = now - max(self._peers_at, self.reported_at)
        return min(max(since, 0.0), MAX_UNREPORTED_S) * self._decay(now)

    def _decay(self, now: float) -> float:
        """Return the decay of the peers' sends since `_peers_at`."""
        if self._peers_at == -math.inf:
            return 1.0
        elapsed_s = max(now - self._peers_at, 0.0)
        return math.exp(-elapsed_s / PEER_RATE_WINDOW_S)

    def _replay(self) -> None:
        """Recompute the backlog from the report and the work after it."""
        newer = [
            sent
            for sent in self._sent_since_report
            if sent.at > self.reported_at
        ]
        newer.sort(key=_time_of)
        self._sent_since_report.clear()
        report = self.report
        self._backlog = float(report.queued_prefill_tokens if report else 0)
        self._occupied = report.running + report.waiting if report else 0
        self._backlog_at = self.reported_at
        for sent in newer:
            self._sent_since_report.append(sent)
            self._apply(sent)

    def _apply(self, sent: SentWork) -> None:
        if self._backlog:
            elapsed_s = sent.at - self._backlog_at
            left = self._backlog - elapsed_s * self.prefill_tokens_per_s
            self._backlog = max(0.0, left)
        self._backlog_at = sent.at
        self._backlog += sent.tokens
        self._occupied = max(self._occupied + sent.requests - sent.ended, 0)


def _time_of(sent: SentWork) -> float:
    return sent.at
