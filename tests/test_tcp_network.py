"""Connections over TCP, to addresses that answer and to those that do not."""

import contextlib
import fcntl
import socket
import struct
import sys
import termios
import time
import unittest
from unittest import mock

import anyio
import anyio.lowlevel
from mimosamux_daemon.adapters.tcp_network import TcpNetwork
from mimosamux_daemon.early_listeners import UNSENT_BYTES, limit_buffers

WAIT_S = 5.0
BLOCK = bytes(64 * 1024)
PASSES = 5
"""Passes of the event loop in which a connection attempt has begun."""


def listening(host='127.0.0.1', backlog=16):
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.bind((host, 0))
    listener.listen(backlog)
    return listener


def address_of(listener):
    host, port = listener.getsockname()[:2]
    return f'{host}:{port}'


READ_BYTES = 4 * 1024 * 1024
"""Bytes of an answer that are read before its reader stops."""
PAUSE_S = 0.2
"""Without progress for so long, what can be sent is sent."""


class TestBuffers(unittest.TestCase):
    # Guards against what a caller doesn't take, in a buffer that has grown.
    def test_little_lies_unsent_for_a_caller_that_stops_reading(self):
        with listening() as listener:
            limit_buffers(listener)
            reader = socket.create_connection(listener.getsockname())
            accepted, _ = listener.accept()
            with reader, accepted:
                accepted.setblocking(False)
                reader.settimeout(WAIT_S)
                received = 0
                while received < READ_BYTES:
                    self.fill(accepted)
                    received += len(reader.recv(len(BLOCK)))
                while self.fill(accepted):
                    time.sleep(PAUSE_S)
                self.assertLess(self.count_unsent(accepted), 4 * UNSENT_BYTES)

    def fill(self, accepted):
        """Send as much as the kernel takes; return how much that is."""
        sent = 0
        with contextlib.suppress(BlockingIOError):
            while True:
                sent += accepted.send(BLOCK)
        return sent

    def count_unsent(self, accepted):
        size = fcntl.ioctl(accepted, termios.TIOCOUTQ, bytes(4))
        return int.from_bytes(size, sys.byteorder)


