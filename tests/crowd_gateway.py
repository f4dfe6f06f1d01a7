"""Callers that don't behave, at each listener of a gateway's process."""

import itertools
import unittest

import httpx

from tests.support import crowds
from tests.support.crowd_cases import (
    CrowdCases,
    CrowdChecks,
    UnreadAnswerCases,
)
from tests.support.platform_processes import platform_processes, send

MEGABYTE = 1_000_000
VM_MB = 200
SMALLEST_VM_MB = 160
"""Memory of the smallest entry VM."""


class GatewayChecks(CrowdChecks):
    """One gateway on a small VM."""

    memory_mb = VM_MB
    memory_bytes = VM_MB * crowds.MIB
    listener = ''
    path = ''

    def start(self):
        started = platform_processes(
            daemons=1,
            daemon_descriptors=self.descriptors,
            daemon_settings={'memory_mb': self.memory_mb},
        )
        self.platform = started.__enter__()
        self.addCleanup(started.__exit__, None, None, None)
        (daemon,) = self.platform.daemons
        self.process = daemon.process
        self.entry = daemon.entry
        self.address = daemon.settings['listen'][self.listener]

    def next_id(self):
        return 'crowd'

    def head(self, framing):
        return (
            f'POST {self.path} HTTP/1.1\r\nHost: site.example\r\n'
            f'X-Key: key-school\r\nX-Attempt-Id: {self.next_id()}\r\n'
            f'{framing}\r\n'
        ).encode()

    async def get(self):
        async with httpx.AsyncClient(trust_env=False, timeout=20.0) as client:
            try:
                answer = await client.get(f'http://{self.address}{self.path}')
            except httpx.HTTPError:
                return None
        return answer.status_code

    async def ask(self):
        return await self.get() == 200

    async def ask_large(self):
        return await self.get()


class GatewayCase(CrowdCases, GatewayChecks):
    """One gateway on a small VM, and each crowd."""


class EntryChecks(GatewayChecks):
    """Requests of callers."""

    listener = 'entry'
    path = '/list/1'

    async def ask(self):
        answer = await send(self.entry, '/list/1', body=b'class 4b')
        return answer.status == 200 and answer.is_whole


class TestUnreadAnswers(UnreadAnswerCases, EntryChecks, unittest.TestCase):
    """Requests whose answers nobody reads."""

    answer_path = '/list/1?answer_bytes={}'
    _numbers = itertools.count()

    def next_id(self):
        return f'crowd-{next(self._numbers)}'


class EntryCase(CrowdCases, EntryChecks):
    """Each crowd; ordinary requests go to the entry."""

    async def ask_large(self):
        body = b'x' * self.largest_body
        answer = await send(self.entry, self.path, body=body)
        return answer.status


class TestEntry(EntryCase, unittest.TestCase):
    """Requests of callers."""


class TestEntryOfTheSmallestVm(TestEntry):
    """Requests of callers to the smallest VM."""

    memory_mb = SMALLEST_VM_MB
    memory_bytes = SMALLEST_VM_MB * MEGABYTE


class TestUnreadAnswersOfTheSmallestVm(TestUnreadAnswers):
    """Requests to the smallest VM whose answers nobody reads."""

    memory_mb = SMALLEST_VM_MB
    memory_bytes = SMALLEST_VM_MB * MEGABYTE


class TestPeers(EntryCase, unittest.TestCase):
    """Strangers at the listener for other daemons."""

    listener = 'peers'


class TestTunnels(EntryChecks, unittest.TestCase):
    """Strangers at the listener for tunnels."""

    listener = 'peers'

    def start(self):
        """Start a daemon again, with a listener for tunnels."""
        super().start()
        self.process.kill()
        (first,) = self.platform.daemons
        tunnels = f'127.0.0.1:{self.platform.started.reserve_port()}'
        listen = {**first.settings['listen'], 'tunnels': tunnels}
        daemon = self.platform.start_daemon(
            settings={**first.settings, 'listen': listen}
        )
        self.process = daemon.process
        self.address = tunnels

    # Guards against strangers that use up the descriptors.
    def test_many_connections_just_short_of_their_end(self):
        self.check(crowds.MANY_OPEN)


class TestDiscovery(GatewayCase, unittest.TestCase):
    """Questions for the addresses of daemons."""

    listener = 'discovery'
    path = '/api/resolution?name=site.example&region=land&zone=north'


class TestReadiness(GatewayCase, unittest.TestCase):
    """Readiness checks."""

    listener = 'readiness'
    path = '/api/readyz'


class TestMetrics(GatewayCase, unittest.TestCase):
    """Metrics and requests of operators."""

    listener = 'metrics'
    path = '/metrics'
