"""Frames on a byte stream: four bytes of length, a tag and the payload.

On a link that is authenticated by a shared secret, the tag is an HMAC over
the frame's number in the session and the payload, so that frames cannot be
replayed, reordered or injected. TLS authenticates its records itself, so
frames on a TLS link have no tag.
"""

import hashlib
import hmac
import struct
from dataclasses import dataclass

import anyio
import anyio.abc

from mimosamux_wire.envelopes import MAX_MESSAGE_BYTES

LENGTH_FORMAT = struct.Struct('>I')
FRAME_NUMBER_FORMAT = struct.Struct('>Q')
TAG_BYTES = 16
MAX_FRAME_BYTES = MAX_MESSAGE_BYTES + TAG_BYTES
READ_BYTES = 64 * 1024


@dataclass(frozen=True, kw_only=True, slots=True)
class LinkClosed:
    """Result of an operation on a link that has ended or must be closed."""

    reason: str


class FrameWriter:
    """Frames and authenticates the payloads of one direction of a link."""

    def __init__(self, *, key: bytes | None) -> None:
        self.key = key
        self._frame_number = 0

    def seal(self, payload: bytes) -> bytes:
        """Return the next frame, with `payload` in it."""
        tag = _compute_tag(self.key, self._frame_number, payload)
        self._frame_number += 1
        return LENGTH_FORMAT.pack(len(tag) + len(payload)) + tag + payload


class FrameReader:
    """Reads and verifies the frames of one direction of a link."""

    def __init__(
        self, *, stream: anyio.abc.ByteReceiveStream, key: bytes | None
    ) -> None:
        self.key = key
        self._stream = stream
        self._buffer = bytearray()
        self._frame_number = 0

    async def receive(
        self, *, limit: int = MAX_FRAME_BYTES
    ) -> bytes | LinkClosed:
        """Return the next payload, or why there is none.

        The caller must close the link on an invalid frame or one above
        `limit` bytes.
        """
        header = await self._read_exactly(LENGTH_FORMAT.size)
        if header is None:
            return LinkClosed(reason='ended')
        (length,) = LENGTH_FORMAT.unpack(header)
        if length > limit:
            return LinkClosed(reason=f'frame of {length} bytes is too long')
        frame = await self._read_exactly(length)
        if frame is None:
            return LinkClosed(reason='ended within a frame')
        return self._verify(frame)

    def _verify(self, frame: bytes) -> bytes | LinkClosed:
        tag_bytes = 0 if self.key is None else TAG_BYTES
        tag, payload = frame[:tag_bytes], frame[tag_bytes:]
        expected = _compute_tag(self.key, self._frame_number, payload)
        if not hmac.compare_digest(tag, expected):
            return LinkClosed(reason='frame is not of this session')
        self._frame_number += 1
        return payload

    async def _read_exactly(self, count: int) -> bytes | None:
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


def _compute_tag(
    key: bytes | None, frame_number: int, payload: bytes
) -> bytes:
    if key is None:
        return b''
    signed = FRAME_NUMBER_FORMAT.pack(frame_number) + payload
    return hmac.digest(key, signed, hashlib.sha256)[:TAG_BYTES]
