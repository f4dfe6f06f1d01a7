"""Callers that don't behave, at the caller API of a model daemon."""

import pathlib
import ssl
import tempfile
import unittest

import httpx
import trustme

from tests.support import crowds, http2_crowds
from tests.support.crowd_cases import (
    CrowdCases,
    CrowdChecks,
    UnreadAnswerCases,
)
from tests.support.processes import processes
from tests.support.site import KEY, RealSite

DAEMON_BYTES = 256 * crowds.MIB
"""Memory that the size to design for gives a daemon."""
AUTHORIZED = f'Authorization: Bearer {KEY}\r\n'
HEADERS = {'Authorization': f'Bearer {KEY}'}
TIMEOUT_S = 20.0


class ModelDaemonChecks(CrowdChecks):
    """One model daemon with an engine and a service."""

    memory_bytes = DAEMON_BYTES
    path = ''
    scheme = 'http'
    trusted = True
    """What the certificate is checked with, over TLS."""
    authorization = AUTHORIZED

    def start(self):
        started = processes()
        self.site = RealSite(processes=started.__enter__(), daemons={'a': 1})
        self.addCleanup(started.__exit__, None, None, None)
        service = self.site.processes.start_standin('service')
        self.site.list_vm('mail-a', address=service.address, service='mail')
        self.site.start_engines('a')
        self.site.processes.descriptors = self.descriptors
        self.site.start(
            memory_mb=DAEMON_BYTES / crowds.MIB, **self.daemon_settings()
        )
        self.process = self.site.daemons['a1']
        self.address = self.api = self.process.address

    def daemon_settings(self):
        return {}

    def head(self, framing):
        return (
            f'POST {self.path} HTTP/1.1\r\nHost: {self.address}\r\n'
            f'{self.authorization}X-Mimosamux-Class: draft\r\n'
            f'Content-Type: application/json\r\n{framing}\r\n'
        ).encode()

    async def post(self, path, **content):
        async with httpx.AsyncClient(
            trust_env=False, timeout=TIMEOUT_S, verify=self.trusted
        ) as client:
            try:
                answer = await client.post(
                    f'{self.scheme}://{self.api}{path}',
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


class ModelDaemonCase(CrowdCases, ModelDaemonChecks):
    """One model daemon, and each crowd."""


class TestUnreadAnswers(
    UnreadAnswerCases, ModelDaemonChecks, unittest.TestCase
):
    """Calls to services whose answers nobody reads."""

    answer_path = '/v1/services/mail/send?answer_bytes={}'


class TestHttp2(ModelDaemonChecks, unittest.TestCase):
    """Model requests over HTTP/2."""

    largest_body = 2 * crowds.MIB
    path = '/v1/chat/completions'

    # Guards against many bodies on few connections.
    def test_streams_just_short_of_their_end(self):
        self.check(http2_crowds.SHORT)

    def test_very_small_frames(self):
        self.check(http2_crowds.SMALL_FRAMES)

    def test_streams_over_the_limit(self):
        self.check(http2_crowds.OVER)


class TestHandshakes(ModelDaemonChecks, unittest.TestCase):
    """Connections on which the TLS handshake has begun."""

    scheme = 'https'

    def daemon_settings(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        authority = trustme.CA()
        issued = authority.issue_cert('127.0.0.1')
        certificate = pathlib.Path(folder.name) / 'certificate.pem'
        issued.private_key_and_cert_chain_pem.write_to_path(certificate)
        self.trusted = ssl.create_default_context()
        authority.configure_trust(self.trusted)
        files = {'certificate': str(certificate), 'key': str(certificate)}
        return {'tls': files}

    # Guards against handshakes that use up the descriptors.
    def test_handshakes_just_short_of_their_end(self):
        self.check(crowds.HANDSHAKES)


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


class TestPeers(ModelDaemonChecks, unittest.TestCase):
    """Strangers at the listener for other daemons."""

    path = '/'

    def start(self):
        super().start()
        _, port = self.site.ports['a1']
        self.address = f'127.0.0.1:{port}'

    # Guards against strangers that use up the descriptors.
    def test_many_connections_just_short_of_their_end(self):
        self.check(crowds.MANY_OPEN)

    def test_large_bodies_just_short_of_their_end(self):
        self.check(crowds.LARGE_SHORT)


class TestStrangers(ModelDaemonCase, unittest.TestCase):
    """Requests with a key that nobody has."""

    path = '/v1/chat/completions'
    authorization = 'Authorization: Bearer nobody\r\n'

    async def ask_large(self):
        return await self.complete('plan a trip')
