"""Routes, services and client accounts as operators configure them."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from mimosamux_daemon.domain.names import (
    AccountId,
    DataCentreName,
    ServiceName,
)

SLASH = b'/'


class RouteKind(StrEnum):
    """What may be done with a request of a route."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'
    """Answered by a series of events; not idempotent by itself."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Split:
    """A service that gets a share of a route's requests."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Where requests of a host and path prefix go; times are seconds."""

    name: str
    host: str
    prefix: bytes
    """Begins and ends with a slash."""
    kind: RouteKind
    splits: tuple[Split, ...]
    timeout_s: float
    """Longest time that a caller is kept waiting."""
    target_s: float
    """Latency target: whole answer, or first event of a stream."""
    gap_target_s: float | None = None
    """Longest pause between two events of a stream that is on time."""
    priority: int = 0
    """Rank; 0 is the most urgent."""
    max_endpoints: int = 1
    """Endpoints that one attempt of a caller may be sent to."""
    is_anonymous: bool = False
    is_resumable: bool = False
    """Whether a stream may go on at another endpoint."""
    has_prompt: bool = False
    """Whether requests state the parts of their prompt."""

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineTraits:
    """What the model engines of a service can do."""

    slots: int
    """Requests that an engine runs side by side."""
    cache_tokens: int
    """Tokens of KV cache that fit into an engine's memory."""
    bytes_per_token: float
    """KV cache bytes of one token."""
    link_mbps: float
    """Bandwidth between engines, in megabits a second."""
    can_move: bool = False
    """Whether running requests can be moved to another engine."""
    can_back_up: bool = False
    """Whether engines keep backup copies of runs elsewhere."""
    tokens_per_event: int = 1
    cache_watchers: int = 0
    """Callers that an engine lets wait for cache events at once."""
    handle_ttl_s: float = 5.0
    """Time after which an unused copy of a run may be dropped."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ScalingBounds:
    """Bounds and prices of ordering endpoints of a service."""

    least: int
    """Endpoints in each data centre, of both markets together."""
    most: int
    boot_s: float
    reclaimable_price: float | None
    """Price of a reclaimable endpoint as a share; None: there are none."""
    price_by_data_centre: Mapping[DataCentreName, float]
    """Price of an on-demand endpoint a second; data centres not named
    cannot be ordered in."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceEntry:
    """A service behind the routes."""

    name: ServiceName
    health_path: str = '/'
    max_connections: int = 0
    """Connections that an endpoint takes from all daemons together."""
    engine: EngineTraits | None = None
    """None: a plain service."""
    scaling: ScalingBounds | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class UsageCap:
    """Limit on what a client account may use, across all daemons."""

    rate_per_s: float
    burst: float
    is_in_tokens: bool = False
    """Whether both are counted in tokens and not in requests."""
    default_tokens: float = 1.0
    """Tokens that a request counts for that states none."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AccountEntry:
    """A client account."""

    id: AccountId
    priority: int | None = None
    """Goes before the priority of the route."""
    cap: UsageCap | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class TrafficLimits:
    """What a caller may send and how long it may take."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


RoutesByPrefix = Mapping[bytes, Route]


@dataclass(frozen=True, kw_only=True, slots=True)
class GatewayConfiguration:
    """One version of what operators configured."""

    version: int = 0
    """0: nothing has been configured yet."""
    routes_by_host: Mapping[str, RoutesByPrefix] = field(default_factory=dict)
    services_by_name: Mapping[ServiceName, ServiceEntry] = field(
        default_factory=dict
    )
    accounts_by_key: Mapping[str, AccountEntry] = field(default_factory=dict)
    accounts_by_id: Mapping[AccountId, AccountEntry] = field(
        default_factory=dict
    )
    needs_key: bool = False
    """Whether callers need a key on routes that are not anonymous."""
    limits: TrafficLimits = field(default_factory=TrafficLimits)

    def find_route(self, host: str, path: bytes) -> Route | None:
        """Return the route of a host with the longest matching prefix.

        Prefixes begin and end with a slash, so only the parts of the path
        up to each of its slashes can be one: the work depends on the path
        and not on the number of routes.
        """
        by_prefix = self.routes_by_host.get(host)
        if by_prefix is None:
            return None
        end = len(path)
        while (end := path.rfind(SLASH, 0, end)) >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
        return None


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationDocument:
    """A configuration, and the bytes from which it was read."""

    configuration: GatewayConfiguration
    data: bytes
