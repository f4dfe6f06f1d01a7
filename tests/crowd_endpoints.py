"""Endpoints that send without end, before one gateway on the smallest VM."""

import time
import unittest

import anyio
import httpx

from tests.support import crowds
from tests.support.platform_processes import platform_processes, send
from tests.support.prompts import prompt_of

MEMORY_MB = 160
MEGABYTE = 1_000_000
CALLERS = 60
PATIENCE_S = 6.0
ASK_S = 12.0
"""Time in which an ordinary caller, who comes again, has to be served."""


class TestEndlessAnswers(unittest.TestCase):
    # Guards against endpoints whose answers take all memory or all turns.

    def start(self, framing, *, faulty):
        started = platform_processes(
            daemons=1, daemon_settings={'memory_mb': MEMORY_MB}
        )
        self.platform = started.__enter__()
        self.addCleanup(started.__exit__, None, None, None)
        for number in range(faulty):
            for id_ in (f'i-{number + 1:04d}', f'i-{number + 4:04d}'):
                self.platform.command('/replica', id=id_, framing=framing)
        (self.daemon,) = self.platform.daemons
        port = int(self.daemon.entry.rpartition(':')[2])
        pid = self.daemon.process.popen.pid
        self.watch = crowds.Watch(pid=pid, port=port)

    async def ask(self, number):
        """Send a request that an endpoint without end may get."""
        path, headers = f'/list/{number}', ()
        if number % 2:
            path, headers = f'/question/{number}', prompt_of('ab', f'{number}')
        await send(
            self.daemon.entry, path, headers=headers, patience_s=PATIENCE_S
        )

    async def is_ready(self):
        """Whether the daemon answers a probe, as a sign of a free loop."""
        address = self.daemon.settings['listen']['readiness']
        async with httpx.AsyncClient(trust_env=False, timeout=2.0) as client:
            answer = await client.get(f'http://{address}/api/readyz')
        return answer.status_code == 200

    async def ask_until_served(self):
        ends_at = time.monotonic() + ASK_S
        while time.monotonic() < ends_at:
            answer = await send(self.daemon.entry, '/list/ordinary')
            if answer.status == 200 and answer.is_whole:
                return True
            await anyio.sleep(0.2)
        return False

    async def crowd(self, ordinary):
        """Send from all callers; ask for the ordinary one meanwhile."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.watch.run)
            async with anyio.create_task_group() as callers:
                for number in range(CALLERS):
                    callers.start_soon(self.ask, number)
                await anyio.sleep(PATIENCE_S / 3)
                answered = await ordinary()
            tasks.cancel_scope.cancel()
        return answered

    def check(self, framing, *, faulty, ordinary):
        self.start(framing, faulty=faulty)
        answered = anyio.run(self.crowd, ordinary)
        process = self.daemon.process.popen
        self.assertIsNone(process.poll(), 'the process has ended')
        held = self.watch.held()
        self.assertTrue(answered)
        self.assertLess(held.memory_bytes, MEMORY_MB * MEGABYTE)

    def test_tiny_chunks_of_all_endpoints(self):
        self.check('TINY_CHUNKS', faulty=3, ordinary=self.is_ready)

    def test_tiny_chunks_of_one_endpoint(self):
        self.check('TINY_CHUNKS', faulty=1, ordinary=self.ask_until_served)

    def test_endless_lengths_of_one_endpoint(self):
        self.check('ENDLESS_LENGTH', faulty=1, ordinary=self.ask_until_served)

    def test_endless_bodies_of_all_endpoints(self):
        self.check('ENDLESS_BODY', faulty=3, ordinary=self.is_ready)

    def test_endless_events_of_all_endpoints(self):
        self.check('ENDLESS_EVENT', faulty=3, ordinary=self.is_ready)


if __name__ == '__main__':
    unittest.main()
