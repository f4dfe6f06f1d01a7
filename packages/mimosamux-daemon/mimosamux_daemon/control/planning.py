"""Computes the plan of VMs from demand, targets, ceilings and prices.

The computation is pure. It finds the cheapest VMs that meet the latency
targets, and where a class exceeds its cost ceiling, it plans for only the
share of the class's requests that the ceiling pays for.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from mimosamux_daemon.control.capacity import (
    CapacityPolicy,
    compute_need,
    compute_offered_load,
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
    Offer,
    Plan,
    ReplicaNeed,
    ServiceRate,
)

DEFAULT_RATE = ServiceRate(
    prefill_tokens_per_s=10_000.0, decode_interval_s=0.03, slots=16
)
"""Assumed rate of a replica until an engine reports a measured one."""
MAX_CEILING_ROUNDS = 8
"""Iterations in which the admitted shares may converge."""
MIN_ADMITTED_SHARE = 0.02
"""An admitted share below this is rounded down to 0."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PlanningPolicy:
    """Constants of planning; docs/DECISIONS.md has the parameter sweeps."""

    capacity: CapacityPolicy = field(default_factory=CapacityPolicy)
    placement: PlacementPolicy = field(default_factory=PlacementPolicy)


@dataclass(frozen=True, kw_only=True, slots=True)
class PlanInput:
    """Inputs that determine a plan."""

    configuration: Configuration
    demands: Sequence[ClassDemand]
    rates: Mapping[tuple[ModelName, str], ServiceRate]
    """Learned rates by model and machine class."""
    prices: Mapping[Offer, float]
    """Price of one VM per hour."""
    running: Mapping[ModelOffer, int]
    """Number of VMs that were started and are not being stopped."""
    refused: frozenset[Offer] = frozenset()
    """Offers of which the cloud recently refused to start a VM."""


def make_plan(inputs: PlanInput, policy: PlanningPolicy) -> Plan:
    """Return the cheapest plan within the cost ceilings.

    The plan starts from the full demand. Each round scales down the
    admitted share of every class that costs more than its ceiling and
    plans again. Classes that still exceed it after the last round get
    no capacity.
    """
    admitted_shares: dict[ClassName, float] = {}
    unconstrained = _plan_models(inputs, policy, admitted_shares)
    plan = unconstrained
    for _ in range(MAX_CEILING_ROUNDS):
        costs = _split_cost(inputs, plan, admitted_shares)
        over_ceiling = {
            name: cost
            for name, cost in costs.items()
            if cost > _ceiling(inputs, name)
            and admitted_shares.get(name, 1.0) > 0
        }
        if not over_ceiling:
            break
        for name, cost in over_ceiling.items():
            affordable = 0.95 * _ceiling(inputs, name) / cost
            share = admitted_shares.get(name, 1.0) * affordable
            admitted_shares[name] = (
                share if share >= MIN_ADMITTED_SHARE else 0.0
            )
        plan = _plan_models(inputs, policy, admitted_shares)
    else:
        for name in over_ceiling:
            admitted_shares[name] = 0.0
        plan = _plan_models(inputs, policy, admitted_shares)
    return _with_shortfalls(inputs, plan, unconstrained, admitted_shares)


def _plan_models(
    inputs: PlanInput,
    policy: PlanningPolicy,
    admitted_shares: Mapping[ClassName, float],
) -> Plan:
    counts: dict[ModelOffer, int] = {}
    needs: dict[ModelName, ReplicaNeed] = {}
    weights: dict[tuple[ModelName, str], float] = {}
    shortfalls: list[CapacityShortfall] = []
    for model, spec in inputs.configuration.models.items():
        model_weights = _capacity_weights(inputs, spec)
        need = _compute_need(inputs, spec, policy, admitted_shares)
        placed = _place_model(inputs, spec, model_weights, need, policy)
        needs[model] = need
        for machine_class, weight in model_weights.items():
            weights[model, machine_class] = weight
        for offer, count in placed.counts.items():
            counts[model, offer] = count
        if not placed.meets_need:
            shortfalls.append(
                CapacityShortfall(
                    model=model,
                    needed=max(need.normal, need.after_loss),
                    planned=placed.replicas,
                )
            )
    return Plan(
        counts=counts,
        needs=needs,
        per_hour=sum(
            count * inputs.prices[offer]
            for (_, offer), count in counts.items()
        ),
        capacity_shortfalls=tuple(shortfalls),
        weights=weights,
    )


