"""Callers' connections: what is taken, what is turned away, how they end."""

import unittest
from contextlib import asynccontextmanager

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st
from mimosamux_daemon.adapters.http1_server import Http1Server
from mimosamux_daemon.domain.routes import TrafficLimits

from tests.support.clock import run_paused
from tests.support.memory_network import MemoryNetwork

ADDRESS = '10.0.0.1:80'
LIMITS = TrafficLimits(
    max_header_bytes=2048,
    max_body_bytes=4096,
    header_timeout_s=3.0,
    idle_timeout_s=15.0,
)
GET = b'GET /a?b=%2F HTTP/1.1\r\nHost: x\r\n\r\n'


class Served:
    """A server that notes what it was asked and answers 200."""

    def __init__(self):
        self.requests = []
        self.server = Http1Server(handler=self.handle, limits=lambda: LIMITS)

    async def handle(self, incoming, reply):
        self.requests.append(incoming)
        await reply.answer(200, (), b'ok')


@asynccontextmanager
async def serving(served=None):
    network = MemoryNetwork()
    served = served or Served()
    async with anyio.create_task_group() as tasks:
        listener = await network.at('10.0.0.1').listen(ADDRESS)
        tasks.start_soon(listener.serve, served.server.serve, tasks)
        await anyio.sleep(0.01)
        yield served, network.at('10.0.0.9')
        tasks.cancel_scope.cancel()


async def read_all(connection, seconds=1.0):
    """Return what arrives until the end or a while of silence."""
    data = b''
    with anyio.move_on_after(seconds):
        while True:
            try:
                data += await connection.receive()
            except anyio.EndOfStream:
                break
    return data


async def exchange(data, seconds=1.0):
    """Send bytes on a new connection; return the answer and requests."""
    async with serving() as (served, network):
        connection = await network.connect(ADDRESS)
        await connection.send(data)
        answer = await read_all(connection, seconds)
        # Whatever came, the next caller has to be served.
        other = await network.connect(ADDRESS)
        await other.send(GET)
        lives = (await read_all(other)).startswith(b'HTTP/1.1 200')
        return answer, served.requests, lives


def status_of(answer):
    return int(answer.split()[1]) if answer else None


class TestHttp1Server(unittest.TestCase):
    def test_request_line_and_headers_come_as_they_were_sent(self):
        data = (
            b'post /A/./b%2F?x=&y HTTP/1.1\r\nHost: X\r\nX-odd-CASE: 1\r\n'
            b'Content-Length: 2\r\n\r\nhi'
        )
        _, requests, _ = run_paused(exchange, data)
        head = requests[0].head
        self.assertEqual(
            (head.method, head.target), (b'post', b'/A/./b%2F?x=&y')
        )
        self.assertIn((b'X-odd-CASE', b'1'), head.headers)
        self.assertEqual(requests[0].body, b'hi')

    def test_target_with_an_empty_query_keeps_its_mark(self):
        data = b'GET /a? HTTP/1.1\r\nHost: x\r\n\r\n'
        _, requests, _ = run_paused(exchange, data)
        self.assertEqual(requests[0].head.target, b'/a?')

    def test_chunked_body_is_put_together(self):
        data = (
            b'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'2\r\nhi\r\n3;ext=1\r\nyou\r\n0\r\n\r\n'
        )
        _, requests, _ = run_paused(exchange, data)
        self.assertEqual(requests[0].body, b'hiyou')

    def test_request_with_two_lengths_is_turned_away_with_what_follows(self):
        """A request states its length twice, and another one follows.

        The next server might see the second inside the first, or the other
        way round, and run what nobody sent.
        """
        data = (
            b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n' + GET
        )
        answer, requests, lives = run_paused(exchange, data)
        self.assertEqual((status_of(answer), len(requests)), (400, 1))
        self.assertTrue(lives)

    def test_upgrade_is_not_taken_up(self):
        data = (
            b'GET / HTTP/1.1\r\nHost: x\r\nConnection: Upgrade, HTTP2-Settings'
            b'\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABk\r\n\r\n'
        )
        answer, _, _ = run_paused(exchange, data)
        self.assertEqual(status_of(answer), 200)

    def test_too_long_headers_and_bodies_are_told_so(self):
        header = b'X-Long: ' + b'y' * 4000 + b'\r\n'
        long_header = b'GET / HTTP/1.1\r\nHost: x\r\n' + header + b'\r\n'
        long_body = (
            b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9000\r\n\r\n'
            + b'z' * 9000
        )
        for data, status in ((long_header, 431), (long_body, 413)):
            answer, _, lives = run_paused(exchange, data)
            self.assertEqual((status_of(answer), lives), (status, True))
            self.assertIn(b'connection: close', answer.lower())

    def test_head_that_never_ends_is_given_up(self):
        data = b'GET / HTTP/1.1\r\nHost: x\r\n'
        answer, _, lives = run_paused(exchange, data, 10.0)
        self.assertEqual((status_of(answer), lives), (408, True))

    def test_body_that_never_ends_is_given_up(self):
        data = b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhi'
        answer, _, lives = run_paused(exchange, data, 40.0)
        self.assertEqual((status_of(answer), lives), (408, True))

    def test_idle_connection_is_kept_for_as_long_as_it_may_be_idle(self):
        async def check():
            async with serving() as (_, network):
                connection = await network.connect(ADDRESS)
                await connection.send(GET)
                await read_all(connection, 0.9 * LIMITS.idle_timeout_s)
                await connection.send(GET)
                again = await read_all(connection, 1)
                await anyio.sleep(LIMITS.idle_timeout_s)
                return again, connection.has_input()

        again, is_closed = run_paused(check)
        self.assertTrue(again.startswith(b'HTTP/1.1 200'))
        self.assertTrue(is_closed)

    def test_requests_sent_together_are_answered_in_order(self):
        answer, requests, _ = run_paused(exchange, GET * 3)
        self.assertEqual((len(requests), answer.count(b'ok')), (4, 3))

    def test_body_is_asked_for_when_its_caller_waits_to_be_asked(self):
        data = (
            b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n'
            b'Expect: 100-continue\r\n\r\n'
        )
        answer, _, _ = run_paused(exchange, data)
        self.assertEqual(status_of(answer), 100)

    def test_draining_server_ends_each_connection_behind_its_answer(self):
        async def check():
            async with serving() as (served, network):
                connection = await network.connect(ADDRESS)
                await connection.send(GET)
                await read_all(connection, 0.1)
                served.server.drain()
                await connection.send(GET)
                return await read_all(connection, 5)

        answer = run_paused(check)
        self.assertIn(b'connection: close', answer.lower())

    # Guards against a request that is read while its connection is closed.
    def test_request_that_comes_while_an_idle_wait_ends_is_answered(self):
        async def check():
            async with serving() as (served, network):
                connection = await network.connect(ADDRESS)
                await anyio.sleep(1.0)
                served.server.drain()
                served.server.close_idle(longer_than_s=0.5)
                connection.other.underway(GET)
                return await read_all(connection, 5)

        answer = run_paused(check)
        self.assertTrue(answer.startswith(b'HTTP/1.1 200'), answer)

    def test_connection_that_is_idle_for_a_moment_only_stays_open(self):
        async def check():
            async with serving() as (served, network):
                connection = await network.connect(ADDRESS)
                await anyio.sleep(0.2)
                served.server.close_idle(longer_than_s=0.5)
                await anyio.sleep(0.1)
                return connection.has_ended()

        self.assertFalse(run_paused(check))

    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(st.binary(max_size=300), st.booleans(), st.integers(0, 60))
    def test_any_bytes_leave_the_server_alive(self, noise, is_spoilt, at):
        """A caller sends what is no request, or one that was spoilt."""
        data = GET[:at] + noise + GET[at:] if is_spoilt else noise
        answer, _, lives = run_paused(exchange, data, 5.0)
        self.assertTrue(lives)
        if answer:
            self.assertTrue(answer.startswith(b'HTTP/1.1 '))


