"""Callers' requests that arrive late, too large or in too many pieces."""

import unittest

import anyio
import h11
from mimosamux_daemon.adapters.http1_requests import (
    RequestReader,
    Unreadable,
)
from mimosamux_daemon.adapters.http1_server import Http1Server
from mimosamux_daemon.callers import (
    EVENTS_A_TURN,
    CallerAccount,
    CallerLimits,
    CallerRecord,
    LossCause,
    ParseTurns,
)
from mimosamux_daemon.domain.gateway import ScreenedRequest
from mimosamux_daemon.domain.outcomes import Reason, Refused

from tests.support.clock import run_paused
from tests.test_http1_server import (
    ADDRESS,
    GET,
    LIMITS,
    Served,
    read_all,
    serving,
    status_of,
)

HEAD = b'POST /a HTTP/1.1\r\nHost: x\r\n'
LENGTH_9 = HEAD + b'Content-Length: 9\r\n\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
OTHERS_TURN_S = 1.0


class Screening:
    """A screen that knows one path."""

    def screen(self, head):
        if head.target == b'/a':
            return ScreenedRequest(account='school', limit_s=1.0)
        return Refused(reason=Reason.NOT_AUTHORISED, message='unknown key')

    async def render(self, outcome, reply):
        await reply.answer(401, ())


class CountedTurns(ParseTurns):
    """Turns that tell how often one was waited for."""

    def __init__(self):
        super().__init__()
        self.waits = 0

    async def wait(self):
        self.waits += 1
        await super().wait()


class EndComesWithYield:
    """A connection whose request yields in the moment of its last bytes."""

    reader = None

    async def receive(self, _):
        self.reader.give_up()
        return b'0\r\n\r\n'


class Limited(Served):
    """A server with an account of its own, and what it was asked."""

    def __init__(self, *, request_bytes=4000, connections=8, **fields):
        super().__init__()
        limits = CallerLimits(
            request_bytes=request_bytes,
            connections=connections,
            descriptors=20,
        )
        self.account = CallerAccount(limits=limits, record=CallerRecord())
        self.server = Http1Server(
            handler=self.handle,
            limits=lambda: LIMITS,
            account=self.account,
            **fields,
        )

    @property
    def losses(self):
        return dict(self.account.record.counts)


async def send_in_pieces(served, *pieces, pause_s=0.0, seconds=1.0):
    """Return the answer to pieces that are sent one after the other."""
    async with serving(served) as (_, network):
        connection = await network.connect(ADDRESS)
        for piece in pieces:
            await connection.send(piece)
            await anyio.sleep(pause_s)
        return await read_all(connection, seconds)


