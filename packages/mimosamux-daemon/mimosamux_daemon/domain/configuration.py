"""Immutable, versioned configuration of the daemon for model classes."""

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
    """Whether its engines refuse orders with an outdated fencing token."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceSpec:
    """A plain service: an HTTP service that is not a model engine."""

    name: ServiceName
    work_class: ClassName
    """Class of calls that do not name a class."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Configuration:
    """One version of the configuration that operators have accepted."""

    version: int = 0
    """0: no configuration has been accepted yet."""
    classes: Mapping[ClassName, WorkClass] = field(default_factory=dict)
    accounts: Mapping[AccountId, Account] = field(default_factory=dict)
    models: Mapping[ModelName, ModelSpec] = field(default_factory=dict)
    services: Mapping[ServiceName, ServiceSpec] = field(default_factory=dict)
    data_centres: tuple[DataCentreName, ...] = ()
    cost_weight: float = 1.0
    """Weight of VM cost in the cost function of endpoint selection."""
    recompute_weight: float = 1.0
    """Weight of recomputed tokens in the same cost function."""
