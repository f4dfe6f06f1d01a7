"""Messages with which gateway daemons share load, usage and state.

Daemons gossip `StateDigest`s in `StateBatch`es, directly or by way of relay
daemons. The fields called `lifetime` hold the incarnation of a daemon: a
number that is drawn at random when its process starts.
"""

from dataclasses import dataclass, field
from typing import Any, ClassVar

from thrift.Thrift import TType

from mimosamux_wire.messages import Message
from mimosamux_wire.rollout_messages import RolloutUse


def _list_of(kind: type[Message]) -> tuple[Any, ...]:
    """Return the thrift element type of a list of structs."""
    return (TType.STRUCT, [kind, kind.thrift_spec], False)


@dataclass(kw_only=True, slots=True)
class EndpointUse(Message):
    """The sender's requests in flight and recent answers at one endpoint."""

    endpoint: str = ''
    open_requests: int = 0
    unread_tokens: int = 0
    """Tokens to prefill for requests whose answers have not begun."""
    ended: int = 0
    """Requests that ended in the last seconds, including failed ones."""
    failed: int = 0
    incarnation: int = 0
    """Incarnation of the endpoint, 0 if unknown."""
    sample_weight: float | None = None
    """Weight of the sender's samples of the endpoint's speed, counted since
    its process started. Not sent if there are none since its last digest."""
    ratio_sum: float | None = None
    """Weighted sum of the samples: time taken over time expected."""
    ratio_square_sum: float | None = None
    """Weighted sum of their squares."""
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.STRING, 'endpoint', 'UTF8', ''),
        (2, TType.I32, 'open_requests', None, 0),
        (3, TType.I64, 'unread_tokens', None, 0),
        (4, TType.I32, 'ended', None, 0),
        (5, TType.I32, 'failed', None, 0),
        (6, TType.I64, 'incarnation', None, 0),
        (7, TType.DOUBLE, 'sample_weight', None, None),
        (8, TType.DOUBLE, 'ratio_sum', None, None),
        (9, TType.DOUBLE, 'ratio_square_sum', None, None),
    )


@dataclass(kw_only=True, slots=True)
class EndpointLimit(Message):
    """Rate limit that an endpoint reported to the sender."""

    endpoint: str = ''
    per_s: float = 0.0
    """Requests per second from all daemons together, 0: unlimited."""
    said_ms: int = 0
    """When the endpoint reported it, in store time."""
    incarnation: int = 0
    """Incarnation of the endpoint, 0 if unknown."""
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.STRING, 'endpoint', 'UTF8', ''),
        (2, TType.DOUBLE, 'per_s', None, 0.0),
        (3, TType.I64, 'said_ms', None, 0),
        (4, TType.I64, 'incarnation', None, 0),
    )


@dataclass(kw_only=True, slots=True)
class BrittleService(Message):
    """Service whose endpoints fall over if they reject too many requests."""

    service: str = ''
    per_s: float = 0.0
    """Requests that each can reject in a second, 0: any number."""
    said_ms: int = 0
    """When an endpoint said so, in store time."""
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.STRING, 'service', 'UTF8', ''),
        (2, TType.DOUBLE, 'per_s', None, 0.0),
        (3, TType.I64, 'said_ms', None, 0),
    )


@dataclass(kw_only=True, slots=True)
class CapUse(Message):
    """Use of an account's cap, in the unit of the cap: requests or tokens."""

    account: str = ''
    used: int = 0
    """Use that the sender has admitted since its process started."""
    recent: int = 0
    """Use that all daemons admitted in the last window, as far as it knows."""
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
    """Number of the metering window."""
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
    """Offered load of a service at the sender since its process started."""

    service: str = ''
    busy_ms: int = 0
    """Total time for which the requests would occupy one endpoint."""
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.STRING, 'service', 'UTF8', ''),
        (2, TType.I64, 'busy_ms', None, 0),
    )


@dataclass(kw_only=True, slots=True)
class PartsRead(Message):
    """Prompt parts that an endpoint has prefilled for the sender."""

    endpoint: str = ''
    parts: list[str] = field(default_factory=list)
    """Ids of the prompt parts."""
    incarnation: int = 0
    """Incarnation of the endpoint, 0 if unknown."""
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.STRING, 'endpoint', 'UTF8', ''),
        (2, TType.LIST, 'parts', (TType.STRING, 'UTF8', False), None),
        (3, TType.I64, 'incarnation', None, 0),
    )


