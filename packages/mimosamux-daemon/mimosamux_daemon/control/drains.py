"""Drains endpoints so that no VM is stopped while it serves requests."""

from collections.abc import Awaitable, Callable
from typing import Protocol

import anyio

from mimosamux_daemon.domain.names import EndpointId
from mimosamux_daemon.serving.fleet import EndpointState, Fleet

POLL_INTERVAL_S = 0.5
"""Interval of the checks whether an endpoint is idle."""
PROPAGATION_S = 5.0
"""Time within which all daemons stop sending to a leaving endpoint."""
DRAIN_TIMEOUT_S = 600.0
"""Maximum time to wait for requests on the endpoint to complete."""
MIN_FRESH_REPORTS = 2
"""Load reports that have to follow `PROPAGATION_S` before one is trusted."""


class EndpointDrainer(Protocol):
    """Drains endpoints."""

    async def drain(self, endpoint: EndpointId) -> None:
        """Stop new requests to an endpoint; return once it is idle."""


class FleetDrainer:
    """Detects the end of a drain from the load reports of the engine.

    A load report counts the requests of all daemons, so one daemon can
    detect the end without querying the others.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        announce: Callable[[dict[EndpointId, float]], Awaitable[None]],
    ) -> None:
        """Set up; `announce` marks endpoints as leaving at all daemons.

        It takes the seconds left by endpoint.
        """
        self._fleet = fleet
        self._announce = announce

    async def drain(self, endpoint: EndpointId) -> None:
        """Stop new requests to an endpoint; return once it is idle.

        Also returns after `DRAIN_TIMEOUT_S`, whatever is left.
        """
        state = self._fleet.by_id.get(endpoint)
        if state is None:
            return
        await self._announce({endpoint: DRAIN_TIMEOUT_S})
        await anyio.sleep(PROPAGATION_S)
        first_sequence = state.report.sequence if state.report else 0
        with anyio.move_on_after(DRAIN_TIMEOUT_S):
            while True:
                if _is_idle(state, first_sequence):
                    return
                await anyio.sleep(POLL_INTERVAL_S)


def _is_idle(state: EndpointState, first_sequence: int) -> bool:
    if state.open_by_request:
        return False
    report = state.report
    if report is None or report.sequence < first_sequence + MIN_FRESH_REPORTS:
        # Without a fresh report the requests of other daemons are unknown
        # and a stop could cut them off, so the drain waits for its limit.
        return False
    return not report.running and not report.waiting
