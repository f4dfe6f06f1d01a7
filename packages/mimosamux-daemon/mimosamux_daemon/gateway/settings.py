"""Settings of a daemon that passes requests on, checked at the border."""

import pathlib
from dataclasses import dataclass

import pydantic
import yaml

from mimosamux_daemon.domain.names import DaemonId, DataCentreName
from mimosamux_daemon.errors import InvalidSettings
from mimosamux_daemon.gateway.caps import CapRules
from mimosamux_daemon.gateway.peer_states import DaemonPlace
from mimosamux_daemon.gateway.retry_budget import RetryLimits
from mimosamux_daemon.validation import first_problem

ADDRESS = r'^[^\s:]+:\d{1,5}$'
MAYBE_ADDRESS = r'^([^\s:]+:\d{1,5})?$'


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class ListenModel(_Model):
    """Addresses to listen on; they are also those that others use."""

    entry: str = pydantic.Field(pattern=ADDRESS)
    peers: str = pydantic.Field(pattern=ADDRESS)
    discovery: str = pydantic.Field(pattern=ADDRESS)
    readiness: str = pydantic.Field(pattern=ADDRESS)
    metrics: str = pydantic.Field(default='', pattern=MAYBE_ADDRESS)


class PlatformModel(_Model):
    """Where the platform's services are."""

    store: str = pydantic.Field(pattern=ADDRESS)
    cloud: str = pydantic.Field(default='', pattern=MAYBE_ADDRESS)
    """Empty: there is nothing to report or to order."""
    checks_fencing: bool = False


class BoundsModel(_Model):
    """Times within which operators rely on something, in seconds."""

    revocation_s: float = pydantic.Field(gt=0)
    """A key that was taken away is out everywhere after this time."""
    drain_s: float = pydantic.Field(gt=0)
    """An endpoint that is listed as leaving serves on for so long."""
    stop_grace_s: float = pydantic.Field(gt=0)
    """The platform kills a process that was asked to stop after it."""
    lease_s: float = pydantic.Field(gt=0)
    usage_window_s: float = pydantic.Field(gt=0)
    usage_lateness_s: float = pydantic.Field(gt=0)
    address_ttl_s: float = pydantic.Field(gt=0)
    """Longest time for which callers may keep an address answer."""


class RetriesModel(_Model):
    """Limits on sending requests to further endpoints."""

    share: float = pydantic.Field(ge=0)
    window_s: float = pydantic.Field(gt=0)
    extra: float = pydantic.Field(ge=0)


class CapsModel(_Model):
    """How exactly the caps of client accounts are kept."""

    window_s: float = pydantic.Field(gt=0)
    overage: float = pydantic.Field(default=0.0, ge=0)
    tolerance: float = pydantic.Field(default=0.0, ge=0)


class GatewaySettingsModel(_Model):
    """The settings file."""

    adapter: str = pydantic.Field(pattern=r'^[a-z_][a-z0-9_.]*$')
    """Package that translates for the platform."""
    daemon: str = pydantic.Field(min_length=1, max_length=64)
    data_centre: str = pydantic.Field(min_length=1)
    region: str = ''
    listen: ListenModel
    seeds: tuple[str, ...] = ()
    """Peer addresses of daemons that may be there already."""
    platform: PlatformModel
    bounds: BoundsModel
    retries: RetriesModel
    caps: CapsModel


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


def read_gateway_settings(path: str) -> GatewaySettings:
    """Return the checked settings of a file."""
    return parse_gateway_settings(pathlib.Path(path).read_text())


def parse_gateway_settings(text: str) -> GatewaySettings:
    """Return checked settings; `InvalidSettings` names a wrong field."""
    try:
        model = GatewaySettingsModel.model_validate(yaml.safe_load(text))
    except yaml.YAMLError as error:
        raise InvalidSettings(path='$', problem=str(error)) from error
    except pydantic.ValidationError as error:
        problem = first_problem(error)
        raise InvalidSettings(
            path=problem.path, problem=problem.message
        ) from error
    return _as_settings(model)


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
        ),
        entry=model.listen.entry,
        discovery=model.listen.discovery,
        readiness=model.listen.readiness,
        metrics=model.listen.metrics,
        seeds=tuple(DaemonId(seed) for seed in model.seeds),
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
    )
