"""Messages with which daemons share the state of endpoints.

Digests identify endpoints by a 32-bit hash of their id, because full ids
would take half of the bytes. Fields that are None are not sent.
"""

from dataclasses import dataclass, field
from typing import Any, ClassVar

from thrift.Thrift import TType

from mimosamux_wire.messages import Message


@dataclass(kw_only=True, slots=True)
class EndpointDigest(Message):
    """Changes of one endpoint since the previous digest."""

    endpoint: int = 0
    """xxh32 hash of the endpoint's id, as a signed integer."""
    age_ms: int | None = None
    """Age of the load report; None if there is no new report."""
    queued_prefill_tokens: int | None = None
    running: int | None = None
    waiting: int | None = None
    slots: int | None = None
    """Maximum number of requests that the engine runs concurrently.

    This field and the next two are sent only when they change.
    """
    prefill_tokens_per_s: int | None = None
    decode_interval_us: int | None = None
    """Time between two tokens of one stream."""
    sent_requests: int | None = None
    """Requests that the sender of the digest sent to the endpoint."""
    sent_tokens: int | None = None
    """Tokens of work in these requests."""
    ended_requests: int | None = None
    """Requests of the sender that ended at the endpoint."""
    stored: bytes | None = None
    """Keys of added prefix-cache blocks, 5 bytes each, little-endian."""
    evicted: bytes | None = None
    """Keys of removed prefix-cache blocks, in the same format."""
    doubtful: bool | None = None
    """Whether cache events of the endpoint were lost; None: unchanged."""

    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.I32, 'endpoint', None, 0),
        (2, TType.I32, 'age_ms', None, None),
        (3, TType.I64, 'queued_prefill_tokens', None, None),
        (4, TType.I32, 'running', None, None),
        (5, TType.I32, 'waiting', None, None),
        (6, TType.I32, 'slots', None, None),
        (7, TType.I64, 'prefill_tokens_per_s', None, None),
        (8, TType.I64, 'decode_interval_us', None, None),
        (9, TType.I32, 'sent_requests', None, None),
        (10, TType.I64, 'sent_tokens', None, None),
        (11, TType.I32, 'ended_requests', None, None),
        (12, TType.STRING, 'stored', 'BINARY', None),
        (13, TType.STRING, 'evicted', 'BINARY', None),
        (14, TType.BOOL, 'doubtful', None, None),
    )


@dataclass(kw_only=True, slots=True)
class AccountUse(Message):
    """Usage of a client account at the sender since its last report."""

    account: int = 0
    """xxh32 hash of the account's id, as a signed integer."""
    share_percent: int = 0
    """Weight of the account in the fair shares, in percent."""
    offered_tokens: int = 0
    """Tokens of all requests, admitted or not."""
    admitted_tokens: int = 0

    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.I32, 'account', None, 0),
        (2, TType.I32, 'share_percent', None, 0),
        (3, TType.I64, 'offered_tokens', None, 0),
        (4, TType.I64, 'admitted_tokens', None, 0),
    )


@dataclass(kw_only=True, slots=True)
class FleetDigest(Message):
    """State of the endpoints that the sender owns or sent requests to."""

    sequence: int = 0
    """Increases by one per digest; a gap means that a digest was lost."""
    interval_ms: int = 0
    """Period in which the reported requests were sent."""
    full: bool = False
    """Whether it holds the full state of the owned endpoints."""
    endpoints: list[EndpointDigest] = field(default_factory=list)
    accounts: list[AccountUse] = field(default_factory=list)
    """The accounts that requested the most tokens from the sender."""

    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.I64, 'sequence', None, 0),
        (2, TType.I32, 'interval_ms', None, 0),
        (3, TType.BOOL, 'full', None, False),
        (
            4,
            TType.LIST,
            'endpoints',
            (
                TType.STRUCT,
                [EndpointDigest, EndpointDigest.thrift_spec],
                False,
            ),
            None,
        ),
        (
            5,
            TType.LIST,
            'accounts',
            (TType.STRUCT, [AccountUse, AccountUse.thrift_spec], False),
            None,
        ),
    )


@dataclass(kw_only=True, slots=True)
class FullDigestWanted(Message):
    """Asks a peer for a full digest as its next one."""

    thrift_spec: ClassVar[tuple[Any, ...]] = ()


@dataclass(kw_only=True, slots=True)
class LeavingEndpoint(Message):
    """An endpoint that must get no new requests, as it will shut down."""

    endpoint: str = ''
    seconds_left_ms: int = 0
    """Time until it shuts down, in milliseconds."""

    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.STRING, 'endpoint', 'UTF8', ''),
        (2, TType.I64, 'seconds_left_ms', None, 0),
    )


@dataclass(kw_only=True, slots=True)
class LeavingEndpoints(Message):
    """Endpoints that the sender has newly marked as leaving."""

    endpoints: list[LeavingEndpoint] = field(default_factory=list)

    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (
            1,
            TType.LIST,
            'endpoints',
            (
                TType.STRUCT,
                [LeavingEndpoint, LeavingEndpoint.thrift_spec],
                False,
            ),
            None,
        ),
    )
