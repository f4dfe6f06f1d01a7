"""Samples of the speed of one engine, from all daemons.

A sample is a ratio: the time that the engine took, over the time that an
engine of its service takes on average.
"""

import math
from dataclasses import dataclass, field

from mimosamux_daemon.domain.names import DaemonId

MIN_RATIO, MAX_RATIO = 0.25, 5.0
"""Bounds of a sample. A single stall must not outweigh dozens of samples."""
MEMORY_S = 120.0
"""Time constant with which the weight of earlier samples decays."""
MAX_REPORT_WEIGHT = 200.0
"""Largest weight that one report adds. The first one of a peer that has run
for days would outweigh all that is measured from now on."""
MAX_TOTAL_WEIGHT = 1e9
"""Largest plausible weight of a daemon's samples since its start."""
TOLERANCE = 1e-6
"""Relative rounding error of sums."""


@dataclass(frozen=True, kw_only=True, slots=True)
class SampleSums:
    """Weighted sums over samples."""

    weight: float = 0.0
    ratios: float = 0.0
    """Sum of the samples times their weights."""
    squares: float = 0.0
    """Sum of the squares of the samples times their weights."""

    @property
    def mean(self) -> float:
        """Return the mean sample; there has to be one."""
        return self.ratios / self.weight

    @property
    def deviations(self) -> float:
        """Return the weighted sum of squared deviations from the mean."""
        return max(self.squares - self.ratios**2 / self.weight, 0.0)

    def plus(self, other: 'SampleSums') -> 'SampleSums':
        """Return the sums over the samples of both."""
        return SampleSums(
            weight=self.weight + other.weight,
            ratios=self.ratios + other.ratios,
            squares=self.squares + other.squares,
        )

    def scaled(self, factor: float) -> 'SampleSums':
        """Return the sums with each weight multiplied by a factor."""
        return SampleSums(
            weight=self.weight * factor,
            ratios=self.ratios * factor,
            squares=self.squares * factor,
        )

    def is_possible(self) -> bool:
        """Whether sums from elsewhere can be those of bounded samples."""
        if not all(map(math.isfinite, (self.ratios, self.squares))):
            return False
        if not 0.0 < self.weight <= MAX_TOTAL_WEIGHT:
            return False
        mean, mean_square = self.mean, self.squares / self.weight
        low, high = 1 - TOLERANCE, 1 + TOLERANCE
        return (
            MIN_RATIO * low <= mean <= MAX_RATIO * high
            and mean**2 * low <= mean_square <= MAX_RATIO**2 * high
        )


NO_SAMPLES = SampleSums()


@dataclass(frozen=True, kw_only=True, slots=True)
class _PeerReport:
    incarnation: int
    """Incarnation of the peer that counted."""
    sums: SampleSums


@dataclass(kw_only=True, slots=True)
class EngineSamples:
    """Samples of one incarnation of an engine."""

    own: SampleSums = NO_SAMPLES
    """Samples of this daemon since its process started."""
    newest_at: float = -math.inf
    """When the newest sample was added, on the steady clock."""
    _recent: SampleSums = NO_SAMPLES
    """Samples of all daemons, decayed until `_recent_at`."""
    _recent_at: float = 0.0
    _report_by_peer: dict[DaemonId, _PeerReport] = field(default_factory=dict)
    """Last report of each peer, until the peer is forgotten."""

    @property
    def peers(self) -> int:
        """Return the number of peers that have reported samples."""
        return len(self._report_by_peer)

    def add(self, ratio: float, weight: float, now: float) -> None:
        """Add a sample of this daemon."""
        ratio = min(max(ratio, MIN_RATIO), MAX_RATIO)
        sample = SampleSums(
            weight=weight, ratios=weight * ratio, squares=weight * ratio**2
        )
        self.own = self.own.plus(sample)
        self._add_recent(sample, now)

    def has_report(self, peer: DaemonId) -> bool:
        """Whether a peer has reported samples."""
        return peer in self._report_by_peer

    def forget_peer(self, peer: DaemonId) -> int | None:
        """Drop the report of a peer; return which incarnation sent it."""
        report = self._report_by_peer.pop(peer, None)
        return None if report is None else report.incarnation

    def note_peer(
        self,
        peer: DaemonId,
        incarnation: int,
        sums: SampleSums,
        now: float,
        *,
        was_forgotten: bool = False,
    ) -> bool:
        """Add what a peer counted since its last report; False: invalid.

        A peer that restarted counts from zero. It also does so if its record
        of the endpoint was removed for a while; then its report is only
        stored, as its samples may have been counted before. The same holds
        for the first report of an incarnation that `was_forgotten`.
        """
        last = self._report_by_peer.get(peer)
        before = NO_SAMPLES
        if last is not None and last.incarnation == incarnation:
            before = last.sums
        elif last is None and was_forgotten:
            before = sums
        if not sums.is_possible():
            return False
        self._report_by_peer[peer] = _PeerReport(
            incarnation=incarnation, sums=sums
        )
        added = sums.plus(before.scaled(-1.0))
        if added.weight <= 0.0:
            return True
        if not added.is_possible():
            return False
        share = min(1.0, MAX_REPORT_WEIGHT / added.weight)
        self._add_recent(added.scaled(share), now)
        return True

    def recent(self, now: float) -> SampleSums:
        """Return the sums over the samples of all daemons, with decay."""
        decay = math.exp(-max(now - self._recent_at, 0.0) / MEMORY_S)
        return self._recent.scaled(decay)

    def _add_recent(self, sums: SampleSums, now: float) -> None:
        self._recent = self.recent(now).plus(sums)
        self._recent_at = self.newest_at = now
