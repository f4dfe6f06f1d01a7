"""The configuration in force: one immutable value with a version."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from mimosamux_daemon.domain.names import (
    AccountId,
    ClassName,
    DataCentreName,
    ModelName,
    ServiceName,
)
from mimosamux_daemon.domain.work import Account, WorkClass


@dataclass(frozen=True, kw_only=True, slots=True)
class ModelSpec:
    """A model that endpoints serve."""

    name: ModelName
    version: str
    machine_classes: tuple[str, ...] = ('standard',)
    size_bytes: int = 0
    checks_fencing: bool = False
    """True: its engines refuse orders with an old fencing number."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceSpec:
    """A plain service, and which of its paths must not be repeated."""

    name: ServiceName
    work_class: ClassName
    """Class of calls that name none."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Configuration:
    """Everything that operators have accepted, as of one version."""

    version: int = 0
    """0: no configuration has been accepted yet."""
    classes: Mapping[ClassName, WorkClass] = field(default_factory=dict)
    accounts: Mapping[AccountId, Account] = field(default_factory=dict)
    models: Mapping[ModelName, ModelSpec] = field(default_factory=dict)
    services: Mapping[ServiceName, ServiceSpec] = field(default_factory=dict)
    data_centres: tuple[DataCentreName, ...] = ()
    cost_weight: float = 1.0
    """How much money counts beside recomputed tokens in choices."""
    recompute_weight: float = 1.0
    """How much recomputed tokens count beside money in choices."""
