"""Settings of one daemon, parsed from YAML and validated."""

import pathlib
from dataclasses import dataclass

import pydantic
import yaml

from mimosamux_daemon.callers import BODY_TIMEOUT_S
from mimosamux_daemon.decoding import drop_unset
from mimosamux_daemon.domain.names import DaemonId, DataCentreName, VMId
from mimosamux_daemon.errors import InvalidSettings
from mimosamux_daemon.validation import first_problem


class _Strict(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class PeerModel(_Strict):
    """A seed peer: daemon whose address is configured."""

    id: str = pydantic.Field(min_length=1, max_length=64)
    address: str = pydantic.Field(pattern=r'^[^\s:]+:\d{1,5}$')


class TLSModel(_Strict):
    """Files of a TLS certificate, reloaded when they change.

    `authority` is the certificate authority that peers are checked with.
    """

    certificate: pathlib.Path
    key: pathlib.Path
    authority: pathlib.Path | None = None


class SettingsModel(_Strict):
    """Schema of the settings file; times are in seconds."""

    daemon: str = pydantic.Field(min_length=1, max_length=64)
    data_centre: str = pydantic.Field(min_length=1, max_length=64)
    region: str = 'local'
    host: str = '127.0.0.1'
    port: int = pydantic.Field(default=0, ge=0, le=65535)
    peer_port: int = pydantic.Field(default=0, ge=0, le=65535)
    peer_address: str = pydantic.Field(
        default='', pattern=r'^([^\s:]+:\d{1,5})?$'
    )
    """`host:port` at which peers reach this daemon; default: where it
    listens."""
    peers: tuple[PeerModel, ...] = ()
    peer_secret: str = ''
    peer_tls: TLSModel | None = None
    tls: TLSModel | None = None
    platform_url: str | None = None
    embedded: bool = False
    """Run an in-memory platform and an emulated engine in the process."""
    vm: str = ''
    """Cloud's name of the VM that the daemon runs on; default: `daemon`."""
    plans_vms: bool | None = None
    """Whether to start and stop endpoint VMs; default: not `embedded`."""
    endpoint_data_centres: tuple[str, ...] = ()
    """Data centres whose endpoints this daemon uses; if empty, all."""
    operator_tokens: dict[str, str] = pydantic.Field(default_factory=dict)
    """Role (`read` or `write`) by SHA-256 digest of the operator token."""
    address_ttl_s: float = pydantic.Field(default=30.0, gt=0)
    """How long callers may use an answer to an address request."""
    stop_grace_s: float = pydantic.Field(default=60.0, ge=0)
    """How long a stop waits for open requests before the handover."""
    memory_mb: float = pydantic.Field(default=0.0, ge=0, le=1e6)
    """Memory of the VM, in MiB; 0: unknown."""
    descriptors: int = pydantic.Field(default=0, ge=0)
    """Most descriptors of the process; 0: what the system allows."""
    body_timeout_s: float = pydantic.Field(
        default=BODY_TIMEOUT_S, gt=0, le=3600
    )
    """Longest time from the head of a request to the end of its body."""
    configuration: dict[str, object] | None = None
    """Initial configuration, proposed if the platform stores none."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerAddress:
    """Address at which a peer's Thrift link listens."""

    id: DaemonId
    address: str


@dataclass(frozen=True, kw_only=True, slots=True)
class TLSFiles:
    """Paths of a certificate, its key and the certificate authority."""

    certificate: pathlib.Path
    key: pathlib.Path
    authority: pathlib.Path | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Settings:
    """Validated settings of one daemon; times are in seconds."""

    daemon: DaemonId
    data_centre: DataCentreName
    region: str
    host: str
    port: int
    peer_port: int
    peer_address: str
    peers: tuple[PeerAddress, ...]
    peer_secret: str
    peer_tls: TLSFiles | None
    tls: TLSFiles | None
    platform_url: str | None
    embedded: bool
    vm: VMId
    plans_vms: bool
    endpoint_data_centres: tuple[DataCentreName, ...]
    operator_tokens: dict[str, str]
    address_ttl_s: float
    stop_grace_s: float
    configuration: dict[str, object] | None
    memory_mb: float = 0.0
    descriptors: int = 0
    body_timeout_s: float = BODY_TIMEOUT_S


def parse_settings(text: str) -> Settings:
    """Return validated settings.

    `InvalidSettings` names the first invalid field.
    """
    try:
        known = SettingsModel.model_fields
        fields = drop_unset(yaml.safe_load(text), known)
        model = SettingsModel.model_validate(fields)
    except yaml.YAMLError as error:
        raise InvalidSettings(path='$', problem=str(error)) from error
    except pydantic.ValidationError as error:
        problem = first_problem(error)
        raise InvalidSettings(
            path=problem.path, problem=problem.message
        ) from error
    if not model.embedded and model.platform_url is None:
        raise InvalidSettings(
            path='platform_url',
            problem='needed unless `embedded` is true',
        )
    return _as_settings(model)


def _as_settings(model: SettingsModel) -> Settings:
    return Settings(
        daemon=DaemonId(model.daemon),
        data_centre=DataCentreName(model.data_centre),
        region=model.region,
        host=model.host,
        port=model.port,
        peer_port=model.peer_port,
        peer_address=model.peer_address,
        peers=tuple(
            PeerAddress(id=DaemonId(peer.id), address=peer.address)
            for peer in model.peers
        ),
        peer_secret=model.peer_secret,
        peer_tls=_as_files(model.peer_tls),
        tls=_as_files(model.tls),
        platform_url=model.platform_url,
        embedded=model.embedded,
        vm=VMId(model.vm or model.daemon),
        plans_vms=(
            not model.embedded if model.plans_vms is None else model.plans_vms
        ),
        endpoint_data_centres=tuple(
            DataCentreName(name) for name in model.endpoint_data_centres
        ),
        operator_tokens=dict(model.operator_tokens),
        address_ttl_s=model.address_ttl_s,
        stop_grace_s=model.stop_grace_s,
        configuration=model.configuration,
        memory_mb=model.memory_mb,
        descriptors=model.descriptors,
        body_timeout_s=model.body_timeout_s,
    )


def _as_files(model: TLSModel | None) -> TLSFiles | None:
    if model is None:
        return None
    return TLSFiles(
        certificate=model.certificate,
        key=model.key,
        authority=model.authority,
    )
