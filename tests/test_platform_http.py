"""The HTTP adapters towards the platform and the services."""

import contextlib
import pathlib
import unittest
from dataclasses import replace
from unittest import mock

import anyio
import httpx
import yaml
from hypothesis import given, settings
from hypothesis import strategies as st
from mimosamux_daemon.adapters import http_service
from mimosamux_daemon.adapters.http_cloud import HttpCloud
from mimosamux_daemon.adapters.http_object_store import HttpObjectStore
from mimosamux_daemon.adapters.http_platform import (
    PlatformClient,
    Reply,
    parse_reply,
)
from mimosamux_daemon.adapters.http_service import HttpServices
from mimosamux_daemon.adapters.http_table import (
    CommitReply,
    HttpTable,
    RowReply,
)
from mimosamux_daemon.adapters.http_weight_store import HttpWeightStore
from mimosamux_daemon.control.configuration_models import parse_configuration
from mimosamux_daemon.domain.engine import ConnectFailed
from mimosamux_daemon.domain.store import (
    Check,
    Committed,
    Conflict,
    Row,
    Unavailable,
    Write,
)
from mimosamux_daemon.domain.vms import VM, Endpoint, Market
from mimosamux_daemon.domain.work import ServiceCall, WorkClass
from mimosamux_daemon.ports.models.cloud import StartRefused, StartVM
from mimosamux_daemon.ports.models.service import (
    ServiceAnswer,
    ServiceUnanswered,
)
from mimosamux_daemon.settings import parse_settings
from mimosamux_standins.local import LocalFile, local_settings
from mimosamux_standins.platform import PlatformFile, build_platform
from mimosamux_standins.proxy import FaultProxy
from mimosamux_standins.service import Service

from tests.support.http import serving

ROOT = pathlib.Path(__file__).parents[1]
LONG_BYTES = 300_000
"""Size of an answer that needs room."""
WRITE = [Write(key='a/ü', value=b'\xff\x00')]
VM_FIELDS = {
    'id': 'vm1',
    'data_centre': 'd',
    'machine_class': 'standard',
    'market': 'reclaimable',
    'role': 'endpoint',
    'state': 'live',
    'address': '127.0.0.1:1',
}
ORDER = StartVM(
    order_id='o1',
    data_centre='d',
    machine_class='standard',
    market=Market.RECLAIMABLE,
    model='m',
    fencing=1,
)


@contextlib.asynccontextmanager
async def platform():
    """Yield a platform, a client of it and the proxy between them."""
    content = PlatformFile.model_validate(
        {
            'vms': [VM_FIELDS],
            'spares': [{**VM_FIELDS, 'id': 'vm2'}],
            'weights': {'m@1': 5},
        }
    )
    stand_in = build_platform(content)
    async with serving(stand_in.app()) as address, proxied(address) as proxy:
        client = PlatformClient(base_url=f'http://{proxy.address}')
        yield stand_in, client, proxy
        await client.close()


@contextlib.asynccontextmanager
async def proxied(address):
    proxy = FaultProxy(target=address)
    async with anyio.create_task_group() as tasks:
        await tasks.start(proxy.run)
        yield proxy
        tasks.cancel_scope.cancel()


def a_call(path='/slips', **fields):
    return ServiceCall(
        id='r1',
        account='a',
        work_class=WorkClass(
            name='slips', first_token_s=1.0, repeatable=False
        ),
        service='s',
        method='POST',
        path=path,
        headers=(('Connection', 'x-hop'), ('X-Hop', '1'), ('X-End', '2')),
        body=b'slip',
        arrived=0.0,
        idempotency_key='k',
        **fields,
    )


def an_endpoint(address):
    return Endpoint(id='s1', vm='s1', address=address, data_centre='d')


