"""Stand-in of a caller: asks for addresses, sends, and checks answers."""

import random
import uuid
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import urlencode

import anyio
import orjson
from mimosamux_daemon.adapters.http1_channel import Channel, ChannelBroken
from mimosamux_daemon.adapters.http1_channels import Channels
from mimosamux_daemon.domain.http_messages import (
    AnswerHead,
    RawHeaders,
    RequestHead,
    find_value,
)
from mimosamux_daemon.ports.network import Network

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
        id_ = id_ or uuid.UUID(int=self.rng.getrandbits(128)).hex[:16]
        own: list[tuple[bytes, bytes]] = [
            (b'Host', HOST.encode()),
            (b'X-Attempt-Id', id_.encode()),
            (b'X-Deadline-Ms', b'%d' % (self.patience_s * 1000)),
        ]
        if self.key is not None:
            own.append((b'X-Key', self.key.encode()))
        if body or method != 'GET':
            own.append((b'Content-Length', b'%d' % len(body)))
        head = RequestHead(
            method=method.encode(),
            target=target.encode(),
            headers=(*own, *headers),
        )
        answer = await self._exchange(address, head, body, id_)
        self.answers.append(answer)
        return answer

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


async def _read(
    channel: Channel, head: RequestHead, body: bytes, id_: str, sent_at: float
) -> CallerAnswer:
    broken = await channel.send(head, body)
    await channel.send_rest()
    is_sent = broken is None and not channel.has_rest
    whole_at = anyio.current_time() if is_sent else None
    answer = await channel.receive_head()
    if not isinstance(answer, AnswerHead):
        return _no_answer(id_, sent_at, answer.reason, whole_at)
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
