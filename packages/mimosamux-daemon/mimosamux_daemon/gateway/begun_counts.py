"""How many requests of each account began, by window of the time of day."""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from mimosamux_wire import StateDigest, WindowUse

from mimosamux_daemon.domain.names import AccountId, DaemonId
from mimosamux_daemon.gateway.peer_states import PeerState

TOLD_WINDOWS = 2
"""Windows before the current one that digests still tell of."""
KEPT_WINDOWS = 12

CountsByAccount = Counter[AccountId]


@dataclass(frozen=True, kw_only=True, slots=True)
class _Process:
    """One process of a daemon; the next counts from zero again."""

    daemon: DaemonId
    lifetime: int


@dataclass(kw_only=True, slots=True)
class BegunCounts:
    """Counts of this daemon and of its peers, also of those that died."""

    window_s: float
    now: Callable[[], float]
    """Time of day on which the daemons agree."""
    _own: dict[int, CountsByAccount] = field(default_factory=dict)
    _by_process: dict[_Process, dict[int, CountsByAccount]] = field(
        default_factory=dict
    )

    @property
    def window(self) -> int:
        """Return the number of the current window."""
        return int(self.now() // self.window_s)

    def note(self, account: AccountId) -> None:
        """Count a request that has just begun."""
        window = self.window
        counts = self._own.get(window)
        if counts is None:
            counts = self._own[window] = Counter()
            _drop_old(self._own, window - KEPT_WINDOWS)
        counts[account] += 1

    def total(self, window: int) -> Mapping[AccountId, int]:
        """Return the counts of all daemons in a window."""
        total: CountsByAccount = Counter()
        for windows in (self._own, *self._by_process.values()):
            total.update(windows.get(window, {}))
        return total

    def write(self, digest: StateDigest) -> None:
        """Tell the counts of the last windows."""
        first = self.window - TOLD_WINDOWS
        for window, counts in self._own.items():
            if window < first:
                continue
            digest.windows.extend(
                WindowUse(window=window, account=account, requests=requests)
                for account, requests in counts.items()
            )

    def take(self, peer: PeerState, digest: StateDigest) -> None:
        """Take the counts of a peer in place of those it told before."""
        process = _Process(daemon=peer.place.id, lifetime=peer.incarnation)
        windows = self._by_process.setdefault(process, {})
        for window in {use.window for use in digest.windows}:
            windows[window] = Counter()
        for use in digest.windows:
            windows[use.window][AccountId(use.account)] = use.requests
        self._drop_all_old()

    def _drop_all_old(self) -> None:
        oldest = self.window - KEPT_WINDOWS
        for process, windows in tuple(self._by_process.items()):
            _drop_old(windows, oldest)
            if not windows:
                del self._by_process[process]


def _drop_old(windows: dict[int, CountsByAccount], oldest: int) -> None:
    for window in [each for each in windows if each < oldest]:
        del windows[window]