class TestConnect(unittest.TestCase):
    def assert_carries_bytes_both_ways(self, host, address=None):
        async def check():
            with listening(host) as listener:
                port = listener.getsockname()[1]
                network = TcpNetwork()
                connection = await network.connect(f'{address or host}:{port}')
                accepted, _ = listener.accept()
                with accepted:
                    await connection.send(b'there')
                    self.assertEqual(accepted.recv(5), b'there')
                    accepted.sendall(b'back')
                    self.assertEqual(await connection.receive(), b'back')
                await connection.aclose()

        anyio.run(check)

    # Guards against bytes in the event loop's buffer that count as unsent.
    def test_bytes_that_the_event_loop_has_read_are_input(self):
        async def check():
            with listening() as listener:
                connection = await TcpNetwork().connect(address_of(listener))
                accepted, _ = listener.accept()
                with accepted:
                    accepted.sendall(b'onetwo')
                    self.assertEqual(await connection.receive(3), b'one')
                    has_input = connection.has_input()
                    self.assertEqual(await connection.receive(), b'two')
                    self.assertFalse(connection.has_input())
                await connection.aclose()
            return has_input

        for use_uvloop in (True, False):
            options = {'use_uvloop': use_uvloop}
            with self.subTest(**options):
                self.assertTrue(anyio.run(check, backend_options=options))

    def test_silent_side_ends_no_connection_on_which_nothing_is_sent(self):
        """A user timeout also ends keep-alive probes, whatever their number.

        With both, a process that stands still for a few seconds behind a slow
        link would lose its idle connections.
        """

        async def check():
            kept = []
            with listening() as listener:
                connection = await TcpNetwork().connect(address_of(listener))
                attribute = anyio.abc.SocketAttribute.raw_socket
                raw = connection.extra_attributes[attribute]()
                kept.append(
                    raw.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
                )
                await connection.aclose()
            return kept

        for use_uvloop in (False, True):
            options = {'use_uvloop': use_uvloop}
            self.assertEqual(anyio.run(check, backend_options=options), [0])

    def test_addresses_and_names_are_connected_to(self):
        """Only an IP address may skip the look-up of a name."""
        self.assert_carries_bytes_both_ways('127.0.0.1')
        self.assert_carries_bytes_both_ways('127.0.0.1', 'localhost')

    @unittest.skipUnless(socket.has_ipv6, 'no IPv6 in this Python')
    def test_ipv6_addresses_are_connected_to(self):
        """The family of the socket has to follow the address."""
        try:
            listening('::1').close()
        except OSError as error:
            self.skipTest(f'no IPv6 loopback: {error}')
        self.assert_carries_bytes_both_ways('::1')

    def test_refused_connection_is_told_as_refused(self):
        """A VM that refuses is there; only its process does not listen.

        As any other error, it would count as a VM that does not answer.
        """
        with listening() as listener:
            address = address_of(listener)
        for host in ('127.0.0.1', 'localhost'):
            port = address.rpartition(':')[2]
            with self.assertRaises(ConnectionRefusedError):
                anyio.run(TcpNetwork().connect, f'{host}:{port}')

    # Guards against an address from a table or a peer that ends the daemon.
    def test_address_that_cannot_be_is_an_os_error(self):
        async def check(address):
            with self.assertRaises(OSError):
                await TcpNetwork().connect(address)

        ports = ('', '-1', '65536', '99999', '²', '٣٣', '8 0', '1_0')
        hosts = ('', '::1%\0', 'a\0b', 'é\ud800', '\ud800', 'a..b')
        for address in (
            '127.0.0.1',
            *(f'127.0.0.1:{port}' for port in ports),
            *(f'localhost:{port}' for port in ports),
            *(f'127.0.0.1:{"9" * digits}' for digits in (6, 400, 5000)),
            *(f'{host}:80' for host in hosts),
        ):
            with self.subTest(address=ascii(address[:30])):
                anyio.run(check, address)

    def test_connection_that_was_given_up_leaves_no_socket_open(self):
        """A VM that is gone answers no attempt, and attempts time out.

        With a socket left open by each, the daemon would run out of
        descriptors and accept no callers.
        """
        made = []
        make = socket.socket

        def make_noted(*args, **kwargs):
            made.append(make(*args, **kwargs))
            return made[-1]

        async def check(address):
            with mock.patch('socket.socket', make_noted):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(TcpNetwork().connect, address)
                    for _ in range(PASSES):
                        await anyio.lowlevel.checkpoint()
                    is_open = [each.fileno() >= 0 for each in made]
                    tasks.cancel_scope.cancel()
            return is_open

        with listening(backlog=0) as listener:
            # The queue of connections to accept holds one; whoever comes
            # next gets no answer.
            filling = socket.create_connection(listener.getsockname())
            with filling:
                is_open = anyio.run(check, address_of(listener))
        self.assertEqual(is_open, [True])
        self.assertEqual([each.fileno() for each in made], [-1])

    def test_connection_that_is_reset_at_once_is_an_os_error(self):
        """An endpoint that restarts may reset a connection it just took.

        The error of the socket wrapper is no `OSError`; uncaught, it would
        fail the request in place of another attempt.
        """

        def find_reset(*_):
            raise ValueError('the socket must be connected')

        with (
            listening() as listener,
            mock.patch('anyio.abc.SocketStream.from_socket', find_reset),
            self.assertRaises(ConnectionResetError),
        ):
            anyio.run(TcpNetwork().connect, address_of(listener))


