"""Endpoints are spread over daemons, which share what they see."""

import random
import unittest
from collections import Counter

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st
from mimosamux_daemon.control.cache_changes import (
    find_sampling_mask,
    pack_keys,
    unpack_keys,
)
from mimosamux_daemon.control.endpoint_assignment import assign_endpoints
from mimosamux_daemon.control.ownership import Ownership
from mimosamux_daemon.domain.engine import CacheEvent
from mimosamux_daemon.domain.names import (
    AccountId,
    DaemonId,
    EndpointId,
    RequestId,
)
from mimosamux_daemon.serving.fair_shares import FairShares
from mimosamux_daemon.serving.fleet import SUSPECT_AFTER, PromptWork
from mimosamux_daemon.serving.prefix_cache import hash_prompt

from tests.support.clock import run_paused
from tests.support.fleets import make_fleet, make_report
from tests.support.peers import FakeMembers, Network
from tests.support.reports import ReportingEngines

DAEMONS = ['d0', 'd1', 'd2']


class Group:
    """Three daemons of a data centre over the same endpoints."""

    def __init__(self, endpoints=6):
        self.network = Network()
        self.engines = ReportingEngines()
        self.members = FakeMembers({'riga-1': list(DAEMONS)})
        self.fleets = {name: make_fleet(endpoints) for name in DAEMONS}
        self.scopes = {}
        self.shares = {name: FairShares(window_s=5.0) for name in DAEMONS}
        self.parts = {
            name: Ownership(
                daemon=DaemonId(name),
                data_centre='riga-1',
                fleet=fleet,
                engines=self.engines,
                peers=self.network.join(name),
                members=self.members,
                shares=self.shares[name],
                rng=random.Random(name),
            )
            for name, fleet in self.fleets.items()
        }

    async def run(self, check):
        async with anyio.create_task_group() as tasks:
            for name, part in self.parts.items():
                self.scopes[name] = anyio.CancelScope()
                tasks.start_soon(self._run, part, self.scopes[name])
            await anyio.sleep(0.01)
            await check()
            tasks.cancel_scope.cancel()

    async def _run(self, part, scope):
        with scope:
            await part.run()

    def owner(self, endpoint):
        ids = self.fleets['d0'].by_id
        return assign_endpoints(ids, DAEMONS)[EndpointId(endpoint)][0]

    def others(self, endpoint):
        return [name for name in DAEMONS if name != self.owner(endpoint)]

    def load(self, daemon, endpoint):
        return self.fleets[daemon].by_id[EndpointId(endpoint)].load


class TestSpread(unittest.TestCase):
    def test_endpoints_are_spread_evenly_and_move_only_if_they_must(self):
        daemons = [DaemonId(f'd{number}') for number in range(11)]
        ids = [EndpointId(f'e{number}') for number in range(375)]
        before = assign_endpoints(ids, daemons)
        counts = Counter(owner for (owner,) in before.values())
        self.assertEqual(set(counts.values()), {34, 35})
        after = assign_endpoints(ids, daemons[1:])
        moved = [
            id_
            for id_ in ids
            if daemons[0] not in before[id_] and before[id_] != after[id_]
        ]
        self.assertLess(len(moved), 375 / 4)

    def test_every_daemon_watches_one_where_endpoints_are_few(self):
        daemons = [DaemonId(f'd{number}') for number in range(9)]
        ids = [EndpointId(f'e{number}') for number in range(6)]
        owners = assign_endpoints(ids, daemons)
        watchers = [name for names in owners.values() for name in names]
        self.assertEqual(set(watchers), set(daemons))
        for names in owners.values():
            self.assertLessEqual(len(set(names)), 2)

    def test_each_endpoint_is_watched_once_and_again_when_its_owner_dies(
        self,
    ):
        """The daemon that watches an endpoint is killed.

        Without another watcher its reports would end, and requests would
        be sent there by a view that grows old.
        """
        group = Group()

        async def check():
            names = [f'e{number}' for number in range(6)]
            self.assertEqual([*map(group.engines.watchers, names)], [1] * 6)
            group.scopes['d0'].cancel()
            group.members.set('riga-1', ['d1', 'd2'])
            await anyio.sleep(0.01)
            self.assertEqual([*map(group.engines.watchers, names)], [1] * 6)

        run_paused(group.run, check)

    def test_broken_stream_is_opened_again_after_a_pause(self):
        group = Group()

        async def check():
            group.engines.break_streams('e0')
            await anyio.sleep(0.01)
            self.assertEqual(group.engines.watchers('e0'), 0)
            await anyio.sleep(5)
            self.assertEqual(group.engines.watchers('e0'), 1)

        run_paused(group.run, check)

    def test_silent_stream_is_opened_again(self):
        """A link is half open: nothing comes and nothing fails.

        The load of the endpoint would stay what it was for good.
        """
        group = Group(endpoints=1)

        async def check():
            await anyio.sleep(60)
            self.assertGreater(len(group.engines.opened), 3)

        run_paused(group.run, check)

    def test_dead_endpoint_that_has_reported_is_suspected(self):
        group = Group(endpoints=1)
        group.engines.first_by_id['e0'] = [make_report('e0')]

        async def check():
            group.engines.dead.add('e0')
            group.engines.break_streams('e0')
            await anyio.sleep(3)
            fleet = group.fleets[group.owner('e0')]
            state = fleet.by_id[EndpointId('e0')]
            self.assertGreaterEqual(state.failed_connects, SUSPECT_AFTER)

        run_paused(group.run, check)


