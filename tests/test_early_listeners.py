"""Callers who connect while a daemon is still loading its modules."""

import errno
import socket
import unittest

import anyio
import anyio.lowlevel
from mimosamux_daemon.adapters.tcp_network import TcpListener, TcpNetwork
from mimosamux_daemon.core import find_early_addresses
from mimosamux_daemon.early_listeners import open_early_listeners


def free_address():
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{probe.getsockname()[1]}'


class Exhausted:
    """A listening socket of a process that has no descriptors left."""

    def __init__(self, listening, *, failures):
        self.listening = listening
        self.failures = failures
        self.tries = 0

    def __enter__(self):
        return self

    def __exit__(self, *details):
        self.listening.close()

    def __getattr__(self, name):
        return getattr(self.listening, name)

    def accept(self):
        self.tries += 1
        if self.failures:
            self.failures -= 1
            raise OSError(errno.EMFILE, 'too many open files')
        return self.listening.accept()


class TestEarlyListeners(unittest.TestCase):
    def test_caller_who_connects_during_the_start_is_served(self):
        """All daemons were killed and are starting again.

        A caller connects before the modules are loaded. Turned away with a
        reset at every daemon, it has used up its tries before one is ready.
        """

        async def check():
            address = free_address()
            opened = open_early_listeners([address])
            network = TcpNetwork(opened=opened)
            caller = await TcpNetwork().connect(address)
            await caller.send(b'early')
            received = []

            async def answer(connection):
                received.append(await connection.receive())
                await connection.send(b'served')

            async with anyio.create_task_group() as tasks:
                listener = await network.listen(address)
                tasks.start_soon(listener.serve, answer, tasks)
                received.append(await caller.receive())
                tasks.cancel_scope.cancel()
            await caller.aclose()
            return received, listener.address == address, opened

        received, is_same, left = anyio.run(check)
        self.assertEqual(received, [b'early', b'served'])
        self.assertTrue(is_same)
        self.assertEqual(left, {})

    def test_connections_that_waited_are_accepted_together(self):
        """A daemon starts again, and fifty callers wait to be accepted.

        Accepted one in a few passes of the event loop, the last of them
        waited for longer than callers do: their requests were read when they
        had left, though no timer of the daemon was late.
        """
        callers, passes = 50, 20

        async def check():
            address = free_address()
            network = TcpNetwork(opened=open_early_listeners([address]))
            waiting = [
                await TcpNetwork().connect(address) for _ in range(callers)
            ]
            accepted = []

            async def handle(connection):
                accepted.append(connection)
                await anyio.sleep_forever()

            async with anyio.create_task_group() as tasks:
                listener = await network.listen(address)
                tasks.start_soon(listener.serve, handle, tasks)
                for _ in range(passes):
                    await anyio.lowlevel.checkpoint()
                tasks.cancel_scope.cancel()
            for caller in waiting:
                await caller.aclose()
            return len(accepted)

        self.assertEqual(anyio.run(check), callers)

    def test_daemon_without_descriptors_accepts_once_it_has_some(self):
        """A flood takes all descriptors of a daemon for a while.

        Accepting fails, and the socket says all the time that connections
        wait. Tried in each pass of the event loop, it would take the time of
        the callers who are being served.
        """

        async def check():
            address = free_address()
            opened = open_early_listeners([address])
            listening = Exhausted(opened[address], failures=1)
            caller = await TcpNetwork().connect(address)
            accepted = anyio.Event()

            async def handle(connection):
                accepted.set()
                await anyio.sleep_forever()

            async with anyio.create_task_group() as tasks:
                listener = TcpListener(listening=listening)
                tasks.start_soon(listener.serve, handle, tasks)
                for _ in range(20):
                    await anyio.lowlevel.checkpoint()
                tries = listening.tries
                with anyio.fail_after(10):
                    await accepted.wait()
                tasks.cancel_scope.cancel()
            await caller.aclose()
            return tries

        self.assertEqual(anyio.run(check), 1)

    def test_address_that_cannot_be_had_is_left_to_the_listener(self):
        """Another process has the address, or the settings hold none."""
        with socket.socket() as other:
            other.bind(('127.0.0.1', 0))
            other.listen()
            taken = f'127.0.0.1:{other.getsockname()[1]}'
            odd = [taken, 'nowhere', '127.0.0.1:no', '127.0.0.1:99999', None]
            self.assertEqual(open_early_listeners(odd), {})

    def test_only_a_gateway_listens_early(self):
        listen = {'entry': '10.0.0.1:80', 'peers': '10.0.0.1:81'}
        fields = {'adapter': 'some_platform', 'listen': listen}
        found = find_early_addresses(fields)
        self.assertEqual(found[0], '10.0.0.1:80')
        self.assertEqual(found[-1], '10.0.0.1:81')
        self.assertEqual(find_early_addresses({'listen': listen}), [])
        self.assertEqual(find_early_addresses({'adapter': 'x'}), [])
