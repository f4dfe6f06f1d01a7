"""The operator API of a daemon, with others beside it."""

import contextlib
import hashlib
import unittest

import anyio
import httpx
from mimosamux_daemon.api.operators import MAX_BODY_BYTES, OperatorRoutes
from mimosamux_daemon.control.audit_trail import AuditTrail
from starlette.applications import Starlette

from tests.support.clock import run_paused
from tests.support.cluster import Cluster

SIZES = {'one': 2, 'two': 2}
SET = {'operation': 'operation-1', 'path': 'classes.draft.first_token_s'}


def digest(token):
    return hashlib.sha256(token.encode()).hexdigest()


@contextlib.asynccontextmanager
async def client_of(node, token='writer'):
    drained = []
    routes = OperatorRoutes(
        roles_by_digest={digest('writer'): 'write', digest('reader'): 'read'},
        replica=node.replica,
        acceptor=node.acceptor,
        log=node.log,
        membership=node.membership,
        audit=AuditTrail(table=node.cluster.store.table),
        drain=lambda: drained.append(True),
        endpoints=lambda: [{'endpoint': 'e1', 'state': 'serving'}],
    )
    transport = httpx.ASGITransport(Starlette(routes=routes.routes()))
    async with httpx.AsyncClient(
        transport=transport,
        base_url='http://daemon/v1/operator',
        headers={'Authorization': f'Bearer {token}'},
    ) as client:
        client.drained = drained
        yield client


def run_client(check, token='writer'):
    async def main():
        cluster = Cluster(SIZES)
        async with (
            cluster.running(),
            client_of(cluster.nodes[0], token) as client,
        ):
            await check(cluster, client)

    run_paused(main)


class TestOperators(unittest.TestCase):
    def test_change_is_accepted_waited_for_and_in_the_history(self):
        async def check(cluster, client):
            answer = await client.post(
                '/configuration/set', json={**SET, 'value': 4.0, 'why': 'w'}
            )
            self.assertEqual(
                answer.json(), {'outcome': 'accepted', 'version': 2}
            )
            start = anyio.current_time()
            answer = await client.get('/configuration/wait?version=2')
            self.assertEqual(answer.status_code, 200, answer.text)
            self.assertLess(anyio.current_time() - start, 7)
            for node in cluster.nodes:
                self.assertEqual(node.in_force.current.version, 2)
            answer = await client.get('/configuration')
            draft = answer.json()['document']['classes']['draft']
            self.assertEqual(draft['first_token_s'], 4.0)
            answer = await client.get('/configuration/history?limit=1')
            change = answer.json()['versions'][0]['changes'][0]
            self.assertEqual(change['who'], f'operator {digest("writer")[:8]}')

        run_client(check)

    # Guards against a change that is refused as wrong for its size alone.
    def test_body_above_the_limit_is_refused_by_its_size(self):
        async def check(cluster, client):
            answer = await client.post(
                '/configuration/set', content=b' ' * (MAX_BODY_BYTES + 1)
            )
            self.assertEqual(answer.status_code, 413)
            self.assertIn('larger', answer.text)

        run_client(check)

    def test_wait_names_who_is_behind(self):
        async def check(cluster, client):
            answer = await client.get(
                '/configuration/wait?version=9&timeout_s=3'
            )
            self.assertEqual(answer.status_code, 504)
            self.assertIn('one-2', answer.json()['behind'])

        run_client(check)

    def test_conflict_shows_who_changed_what(self):
        """Two operators apply whole documents that start from version 1.

        The later one sees who was first and what that one changed.
        """

        async def check(cluster, client):
            await client.post('/configuration/set', json={**SET, 'value': 4})
            answer = await client.post(
                '/configuration/apply',
                json={
                    'operation': 'operation-2',
                    'document': {},
                    'expected_version': 1,
                },
            )
            self.assertEqual(answer.status_code, 409)
            changes = answer.json()['changes']
            self.assertEqual(changes[0]['paths'], [SET['path']])

        run_client(check)

    def test_wrong_field_is_named(self):
        async def check(cluster, client):
            answer = await client.post(
                '/configuration/set', json={**SET, 'value': 'soon'}
            )
            self.assertEqual(answer.status_code, 422)
            self.assertEqual(answer.json()['path'], SET['path'])
            for body, path in (
                ({**SET, 'value': 1, 'expected_version': -1}, 'expected'),
                ({**SET, 'value': 1, 'weights': 2}, 'weights'),
                ({'operation': 'short'}, 'operation'),
            ):
                answer = await client.post('/configuration/set', json=body)
                self.assertEqual(answer.status_code, 400)
                self.assertIn(path, answer.json()['path'])
            answer = await client.post('/configuration/set', content=b'{')
            self.assertEqual(answer.status_code, 400)
            answer = await client.get('/audit?kind=nothing')
            self.assertEqual(answer.json()['path'], 'kind')

        run_client(check)

    def test_store_outage_is_said_as_it_is(self):
        """The table is down while an operator changes something.

        The answer says that nothing was changed and when to come back.
        """

        async def check(cluster, client):
            cluster.store.table.faults.down = True
            answer = await client.post(
                '/configuration/set', json={**SET, 'value': 4}
            )
            self.assertEqual(answer.status_code, 503)
            self.assertEqual(answer.json()['outcome'], 'not_made')
            self.assertIn('retry-after', answer.headers)
            answer = await client.get('/audit')
            self.assertEqual(answer.status_code, 503)

        run_client(check)

    def test_reading_token_changes_nothing(self):
        async def check(cluster, client):
            for path in ('configuration/set', 'configuration/apply', 'drain'):
                answer = await client.post(f'/{path}', json={})
                self.assertEqual(answer.status_code, 403)
            answer = await client.get('/status')
            self.assertEqual(len(answer.json()['daemons']), 4)
            self.assertEqual(answer.json()['endpoints'][0]['endpoint'], 'e1')
            client.headers['Authorization'] = 'Bearer guess'
            answer = await client.get('/status')
            self.assertEqual(answer.status_code, 401)

        run_client(check, 'reader')

    def test_audit_is_filtered_and_paged(self):
        async def check(cluster, client):
            for number in range(5):
                await client.post(
                    '/configuration/set',
                    json={
                        **SET,
                        'operation': f'operation-{number}',
                        'value': 1 + number,
                    },
                )
                await anyio.sleep(1)
            ids, after = [], ''
            while True:
                answer = await client.get(
                    '/audit',
                    params={'limit': 2, 'who': 'operator', 'after': after},
                )
                ids += [item['id'] for item in answer.json()['entries']]
                after = answer.json()['next']
                if not after:
                    break
            self.assertEqual(ids, [f'operation-{n}' for n in range(5)])
            answer = await client.get('/audit?kind=lease')
            self.assertEqual(answer.json()['entries'], [])

        run_client(check)

    def test_drain_is_handed_to_the_daemon(self):
        async def check(cluster, client):
            answer = await client.post('/drain')
            self.assertEqual(answer.status_code, 202)
            self.assertEqual(client.drained, [True])

        run_client(check)
