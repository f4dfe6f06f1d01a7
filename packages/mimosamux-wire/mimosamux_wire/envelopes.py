"""Encoding of messages as thrift messages (compact protocol).

A thrift message consists of a name, a type, a sequence number and a struct.
"""

from dataclasses import dataclass
from enum import IntEnum

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.Thrift import TMessageType
from thrift.transport.TTransport import TMemoryBuffer

from mimosamux_wire.messages import MESSAGES_BY_NAME, Message

MAX_MESSAGE_BYTES = 4 * 1024 * 1024
MAX_CONTAINER_ITEMS = 100_000
"""Largest number of items in a received list."""
MAX_SEQUENCE = 2**31 - 1
"""Largest sequence number; thrift sends it as a signed 32-bit integer."""


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
    protocol = _protocol(TMemoryBuffer(data))
    name, kind, sequence = protocol.readMessageBegin()
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


def _protocol(buffer: TMemoryBuffer) -> TCompactProtocolAccelerated:
    return TCompactProtocolAccelerated(
        buffer,
        fallback=False,
        string_length_limit=MAX_MESSAGE_BYTES,
        container_length_limit=MAX_CONTAINER_ITEMS,
    )
