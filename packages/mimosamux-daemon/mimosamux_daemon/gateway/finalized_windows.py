"""Replicates the final counts of usage windows between daemons.

The table holds them too, but may lose the last seconds when it is restored
from an older copy. Counts that were reported must not change even then.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from mimosamux_wire import WindowsFinalized, WindowUse

from mimosamux_daemon.domain.names import AccountId, DaemonId
from mimosamux_daemon.gateway.exchange.peer_states import PeerStates
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports import PeerLinks

log = get_log('metering')

RETAINED_WINDOWS = 6
"""Windows whose counts are retained; reports of earlier ones are overdue."""
NO_ACCOUNT = AccountId('')
"""Stands in a message for a window without requests."""

WindowCounts = Mapping[AccountId, int]


@dataclass(kw_only=True, slots=True)
class FinalizedWindows:
    """Final counts of the last windows; the first counts of each stay."""

    states: PeerStates
    peers: PeerLinks
    by_window: dict[int, WindowCounts] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.peers.handle(WindowsFinalized, self._receive)
        self.states.on_joined.append(self._send_all)

    def add(self, counts_by_window: Mapping[int, WindowCounts]) -> bool:
        """Add final counts; return whether any window was unknown."""
        oldest = max(self.by_window, default=0) - RETAINED_WINDOWS
        is_new = False
        for window, counts in counts_by_window.items():
            known = self.by_window.get(window)
            if known is None and window > oldest:
                self.by_window[window] = counts
                is_new = True
            elif known is not None and known != counts:
                log.error('window_counts_differ', window=window)
        for window in sorted(self.by_window)[:-RETAINED_WINDOWS]:
            del self.by_window[window]
        return is_new

    def announce(self, windows: Iterable[int]) -> None:
        """Send the counts of windows to all daemons."""
        self.states.queue(self._as_message(windows))

    async def _send_all(self, id_: DaemonId) -> None:
        """Send all counts to a daemon that has just started."""
        if self.by_window:
            await self.peers.notify(id_, self._as_message(self.by_window))

    async def _receive(
        self, sender: DaemonId, message: WindowsFinalized
    ) -> None:
        is_new = self.add(_parse(message))
        if is_new and self.states.forwards_messages:
            self.states.queue(message)

    def _as_message(self, windows: Iterable[int]) -> WindowsFinalized:
        return WindowsFinalized(
            counts=[
                WindowUse(window=window, account=account, requests=requests)
                for window in windows
                for account, requests in (
                    self.by_window[window] or {NO_ACCOUNT: 0}
                ).items()
            ]
        )


def _parse(message: WindowsFinalized) -> dict[int, WindowCounts]:
    by_window: dict[int, dict[AccountId, int]] = {}
    for use in message.counts:
        counts = by_window.setdefault(use.window, {})
        if use.account != NO_ACCOUNT:
            counts[AccountId(use.account)] = use.requests
    return dict(by_window)
