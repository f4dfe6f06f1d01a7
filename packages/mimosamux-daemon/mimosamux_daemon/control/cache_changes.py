"""Selects and encodes the prefix-cache keys that a digest carries."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from mimosamux_daemon.domain.engine import CacheEvent
from mimosamux_daemon.serving.prefix_cache import KEY_MASK

KEY_BYTES = 5
"""Size of an encoded key."""


def pack_keys(keys: Iterable[int]) -> bytes | None:
    """Encode keys as little-endian integers; None if there are none."""
    packed = b''.join(key.to_bytes(KEY_BYTES, 'little') for key in keys)
    return packed or None


def unpack_keys(packed: bytes | None) -> list[int]:
    """Decode the keys that `pack_keys` encoded."""
    if not packed:
        return []
    return [
        int.from_bytes(packed[start : start + KEY_BYTES], 'little')
        for start in range(0, len(packed), KEY_BYTES)
    ]


@dataclass(kw_only=True, slots=True)
class CacheChanges:
    """Keys of one endpoint stored and evicted since the last digest.

    The dicts serve as ordered sets.
    """

    stored: dict[int, None] = field(default_factory=dict)
    evicted: dict[int, None] = field(default_factory=dict)

    def note(self, event: CacheEvent) -> None:
        """Merge an event; a key stored and then evicted cancels out."""
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


def find_sampling_mask(keys: Iterable[int], limit: int) -> int:
    """Return a mask of low bits that samples at most `limit` keys.

    A key is in the sample if none of its bits under the mask is set. All
    daemons thus sample the same keys with the same mask, and the sample
    of a longer mask is a subset of that of a shorter one.
    """
    sampled = list(keys)
    mask = 0
    while len(sampled) > limit and mask < KEY_MASK:
        mask = mask << 1 | 1
        sampled = [key for key in sampled if not key & mask]
    return mask


def sample_keys(keys: tuple[int, ...], limit: int) -> list[int]:
    """Return a sample of at most `limit` keys, the same at every daemon."""
    mask = find_sampling_mask(keys, limit)
    return [key for key in keys if not key & mask]
