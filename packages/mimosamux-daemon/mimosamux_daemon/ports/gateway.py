"""What the gateway offers to those who take requests and questions in."""

from typing import Protocol

from mimosamux_daemon.domain.gateway import GatewayOutcome, GatewayRequest
from mimosamux_daemon.ports.callers import AnswerSink, Caller


class RequestForwarder(Protocol):
    """Has requests answered."""

    async def forward(
        self, request: GatewayRequest, caller: Caller, sink: AnswerSink
    ) -> GatewayOutcome:
        """Have a request answered; the outcome tells if it was not."""


class AddressBook(Protocol):
    """Knows which daemons callers are to use."""

    def addresses(self, region: str, data_centre: str) -> list[str]:
        """Return the addresses for a caller in a place, near ones first."""
