"""One request of a caller over HTTP/1.1, and the answer to it."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
import h11

from mimosamux_daemon.adapters.http1_channel import BROKEN
from mimosamux_daemon.callers import (
    ANSWER_PART_BYTES,
    SMALL_BYTES,
    AnswerHolding,
)
from mimosamux_daemon.domain.http_messages import RawHeaders, RequestHead
from mimosamux_daemon.ports.network import UNREAD_ANSWER_BYTES, Connection

CLOSE: RawHeaders = ((b'Connection', b'close'),)
FIRST_VERSION_WITH_CHUNKS = b'1.1'


@dataclass(kw_only=True, slots=True, eq=False)
class IncomingRequest:
    """A whole request, and what becomes of its caller."""

    head: RequestHead
    body: bytes
    connection: Connection | None = None
    """Where it came from, None if nobody can leave."""
    is_caller_gone: bool = False
    _scopes: list[anyio.CancelScope] = field(default_factory=list)

    def cancel_on_disconnect(self, scope: anyio.CancelScope) -> None:
        """Have a scope cancelled once the caller is gone."""
        self._scopes.append(scope)
        if self.is_caller_gone:
            scope.cancel()

    def has_disconnected(self) -> bool:
        """Whether the caller is gone, as its connection tells right now.

        A connection that waited to be accepted may bring its request and
        its end at once. The end is read only after the request was taken to
        an endpoint, where it would run for nobody.
        """
        if self.is_caller_gone or self.connection is None:
            return self.is_caller_gone
        return self.connection.has_ended()

    def note_gone(self) -> None:
        """Note that the caller has closed its connection."""
        self.is_caller_gone = True
        for scope in self._scopes:
            scope.cancel()


class Reply:
    """The answer to one request; not finished, it breaks off."""

    def __init__(
        self,
        *,
        parser: h11.Connection,
        connection: Connection,
        holding: AnswerHolding,
        closes: Callable[[], bool],
    ) -> None:
        self.is_started = False
        self.is_finished = False
        self._parser = parser
        self.connection = connection
        self._holding = holding
        self._closes = closes
        self._behind_bytes = 0
        """Bytes of the answer that may lie in the connection it comes from."""
        self._waiting: anyio.CancelScope | None = None
        """Scope of the wait for the caller to take some, if it waits."""

    def hold(self, size: int) -> bool:
        """Note how much of the answer is kept; False if it should be sent."""
        return size <= SMALL_BYTES or self._holding.hold(size)

    async def answer(
        self, status: int, headers: RawHeaders, body: bytes = b''
    ) -> bool:
        """Send a whole answer in one piece; False if the caller is gone."""
        framed = (*headers, (b'Content-Length', b'%d' % len(body)))
        if len(body) > ANSWER_PART_BYTES:
            is_sent = await self._start(status, framed, body)
            return is_sent and await self.finish()
        parts = [self._render_head(status, framed)]
        if body:
            parts.append(self._parser.send(h11.Data(data=body)))
        parts.append(self._parser.send(h11.EndOfMessage()))
        self.is_finished = await self._send(b''.join(filter(None, parts)))
        return self.is_finished

    async def start(
        self, status: int, headers: RawHeaders, first: bytes = b''
    ) -> bool:
        """Send the head and the first part of an answer of any length."""
        self._behind_bytes = UNREAD_ANSWER_BYTES
        return await self._start(status, headers, first)

    async def _start(
        self, status: int, headers: RawHeaders, first: bytes
    ) -> bool:
        data = self._render_head(status, headers)
        if self._has_no_chunks():
            # The end of the connection is that of the answer: until it is
            # finished, any end has to be a reset.
            self.connection.reset_on_close(True)
        if len(first) > ANSWER_PART_BYTES:
            is_sent = await self._send(data, kept=len(first))
            return is_sent and await self._send_parts(first)
        if first:
            data += self._parser.send(h11.Data(data=first)) or b''
        return await self._send(data)

    async def write(self, data: bytes) -> bool:
        """Send a part of the body; False if the caller is gone.

        An empty part sends nothing: as a chunk it would end the body.
        """
        if not data:
            return True
        is_sent = await self._send_parts(data)
        if self._holding.bytes:
            self._holding.release()
        return is_sent

    async def finish(self) -> bool:
        """End the answer: only now does it look complete."""
        data = self._parser.send(h11.EndOfMessage()) or b''
        self.is_finished = await self._send(data)
        if self.is_finished and self._has_no_chunks():
            self.connection.reset_on_close(False)
        return self.is_finished

    def _has_no_chunks(self) -> bool:
        """Whether the caller's version of HTTP knows no chunks."""
        version = self._parser.their_http_version
        return version is not None and version < FIRST_VERSION_WITH_CHUNKS

    def _render_head(self, status: int, headers: RawHeaders) -> bytes:
        self.is_started = True
        if self._closes():
            headers = (*headers, *CLOSE)
        response = h11.Response(status_code=status, headers=list(headers))
        return self._parser.send(response) or b''

    async def _send_parts(self, data: bytes) -> bool:
        """Send a part of the body; in one piece it would be copied."""
        for start in range(0, len(data), ANSWER_PART_BYTES):
            part = h11.Data(data=data[start : start + ANSWER_PART_BYTES])
            rendered = self._parser.send(part) or b''
            if not await self._send(rendered, kept=len(data)):
                return False
        return True

    async def _send(self, data: bytes, *, kept: int = 0) -> bool:
        """Send bytes; `kept` of the answer stay here until it is done."""
        try:
            rest = self.connection.send_now(data)
            return not rest or await self._wait_taken(rest, kept)
        except BROKEN:
            return False

    async def _wait_taken(self, rest: bytes, kept: int) -> bool:
        """Send what the caller has to take first; False if it yields."""
        self._holding.wait(max(kept, len(rest)) + self._behind_bytes)
        with anyio.CancelScope() as self._waiting:
            await self.connection.send(rest)
            self._holding.go_on()
            return True
        return False

    def break_off(self) -> None:
        """End the wait for the caller to take some of the answer."""
        if self._waiting is not None:
            self._waiting.cancel()


Handler = Callable[[IncomingRequest, Reply], Awaitable[None]]
