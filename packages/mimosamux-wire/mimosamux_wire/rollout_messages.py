"""Messages about roll-outs: gradual changes of a service to a new version."""

from dataclasses import dataclass, field
from typing import Any, ClassVar

from thrift.Thrift import TType

from mimosamux_wire.messages import Message


@dataclass(kw_only=True, slots=True)
class TrialTally(Message):
    """Counts of the sender's answers since the roll-out began.

    Each tally covers one route, and one endpoint of the new version or all
    endpoints of other versions.
    """

    endpoint: str = ''
    """Endpoint of the new version; empty: all of other versions."""
    route: str = ''
    answers: int = 0
    failed: int = 0
    slower: list[int] = field(default_factory=list)
    """Answers slower than expected by a factor.

    One count for each of the sender's factors.
    """
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
    """The sender's requests and answers in one roll-out."""

    service: str = ''
    number: int = 0
    """Number of the roll-out order among those for the service."""
    step: int = 0
    """Newest step in force at the sender."""
    requests: int = 0
    """Requests sent to any version since the roll-out began."""
    trials: int = 0
    """The requests of these that were sent to the new version."""
    open_elsewhere: int = 0
    """Requests in flight at endpoints of other versions."""
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
    """Order and progress of a roll-out, sent by the lease holder."""

    service: str = ''
    version: str = ''
    number: int = 0
    within_ms: int = 0
    """Time limit for the roll-out."""
    stage: str = ''
    step: int = 0
    """Increases with each change of the stage."""
    began_at_ms: int = 0
    """When the order was first seen, in store time."""
    held_back: list[str] = field(default_factory=list)
    """Unapproved versions of earlier orders, which get no requests."""
    reason: str = ''
    word: int = 0
    """Sequence number of `share` within the step."""
    share: float = 0.0
    """Largest fraction of requests to send to the new version."""
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
