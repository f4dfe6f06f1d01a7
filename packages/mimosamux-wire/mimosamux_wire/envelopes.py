"""Thrift messages as bytes: name, type, sequence id and struct."""

from dataclasses import dataclass
from enum import IntEnum

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.Thrift import TMessageType
from thrift.transport.TTransport import TMemoryBuffer

from mimosamux_wire.messages import MESSAGES_BY_NAME, Message

MAX_MESSAGE_BYTES = 4 * 1024 * 1024
MAX_CONTAINER_ITEMS = 100_000
MAX_SEQUENCE = 2**31 - 1


class EnvelopeType(IntEnum):
    """Role of a message on its link, as thrift numbers them."""

    CALL = TMessageType.CALL
    REPLY = TMessageType.REPLY
    REJECTION = TMessageType.EXCEPTION
    ONEWAY = TMessageType.ONEWAY


@dataclass(frozen=True, kw_only=True, slots=True)
class Envelope:
    """A message as it came in; `message` is None for an unknown name."""

    name: str
    type: EnvelopeType
    sequence: int
    message: Message | None


@dataclass(frozen=True, kw_only=True, slots=True)
class Malformed:
    """Bytes that are no message; the link that sent them is closed."""

    problem: str


def encode(message: Message, kind: EnvelopeType, sequence: int) -> bytes:
    """Return the bytes of a message."""
    buffer = TMemoryBuffer()
    protocol = _protocol(buffer)
    protocol.writeMessageBegin(type(message).__name__, kind, sequence)
    message.write(protocol)
    protocol.writeMessageEnd()
    data: bytes = buffer.getvalue()
    return data


def decode(data: bytes) -> Envelope | Malformed:
    """Return the message in `data`, whatever the bytes are."""
    try:
        return _decode(data)
    except Exception as error:
        # Bytes of a faulty or hostile sender make the C decoder raise
        # half a dozen unrelated types. Let through, one of them would
        # end the task group and with it the daemon; as a value it ends
        # the one link.
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
