"""What daemons tell each other about endpoints.

Endpoints are named by a 32-bit hash of their id, since an id would take
half of the bytes. Fields that are None are not sent.
"""

from dataclasses import dataclass, field
from typing import Any, ClassVar

from thrift.Thrift import TType

from mimosamux_wire.messages import Message


@dataclass(kw_only=True, slots=True)
class EndpointDigest(Message):
    """News of one endpoint since the digest before."""

    endpoint: int = 0
    """xxh32 of the endpoint's id, as a signed number."""
    age_ms: int | None = None
    """Age of the load report; None: there is no new report."""
    queued_prefill_tokens: int | None = None
    running: int | None = None
    waiting: int | None = None
    slots: int | None = None
    """This and the next two are left out while they stay the same."""
    prefill_tokens_per_s: int | None = None
    decode_interval_us: int | None = None
    sent_requests: int | None = None
    """Requests that the sender of the digest sent there itself."""
    sent_tokens: int | None = None
    ended_requests: int | None = None
    stored: bytes | None = None
    """Keys of prefix-cache blocks, 5 bytes each, little-endian."""
    evicted: bytes | None = None
    doubtful: bool | None = None
    """Whether cache events of the endpoint were lost; None: as before."""

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
    """What a client account asked for and got at the sender lately."""

    account: int = 0
    """xxh32 of the account's id, as a signed number."""
    share_percent: int = 0
    offered_tokens: int = 0
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
    """News of the endpoints that the sender owns or sent work to."""

    sequence: int = 0
    """Goes up by one with each digest; a gap means that news were lost."""
    interval_ms: int = 0
    """Time that the sends in it are spread over."""
    full: bool = False
    """True: it brings everything the sender knows, not just news."""
    endpoints: list[EndpointDigest] = field(default_factory=list)
    accounts: list[AccountUse] = field(default_factory=list)
    """The accounts that asked the sender for the most."""

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
    """Asks a peer to make its next digest a full one."""

    thrift_spec: ClassVar[tuple[Any, ...]] = ()


@dataclass(kw_only=True, slots=True)
class LeavingEndpoint(Message):
    """An endpoint that is to get no new work."""

    endpoint: str = ''
    seconds_left_ms: int = 0

    thrift_spec: ClassVar[tuple[Any, ...]] = (
        None,
        (1, TType.STRING, 'endpoint', 'UTF8', ''),
        (2, TType.I64, 'seconds_left_ms', None, 0),
    )


@dataclass(kw_only=True, slots=True)
class LeavingEndpoints(Message):
    """Endpoints that the sender has just learnt to be leaving."""

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
