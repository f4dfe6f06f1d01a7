"""Parts of streams on their way: framing, order, and ends in the middle."""

import math
import socket
import struct
import unittest

import anyio
import h11
from hypothesis import given, settings
from hypothesis import strategies as st
from mimosamux_daemon.adapters.http1_channel import Channel, ChannelBroken
from mimosamux_daemon.adapters.http1_exchange import Reply
from mimosamux_daemon.adapters.tcp_network import TcpNetwork
from mimosamux_daemon.callers import GATEWAY_OWN_BYTES, build_account
from mimosamux_daemon.domain.http_messages import RequestHead
from mimosamux_daemon.gateway.events import EventSplitter
from mimosamux_daemon.ports.network import UNREAD_ANSWER_BYTES

from tests.support.clock import run_paused

REQUEST = RequestHead(
    method=b'GET', target=b'/draft/1', headers=((b'Host', b'x'),)
)
HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
NOISE = (
    b'',
    b'0\r\n\r\n',
    b'0\r\na: b\r\n\r\n',
    b'0\r\n5\r\nhello\r\n\r\n',
    b'5;x=y\r\nhello\r\n0\r\n\r\n',
    b'05\r\nhello\r\n0\r\n\r\nHTTP',
    b'5\r\nhelloX\r\n0\r\n\r\n',
    b'5\nhello\r\n0\r\n\r\n',
    b'\r\n0\r\n\r\n',
    b'-5\r\nhello\r\n0\r\n\r\n',
    b'zz\r\n',
)
"""What may follow whole chunks, valid or not."""


MEGABYTE = 1024 * 1024


class Scripted:
    """A connection on which given bytes arrive, and then the end."""

    def __init__(self, pieces=()):
        self.pieces = list(pieces)
        self.sent = b''

    async def receive(self, max_bytes):
        await anyio.lowlevel.checkpoint()
        if not self.pieces:
            raise anyio.EndOfStream
        return self.pieces.pop(0)

    async def send(self, item):
        self.sent += item

    def send_now(self, item):
        return item

    def reset_on_close(self, resets):
        self.resets = resets

    def has_input(self):
        return bool(self.pieces)


def cut(data, places):
    edges = [0, *sorted(place % (len(data) + 1) for place in places)]
    pieces = [
        data[start:end]
        for start, end in zip(edges, [*edges[1:], len(data)], strict=True)
    ]
    return [piece for piece in pieces if piece]


def read_by_parser(pieces):
    """Return the content of an answer and whether it is whole, by h11."""
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method='GET', target='/', headers=[('Host', 'x')]))
    parser.send(h11.EndOfMessage())
    content = b''
    for piece in [*pieces, b'']:
        try:
            parser.receive_data(piece)
            while isinstance(event := parser.next_event(), h11.Event):
                if isinstance(event, h11.Data):
                    content += bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    return content, True
        except h11.ProtocolError:
            break
    return content, False


async def read_by_channel(pieces):
    """Return the same as a channel reads it, and the channel."""
    channel = Channel(address='x', connection=Scripted(pieces))
    await channel.send(REQUEST, b'')
    await channel.receive_head()
    content = b''
    while (part := await channel.receive_body()) is not None:
        if isinstance(part, ChannelBroken):
            return content, False, channel
        content += part
    return content, True, channel


