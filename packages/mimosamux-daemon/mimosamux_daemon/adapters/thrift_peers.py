"""The `Peers` port over thrift messages in frames on TCP links."""

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import anyio
import anyio.abc
from aioprometheus import Counter
from mimosamux_wire import (
    Envelope,
    EnvelopeType,
    LinkClosed,
    Malformed,
    Message,
    Rejected,
    decode,
    encode,
)

from mimosamux_daemon.adapters.link_security import (
    Link,
    LinkSecurity,
    Side,
    open_link,
)
from mimosamux_daemon.adapters.tcp_network import TcpNetwork
from mimosamux_daemon.adapters.thrift_links import (
    QUEUE_BYTES,
    OutgoingLink,
    write_all,
)
from mimosamux_daemon.callers import Newcomers
from mimosamux_daemon.domain.names import DaemonId
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.network import Connection, Network
from mimosamux_daemon.ports.peer import Handler, MessageT, PeerUnavailable

log = get_log('peers')

CALLS_AT_ONCE = 64
"""Calls of one peer that are worked on together; more wait in TCP."""
CONNECT_TIMEOUT_S = 2.0
MAX_CONNECTIONS = 1024


class PeerMetrics(Protocol):
    """The metrics that a daemon keeps of its links."""

    peer_bytes: Counter
    """Bytes sent to other daemons, by message."""


class ThriftPeers:
    """One outgoing link to each peer, and the links that peers open."""

    def __init__(
        self,
        *,
        daemon: DaemonId,
        host: str,
        port: int,
        security: LinkSecurity,
        metrics: PeerMetrics | None = None,
        network: Network | None = None,
        descriptors: int = 0,
    ) -> None:
        self._network = TcpNetwork() if network is None else network
        self.listening = anyio.Event()
        self.address = ''
        """Host and port of the listener once it listens."""
        self._daemon = daemon
        self._host = host
        self._port = port
        self._security = security
        self._metrics = metrics
        self._tasks: anyio.abc.TaskGroup | None = None
        self._handlers: dict[type[Message], Callable[..., Any]] = {}
        self._addresses_by_id: dict[DaemonId, str] = {}
        self._links_by_id: dict[DaemonId, OutgoingLink] = {}
        self._connections = 0
        self._newcomers = Newcomers(descriptors=descriptors)

    async def call(
        self, daemon: DaemonId, message: Message, *, timeout_s: float = 2.0
    ) -> Message | PeerUnavailable:
        """Send a message and return the peer's answer to it."""
        link = self._link_to(daemon)
        if isinstance(link, PeerUnavailable):
            return link
        return await link.call(message, timeout_s)

    async def notify(self, daemon: DaemonId, message: Message) -> None:
        """Send a message that has no answer; it may be lost."""
        link = self._link_to(daemon)
        if isinstance(link, OutgoingLink):
            link.notify(message)

    def handle(self, kind: type[MessageT], handler: Handler[MessageT]) -> None:
        """Have messages of `kind` that come in given to `handler`.

        Handlers of one-way messages run one after the other for each
        peer, so they have to be quick; calls run side by side.
        """
        self._handlers[kind] = handler

    def set_address(self, daemon: DaemonId, address: str) -> None:
        """Say where a peer listens; a link to elsewhere is dropped."""
        known = self._addresses_by_id.get(daemon)
        if known == address or daemon == self._daemon:
            return
        self._addresses_by_id[daemon] = address
        if known is not None:
            self._drop_link(daemon)

    def forget(self, daemon: DaemonId) -> None:
        """Drop the link to a daemon that is gone."""
        self._addresses_by_id.pop(daemon, None)
        self._drop_link(daemon)

    async def run(self) -> None:
        """Listen, and keep the links open, until cancelled."""
        listener = await self._network.listen(f'{self._host}:{self._port}')
        self.address = listener.address
        listener.may_accept = self._newcomers.may_accept
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            self.listening.set()
            await listener.serve(self._serve, tasks)

    def _link_to(self, daemon: DaemonId) -> OutgoingLink | PeerUnavailable:
        link = self._links_by_id.get(daemon)
        if link is not None:
            return link
        if self._tasks is None or daemon not in self._addresses_by_id:
            return PeerUnavailable(daemon=daemon, reason='address not known')

        async def connect() -> Link | LinkClosed:
            return await self._connect(daemon)

        link = OutgoingLink(
            daemon=daemon, open_link=connect, count=self._count
        )
        self._links_by_id[daemon] = link
        self._tasks.start_soon(link.run)
        return link

    def _drop_link(self, daemon: DaemonId) -> None:
        link = self._links_by_id.pop(daemon, None)
        if link is not None:
            link.stop()

    async def _connect(self, daemon: DaemonId) -> Link | LinkClosed:
        address = self._addresses_by_id.get(daemon)
        if address is None:
            # The peer was forgotten before the link's task first ran.
            return LinkClosed(reason='address not known')
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await self._network.connect(address)
        except (OSError, TimeoutError) as error:
            return LinkClosed(reason=f'{type(error).__name__}: {error}')
        link = await open_link(
            stream,
            me=self._daemon,
            side=Side.INITIATOR,
            security=self._security,
            expected=daemon,
        )
        if isinstance(link, LinkClosed):
            await anyio.aclose_forcefully(stream)
        return link

    async def _serve(self, stream: Connection) -> None:
        if self._connections >= MAX_CONNECTIONS:
            await anyio.aclose_forcefully(stream)
            return
        self._connections += 1
        link: Link | LinkClosed = LinkClosed(reason='no proof of who it is')
        try:
            with self._newcomers.admit():
                link = await open_link(
                    stream,
                    me=self._daemon,
                    side=Side.ACCEPTOR,
                    security=self._security,
                )
            reason = (
                link.reason
                if isinstance(link, LinkClosed)
                else await _Incoming(
                    link=link, handlers=self._handlers, count=self._count
                ).run()
            )
            log.info('link_ended', reason=reason)
        finally:
            self._connections -= 1
            with anyio.move_on_after(1, shield=True):
                await anyio.aclose_forcefully(stream)

    def _count(self, name: str, size: int) -> None:
        if self._metrics is not None:
            self._metrics.peer_bytes.add({'message': name}, size)


