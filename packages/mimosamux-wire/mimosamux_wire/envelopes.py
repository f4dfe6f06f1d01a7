"""Encoding of messages as thrift messages (compact protocol).

A thrift message consists of a name, a type, a sequence number and a struct.
"""

from dataclasses import dataclass
from enum import IntEnum
from functools import lru_cache

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.Thrift import TMessageType
from thrift.transport.TTransport import TMemoryBuffer

from mimosamux_wire.messages import MESSAGES_BY_NAME, Message

MAX_MESSAGE_BYTES = 4 * 1024 * 1024
MAX_CONTAINER_ITEMS = 100_000
"""Largest number of items in a received list."""
MAX_SEQUENCE = 2**31 - 1
"""Largest sequence number; thrift sends it as a signed 32-bit integer."""
NAME_START = 4
"""Position of the name in a header with one-byte numbers."""
MAX_ONE_BYTE = 0x7F
"""Largest number that thrift's compact protocol writes in one byte."""


class EnvelopeType(IntEnum):
    """Role of a message on its link, with thrift's numbers."""

    CALL = TMessageType.CALL
    REPLY = TMessageType.REPLY
    REJECTION = TMessageType.EXCEPTION
    ONEWAY = TMessageType.ONEWAY


@dataclass(frozen=True, kw_only=True, slots=True)
class Envelope:
    """A received message; `message` is None if its name is unknown."""

    name: str
    type: EnvelopeType
    sequence: int
    message: Message | None


@dataclass(frozen=True, kw_only=True, slots=True)
class Malformed:
    """Result for bytes that cannot be decoded; the link is closed."""

    problem: str


def encode(message: Message, kind: EnvelopeType, sequence: int) -> bytes:
    """Return the bytes of a thrift message that carries `message`."""
    buffer = TMemoryBuffer()
    protocol = _protocol(buffer)
    protocol.writeMessageBegin(type(message).__name__, kind, sequence)
    message.write(protocol)
    protocol.writeMessageEnd()
    data: bytes = buffer.getvalue()
    return data


def decode(data: bytes) -> Envelope | Malformed:
    """Decode any bytes; undecodable ones give `Malformed`, no exception."""
    try:
        return _decode(data)
    except Exception as error:
        # On bytes from a faulty or hostile sender, the C decoder raises
        # half a dozen unrelated exception types. An uncaught one would
        # cancel the task group and end the daemon; the returned value
        # closes only this link.
        return Malformed(problem=f'{type(error).__name__}: {error}')


def _decode(data: bytes) -> Envelope:
    header_size = _header_size(data)
    if header_size is None:
        protocol = _protocol(TMemoryBuffer(data))
        name, kind, sequence = protocol.readMessageBegin()
    else:
        protocol = _protocol(TMemoryBuffer(data, header_size))
        name, kind, sequence = _read_header(data[:header_size])
    message_class = MESSAGES_BY_NAME.get(name)
    message = None
    if message_class is not None:
        message = message_class()
        message.read(protocol)
    return Envelope(
        name=name,
        type=EnvelopeType(kind),
        sequence=sequence,
        message=message,
    )


def _header_size(data: bytes) -> int | None:
    """Return the size of a header with one-byte numbers, None for others.

    A header is two bytes, the sequence, and the name behind its length. The
    gossip sends thousands of messages with the same few headers of this kind.
    """
    if len(data) < NAME_START or max(data[2:NAME_START]) > MAX_ONE_BYTE:
        return None
    return NAME_START + data[NAME_START - 1]


@lru_cache(maxsize=256)
def _read_header(data: bytes) -> tuple[str, EnvelopeType, int]:
    """Read a header; thrift does that in Python, byte by byte."""
    protocol = _protocol(TMemoryBuffer(data))
    name, kind, sequence = protocol.readMessageBegin()
    return name, EnvelopeType(kind), sequence


def _protocol(buffer: TMemoryBuffer) -> TCompactProtocolAccelerated:
    return TCompactProtocolAccelerated(
        buffer,
        fallback=False,
        string_length_limit=MAX_MESSAGE_BYTES,
        container_length_limit=MAX_CONTAINER_ITEMS,
    )
