"""Messages with which capacity planners share demand and decisions.

Each data centre has one planner, which decides what VMs it runs.
"""

from dataclasses import dataclass, field
from typing import Any, ClassVar

from thrift.Thrift import TType

from mimosamux_wire.messages import Message


def _list_of(kind: type[Message]) -> tuple[Any, ...]:
    """Return the thrift element type of a list of structs."""
    return (TType.STRUCT, [kind, kind.thrift_spec], False)


@dataclass(kw_only=True, slots=True)
class DemandRecord(Message):
    """Demand of one work class for one model."""

    model: str = ''
    work_class: str = ''
    requests_per_s: float = 0.0
    prompt_tokens: float = 0.0
    """Mean number of uncached prompt tokens of a request."""
    answer_tokens: float = 0.0
    """Mean number of tokens of an answer."""
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.STRING, 'model', 'UTF8', ''),
        (2, TType.STRING, 'work_class', 'UTF8', ''),
        (3, TType.DOUBLE, 'requests_per_s', None, 0.0),
        (4, TType.DOUBLE, 'prompt_tokens', None, 0.0),
        (5, TType.DOUBLE, 'answer_tokens', None, 0.0),
    )


@dataclass(kw_only=True, slots=True)
class RateRecord(Message):
    """Speed of one replica of a model on a machine class."""

    model: str = ''
    machine_class: str = ''
    prefill_tokens_per_s: float = 0.0
    decode_interval_s: float = 0.0
    """Time between two tokens of one stream."""
    slots: int = 0
    """Maximum number of requests that the engine runs concurrently."""
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.STRING, 'model', 'UTF8', ''),
        (2, TType.STRING, 'machine_class', 'UTF8', ''),
        (3, TType.DOUBLE, 'prefill_tokens_per_s', None, 0.0),
        (4, TType.DOUBLE, 'decode_interval_s', None, 0.0),
        (5, TType.I32, 'slots', None, 0),
    )


@dataclass(kw_only=True, slots=True)
class OfferRecord(Message):
    """A kind of VM that the cloud offers in the summary's data centre."""

    machine_class: str = ''
    market: str = ''
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.STRING, 'machine_class', 'UTF8', ''),
        (2, TType.STRING, 'market', 'UTF8', ''),
    )


@dataclass(kw_only=True, slots=True)
class CountRecord(Message):
    """VMs of one offer for one model in a data centre."""

    model: str = ''
    machine_class: str = ''
    market: str = ''
    running: int = 0
    """VMs not being drained, including those that are starting."""
    live: int = 0
    """The running VMs that serve requests."""
    paid: int = 0
    """All VMs that cost money, including those being drained."""
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.STRING, 'model', 'UTF8', ''),
        (2, TType.STRING, 'machine_class', 'UTF8', ''),
        (3, TType.STRING, 'market', 'UTF8', ''),
        (4, TType.I32, 'running', None, 0),
        (5, TType.I32, 'live', None, 0),
        (6, TType.I32, 'paid', None, 0),
    )


@dataclass(kw_only=True, slots=True)
class PlanningSummary(Message):
    """State of a data centre, for the planners of the other data centres."""

    data_centre: str = ''
    fencing: int = 0
    """Fencing token of the planner's lease; `sequence` restarts with it."""
    sequence: int = 0
    demands: list[DemandRecord] = field(default_factory=list)
    rates: list[RateRecord] = field(default_factory=list)
    refused: list[OfferRecord] = field(default_factory=list)
    """Offers for which the cloud recently refused to create a VM."""
    stopping: list[str] = field(default_factory=list)
    """Ids of the VMs that are being drained."""
    counts: list[CountRecord] = field(default_factory=list)
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.STRING, 'data_centre', 'UTF8', ''),
        (2, TType.I64, 'fencing', None, 0),
        (3, TType.I64, 'sequence', None, 0),
        (4, TType.LIST, 'demands', _list_of(DemandRecord), None),
        (5, TType.LIST, 'rates', _list_of(RateRecord), None),
        (6, TType.LIST, 'refused', _list_of(OfferRecord), None),
        (7, TType.LIST, 'stopping', (TType.STRING, 'UTF8', False), None),
        (8, TType.LIST, 'counts', _list_of(CountRecord), None),
    )


@dataclass(kw_only=True, slots=True)
class ShortfallRecord(Message):
    """A work class whose latency target costs more than its ceiling."""

    work_class: str = ''
    needed_per_hour: float = 0.0
    """Cost per hour of meeting the latency target."""
    ceiling_per_hour: float = 0.0
    admitted_share: float = 0.0
    """Fraction of its requests that the ceiling covers."""
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.STRING, 'work_class', 'UTF8', ''),
        (2, TType.DOUBLE, 'needed_per_hour', None, 0.0),
        (3, TType.DOUBLE, 'ceiling_per_hour', None, 0.0),
        (4, TType.DOUBLE, 'admitted_share', None, 0.0),
    )


@dataclass(kw_only=True, slots=True)
class PlanTold(Message):
    """The planner's decision, sent to the daemons of its data centre."""

    summary: PlanningSummary = field(default_factory=PlanningSummary)
    shortfalls: list[ShortfallRecord] = field(default_factory=list)
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (
            1,
            TType.STRUCT,
            'summary',
            [PlanningSummary, PlanningSummary.thrift_spec],
            None,
        ),
        (2, TType.LIST, 'shortfalls', _list_of(ShortfallRecord), None),
    )


@dataclass(kw_only=True, slots=True)
class DemandTold(Message):
    """Answer to `PlanTold`: demand at the daemon, and remote summaries."""

    demands: list[DemandRecord] = field(default_factory=list)
    summaries: list[PlanningSummary] = field(default_factory=list)
    """Summaries from other data centres, new since the last answer."""
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.LIST, 'demands', _list_of(DemandRecord), None),
        (2, TType.LIST, 'summaries', _list_of(PlanningSummary), None),
    )
