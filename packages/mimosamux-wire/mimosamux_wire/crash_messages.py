"""Messages about requests that were there when endpoints crashed."""

from dataclasses import dataclass, field
from typing import Any, ClassVar

from thrift.Thrift import TType

from mimosamux_wire.messages import Message


@dataclass(kw_only=True, slots=True)
class SuspectTold(Message):
    """What the sender knows of one content that is suspected."""

    content: str = ''
    endpoints: list[str] = field(default_factory=list)
    """Starts of endpoints that crashed while they ran it."""
    age_ms: int = 0
    """Time since the last of these crashes."""
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.STRING, 'content', 'UTF8', ''),
        (2, TType.LIST, 'endpoints', (TType.STRING, 'UTF8', False), None),
        (3, TType.I64, 'age_ms', None, 0),
    )


@dataclass(kw_only=True, slots=True)
class SuspectsTold(Message):
    """Contents that the sender suspects of crashing endpoints."""

    suspects: list[SuspectTold] = field(default_factory=list)
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (
            1,
            TType.LIST,
            'suspects',
            (TType.STRUCT, [SuspectTold, SuspectTold.thrift_spec], False),
            None,
        ),
    )


@dataclass(kw_only=True, slots=True)
class SuspectsCleared(Message):
    """Contents that are suspected no longer."""

    contents: list[str] = field(default_factory=list)
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.LIST, 'contents', (TType.STRING, 'UTF8', False), None),
    )


@dataclass(kw_only=True, slots=True)
class CrashWithdrawn(Message):
    """An endpoint that was taken for crashed lives on."""

    endpoint: str = ''
    """The start that is meant."""
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.STRING, 'endpoint', 'UTF8', ''),
    )
