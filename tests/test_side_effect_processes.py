"""Calls that may not be repeated, through real processes that fail."""

import contextlib
import pathlib
import signal
import tempfile
import unittest

import anyio
import httpx
import yaml
from mimosamux_daemon.api.accounts import digest_key
from mimosamux_standins.processes import Site
from mimosamux_standins.proxy import FaultProxy

from tests.support.processes import Processes

PATIENCE_S = 60.0
SLOW_S = 1.5
VM_FIELDS = {
    'id': 'mail-1',
    'data_centre': 'north',
    'machine_class': 'standard',
    'market': 'reclaimable',
    'role': 'endpoint',
    'state': 'live',
    'service': 'mail',
}
CONFIGURATION = {
    'classes': {
        'slip': {'first_token_s': 2.0, 'repeatable': False},
        'lookup': {'first_token_s': 2.0},
    },
    'accounts': {'a': {'key_digests': [digest_key('key')]}},
    'services': {'mail': {'work_class': 'slip'}},
    'data_centres': ['north'],
}


class Programs:
    """A platform behind a proxy, a service and two daemons."""

    def __init__(self, *, site, proxy, client):
        self.site = site
        self.proxy = proxy
        self.client = client
        self.reserved = Processes(folder=site.folder)

    def program(self, name):
        return next(each for each in self.site.programs if each.name == name)

    def signal(self, name, number):
        self.program(name).process.send_signal(number)

    async def start(self):
        platform = await self.site.start(
            'platform', 'mimosamux_standins', 'platform'
        )
        self.proxy.target = platform.address
        service = await self.site.start(
            'service', 'mimosamux_standins', 'service'
        )
        await self.client.post(
            f'http://{platform.address}/control/vms',
            json={'vm': {**VM_FIELDS, 'address': service.address}},
        )
        ports = [f'127.0.0.1:{self.reserved.reserve_port()}' for _ in range(2)]
        for number in (1, 2):
            await self.start_daemon(number, ports)
        for name in ('d1', 'd2'):
            await self.until(self.takes_calls, name)

    async def start_daemon(self, number, ports):
        settings = {
            'daemon': f'd{number}',
            'data_centre': 'north',
            'peer_port': int(ports[number - 1].rpartition(':')[2]),
            'peers': [{'id': f'd{3 - number}', 'address': ports[2 - number]}],
            'peer_secret': 'secret',
            'platform_url': f'http://{self.proxy.address}',
            'configuration': CONFIGURATION,
        }
        path = self.site.folder / f'd{number}.yaml'
        path.write_text(yaml.safe_dump(settings))
        await self.site.start(
            f'd{number}', 'mimosamux_daemon', 'serve', '--settings', str(path)
        )

    async def takes_calls(self, name):
        answer = await self.ask(
            name, 'ready', **{'X-Mimosamux-Class': 'lookup'}
        )
        return answer.status_code == 200

    async def until(self, check, *args):
        with anyio.fail_after(PATIENCE_S):
            while not await check(*args):  # noqa: ASYNC110
                await anyio.sleep(0.1)

    async def ask(self, name, key, **headers):
        return await self.client.post(
            f'http://{self.program(name).address}/v1/services/mail/slips',
            headers={
                'Authorization': 'Bearer key',
                'Idempotency-Key': key,
                **headers,
            },
        )

    async def settle(self, name, key):
        """Return the outcome once it is no longer in doubt."""
        with anyio.fail_after(PATIENCE_S):
            while True:
                answer = await self.ask(name, key)
                body = answer.json()
                if body.get('outcome') not in ('in_doubt', 'refused'):
                    return body

    async def set_service(self, **faults):
        address = self.program('service').address
        await self.client.post(f'http://{address}/control', json=faults)

    async def runs(self, key):
        address = self.program('service').address
        answer = await self.client.get(f'http://{address}/control/runs')
        return [run for run in answer.json()['runs'] if run['key'] == key]

    async def has_run(self, key):
        return bool(await self.runs(key))


@contextlib.asynccontextmanager
async def programs():
    with tempfile.TemporaryDirectory() as folder:
        async with (
            httpx.AsyncClient(timeout=PATIENCE_S, trust_env=False) as client,
            anyio.create_task_group() as tasks,
        ):
            site = Site(folder=pathlib.Path(folder), tasks=tasks)
            proxy = FaultProxy(target='')
            await tasks.start(proxy.run)
            started = Programs(site=site, proxy=proxy, client=client)
            try:
                await started.start()
                yield started
            finally:
                with anyio.CancelScope(shield=True):
                    await site.stop()
                started.reserved.end_all()
            tasks.cancel_scope.cancel()


class TestSideEffectProcesses(unittest.TestCase):
    def play(self, check):
        async def run():
            async with programs() as started:
                await check(started)

        anyio.run(run)

    def test_calls_run_once_while_daemons_stop_die_and_lose_answers(self):
        """Two daemons, one after the other, meet each kind of failure.

        The store's answers to an intent are lost; a holder is stopped for
        a while; a holder is killed after the service got the call; a
        holder is told to stop. Each time the client sends the slip again
        to the other daemon. A parent would otherwise get it twice, or be
        told that it was not sent.
        """

        async def check(site):
            await self.check_lost_answer(site)
            await self.check_stopped_holder(site)
            await self.check_killed_holder(site)
            await self.check_graceful_stop(site)

        self.play(check)

    async def check_killed_holder(self, site):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.ask_in_vain, site)
            await site.until(site.has_run, 'k')
            site.signal('d1', signal.SIGKILL)
        body = await site.settle('d2', 'k')
        self.assertEqual(body['outcome'], 'unknown')
        self.assertFalse(body['not_run'])
        self.assertEqual(len(await site.runs('k')), 1)

    async def ask_in_vain(self, site):
        with self.assertRaises(httpx.HTTPError):
            await site.ask('d1', 'k')

    async def check_stopped_holder(self, site):
        await site.set_service(delay_s=SLOW_S)
        answers = []

        async def ask_first():
            answers.append((await site.ask('d1', 'stopped')).json())

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask_first)
            await site.until(site.has_run, 'stopped')
            site.signal('d1', signal.SIGSTOP)
            tasks.start_soon(self.wake, site)
            answers.append(await site.settle('d2', 'stopped'))
        self.assertEqual(answers[0], answers[1])
        self.assertEqual(len(await site.runs('stopped')), 1)

    async def wake(self, site):
        await anyio.sleep(SLOW_S)
        site.signal('d1', signal.SIGCONT)

    async def check_lost_answer(self, site):
        await site.set_service()
        site.proxy.faults.drop_answers = 3
        first = (await site.ask('d1', 'lost')).json()
        site.proxy.faults.drop_answers = 0
        body = await site.settle('d2', 'lost')
        self.assertIn('run', body)
        if 'run' in first:
            self.assertEqual(first, body)
        self.assertEqual(len(await site.runs('lost')), 1)

    async def check_graceful_stop(self, site):
        answers = []

        async def ask_last():
            answers.append(await site.ask('d2', 'stopping'))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask_last)
            await site.until(site.has_run, 'stopping')
            site.signal('d2', signal.SIGTERM)
        self.assertEqual(answers[0].status_code, 200)
        self.assertEqual(len(await site.runs('stopping')), 1)
