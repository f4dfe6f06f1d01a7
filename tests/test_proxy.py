"""The proxy that injects faults between real sockets."""

import unittest

import anyio
import httpx
from mimosamux_standins.proxy import FaultProxy, ProxyControl, ProxyFaults
from mimosamux_standins.service import Service

from tests.support.http import serving

TIMEOUT_S = 0.2
"""Where nothing is to arrive."""
ANSWER_TIMEOUT_S = 10.0
"""Where an answer is to arrive; no test checks when."""


class TestProxy(unittest.TestCase):
    def play(self, faults, check, *, timeout_s=TIMEOUT_S):
        async def run():
            service = Service()
            async with serving(service.app()) as address:
                proxy = FaultProxy(target=address, faults=faults)
                async with anyio.create_task_group() as tasks:
                    await tasks.start(proxy.run)
                    async with httpx.AsyncClient(
                        base_url=f'http://{proxy.address}', timeout=timeout_s
                    ) as client:
                        await check(client, service, proxy)
                    tasks.cancel_scope.cancel()

        anyio.run(run)

    def expect(self, error, runs, faults):
        async def check(client, service, proxy):
            with self.assertRaises(error):
                await client.post('/a')
            self.assertEqual(len(service.runs), runs)

        self.play(faults, check)

    def test_data_gets_through_without_faults(self):
        async def check(client, service, proxy):
            answer = await client.post('/a')
            self.assertEqual(answer.json(), {'run': 1, 'path': '/a'})
            await proxy.cut()
            self.assertEqual((await client.post('/a')).json()['run'], 2)
            self.assertEqual(proxy.accepted, 2)

        self.play(ProxyFaults(), check, timeout_s=ANSWER_TIMEOUT_S)

    def test_a_dropped_answer_comes_after_the_effect(self):
        self.expect(httpx.RemoteProtocolError, 1, ProxyFaults(drop_answers=1))

    def test_a_half_open_connection_takes_requests_only(self):
        self.expect(httpx.ReadTimeout, 1, ProxyFaults(half_open=True))

    def test_a_black_hole_takes_nothing(self):
        self.expect(httpx.ReadTimeout, 0, ProxyFaults(blackhole=True))

    def test_a_refused_connection_is_closed(self):
        self.expect(httpx.HTTPError, 0, ProxyFaults(refuse=True))

    def test_a_delay_holds_data_back(self):
        self.expect(httpx.ReadTimeout, 0, ProxyFaults(delay_s=1.0))

    def test_faults_are_set_over_http(self):
        async def check(client, service, proxy):
            app = ProxyControl(proxy=proxy).app()
            async with (
                serving(app) as address,
                httpx.AsyncClient(base_url=f'http://{address}') as control,
            ):
                await control.post('/control', json={'half_open': True})
                shown = (await control.get('/control')).json()
            self.assertTrue(shown['half_open'])
            self.assertTrue(proxy.faults.half_open)

        self.play(ProxyFaults(), check)
