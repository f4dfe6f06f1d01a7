"""Choice among many engines, of which a request compares a few."""

import random
import unittest
from dataclasses import replace

from mimosamux_daemon.domain.gateway import (
    EndpointState,
    PromptInfo,
    PromptPart,
)
from mimosamux_daemon.domain.names import DaemonId, EndpointId, ServiceName
from mimosamux_daemon.domain.rollouts import RolloutOrder
from mimosamux_daemon.domain.routes import EngineCapabilities, ServiceEntry
from mimosamux_daemon.gateway.balancing import prefix_cache_index
from mimosamux_daemon.gateway.balancing.engine_candidates import (
    FIRST_IN_ORDER,
    SAMPLE_SIZE,
    WIDE_SAMPLE_SIZE,
)
from mimosamux_daemon.gateway.balancing.hash_order import (
    HashOrder,
    rendezvous_hash,
)
from mimosamux_daemon.gateway.balancing.health import (
    MIN_ANSWERS,
    WINDOW_S,
    AnswerCounts,
    EndpointHealth,
)
from mimosamux_daemon.gateway.balancing.prefix_cache_index import (
    PrefixCacheIndex,
)
from mimosamux_daemon.gateway.store_health import RENEWAL_S

from tests.support.stale_reports import STREAM, ChoosingDaemon, listed

LLM = ServiceName('llm')
SERVICE = ServiceEntry(
    name=LLM,
    engine=EngineCapabilities(
        slots=12, cache_tokens=400_000, bytes_per_token=1e5, link_mbps=1e4
    ),
)
BUSY_TOKENS = 1e6


def make_prompt(*shared, tokens=500):
    parts = [PromptPart(id=id_, tokens=tokens) for id_ in shared]
    parts.append(PromptPart(id='own', tokens=100))
    return PromptInfo(
        model='m',
        prompt_tokens=sum(part.tokens for part in parts),
        parts=tuple(parts),
    )


