"""One HTTP/1.1 connection to an endpoint or to the platform.

The parser is h11, which httpx uses as well. What httpx hides has to be
seen here: whether any byte of a request was sent, bytes behind the end of
an answer, and an answer that comes before its request is fully sent.
"""

import math
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

import anyio
import anyio.lowlevel
import h11

from mimosamux_daemon.callers import EVENTS_A_TURN, ParseTurns
from mimosamux_daemon.domain.http_messages import (
    CONTENT_LENGTH,
    AnswerHead,
    BodyFraming,
    RequestHead,
    find_framing,
    find_value,
)
from mimosamux_daemon.ports.network import Connection

READ_BYTES = 64 * 1024
SENT_AT_ONCE_BYTES = 32 * 1024
"""Requests up to this size fit into the buffers of a connection, so that
sending one cannot wait for the other side to read."""
DEFAULT_IDLE_S = 4.0
"""Idle time after which a connection is not used again, unless the other
side states a limit: five seconds is the lowest usual default of servers."""
IDLE_SHARE = 0.7
"""Share of a stated idle limit that is made use of; the rest is for the
way of a request and for clocks that run differently."""
KEEP_ALIVE = b'keep-alive'
MAX_UNDECLARED_BYTES = 16 * 1024 * 1024
"""Largest body of an answer that does not declare its length: a faulty server
may send bytes without end."""
TINY_BYTES = 16
MAX_TINY_PARTS = 32_768
"""Most chunks of less than `TINY_BYTES` in one answer; each costs as much to
parse as one of 64 KiB. An event of a stream is longer."""
MAX_DECLARED_BYTES = 64 * 1024 * 1024
"""Largest body that an answer may declare. A longer one could not be taken
within the time limit of its request, and would hold the caller until then."""
MAX_INFORMATIONAL = 16
"""Informational responses that may come before an answer."""

BROKEN = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    h11.ProtocolError,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class ChannelBroken:
    """The connection ended, or what came is no answer."""

    reason: str
    is_refused: bool = False
    """Whether the other VM is there, and no process listens."""
    is_timeout: bool = False
    """Whether nothing answered the attempt to connect in time."""


