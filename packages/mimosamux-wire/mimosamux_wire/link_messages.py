"""Handshake messages that authenticate a link between two daemons."""

from dataclasses import dataclass
from typing import Any, ClassVar

from thrift.Thrift import TType

from mimosamux_wire.messages import Message

PROTOCOL_VERSION = 1


@dataclass(kw_only=True, slots=True)
class LinkHello(Message):
    """First frame of each side: the id that it claims and its challenge."""

    daemon: str = ''
    nonce: bytes = b''
    """Random challenge to the other side."""
    protocol: int = 0
    """Version of the link protocol."""
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.STRING, 'daemon', 'UTF8', ''),
        (2, TType.STRING, 'nonce', 'BINARY', b''),
        (3, TType.I32, 'protocol', None, 0),
    )


@dataclass(kw_only=True, slots=True)
class LinkProof(Message):
    """Second frame of each side: proof that it knows the shared secret."""

    proof: bytes = b''
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.STRING, 'proof', 'BINARY', b''),
    )