@dataclass(kw_only=True, slots=True)
class DigestHeard(Message):
    """Acknowledges one daemon's digests, up to the given sequence number."""

    lifetime: int = 0
    """Incarnation of the daemon whose digests are acknowledged."""
    sequence: int = 0
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.I64, 'lifetime', None, 0),
        (2, TType.I64, 'sequence', None, 0),
    )


@dataclass(kw_only=True, slots=True)
class StateDigest(Message):
    """State of one daemon; a digest with a higher sequence replaces it."""

    address: str = ''
    """Address at which peers reach the daemon; also its id."""
    data_centre: str = ''
    region: str = ''
    entry_address: str = ''
    """Address at which callers reach the daemon."""
    lifetime: int = 0
    """Incarnation of the daemon; a new one resets all counters."""
    sequence: int = 0
    state: int = 0
    """Number of the daemon's `MemberState`."""
    configuration_version: int = 0
    lease_fencing: int = 0
    """Fencing token if the daemon holds the duties' lease, else 0."""
    wall_offset_ms: int = 0
    """Offset of the daemon's wall clock from store time, 0: unknown."""
    endpoints: list[EndpointUse] = field(default_factory=list)
    caps: list[CapUse] = field(default_factory=list)
    windows: list[WindowUse] = field(default_factory=list)
    demands: list[ServiceDemand] = field(default_factory=list)
    parts: list[PartsRead] = field(default_factory=list)
    """Prompt parts prefilled since the previous digest."""
    heard: list[DigestHeard] = field(default_factory=list)
    """Acknowledgements; only from daemon versions without `StateBatch`."""
    is_relay: bool = False
    """Whether the daemon forwards the messages of others."""
    reads_tables: bool = False
    """Whether the daemon can read the platform's tables."""
    rollouts: list[RolloutUse] = field(default_factory=list)
    link_mbps: float = 0.0
    """Bandwidth of the daemon's network link, 0 if unknown."""
    lease_ended_version: int = 0
    """Row version of a lease that has ended at the daemon, 0: none.

    The daemon no longer performs duties under that lease.
    """
    limits: list[EndpointLimit] = field(default_factory=list)
    tunnel_address: str = ''
    """Address at which the daemon opens tunnels to endpoints for peers."""
    unreached_services: list[str] = field(default_factory=list)
    """Services to whose endpoints the daemon cannot connect itself."""
    brittle_services: list[BrittleService] = field(default_factory=list)
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
        (23, TType.STRING, 'tunnel_address', 'UTF8', ''),
        (
            24,
            TType.LIST,
            'unreached_services',
            (TType.STRING, 'UTF8', False),
            None,
        ),
        (25, TType.LIST, 'brittle_services', _list_of(BrittleService), None),
    )


@dataclass(kw_only=True, slots=True)
class GroupHeard(Message):
    """Digests that every daemon of a group has received."""

    members: list[int] = field(default_factory=list)
    """Incarnations of the daemons in the group."""
    heard: list[DigestHeard] = field(default_factory=list)
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.LIST, 'members', (TType.I64, None, False), None),
        (2, TType.LIST, 'heard', _list_of(DigestHeard), None),
    )


@dataclass(kw_only=True, slots=True)
class StateBatch(Message):
    """Digests that the sender originates or forwards, and acknowledgements.

    A batch leaves out the digests of earlier batches, unless those stay
    unacknowledged.
    """

    lifetime: int = 0
    """Incarnation of the sender."""
    number: int = 0
    """Sequence number among the sender's batches to this receiver."""
    after: int = 0
    """Batch that the receiver must have for this one to leave no gap.

    0: the batch is complete by itself.
    """
    taken_lifetime: int = 0
    """Incarnation of the receiver to which `taken` refers."""
    taken: int = 0
    """Acknowledgement: newest batch received without a gap before it."""
    is_member: bool = False
    """Whether the sender uses the receiver as its relay."""
    digests: list[bytes] = field(default_factory=list)
    """Encoded `StateDigest`s, forwarded unchanged."""
    confirmed: list[GroupHeard] = field(default_factory=list)
    """Acknowledgements of digests on behalf of groups of daemons."""
    digest_lifetimes: list[int] = field(default_factory=list)
    """Incarnation of the daemon that wrote each digest.

    Receivers skip known digests by it and by the sequence without decoding
    them. Daemons of earlier versions send neither list.
    """
    digest_sequences: list[int] = field(default_factory=list)
    """Sequence number of each digest."""
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
        (9, TType.LIST, 'digest_lifetimes', (TType.I64, None, False), None),
        (10, TType.LIST, 'digest_sequences', (TType.I64, None, False), None),
    )