def _compute_need(
    inputs: PlanInput,
    spec: ModelSpec,
    policy: PlanningPolicy,
    admitted_shares: Mapping[ClassName, float],
) -> ReplicaNeed:
    demands = [
        demand.scaled(admitted_shares.get(demand.work_class, 1.0))
        for demand in inputs.demands
        if demand.model == spec.name
    ]
    if demands and all(
        admitted_shares.get(item.work_class) == 0.0 for item in demands
    ):
        return ReplicaNeed(normal=0.0, after_loss=0.0)
    return compute_need(
        demands,
        inputs.configuration.classes,
        _reference_rate(inputs, spec),
        policy.capacity,
    )


def _place_model(
    inputs: PlanInput,
    spec: ModelSpec,
    weights: Mapping[str, float],
    need: ReplicaNeed,
    policy: PlanningPolicy,
) -> Placement:
    data_centres = inputs.configuration.data_centres
    offers = [
        PricedOffer(
            offer=offer,
            per_hour=per_hour,
            weight=weights[offer.machine_class],
            running=inputs.running.get((spec.name, offer), 0),
            can_start=offer not in inputs.refused,
        )
        for offer, per_hour in inputs.prices.items()
        if offer.machine_class in spec.machine_classes
        and offer.data_centre in data_centres
    ]
    return place(need, offers, policy.placement)


def _reference_rate(inputs: PlanInput, spec: ModelSpec) -> ServiceRate:
    """Return the known rate of the model's first machine class with one."""
    known_rates = [
        inputs.rates[spec.name, machine_class]
        for machine_class in spec.machine_classes
        if (spec.name, machine_class) in inputs.rates
    ]
    return known_rates[0] if known_rates else DEFAULT_RATE


def _capacity_weights(inputs: PlanInput, spec: ModelSpec) -> dict[str, float]:
    """Return the capacity of each machine class in reference replicas."""
    reference = _reference_rate(inputs, spec)
    return {
        machine_class: _capacity_weight(
            inputs.rates.get((spec.name, machine_class), reference), reference
        )
        for machine_class in spec.machine_classes
    }


def _capacity_weight(rate: ServiceRate, reference: ServiceRate) -> float:
    return min(
        rate.prefill_tokens_per_s / reference.prefill_tokens_per_s,
        rate.answer_tokens_per_s / reference.answer_tokens_per_s,
    )


def _split_cost(
    inputs: PlanInput, plan: Plan, admitted_shares: Mapping[ClassName, float]
) -> dict[ClassName, float]:
    """Split the cost of each model's VMs by the load of its classes."""
    costs: dict[ClassName, float] = {}
    for model, spec in inputs.configuration.models.items():
        rate = _reference_rate(inputs, spec)
        loads = {
            demand.work_class: compute_offered_load(demand, rate)
            * admitted_shares.get(demand.work_class, 1.0)
            for demand in inputs.demands
            if demand.model == model
        }
        total = sum(loads.values())
        if not total:
            continue
        per_hour = sum(
            count * inputs.prices[offer]
            for (owning_model, offer), count in plan.counts.items()
            if owning_model == model
        )
        for name, load in loads.items():
            costs[name] = costs.get(name, 0.0) + per_hour * load / total
    return costs


def _ceiling(inputs: PlanInput, name: ClassName) -> float:
    work_class = inputs.configuration.classes.get(name)
    return work_class.cost_ceiling_per_hour if work_class else 0.0


def _with_shortfalls(
    inputs: PlanInput,
    plan: Plan,
    unconstrained: Plan,
    admitted_shares: Mapping[ClassName, float],
) -> Plan:
    needed = _split_cost(inputs, unconstrained, {})
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
                ceiling_per_hour=_ceiling(inputs, name),
                admitted_share=share,
            )
            for name, share in sorted(admitted_shares.items())
        ),
    )