class TestLimits(unittest.TestCase):
    def play(self, served, *pieces, **fields):
        return run_paused(lambda: send_in_pieces(served, *pieces, **fields))

    # Guards against bodies that are taken in up to the limit, then refused.
    def test_body_that_is_announced_over_the_limit_is_refused_at_its_head(
        self,
    ):
        served = Limited()
        answer = self.play(served, HEAD + b'Content-Length: 9000\r\n\r\n')
        self.assertEqual(status_of(answer), 413)
        self.assertEqual(served.losses, {LossCause.TOO_LARGE: 1})

    def test_caller_is_not_asked_for_a_body_over_the_limit(self):
        head = HEAD + b'Content-Length: 9000\r\nExpect: 100-continue\r\n\r\n'
        self.assertEqual(status_of(self.play(Limited(), head)), 413)

    # Guards against bodies where no request needs any.
    def test_listener_that_needs_no_body_takes_none(self):
        for head in (LENGTH_9, CHUNKED):
            served = Limited(takes_bodies=False)
            with self.subTest(head=head):
                answer = self.play(served, head)
                self.assertEqual(status_of(answer), 413)
        served = Limited(takes_bodies=False)
        empty = HEAD + b'Content-Length: 0\r\n\r\n'
        self.assertEqual(status_of(self.play(served, empty)), 200)

    # Guards against a body that is kept for a caller nobody knows.
    def test_unknown_key_is_answered_before_the_body_has_come(self):
        served = Limited(screen=Screening())
        answer = self.play(served, LENGTH_9.replace(b'/a', b'/b'))
        self.assertEqual((status_of(answer), served.requests), (401, []))
        self.assertEqual(served.losses, {LossCause.TURNED_AWAY: 1})

    # Guards against a body of which a byte comes now and then.
    def test_body_that_trickles_is_given_up(self):
        served = Limited()
        answer = self.play(
            served, LENGTH_9, *[b'x'] * 4, pause_s=10.0, seconds=5.0
        )
        self.assertEqual((status_of(answer), served.requests), (408, []))
        self.assertEqual(served.losses, {LossCause.SLOW_BODY: 1})

    # Guards against slow callers that are refused while there is room.
    def test_body_that_comes_behind_its_limit_is_taken_in_calm(self):
        served = Limited(screen=Screening())
        answer = self.play(served, LENGTH_9, b'x' * 9, pause_s=3.0)
        self.assertEqual(status_of(answer), 200)

    # Guards against a refusal that does not say that nothing has run.
    def test_request_that_yields_is_told_when_to_come_back(self):
        served = Limited()

        async def check():
            async with serving(served) as (_, network):
                first = await network.connect(ADDRESS)
                await first.send(HEAD + b'Content-Length: 3000\r\n\r\n')
                await first.send(b'x' * 2900)
                await anyio.sleep(0.1)
                second = await network.connect(ADDRESS)
                await second.send(HEAD + b'Content-Length: 2000\r\n\r\n')
                await second.send(b'x' * 1900)
                await anyio.sleep(0.1)
                await second.send(b'x' * 100)
                return await read_all(first), await read_all(second)

        yielded, kept = run_paused(check)
        self.assertEqual((status_of(yielded), status_of(kept)), (503, 200))
        self.assertIn(b'Retry-After: 1.000', yielded)
        self.assertEqual(len(served.requests), 1)
        self.assertEqual(served.account.request_bytes, 0)

    # Guards against a request that is run with a part of its body.
    def test_request_that_yields_as_its_end_comes_does_not_run(self):
        served = Limited()
        parser = h11.Connection(h11.SERVER)
        first = CHUNKED + b'5\r\nbrief\r\n'
        parser.receive_data(first)
        connection = EndComesWithYield()
        connection.reader = RequestReader(
            connection=connection, parser=parser, rules=served.server
        )
        read = run_paused(
            lambda: connection.reader.read(on_wait=lambda _: None)
        )
        self.assertIsInstance(read, Unreadable)
        self.assertEqual(read.status, 503)

    # Guards against chunks that take the turns of all other callers.
    def test_others_are_served_while_small_chunks_are_parsed(self):
        turns = CountedTurns()
        served = Limited(request_bytes=1_000_000, turns=turns)

        async def check():
            async with serving(served) as (_, network):
                crowd = [await network.connect(ADDRESS) for _ in range(4)]
                other = await network.connect(ADDRESS)
                for each in crowd:
                    chunks = b'1\r\nx\r\n' * 3000
                    each.other.underway(CHUNKED + chunks + b'0\r\n\r\n')
                other.other.underway(GET)
                return [status_of(await read_all(each)) for each in crowd]

        self.assertEqual(run_paused(check), [200] * 4)
        self.assertEqual(served.requests[0].body, b'')
        self.assertEqual(turns.waits, 4 * (3000 // EVENTS_A_TURN))

    # Guards against a request that has come and is dropped for a newcomer.
    def test_connection_on_which_a_request_has_come_does_not_yield(self):
        served = Limited(connections=1)

        async def check():
            async with serving(served) as (_, network):
                first = await network.connect(ADDRESS)
                await anyio.sleep(1.0)
                first.other.underway(GET)
                newcomer = served.account.open(lambda: False)
                return status_of(await read_all(first)), newcomer

        self.assertEqual(run_paused(check), (200, None))

    # Guards against bytes of a caller who has left, parsed to their end.
    def test_chunks_of_a_caller_who_has_left_are_dropped(self):
        served = Limited()

        async def check():
            async with serving(served) as (_, network):
                connection = await network.connect(ADDRESS)
                whole = b'1\r\nx\r\n' * 3000 + b'0\r\n\r\n'
                await connection.send(CHUNKED + whole)
                await connection.aclose()
                await anyio.sleep(OTHERS_TURN_S)

        run_paused(check)
        self.assertEqual(served.requests, [])
