"""What the planner knows and what it decides, as values."""

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
    """A kind of VM that the cloud may have to give."""

    data_centre: DataCentreName
    machine_class: str
    market: Market


@dataclass(frozen=True, kw_only=True, slots=True)
class ClassDemand:
    """Requests of one class for one model, forecast or measured."""

    model: ModelName
    work_class: ClassName
    requests_per_s: float
    prompt_tokens: float
    """Mean tokens of a prompt that have to be computed."""
    answer_tokens: float
    """Mean tokens of an answer."""

    def scaled(self, factor: float) -> 'ClassDemand':
        """Return the demand with the rate multiplied."""
        return ClassDemand(
            model=self.model,
            work_class=self.work_class,
            requests_per_s=self.requests_per_s * factor,
            prompt_tokens=self.prompt_tokens,
            answer_tokens=self.answer_tokens,
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceRate:
    """How fast one replica works, as learned from its reports."""

    prefill_tokens_per_s: float
    decode_interval_s: float
    slots: int

    @property
    def answer_tokens_per_s(self) -> float:
        """Return the tokens a second with every slot in use."""
        return self.slots / self.decode_interval_s


ModelOffer = tuple[ModelName, Offer]


@dataclass(frozen=True, kw_only=True, slots=True)
class OfferCount:
    """VMs of one offer for one model."""

    model: ModelName
    offer: Offer
    running: int
    """There to stay, those that are starting included."""
    live: int
    """Those of them that serve."""
    paid: int
    """All that are paid for, those being drained included."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Need:
    """Replicas of a model that its targets ask for."""

    normal: float
    """With every VM there."""
    after_loss: float
    """Of those that a loss leaves."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CeilingShortfall:
    """A class whose target costs more than its ceiling; money an hour."""

    work_class: ClassName
    needed_per_hour: float
    ceiling_per_hour: float
    admitted_share: float
    """Share of its requests that the ceiling pays for."""

    @property
    def missing_per_hour(self) -> float:
        """Return the money an hour that the ceiling lacks."""
        return self.needed_per_hour - self.ceiling_per_hour


@dataclass(frozen=True, kw_only=True, slots=True)
class CapacityShortfall:
    """A model for which the cloud has too few VMs to give now."""

    model: ModelName
    needed: float
    planned: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Plan:
    """How many VMs of which offer for which model."""

    counts: Mapping[ModelOffer, int] = field(default_factory=dict)
    needs: Mapping[ModelName, Need] = field(default_factory=dict)
    per_hour: float = 0.0
    ceiling_shortfalls: tuple[CeilingShortfall, ...] = ()
    capacity_shortfalls: tuple[CapacityShortfall, ...] = ()
    weights: Mapping[tuple[ModelName, str], float] = field(
        default_factory=dict
    )
    """Capacity of a machine class in reference replicas."""

    def count(self, model: ModelName, offer: Offer) -> int:
        """Return the VMs wanted of an offer for a model."""
        return self.counts.get((model, offer), 0)


def offer_of(item: VM | Price) -> Offer:
    """Return the offer that a VM or a price belongs to."""
    return Offer(
        data_centre=item.data_centre,
        machine_class=item.machine_class,
        market=item.market,
    )
