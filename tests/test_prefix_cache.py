"""What is known of the engines' prefix caches."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from mimosamux_daemon.domain.engine import CacheEvent
from mimosamux_daemon.domain.names import EndpointId
from mimosamux_daemon.serving.prefix_cache import (
    BLOCK_BYTES,
    BLOCK_TOKENS,
    PrefixCacheIndex,
    hash_prompt,
    pick_holders,
)

A = EndpointId('a')
B = EndpointId('b')


def prompt_of(*blocks: str) -> bytes:
    return ''.join(block * BLOCK_BYTES for block in blocks).encode()


def event(sequence, *, stored=(), evicted=(), snapshot=False, endpoint=A):
    return CacheEvent(
        endpoint=endpoint,
        sequence=sequence,
        stored=tuple(stored),
        evicted=tuple(evicted),
        snapshot=snapshot,
    )


class TestBlockHashes(unittest.TestCase):
    def test_a_hash_stands_for_the_whole_prefix(self):
        first = hash_prompt(prompt_of('a', 'b', 'c'))
        second = hash_prompt(prompt_of('x', 'b', 'c'))
        self.assertEqual(len(first), 3)
        self.assertFalse(set(first) & set(second))

    def test_shared_prefix_has_the_same_hashes(self):
        first = hash_prompt(prompt_of('a', 'b', 'c'))
        second = hash_prompt(prompt_of('a', 'b', 'd') + b'rest')
        self.assertEqual(first[:2], second[:2])
        self.assertNotEqual(first[2], second[2])


class TestPrefixCache(unittest.TestCase):
    def setUp(self):
        self.cache = PrefixCacheIndex()
        self.blocks = hash_prompt(prompt_of('a', 'b', 'c', 'd'))

    def cached(self, endpoint=A):
        levels = self.cache.match(self.blocks)
        return self.cache.cached_tokens(endpoint, levels)

    def test_longest_known_prefix_counts(self):
        self.cache.apply(event(1, stored=self.blocks[:3], snapshot=True))
        self.cache.apply(
            event(1, stored=self.blocks[:1], snapshot=True, endpoint=B)
        )
        self.assertEqual(self.cached(A), 3 * BLOCK_TOKENS)
        self.assertEqual(self.cached(B), BLOCK_TOKENS)
        levels = self.cache.match(self.blocks)
        self.assertEqual(pick_holders(levels, 1, random.Random(1)), [A])

    def test_evicted_block_no_longer_counts(self):
        self.cache.apply(event(1, stored=self.blocks, snapshot=True))
        self.cache.apply(event(2, evicted=self.blocks[2:]))
        self.assertEqual(self.cached(), 2 * BLOCK_TOKENS)

    def test_gap_makes_entries_doubtful_until_a_snapshot(self):
        """An engine's events are lost on the way, an eviction perhaps.

        Requests would go on being sent there for a prefix that is gone,
        and a site engineer would wait while it is computed again.
        """
        self.cache.apply(event(1, stored=self.blocks, snapshot=True))
        self.cache.apply(event(3))
        self.assertTrue(self.cache.has_event_gap(A))
        self.assertEqual(self.cached(), 2 * BLOCK_TOKENS)
        self.cache.apply(event(4, stored=self.blocks, snapshot=True))
        self.assertEqual(self.cached(), 4 * BLOCK_TOKENS)

    def test_repeated_event_changes_nothing(self):
        """A stream is opened again and an old event comes once more.

        Applied again, it would bring back blocks evicted since then.
        """
        self.cache.apply(event(1, stored=self.blocks, snapshot=True))
        self.cache.apply(event(2, evicted=self.blocks))
        self.cache.apply(event(1, stored=self.blocks))
        self.assertEqual(self.cached(), 0)

    def test_memory_is_bounded_and_oldest_entries_go_first(self):
        cache = PrefixCacheIndex(max_entries=100)
        cache.add(A, range(1, 1001))
        self.assertEqual(cache.keys(A), tuple(range(901, 1001)))
        self.assertEqual(cache.match([1]), ())

    def test_endpoint_that_is_gone_holds_nothing(self):
        self.cache.add(A, self.blocks)
        self.cache.drop(A)
        self.assertEqual(self.cache.match(self.blocks), ())
        self.assertEqual(self.cache.entries, 0)

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from([A, B]),
                st.sampled_from(['add', 'discard', 'drop']),
                st.lists(st.integers(1, 12), max_size=6),
            ),
            max_size=30,
        )
    )
    def test_index_agrees_with_plain_sets(self, steps):
        cache = PrefixCacheIndex()
        expected = {A: set(), B: set()}
        for endpoint, action, blocks in steps:
            if action == 'add':
                cache.add(endpoint, blocks)
                expected[endpoint] |= set(blocks)
            elif action == 'discard':
                cache.discard(endpoint, blocks)
                expected[endpoint] -= set(blocks)
            else:
                cache.drop(endpoint)
                expected[endpoint] = set()
        for endpoint, blocks in expected.items():
            self.assertEqual(set(cache.keys(endpoint)), blocks)
            for block in range(1, 13):
                held = any(
                    endpoint in level.holders for level in cache.match([block])
                )
                self.assertEqual(held, block in blocks)
