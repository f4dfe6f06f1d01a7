"""A network in memory, on whatever clock the test runs: cuts and resets.

The host of an address names a machine. Bytes between two machines that are
cut off from each other wait, as they do in TCP, until the cut is over.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
import anyio.abc
import anyio.lowlevel
from mimosamux_daemon.ports.network import Connection, ConnectionHandler

LATENCY_S = 0.0005


def machine_of(address):
    return address.rpartition(':')[0]


class MemoryConnection(Connection):
    """One end of a connection."""

    def __init__(self, *, network, here, there):
        self.network = network
        self.here = here
        self.there = there
        self.other = None
        self._arrived = bytearray()
        self._underway = []
        self._is_ended = False
        self._is_reset = False
        self._is_closed = False
        self._is_silent = False
        self._resets_on_close = False
        self._changed = anyio.Event()

    @property
    def extra_attributes(self):
        return {}

    async def receive(self, max_bytes=65536):
        while not self._arrived:
            if self._is_reset:
                raise anyio.BrokenResourceError
            if self._is_closed:
                raise anyio.ClosedResourceError
            if self._is_ended:
                raise anyio.EndOfStream
            await self._changed.wait()
        data = bytes(self._arrived[:max_bytes])
        del self._arrived[:max_bytes]
        return data

    async def send(self, item):
        await anyio.sleep(LATENCY_S)
        if self._is_reset:
            raise anyio.BrokenResourceError
        if self._is_closed:
            raise anyio.ClosedResourceError
        self.other.underway(bytes(item))

    async def send_eof(self):
        await anyio.lowlevel.checkpoint()
        self.other.underway(None)

    async def aclose(self):
        if self._resets_on_close:
            self.abort()
        if not self._is_closed:
            self._is_closed = True
            self.other.underway(None)
            self._wake()
        await anyio.lowlevel.checkpoint()

    def abort(self):
        self.reset()
        self.other.reset()

    def reset_on_close(self, resets):
        self._resets_on_close = resets

    def end(self):
        """End it as a kernel does for a process that is gone."""
        if self._resets_on_close:
            self.abort()
        else:
            self.other.underway(None)
            self.reset()

    def has_input(self):
        return bool(self._arrived) or self.has_ended()

    def has_ended(self):
        return self._is_ended or self._is_reset

    async def wait_ended(self):
        while not (self.has_ended() or self._is_closed):
            await self._changed.wait()

    def underway(self, item):
        self._underway.append(item)
        self.flush()

    def flush(self):
        """Take in what is under way, unless the machines are cut off."""
        if self._is_silent or self.network.is_cut(self.there, self.here):
            return
        underway, self._underway = self._underway, []
        for item in underway:
            if item is None:
                self._is_ended = True
            else:
                self._arrived += item
        self._wake()

    def silence(self):
        """Deliver nothing any more to this end, without a reset."""
        self._is_silent = True

    def reset(self):
        self._is_reset = True
        self._arrived.clear()
        self._wake()

    def _wake(self):
        changed, self._changed = self._changed, anyio.Event()
        changed.set()


@dataclass(kw_only=True, eq=False)
class MemoryListener:
    network: 'MemoryNetwork'
    address: str
    handler: ConnectionHandler | None = None
    tasks: anyio.abc.TaskGroup | None = None
    opening: int = 0

    def limit_buffers(self):
        """Nothing lies unread in a network without buffers."""

    async def accept(self, connection, delay_s):
        try:
            if delay_s:
                await anyio.sleep(delay_s)
        finally:
            self.opening -= 1
        await self.handler(connection)

    async def serve(self, handler, tasks):
        self.handler, self.tasks = handler, tasks
        try:
            await anyio.sleep_forever()
        finally:
            if self.network.listeners.get(self.address) is self:
                del self.network.listeners[self.address]


@dataclass(kw_only=True)
class MemoryNetwork:
    """All machines and the connections between them."""

    listeners: dict = field(default_factory=dict)
    connections: list = field(default_factory=list)
    cuts: set = field(default_factory=set)
    """Pairs of machines: nothing gets from the first to the second."""
    refused: set = field(default_factory=set)
    """Pairs of machines: the second resets new connections of the first."""
    dark: set = field(default_factory=set)
    """Machines without power: they answer nothing."""
    accept_delay_s: dict = field(default_factory=dict)
    """By address, how long new connections wait to be accepted there."""

    def at(self, machine):
        return MachineNetwork(network=self, machine=machine)

    def is_cut(self, source, target):
        return (
            (source, target) in self.cuts
            or source in self.dark
            or target in self.dark
        )

    def cut(self, first, second, *, one_way=False):
        self.cuts.add((first, second))
        if not one_way:
            self.cuts.add((second, first))

    def heal(self):
        self.cuts.clear()
        self.refused.clear()
        for connection in self.connections:
            connection.flush()

    def reset(self, does_match: Callable[[MemoryConnection], bool]):
        for connection in tuple(self.connections):
            if does_match(connection):
                connection.reset()
                connection.other.reset()

    def silence(self, does_match: Callable[[MemoryConnection], bool]):
        for connection in tuple(self.connections):
            if does_match(connection):
                connection.silence()

    def kill(self, machine, *, in_order=False):
        """Take a machine's listeners and connections away at once.

        A kernel resets the connections of a process that ends, or ends them
        in order where nothing unread lies.
        """
        for address in list(self.listeners):
            if machine_of(address) == machine:
                del self.listeners[address]
        if in_order:
            self.end_connections(machine)
        self.reset(lambda each: machine in (each.here, each.there))

    def end_connections(self, machine):
        """End the connections of a machine in order, from its side."""
        ended = [each for each in self.connections if each.here == machine]
        for connection in ended:
            connection.end()
            self.connections.remove(connection)
            self.connections.remove(connection.other)


@dataclass(frozen=True, kw_only=True)
class MachineNetwork:
    """The `Network` port of one machine."""

    network: MemoryNetwork
    machine: str

    async def connect(self, address):
        network, target = self.network, machine_of(address)
        await anyio.sleep(2 * LATENCY_S)
        if network.is_cut(self.machine, target) or network.is_cut(
            target, self.machine
        ):
            await anyio.sleep_forever()
        listener = network.listeners.get(address)
        is_refused = (self.machine, target) in network.refused
        if is_refused or listener is None or listener.handler is None:
            raise ConnectionRefusedError(address)
        mine = MemoryConnection(
            network=network, here=self.machine, there=target
        )
        theirs = MemoryConnection(
            network=network, here=target, there=self.machine
        )
        mine.other, theirs.other = theirs, mine
        network.connections += [mine, theirs]
        delay_s = network.accept_delay_s.get(address, 0.0)
        listener.opening += 1
        listener.tasks.start_soon(listener.accept, theirs, delay_s)
        return mine

    async def listen(self, address):
        listener = MemoryListener(network=self.network, address=address)
        self.network.listeners[address] = listener
        return listener
