"""Which prompt prefixes endpoints hold in their cache, as far as known.

A prompt is cut into blocks of bytes and each block's hash is seeded with
the hash before it, so that one hash stands for the whole prefix up to
there. docs/PROTOCOLS.md states the format for engines.
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
"""Bytes of prompt that count as one token in estimates."""
BLOCK_TOKENS = BLOCK_BYTES // BYTES_PER_TOKEN
MAX_PROMPT_BLOCKS = 512
"""Longer prompts are looked up by their first blocks alone."""
KEY_MASK = (1 << 40) - 1
"""Kept bits of a hash: 200,000 entries and a prompt of 128 blocks find
a wrong entry once in 43,000 prompts, and then only misjudge a choice."""
MAX_ENTRIES = 200_000
"""Entries that a daemon keeps over all endpoints."""
MIN_ENTRIES_PER_ENDPOINT = 64
DOUBTFUL_SHARE = 0.5
"""Share of a match that counts after events were lost."""


def hash_prompt(prompt: bytes) -> tuple[int, ...]:
    """Return the chained hash of each whole block of a prompt."""
    hashed = []
    seed = 0
    whole = min(len(prompt) // BLOCK_BYTES, MAX_PROMPT_BLOCKS)
    for start in range(0, whole * BLOCK_BYTES, BLOCK_BYTES):
        block = prompt[start : start + BLOCK_BYTES]
        seed = xxhash.xxh64_intdigest(block, seed)
        hashed.append(seed)
    return tuple(hashed)


@dataclass(frozen=True, kw_only=True, slots=True)
class Level:
    """A prefix of a prompt that some endpoints are known to hold."""

    blocks: int
    key: int
    holders: tuple[EndpointId, ...]


class EndpointCache:
    """What one endpoint holds; oldest entries come first."""

    __slots__ = ('has_gap', 'keys', 'sequence')

    def __init__(self) -> None:
        self.keys: dict[int, None] = {}
        self.sequence: int | None = None
        self.has_gap = False


class PrefixCache:
    """Known prefix-cache blocks, by endpoint and by block.

    An entry too many or too few costs time and never an answer: the
    engine computes whatever it does not hold.
    """

    def __init__(self, *, max_entries: int = MAX_ENTRIES) -> None:
        self._max_entries = max_entries
        self._by_endpoint: dict[EndpointId, EndpointCache] = {}
        self._holders_by_key: dict[int, tuple[EndpointId, ...]] = {}

    @property
    def entries(self) -> int:
        """Number of (endpoint, block) pairs that are kept."""
        return sum(len(cache.keys) for cache in self._by_endpoint.values())

    def has_doubt(self, endpoint: EndpointId) -> bool:
        """Whether events of the endpoint were lost since a snapshot."""
        cache = self._by_endpoint.get(endpoint)
        return cache is not None and cache.has_gap

    def set_doubt(self, endpoint: EndpointId, *, doubtful: bool) -> None:
        """Take over what the endpoint's owner says of lost events."""
        self._cache_of(endpoint).has_gap = doubtful

    def keys(self, endpoint: EndpointId) -> tuple[int, ...]:
        """Return the keys of an endpoint's blocks, oldest first."""
        cache = self._by_endpoint.get(endpoint)
        return () if cache is None else tuple(cache.keys)

    def take(self, event: CacheEvent) -> None:
        """Apply an engine's event, and note whether any were lost.

        After a gap an evicted block may still be listed here, and a
        request sent for it would be computed from the start. Matches
        are therefore discounted until a snapshot has settled the doubt.
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
        """Note blocks that an endpoint holds or is about to hold."""
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
        """Note blocks that an endpoint has evicted."""
        cache = self._cache_of(endpoint)
        for block in blocks:
            key = block & KEY_MASK
            if key in cache.keys:
                del cache.keys[key]
                self._drop_holder(key, endpoint)

    def drop(self, endpoint: EndpointId) -> None:
        """Forget an endpoint."""
        cache = self._by_endpoint.pop(endpoint, None)
        if cache is not None:
            for key in cache.keys:
                self._drop_holder(key, endpoint)

    def match(self, blocks: Sequence[int]) -> tuple[Level, ...]:
        """Return the known prefixes of a prompt, longest first.

        Neighbouring blocks with the same holders make one level, so a
        prompt has few levels however long it is.
        """
        levels: list[Level] = []
        find = self._holders_by_key.get
        last = 0
        for depth in range(len(blocks), 0, -1):
            key = blocks[depth - 1] & KEY_MASK
            holders = find(key)
            # Who holds a prefix holds its shorter ones too, so as many
            # holders are the same holders.
            if holders is None or len(holders) <= last:
                continue
            levels.append(Level(blocks=depth, key=key, holders=holders))
            last = len(holders)
        return tuple(levels)

    def cached_tokens(
        self, endpoint: EndpointId, levels: Sequence[Level]
    ) -> float:
        """Return the prompt tokens that the endpoint likely holds."""
        cache = self._by_endpoint.get(endpoint)
        if cache is None:
            return 0.0
        keys = cache.keys
        for level in levels:
            if level.key in keys:
                tokens = level.blocks * BLOCK_TOKENS
                return tokens * DOUBTFUL_SHARE if cache.has_gap else tokens
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
    levels: Sequence[Level], limit: int, rng: random.Random
) -> list[EndpointId]:
    """Return endpoints with the longest prefixes, `limit` at most."""
    picked: list[EndpointId] = []
    for level in levels:
        room = limit - len(picked)
        if room <= 0:
            break
        holders = level.holders
        picked.extend(
            holders if len(holders) <= room else rng.sample(holders, room)
        )
    return picked
