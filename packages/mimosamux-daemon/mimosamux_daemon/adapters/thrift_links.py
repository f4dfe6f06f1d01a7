"""The outgoing link to one peer: a queue, a task, and reconnects."""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import anyio
import anyio.abc
from mimosamux_wire import (
    MAX_SEQUENCE,
    EnvelopeType,
    LinkClosed,
    Malformed,
    Message,
    Rejected,
    decode,
    encode,
)

from mimosamux_daemon.adapters.link_security import Link
from mimosamux_daemon.domain.names import DaemonId
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.peer import PeerUnavailable

log = get_log('peers')

QUEUE_MESSAGES = 512
QUEUE_BYTES = 8 * 1024 * 1024
JOINED_BYTES = 64 * 1024
"""Messages that are ready together are sent in one write up to here."""
NOTIFY_KEEPS_S = 2.0
"""A one-way message that could not be sent for so long is dropped."""
WRITE_TIMEOUT_S = 5.0
FIRST_RETRY_S = 0.05
LAST_RETRY_S = 2.0


class OpenLink(Protocol):
    """Connects to the peer, wherever it listens at present."""

    async def __call__(self) -> Link | LinkClosed:
        """Return an authenticated link."""


@dataclass(kw_only=True, slots=True)
class _Waiter:
    ended: anyio.Event = field(default_factory=anyio.Event)
    answer: Message | None = None
    problem: str = 'no answer in time'


@dataclass(frozen=True, kw_only=True, slots=True)
class _Queued:
    payload: bytes
    expires: float
    sequence: int = 0


class OutgoingLink:
    """Sends messages to one peer and takes the answers to them.

    A peer that does not read fills the queue, which is bounded in
    messages and bytes; what does not fit is refused at once, so that a
    slow peer costs no more memory than that.
    """

    def __init__(
        self,
        *,
        daemon: DaemonId,
        open_link: OpenLink,
        count: Callable[[str, int], None],
    ) -> None:
        self.daemon = daemon
        self.is_connected = False
        self._open_link = open_link
        self._count = count
        self._queue: deque[_Queued] = deque()
        self._queued_bytes = 0
        self._ready = anyio.Event()
        self._waiters: dict[int, _Waiter] = {}
        self._sequence = 0
        self._scope = anyio.CancelScope()

    async def call(
        self, message: Message, timeout_s: float
    ) -> Message | PeerUnavailable:
        """Send a message and wait for its answer."""
        self._sequence = self._sequence % MAX_SEQUENCE + 1
        sequence = self._sequence
        expires = anyio.current_time() + timeout_s
        if not self._put(message, EnvelopeType.CALL, expires, sequence):
            return self._unavailable('queue is full')
        waiter = self._waiters[sequence] = _Waiter()
        try:
            with anyio.move_on_after(timeout_s):
                await waiter.ended.wait()
        finally:
            self._waiters.pop(sequence, None)
        if waiter.answer is None:
            return self._unavailable(waiter.problem)
        if isinstance(waiter.answer, Rejected):
            return self._unavailable(f'rejected: {waiter.answer.problem}')
        return waiter.answer

    def notify(self, message: Message) -> bool:
        """Queue a one-way message; False if the queue is full."""
        expires = anyio.current_time() + NOTIFY_KEEPS_S
        return self._put(message, EnvelopeType.ONEWAY, expires, 0)

    def stop(self) -> None:
        """End the link's task and drop what is queued."""
        self._scope.cancel()

    async def run(self) -> None:
        """Keep the link open until it is stopped."""
        delay_s = FIRST_RETRY_S
        logged = ''
        with self._scope:
            while True:
                link = await self._open_link()
                if isinstance(link, Link):
                    delay_s = FIRST_RETRY_S
                    reason = await self._use(link)
                else:
                    reason = link.reason
                if reason != logged:
                    log.info('link_closed', peer=self.daemon, reason=reason)
                    logged = reason
                self._fail_waiters(reason)
                # Jitter: after a cut all peers would otherwise come back
                # in the same moment.
                await anyio.sleep(delay_s * random.uniform(0.5, 1.5))
                delay_s = min(LAST_RETRY_S, delay_s * 2)

    async def _use(self, link: Link) -> str:
        reason = 'ended'
        self.is_connected = True
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._write, link, tasks.cancel_scope)
                reason = await self._read(link)
                tasks.cancel_scope.cancel()
        finally:
            self.is_connected = False
            with anyio.move_on_after(1, shield=True):
                await anyio.aclose_forcefully(link.stream)
        return reason

    async def _read(self, link: Link) -> str:
        while True:
            payload = await link.reader.receive()
            if isinstance(payload, LinkClosed):
                return payload.reason
            envelope = decode(payload)
            if isinstance(envelope, Malformed):
                return envelope.problem
            waiter = self._waiters.get(envelope.sequence)
            if waiter is None:
                continue
            waiter.answer = envelope.message
            if envelope.message is None:
                waiter.problem = f'unknown answer {envelope.name!r}'
            waiter.ended.set()

    async def _write(self, link: Link, scope: anyio.CancelScope) -> None:
        while True:
            data = self._take_ready(link)
            if not data:
                self._ready = anyio.Event()
                await self._ready.wait()
                continue
            if not await write_all(link.stream, data):
                scope.cancel()
                return

    def _take_ready(self, link: Link) -> bytes:
        frames: list[bytes] = []
        size = 0
        now = anyio.current_time()
        while self._queue and size < JOINED_BYTES:
            queued = self._queue.popleft()
            self._queued_bytes -= len(queued.payload)
            if queued.expires < now:
                continue
            if queued.sequence and queued.sequence not in self._waiters:
                continue
            frames.append(link.writer.seal(queued.payload))
            size += len(frames[-1])
        return b''.join(frames)

    def _put(
        self,
        message: Message,
        kind: EnvelopeType,
        expires: float,
        sequence: int,
    ) -> bool:
        if len(self._queue) >= QUEUE_MESSAGES:
            self._drop_expired()
        payload = encode(message, kind, sequence)
        size = self._queued_bytes + len(payload)
        if len(self._queue) >= QUEUE_MESSAGES or size > QUEUE_BYTES:
            return False
        self._queued_bytes = size
        self._queue.append(
            _Queued(payload=payload, expires=expires, sequence=sequence)
        )
        self._count(type(message).__name__, len(payload))
        self._ready.set()
        return True

    def _drop_expired(self) -> None:
        now = anyio.current_time()
        kept = [queued for queued in self._queue if queued.expires >= now]
        self._queue = deque(kept)
        self._queued_bytes = sum(len(queued.payload) for queued in kept)

    def _fail_waiters(self, reason: str) -> None:
        # The answer to a message that was sent can only come on the link
        # it went out on. Waiting for its timeout would only hold up the
        # caller; those still queued go out on the next link.
        queued = {item.sequence for item in self._queue}
        for sequence, waiter in self._waiters.items():
            if sequence not in queued:
                waiter.problem = reason
                waiter.ended.set()

    def _unavailable(self, reason: str) -> PeerUnavailable:
        return PeerUnavailable(daemon=self.daemon, reason=reason)


async def write_all(stream: anyio.abc.ByteStream, data: bytes) -> bool:
    """Send bytes; False if the link broke or the peer does not read."""
    with anyio.move_on_after(WRITE_TIMEOUT_S):
        try:
            await stream.send(data)
        except (
            OSError,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            return False
        return True
    return False
