"""Port to plain services, which are not model engines."""

from dataclasses import dataclass
from typing import Protocol

from mimosamux_daemon.domain.engine import ConnectFailed
from mimosamux_daemon.domain.vms import Endpoint
from mimosamux_daemon.domain.work import ServiceCall


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceAnswer:
    """Complete answer of a service."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceUnanswered:
    """No complete answer arrived; the call may have run."""

    reason: str


class Services(Protocol):
    """Calls to plain services, which are addressed by their endpoints."""

    async def call(
        self, endpoint: Endpoint, call: ServiceCall
    ) -> ServiceAnswer | ConnectFailed | ServiceUnanswered:
        """Send a call; `ConnectFailed` means that no byte was sent."""