class TestManyEngines(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.list_engines(300)

    def list_engines(self, count):
        self.daemon = ChoosingDaemon(
            clock=lambda: self.now, rng=random.Random(3)
        )
        self.daemon.list(
            *(listed(n, service=LLM, slots=12) for n in range(count))
        )
        self.by_id = self.daemon.roster.by_id

    def choose(self, prompt, **options):
        return self.daemon.choose(SERVICE, prompt, STREAM, **options)

    def ranked(self, key):
        """Return all engines that accept requests, in the order of a key."""
        return sorted(
            self.daemon.roster.accepting(LLM),
            key=lambda record: rendezvous_hash(record.id, key),
        )

    def test_prompt_goes_to_the_first_of_all_engines_in_hash_order(self):
        """Otherwise a prefix would be computed at more engines than before."""
        for key in map(str, range(50)):
            chosen = self.choose(make_prompt(key)).record
            self.assertIs(chosen, self.ranked(key)[0])

    def test_prompt_goes_to_the_next_in_order_while_its_home_is_busy(self):
        first, second, third = self.ranked('a')[:3]
        first.load.begin(BUSY_TOKENS)
        self.daemon.roster.note_connect(second, failed=True)
        self.assertIs(self.choose(make_prompt('a')).record, third)

    def test_idle_engine_is_found_when_the_first_in_order_are_busy(self):
        for record in self.ranked('a')[:100]:
            record.load.begin(BUSY_TOKENS)
        for _ in range(50):
            choice = self.choose(make_prompt('a'))
            self.assertEqual(choice.record.load.requests, 0)

    def test_number_of_estimates_is_bounded(self):
        for record in self.by_id.values():
            record.load.begin(BUSY_TOKENS)
        estimated = []
        estimate = self.daemon.chooser._estimate

        def count(*arguments):
            estimated.append(arguments)
            return estimate(*arguments)

        self.daemon.chooser._estimate = count
        self.choose(make_prompt('a'))
        bound = FIRST_IN_ORDER + 1 + SAMPLE_SIZE + WIDE_SAMPLE_SIZE
        self.assertLessEqual(len(estimated), bound)

    def test_prefix_is_copied_from_an_engine_that_leaves(self):
        prompt = make_prompt('a', 'b')
        holder = self.ranked('b')[7]
        self.daemon.chooser.prefix_index.note_read(holder.id, prompt)
        self.daemon.list(replace(holder.listed, state=EndpointState.LEAVING))
        choice = self.choose(prompt)
        self.assertIs(choice.fetch_from, holder)
        self.assertIsNot(choice.record, holder)

    def test_nothing_is_copied_from_an_engine_that_cannot_be_used(self):
        """It is unreachable, gone, or has restarted with an empty cache."""
        prompt = make_prompt('a', 'b')
        holders = self.ranked('b')[7:10]
        for holder in holders:
            self.daemon.chooser.prefix_index.note_read(holder.id, prompt)
        self.daemon.roster.note_connect(holders[0], failed=True)
        self.daemon.roster.apply([(holders[1].id, None)])
        self.daemon.chooser.prefix_index.forget(holders[2].id)
        self.assertIsNone(self.choose(prompt).fetch_from)

    def test_engine_that_leaves_or_is_tried_is_not_chosen(self):
        for _ in range(20):
            home = self.choose(make_prompt('a')).record
            leaving = replace(home.listed, state=EndpointState.LEAVING)
            self.daemon.list(leaving)
            self.assertIsNot(self.choose(make_prompt('a')).record, home)
        tried = [record.id for record in self.ranked('a')[:20]]
        chosen = self.choose(make_prompt('a'), excluding=tried).record
        self.assertNotIn(chosen.id, tried)
        self.assertIsNone(
            self.choose(make_prompt('a'), excluding=list(self.by_id))
        )

    def test_restarted_engine_is_chosen_by_its_new_record(self):
        """A choice of the old record would count load that nobody sees."""
        self.list_engines(0)
        items = [listed(n, service=LLM, incarnation=1000) for n in range(300)]
        self.daemon.list(*items)
        old = self.choose(make_prompt('a')).record
        self.daemon.list(replace(old.listed, incarnation=90_000))
        chosen = self.choose(make_prompt('a')).record
        self.assertIs(chosen, self.by_id[old.id])
        self.assertIsNot(chosen, old)

    def test_entry_that_stays_missing_after_an_outage_is_not_chosen(self):
        """The entries of live engines may lapse while the store is down."""
        home = self.choose(make_prompt('a')).record
        self.daemon.health.note_unanswered('endpoints')
        self.daemon.roster.apply([(home.id, None)])
        self.assertIs(self.choose(make_prompt('a')).record, home)
        self.daemon.health.note_answered('endpoints')
        self.now += RENEWAL_S
        self.assertIsNot(self.choose(make_prompt('a')).record, home)

    def test_engine_whose_service_changes_is_chosen_for_the_new_one(self):
        record = self.daemon.record(0)
        self.daemon.list(replace(record.listed, service=ServiceName('other')))
        members = self.daemon.endpoints
        self.assertNotIn(record, members.records(LLM))
        self.assertIn(record, members.records(ServiceName('other')))

    def test_spread_requests_go_to_engines_drawn_at_random(self):
        """A request that crashed engines would crash its next homes, too."""
        chosen = {
            self.choose(make_prompt('a'), is_spread=True).record.id
            for _ in range(60)
        }
        self.assertGreater(len(chosen), 20)

    def test_unproven_version_gets_nothing_before_its_trial(self):
        """Some of the engines run a version that was only ordered."""
        for number in range(0, 300, 2):
            record = self.daemon.record(number)
            self.daemon.list(replace(record.listed, software='new'))
        order = RolloutOrder(
            service=LLM, version='new', within_s=60.0, number=1
        )
        self.daemon.chooser._rollouts.apply_order(order)
        for key in map(str, range(30)):
            self.assertEqual(
                self.choose(make_prompt(key)).record.listed.software, ''
            )

    def test_few_engines_are_all_compared(self):
        self.list_engines(16)
        best = self.ranked('a')[15]
        for record in self.by_id.values():
            record.load.begin(BUSY_TOKENS)
        best.load.end(1.0)
        self.assertIs(self.choose(make_prompt('a')).record, best)


class TestHashOrder(unittest.TestCase):
    def test_first_endpoints_are_those_of_all_as_the_list_changes(self):
        """A kept order that misses a change moves the home of a prefix."""
        rng, order = random.Random(4), HashOrder()
        ids = {EndpointId(f'i-{n}'): None for n in range(40)}
        for step in range(2000):
            if rng.random() < 0.5 and len(ids) > 2:
                del ids[rng.choice(list(ids))]
            else:
                # Some endpoints come back under the id that they had.
                id_ = EndpointId(f'i-{rng.randrange(30 + step // 10)}')
                if id_ not in ids:
                    ids[id_] = None
                    order.add(id_)
            key = str(rng.randrange(6))
            ranked = sorted(ids, key=lambda each: rendezvous_hash(each, key))
            first = order.first(key, ids)
            self.assertEqual(first, ranked[: len(first)])
            self.assertGreaterEqual(len(first), min(8, len(ids)))


class TestHolders(unittest.TestCase):
    def setUp(self):
        self.index = PrefixCacheIndex(is_current=lambda id_, incarnation: True)

    def holders(self, *shared):
        return list(self.index.holders(make_prompt(*shared)))

    def test_holder_of_the_longest_prefix_comes_first(self):
        self.index.note_read(EndpointId('long'), make_prompt('a', 'b'))
        self.index.note_read(EndpointId('short'), make_prompt('a'))
        self.assertEqual(self.holders('a', 'b')[0], ('long', 1000))
        self.assertIn(('short', 500), self.holders('a', 'b'))

    def test_part_without_the_parts_before_it_is_not_held(self):
        self.index.note_read(EndpointId('one'), make_prompt('x', 'b'))
        self.assertEqual(self.holders('a', 'b'), [])

    def test_forgotten_endpoint_holds_nothing(self):
        self.index.note_read(EndpointId('one'), make_prompt('a'))
        self.index.forget(EndpointId('one'))
        self.assertEqual(self.holders('a'), [])
        self.assertEqual(self.index._holders_by_part, {})

    def test_evicted_part_has_no_holder(self):
        for number in range(prefix_cache_index.MAX_PARTS + 1):
            self.index.note_read(EndpointId('one'), make_prompt(str(number)))
        self.assertEqual(self.holders('0'), [])
        self.assertEqual(len(self.holders('1')), 1)


class TestFailureRate(unittest.TestCase):
    def test_sum_of_peers_is_that_of_their_latest_counts(self):
        """A sum that drifts would call a healthy endpoint unhealthy."""
        rng, health, now, told = random.Random(6), EndpointHealth(), 0.0, {}
        for _ in range(2000):
            now += rng.expovariate(4.0)
            peer = DaemonId(str(rng.randrange(6)))
            ended = rng.randrange(5)
            counts = AnswerCounts(ended=ended, failed=rng.randint(0, ended))
            health.note_peer(peer, counts, now)
            told[peer] = (now, counts)
            current = [
                each for at, each in told.values() if now < at + WINDOW_S
            ]
            ended = sum(each.ended for each in current)
            failed = sum(each.failed for each in current)
            expected = failed / ended if ended >= MIN_ANSWERS else None
            self.assertEqual(health.failure_rate(now), expected)

    def test_own_answers_count_until_they_leave_the_window(self):
        """Failures counted for longer would bar an endpoint that is well."""
        rng, health, now, noted = random.Random(8), EndpointHealth(), 0.0, []
        for _ in range(2000):
            now += rng.expovariate(4.0)
            if rng.random() < 0.7:
                noted.append((now, rng.random() < 0.3))
                health.note(now, failed=noted[-1][1])
            current = [failed for at, failed in noted if at >= now - WINDOW_S]
            self.assertEqual(
                health.own(now),
                AnswerCounts(ended=len(current), failed=sum(current)),
            )
