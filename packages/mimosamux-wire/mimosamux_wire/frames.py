"""Frames on a byte stream: four bytes of length, a tag, the payload.

On a link that is authenticated by a shared secret each frame carries an
HMAC over its place in the session, so that nothing can be replayed,
reordered or put in between. A TLS link has its own and sends no tag.
"""

import hashlib
import hmac
import struct
from dataclasses import dataclass

import anyio
import anyio.abc

from mimosamux_wire.envelopes import MAX_MESSAGE_BYTES

LENGTH = struct.Struct('>I')
PLACE = struct.Struct('>Q')
TAG_BYTES = 16
MAX_FRAME_BYTES = MAX_MESSAGE_BYTES + TAG_BYTES
READ_BYTES = 64 * 1024


@dataclass(frozen=True, kw_only=True, slots=True)
class LinkClosed:
    """The link ended, or was ended because of what came in."""

    reason: str


class FrameWriter:
    """Seals the payloads of one direction of a link."""

    def __init__(self, *, key: bytes | None) -> None:
        self.key = key
        self._place = 0

    def seal(self, payload: bytes) -> bytes:
        """Return the frame that carries `payload` next."""
        tag = _tag(self.key, self._place, payload)
        self._place += 1
        return LENGTH.pack(len(tag) + len(payload)) + tag + payload


class FrameReader:
    """Reads and checks the frames of one direction of a link."""

    def __init__(
        self, *, stream: anyio.abc.ByteReceiveStream, key: bytes | None
    ) -> None:
        self.key = key
        self._stream = stream
        self._buffer = bytearray()
        self._place = 0

    async def receive(
        self, *, limit: int = MAX_FRAME_BYTES
    ) -> bytes | LinkClosed:
        """Return the next payload; frames above `limit` close the link."""
        header = await self._take(LENGTH.size)
        if header is None:
            return LinkClosed(reason='ended')
        (length,) = LENGTH.unpack(header)
        if length > limit:
            return LinkClosed(reason=f'frame of {length} bytes is too long')
        frame = await self._take(length)
        if frame is None:
            return LinkClosed(reason='ended within a frame')
        return self._open(frame)

    def _open(self, frame: bytes) -> bytes | LinkClosed:
        tag_bytes = 0 if self.key is None else TAG_BYTES
        tag, payload = frame[:tag_bytes], frame[tag_bytes:]
        expected = _tag(self.key, self._place, payload)
        if not hmac.compare_digest(tag, expected):
            return LinkClosed(reason='frame is not of this session')
        self._place += 1
        return payload

    async def _take(self, count: int) -> bytes | None:
        while len(self._buffer) < count:
            try:
                self._buffer += await self._stream.receive(READ_BYTES)
            except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
                return None
            except anyio.ClosedResourceError:
                return None
        data = bytes(self._buffer[:count])
        del self._buffer[:count]
        return data


def _tag(key: bytes | None, place: int, payload: bytes) -> bytes:
    if key is None:
        return b''
    sealed = PLACE.pack(place) + payload
    return hmac.digest(key, sealed, hashlib.sha256)[:TAG_BYTES]