class Channel:
    """A connection that carries one request at a time."""

    def __init__(
        self,
        *,
        address: str,
        connection: Connection,
        via: str = '',
        note_reset: Callable[[str], None] = lambda _: None,
        note_received: Callable[[str], None] = lambda _: None,
        note_tunnel_broken: Callable[[str, str], None] = lambda *_: None,
        turns: ParseTurns | None = None,
    ) -> None:
        self.address = address
        self.via = via
        """Address of the tunnel that it leads through, empty: none."""
        self._note_reset = note_reset
        self._note_received = note_received
        self._note_tunnel_broken = note_tunnel_broken
        self.exchanges = 0
        """Requests that were sent on it so far."""
        self._connection = connection
        self._parser = h11.Connection(h11.CLIENT)
        self._request: h11.Request | None = None
        self._body = b''
        self._unsent = memoryview(b'')
        """What is still to be sent of a long request; it copies nothing."""
        self._idle_limit_s = DEFAULT_IDLE_S
        self._idle_since = anyio.current_time()
        self._turns = turns or ParseTurns()
        self._owes_turn = False
        """Whether others have a turn before more is parsed."""
        self._following: h11.Event | ChannelBroken | None = None
        """What was parsed behind the last part of a body."""
        self._tiny_parts = 0
        self._body_left = math.inf
        """Bytes that the body of the answer may still have."""
        self.framing = BodyFraming.NO_BODY
        """What marks the end of the current answer."""

    async def send(
        self, head: RequestHead, body: bytes
    ) -> None | ChannelBroken:
        """Send a request; after that it counts as having arrived.

        Of a long body only a part may be sent on return, see
        `send_rest`.
        """
        self.exchanges += 1
        try:
            self._request = h11.Request(
                method=head.method,
                target=head.target,
                headers=list(head.headers),
            )
            self._body = body
            first = self._render_first(self._request, body)
            # A connection may take bytes without yielding: a request whose
            # caller or deadline has ended it must not be sent.
            await anyio.lowlevel.checkpoint_if_cancelled()
            await self._connection.send(first)
        except BROKEN as error:
            return self._break(error)
        return None

    async def send_rest(self) -> None:
        """Send what is left of a long request, to be run in its own task.

        The other side may answer before it has read all of it: a sender
        that waited first would wait for a reader that waits for it.
        """
        with suppress(*BROKEN):
            # Cut off in the middle, the rest stays due: whatever came next
            # on the connection would be read as part of this body.
            while True:
                part = bytes(self._unsent[:SENT_AT_ONCE_BYTES])
                await self._connection.send(part)
                self._unsent = self._unsent[SENT_AT_ONCE_BYTES:]
                if not self._unsent:
                    return

    @property
    def has_rest(self) -> bool:
        """Whether a part of the request still waits to be sent."""
        return bool(self._unsent)

    async def receive_head(self) -> AnswerHead | ChannelBroken:
        """Return the start of the next answer."""
        for _ in range(MAX_INFORMATIONAL):
            event = await self._next_event()
            if isinstance(event, ChannelBroken):
                return event
            if isinstance(event, h11.Response):
                self._note_idle_limit(event)
                length = _find_length(event)
                if length is not None and length > MAX_DECLARED_BYTES:
                    return ChannelBroken(reason='a length beyond all bounds')
                self._tiny_parts = 0
                # h11 checks a stated length.
                self._body_left = (
                    MAX_UNDECLARED_BYTES if length is None else math.inf
                )
                return self._begin_answer(event)
            if isinstance(event, h11.InformationalResponse):
                continue
            return ChannelBroken(reason='closed before an answer')
        return ChannelBroken(reason='informational responses without end')

    def _begin_answer(self, event: h11.Response) -> AnswerHead:
        assert self._request is not None
        answer = AnswerHead(
            status=event.status_code, headers=tuple(event.headers.raw_items())
        )
        self.framing = find_framing(self._request.method, answer)
        return answer

    async def receive_body(self) -> bytes | None | ChannelBroken:
        """Return the next part of the body, None behind its end.

        What has arrived in small chunks comes as one part, so that nobody
        handles each of them, and others have their turn before the next one.
        """
        if self._owes_turn:
            await self._turns.wait()
            self._owes_turn = False
        event = await self._next_event()
        if isinstance(event, ChannelBroken):
            return event
        if isinstance(event, h11.Data):
            return self._join_parts(event)
        if isinstance(event, h11.EndOfMessage):
            self._idle_since = anyio.current_time()
            return None
        return ChannelBroken(reason='closed within an answer')

    def _join_parts(self, first: h11.Data) -> bytes | ChannelBroken:
        """Return a part of the body and those that have arrived behind it.

        It awaits nothing: a part that is held across a wait would be lost if
        the wait is cancelled.
        """
        parts = [first.data]
        while len(parts) < EVENTS_A_TURN:
            event = self._parse()
            if not isinstance(event, h11.Data):
                self._following = event
                break
            parts.append(event.data)
        self._owes_turn = len(parts) == EVENTS_A_TURN
        self._tiny_parts += sum(len(each) < TINY_BYTES for each in parts)
        self._body_left -= sum(len(each) for each in parts)
        if self._body_left < 0:
            return ChannelBroken(reason='a body without end')
        if self._tiny_parts > MAX_TINY_PARTS:
            return ChannelBroken(reason='tiny chunks without end')
        return b''.join(parts)

    async def receive_whole_body(self, limit: int) -> bytes | ChannelBroken:
        """Return a whole body of at most `limit` bytes."""
        body = bytearray()
        while (part := await self.receive_body()) is not None:
            if isinstance(part, ChannelBroken):
                return part
            body += part
            if len(body) > limit:
                return ChannelBroken(reason=f'over {limit} bytes')
        return bytes(body)

    def expect_another(self) -> bool:
        """Go on to the next answer to the request that was sent.

        An answer to an earlier request may come late, where the one to
        this request is due. False if nothing can come behind it.
        """
        if self._request is None or not self._is_at_end:
            return False
        with suppress(h11.ProtocolError):
            self._parser.start_next_cycle()
            # Only the parser is told: the bytes were sent long ago.
            self._render(self._request, self._body)
            return True
        return False

    def is_reusable(self) -> bool:
        """Whether another request may be sent on it now.

        Bytes behind an answer belong to no request, and whoever sends
        some may send more of them in place of the next answer.
        """
        if self._parser.our_state is h11.IDLE:
            return not self._connection.has_input()
        if (
            self.has_rest
            or not self._is_at_end
            or self._connection.has_input()
        ):
            return False
        return not self._parser.trailing_data[0]

    def was_used_since(self, at: float) -> bool:
        """Whether it was opened, or carried a whole answer, after a time."""
        return self._idle_since > at

    def is_fresh(self) -> bool:
        """Whether the other side will not close it for being idle soon."""
        idle_s = anyio.current_time() - self._idle_since
        return idle_s < self._idle_limit_s

    def recycle(self) -> None:
        """Get ready for the next request, after `is_reusable`."""
        if self._parser.our_state is h11.DONE:
            self._parser.start_next_cycle()
        self._request = None
        self._body = b''
        self._following = None

    async def close(self) -> None:
        """Close it at once, whatever is under way."""
        with suppress(*BROKEN):
            await self._connection.aclose()

    @property
    def _is_at_end(self) -> bool:
        return (
            self._parser.our_state is h11.DONE
            and self._parser.their_state is h11.DONE
        )

    def _render_first(self, request: h11.Request, body: bytes) -> bytes:
        """Return what is sent at once, and keep the rest to be sent.

        A body of any size is held once, not again for its way out.
        """
        if len(body) <= SENT_AT_ONCE_BYTES or not _has_length(request):
            data = self._render(request, body)
            self._unsent = memoryview(data)[SENT_AT_ONCE_BYTES:]
            return data[:SENT_AT_ONCE_BYTES]
        head = self._parser.send(request) or b''
        # With a length, the body is sent as it is.
        self._parser.send(h11.Data(data=body))
        self._parser.send(h11.EndOfMessage())
        self._unsent = memoryview(body)[SENT_AT_ONCE_BYTES:]
        return head + body[:SENT_AT_ONCE_BYTES]

    def _render(self, request: h11.Request, body: bytes) -> bytes:
        parts = [self._parser.send(request)]
        if body:
            parts.append(self._parser.send(h11.Data(data=body)))
        parts.append(self._parser.send(h11.EndOfMessage()))
        return b''.join(part for part in parts if part)

    async def _next_event(self) -> h11.Event | ChannelBroken:
        event, self._following = self._following, None
        try:
            while event is None:
                event = self._parse()
                if event is None:
                    self._parser.receive_data(await self._receive())
        except BROKEN as error:
            return self._break(error)
        return event

    def _parse(self) -> h11.Event | ChannelBroken | None:
        """Return the next event, None if it has not arrived."""
        try:
            event = self._parser.next_event()
        except h11.ProtocolError as error:
            return self._break(error)
        if event is h11.PAUSED:
            return ChannelBroken(reason='bytes behind an answer')
        return event if isinstance(event, h11.Event) else None

    def _break(self, error: Exception) -> ChannelBroken:
        if isinstance(error, OSError | anyio.BrokenResourceError):
            # The connections through a peer break together when it ends.
            self._note_reset(self.via or self.address)
        if not self.via:
            return ChannelBroken(reason=describe(error))
        self._note_tunnel_broken(self.via, self.address)
        return ChannelBroken(reason=f'{describe(error)} through a peer')

    async def _receive(self) -> bytes:
        # The end of the connection is the end of an answer without a
        # length; a reset is an error and never taken for an end.
        try:
            data = await self._connection.receive(READ_BYTES)
        except anyio.EndOfStream:
            return b''
        self._note_received(self.address)
        return data

    def _note_idle_limit(self, answer: h11.Response) -> None:
        value = find_value(tuple(answer.headers), KEEP_ALIVE)
        if value is None:
            return
        for part in value.split(b','):
            name, _, number = part.strip().partition(b'=')
            if name.lower() == b'timeout' and number.isdigit():
                # As a float, for a number with any count of digits.
                self._idle_limit_s = float(number) * IDLE_SHARE


def _has_length(request: h11.Request) -> bool:
    return find_value(tuple(request.headers), CONTENT_LENGTH) is not None


def _find_length(answer: h11.Response) -> int | None:
    """Return the stated length of an answer's body in bytes, if any.

    h11 takes none of more than 20 digits.
    """
    length = find_value(tuple(answer.headers), CONTENT_LENGTH)
    return None if length is None else int(length)


def describe(error: Exception) -> str:
    """Return the type of an error and what it says."""
    return f'{type(error).__name__} {error}'.strip()
