"""Settings of a daemon that passes requests on, checked at the border."""

import pathlib
from dataclasses import dataclass
from typing import Annotated

import msgspec
import yaml

from mimosamux_daemon.decoding import convert_settings
from mimosamux_daemon.domain.names import DaemonId, DataCentreName
from mimosamux_daemon.errors import InvalidSettings
from mimosamux_daemon.gateway.caps import CapRules
from mimosamux_daemon.gateway.peer_states import DaemonPlace
from mimosamux_daemon.gateway.retry_budget import RetryLimits
from mimosamux_daemon.gateway.rollouts import RolloutLimits

ADDRESS = r'^[^\s:]+:\d{1,5}$'
MAYBE_ADDRESS = r'^([^\s:]+:\d{1,5})?$'


class _Model(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A section of the file."""


Address = Annotated[str, msgspec.Meta(pattern=ADDRESS)]
MaybeAddress = Annotated[str, msgspec.Meta(pattern=MAYBE_ADDRESS)]
Positive = Annotated[float, msgspec.Meta(gt=0)]
NotNegative = Annotated[float, msgspec.Meta(ge=0)]


class ListenModel(_Model, frozen=True, kw_only=True):
    """Addresses to listen on; they are also those that others use."""

    entry: Address
    peers: Address
    discovery: Address
    readiness: Address
    metrics: MaybeAddress = ''


class PlatformModel(_Model, frozen=True, kw_only=True):
    """Where the platform's services are."""

    store: Address
    cloud: MaybeAddress = ''
    """Empty: there is nothing to report or to order."""
    checks_fencing: bool = False


class BoundsModel(_Model, frozen=True, kw_only=True):
    """Times within which operators rely on something, in seconds."""

    revocation_s: Positive
    """A key that was taken away is out everywhere after this time."""
    drain_s: Positive
    """An endpoint that is listed as leaving serves on for so long."""
    stop_grace_s: Positive
    """The platform kills a process that was asked to stop after it."""
    lease_s: Positive
    usage_window_s: Positive
    usage_lateness_s: Positive
    address_ttl_s: Positive
    """Longest time for which callers may keep an address answer."""


class RetriesModel(_Model, frozen=True, kw_only=True):
    """Limits on sending requests to further endpoints."""

    share: NotNegative
    window_s: Positive
    extra: NotNegative


class CapsModel(_Model, frozen=True, kw_only=True):
    """How exactly the caps of client accounts are kept."""

    window_s: Positive
    overage: NotNegative = 0.0
    tolerance: NotNegative = 0.0


class RolloutsModel(_Model, frozen=True, kw_only=True):
    """What a new version may get before it is found good."""

    share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1
    tolerance: NotNegative = 50.0


class GatewaySettingsModel(_Model, frozen=True, kw_only=True):
    """The settings file."""

    adapter: Annotated[str, msgspec.Meta(pattern=r'^[a-z_][a-z0-9_.]*$')]
    """Package that translates for the platform."""
    daemon: Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
    data_centre: Annotated[str, msgspec.Meta(min_length=1)]
    region: str = ''
    link_mbps: NotNegative = 0.0
    """Bandwidth of the VM's link, 0: not known."""
    listen: ListenModel
    seeds: tuple[str, ...] = ()
    """Peer addresses of daemons that may be there already."""
    first_start: bool = False
    """Whether the whole site starts for the first time."""
    platform: PlatformModel
    bounds: BoundsModel
    retries: RetriesModel
    caps: CapsModel
    rollouts: RolloutsModel = RolloutsModel()


@dataclass(frozen=True, kw_only=True, slots=True)
class GatewaySettings:
    """Settings of one daemon; times are seconds."""

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
    retries: RetryLimits
    caps: CapRules
    rollouts: RolloutLimits = RolloutLimits()


def read_gateway_settings(path: str) -> GatewaySettings:
    """Return the checked settings of a file."""
    return parse_gateway_settings(pathlib.Path(path).read_text())


def parse_gateway_settings(text: str) -> GatewaySettings:
    """Return checked settings; `InvalidSettings` names a wrong field."""
    try:
        fields = yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise InvalidSettings(path='$', problem=str(error)) from error
    return _as_settings(convert_settings(fields, GatewaySettingsModel))


def _as_settings(model: GatewaySettingsModel) -> GatewaySettings:
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