class TestChunks(unittest.TestCase):
    @settings(max_examples=400, deadline=None)
    @given(
        st.lists(st.binary(min_size=1, max_size=40), max_size=6),
        st.sampled_from(NOISE),
        st.lists(st.integers(0, 400), max_size=8),
    )
    def test_chunks_are_read_as_the_parser_reads_them(
        self, contents, end, places
    ):
        """An answer arrives in pieces cut anywhere, whole, cut or invalid.

        Chunks that arrive whole do not pass the parser. What it refuses, or
        takes for the end, must not reach a caller as content.
        """
        chunks = b''.join(b'%x\r\n%b\r\n' % (len(c), c) for c in contents)
        pieces = [HEAD, *cut(chunks + end, places)]
        content, is_whole, _ = run_paused(lambda: read_by_channel(pieces))
        self.assertEqual((content, is_whole), read_by_parser(pieces))

    def test_connection_is_used_again_behind_whole_chunks(self):
        """The parser sees neither the middle chunks nor their number."""
        answer = [HEAD + b'1\r\na\r\n', b'1\r\nb\r\n', b'2\r\ncd\r\n']
        end = [b'0\r\n\r\n']

        async def check():
            content, is_whole, channel = await read_by_channel(answer + end)
            is_reusable = channel.is_reusable()
            channel.recycle()
            channel._connection.pieces = answer + end
            await channel.send(REQUEST, b'')
            head = await channel.receive_head()
            again = await channel.receive_body()
            return content, is_whole, is_reusable, head.status, again

        self.assertEqual(run_paused(check), (b'abcd', True, True, 200, b'a'))

    def test_cancelled_wait_for_a_chunk_loses_nothing(self):
        """A deadline of a wait passes between two chunks."""

        class Late(Scripted):
            async def receive(self, max_bytes):
                await anyio.sleep(1)
                return await super().receive(max_bytes)

        async def check():
            pieces = [HEAD + b'1\r\na\r\n', b'1\r\nb\r\n', b'0\r\n\r\n']
            channel = Channel(address='x', connection=Late(pieces))
            await channel.send(REQUEST, b'')
            await channel.receive_head()
            parts = [await channel.receive_body()]
            with anyio.move_on_after(0.5):
                parts.append(await channel.receive_body())
            while parts[-1] is not None:
                parts.append(await channel.receive_body())
            return parts

        self.assertEqual(run_paused(check), [b'a', b'b', None])


class Untaken(Scripted):
    """A connection whose other side takes nothing."""

    takes_after_s = math.inf

    async def send(self, item):
        await anyio.sleep(self.takes_after_s)


