"""Calls of plain services through the HTTP routes."""

import contextlib
import types
import unittest
from unittest import mock

import anyio
import httpx
from mimosamux_daemon.adapters.memory_object_store import MemoryObjectStore
from mimosamux_daemon.adapters.memory_service import MemoryServices
from mimosamux_daemon.adapters.memory_table import MemoryTable
from mimosamux_daemon.api import bodies
from mimosamux_daemon.api import services as api
from mimosamux_daemon.api.accounts import digest_key
from mimosamux_daemon.api.services import ServiceRoutes
from mimosamux_daemon.control.configuration import ConfigurationInForce
from mimosamux_daemon.control.configuration_models import parse_configuration
from mimosamux_daemon.domain.vms import Endpoint
from mimosamux_daemon.metrics import Metrics
from mimosamux_daemon.serving.admission import Admission
from mimosamux_daemon.serving.fleet import Fleet
from mimosamux_daemon.serving.repeatable_calls import RepeatableCalls
from mimosamux_daemon.serving.retries import RetryBudget
from mimosamux_daemon.serving.routing import Router
from mimosamux_daemon.serving.service_calls import (
    CountedServices,
    ServiceCalls,
)
from mimosamux_daemon.serving.side_effects import SideEffects
from starlette.applications import Starlette

from tests.support.http import serving

CONFIGURATION = {
    'classes': {
        'lookups': {'first_token_s': 1.0},
        'slips': {'first_token_s': 1.0, 'repeatable': False},
    },
    'accounts': {'a': {'key_digests': [digest_key('key')], 'max_open': 2}},
    'services': {'mail': {'work_class': 'slips'}},
}


class NobodyIsDead:
    def is_dead(self, daemon, incarnation):
        return False


class Fixture:
    """One daemon's serving of services, over fakes at its ports."""

    def __init__(self):
        self.services = MemoryServices()
        self.table = MemoryTable()
        self.fleet = Fleet()
        for name in ('s1', 's2'):
            self.fleet.add(
                Endpoint(
                    id=name,
                    vm=name,
                    address='',
                    data_centre='d',
                    service='mail',
                )
            )
        router = Router(fleet=self.fleet)

        def choose(service, excluding):
            return router.choose_service(service, excluding=excluding)

        counted = CountedServices(services=self.services, fleet=self.fleet)
        self.side_effects = SideEffects(
            table=self.table,
            objects=MemoryObjectStore(),
            services=counted,
            choose=choose,
            liveness=NobodyIsDead(),
            daemon='d1',
            incarnation=1,
            wall_clock=lambda: 0.0,
        )
        in_force = ConfigurationInForce()
        in_force.update(parse_configuration(CONFIGURATION, version=1))
        self.routes = ServiceRoutes(
            in_force=in_force,
            calls=ServiceCalls(
                side_effects=self.side_effects,
                repeatable=RepeatableCalls(
                    services=counted, choose=choose, budget=RetryBudget()
                ),
                admission=Admission(),
                metrics=Metrics(),
            ),
        )

    @contextlib.asynccontextmanager
    async def client(self):
        app = Starlette(routes=self.routes.routes())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.side_effects.run)
            async with (
                serving(app) as address,
                httpx.AsyncClient(
                    base_url=f'http://{address}/v1/services/mail',
                    headers={'Authorization': 'Bearer key'},
                ) as client,
            ):
                yield client
            tasks.cancel_scope.cancel()


