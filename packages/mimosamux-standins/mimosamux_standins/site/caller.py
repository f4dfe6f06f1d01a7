"""Stand-in of a caller: asks for addresses, sends, and checks answers."""

import random
import uuid
from collections.abc import Callable, Iterable, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any
from urllib.parse import urlencode

import anyio
import h11
import orjson
from mimosamux_daemon.adapters.http1_channel import (
    BROKEN,
    Channel,
    ChannelBroken,
    describe,
)
from mimosamux_daemon.adapters.http1_channels import Channels
from mimosamux_daemon.domain.http_messages import (
    AnswerHead,
    RawHeaders,
    RequestHead,
    find_value,
)
from mimosamux_daemon.ports.network import Connection, Network

HOST = 'site.example'
STOPPED_WAITING = 'the caller stopped waiting'
"""Problem of an attempt whose answer did not arrive in the caller's time."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerAnswer:
    """What a caller got for one attempt."""

    id: str
    sent_at: float
    ended_at: float
    status: int | None
    """None: no answer, or one that broke off in its head."""
    headers: RawHeaders = ()
    body: bytes = b''
    is_whole: bool = False
    problem: str = ''
    whole_at: float | None = None
    """When the last byte of the request was sent, None if it was not."""

    @property
    def retry_after_s(self) -> float | None:
        """Return when the caller is told to come again."""
        value = find_value(self.headers, b'retry-after')
        return None if value is None else float(value)


@dataclass(kw_only=True, slots=True)
class StandInCaller:
    """Sends requests to daemons, each on a connection that may be kept."""

    network: Network
    key: str | None = None
    patience_s: float = 3.0
    leaves_after_s: float | None = None
    """When it hangs up, although it said that it would wait longer."""
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    answers: list[CallerAnswer] = field(default_factory=list)
    channels: Channels = field(init=False)

    def __post_init__(self) -> None:
        self.channels = Channels(network=self.network, connect_timeout_s=1.0)

    @property
    def _waits_s(self) -> float:
        if self.leaves_after_s is not None:
            return self.leaves_after_s
        return self.patience_s + 0.05

    async def resolve(self, directory: str, zone: str = '') -> list[str]:
        """Return the addresses that a daemon tells."""
        query = urlencode({'name': HOST, 'zone': zone, 'region': ''})
        answer = await self._exchange(
            directory,
            RequestHead(
                method=b'GET',
                target=f'/api/resolution?{query}'.encode(),
                headers=((b'Host', directory.encode()),),
            ),
            b'',
            'resolve',
        )
        addresses: list[str] = orjson.loads(answer.body)['addresses']
        return addresses

    async def send(
        self,
        address: str,
        target: str,
        *,
        method: str = 'POST',
        body: bytes = b'',
        headers: RawHeaders = (),
        id_: str | None = None,
    ) -> CallerAnswer:
        """Send one attempt and return what came of it."""
        id_ = id_ or self._make_id()
        head = self._make_head(id_, target, method, body, headers)
        answer = await self._exchange(address, head, body, id_)
        self.answers.append(answer)
        return answer

    async def send_until_served(
        self,
        addresses: Iterable[str],
        target: str,
        *,
        pause_s: float,
        **fields: Any,
    ) -> list[CallerAnswer]:
        """Send the same, to the letter, to each address until one serves it.

        Each is an attempt of its own. Returns what came of them.
        """
        answers: list[CallerAnswer] = []
        for address in addresses:
            if answers:
                await anyio.sleep(pause_s)
            answer = await self.send(address, target, **fields)
            answers.append(answer)
            if answer.status == HTTPStatus.OK and answer.is_whole:
                break
        return answers

    async def send_pair(
        self,
        address: str,
        targets: Sequence[str],
        *,
        between_s: float,
        body: bytes = b'',
        headers: RawHeaders = (),
    ) -> list[CallerAnswer]:
        """Send two attempts, the second before the first is answered.

        Both go on one new connection, unless its end is announced before the
        second. Returns what came of those that were sent.
        """
        pair = _Pair(waits_s=self._waits_s)
        for target in targets:
            id_ = self._make_id()
            head = self._make_head(id_, target, 'POST', body, headers)
            pair.requests.append((id_, head, body))
        try:
            connection = await self.network.connect(address)
        except OSError as error:
            return [
                _no_answer(id_, anyio.current_time(), describe(error))
                for id_, _, _ in pair.requests[:1]
            ]
        answers = await pair.exchange(address, connection, between_s)
        self.answers += answers
        return answers

    def _make_id(self) -> str:
        return uuid.UUID(int=self.rng.getrandbits(128)).hex[:16]

    def _make_head(
        self,
        id_: str,
        target: str,
        method: str,
        body: bytes,
        headers: RawHeaders,
    ) -> RequestHead:
        own: list[tuple[bytes, bytes]] = [
            (b'Host', HOST.encode()),
            (b'X-Attempt-Id', id_.encode()),
            (b'X-Deadline-Ms', b'%d' % (self.patience_s * 1000)),
        ]
        if self.key is not None:
            own.append((b'X-Key', self.key.encode()))
        if body or method != 'GET':
            own.append((b'Content-Length', b'%d' % len(body)))
        return RequestHead(
            method=method.encode(),
            target=target.encode(),
            headers=(*own, *headers),
        )

    async def resume(
        self,
        broken: CallerAnswer,
        address: str,
        target: str,
        *,
        began: str = '',
        headers: RawHeaders = (),
        **fields: Any,
    ) -> CallerAnswer:
        """Take up a stream behind the last whole event of a broken answer.

        `began` is the attempt that brought its first event, if not this one.
        """
        taken_up = (
            (b'Last-Event-Id', last_event_id(broken.body)),
            (b'Resumes', (began or broken.id).encode()),
        )
        return await self.send(
            address, target, headers=(*headers, *taken_up), **fields
        )

    async def _exchange(
        self, address: str, head: RequestHead, body: bytes, id_: str
    ) -> CallerAnswer:
        sent_at = anyio.current_time()
        channel = await self.channels.take(address)
        if isinstance(channel, ChannelBroken):
            return _no_answer(id_, sent_at, channel.reason)
        answer: CallerAnswer | None = None
        try:
            with anyio.move_on_after(self._waits_s):
                answer = await _read(channel, head, body, id_, sent_at)
        finally:
            if answer is not None and answer.is_whole:
                await self.channels.give_back(channel)
            else:
                with anyio.CancelScope(shield=True):
                    await channel.close()
        return answer or _no_answer(id_, sent_at, STOPPED_WAITING)


@dataclass(kw_only=True, slots=True)
class _Pair:
    """Two requests on one connection."""

    waits_s: float
    requests: list[tuple[str, RequestHead, bytes]] = field(
        default_factory=list
    )
    _first: CallerAnswer | None = None
    _is_closing: bool = False
    """Whether the first answer says that the connection closes."""

    async def exchange(
        self, address: str, connection: Connection, between_s: float
    ) -> list[CallerAnswer]:
        channel = Channel(address=address, connection=connection)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._exchange_first, channel)
                await anyio.sleep(between_s)
                sent_at = anyio.current_time()
                is_sent = not self._is_closing and await self._send_second(
                    connection
                )
            assert self._first is not None
            if not is_sent:
                return [self._first]
            second = await self._receive_second(channel, sent_at)
            return [self._first, second]
        finally:
            with anyio.CancelScope(shield=True):
                await channel.close()

    async def _exchange_first(self, channel: Channel) -> None:
        id_, head, body = self.requests[0]
        sent_at = anyio.current_time()
        with anyio.move_on_after(self.waits_s):
            self._first = await _read(
                channel, head, body, id_, sent_at, self._note_head
            )
        if self._first is None or not self._first.is_whole:
            await channel.close()
        self._first = self._first or _no_answer(id_, sent_at, STOPPED_WAITING)

    def _note_head(self, head: AnswerHead) -> None:
        self._is_closing = find_value(head.headers, b'connection') == b'close'

    async def _send_second(self, connection: Connection) -> bool:
        _, head, body = self.requests[1]
        parser = h11.Connection(h11.CLIENT)
        request = h11.Request(
            method=head.method, target=head.target, headers=list(head.headers)
        )
        data = parser.send(request) + parser.send(h11.Data(data=body))
        with suppress(*BROKEN):
            await connection.send(data)
            return True
        return False

    async def _receive_second(
        self, channel: Channel, sent_at: float
    ) -> CallerAnswer:
        id_ = self.requests[1][0]
        if not channel.expect_another():
            return _no_answer(id_, sent_at, 'closed behind another', sent_at)
        answer = None
        with anyio.move_on_after(
            sent_at + self.waits_s - anyio.current_time()
        ):
            answer = await _receive(channel, id_, sent_at, sent_at)
        return answer or _no_answer(id_, sent_at, STOPPED_WAITING, sent_at)


async def _read(
    channel: Channel,
    head: RequestHead,
    body: bytes,
    id_: str,
    sent_at: float,
    note_head: Callable[[AnswerHead], None] = lambda _: None,
) -> CallerAnswer:
    broken = await channel.send(head, body)
    await channel.send_rest()
    is_sent = broken is None and not channel.has_rest
    whole_at = anyio.current_time() if is_sent else None
    return await _receive(channel, id_, sent_at, whole_at, note_head)


async def _receive(
    channel: Channel,
    id_: str,
    sent_at: float,
    whole_at: float | None,
    note_head: Callable[[AnswerHead], None] = lambda _: None,
) -> CallerAnswer:
    answer = await channel.receive_head()
    if not isinstance(answer, AnswerHead):
        return _no_answer(id_, sent_at, answer.reason, whole_at)
    note_head(answer)
    parts = bytearray()
    problem = ''
    while (part := await channel.receive_body()) is not None:
        if isinstance(part, ChannelBroken):
            problem = part.reason
            break
        parts += part
    return CallerAnswer(
        id=id_,
        sent_at=sent_at,
        ended_at=anyio.current_time(),
        status=answer.status,
        headers=answer.headers,
        body=bytes(parts),
        is_whole=not problem,
        problem=problem,
        whole_at=whole_at,
    )


def last_event_id(body: bytes) -> bytes:
    """Return the id of the last whole event, empty without one."""
    whole, end, _ = body.rpartition(b'\n\n')
    return whole.rpartition(b'id: ')[2].partition(b'\n')[0] if end else b''


def _no_answer(
    id_: str, sent_at: float, problem: str, whole_at: float | None = None
) -> CallerAnswer:
    return CallerAnswer(
        id=id_,
        sent_at=sent_at,
        ended_at=anyio.current_time(),
        status=None,
        problem=problem,
        whole_at=whole_at,
    )
