"""Messages about a new version of a service that is brought in."""

from dataclasses import dataclass, field
from typing import Any, ClassVar

from thrift.Thrift import TType

from mimosamux_wire.messages import Message


@dataclass(kw_only=True, slots=True)
class TrialTally(Message):
    """Answers at the sender since the roll-out began, of one kind."""

    endpoint: str = ''
    """Endpoint of the new version, empty: all of the other versions."""
    route: str = ''
    answers: int = 0
    failed: int = 0
    slower: list[int] = field(default_factory=list)
    """Answers that took several times as long as expected, one count for
    each of the sender's factors."""
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.STRING, 'endpoint', 'UTF8', ''),
        (2, TType.STRING, 'route', 'UTF8', ''),
        (3, TType.I32, 'answers', None, 0),
        (4, TType.I32, 'failed', None, 0),
        (5, TType.LIST, 'slower', (TType.I32, None, False), None),
    )


@dataclass(kw_only=True, slots=True)
class RolloutUse(Message):
    """What the sender has seen of one roll-out."""

    service: str = ''
    number: int = 0
    """Names the order among those for the service."""
    step: int = 0
    """Newest step that the sender has put in force."""
    requests: int = 0
    """Sends to endpoints of the service since the sender knows of it."""
    trials: int = 0
    """Those of them that went to the new version."""
    open_elsewhere: int = 0
    """Requests under way at endpoints of other versions."""
    tallies: list[TrialTally] = field(default_factory=list)
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.STRING, 'service', 'UTF8', ''),
        (2, TType.I64, 'number', None, 0),
        (3, TType.I32, 'step', None, 0),
        (4, TType.I32, 'requests', None, 0),
        (5, TType.I32, 'trials', None, 0),
        (6, TType.I32, 'open_elsewhere', None, 0),
        (
            7,
            TType.LIST,
            'tallies',
            (TType.STRUCT, [TrialTally, TrialTally.thrift_spec], False),
            None,
        ),
    )


@dataclass(kw_only=True, slots=True)
class RolloutTold(Message):
    """How far a roll-out is, as the holder of the duties wrote it down."""

    service: str = ''
    version: str = ''
    number: int = 0
    within_ms: int = 0
    stage: str = ''
    step: int = 0
    """Grows with each change of the stage."""
    began_at_ms: int = 0
    """When the order was first seen, on the store's clock."""
    held_back: list[str] = field(default_factory=list)
    """Versions that were not proven, and get nothing."""
    reason: str = ''
    word: int = 0
    """Counts what the holder says within one step."""
    share: float = 0.0
    """Share of the requests that the new version may get for now."""
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.STRING, 'service', 'UTF8', ''),
        (2, TType.STRING, 'version', 'UTF8', ''),
        (3, TType.I64, 'number', None, 0),
        (4, TType.I64, 'within_ms', None, 0),
        (5, TType.STRING, 'stage', 'UTF8', ''),
        (6, TType.I32, 'step', None, 0),
        (7, TType.I64, 'began_at_ms', None, 0),
        (8, TType.LIST, 'held_back', (TType.STRING, 'UTF8', False), None),
        (9, TType.STRING, 'reason', 'UTF8', ''),
        (10, TType.I32, 'word', None, 0),
        (11, TType.DOUBLE, 'share', None, 0.0),
    )
