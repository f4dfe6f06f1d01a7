"""Connections that are reset while bytes are still sent on them."""

import socket
import struct
import unittest
from contextlib import asynccontextmanager, suppress
from functools import partial
from itertools import product

import anyio
from mimosamux_daemon.adapters.http1_channel import Channel, ChannelBroken
from mimosamux_daemon.adapters.tcp_network import TcpNetwork
from mimosamux_daemon.adapters.tunnel_network import TunnelNetwork
from mimosamux_daemon.adapters.tunnel_server import TunnelServer
from mimosamux_daemon.domain.http_messages import RequestHead

RESET_ON_CLOSE = struct.pack('ii', 1, 0)
REQUEST = RequestHead(
    method=b'POST',
    target=b'/draft/1',
    headers=((b'Host', b'x'), (b'Content-Length', b'100000')),
)
HALF = b'id: 1\ndata: a\n\n'
HALF_ANSWER = b'HTTP/1.1 200 OK\r\n\r\n' + HALF
BROKEN = (anyio.BrokenResourceError, anyio.EndOfStream)


class TunnelToAnywhere:
    """Routes by which all endpoints are reached through one tunnel."""

    def __init__(self, tunnel):
        self.tunnel = tunnel

    def is_cut_off(self, _):
        return True

    def tunnels_to(self, _):
        return [self.tunnel]

    def do_peers_reach(self, _):
        return True

    def note_connect(self, address, *, failed):
        pass

    def note_tunnel(self, tunnel, *, status):
        pass


@asynccontextmanager
async def connected(network):
    """Give a connection and the socket of the endpoint at its other side."""
    with socket.create_server(('127.0.0.1', 0)) as listening:
        host, port = listening.getsockname()
        connection = await network.connect(f'{host}:{port}')
        endpoint, _ = listening.accept()
        with endpoint:
            yield connection, endpoint
        await connection.aclose()


class PlainTunnels:
    """The network of a daemon that asks for a tunnel without frames."""

    def __init__(self, tunnel):
        self.tunnel = tunnel

    async def connect(self, address):
        connection = await TcpNetwork().connect(self.tunnel)
        await connection.send(
            b'CONNECT %b HTTP/1.1\r\nHost: x\r\n\r\n' % address.encode()
        )
        await connection.receive()
        return connection


@asynccontextmanager
async def tunnelled(*, is_framed=True):
    """Give the same through a tunnel, whose server is in the same loop."""
    network = TcpNetwork()
    server = TunnelServer(
        network=network, is_endpoint=bool, note_end=lambda _: None
    )
    listener = await network.listen('127.0.0.1:0')
    tunnels = PlainTunnels(listener.address)
    if is_framed:
        tunnels = TunnelNetwork(network=network, connect_timeout_s=1.0)
        tunnels.routes = TunnelToAnywhere(listener.address)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, server.serve, tasks)
        async with connected(tunnels) as pair:
            yield pair
        tasks.cancel_scope.cancel()


def reset(endpoint):
    endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    endpoint.close()


async def receive_all(connection):
    """Return what arrives, and what ended it."""
    received = b''
    try:
        while True:
            received += await connection.receive()
    except BROKEN as error:
        return received, type(error)


async def read_answer(channel):
    """Return the body of an answer and whether it is called whole."""
    body = b''
    await channel.receive_head()
    while (part := await channel.receive_body()) is not None:
        if isinstance(part, ChannelBroken):
            return body, False
        body += part
    return body, True


class TestResets(unittest.TestCase):
    # Guards against a reset that a write has met and that reads as an end.

    def check_on_both_loops(self, check, expected):
        async def run():
            with anyio.fail_after(20):
                return await check()

        for use_uvloop in (True, False):
            options = {'use_uvloop': use_uvloop}
            with self.subTest(**options):
                outcome = anyio.run(run, backend_options=options)
                self.assertEqual(outcome, expected)

    def test_write_that_met_the_reset_leaves_no_end(self):
        async def check():
            async with connected(TcpNetwork()) as (connection, endpoint):
                endpoint.sendall(HALF)
                reset(endpoint)
                with self.assertRaises(anyio.BrokenResourceError):
                    await connection.send(b'x')
                return await receive_all(connection)

        self.check_on_both_loops(check, (HALF, anyio.BrokenResourceError))

    def test_nor_where_all_that_came_was_read_before(self):
        async def check():
            async with connected(TcpNetwork()) as (connection, endpoint):
                endpoint.sendall(HALF)
                await connection.receive()
                reset(endpoint)
                with self.assertRaises(anyio.BrokenResourceError):
                    await connection.send(b'x')
                return await receive_all(connection)

        self.check_on_both_loops(check, (b'', anyio.BrokenResourceError))

    def test_reset_behind_the_own_end_is_no_end(self):
        async def check():
            async with connected(TcpNetwork()) as (connection, endpoint):
                await connection.send_eof()
                await anyio.wait_readable(endpoint)
                endpoint.sendall(HALF)
                reset(endpoint)
                return await receive_all(connection)

        self.check_on_both_loops(check, (HALF, anyio.BrokenResourceError))

    def test_long_write_that_is_reset_on_its_way_leaves_no_end(self):
        async def check():
            async with connected(TcpNetwork()) as (connection, endpoint):

                async def send():
                    with suppress(anyio.BrokenResourceError):
                        await connection.send(bytes(20_000_000))

                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(send)
                    await anyio.wait_readable(endpoint)
                    endpoint.sendall(HALF)
                    reset(endpoint)
                return await receive_all(connection)

        self.check_on_both_loops(check, (HALF, anyio.BrokenResourceError))

    def test_end_that_no_write_has_met_is_an_end(self):
        async def check():
            async with connected(TcpNetwork()) as (connection, endpoint):
                await connection.send(b'x')
                endpoint.recv(1)
                endpoint.sendall(HALF)
                endpoint.close()
                return await receive_all(connection)

        self.check_on_both_loops(check, (HALF, anyio.EndOfStream))

    def test_half_of_an_answer_to_a_long_request_is_not_whole(self):
        """Its endpoint resets before the rest of the request is sent."""

        async def check():
            async with connected(TcpNetwork()) as (connection, endpoint):
                channel = Channel(address='x', connection=connection)
                await channel.send(REQUEST, bytes(100_000))
                self.assertTrue(channel.has_rest)
                endpoint.sendall(HALF_ANSWER)
                reset(endpoint)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(channel.send_rest)
                    return await read_answer(channel)

        self.check_on_both_loops(check, (HALF, False))

    def test_half_of_an_answer_through_a_tunnel_is_not_whole(self):
        """The daemon in between meets the reset while it writes.

        It finds the request's next part and the reset in one pass of its
        event loop, in either order.
        """

        async def check(is_part_first, is_framed):
            async with tunnelled(is_framed=is_framed) as pair:
                connection, endpoint = pair
                channel = Channel(address='x', connection=connection)
                await channel.send(REQUEST, bytes(100_000))
                await anyio.wait_readable(endpoint)
                if is_part_first:
                    await channel.send_rest()
                endpoint.sendall(HALF_ANSWER)
                reset(endpoint)
                if not is_part_first:
                    await channel.send_rest()
                return await read_answer(channel)

        for case in product((True, False), repeat=2):
            with self.subTest(case=case):
                self.check_on_both_loops(partial(check, *case), (HALF, False))


if __name__ == '__main__':
    unittest.main()
