"""VMs of the platform: what they are, cost, and when they go away."""

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
    """State of a VM as the platform's lagging list shows it."""

    STARTING = 'starting'
    LIVE = 'live'
    LEAVING = 'leaving'


class VMRole(StrEnum):
    """What a VM was started for."""

    ENDPOINT = 'endpoint'
    ENTRY = 'entry'


class Market(StrEnum):
    """How a VM is paid for."""

    RECLAIMABLE = 'reclaimable'
    ON_DEMAND = 'on_demand'


@dataclass(frozen=True, kw_only=True, slots=True)
class VM:
    """A VM in the platform's list."""

    id: VMId
    data_centre: DataCentreName
    machine_class: str
    market: Market
    role: VMRole
    state: VMState
    address: str = ''
    """`host:port`; empty until the VM has one."""
    order_id: str = ''
    """Operation id of the order that started it."""
    model: ModelName | None = None
    """Model that an endpoint VM was started for."""
    service: ServiceName | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Price:
    """Price of one hour of a VM; it changes over the day."""

    data_centre: DataCentreName
    machine_class: str
    market: Market
    per_hour: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ReclaimNotice:
    """The platform takes a VM back in `seconds_left` seconds."""

    vm: VMId
    seconds_left: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Endpoint:
    """A model engine or a plain service that takes requests."""

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
    """True: orders with an old fencing number are refused by it."""
