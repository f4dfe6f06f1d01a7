"""Requests of all daemons that are in flight at one endpoint."""

import math
from dataclasses import dataclass, field

from mimosamux_daemon.domain.names import DaemonId

PEER_REPORT_TTL_S = 5.0
"""How long a peer's last report counts. A peer that died has no requests in
flight, as endpoints drop requests whose connection ends."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadCounts:
    """Requests in flight, and prompt tokens still to be prefilled for them."""

    requests: int = 0
    unread_tokens: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class _PeerReport:
    requests: int
    unread_tokens: float
    at: float
    """When the report arrived, on the steady clock."""


NO_REPORT = _PeerReport(requests=0, unread_tokens=0.0, at=-math.inf)


@dataclass(kw_only=True, slots=True)
class EndpointLoad:
    """Requests in flight of this daemon and, as reported, of its peers."""

    requests: int = 0
    unread_tokens: float = 0.0
    _report_by_peer: dict[DaemonId, _PeerReport] = field(default_factory=dict)
    _peer_sum: LoadCounts = LoadCounts()
    """Sum over the peers. Computing it for each choice of an endpoint took
    longer than the rest of the choice with dozens of peers."""
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
        self._peer_sum = LoadCounts(
            requests=self._peer_sum.requests + report.requests - old.requests,
            unread_tokens=self._peer_sum.unread_tokens
            + report.unread_tokens
            - old.unread_tokens,
        )

    def total(self, now: float) -> LoadCounts:
        """Return what all daemons have in flight, by their latest reports."""
        if now >= self._peer_sum_expires_at:
            self._expire_reports(now)
        return LoadCounts(
            requests=self.requests + self._peer_sum.requests,
            unread_tokens=self.unread_tokens + self._peer_sum.unread_tokens,
        )

    def _expire_reports(self, now: float) -> None:
        """Drop reports that are older than `PEER_REPORT_TTL_S`."""
        self._report_by_peer = {
            peer: report
            for peer, report in self._report_by_peer.items()
            if now - report.at < PEER_REPORT_TTL_S
        }
        reports = self._report_by_peer.values()
        self._peer_sum = LoadCounts(
            requests=sum(report.requests for report in reports),
            unread_tokens=sum(report.unread_tokens for report in reports),
        )
        self._peer_sum_expires_at = PEER_REPORT_TTL_S + min(
            (report.at for report in reports), default=math.inf
        )

    def own(self) -> LoadCounts:
        """Return what this daemon has in flight."""
        return LoadCounts(
            requests=self.requests, unread_tokens=self.unread_tokens
        )
