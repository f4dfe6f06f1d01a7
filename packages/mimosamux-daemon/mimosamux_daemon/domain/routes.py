"""Gateway configuration: routes, services and client accounts."""

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
    """Whether requests of a route may be repeated, and how they answer."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'
    """Answered by an event stream; not idempotent."""


@dataclass(frozen=True, kw_only=True, slots=True)
class TrafficSplit:
    """Weight of one service in the traffic split of a route."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Rules for requests to one host and path prefix; times in seconds."""

    name: str
    host: str
    prefix: bytes
    """Path prefix; begins and ends with a slash."""
    kind: RouteKind
    splits: tuple[TrafficSplit, ...]
    timeout_s: float
    """Maximum time for which a caller waits for the answer."""
    latency_target_s: float
    """Latency target of the complete answer or a stream's first event."""
    gap_target_s: float | None = None
    """Latency target of the gap between two events of a stream."""
    priority: int = 0
    """Rank; 0 is the most urgent."""
    max_attempts: int = 1
    """Maximum number of endpoints tried for one request."""
    is_anonymous: bool = False
    is_resumable: bool = False
    """Whether a stream may continue at another endpoint."""
    has_prompt: bool = False
    """Whether requests declare the parts of their prompt."""

    @property
    def may_repeat(self) -> bool:
        """Whether a request may be run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineCapabilities:
    """Capabilities of the model engines of a service."""

    slots: int
    """Maximum number of requests that an engine runs concurrently."""
    cache_tokens: int
    """Capacity of an engine's KV cache, in tokens."""
    bytes_per_token: float
    """Size of one token's KV cache, in bytes."""
    link_mbps: float
    """Bandwidth between two engines, in megabits a second."""
    can_move: bool = False
    """Whether running requests can migrate to another engine."""
    can_back_up: bool = False
    """Whether engines keep backup copies of runs at other engines."""
    tokens_per_event: int = 1
    max_cache_watchers: int = 0
    """Maximum number of clients that may wait for an engine's cache events."""
    handle_ttl_s: float = 5.0
    """Time after which an engine may drop an unused copy of a KV cache."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ScalingBounds:
    """Bounds and prices for the autoscaling of a service."""

    min_endpoints: int
    """Minimum endpoints in each data centre, of both markets together."""
    max_endpoints: int
    """Maximum endpoints in each data centre."""
    boot_s: float
    reclaimable_price: float | None
    """Price as a fraction of on-demand; None: none can be ordered."""
    price_by_data_centre: Mapping[DataCentreName, float]
    """Price a second of an on-demand endpoint.

    Endpoints can be ordered only in the data centres listed here.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceEntry:
    """A service that routes refer to."""

    name: ServiceName
    health_path: str = '/'
    max_connections: int = 0
    """Maximum connections to one endpoint from all daemons together."""
    engine: EngineCapabilities | None = None
    """None: a plain service without model engines."""
    scaling: ScalingBounds | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class UsageCap:
    """Token bucket that limits a client account across all daemons."""

    rate_per_s: float
    burst: float
    is_in_tokens: bool = False
    """Whether rate and burst count model tokens instead of requests."""
    default_tokens: float = 1.0
    """Model tokens charged for a request that declares none."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AccountEntry:
    """A client account."""

    id: AccountId
    priority: int | None = None
    """Overrides the priority of the route."""
    cap: UsageCap | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class TrafficLimits:
    """Size limits and time-outs for callers."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


RoutesByPrefix = Mapping[bytes, Route]


@dataclass(frozen=True, kw_only=True, slots=True)
class GatewayConfiguration:
    """One version of the operators' configuration."""

    version: int = 0
    """0: no configuration exists yet."""
    routes_by_host: Mapping[str, RoutesByPrefix] = field(default_factory=dict)
    services_by_name: Mapping[ServiceName, ServiceEntry] = field(
        default_factory=dict
    )
    accounts_by_key: Mapping[str, AccountEntry] = field(default_factory=dict)
    accounts_by_id: Mapping[AccountId, AccountEntry] = field(
        default_factory=dict
    )
    needs_key: bool = False
    """Whether routes that are not anonymous require an API key."""
    limits: TrafficLimits = field(default_factory=TrafficLimits)

    def find_route(self, host: str, path: bytes) -> Route | None:
        """Return the route of a host with the longest matching prefix.

        Prefixes begin and end with a slash, so only the parts of the path
        that end at a slash need a look-up. The cost grows with the number
        of slashes in the path and not with the number of routes.
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
    """A configuration and the encoded document it was parsed from."""

    configuration: GatewayConfiguration
    data: bytes
