"""Interfaces of the gateway for its HTTP front ends."""

from typing import Protocol

from mimosamux_daemon.domain.gateway import GatewayOutcome, GatewayRequest
from mimosamux_daemon.ports.callers import AnswerSink, Caller


class RequestForwarder(Protocol):
    """Forwards requests to endpoints."""

    async def forward(
        self, request: GatewayRequest, caller: Caller, sink: AnswerSink
    ) -> GatewayOutcome:
        """Forward a request, send its answer to `sink`, return the outcome."""


class DaemonDirectory(Protocol):
    """Directory of the daemons for service discovery."""

    def addresses(self, region: str, data_centre: str) -> list[str]:
        """Return daemon addresses, nearest to the caller's place first."""
