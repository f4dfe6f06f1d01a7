"""Port to the platform's object store."""

from typing import Protocol

from mimosamux_daemon.domain.store import Unavailable


class ObjectStore(Protocol):
    """Larger values by key, each written whole."""

    async def put(self, key: str, data: bytes) -> None | Unavailable:
        """Store the object, replacing an earlier one."""

    async def get(self, key: str) -> bytes | None | Unavailable:
        """Return the object, None where there is none."""