class TestUntakenAnswers(unittest.TestCase):
    def setUp(self):
        self.connection = Untaken()

    def play(self, check):
        async def run():
            account = build_account(own_bytes=GATEWAY_OWN_BYTES)
            parser = h11.Connection(h11.SERVER)
            parser.receive_data(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
            while not isinstance(parser.next_event(), h11.EndOfMessage):
                pass
            holding = account.hold_answer(
                account.hold_request(lambda: None),
                None,
                lambda: reply.break_off(),
            )
            reply = Reply(
                parser=parser,
                connection=self.connection,
                holding=holding,
                closes=lambda: False,
            )
            async with anyio.create_task_group() as tasks:
                await check(account, reply, tasks)
                tasks.cancel_scope.cancel()

        run_paused(run)

    # Guards against answers that stay for callers who take none of them.
    def test_answer_that_yields_is_broken_off(self):
        async def check(account, reply, tasks):
            results = []

            async def answer():
                results.append(await reply.answer(200, (), bytes(MEGABYTE)))

            tasks.start_soon(answer)
            await anyio.sleep(3.0)
            self.assertEqual(account.answer_bytes, MEGABYTE)
            upload = account.hold_request(lambda: None)
            self.assertTrue(upload.hold(account.limits.request_bytes))
            await anyio.sleep(0.1)
            self.assertEqual((results, reply.is_finished), ([False], False))

        self.play(check)

    # Guards against an event that is kept uncounted, with what is behind it.
    def test_part_of_a_stream_counts_with_what_is_behind_it(self):
        async def check(account, reply, tasks):
            tasks.start_soon(reply.start, 200, (), b'event')
            await anyio.sleep(0.1)
            self.assertGreater(account.answer_bytes, UNREAD_ANSWER_BYTES)

        self.play(check)

    # Guards against a stream that stood still once and counts to its end.
    def test_part_of_a_stream_that_is_taken_is_free_again(self):
        async def check(account, reply, tasks):
            self.connection.takes_after_s = 1.0
            self.assertTrue(await reply.start(200, ()))
            self.assertTrue(await reply.write(b'event'))
            self.assertEqual(account.answer_bytes, 0)

        self.play(check)


class TestReply(unittest.TestCase):
    def write(self, request, parts, headers=()):
        """Return what is sent for parts of an answer, and the parser."""

        async def check():
            parser = h11.Connection(h11.SERVER)
            parser.receive_data(request)
            while not isinstance(parser.next_event(), h11.EndOfMessage):
                pass
            connection = Scripted()
            account = build_account(own_bytes=GATEWAY_OWN_BYTES)
            incoming = account.hold_request(lambda: None)
            reply = Reply(
                parser=parser,
                connection=connection,
                holding=account.hold_answer(incoming, None, lambda: None),
                closes=lambda: False,
            )
            await reply.start(200, headers, parts[0])
            for part in parts[1:]:
                await reply.write(part)
            await reply.finish()
            return connection.sent, parser

        return run_paused(check)

    def test_parts_are_chunks_and_the_connection_goes_on(self):
        """An empty part must not look like the end of the answer."""
        request = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'
        sent, parser = self.write(request, [b'one', b'', b'x' * 20])
        body = sent.partition(b'\r\n\r\n')[2]
        self.assertEqual(
            body, b'3\r\none\r\n14\r\n' + b'x' * 20 + b'\r\n0\r\n\r\n'
        )
        self.assertIs(parser.our_state, h11.DONE)

    def test_caller_that_knows_no_chunks_gets_plain_bytes(self):
        request = b'GET / HTTP/1.0\r\nHost: x\r\n\r\n'
        sent, _ = self.write(request, [b'one', b'two'])
        self.assertEqual(sent.partition(b'\r\n\r\n')[2], b'onetwo')

    def test_body_of_a_stated_length_is_not_chunked(self):
        request = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'
        sent, _ = self.write(
            request, [b'one', b'two'], ((b'Content-Length', b'6'),)
        )
        self.assertEqual(sent.partition(b'\r\n\r\n')[2], b'onetwo')


class TestEvents(unittest.TestCase):
    @given(st.lists(st.sampled_from([b'id: 1', b'id:', b'a id: 2', b'\n'])))
    def test_last_id_is_that_of_the_last_line_with_one(self, lines):
        """Another id would join two runs with an event twice or missing."""
        data = b'\n'.join(lines) + b'\n\n'
        ids = [line[3:].strip() for line in lines if line[:3] == b'id:']
        events = EventSplitter().feed(data)
        expected = ids[-1].decode() if ids else None
        self.assertEqual(events.last_id, expected)


class TestSends(unittest.TestCase):
    """Real sockets: bytes that the kernel does not take at once."""

    def connect(self, script):
        async def check():
            network = TcpNetwork()
            listener = await network.listen('127.0.0.1:0')
            accepted = []
            is_accepted = anyio.Event()

            async def hold(connection):
                accepted.append(connection)
                is_accepted.set()
                await anyio.sleep_forever()

            with anyio.fail_after(20):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(listener.serve, hold, tasks)
                    connection = await network.connect(listener.address)
                    await is_accepted.wait()
                    result = await script(connection, accepted[0])
                    tasks.cancel_scope.cancel()
            return result

        return anyio.run(check, backend_options={'use_uvloop': True})

    def test_send_behind_a_cancelled_one_overtakes_no_byte(self):
        """The other side does not read, and a long send is cancelled.

        Its rest waits in the stream. Bytes that went to the kernel past it
        would stand in the middle of another message.
        """
        long, later = b'a' * 20_000_000, b'b' * 10

        async def script(connection, other):
            # It reads on its own until it was asked for bytes once.
            await connection.send(b'-')
            await other.receive()
            with anyio.move_on_after(0.05) as scope:
                await connection.send(long)
            received = b''

            async def read():
                nonlocal received
                while not received.endswith(later):
                    received += await other.receive()

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(read)
                await connection.send(later)
            return scope.cancelled_caught, received

        was_cancelled, received = self.connect(script)
        self.assertTrue(was_cancelled)
        self.assertEqual(received, long + later)

    def test_long_send_arrives_whole_and_in_order(self):
        """The kernel takes only a part of it at once."""
        data = bytes(range(256)) * 40_000

        async def script(connection, other):
            received = b''
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(connection.send, data)
                while len(received) < len(data):
                    received += await other.receive()
            return received

        self.assertEqual(self.connect(script), data)

    def test_send_on_a_connection_that_ended_fails(self):
        """Its descriptor may belong to the connection of another caller."""

        async def script(connection, other):
            await connection.aclose()
            await anyio.sleep(0.05)
            problems = []
            for each in (connection, other):
                try:
                    while True:
                        await each.send(b'x')
                        await anyio.sleep(0.01)
                except (
                    anyio.ClosedResourceError,
                    anyio.BrokenResourceError,
                ) as error:
                    problems.append(type(error))
            return problems

        self.assertEqual(
            self.connect(script),
            [anyio.ClosedResourceError, anyio.BrokenResourceError],
        )

    def test_reset_connection_has_ended(self):
        """It is asked between the reset and the pass that tells its reader.

        Its descriptor is closed by then. An exception stops the daemon.
        """

        async def script(connection, other):
            other.extra(anyio.abc.SocketAttribute.raw_socket).setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
            await other.aclose()
            with self.assertRaises(anyio.BrokenResourceError):
                await connection.receive()
            return connection.has_ended(), connection.has_input()

        self.assertEqual(self.connect(script), (True, True))