class TestPlatformHttp(unittest.TestCase):
    def test_rows_are_written_under_checks(self):
        async def check():
            async with platform() as (_, client, _):
                table = HttpTable(client=client)
                first = [Check(key='a/ü', version=0)]
                outcome = await table.commit(first, WRITE)
                self.assertEqual(outcome, Committed(versions={'a/ü': 1}))
                row = Row(key='a/ü', value=b'\xff\x00', version=1)
                conflict = Conflict(key='a/ü', found=row)
                self.assertEqual(await table.commit(first, WRITE), conflict)
                self.assertEqual(await table.read('a/ü'), row)
                self.assertIsNone(await table.read('b'))
                self.assertEqual(await table.scan('a/'), (row,))
                self.assertEqual(await table.scan('a/', after='a/ü'), ())

        anyio.run(check)

    def test_a_platform_that_is_down_says_that_nothing_landed(self):
        async def check():
            async with platform() as (stand_in, client, _):
                stand_in.table.faults.down = True
                outcome = await HttpTable(client=client).commit([], WRITE)
                self.assertFalse(outcome.may_have_taken_effect)

        anyio.run(check)

    def test_an_answer_lost_after_the_effect_may_have_landed(self):
        """The write takes effect and the connection is cut.

        A daemon that took this for 'not written' would refuse a call as
        not run although its row stands.
        """

        async def check():
            async with platform() as (stand_in, client, proxy):
                proxy.faults.drop_answers = 1
                outcome = await HttpTable(client=client).commit([], WRITE)
                self.assertTrue(outcome.may_have_taken_effect)
                self.assertIn('a/ü', stand_in.table.rows_by_key)

        anyio.run(check)

    def test_a_refused_connection_landed_nowhere(self):
        async def check():
            client = PlatformClient(base_url='http://127.0.0.1:9')
            outcome = await HttpTable(client=client).commit([], WRITE)
            self.assertFalse(outcome.may_have_taken_effect)
            await client.close()

        anyio.run(check)

    def test_objects_are_stored_whole(self):
        async def check():
            async with platform() as (stand_in, client, _):
                objects = HttpObjectStore(client=client)
                self.assertIsNone(await objects.put('a b/c?', b'\0' * 99))
                self.assertEqual(await objects.get('a b/c?'), b'\0' * 99)
                self.assertIsNone(await objects.get('none'))
                stand_in.objects.down = True
                self.assertIsInstance(await objects.get('x'), Unavailable)

        anyio.run(check)

    def test_vms_are_listed_started_reclaimed_and_stopped(self):
        async def check():
            async with platform() as (stand_in, client, _):
                cloud = HttpCloud(client=client)
                self.assertEqual((await cloud.list_vms())[0].id, 'vm1')
                started = await cloud.start_vm(ORDER)
                self.assertIsInstance(started, VM)
                self.assertEqual(started.order_id, 'o1')
                refused = await cloud.start_vm(ORDER)
                self.assertIsInstance(refused, StartRefused)
                stand_in.cloud.reclaim('vm2', seconds_left=30.0)
                notice = (await cloud.list_notices())[0]
                self.assertEqual(notice.vm, 'vm2')
                self.assertEqual((await cloud.list_vms())[1].state, 'leaving')
                self.assertIsNone(await cloud.stop_vm('vm2'))
                self.assertEqual(len(await cloud.list_vms()), 1)
                again = await cloud.start_vm(ORDER)
                self.assertEqual(again.id, 'vm2')
                self.assertEqual(await cloud.list_prices(), ())

        anyio.run(check)

    def test_weights_have_sizes_and_rates(self):
        async def check():
            async with platform() as (_, client, _):
                weights = HttpWeightStore(client=client)
                self.assertEqual(await weights.size_bytes('m', '1'), 5)
                self.assertIsNone(await weights.size_bytes('m', '2'))
                limits = await weights.limits('d')
                self.assertGreater(limits.bytes_per_s, 0)

        anyio.run(check)

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(
        st.sampled_from([RowReply, CommitReply]),
        st.sampled_from([200, 404, 500]),
        st.one_of(
            st.binary(max_size=40),
            st.sampled_from(
                [b'{}', b'{"row": 1}', b'{"versions": [1]}', b'null']
            ),
        ),
    )
    def test_malformed_answers_are_unavailable(self, kind, status, body):
        """A gateway before the platform answers with a page of its own."""
        parsed = parse_reply(kind, Reply(status=status, body=body))
        self.assertIsInstance(parsed, Unavailable)

    def test_a_service_gets_the_call_without_connection_headers(self):
        async def check():
            service, services = Service(), HttpServices()
            seen = []
            app = service.app()

            async def spy(scope, receive, send):
                seen.extend(scope.get('headers', ()))
                await app(scope, receive, send)

            async with serving(spy) as address:
                answer = await services.call(
                    an_endpoint(address), a_call('a b?x=1')
                )
                self.assertIsInstance(answer, ServiceAnswer)
            self.assertEqual(service.runs[0].path, '/a b')
            self.assertEqual(service.runs[0].key, 'k')
            names = {name for name, _ in seen}
            self.assertIn(b'x-end', names)
            self.assertNotIn(b'x-hop', names)
            await services.close()

        anyio.run(check)

    def test_a_service_that_is_not_there_got_no_byte(self):
        async def check():
            services = HttpServices()
            answer = await services.call(an_endpoint('127.0.0.1:9'), a_call())
            self.assertIsInstance(answer, ConnectFailed)
            await services.close()

        anyio.run(check)

    def test_a_cut_answer_may_have_run(self):
        """The service runs the call and the answer breaks off.

        Sent again, the call would run twice.
        """

        async def check():
            service, services = Service(), HttpServices()
            async with (
                serving(service.app()) as address,
                proxied(address) as proxy,
            ):
                service.faults.cut_next = 1
                endpoint = an_endpoint(proxy.address)
                cut = await services.call(endpoint, a_call())
                self.assertIsInstance(cut, ServiceUnanswered)
                proxy.faults.drop_answers = 1
                dropped = await services.call(endpoint, a_call())
                self.assertIsInstance(dropped, ServiceUnanswered)
                self.assertEqual(len(service.runs), 2)
            await services.close()

        anyio.run(check)

    # Guards against long answers that are read while callers hold too much.
    def test_long_answer_waits_for_room(self):
        async def check():
            service, services = Service(), HttpServices()
            asked = []

            def hold(size):
                asked.append(size)
                return len(asked) > 2

            call = replace(
                a_call(f'/long?answer_bytes={LONG_BYTES}'), ask_room=hold
            )
            async with serving(service.app()) as address:
                answer = await services.call(an_endpoint(address), call)
            self.assertEqual(len(answer.body), LONG_BYTES)
            self.assertEqual(len(asked), 3)
            self.assertGreaterEqual(min(asked), LONG_BYTES)
            await services.close()

        anyio.run(check)

    # Guards against a call that waits for room until its caller has left.
    def test_long_answer_without_room_counts_as_none(self):
        async def check():
            service, services = Service(), HttpServices()
            call = replace(
                a_call(f'/long?answer_bytes={LONG_BYTES}'),
                ask_room=lambda size: False,
            )
            async with serving(service.app()) as address:
                answer = await services.call(an_endpoint(address), call)
            self.assertIsInstance(answer, ServiceUnanswered)
            await services.close()

        with mock.patch.object(http_service, 'ROOM_WAIT_S', 0.1):
            anyio.run(check)

    def test_control_routes_change_the_faults(self):
        async def check():
            async with platform() as (stand_in, client, _):
                async with httpx.AsyncClient(base_url=client.base_url) as web:
                    for path, body in (
                        ('table', {'down': True}),
                        ('objects', {'down': True}),
                        ('cloud', {'down': True}),
                        ('vms', {'vm': {**VM_FIELDS, 'id': 'vm3'}}),
                        ('notices', {'vm': 'vm3', 'seconds_left': 9}),
                    ):
                        answer = await web.post(f'/control/{path}', json=body)
                        self.assertEqual(answer.status_code, 204)
                    shown = (await web.get('/control')).json()
                self.assertTrue(shown['table']['down'])
                self.assertEqual(stand_in.cloud.by_id['vm3'].state, 'leaving')

        anyio.run(check)

    def test_the_local_example_can_be_started(self):
        text = (ROOT / 'examples' / 'local.yaml').read_text()
        content = LocalFile.model_validate(yaml.safe_load(text))
        parse_configuration(content.configuration, version=1)
        daemon = content.daemons[0]
        written = local_settings(
            daemon, content, '127.0.0.1:1', {daemon.id: '127.0.0.1:2'}
        )
        settings = parse_settings(yaml.safe_dump(written))
        self.assertEqual(settings.peer_port, 2)
