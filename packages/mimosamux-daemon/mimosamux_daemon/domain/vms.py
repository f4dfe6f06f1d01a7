"""VMs of the platform, their prices, and notices of reclamation."""

from dataclasses import dataclass
from enum import StrEnum

from mimosamux_daemon.domain.names import (
    DataCentreName,
    EndpointId,
    ModelName,
    ServiceName,
    VMId,
)


class VMState(StrEnum):
    """State of a VM in the platform's list, which lags behind."""

    STARTING = 'starting'
    LIVE = 'live'
    LEAVING = 'leaving'


class VMRole(StrEnum):
    """Purpose of a VM."""

    ENDPOINT = 'endpoint'
    ENTRY = 'entry'


class Market(StrEnum):
    """Pricing model of a VM."""

    RECLAIMABLE = 'reclaimable'
    ON_DEMAND = 'on_demand'


@dataclass(frozen=True, kw_only=True, slots=True)
class VM:
    """Entry of the platform's list of VMs."""

    id: VMId
    data_centre: DataCentreName
    machine_class: str
    market: Market
    role: VMRole
    state: VMState
    address: str = ''
    """`host:port`; empty until the VM has one."""
    order_id: str = ''
    """Operation id of the order that started the VM."""
    model: ModelName | None = None
    """Model that an endpoint VM serves."""
    service: ServiceName | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Price:
    """Current price of a VM an hour, which changes over the day."""

    data_centre: DataCentreName
    machine_class: str
    market: Market
    per_hour: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ReclaimNotice:
    """The platform reclaims a VM in `seconds_left` seconds."""

    vm: VMId
    seconds_left: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Endpoint:
    """A model engine or a replica of a plain service."""

    id: EndpointId
    vm: VMId
    address: str
    data_centre: DataCentreName
    machine_class: str = 'standard'
    market: Market = Market.RECLAIMABLE
    model: ModelName | None = None
    model_version: str = ''
    service: ServiceName | None = None
    checks_fencing: bool = False
    """Whether it refuses orders with an outdated fencing token."""