class TestDigests(unittest.TestCase):
    def test_reports_reach_every_daemon_within_two_seconds(self):
        group = Group()

        async def check():
            group.engines.report(
                make_report('e0', queued_prefill_tokens=50_000, running=7)
            )
            await anyio.sleep(2)
            for name in DAEMONS:
                load = group.load(name, 'e0')
                self.assertEqual(load.report.running, 7)
                self.assertEqual(load.slots, 16)
                self.assertAlmostEqual(load.reported_at, -0.49, delta=0.01)

        run_paused(group.run, check)

    def test_sends_of_one_daemon_count_at_the_others(self):
        group = Group()

        async def check():
            group.fleets['d0'].note_sent(
                EndpointId('e0'),
                RequestId('r'),
                1,
                work=PromptWork(tokens=80_000),
            )
            await anyio.sleep(2)
            now = anyio.current_time()
            for name in ('d1', 'd2'):
                load = group.load(name, 'e0')
                self.assertGreaterEqual(load.estimate(now).occupied, 1)
                self.assertGreater(load.estimate(now).backlog_s, 5)

        run_paused(group.run, check)

    def test_use_of_accounts_reaches_the_others(self):
        group = Group()

        async def check():
            account = AccountId('large')
            here = group.shares['d0']
            here.note_offered(account, share=2.0, tokens=500, now=0.0)
            here.note_admitted(account, tokens=400)
            await anyio.sleep(1.5)
            for name in ('d1', 'd2'):
                shares = group.shares[name]
                now = anyio.current_time()
                shares.note_offered(account, share=2.0, tokens=1, now=now)
                self.assertTrue(shares.is_over(account))

        run_paused(group.run, check)

    def test_cache_changes_reach_the_others_and_gaps_bring_doubt(self):
        group = Group()
        blocks = hash_prompt(b'p' * 2048)

        async def check():
            other = group.fleets[group.others('e0')[0]].cache
            group.engines.report(
                CacheEvent(
                    endpoint='e0', sequence=1, stored=blocks, snapshot=True
                )
            )
            await anyio.sleep(2)
            self.assertEqual(len(other.keys('e0')), 8)
            self.assertFalse(other.has_event_gap('e0'))
            group.engines.report(
                CacheEvent(endpoint='e0', sequence=5, evicted=blocks[4:])
            )
            await anyio.sleep(2)
            self.assertEqual(len(other.keys('e0')), 4)
            self.assertTrue(other.has_event_gap('e0'))

        run_paused(group.run, check)

    def test_daemon_cut_off_for_a_while_gets_a_full_digest(self):
        """Links to one daemon are cut while the engine's cache changes.

        It would go on without the blocks stored meanwhile, and compute
        prompts again that an engine holds.
        """
        group = Group()
        blocks = hash_prompt(b'p' * 2048)

        async def check():
            await anyio.sleep(3)
            cut = group.others('e0')[0]
            group.network.cut.add(cut)
            group.engines.report(
                CacheEvent(
                    endpoint='e0', sequence=1, stored=blocks, snapshot=True
                )
            )
            await anyio.sleep(5)
            cache = group.fleets[cut].cache
            self.assertEqual(cache.keys('e0'), ())
            group.network.cut.clear()
            await anyio.sleep(3)
            self.assertEqual(len(cache.keys('e0')), 8)

        run_paused(group.run, check)

    @settings(derandomize=True, deadline=None, max_examples=50)
    @given(st.lists(st.integers(0, 2**40 - 1), unique=True, max_size=200))
    def test_keys_come_back_from_their_bytes(self, keys):
        self.assertEqual(unpack_keys(pack_keys(keys)), keys)
        mask = find_sampling_mask(keys, 20)
        self.assertLessEqual(len([k for k in keys if not k & mask]), 20)
