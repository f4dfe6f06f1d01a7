"""Interfaces of the gateway for its HTTP front ends."""

from typing import Protocol

from mimosamux_daemon.adapters.http1_exchange import IncomingRequest, Reply
from mimosamux_daemon.domain.gateway import (
    GatewayOutcome,
    GatewayRequest,
    ScreenedRequest,
)
from mimosamux_daemon.domain.http_messages import RequestHead
from mimosamux_daemon.domain.outcomes import Refused
from mimosamux_daemon.ports.callers import AnswerSink, Caller


class RequestForwarder(Protocol):
    """Forwards requests to endpoints."""

    async def forward(
        self, request: GatewayRequest, caller: Caller, sink: AnswerSink
    ) -> GatewayOutcome:
        """Forward a request, send its answer to `sink`, return the outcome."""

    def screen(self, request: GatewayRequest) -> ScreenedRequest | Refused:
        """Check a request by its head, before its body has arrived."""


class RequestHandler(Protocol):
    """Serves the requests of callers."""

    async def handle(self, incoming: IncomingRequest, reply: Reply) -> None:
        """Answer one request."""

    def screen(self, head: RequestHead) -> ScreenedRequest | Refused:
        """Check a request by its head, before its body is read."""

    async def render(self, outcome: Refused, reply: Reply) -> None:
        """Send the answer to a request that was refused."""


class DaemonDirectory(Protocol):
    """Directory of the daemons for service discovery."""

    def addresses(self, region: str, data_centre: str) -> list[str]:
        """Return daemon addresses, nearest to the caller's place first."""