class TestListen(unittest.TestCase):
    CALLERS = 50

    def listen_for_callers(self, check):
        """Run `check` with a listener and callers who have sent a request."""

        async def run():
            listener = await TcpNetwork().listen('127.0.0.1:0')
            address = listener.address.split(':')
            callers = [
                socket.create_connection(address, timeout=10)
                for _ in range(self.CALLERS)
            ]
            for caller in callers:
                caller.sendall(b'request')
            try:
                return await check(listener, callers)
            finally:
                for caller in callers:
                    caller.close()

        for use_uvloop in (False, True):
            anyio.run(run, backend_options={'use_uvloop': use_uvloop})

    # Guards against a stop that resets the connections in the backlog.
    def test_connections_that_wait_when_accepting_ends_are_served(self):
        async def answer(connection):
            await connection.send(b'to ' + await connection.receive())
            await connection.aclose()

        async def check(listener, callers):
            async with anyio.create_task_group() as tasks:
                with anyio.CancelScope() as accepting:
                    accepting.cancel()
                    await listener.serve(answer, tasks)
                self.assertEqual(listener.opening, self.CALLERS)
            for caller in callers:
                self.assertEqual(caller.recv(100), b'to request')
            self.assertEqual(listener.opening, 0)

        self.listen_for_callers(check)

    # Guards against a stop that takes an accepted connection for none.
    def test_accepted_connections_count_until_their_handler_begins(self):
        async def check(listener, callers):
            begun, counts = [], []

            async def handle(connection):
                begun.append(connection)
                counts.append(listener.opening + len(begun))
                await anyio.sleep_forever()

            async with anyio.create_task_group() as tasks:
                with anyio.CancelScope() as accepting:
                    accepting.cancel()
                    await listener.serve(handle, tasks)
                while listener.opening:
                    await anyio.lowlevel.checkpoint()
                tasks.cancel_scope.cancel()
            self.assertEqual(counts, [len(callers)] * len(callers))

        self.listen_for_callers(check)


class TestEndOfAConnection(unittest.TestCase):
    def watch(self, end, *, unread=b'', use_uvloop=True):
        """Return whether an end is noticed before and after it comes."""

        async def check():
            listener = await TcpNetwork().listen('127.0.0.1:0')
            accepted = []
            has_accepted = anyio.Event()
            noticed = anyio.Event()

            async def watch(connection):
                accepted.append(connection)
                has_accepted.set()
                await connection.wait_ended()
                noticed.set()

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, watch, tasks)
                host, port = listener.address.rsplit(':', 1)
                caller = socket.create_connection((host, int(port)))
                await has_accepted.wait()
                caller.sendall(unread)
                await anyio.sleep(0.1)
                before = noticed.is_set()
                end(caller)
                with anyio.move_on_after(WAIT_S):
                    await noticed.wait()
                caller.close()
                await accepted[0].aclose()
                tasks.cancel_scope.cancel()
            return before, noticed.is_set()

        return anyio.run(check, backend_options={'use_uvloop': use_uvloop})

    # Guards against work for a caller whose end lies behind unread bytes.
    def test_end_is_noticed_behind_bytes_that_stay_unread(self):
        ends = (
            socket.socket.close,
            lambda caller: caller.shutdown(socket.SHUT_WR),
            reset,
        )
        for end in ends:
            for unread in (b'', b'GET / HTTP/1.1'):
                for use_uvloop in (True, False):
                    with self.subTest(unread=unread, use_uvloop=use_uvloop):
                        seen = self.watch(
                            end, unread=unread, use_uvloop=use_uvloop
                        )
                        self.assertEqual(seen, (False, True))

    # Guards against callers taken for gone where no descriptor is left.
    def test_end_is_noticed_without_a_further_descriptor(self):
        with mock.patch('select.epoll', side_effect=OSError):
            seen = self.watch(socket.socket.close, unread=b'GET')
        self.assertEqual(seen, (False, True))

    # Guards against bytes that the event loop takes before they are due:
    # their sender would be told that they were read.
    def test_bytes_nobody_receives_stay_with_the_kernel(self):
        async def check():
            listener = await TcpNetwork().listen('127.0.0.1:0')

            async def receive_once(connection):
                await connection.receive()
                await anyio.sleep(0.2)
                await connection.aclose()

            async with anyio.create_task_group() as tasks:
                host, port = listener.address.rsplit(':', 1)
                caller = socket.create_connection((host, int(port)))
                caller.sendall(b'first')
                tasks.start_soon(listener.serve, receive_once, tasks)
                await anyio.sleep(0.1)
                caller.sendall(b'second')
                await anyio.sleep(0.3)
                with caller, self.assertRaises(ConnectionResetError):
                    caller.recv(1)
                tasks.cancel_scope.cancel()

        for use_uvloop in (True, False):
            with self.subTest(use_uvloop=use_uvloop):
                anyio.run(check, backend_options={'use_uvloop': use_uvloop})


def reset(caller):
    """Close a socket with a reset."""
    linger = struct.pack('ii', 1, 0)
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    caller.close()
