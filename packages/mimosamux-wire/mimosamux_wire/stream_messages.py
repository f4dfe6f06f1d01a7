"""Messages about streams that callers may resume at another daemon."""

from dataclasses import dataclass, field
from typing import Any, ClassVar

from thrift.Thrift import TType

from mimosamux_wire.messages import Message


@dataclass(kw_only=True, slots=True)
class StreamsBegan(Message):
    """Streams that begin at endpoints of one software version."""

    service: str = ''
    software: str = ''
    """Software version of the endpoints."""
    attempt: int = 0
    """Number of the attempt for each request; a later one replaces it."""
    keep_ms: int = 0
    """Time for which to remember them."""
    requests: bytes = b''
    """64-bit hashes of the request ids, eight bytes each."""
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.STRING, 'service', 'UTF8', ''),
        (2, TType.STRING, 'software', 'UTF8', ''),
        (3, TType.I32, 'attempt', None, 0),
        (4, TType.I64, 'keep_ms', None, 0),
        (5, TType.STRING, 'requests', 'BINARY', b''),
    )


@dataclass(kw_only=True, slots=True)
class StreamsAsked(Message):
    """Asks which of some streams the receiver knows."""

    requests: bytes = b''
    """64-bit hashes of the request ids, eight bytes each."""
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.STRING, 'requests', 'BINARY', b''),
    )


@dataclass(kw_only=True, slots=True)
class StreamsAnswered(Message):
    """Answer to `StreamsAsked`."""

    lifetime: int = 0
    """Incarnation of the daemon that answers."""
    known: bytes = b''
    """Those of the hashes that it knows."""
    told: list[bytes] = field(default_factory=list)
    """Where these began, each an encoded `StreamsBegan`."""
    several: list[str] | None = None
    """Services that run several versions, or ran until recently, as far as it
    knows. None: a daemon of an earlier version answers."""
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.I64, 'lifetime', None, 0),
        (2, TType.STRING, 'known', 'BINARY', b''),
        (3, TType.LIST, 'told', (TType.STRING, 'BINARY', False), None),
        (4, TType.LIST, 'several', (TType.STRING, 'UTF8', False), None),
    )
