"""Port to the journal of accepted requests of durable classes."""

from typing import Protocol

from mimosamux_daemon.domain.names import RequestId
from mimosamux_daemon.domain.store import Unavailable
from mimosamux_daemon.domain.work import ModelRequest


class RequestJournal(Protocol):
    """Persists accepted requests so that they survive a daemon crash."""

    async def record(self, request: ModelRequest) -> None | Unavailable:
        """Record a request; it is accepted only after that."""

    async def forget(self, request: RequestId) -> None:
        """Delete a request that has its outcome; best effort."""
