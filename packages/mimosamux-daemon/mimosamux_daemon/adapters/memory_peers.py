"""The `Peers` port in memory, with the faults that links can have."""

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import anyio
import anyio.abc
import anyio.lowlevel
from mimosamux_wire import (
    Envelope,
    EnvelopeType,
    Message,
    decode,
    encode,
)

from mimosamux_daemon.domain.names import DaemonId
from mimosamux_daemon.errors import InvariantViolation
from mimosamux_daemon.ports.peer import Handler, MessageT, PeerUnavailable

WAKING_S = 0.05


@dataclass(kw_only=True, slots=True)
class NetworkFaults:
    """What goes wrong at present; tests change it while running."""

    delay_s: float = 0.0
    cut: set[tuple[DaemonId, DaemonId]] = field(default_factory=set)
    """Messages from the first to the second are lost."""
    lose_next_answers: int = 0
    """So many calls are handled and their answers are lost."""
    lose_next_notices: int = 0
    """So many one-way messages are lost."""

    def separate(
        self, some: set[DaemonId], others: set[DaemonId]
    ) -> set[tuple[DaemonId, DaemonId]]:
        """Cut every link between two groups; return what was cut."""
        pairs = {(one, other) for one in some for other in others}
        pairs |= {(other, one) for one, other in pairs}
        self.cut |= pairs
        return pairs


class MemoryNetwork:
    """Delivers messages between the daemons of one process."""

    def __init__(self) -> None:
        self.faults = NetworkFaults()
        self.peers_by_id: dict[DaemonId, MemoryPeers] = {}
        self.sent_by_name: Counter[str] = Counter()
        self.bytes_by_name: Counter[str] = Counter()
        self._tasks: anyio.abc.TaskGroup | None = None

    def join(self, daemon: DaemonId) -> 'MemoryPeers':
        """Return the port of a daemon; an earlier one gets no more."""
        peers = MemoryPeers(daemon=daemon, network=self)
        self.peers_by_id[daemon] = peers
        return peers

    def leave(self, daemon: DaemonId) -> None:
        """Take a daemon off the network, as when its process dies."""
        self.peers_by_id.pop(daemon, None)

    async def run(self) -> None:
        """Carry one-way messages until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            await anyio.sleep_forever()

    def start_notice(
        self, sender: 'MemoryPeers', daemon: DaemonId, message: Message
    ) -> None:
        """Deliver a one-way message in the background."""
        if self._tasks is not None:
            self._tasks.start_soon(self._notice, sender, daemon, message)

    async def carry(
        self,
        sender: 'MemoryPeers',
        daemon: DaemonId,
        message: Message,
        kind: EnvelopeType,
    ) -> Message | None:
        """Carry a message and return what the handler answers."""
        # Encoding for real shows what cannot be sent, and keeps daemons
        # from sharing an object that one of them changes later.
        data = encode(message, kind, 1)
        self.sent_by_name[type(message).__name__] += 1
        self.bytes_by_name[type(message).__name__] += len(data)
        await self._cross(sender, daemon)
        receiver = self.peers_by_id.get(daemon)
        if receiver is None:
            await anyio.sleep(math.inf)
            return None
        if not receiver.is_awake:
            # A process that goes on after a stop runs its overdue timers
            # before it has read what came in meanwhile.
            await receiver.awake()
            await anyio.sleep(WAKING_S)
        answer = await receiver.give(sender.daemon, _copy(data))
        if kind is EnvelopeType.ONEWAY or answer is None:
            return answer
        if self.faults.lose_next_answers > 0:
            self.faults.lose_next_answers -= 1
            await anyio.sleep(math.inf)
        data = encode(answer, EnvelopeType.REPLY, 1)
        self.bytes_by_name[type(answer).__name__] += len(data)
        await self._cross(receiver, sender.daemon)
        return _copy(data)

    async def _notice(
        self, sender: 'MemoryPeers', daemon: DaemonId, message: Message
    ) -> None:
        if self.faults.lose_next_notices > 0:
            self.faults.lose_next_notices -= 1
            return
        with anyio.move_on_after(60):
            await self.carry(sender, daemon, message, EnvelopeType.ONEWAY)

    async def _cross(self, sender: 'MemoryPeers', to: DaemonId) -> None:
        await anyio.lowlevel.checkpoint()
        if self.faults.delay_s:
            await anyio.sleep(self.faults.delay_s)
        is_stale = self.peers_by_id.get(sender.daemon) is not sender
        if is_stale or (sender.daemon, to) in self.faults.cut:
            await anyio.sleep(math.inf)


class MemoryPeers:
    """The port of one daemon on a `MemoryNetwork`."""

    def __init__(self, *, daemon: DaemonId, network: MemoryNetwork) -> None:
        self.daemon = daemon
        self._network = network
        self._handlers: dict[type[Message], Callable[..., Any]] = {}
        self._awake = anyio.Event()
        self._awake.set()

    async def call(
        self, daemon: DaemonId, message: Message, *, timeout_s: float = 2.0
    ) -> Message | PeerUnavailable:
        """Send a message and return the peer's answer to it."""
        await self.awake()
        answer = None
        reason = 'no answer in time'
        with anyio.move_on_after(timeout_s):
            answer = await self._network.carry(
                self, daemon, message, EnvelopeType.CALL
            )
            reason = 'rejected'
        await self.awake()
        if answer is None:
            return PeerUnavailable(daemon=daemon, reason=reason)
        return answer

    async def notify(self, daemon: DaemonId, message: Message) -> None:
        """Send a message that has no answer; it may be lost."""
        await self.awake()
        self._network.start_notice(self, daemon, message)

    def handle(self, kind: type[MessageT], handler: Handler[MessageT]) -> None:
        """Have messages of `kind` that come in given to `handler`."""
        self._handlers[kind] = handler

    def set_address(self, daemon: DaemonId, address: str) -> None:
        """Do nothing: names are enough in memory."""

    def forget(self, daemon: DaemonId) -> None:
        """Do nothing: there is no link to drop."""

    def pause(self) -> None:
        """Hold everything, as when the process is stopped."""
        self._awake = anyio.Event()

    def resume(self) -> None:
        """Go on; what came in meanwhile is delivered now."""
        self._awake.set()

    @property
    def is_awake(self) -> bool:
        """Tell whether the daemon is not paused."""
        return self._awake.is_set()

    async def awake(self) -> None:
        """Return once the daemon is not paused."""
        await self._awake.wait()

    async def sleep(self, seconds: float) -> None:
        """Sleep as a process does: not waking up while it is paused."""
        await anyio.sleep(seconds)
        await self.awake()

    async def give(self, sender: DaemonId, message: Message) -> Message | None:
        """Have a message handled and return the answer."""
        handler = self._handlers.get(type(message))
        if handler is None:
            return None
        answer: Message | None = await handler(sender, message)
        return answer


def _copy(data: bytes) -> Message:
    envelope = decode(data)
    if not isinstance(envelope, Envelope) or envelope.message is None:
        raise InvariantViolation(f'cannot read what was encoded: {envelope}')
    return envelope.message