class _Incoming:
    """A link that a peer has opened: its messages, and our answers."""

    def __init__(
        self,
        *,
        link: Link,
        handlers: dict[type[Message], Callable[..., Any]],
        count: Callable[[str, int], None],
    ) -> None:
        self._link = link
        self._handlers = handlers
        self._count = count
        self._writing = anyio.Lock()
        self._places = anyio.Semaphore(CALLS_AT_ONCE)
        self._unsent_bytes = 0

    async def run(self) -> str:
        """Serve the peer until the link ends; return why it did."""
        reason = 'peer does not take its answers'
        async with anyio.create_task_group() as tasks:
            reason = await self._read(tasks)
            tasks.cancel_scope.cancel()
        return reason

    async def _read(self, tasks: anyio.abc.TaskGroup) -> str:
        while True:
            payload = await self._link.reader.receive()
            if isinstance(payload, LinkClosed):
                return payload.reason
            envelope = decode(payload)
            if isinstance(envelope, Malformed):
                return envelope.problem
            if envelope.type is EnvelopeType.CALL:
                await self._places.acquire()
                tasks.start_soon(self._answer, envelope, tasks.cancel_scope)
            elif envelope.type is EnvelopeType.ONEWAY:
                await self._give(envelope)

    async def _answer(
        self, envelope: Envelope, scope: anyio.CancelScope
    ) -> None:
        try:
            answer = await self._give(envelope)
            if not await self._send(envelope, answer):
                scope.cancel()
        finally:
            self._places.release()

    async def _send(self, envelope: Envelope, answer: Message | None) -> bool:
        """Send an answer; False if the peer does not take it."""
        kind = EnvelopeType.REPLY
        if answer is None:
            kind = EnvelopeType.REJECTION
            answer = Rejected(problem=f'no answer to {envelope.name!r}')
        payload = encode(answer, kind, envelope.sequence)
        self._count(type(answer).__name__, len(payload))
        # A peer that asks and does not read would have its answers pile
        # up here: 64 snapshots of some megabytes fill a small VM.
        if self._unsent_bytes and (
            self._unsent_bytes + len(payload) > QUEUE_BYTES
        ):
            return False
        self._unsent_bytes += len(payload)
        async with self._writing:
            frame = self._link.writer.seal(payload)
            is_sent = await write_all(self._link.stream, frame)
        self._unsent_bytes -= len(payload)
        return is_sent

    async def _give(self, envelope: Envelope) -> Message | None:
        message = envelope.message
        handler = self._handlers.get(type(message)) if message else None
        if handler is None:
            # A newer daemon beside this one during a rolling replacement
            # may send what this one does not know; that harms nothing.
            log.info('message_unknown', message=envelope.name)
            return None
        work: Awaitable[Message | None] = handler(self._link.daemon, message)
        return await work