@dataclass(kw_only=True, slots=True)
class DaemonsKnown(Message):
    """Addresses of all daemons that the sender knows, as parallel lists."""

    addresses: list[str] = field(default_factory=list)
    data_centres: list[str] = field(default_factory=list)
    """Data centre of each daemon, empty if unknown."""
    links_mbps: list[float] = field(default_factory=list)
    """Bandwidth of each daemon's network link, 0 if unknown."""
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.LIST, 'addresses', (TType.STRING, 'UTF8', False), None),
        (2, TType.LIST, 'data_centres', (TType.STRING, 'UTF8', False), None),
        (3, TType.LIST, 'links_mbps', (TType.DOUBLE, None, False), None),
    )


@dataclass(kw_only=True, slots=True)
class EndpointsLeave(Message):
    """Endpoints that are about to shut down, as parallel lists."""

    endpoints: list[str] = field(default_factory=list)
    leave_in_ms: list[int] = field(default_factory=list)
    """Time until each endpoint shuts down, -1 if unknown."""
    incarnations: list[int] = field(default_factory=list)
    """Incarnation of each endpoint, 0 if unknown."""
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.LIST, 'endpoints', (TType.STRING, 'UTF8', False), None),
        (2, TType.LIST, 'leave_in_ms', (TType.I64, None, False), None),
        (3, TType.LIST, 'incarnations', (TType.I64, None, False), None),
    )


@dataclass(kw_only=True, slots=True)
class Vouch(Message):
    """Asks how fresh the receiver's configuration is."""

    version: int = 0
    """Configuration version in force at the sender."""
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.I64, 'version', None, 0),
    )


@dataclass(kw_only=True, slots=True)
class Vouched(Message):
    """Answer to `Vouch`: the configuration in force and its freshness."""

    version: int = 0
    age_ms: int = 0
    """Time since the platform confirmed that no newer version existed."""
    document: bytes = b''
    """The configuration; empty unless the asker's version is older."""
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.I64, 'version', None, 0),
        (2, TType.I64, 'age_ms', None, 0),
        (3, TType.STRING, 'document', 'BINARY', b''),
    )


@dataclass(kw_only=True, slots=True)
class TableRow(Message):
    """A row of one of the platform's tables."""

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
    """View of a table as read by one daemon; relays forward it."""

    table: str = ''
    version: int = 0
    """Version of the store at which the table was read."""
    changed: int = 0
    """Version of the latest change to the table."""
    behind: int = 0
    """Version of the change that precedes `rows`."""
    rows: list[TableRow] = field(default_factory=list)
    """Changes after `behind`; if empty, receivers must read the table."""
    as_of_ms: int = 0
    """When the view was current, in store time."""
    may_have_lapsed: bool = False
    """Whether rows of live writers may be missing because of an outage.

    During an outage, writers cannot renew their rows.
    """
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
class WindowsFinalized(Message):
    """Final counts of usage windows; they never change again."""

    counts: list[WindowUse] = field(default_factory=list)
    """An entry without an account stands for a window without requests."""
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.LIST, 'counts', _list_of(WindowUse), None),
    )


@dataclass(kw_only=True, slots=True)
class CapLoanWanted(Message):
    """Asks a peer for a temporary loan from its allotment of a usage cap."""

    account: str = ''
    lifetime: int = 0
    """Incarnation of the borrower."""
    number: int = 0
    """Number of the loan, unique within the incarnation."""
    share: float = 0.0
    """Requested fraction of the receiver's allotment, 0 to 1."""
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.STRING, 'account', 'UTF8', ''),
        (2, TType.I64, 'lifetime', None, 0),
        (3, TType.I64, 'number', None, 0),
        (4, TType.DOUBLE, 'share', None, 0.0),
    )


@dataclass(kw_only=True, slots=True)
class CapLoan(Message):
    """Answer to `CapLoanWanted`: the fraction of the allotment lent."""

    share: float = 0.0
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.DOUBLE, 'share', None, 0.0),
    )


@dataclass(kw_only=True, slots=True)
class CapLoanReturned(Message):
    """Returns a loan; the fields identify it as in `CapLoanWanted`."""

    account: str = ''
    lifetime: int = 0
    number: int = 0
    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.STRING, 'account', 'UTF8', ''),
        (2, TType.I64, 'lifetime', None, 0),
        (3, TType.I64, 'number', None, 0),
    )
