"""Messages with which daemons share what requests they pass on."""

from dataclasses import dataclass, field
from typing import Any, ClassVar

from thrift.Thrift import TType

from mimosamux_wire.messages import Message
from mimosamux_wire.rollout_messages import RolloutUse


def _list_of(kind: type[Message]) -> tuple[Any, ...]:
    return (TType.STRUCT, [kind, kind.thrift_spec], False)


@dataclass(kw_only=True, slots=True)
class EndpointUse(Message):
    """What the sender has under way at one endpoint."""

    endpoint: str = ''
    open_requests: int = 0
    unread_tokens: int = 0
    """Prompt tokens of requests that have not begun to answer."""
    ended: int = 0
    """Requests of the last seconds that were answered, or failed."""
    failed: int = 0
    incarnation: int = 0
    """Start of the endpoint that is meant, 0: not known."""
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.STRING, 'endpoint', 'UTF8', ''),
        (2, TType.I32, 'open_requests', None, 0),
        (3, TType.I64, 'unread_tokens', None, 0),
        (4, TType.I32, 'ended', None, 0),
        (5, TType.I32, 'failed', None, 0),
        (6, TType.I64, 'incarnation', None, 0),
    )


@dataclass(kw_only=True, slots=True)
class EndpointLimit(Message):
    """What an endpoint has said to the sender of its limit."""

    endpoint: str = ''
    per_s: float = 0.0
    """Requests a second that it takes from all daemons, 0: any number."""
    said_ms: int = 0
    """When it said so, on the store's clock."""
    incarnation: int = 0
    """Start of the endpoint that is meant, 0: not known."""
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.STRING, 'endpoint', 'UTF8', ''),
        (2, TType.DOUBLE, 'per_s', None, 0.0),
        (3, TType.I64, 'said_ms', None, 0),
        (4, TType.I64, 'incarnation', None, 0),
    )


@dataclass(kw_only=True, slots=True)
class CapUse(Message):
    """What the sender let through of an account's cap since it started."""

    account: str = ''
    used: int = 0
    recent: int = 0
    """What all daemons let through in the last window, as it knows."""
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.STRING, 'account', 'UTF8', ''),
        (2, TType.I64, 'used', None, 0),
        (3, TType.I64, 'recent', None, 0),
    )


@dataclass(kw_only=True, slots=True)
class WindowUse(Message):
    """Requests of an account that began at the sender in one window."""

    window: int = 0
    account: str = ''
    requests: int = 0
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.I64, 'window', None, 0),
        (2, TType.STRING, 'account', 'UTF8', ''),
        (3, TType.I32, 'requests', None, 0),
    )


@dataclass(kw_only=True, slots=True)
class ServiceDemand(Message):
    """Work that callers brought for a service since the sender started."""

    service: str = ''
    busy_ms: int = 0
    """Time for which it keeps one endpoint busy."""
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.STRING, 'service', 'UTF8', ''),
        (2, TType.I64, 'busy_ms', None, 0),
    )


@dataclass(kw_only=True, slots=True)
class PartsRead(Message):
    """Parts of prompts that an endpoint has read for the sender."""

    endpoint: str = ''
    parts: list[str] = field(default_factory=list)
    incarnation: int = 0
    """Start of the endpoint that read them, 0: not known."""
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.STRING, 'endpoint', 'UTF8', ''),
        (2, TType.LIST, 'parts', (TType.STRING, 'UTF8', False), None),
        (3, TType.I64, 'incarnation', None, 0),
    )


@dataclass(kw_only=True, slots=True)
class DigestHeard(Message):
    """Newest digest of one peer that the sender has taken."""

    lifetime: int = 0
    """Lifetime of the peer, which stands for its process."""
    sequence: int = 0
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.I64, 'lifetime', None, 0),
        (2, TType.I64, 'sequence', None, 0),
    )


