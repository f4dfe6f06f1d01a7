"""From demand, targets, ceilings and prices to a plan; data in, plan out."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from mimosamux_daemon.control.capacity import (
    CapacityPolicy,
    find_load,
    find_need,
)
from mimosamux_daemon.control.placement import (
    Placement,
    PlacementPolicy,
    PricedOffer,
    place,
)
from mimosamux_daemon.domain.configuration import Configuration, ModelSpec
from mimosamux_daemon.domain.names import ClassName, ModelName
from mimosamux_daemon.domain.plan import (
    CapacityShortfall,
    CeilingShortfall,
    ClassDemand,
    ModelOffer,
    Need,
    Offer,
    Plan,
    ServiceRate,
)

DEFAULT_RATE = ServiceRate(
    prefill_tokens_per_s=10_000.0, decode_interval_s=0.03, slots=16
)
"""Rate of a replica of which nothing has been learned yet."""
CEILING_ROUNDS = 8
LEAST_SHARE = 0.02
"""An admitted share below this is planned as none."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PlanningPolicy:
    """Constants of planning; docs/DECISIONS.md has the sweeps."""

    capacity: CapacityPolicy = field(default_factory=CapacityPolicy)
    placement: PlacementPolicy = field(default_factory=PlacementPolicy)


@dataclass(frozen=True, kw_only=True, slots=True)
class PlanInput:
    """All that a plan follows from."""

    configuration: Configuration
    demands: Sequence[ClassDemand]
    rates: Mapping[tuple[ModelName, str], ServiceRate]
    """Learned rates by model and machine class."""
    prices: Mapping[Offer, float]
    """Money an hour."""
    running: Mapping[ModelOffer, int]
    """VMs that were started and are not leaving."""
    refused: frozenset[Offer] = frozenset()
    """Offers that had nothing to give a short time ago."""


def make_plan(known: PlanInput, policy: PlanningPolicy) -> Plan:
    """Return the cheapest plan within the ceilings."""
    shares: dict[ClassName, float] = {}
    full = _plan_models(known, policy, shares)
    plan = full
    for _ in range(CEILING_ROUNDS):
        costs = _cost_by_class(known, plan, shares)
        over = {
            name: cost
            for name, cost in costs.items()
            if cost > _ceiling(known, name) and shares.get(name, 1.0) > 0
        }
        if not over:
            break
        for name, cost in over.items():
            fitting = 0.95 * _ceiling(known, name) / cost
            share = shares.get(name, 1.0) * fitting
            shares[name] = share if share >= LEAST_SHARE else 0.0
        plan = _plan_models(known, policy, shares)
    else:
        for name in over:
            shares[name] = 0.0
        plan = _plan_models(known, policy, shares)
    return _with_shortfalls(known, plan, full, shares)


def _plan_models(
    known: PlanInput,
    policy: PlanningPolicy,
    shares: Mapping[ClassName, float],
) -> Plan:
    counts: dict[ModelOffer, int] = {}
    needs: dict[ModelName, Need] = {}
    weights: dict[tuple[ModelName, str], float] = {}
    short: list[CapacityShortfall] = []
    for model, spec in known.configuration.models.items():
        own_weights = _weights(known, spec)
        need = _find_need(known, spec, policy, shares)
        placed = _place_model(known, spec, own_weights, need, policy)
        needs[model] = need
        for machine_class, weight in own_weights.items():
            weights[model, machine_class] = weight
        for offer, count in placed.counts.items():
            counts[model, offer] = count
        if not placed.meets_need:
            short.append(
                CapacityShortfall(
                    model=model,
                    needed=max(need.normal, need.after_loss),
                    planned=placed.units,
                )
            )
    return Plan(
        counts=counts,
        needs=needs,
        per_hour=sum(
            count * known.prices[offer] for (_, offer), count in counts.items()
        ),
        capacity_shortfalls=tuple(short),
        weights=weights,
    )


def _find_need(
    known: PlanInput,
    spec: ModelSpec,
    policy: PlanningPolicy,
    shares: Mapping[ClassName, float],
) -> Need:
    demands = [
        demand.scaled(shares.get(demand.work_class, 1.0))
        for demand in known.demands
        if demand.model == spec.name
    ]
    if demands and all(shares.get(item.work_class) == 0.0 for item in demands):
        return Need(normal=0.0, after_loss=0.0)
    return find_need(
        demands,
        known.configuration.classes,
        _reference_rate(known, spec),
        policy.capacity,
    )


def _place_model(
    known: PlanInput,
    spec: ModelSpec,
    weights: Mapping[str, float],
    need: Need,
    policy: PlanningPolicy,
) -> Placement:
    data_centres = known.configuration.data_centres
    offers = [
        PricedOffer(
            offer=offer,
            per_hour=per_hour,
            weight=weights[offer.machine_class],
            running=known.running.get((spec.name, offer), 0),
            can_start=offer not in known.refused,
        )
        for offer, per_hour in known.prices.items()
        if offer.machine_class in spec.machine_classes
        and offer.data_centre in data_centres
    ]
    return place(need, offers, policy.placement)


def _reference_rate(known: PlanInput, spec: ModelSpec) -> ServiceRate:
    learned = [
        known.rates[spec.name, machine_class]
        for machine_class in spec.machine_classes
        if (spec.name, machine_class) in known.rates
    ]
    return learned[0] if learned else DEFAULT_RATE


def _weights(known: PlanInput, spec: ModelSpec) -> dict[str, float]:
    reference = _reference_rate(known, spec)
    return {
        machine_class: _weight(
            known.rates.get((spec.name, machine_class), reference), reference
        )
        for machine_class in spec.machine_classes
    }


def _weight(rate: ServiceRate, reference: ServiceRate) -> float:
    return min(
        rate.prefill_tokens_per_s / reference.prefill_tokens_per_s,
        rate.answer_tokens_per_s / reference.answer_tokens_per_s,
    )


def _cost_by_class(
    known: PlanInput, plan: Plan, shares: Mapping[ClassName, float]
) -> dict[ClassName, float]:
    """Share the cost of each model's VMs by the load of its classes."""
    costs: dict[ClassName, float] = {}
    for model, spec in known.configuration.models.items():
        rate = _reference_rate(known, spec)
        loads = {
            demand.work_class: find_load(demand, rate)
            * shares.get(demand.work_class, 1.0)
            for demand in known.demands
            if demand.model == model
        }
        total = sum(loads.values())
        if not total:
            continue
        per_hour = sum(
            count * known.prices[offer]
            for (owner, offer), count in plan.counts.items()
            if owner == model
        )
        for name, load in loads.items():
            costs[name] = costs.get(name, 0.0) + per_hour * load / total
    return costs


def _ceiling(known: PlanInput, name: ClassName) -> float:
    work_class = known.configuration.classes.get(name)
    return work_class.cost_ceiling_per_hour if work_class else 0.0


def _with_shortfalls(
    known: PlanInput,
    plan: Plan,
    full: Plan,
    shares: Mapping[ClassName, float],
) -> Plan:
    needed = _cost_by_class(known, full, {})
    return Plan(
        counts=plan.counts,
        needs=plan.needs,
        per_hour=plan.per_hour,
        capacity_shortfalls=plan.capacity_shortfalls,
        weights=plan.weights,
        ceiling_shortfalls=tuple(
            CeilingShortfall(
                work_class=name,
                needed_per_hour=needed[name],
                ceiling_per_hour=_ceiling(known, name),
                admitted_share=share,
            )
            for name, share in sorted(shares.items())
        ),
    )
