"""Which prefix-cache keys a digest names, and how they are packed."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from mimosamux_daemon.domain.engine import CacheEvent
from mimosamux_daemon.serving.prefix_cache import KEY_MASK

KEY_BYTES = 5


def pack_keys(keys: Iterable[int]) -> bytes | None:
    """Return keys as bytes, None where there are none."""
    packed = b''.join(key.to_bytes(KEY_BYTES, 'little') for key in keys)
    return packed or None


def unpack_keys(packed: bytes | None) -> list[int]:
    """Return the keys that bytes stand for."""
    if not packed:
        return []
    return [
        int.from_bytes(packed[start : start + KEY_BYTES], 'little')
        for start in range(0, len(packed), KEY_BYTES)
    ]


@dataclass(kw_only=True, slots=True)
class CacheNews:
    """Blocks of one endpoint that came and went since the last digest."""

    stored: dict[int, None] = field(default_factory=dict)
    evicted: dict[int, None] = field(default_factory=dict)

    def note(self, event: CacheEvent) -> None:
        """Add an event; what is stored and evicted again cancels out."""
        for block in event.stored:
            key = block & KEY_MASK
            self.evicted.pop(key, None)
            self.stored[key] = None
        for block in event.evicted:
            key = block & KEY_MASK
            if key in self.stored:
                del self.stored[key]
            else:
                self.evicted[key] = None


def find_mask(keys: Iterable[int], limit: int) -> int:
    """Return a mask of low bits so that `limit` keys at most have none.

    Every daemon takes the same keys under the same mask, and the keys
    under a longer mask are among those under a shorter one.
    """
    left = list(keys)
    mask = 0
    while len(left) > limit and mask < KEY_MASK:
        mask = mask << 1 | 1
        left = [key for key in left if not key & mask]
    return mask


def sample_keys(keys: tuple[int, ...], limit: int) -> list[int]:
    """Return `limit` keys at most, the same ones at every daemon."""
    mask = find_mask(keys, limit)
    return [key for key in keys if not key & mask]
