"""Index of the prompt prefixes that endpoints likely hold in their caches.

A prompt is split into blocks of bytes. The hash of each block is seeded
with the hash of the previous one, so it identifies the prefix that ends
with the block. docs/PROTOCOLS.md specifies the format for engines.
"""

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import xxhash

from mimosamux_daemon.domain.engine import CacheEvent
from mimosamux_daemon.domain.names import EndpointId

BLOCK_BYTES = 256
"""Bytes of the canonical prompt (UTF-8) in one block."""
BYTES_PER_TOKEN = 4
"""Bytes of a prompt per token, as estimates assume."""
BLOCK_TOKENS = BLOCK_BYTES // BYTES_PER_TOKEN
MAX_PROMPT_BLOCKS = 512
"""Blocks of a prompt that are hashed; later ones are ignored."""
KEY_MASK = (1 << 40) - 1
"""Bits of a hash that are kept as its key.

With 200,000 entries, one prompt of 128 blocks in 43,000 matches a wrong
entry, which only makes the choice of an endpoint less accurate.
"""
MAX_ENTRIES = 200_000
"""Entries that a daemon keeps, over all endpoints."""
MIN_ENTRIES_PER_ENDPOINT = 64
GAP_DISCOUNT = 0.5
"""Factor on the tokens of a match while cache events are missing."""


