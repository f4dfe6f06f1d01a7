"""Port to the journal of accepted requests of durable classes."""

from typing import Protocol

from mimosamux_daemon.domain.names import RequestId
from mimosamux_daemon.domain.store import Unavailable
from mimosamux_daemon.domain.work import ModelRequest


class RequestJournal(Protocol):
    """Keeps accepted requests beyond the death of this daemon."""

    async def record(self, request: ModelRequest) -> None | Unavailable:
        """Record a request before it counts as accepted."""

    async def forget(self, request: RequestId) -> None:
        """Drop a request that has its outcome; failing is harmless."""
