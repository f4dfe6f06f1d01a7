"""Messages with which two daemons open a link."""

from dataclasses import dataclass
from typing import Any, ClassVar

from thrift.Thrift import TType

from mimosamux_wire.messages import Message

PROTOCOL_VERSION = 1


@dataclass(kw_only=True, slots=True)
class LinkHello(Message):
    """First frame of each side: who it says it is, and its challenge."""

    daemon: str = ''
    nonce: bytes = b''
    protocol: int = 0
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.STRING, 'daemon', 'UTF8', ''),
        (2, TType.STRING, 'nonce', 'BINARY', b''),
        (3, TType.I32, 'protocol', None, 0),
    )


@dataclass(kw_only=True, slots=True)
class LinkProof(Message):
    """Second frame of each side: answer to the other's challenge."""

    proof: bytes = b''
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.STRING, 'proof', 'BINARY', b''),
    )