class Held(Served):
    """A server whose answers are finished once a test says so."""

    def __init__(self):
        super().__init__()
        self.may_answer = anyio.Event()

    async def handle(self, incoming, reply):
        self.requests.append(incoming)
        await reply.start(200, ((b'Transfer-Encoding', b'chunked'),), b'ok')
        with anyio.CancelScope() as scope:
            incoming.cancel_on_disconnect(scope)
            await self.may_answer.wait()
            await reply.finish()


class Slow(Served):
    """A server that works on each request for a while."""

    async def handle(self, incoming, reply):
        await anyio.sleep(0.5)
        await super().handle(incoming, reply)


class TestRequestsBehindAnAnswer(unittest.TestCase):
    # Guards against a request that is read, and dropped with its connection.
    def test_request_is_not_read_before_it_is_due(self):
        async def check():
            async with serving(Held()) as (served, network):
                connection = await network.connect(ADDRESS)
                await connection.send(GET)
                await anyio.sleep(0.1)
                await connection.send(GET)
                await anyio.sleep(0.1)
                is_unread = connection.other.has_input()
                served.may_answer.set()
                answers = await read_all(connection, 0.1)
                return is_unread, answers.count(b'HTTP/1.1 200')

        self.assertEqual(run_paused(check), (True, 2))

    # Guards against work for a caller that left a further request behind.
    def test_caller_that_leaves_behind_a_further_request_is_noticed(self):
        async def check():
            async with serving(Held()) as (served, network):
                connection = await network.connect(ADDRESS)
                await connection.send(GET)
                await anyio.sleep(0.1)
                await connection.send(GET)
                await connection.aclose()
                await anyio.sleep(0.1)
                (request,) = served.requests
                return request.is_caller_gone, served.server.open_requests

        self.assertEqual(run_paused(check), (True, 0))

    # Guards against a caller that is told to go with a request under way.
    def test_draining_server_answers_what_was_sent_ahead(self):
        async def check():
            async with serving(Slow()) as (served, network):
                connection = await network.connect(ADDRESS)
                served.server.drain()
                await connection.send(GET)
                await anyio.sleep(0.1)
                await connection.send(GET)
                return await read_all(connection, 5)

        answers = run_paused(check)
        self.assertEqual(answers.count(b'HTTP/1.1 200'), 2)
        self.assertEqual(answers.lower().count(b'connection: close'), 1)

    # Guards against a request that is read while its connection is closed.
    def test_request_that_crosses_an_announced_close_stays_unread(self):
        async def check():
            async with serving(Held()) as (served, network):
                connection = await network.connect(ADDRESS)
                served.server.drain()
                await connection.send(GET)
                await anyio.sleep(0.1)
                await connection.send(GET)
                served.may_answer.set()
                answers = await read_all(connection, 5)
                await anyio.sleep(5.0)
                return answers, connection.other.has_input(), served.requests

        answers, is_unread, requests = run_paused(check)
        self.assertIn(b'connection: close', answers.lower())
        self.assertTrue(answers.endswith(b'0\r\n\r\n'))
        self.assertEqual((is_unread, len(requests)), (True, 1))