class TestServicesApi(unittest.TestCase):
    def play(self, check):
        async def run():
            fixture = Fixture()
            async with fixture.client() as client:
                await check(fixture, client)

        anyio.run(run)

    def expect(self, status, text, path='/send', **request):
        async def check(fixture, client):
            answer = await client.post(path, **request)
            self.assertEqual(answer.status_code, status, answer.text)
            self.assertIn(text, answer.text)
            self.assertTrue(answer.json()['not_run'])
            self.assertEqual(fixture.services.runs, [])

        self.play(check)

    def test_a_call_gets_the_same_answer_again(self):
        async def check(fixture, client):
            headers = {'Idempotency-Key': 'k', 'X-Thing': '1'}
            for _ in range(2):
                answer = await client.post(
                    '/a%2Fb?x=1', content=b'slip', headers=headers
                )
                self.assertEqual(answer.content, b'run 1: slip')
                self.assertIn('x-mimosamux-request', answer.headers)
            call = fixture.services.runs[0].call
            self.assertEqual(call.path, '/a%2Fb?x=1')
            names = {name for name, _ in call.headers}
            self.assertIn('x-thing', names)
            self.assertNotIn('authorization', names)
            self.assertEqual(len(fixture.services.runs), 1)

        self.play(check)

    def test_a_missing_key_is_named(self):
        self.expect(400, 'Idempotency-Key')

    def test_an_unknown_class_is_named(self):
        self.expect(400, 'lookups', headers={'X-Mimosamux-Class': 'none'})

    def test_a_body_above_the_limit_is_refused(self):
        self.expect(413, 'bytes', content=b'x' * (api.MAX_BODY_BYTES + 1))

    # Guards against a slow body that is told that it can't be sent again.
    def test_a_body_that_does_not_come_in_time_is_refused(self):
        async def parts():
            yield b'x'
            await anyio.sleep(1.0)

        with mock.patch.object(bodies, 'BODY_TIMEOUT_S', 0.1):
            self.expect(408, 'in time', content=parts())

    def test_an_unknown_key_of_an_account_is_refused(self):
        self.expect(401, 'Bearer', headers={'Authorization': 'Bearer x'})

    def test_an_unknown_service_is_refused(self):
        async def check(fixture, client):
            url = str(client.base_url).replace('mail', 'none') + 'send'
            answer = await client.post(url)
            self.assertEqual(answer.status_code, 404)

        self.play(check)

    def test_a_key_with_another_body_is_a_conflict(self):
        async def check(fixture, client):
            headers = {'Idempotency-Key': 'k'}
            await client.post('/send', content=b'1', headers=headers)
            answer = await client.post('/send', content=b'2', headers=headers)
            self.assertEqual(answer.status_code, 422)

        self.play(check)

    def test_an_outage_refuses_first_calls_and_leaves_others_in_doubt(self):
        """The store is down; the client says whether it sent the key."""

        async def check(fixture, client):
            fixture.table.faults.down = True
            for attempt, not_run in (('1', True), ('2', False)):
                answer = await client.post(
                    '/send',
                    headers={
                        'Idempotency-Key': 'k',
                        'X-Mimosamux-Attempt': attempt,
                    },
                )
                self.assertEqual(answer.json()['not_run'], not_run)
                self.assertIn('retry-after', answer.headers)
            self.assertEqual(fixture.services.runs, [])

        self.play(check)

    def test_a_repeatable_call_is_sent_again_after_a_cut(self):
        async def check(fixture, client):
            fixture.services.faults.cut_next = 1
            answer = await client.get(
                '/find', headers={'X-Mimosamux-Class': 'lookups'}
            )
            self.assertEqual(answer.status_code, 200)
            ran_at = {run.endpoint for run in fixture.services.runs}
            self.assertEqual(ran_at, {'s1', 's2'})

        self.play(check)

    def test_a_repeatable_call_that_ran_unanswered_is_not_said_not_run(self):
        """Every endpoint runs the call and cuts its connection."""

        async def check(fixture, client):
            fixture.services.faults.cut_next = 9
            answer = await client.get(
                '/find', headers={'X-Mimosamux-Class': 'lookups'}
            )
            self.assertEqual(answer.status_code, 502)
            self.assertFalse(answer.json()['not_run'])

        self.play(check)

    def test_a_repeatable_call_that_nobody_took_did_not_run(self):
        async def check(fixture, client):
            fixture.services.faults.refuse_connects = frozenset({'s1', 's2'})
            answer = await client.get(
                '/find', headers={'X-Mimosamux-Class': 'lookups'}
            )
            self.assertEqual(answer.status_code, 503)
            self.assertTrue(answer.json()['not_run'])

        self.play(check)

    def test_an_account_with_too_many_open_calls_is_refused(self):
        async def check(fixture, client):
            configuration = fixture.routes.in_force.current
            lookups = configuration.classes['lookups']
            for name in ('r1', 'r2'):
                fixture.routes.calls.admission.acquire(
                    configuration.accounts['a'],
                    types.SimpleNamespace(id=name, work_class=lookups),
                )
            for name, not_run in (('lookups', True), ('slips', False)):
                answer = await client.get(
                    '/find',
                    headers={
                        'X-Mimosamux-Class': name,
                        'Idempotency-Key': 'k',
                    },
                )
                self.assertEqual(answer.json()['not_run'], not_run)
            self.assertEqual(fixture.services.runs, [])

        self.play(check)
