"""Frames in which a tunnel passes an endpoint's bytes on to a peer.

A frame is its length in bytes, as four bytes in network order, and that many
bytes; an empty one is the endpoint's end. The end of the tunnel's own
connection says nothing about the endpoint: it comes with the end of the daemon
in between as well, and would make an answer without a length look whole.
"""

import struct
from collections.abc import Callable, Mapping
from typing import Any

import anyio

from mimosamux_daemon.ports.network import Connection

FRAMING_HEADER = b'framing'
"""Header in which a peer asks for frames, and is promised them."""
LENGTH_PREFIXED = b'length-prefixed'
LENGTH = struct.Struct('!I')
END_FRAME = LENGTH.pack(0)


def render_frame(data: bytes) -> bytes:
    """Return a frame with bytes of the endpoint."""
    return LENGTH.pack(len(data)) + data


class FramedConnection(Connection):
    """The asking side of a tunnel: sends plain bytes and receives frames."""

    def __init__(self, *, connection: Connection, received: bytes) -> None:
        self._connection = connection
        self._received = bytearray(received)
        """Bytes that came with the answer of the tunnel, and later ones."""
        self._left = 0
        """Bytes of the current frame that were not returned yet."""
        self._is_at_end = False

    @property
    def extra_attributes(self) -> Mapping[Any, Callable[[], Any]]:
        """Return those of the connection."""
        return self._connection.extra_attributes

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Return the endpoint's next bytes; a tunnel without end is broken."""
        if self._left == 0:
            await self._begin_frame()
        if self._is_at_end:
            raise anyio.EndOfStream
        if not self._received:
            await self._receive_more()
        size = min(max_bytes, self._left, len(self._received))
        data = bytes(self._received[:size])
        del self._received[:size]
        self._left -= size
        return data

    async def _begin_frame(self) -> None:
        """Wait for a frame; after a cancellation it may be called again."""
        if self._is_at_end:
            return
        while len(self._received) < LENGTH.size:
            await self._receive_more()
        (self._left,) = LENGTH.unpack_from(self._received)
        del self._received[: LENGTH.size]
        self._is_at_end = self._left == 0

    async def _receive_more(self) -> None:
        try:
            self._received += await self._connection.receive()
        except anyio.EndOfStream:
            raise anyio.BrokenResourceError from None

    async def send(self, item: bytes) -> None:
        """Send bytes to the endpoint."""
        await self._connection.send(item)

    def limit_unread(self) -> None:
        """Bound what lies unread in it."""
        self._connection.limit_unread()

    async def send_eof(self) -> None:
        """Say that nothing more will be sent."""
        await self._connection.send_eof()

    async def aclose(self) -> None:
        """Close the tunnel."""
        await self._connection.aclose()

    def abort(self) -> None:
        """Reset the tunnel."""
        self._connection.abort()

    def reset_on_close(self, resets: bool) -> None:
        """Choose whether closing it resets the tunnel."""
        self._connection.reset_on_close(resets)

    def has_input(self) -> bool:
        """Whether bytes or an end have arrived and were not returned."""
        return bool(self._received) or self._connection.has_input()

    def has_ended(self) -> bool:
        """Whether the endpoint or the tunnel has ended."""
        return self._is_at_end or self._connection.has_ended()
