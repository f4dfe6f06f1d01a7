"""Requests of all daemons that are in flight at one endpoint."""

import math
from dataclasses import dataclass, field

from mimosamux_daemon.domain.names import DaemonId

PEER_REPORT_TTL_S = 5.0
"""How long a peer's last report counts. A peer that died has no requests in
flight, as endpoints drop requests whose connection ends."""
AVERAGE_S = 1.0
"""Time constant of the average of reports, about their age."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadCounts:
    """Requests in flight, and prompt tokens still to be prefilled for them."""

    requests: int = 0
    unread_tokens: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerLoad:
    """What peers reported, and when that arrived on average."""

    requests: int
    unread_tokens: float
    requests_at: float | None
    """Mean arrival of the reports, weighted by requests; None for none."""
    tokens_at: float | None
    """The same, weighted by unread tokens."""


@dataclass(kw_only=True, slots=True)
class AverageLoad:
    """Moving average of what peers report, over about `AVERAGE_S`."""

    requests: float = 0.0
    unread_tokens: float = 0.0
    _updated_at: float | None = None

    def update(self, load: PeerLoad, now: float) -> None:
        """Move the average towards the load since the last update."""
        weight = 1.0
        if self._updated_at is not None:
            weight -= math.exp((self._updated_at - now) / AVERAGE_S)
        self.requests += weight * (load.requests - self.requests)
        self.unread_tokens += weight * (
            load.unread_tokens - self.unread_tokens
        )
        self._updated_at = now


@dataclass(frozen=True, kw_only=True, slots=True)
class _PeerReport:
    requests: int
    unread_tokens: float
    at: float
    """When the report arrived, on the steady clock."""


NO_REPORT = _PeerReport(requests=0, unread_tokens=0.0, at=0.0)
"""Report of a peer that has nothing in flight; its time has no weight."""


@dataclass(kw_only=True, slots=True)
class EndpointLoad:
    """Requests in flight of this daemon and, as reported, of its peers."""

    requests: int = 0
    """This daemon's requests in flight."""
    unread_tokens: float = 0.0
    """Prompt tokens still to be prefilled for them."""
    average: AverageLoad = field(default_factory=AverageLoad)
    """Average of what peers report."""
    _report_by_peer: dict[DaemonId, _PeerReport] = field(default_factory=dict)
    _peer_requests: int = 0
    _peer_tokens: float = 0.0
    """Sums of the requests and unread tokens that peers reported. Computing
    them for each choice of an endpoint took longer than the rest of the choice
    with dozens of peers."""
    _peer_times: '_WeightedTimes' = field(
        default_factory=lambda: _WeightedTimes()
    )
    _peer_load: PeerLoad | None = None
    """What `peers` returned last, None if a report has changed it since."""
    _peer_sum_expires_at: float = math.inf
    """When the oldest report in the sum expires, or an earlier time."""

    def begin(self, unread_tokens: float) -> None:
        """Count a request that is about to be sent."""
        self.requests += 1
        self.unread_tokens += unread_tokens

    def note_read(self, unread_tokens: float) -> None:
        """Count a prompt as prefilled, when its answer begins."""
        self.unread_tokens = max(0.0, self.unread_tokens - unread_tokens)

    def end(self, unread_tokens: float) -> None:
        """Remove a request, and the tokens that were not prefilled for it."""
        self.requests -= 1
        self.note_read(unread_tokens)

    def note_peer(
        self,
        peer: DaemonId,
        *,
        requests: int,
        unread_tokens: float,
        now: float,
    ) -> None:
        """Replace what a peer has in flight by its latest report."""
        if not requests and peer not in self._report_by_peer:
            return
        old = self._report_by_peer.pop(peer, NO_REPORT)
        if requests:
            report = _PeerReport(
                requests=requests, unread_tokens=unread_tokens, at=now
            )
            self._report_by_peer[peer] = report
            self._peer_sum_expires_at = min(
                self._peer_sum_expires_at, now + PEER_REPORT_TTL_S
            )
        else:
            report = NO_REPORT
        self._peer_requests += report.requests - old.requests
        self._peer_tokens += report.unread_tokens - old.unread_tokens
        self._peer_times.add(report)
        self._peer_times.remove(old)
        self._peer_load = None

    def total(self, now: float) -> LoadCounts:
        """Return what all daemons have in flight, by their latest reports."""
        if now >= self._peer_sum_expires_at:
            self._expire_reports(now)
        return LoadCounts(
            requests=self.requests + self._peer_requests,
            unread_tokens=self.unread_tokens + self._peer_tokens,
        )

    def peers(self, now: float) -> PeerLoad:
        """Return what the peers have in flight, by their latest reports."""
        if now >= self._peer_sum_expires_at:
            self._expire_reports(now)
        if self._peer_load is None:
            self._peer_load = self._sum_up_peers()
        return self._peer_load

    def _sum_up_peers(self) -> PeerLoad:
        requests = self._peer_requests
        unread_tokens = self._peer_tokens
        times = self._peer_times
        return PeerLoad(
            requests=requests,
            unread_tokens=unread_tokens,
            requests_at=times.by_requests / requests if requests else None,
            tokens_at=times.by_tokens / unread_tokens
            if unread_tokens >= 1
            else None,
        )

    def _expire_reports(self, now: float) -> None:
        """Drop reports that are older than `PEER_REPORT_TTL_S`."""
        self._report_by_peer = {
            peer: report
            for peer, report in self._report_by_peer.items()
            if now - report.at < PEER_REPORT_TTL_S
        }
        reports = self._report_by_peer.values()
        self._peer_requests = sum(report.requests for report in reports)
        self._peer_tokens = sum(report.unread_tokens for report in reports)
        self._peer_load = None
        self._peer_times = _WeightedTimes()
        for report in reports:
            self._peer_times.add(report)
        self._peer_sum_expires_at = PEER_REPORT_TTL_S + min(
            (report.at for report in reports), default=math.inf
        )

    def own(self) -> LoadCounts:
        """Return what this daemon has in flight."""
        return LoadCounts(
            requests=self.requests, unread_tokens=self.unread_tokens
        )


@dataclass(kw_only=True, slots=True)
class _WeightedTimes:
    """Sums of the arrival times of reports, weighted by what they report."""

    by_requests: float = 0.0
    by_tokens: float = 0.0

    def add(self, report: _PeerReport) -> None:
        self.by_requests += report.requests * report.at
        self.by_tokens += report.unread_tokens * report.at

    def remove(self, report: _PeerReport) -> None:
        self.by_requests -= report.requests * report.at
        self.by_tokens -= report.unread_tokens * report.at
