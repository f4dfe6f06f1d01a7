"""Inputs and results of capacity planning."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from mimosamux_daemon.domain.names import (
    ClassName,
    DataCentreName,
    ModelName,
)
from mimosamux_daemon.domain.vms import VM, Market, Price


@dataclass(frozen=True, kw_only=True, slots=True)
class Offer:
    """A kind of VM that the cloud offers, if it has any left."""

    data_centre: DataCentreName
    machine_class: str
    market: Market


@dataclass(frozen=True, kw_only=True, slots=True)
class ClassDemand:
    """Request rate of one class for one model, forecast or measured."""

    model: ModelName
    work_class: ClassName
    requests_per_s: float
    prompt_tokens: float
    """Mean number of prompt tokens to compute, without cached ones."""
    answer_tokens: float
    """Mean number of tokens of an answer."""

    def scaled(self, factor: float) -> 'ClassDemand':
        """Return this demand with its request rate multiplied."""
        return ClassDemand(
            model=self.model,
            work_class=self.work_class,
            requests_per_s=self.requests_per_s * factor,
            prompt_tokens=self.prompt_tokens,
            answer_tokens=self.answer_tokens,
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceRate:
    """Throughput of one replica, estimated from its load reports."""

    prefill_tokens_per_s: float
    decode_interval_s: float
    slots: int

    @property
    def answer_tokens_per_s(self) -> float:
        """Return the decode rate with all slots in use."""
        return self.slots / self.decode_interval_s


ModelOffer = tuple[ModelName, Offer]


@dataclass(frozen=True, kw_only=True, slots=True)
class OfferCount:
    """VMs of one offer for one model."""

    model: ModelName
    offer: Offer
    running: int
    """VMs not being drained, including those that are starting."""
    live: int
    """The running VMs that serve requests."""
    paid: int
    """All VMs that cost money, including those being drained."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ReplicaNeed:
    """Number of replicas of a model that its latency targets need."""

    normal: float
    """Replicas needed while no VM is lost."""
    after_loss: float
    """Replicas needed of those that survive a loss of VMs."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CeilingShortfall:
    """A class whose latency target costs more an hour than its ceiling."""

    work_class: ClassName
    needed_per_hour: float
    ceiling_per_hour: float
    admitted_share: float
    """Fraction of its requests that the ceiling covers."""

    @property
    def missing_per_hour(self) -> float:
        """Return the cost an hour above the ceiling."""
        return self.needed_per_hour - self.ceiling_per_hour


@dataclass(frozen=True, kw_only=True, slots=True)
class CapacityShortfall:
    """A model for which the cloud has too few VMs available."""

    model: ModelName
    needed: float
    planned: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Plan:
    """Target number of VMs for each model and offer."""

    counts: Mapping[ModelOffer, int] = field(default_factory=dict)
    needs: Mapping[ModelName, ReplicaNeed] = field(default_factory=dict)
    per_hour: float = 0.0
    """Cost of the planned VMs an hour."""
    ceiling_shortfalls: tuple[CeilingShortfall, ...] = ()
    capacity_shortfalls: tuple[CapacityShortfall, ...] = ()
    weights: Mapping[tuple[ModelName, str], float] = field(
        default_factory=dict
    )
    """Capacity of a VM by model and machine class, in reference replicas."""

    def count(self, model: ModelName, offer: Offer) -> int:
        """Return the target number of VMs of an offer for a model."""
        return self.counts.get((model, offer), 0)


def offer_of(item: VM | Price) -> Offer:
    """Return the offer that a VM or a price belongs to."""
    return Offer(
        data_centre=item.data_centre,
        machine_class=item.machine_class,
        market=item.market,
    )
