"""Settings of a gateway daemon, read from a YAML file and validated.

The `*Model` classes describe the file; the code uses `GatewaySettings`.
"""

import pathlib
from dataclasses import dataclass
from typing import Annotated

import msgspec
import yaml

from mimosamux_daemon.callers import BODY_TIMEOUT_S
from mimosamux_daemon.decoding import convert_settings
from mimosamux_daemon.domain.names import DaemonId, DataCentreName
from mimosamux_daemon.errors import InvalidSettings
from mimosamux_daemon.gateway.exchange.peer_states import DaemonPlace
from mimosamux_daemon.gateway.limits.caps import CapRules
from mimosamux_daemon.gateway.limits.retry_budget import RetryLimits
from mimosamux_daemon.gateway.rollouts import RolloutLimits

ADDRESS = r'^[^\s:]+:\d{1,5}$'
OPTIONAL_ADDRESS = r'^([^\s:]+:\d{1,5})?$'


class _Model(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Base of the sections of the file; unknown fields are errors."""


Address = Annotated[str, msgspec.Meta(pattern=ADDRESS)]
OptionalAddress = Annotated[str, msgspec.Meta(pattern=OPTIONAL_ADDRESS)]
Positive = Annotated[float, msgspec.Meta(gt=0)]
NonNegative = Annotated[float, msgspec.Meta(ge=0)]


class ListenModel(_Model, frozen=True, kw_only=True):
    """Addresses to listen on, at which others also reach the daemon."""

    entry: Address
    """Requests of clients."""
    peers: Address
    """Messages of other daemons; also the id of this daemon among them."""
    discovery: Address
    """Queries for the addresses of daemons."""
    readiness: Address
    """Readiness probes."""
    metrics: OptionalAddress = ''
    """Metrics and operator requests; empty: not served."""
    tunnels: OptionalAddress = ''
    """Connections of other daemons to endpoints; empty: not served."""


class PlatformModel(_Model, frozen=True, kw_only=True):
    """Addresses and properties of the platform's services."""

    store: Address
    cloud: OptionalAddress = ''
    """Service for usage reports and endpoint orders; empty: there is none."""
    checks_fencing: bool = False
    """Whether the platform rejects calls with an outdated fencing number."""


class BoundsModel(_Model, frozen=True, kw_only=True):
    """Time limits on which operators rely, in seconds."""

    revocation_s: Positive
    """Time after which no daemon accepts a revoked key."""
    drain_s: Positive
    """Time for which an endpoint serves after it was listed as leaving."""
    stop_grace_s: Positive
    """Time after which the platform kills a process that it asked to stop."""
    lease_s: Positive
    """Validity of the lease of the duties."""
    usage_window_s: Positive
    """Length of a window of usage reports."""
    usage_lateness_s: Positive
    """Time after the end of a window by which its usage is reported."""
    address_ttl_s: Positive
    """Longest time for which clients may cache a discovery answer."""


class RetriesModel(_Model, frozen=True, kw_only=True):
    """Retry budget for sending requests to further endpoints."""

    share: NonNegative
    """Retries allowed for each request."""
    window_s: Positive
    extra: NonNegative
    """Retries allowed in a window on top of the share."""


class CapsModel(_Model, frozen=True, kw_only=True):
    """Accuracy with which the caps of client accounts are enforced."""

    window_s: Positive
    """Time span over which usage counts."""
    overage: NonNegative = 0.0
    """Share of a cap that may be used on top of it."""
    tolerance: NonNegative = 0.0
    """Amount that may be used on top of that."""


class RolloutsModel(_Model, frozen=True, kw_only=True):
    """Limits on the requests that an unproven version receives."""

    share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1
    """Share of the requests to a service during the trial."""
    tolerance: NonNegative = 50.0
    """Number of requests allowed beyond the share."""


class GatewaySettingsModel(_Model, frozen=True, kw_only=True):
    """The settings file."""

    adapter: Annotated[str, msgspec.Meta(pattern=r'^[a-z_][a-z0-9_.]*$')]
    """Name of the package that connects to the platform."""
    daemon: Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
    data_centre: Annotated[str, msgspec.Meta(min_length=1)]
    region: str = ''
    link_mbps: NonNegative = 0.0
    """Bandwidth of the VM's network link; 0: unknown."""
    memory_mb: Annotated[float, msgspec.Meta(ge=0, le=1e6)] = 0.0
    """Memory of the VM, in MiB; 0: unknown."""
    descriptors: Annotated[int, msgspec.Meta(ge=0)] = 0
    """Most descriptors of the process; 0: what the system allows."""
    body_timeout_s: Annotated[float, msgspec.Meta(gt=0, le=3600)] = (
        BODY_TIMEOUT_S
    )
    """Longest time from the head of a request to the end of its body."""
    listen: ListenModel
    seeds: tuple[str, ...] = ()
    """Peer addresses of daemons that may be running already."""
    first_start: bool = False
    """Whether the whole site starts for the first time."""
    platform: PlatformModel
    bounds: BoundsModel
    retries: RetriesModel
    caps: CapsModel
    rollouts: RolloutsModel = RolloutsModel()


@dataclass(frozen=True, kw_only=True, slots=True)
class GatewaySettings:
    """Validated settings of one daemon; times are in seconds."""

    adapter: str
    daemon: str
    place: DaemonPlace
    entry: str
    discovery: str
    readiness: str
    metrics: str
    seeds: tuple[DaemonId, ...]
    first_start: bool
    store: str
    cloud: str
    checks_fencing: bool
    revocation_s: float
    drain_s: float
    stop_grace_s: float
    lease_s: float
    usage_window_s: float
    usage_lateness_s: float
    address_ttl_s: float
    memory_mb: float = 0.0
    descriptors: int = 0
    body_timeout_s: float = BODY_TIMEOUT_S
    retries: RetryLimits
    caps: CapRules
    rollouts: RolloutLimits = RolloutLimits()


def read_gateway_settings(path: str) -> GatewaySettings:
    """Read and validate a settings file."""
    return parse_gateway_settings(pathlib.Path(path).read_text())


def parse_gateway_settings(text: str) -> GatewaySettings:
    """Validate settings; `InvalidSettings` names the invalid field."""
    try:
        fields = yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise InvalidSettings(path='$', problem=str(error)) from error
    return _build_settings(convert_settings(fields, GatewaySettingsModel))


def _build_settings(model: GatewaySettingsModel) -> GatewaySettings:
    bounds = model.bounds
    return GatewaySettings(
        adapter=model.adapter,
        daemon=model.daemon,
        place=DaemonPlace(
            id=DaemonId(model.listen.peers),
            data_centre=DataCentreName(model.data_centre),
            region=model.region,
            entry_address=model.listen.entry,
            link_mbps=model.link_mbps,
            tunnel=model.listen.tunnels,
        ),
        entry=model.listen.entry,
        discovery=model.listen.discovery,
        readiness=model.listen.readiness,
        metrics=model.listen.metrics,
        seeds=tuple(DaemonId(seed) for seed in model.seeds),
        first_start=model.first_start,
        store=model.platform.store,
        cloud=model.platform.cloud,
        checks_fencing=model.platform.checks_fencing,
        revocation_s=bounds.revocation_s,
        drain_s=bounds.drain_s,
        stop_grace_s=bounds.stop_grace_s,
        lease_s=bounds.lease_s,
        usage_window_s=bounds.usage_window_s,
        usage_lateness_s=bounds.usage_lateness_s,
        address_ttl_s=bounds.address_ttl_s,
        memory_mb=model.memory_mb,
        descriptors=model.descriptors,
        body_timeout_s=model.body_timeout_s,
        retries=RetryLimits(
            share=model.retries.share,
            window_s=model.retries.window_s,
            extra=model.retries.extra,
        ),
        caps=CapRules(
            window_s=model.caps.window_s,
            overage=model.caps.overage,
            tolerance=model.caps.tolerance,
        ),
        rollouts=RolloutLimits(
            share=model.rollouts.share,
            tolerance=model.rollouts.tolerance,
        ),
    )
