"""An object store in memory."""

from dataclasses import dataclass, field

import anyio.lowlevel

from mimosamux_daemon.domain.store import Unavailable


@dataclass(kw_only=True, slots=True)
class MemoryObjectStore:
    """The `ObjectStore` port over a dictionary."""

    down: bool = False
    objects_by_key: dict[str, bytes] = field(default_factory=dict)

    async def put(self, key: str, data: bytes) -> None | Unavailable:
        """Store the object, replacing an earlier one."""
        await anyio.lowlevel.checkpoint()
        if self.down:
            return Unavailable(reason='down', may_have_taken_effect=False)
        self.objects_by_key[key] = data
        return None

    async def get(self, key: str) -> bytes | None | Unavailable:
        """Return the object, None where there is none."""
        await anyio.lowlevel.checkpoint()
        if self.down:
            return Unavailable(reason='down', may_have_taken_effect=False)
        return self.objects_by_key.get(key)
