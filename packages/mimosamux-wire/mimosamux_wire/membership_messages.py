"""Messages of the membership protocol of daemons and data centres."""

from dataclasses import dataclass, field
from typing import Any, ClassVar

from thrift.Thrift import TType

from mimosamux_wire.messages import Message


def _list_of(kind: type[Message]) -> tuple[Any, ...]:
    """Return the thrift element type of a list of structs."""
    return (TType.STRUCT, [kind, kind.thrift_spec], False)


@dataclass(kw_only=True, slots=True)
class MemberRecord(Message):
    """A daemon, as described by itself or by another daemon."""

    id: str = ''
    data_centre: str = ''
    address: str = ''
    caller_address: str = ''
    """Address at which callers reach the daemon."""
    incarnation: int = 0
    state: int = 0
    """Number of the daemon's `MemberState`."""
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.STRING, 'id', 'UTF8', ''),
        (2, TType.STRING, 'data_centre', 'UTF8', ''),
        (3, TType.STRING, 'address', 'UTF8', ''),
        (4, TType.STRING, 'caller_address', 'UTF8', ''),
        (5, TType.I64, 'incarnation', None, 0),
        (6, TType.I32, 'state', None, 0),
    )


@dataclass(kw_only=True, slots=True)
class DataCentreSummary(Message):
    """Summary of a data centre, sent to the other data centres."""

    data_centre: str = ''
    age_ms: int = 0
    """Time since a daemon of that data centre made the summary."""
    configuration_version: int = 0
    lowest_version: int = 0
    """Lowest version among its ready daemons; -1 if none is ready."""
    members_digest: int = 0
    """Hash of the member records; if it changes, receivers fetch them."""
    load: int = 0
    """Mean load of its ready daemons, in thousandths of capacity."""
    distance_us: int = 0
    """Round-trip time from the sender, 0 if unknown or its own."""
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.STRING, 'data_centre', 'UTF8', ''),
        (2, TType.I32, 'age_ms', None, 0),
        (3, TType.I64, 'configuration_version', None, 0),
        (4, TType.I64, 'lowest_version', None, 0),
        (5, TType.I64, 'members_digest', None, 0),
        (6, TType.I32, 'load', None, 0),
        (7, TType.I32, 'distance_us', None, 0),
    )


@dataclass(kw_only=True, slots=True)
class Heartbeat(Message):
    """Periodic heartbeat to the daemons of the same data centre."""

    sender: MemberRecord = field(default_factory=MemberRecord)
    configuration_version: int = 0
    load: int = 0
    """Used part of the daemon's capacity, in thousandths."""
    suspects: list[str] = field(default_factory=list)
    """Ids of the daemons that the sender suspects of having failed."""
    summaries: list[DataCentreSummary] = field(default_factory=list)
    """Summaries of the data centres to which the sender has a link."""
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (
            1,
            TType.STRUCT,
            'sender',
            [MemberRecord, MemberRecord.thrift_spec],
            None,
        ),
        (2, TType.I64, 'configuration_version', None, 0),
        (3, TType.I32, 'load', None, 0),
        (4, TType.LIST, 'suspects', (TType.STRING, 'UTF8', False), None),
        (5, TType.LIST, 'summaries', _list_of(DataCentreSummary), None),
    )


@dataclass(kw_only=True, slots=True)
class SummaryExchange(Message):
    """Summary of the sender's data centre; the answer is the receiver's."""

    sender: MemberRecord = field(default_factory=MemberRecord)
    summary: DataCentreSummary = field(default_factory=DataCentreSummary)
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (
            1,
            TType.STRUCT,
            'sender',
            [MemberRecord, MemberRecord.thrift_spec],
            None,
        ),
        (
            2,
            TType.STRUCT,
            'summary',
            [DataCentreSummary, DataCentreSummary.thrift_spec],
            None,
        ),
    )


@dataclass(kw_only=True, slots=True)
class MembersFetch(Message):
    """Asks for the members of a data centre, or of all if it is empty."""

    sender: MemberRecord = field(default_factory=MemberRecord)
    data_centre: str = ''
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (
            1,
            TType.STRUCT,
            'sender',
            [MemberRecord, MemberRecord.thrift_spec],
            None,
        ),
        (2, TType.STRING, 'data_centre', 'UTF8', ''),
    )


@dataclass(kw_only=True, slots=True)
class MembersKnown(Message):
    """Answer to `MembersFetch`: member records and summaries."""

    members: list[MemberRecord] = field(default_factory=list)
    summaries: list[DataCentreSummary] = field(default_factory=list)
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.LIST, 'members', _list_of(MemberRecord), None),
        (2, TType.LIST, 'summaries', _list_of(DataCentreSummary), None),
    )


@dataclass(kw_only=True, slots=True)
class Superseded(Message):
    """Tells a daemon that a newer incarnation of it is running."""

    incarnation: int = 0
    """The newer incarnation."""
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.I64, 'incarnation', None, 0),
    )