def hash_prompt(prompt: bytes) -> tuple[int, ...]:
    """Return the chained hashes of the complete blocks of a prompt."""
    hashed = []
    seed = 0
    block_count = min(len(prompt) // BLOCK_BYTES, MAX_PROMPT_BLOCKS)
    for start in range(0, block_count * BLOCK_BYTES, BLOCK_BYTES):
        block = prompt[start : start + BLOCK_BYTES]
        seed = xxhash.xxh64_intdigest(block, seed)
        hashed.append(seed)
    return tuple(hashed)


@dataclass(frozen=True, kw_only=True, slots=True)
class PrefixMatch:
    """A prefix of a prompt, and the endpoints that likely hold it."""

    blocks: int
    """Number of blocks of the prefix."""
    key: int
    """Key of its last block."""
    holders: tuple[EndpointId, ...]


class EndpointCache:
    """Keys that one endpoint likely holds, oldest first.

    `sequence` is that of its last event; `has_gap` says that events
    before it were lost.
    """

    __slots__ = ('has_gap', 'keys', 'sequence')

    def __init__(self) -> None:
        self.keys: dict[int, None] = {}
        self.sequence: int | None = None
        self.has_gap = False


class PrefixCacheIndex:
    """Prefix-cache blocks by endpoint, and endpoints by block.

    A wrong or missing entry costs time but no correctness: the engine
    computes each block that it does not hold.
    """

    def __init__(self, *, max_entries: int = MAX_ENTRIES) -> None:
        self._max_entries = max_entries
        self._by_endpoint: dict[EndpointId, EndpointCache] = {}
        self._holders_by_key: dict[int, tuple[EndpointId, ...]] = {}

    @property
    def entries(self) -> int:
        """Number of (endpoint, block) pairs in the index."""
        return sum(len(cache.keys) for cache in self._by_endpoint.values())

    def has_event_gap(self, endpoint: EndpointId) -> bool:
        """Whether cache events were lost since the last snapshot."""
        cache = self._by_endpoint.get(endpoint)
        return cache is not None and cache.has_gap

    def set_event_gap(self, endpoint: EndpointId, *, has_gap: bool) -> None:
        """Set whether the endpoint's owner has lost cache events."""
        self._cache_of(endpoint).has_gap = has_gap

    def keys(self, endpoint: EndpointId) -> tuple[int, ...]:
        """Return the keys of the blocks of an endpoint, oldest first."""
        cache = self._by_endpoint.get(endpoint)
        return () if cache is None else tuple(cache.keys)

    def apply(self, event: CacheEvent) -> None:
        """Apply an engine's cache event and detect lost events.

        After a gap in the sequence numbers, the index may still list an
        evicted block, and a request routed to it would be computed from
        the start. Matches are therefore discounted until a snapshot.
        """
        cache = self._cache_of(event.endpoint)
        if event.snapshot:
            self.drop(event.endpoint)
            cache = self._cache_of(event.endpoint)
        elif cache.sequence is not None and event.sequence <= cache.sequence:
            return
        elif cache.sequence is None or event.sequence > cache.sequence + 1:
            cache.has_gap = True
        cache.sequence = event.sequence
        self.add(event.endpoint, event.stored)
        self.discard(event.endpoint, event.evicted)

    def add(self, endpoint: EndpointId, blocks: Iterable[int]) -> None:
        """Add blocks that an endpoint holds or is about to compute."""
        cache = self._cache_of(endpoint)
        for block in blocks:
            key = block & KEY_MASK
            if key in cache.keys:
                del cache.keys[key]
            else:
                held = self._holders_by_key.get(key, ())
                self._holders_by_key[key] = (*held, endpoint)
            cache.keys[key] = None
        self._trim(endpoint, cache)

    def discard(self, endpoint: EndpointId, blocks: Iterable[int]) -> None:
        """Remove blocks that an endpoint has evicted."""
        cache = self._cache_of(endpoint)
        for block in blocks:
            key = block & KEY_MASK
            if key in cache.keys:
                del cache.keys[key]
                self._drop_holder(key, endpoint)

    def drop(self, endpoint: EndpointId) -> None:
        """Remove all blocks of an endpoint."""
        cache = self._by_endpoint.pop(endpoint, None)
        if cache is not None:
            for key in cache.keys:
                self._drop_holder(key, endpoint)

    def match(self, blocks: Sequence[int]) -> tuple[PrefixMatch, ...]:
        """Return the matching prefixes of a prompt, longest first.

        Of adjacent blocks with the same holders, only the longest prefix
        is a match, so long prompts have few matches too.
        """
        matches: list[PrefixMatch] = []
        find = self._holders_by_key.get
        last = 0
        for depth in range(len(blocks), 0, -1):
            key = blocks[depth - 1] & KEY_MASK
            holders = find(key)
            # A holder of a prefix also holds the shorter ones, so an equal
            # number of holders means the same holders.
            if holders is None or len(holders) <= last:
                continue
            matches.append(PrefixMatch(blocks=depth, key=key, holders=holders))
            last = len(holders)
        return tuple(matches)

    def cached_tokens(
        self, endpoint: EndpointId, matches: Sequence[PrefixMatch]
    ) -> float:
        """Return the number of prompt tokens the endpoint likely holds."""
        cache = self._by_endpoint.get(endpoint)
        if cache is None:
            return 0.0
        keys = cache.keys
        for prefix_match in matches:
            if prefix_match.key in keys:
                tokens = prefix_match.blocks * BLOCK_TOKENS
                return tokens * GAP_DISCOUNT if cache.has_gap else tokens
        return 0.0

    def _cache_of(self, endpoint: EndpointId) -> EndpointCache:
        cache = self._by_endpoint.get(endpoint)
        if cache is None:
            cache = self._by_endpoint[endpoint] = EndpointCache()
        return cache

    def _trim(self, endpoint: EndpointId, cache: EndpointCache) -> None:
        limit = max(
            self._max_entries // len(self._by_endpoint),
            MIN_ENTRIES_PER_ENDPOINT,
        )
        while len(cache.keys) > limit:
            key = next(iter(cache.keys))
            del cache.keys[key]
            self._drop_holder(key, endpoint)

    def _drop_holder(self, key: int, endpoint: EndpointId) -> None:
        holders = self._holders_by_key[key]
        left = tuple(holder for holder in holders if holder != endpoint)
        if left:
            self._holders_by_key[key] = left
        else:
            del self._holders_by_key[key]


def pick_holders(
    matches: Sequence[PrefixMatch], limit: int, rng: random.Random
) -> list[EndpointId]:
    """Return up to `limit` endpoints with the longest matches."""
    picked: list[EndpointId] = []
    for prefix_match in matches:
        room = limit - len(picked)
        if room <= 0:
            break
        holders = prefix_match.holders
        picked.extend(
            holders if len(holders) <= room else rng.sample(holders, room)
        )
    return picked
