"""Streams to callers that take no chunks, and how they break off."""

import unittest
from functools import partial

import anyio
from mimosamux_daemon.adapters.http1_server import Http1Server
from mimosamux_daemon.adapters.tcp_network import TcpNetwork
from mimosamux_daemon.domain.routes import TrafficLimits

from tests.support.clock import run_paused
from tests.support.memory_network import MemoryNetwork

MACHINE = '10.0.0.1'
EVENTS = b'id: 1\n\nid: 2\n\n'
LAST_CHUNK = b'0\r\n\r\n'
OLD = b'1.0'
NEW = b'1.1'


async def break_off(reply):
    pass


async def hang(reply):
    await anyio.sleep_forever()


async def fail(reply):
    raise ValueError


async def finish(reply):
    await reply.finish()


async def serve(network, address, end, scope, *, task_status):
    """Answer requests with a stream that ends in a given way."""

    async def handle(incoming, reply):
        await reply.start(200, (), EVENTS)
        await end(reply)

    server = Http1Server(handler=handle, limits=TrafficLimits)
    with scope:
        async with anyio.create_task_group() as tasks:
            listener = await network.listen(address)
            task_status.started(listener.address)
            await listener.serve(server.serve, tasks)


async def read_stream(connection, trouble):
    """Return all bytes and whether they end in order, behind a trouble."""
    received = b''
    while True:
        try:
            received += await connection.receive()
        except anyio.EndOfStream:
            return received, True
        except anyio.BrokenResourceError:
            return received, False
        trouble()


async def play(client, server, address, end, version=OLD, trouble=None):
    """Request a stream; a trouble comes behind its events, None: a stop."""
    async with anyio.create_task_group() as tasks:
        stop = anyio.CancelScope()
        taken = await tasks.start(serve, server, address, end, stop)
        connection = await client.connect(taken)
        await connection.send(b'GET / HTTP/%s\r\nHost: x\r\n\r\n' % version)
        read = await read_stream(connection, trouble or stop.cancel)
        stop.cancel()
    return read


def go_on(network=None):
    pass


def kill(network):
    network.kill(MACHINE, in_order=True)


class TestOldCallers(unittest.TestCase):
    # Guards against a stream that breaks off and looks whole over HTTP/1.0.

    def stream(self, end, version=OLD, trouble=go_on):
        async def check():
            network = MemoryNetwork()
            return await play(
                network.at('10.0.0.9'),
                network.at(MACHINE),
                f'{MACHINE}:80',
                end,
                version,
                partial(trouble, network) if trouble else None,
            )

        return run_paused(check)

    def test_stream_that_breaks_off_is_reset(self):
        for end in (break_off, fail):
            with self.subTest(end=end.__name__):
                self.assertFalse(self.stream(end)[1])

    def test_stop_and_kill_of_the_daemon_reset_it(self):
        for trouble in (None, kill):
            with self.subTest(trouble=trouble):
                self.assertFalse(self.stream(hang, trouble=trouble)[1])

    def test_whole_stream_ends_in_order(self):
        received, is_in_order = self.stream(finish)
        self.assertTrue(is_in_order)
        self.assertTrue(received.endswith(EVENTS))

    def test_chunks_that_break_off_have_no_end(self):
        received, is_in_order = self.stream(break_off, NEW)
        self.assertTrue(is_in_order)
        self.assertIn(EVENTS, received)
        self.assertNotIn(LAST_CHUNK, received)


class TestOldCallersOverTcp(unittest.TestCase):
    # Guards against a kernel that ends in order what is to be reset.

    def stream(self, end, trouble):
        async def check():
            network = TcpNetwork()
            return await play(
                network, network, '127.0.0.1:0', end, trouble=trouble
            )

        return anyio.run(check)

    def test_stop_of_the_daemon_resets_it(self):
        self.assertFalse(self.stream(hang, None)[1])

    def test_whole_stream_ends_in_order(self):
        received, is_in_order = self.stream(finish, go_on)
        self.assertTrue(is_in_order)
        self.assertTrue(received.endswith(EVENTS))


if __name__ == '__main__':
    unittest.main()
