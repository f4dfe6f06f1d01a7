"""Callers that don't behave, at the caller API of a model daemon."""

import unittest

import httpx

from tests.support import crowds
from tests.support.crowd_cases import CrowdCases
from tests.support.processes import processes
from tests.support.site import KEY, RealSite

DAEMON_BYTES = 256 * crowds.MIB
"""Memory that the size to design for gives a daemon."""
AUTHORIZED = f'Authorization: Bearer {KEY}\r\n'
HEADERS = {'Authorization': f'Bearer {KEY}'}
TIMEOUT_S = 20.0


class ModelDaemonCase(CrowdCases):
    """One model daemon with an engine and a service."""

    memory_bytes = DAEMON_BYTES
    path = ''
    authorization = AUTHORIZED

    def start(self):
        started = processes()
        self.site = RealSite(processes=started.__enter__(), daemons={'a': 1})
        self.addCleanup(started.__exit__, None, None, None)
        service = self.site.processes.start_standin('service')
        self.site.list_vm('mail-a', address=service.address, service='mail')
        self.site.start_engines('a')
        self.site.processes.descriptors = crowds.DESCRIPTORS
        self.site.start(memory_mb=DAEMON_BYTES / crowds.MIB)
        self.process = self.site.daemons['a1']
        self.address = self.process.address

    def head(self, framing):
        return (
            f'POST {self.path} HTTP/1.1\r\nHost: {self.address}\r\n'
            f'{self.authorization}X-Mimosamux-Class: draft\r\n'
            f'Content-Type: application/json\r\n{framing}\r\n'
        ).encode()

    async def post(self, path, **content):
        async with httpx.AsyncClient(
            trust_env=False, timeout=TIMEOUT_S
        ) as client:
            try:
                answer = await client.post(
                    f'http://{self.address}{path}',
                    headers={**HEADERS, 'X-Mimosamux-Class': 'draft'},
                    **content,
                )
            except httpx.HTTPError:
                return None
        return answer.status_code

    async def ask(self):
        return await self.complete('plan a trip') == 200

    async def complete(self, prompt):
        body = {
            'model': 'demo',
            'max_tokens': 1,
            'messages': [{'role': 'user', 'content': prompt}],
        }
        return await self.post('/v1/chat/completions', json=body)


class TestCompletions(ModelDaemonCase, unittest.TestCase):
    """Model requests."""

    largest_body = 2 * crowds.MIB
    path = '/v1/chat/completions'

    async def ask_large(self):
        return await self.complete('x' * (self.largest_body - 200))


class TestServiceCalls(ModelDaemonCase, unittest.TestCase):
    """Calls to services."""

    largest_body = 8 * crowds.MIB
    path = '/v1/services/mail/send'

    async def ask_large(self):
        return await self.post(self.path, content=b'x' * self.largest_body)


class TestStrangers(ModelDaemonCase, unittest.TestCase):
    """Requests with a key that nobody has."""

    path = '/v1/chat/completions'
    authorization = 'Authorization: Bearer nobody\r\n'

    async def ask_large(self):
        return await self.complete('plan a trip')