@dataclass(kw_only=True, slots=True)
class StateDigest(Message):
    """How things stand at one daemon; a later one replaces it."""

    address: str = ''
    """Where the sender's peers reach it; also its id."""
    data_centre: str = ''
    region: str = ''
    entry_address: str = ''
    lifetime: int = 0
    """Drawn at the start of the process; counters begin with it."""
    sequence: int = 0
    state: int = 0
    configuration_version: int = 0
    lease_fencing: int = 0
    """Fencing number of the duties' lease, 0: not the holder."""
    wall_offset_ms: int = 0
    """Time of day less the store's clock, as the sender sees both."""
    endpoints: list[EndpointUse] = field(default_factory=list)
    caps: list[CapUse] = field(default_factory=list)
    windows: list[WindowUse] = field(default_factory=list)
    demands: list[ServiceDemand] = field(default_factory=list)
    parts: list[PartsRead] = field(default_factory=list)
    """Read since the last digest."""
    heard: list[DigestHeard] = field(default_factory=list)
    """Told by daemons that do not send `StateBatch` yet."""
    is_relay: bool = False
    """Whether the sender passes on what other daemons tell."""
    reads_tables: bool = False
    """Whether the platform's tables answer the sender."""
    rollouts: list[RolloutUse] = field(default_factory=list)
    link_mbps: float = 0.0
    """Bandwidth of the sender's link, 0: not known."""
    lease_ended_version: int = 0
    """Version of the lease's row at which it ended at the sender, which acts
    no more under it, 0: it did not."""
    limits: list[EndpointLimit] = field(default_factory=list)
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.STRING, 'address', 'UTF8', ''),
        (2, TType.STRING, 'data_centre', 'UTF8', ''),
        (3, TType.STRING, 'region', 'UTF8', ''),
        (4, TType.STRING, 'entry_address', 'UTF8', ''),
        (5, TType.I64, 'lifetime', None, 0),
        (6, TType.I64, 'sequence', None, 0),
        (7, TType.I32, 'state', None, 0),
        (8, TType.I64, 'configuration_version', None, 0),
        (9, TType.I64, 'lease_fencing', None, 0),
        (10, TType.I64, 'wall_offset_ms', None, 0),
        (11, TType.LIST, 'endpoints', _list_of(EndpointUse), None),
        (12, TType.LIST, 'caps', _list_of(CapUse), None),
        (13, TType.LIST, 'windows', _list_of(WindowUse), None),
        (14, TType.LIST, 'demands', _list_of(ServiceDemand), None),
        (15, TType.LIST, 'parts', _list_of(PartsRead), None),
        (16, TType.LIST, 'heard', _list_of(DigestHeard), None),
        (17, TType.BOOL, 'is_relay', None, False),
        (18, TType.BOOL, 'reads_tables', None, False),
        (19, TType.LIST, 'rollouts', _list_of(RolloutUse), None),
        (20, TType.I64, 'lease_ended_version', None, 0),
        (21, TType.DOUBLE, 'link_mbps', None, 0.0),
        (22, TType.LIST, 'limits', _list_of(EndpointLimit), None),
    )


@dataclass(kw_only=True, slots=True)
class GroupHeard(Message):
    """Digests that each daemon of a group has taken."""

    members: list[int] = field(default_factory=list)
    """Lifetimes of the daemons for which this stands."""
    heard: list[DigestHeard] = field(default_factory=list)
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.LIST, 'members', (TType.I64, None, False), None),
        (2, TType.LIST, 'heard', _list_of(DigestHeard), None),
    )


@dataclass(kw_only=True, slots=True)
class StateBatch(Message):
    """Digests that the sender tells or passes on, and what it has taken."""

    lifetime: int = 0
    number: int = 0
    """Counts the sender's batches to this receiver."""
    after: int = 0
    """Batch behind which this one leaves nothing out, 0: it is complete."""
    taken_lifetime: int = 0
    """Lifetime of the receiver whose batches are meant by `taken`."""
    taken: int = 0
    """Newest batch of the receiver up to which the sender has all."""
    is_member: bool = False
    """Whether the receiver is the sender's relay."""
    digests: list[bytes] = field(default_factory=list)
    """Encoded `StateDigest`s, passed on as they came."""
    confirmed: list[GroupHeard] = field(default_factory=list)
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.I64, 'lifetime', None, 0),
        (2, TType.I64, 'number', None, 0),
        (3, TType.I64, 'after', None, 0),
        (4, TType.I64, 'taken_lifetime', None, 0),
        (5, TType.I64, 'taken', None, 0),
        (6, TType.BOOL, 'is_member', None, False),
        (7, TType.LIST, 'digests', (TType.STRING, 'BINARY', False), None),
        (8, TType.LIST, 'confirmed', _list_of(GroupHeard), None),
    )


