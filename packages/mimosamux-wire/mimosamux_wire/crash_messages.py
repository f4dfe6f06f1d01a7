"""Messages about request contents suspected of crashing endpoints.

A content is suspected if requests with it were running at an endpoint when
the endpoint crashed.
"""

from dataclasses import dataclass, field
from typing import Any, ClassVar

from thrift.Thrift import TType

from mimosamux_wire.messages import Message


@dataclass(kw_only=True, slots=True)
class SuspectTold(Message):
    """A suspected content and its crashes, as the sender knows them."""

    content: str = ''
    """Content key of the requests."""
    endpoints: list[str] = field(default_factory=list)
    """Endpoint incarnations that crashed while running the content."""
    age_ms: int = 0
    """Time since the latest of these crashes."""
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
    """Content keys that are cleared of suspicion."""

    contents: list[str] = field(default_factory=list)
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.LIST, 'contents', (TType.STRING, 'UTF8', False), None),
    )


@dataclass(kw_only=True, slots=True)
class CrashWithdrawn(Message):
    """Withdraws a crash report: the endpoint is still running."""

    endpoint: str = ''
    """Endpoint incarnation that was reported as crashed."""
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.STRING, 'endpoint', 'UTF8', ''),
    )
