"""Answers of the platform that end with their connection."""

import unittest

import anyio
from mimosamux_daemon.adapters.http_object_store import HttpObjectStore
from mimosamux_daemon.adapters.http_platform import PlatformClient
from mimosamux_daemon.domain.store import Unavailable

from tests.support.raw_answers import answering

HEAD = b'HTTP/1.1 200 OK\r\n'
CONTENT = b'a stored answer'


class TestUnframedObjects(unittest.TestCase):
    # Guards against an object that is cut and looks whole.

    def get(self, data):
        async def check():
            async with answering(data) as (address, _):
                client = PlatformClient(base_url=f'http://{address}')
                found = await HttpObjectStore(client=client).get('k')
                await client.close()
                return found

        return anyio.run(check)

    def test_object_that_only_its_connection_ends_is_not_read(self):
        for body in (b'', CONTENT[:4], CONTENT):
            with self.subTest(body=body):
                found = self.get(HEAD + b'\r\n' + body)
                self.assertIsInstance(found, Unavailable)
                self.assertTrue(found.may_have_taken_effect)

    def test_object_with_a_length_is_read(self):
        framing = b'Content-Length: %d\r\n\r\n' % len(CONTENT)
        self.assertEqual(self.get(HEAD + framing + CONTENT), CONTENT)


if __name__ == '__main__':
    unittest.main()
