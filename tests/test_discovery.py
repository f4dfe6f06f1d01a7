"""Which addresses callers are given."""

import unittest
from collections import Counter

import anyio
import httpx
from mimosamux_daemon.api.discovery import DiscoveryRoutes
from mimosamux_daemon.control.discovery import (
    LEAVE_PROPAGATION_S,
    Discovery,
)
from starlette.applications import Starlette

from tests.support.clock import run_paused
from tests.support.cluster import Cluster

SIZES = {'one': 3, 'two': 3, 'three': 3}
TTL_S = 30.0


def run_cluster(check):
    async def main():
        cluster = Cluster(SIZES)
        async with cluster.running():
            await check(cluster)

    run_paused(main)


def ask(node, account, caller=''):
    discovery = Discovery(membership=node.membership, ttl_s=TTL_S)
    return [
        item.address.removesuffix(':8080')
        for item in discovery.addresses_for(account, caller).addresses
    ]


class TestDiscovery(unittest.TestCase):
    def test_accounts_are_spread_near_first(self):
        async def check(cluster):
            node = cluster.nodes_by_name['two-1']
            answers = [ask(node, f'account-{n}') for n in range(900)]
            firsts = Counter(answer[0] for answer in answers)
            self.assertEqual(set(firsts), {'two-1', 'two-2', 'two-3'})
            self.assertLess(max(firsts.values()), 375)
            self.assertEqual(answers[0], ask(node, 'account-0'))

        run_cluster(check)

    def test_hosts_of_one_large_account_are_spread(self):
        """One account sends nearly everything, from many hosts.

        They must not all connect to the same daemon.
        """

        async def check(cluster):
            node = cluster.nodes_by_name['two-1']
            firsts = Counter(
                ask(node, 'large', f'10.0.0.{host}')[0] for host in range(90)
            )
            self.assertEqual(set(firsts), {'two-1', 'two-2', 'two-3'})
            self.assertLess(max(firsts.values()), 50)

        run_cluster(check)

    def test_nearly_full_daemon_is_named_last(self):
        async def check(cluster):
            node = cluster.nodes_by_name['two-1']
            cluster.nodes_by_name['two-2'].membership._load = lambda: 950
            await anyio.sleep(2)
            for number in range(50):
                near = ask(node, f'account-{number}')[:3]
                self.assertEqual(near[2], 'two-2')

        run_cluster(check)

    def test_losing_any_data_centre_leaves_an_address(self):
        """A data centre goes at once, the one that gave the answer too.

        A caller that still holds an answer finds an address in it.
        """

        async def check(cluster):
            for node in cluster.nodes:
                for number in range(20):
                    answer = ask(node, f'account-{number}')
                    for centre in SIZES:
                        left = [
                            name
                            for name in answer
                            if not name.startswith(f'{centre}-')
                        ]
                        self.assertTrue(left)

        run_cluster(check)

    def test_leaving_and_suspected_daemons_are_not_handed_out(self):
        """One daemon is about to stop and another died without a word.

        Callers who ask are sent to neither, wherever they ask.
        """

        async def check(cluster):
            leaving = cluster.nodes_by_name['one-1']
            await leaving.membership.leave()
            cluster.kill('one-2')
            await anyio.sleep(LEAVE_PROPAGATION_S + 4)
            for node in cluster.nodes:
                for number in range(20):
                    answer = ask(node, f'account-{number}')
                    self.assertFalse({'one-1', 'one-2'} & set(answer))

        run_cluster(check)

    def test_drain_lasts_until_old_answers_have_run_out(self):
        """A daemon says that it leaves while answers with it are held.

        Once its drain is over, no answer that is still valid names it,
        so no caller finds a closed door.
        """

        async def check(cluster):
            leaving = cluster.nodes_by_name['one-1']
            discovery = Discovery(membership=leaving.membership, ttl_s=TTL_S)
            self.assertIsNone(discovery.drained_at)
            await leaving.membership.leave()
            last_named = 0.0
            while anyio.current_time() < discovery.drained_at:
                for node in cluster.nodes:
                    for number in range(5):
                        if 'one-1' in ask(node, f'account-{number}'):
                            last_named = anyio.current_time()
                await anyio.sleep(0.1)
            self.assertLessEqual(last_named + TTL_S, discovery.drained_at)

        run_cluster(check)

    def test_last_daemon_still_names_itself(self):
        """Everybody is leaving. An address that serves beats none."""

        async def check(cluster):
            for node in cluster.nodes:
                await node.membership.leave()
            await anyio.sleep(6)
            self.assertTrue(ask(cluster.nodes[0], 'account'))

        run_cluster(check)

    def test_route_wants_the_accounts_key(self):
        async def check(cluster):
            node = cluster.nodes[0]
            routes = DiscoveryRoutes(
                in_force=node.in_force,
                discovery=Discovery(membership=node.membership, ttl_s=TTL_S),
            )
            transport = httpx.ASGITransport(Starlette(routes=routes.routes()))
            async with httpx.AsyncClient(
                transport=transport, base_url='http://daemon'
            ) as client:
                answer = await client.get('/v1/entry-addresses')
                self.assertEqual(answer.status_code, 401)
                answer = await client.get(
                    '/v1/entry-addresses',
                    headers={'Authorization': 'Bearer school-key'},
                )
                self.assertEqual(answer.json()['ttl_s'], TTL_S)
                self.assertEqual(len(answer.json()['addresses']), 6)

        run_cluster(check)
