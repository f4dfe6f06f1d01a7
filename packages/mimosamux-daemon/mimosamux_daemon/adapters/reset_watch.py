"""Since when kept connections can be trusted."""

from collections import deque
from dataclasses import dataclass, field

import anyio

AT_ONCE_S = 0.2
"""Time within which breaks count as one event: a failing switch or a
restarted firewall ends connections within milliseconds of each other."""
FEWEST_ADDRESSES = 2
"""Addresses whose connections have to break; one alone is a process that
ended."""


@dataclass(kw_only=True, slots=True)
class ResetWatch:
    """When connections to several addresses last broke together.

    Such an event ends some connections with a reset, and leaves others
    open that deliver nothing any more. A request sent on one of those runs,
    its answer never comes, and it may not be sent again.
    """

    last_at: float = float('-inf')
    _resets: deque[tuple[float, str]] = field(default_factory=deque)

    def note(self, address: str) -> None:
        """Note that a connection to an address was reset."""
        now = anyio.current_time()
        self._resets.append((now, address))
        while self._resets[0][0] < now - AT_ONCE_S:
            self._resets.popleft()
        addresses = {each for _, each in self._resets}
        if len(addresses) >= FEWEST_ADDRESSES:
            self.last_at = now

    def note_silence(self) -> None:
        """Note that connections fell silent together, without a reset."""
        self.last_at = anyio.current_time()
