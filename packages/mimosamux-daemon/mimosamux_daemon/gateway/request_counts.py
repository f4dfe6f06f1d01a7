"""Counts the requests that each account began, by metering window.

Each daemon reports its own counts in its digests and keeps those that its
peers report.
"""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from mimosamux_wire import StateDigest, WindowUse

from mimosamux_daemon.domain.names import AccountId, DaemonId
from mimosamux_daemon.gateway.exchange.peer_states import PeerState

REPORTED_WINDOWS = 2
"""Past windows whose counts are reported in digests, besides the current
one."""
RETAINED_WINDOWS = 12

CountsByAccount = Counter[AccountId]
ReportedCounts = Mapping[AccountId, int]


@dataclass(frozen=True, kw_only=True, slots=True)
class _DaemonIncarnation:
    """One incarnation of a daemon. Each one counts from zero."""

    daemon: DaemonId
    incarnation: int


@dataclass(kw_only=True, slots=True)
class RequestCounts:
    """Request counts of this daemon and its peers, dead ones included."""

    window_s: float
    now: Callable[[], float]
    """Return the time of day that the daemons agree on."""
    _own: dict[int, CountsByAccount] = field(default_factory=dict)
    _by_incarnation: dict[_DaemonIncarnation, dict[int, ReportedCounts]] = (
        field(default_factory=dict)
    )

    @property
    def window(self) -> int:
        """Number of the current window."""
        return int(self.now() // self.window_s)

    def increment(self, account: AccountId) -> None:
        """Count a request that has just begun."""
        window = self.window
        counts = self._own.get(window)
        if counts is None:
            counts = self._own[window] = Counter()
            _drop_expired(self._own, window - RETAINED_WINDOWS)
        counts[account] += 1

    def total(self, window: int) -> Mapping[AccountId, int]:
        """Return the counts of all daemons in a window."""
        total: CountsByAccount = Counter()
        total.update(self._own.get(window, {}))
        for windows in self._by_incarnation.values():
            total.update(windows.get(window, {}))
        return total

    def write(self, digest: StateDigest) -> None:
        """Add this daemon's counts of the last windows to its digest."""
        self._drop_all_expired()
        first = self.window - REPORTED_WINDOWS
        for window, counts in self._own.items():
            if window < first:
                continue
            digest.windows.extend(
                WindowUse(window=window, account=account, requests=requests)
                for account, requests in counts.items()
            )

    def take(self, peer: PeerState, digest: StateDigest) -> None:
        """Replace a peer's counts by those in its new digest."""
        process = _DaemonIncarnation(
            daemon=peer.place.id, incarnation=peer.incarnation
        )
        reported: dict[int, dict[AccountId, int]] = {}
        for use in digest.windows:
            counts = reported.setdefault(use.window, {})
            counts[AccountId(use.account)] = use.requests
        self._by_incarnation.setdefault(process, {}).update(reported)

    def _drop_all_expired(self) -> None:
        """Drop expired windows of all peers, and peers without windows.

        This runs once per own digest. At each digest of 72 peers, it took a
        tenth of a daemon's processor time.
        """
        oldest = self.window - RETAINED_WINDOWS
        for process, windows in tuple(self._by_incarnation.items()):
            _drop_expired(windows, oldest)
            if not windows:
                del self._by_incarnation[process]


def _drop_expired(windows: dict[int, Any], oldest: int) -> None:
    for window in [each for each in windows if each < oldest]:
        del windows[window]
