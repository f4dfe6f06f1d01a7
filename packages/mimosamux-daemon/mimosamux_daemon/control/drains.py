"""Drains: no VM is stopped while work is on it."""

from collections.abc import Awaitable, Callable
from typing import Protocol

import anyio

from mimosamux_daemon.domain.names import EndpointId
from mimosamux_daemon.serving.fleet import EndpointState, Fleet

POLL_S = 0.5
QUIET_S = 5.0
"""Time after which no daemon sends new work to a leaving endpoint."""
LIMIT_S = 600.0
"""Time given to requests on the endpoint to end there."""
FRESH_REPORTS = 2
"""Reports that have to arrive after the quiet time before they count."""


class Drains(Protocol):
    """Brings all work off an endpoint."""

    async def drain(self, endpoint: EndpointId) -> None:
        """Send no new work there; return once no work is left on it."""


class FleetDrains:
    """Drains that the fleet's own reports tell the end of.

    The load report of the engine counts the requests of every daemon, so
    one daemon can tell the end without asking all the others.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        announce: Callable[[dict[EndpointId, float]], Awaitable[None]],
    ) -> None:
        """Take `announce`, which marks endpoints as leaving everywhere."""
        self._fleet = fleet
        self._announce = announce

    async def drain(self, endpoint: EndpointId) -> None:
        """Send no new work there; return once no work is left on it."""
        state = self._fleet.by_id.get(endpoint)
        if state is None:
            return
        await self._announce({endpoint: LIMIT_S})
        await anyio.sleep(QUIET_S)
        first = state.report.sequence if state.report else 0
        with anyio.move_on_after(LIMIT_S):
            while True:
                if _is_idle(state, first):
                    return
                await anyio.sleep(POLL_S)


def _is_idle(state: EndpointState, first: int) -> bool:
    if state.open_by_request:
        return False
    report = state.report
    if report is None or report.sequence < first + FRESH_REPORTS:
        # Without a report the work of other daemons cannot be seen, and
        # a stop would cut their requests off: the limit is waited out.
        return False
    return not report.running and not report.waiting
