"""What the command line makes of streams and answers that are cut."""

import unittest
from contextlib import contextmanager
from unittest import mock

import anyio
import anyio.to_thread
import httpx
from mimosamux_cli.caller import Caller
from mimosamux_cli.errors import UnavailableError
from mimosamux_cli.service_caller import MAX_ATTEMPTS, ServiceCaller

from tests.support.raw_answers import answering

CHUNK = b'id: r1:%d\ndata: {"choices": [{"delta": {"content": "%s"}}]}\n\n'
STREAM = CHUNK % (1, b'a') + CHUNK % (2, b'b') + b'data: [DONE]\n\n'
WHOLE = b'{"seats": [1, 2, 3]}'
HEAD = b'HTTP/1.1 200 OK\r\n'


class OneDaemon:
    """Names one daemon, whatever becomes of it."""

    def __init__(self, address):
        self.url = f'http://{address}'

    def current(self):
        return (self.url,)

    def expire(self):
        pass


def build(kind, address):
    return kind(
        addresses=OneDaemon(address), headers={}, sleep=lambda seconds: None
    )


class TestCutStreams(unittest.TestCase):
    # Guards against a cut stream that is reported as a whole answer.

    def complete(self, data):
        @contextmanager
        def answer(method, url, **request):
            yield httpx.Response(200, content=data)

        with mock.patch('httpx.stream', answer):
            return build(Caller, 'daemon').complete({'stream': True})

    def test_no_part_of_a_stream_is_an_answer(self):
        for size in range(len(STREAM)):
            with (
                self.subTest(cut=STREAM[:size]),
                self.assertRaises(UnavailableError),
            ):
                self.complete(STREAM[:size])

    def test_whole_stream_is_one(self):
        self.assertEqual(self.complete(STREAM).text, 'ab')


class TestCutAnswers(unittest.TestCase):
    # Guards against a part of a service's answer that is printed as whole.

    def call(self, data):
        """Return the text or the error, and the attempts."""

        def send(address):
            caller = build(ServiceCaller, address)
            try:
                return caller.call('seats', '', 'x', key='k')
            except UnavailableError as error:
                return error

        async def check():
            async with answering(data) as (address, answers):
                text = await anyio.to_thread.run_sync(send, address)
                return text, answers.requests

        return anyio.run(check)

    def test_answer_that_only_its_connection_ends_is_asked_for_again(self):
        for body in (b'', WHOLE[:11], WHOLE):
            with self.subTest(body=body):
                text, attempts = self.call(HEAD + b'\r\n' + body)
                self.assertIsInstance(text, UnavailableError)
                self.assertEqual(attempts, MAX_ATTEMPTS)

    def test_framed_answer_is_given(self):
        framing = b'Content-Length: %d\r\n\r\n' % len(WHOLE)
        text, attempts = self.call(HEAD + framing + WHOLE)
        self.assertEqual((text, attempts), (WHOLE.decode(), 1))


if __name__ == '__main__':
    unittest.main()
