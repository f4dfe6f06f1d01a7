"""Port to the plain services beside the model engines."""

from dataclasses import dataclass
from typing import Protocol

from mimosamux_daemon.domain.engine import ConnectFailed
from mimosamux_daemon.domain.vms import Endpoint
from mimosamux_daemon.domain.work import ServiceCall


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceAnswer:
    """A whole answer of a service."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceUnanswered:
    """Bytes were sent and no whole answer came: it may have run."""

    reason: str


class Services(Protocol):
    """Every plain service, addressed by its endpoint."""

    async def call(
        self, endpoint: Endpoint, call: ServiceCall
    ) -> ServiceAnswer | ConnectFailed | ServiceUnanswered:
        """Send one call; `ConnectFailed` means no byte was sent."""
