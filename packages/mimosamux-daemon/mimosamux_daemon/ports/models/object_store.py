"""Port to the platform's object store."""

from typing import Protocol

from mimosamux_daemon.domain.store import Unavailable


class ObjectStore(Protocol):
    """Store for large values by key, which are written atomically."""

    async def put(self, key: str, data: bytes) -> None | Unavailable:
        """Store an object, replacing one under the same key."""

    async def get(self, key: str) -> bytes | None | Unavailable:
        """Return the object, or None if it does not exist."""