@dataclass(kw_only=True, slots=True)
class DaemonsKnown(Message):
    """Peer addresses of every daemon that the sender knows."""

    addresses: list[str] = field(default_factory=list)
    data_centres: list[str] = field(default_factory=list)
    """Where each of them is, empty: not known."""
    links_mbps: list[float] = field(default_factory=list)
    """Bandwidth of their links, 0: not known."""
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.LIST, 'addresses', (TType.STRING, 'UTF8', False), None),
        (2, TType.LIST, 'data_centres', (TType.STRING, 'UTF8', False), None),
        (3, TType.LIST, 'links_mbps', (TType.DOUBLE, None, False), None),
    )


@dataclass(kw_only=True, slots=True)
class EndpointsLeave(Message):
    """Endpoints of which the sender has learned that they leave."""

    endpoints: list[str] = field(default_factory=list)
    leave_in_ms: list[int] = field(default_factory=list)
    """Time left for each of them, -1: not known."""
    incarnations: list[int] = field(default_factory=list)
    """Start of each of them, 0: not known."""
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.LIST, 'endpoints', (TType.STRING, 'UTF8', False), None),
        (2, TType.LIST, 'leave_in_ms', (TType.I64, None, False), None),
        (3, TType.LIST, 'incarnations', (TType.I64, None, False), None),
    )


@dataclass(kw_only=True, slots=True)
class Vouch(Message):
    """Asks up to when the receiver knows its configuration as newest."""

    version: int = 0
    """Version that the sender has in force."""
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.I64, 'version', None, 0),
    )


@dataclass(kw_only=True, slots=True)
class Vouched(Message):
    """Version in force, its age, and the document if the asker lags."""

    version: int = 0
    age_ms: int = 0
    """Time since the platform confirmed that no newer one existed."""
    document: bytes = b''
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.I64, 'version', None, 0),
        (2, TType.I64, 'age_ms', None, 0),
        (3, TType.STRING, 'document', 'BINARY', b''),
    )


@dataclass(kw_only=True, slots=True)
class TableRow(Message):
    """A row of a table of the platform."""

    key: str = ''
    value: bytes = b''
    version: int = 0
    is_deleted: bool = False
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.STRING, 'key', 'UTF8', ''),
        (2, TType.STRING, 'value', 'BINARY', b''),
        (3, TType.I64, 'version', None, 0),
        (4, TType.BOOL, 'is_deleted', None, False),
    )


@dataclass(kw_only=True, slots=True)
class TableNews(Message):
    """What the sender has read of a table; daemons pass it on."""

    table: str = ''
    version: int = 0
    """Version of the store up to which it was read."""
    changed: int = 0
    """Version of the table's newest change."""
    behind: int = 0
    """Version of the change before `rows`."""
    rows: list[TableRow] = field(default_factory=list)
    """Changes behind that one, none: they have to be read."""
    as_of_ms: int = 0
    """Up to when these are all, on the store's clock."""
    may_have_lapsed: bool = False
    """Whether rows may be missing that live writers could not renew."""
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.STRING, 'table', 'UTF8', ''),
        (2, TType.I64, 'version', None, 0),
        (3, TType.I64, 'changed', None, 0),
        (4, TType.I64, 'behind', None, 0),
        (5, TType.LIST, 'rows', _list_of(TableRow), None),
        (6, TType.I64, 'as_of_ms', None, 0),
        (7, TType.BOOL, 'may_have_lapsed', None, False),
    )


@dataclass(kw_only=True, slots=True)
class CapLoanWanted(Message):
    """Asks a peer for a share of its part of a cap, for a while."""

    account: str = ''
    lifetime: int = 0
    number: int = 0
    """Names the loan among those of the sender's process."""
    share: float = 0.0
    """How much of the receiver's part is wanted, 1: all of it."""
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.STRING, 'account', 'UTF8', ''),
        (2, TType.I64, 'lifetime', None, 0),
        (3, TType.I64, 'number', None, 0),
        (4, TType.DOUBLE, 'share', None, 0.0),
    )


@dataclass(kw_only=True, slots=True)
class CapLoan(Message):
    """How much of its part the sender leaves to the one that asked."""

    share: float = 0.0
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.DOUBLE, 'share', None, 0.0),
    )


@dataclass(kw_only=True, slots=True)
class CapLoanReturned(Message):
    """Gives back what was borrowed of a cap."""

    account: str = ''
    lifetime: int = 0
    number: int = 0
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.STRING, 'account', 'UTF8', ''),
        (2, TType.I64, 'lifetime', None, 0),
        (3, TType.I64, 'number', None, 0),
    )
