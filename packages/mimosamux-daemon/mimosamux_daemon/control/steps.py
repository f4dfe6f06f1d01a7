"""Computes the VMs to start and stop next in one data centre.

A replacement is started before the VM that it replaces is stopped, so that
the targets stay met, and starts stay within the cost ceilings.
"""

import math
from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from mimosamux_daemon.control.order_rows import VMOrder
from mimosamux_daemon.control.orders import WantedVM
from mimosamux_daemon.control.placement import compute_survivors
from mimosamux_daemon.control.planning import PlanningPolicy
from mimosamux_daemon.domain.configuration import Configuration
from mimosamux_daemon.domain.names import DataCentreName, ModelName
from mimosamux_daemon.domain.plan import ModelOffer, Offer, Plan, ReplicaNeed

MAX_STARTS = 100
"""Starts of one planning round; each writes two rows."""
SURGE_SHARE = 0.25
"""Share of an offer's VMs that are replaced at the same time when the
model's version changes."""
EPSILON = 1e-9
"""Tolerance for rounding errors in costs and numbers of replicas."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ObservedState:
    """The VMs of all data centres, as a planner observes them."""

    data_centre: DataCentreName
    """Data centre of the planner."""
    own: tuple[VMOrder, ...]
    """Orders of the planner's data centre that are not stopping."""
    live: frozenset[str]
    """Ids of those orders whose VMs are live and loaded."""
    running: Mapping[ModelOffer, int]
    """VMs of all data centres, including those that are starting."""
    live_counts: Mapping[ModelOffer, int]
    """VMs of all data centres that are live and loaded."""
    per_hour: float
    """Cost per hour of the VMs of all data centres, including those that
    are draining."""
    prices: Mapping[Offer, float]
    """Price of one VM per hour."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PlanSteps:
    """VMs to start and to stop in one planning round."""

    starts: tuple[WantedVM, ...] = ()
    stops: tuple[VMOrder, ...] = ()
    stop_reason: str = 'not needed by the plan'


def compute_steps(
    plan: Plan,
    state: ObservedState,
    configuration: Configuration,
    policy: PlanningPolicy,
) -> PlanSteps:
    """Compute the next starts and stops towards the plan."""
    return PlanSteps(
        starts=tuple(_select_starts(plan, state, configuration)),
        stops=tuple(_select_stops(plan, state, configuration, policy)),
    )


def _select_starts(
    plan: Plan, state: ObservedState, configuration: Configuration
) -> Iterator[WantedVM]:
    """Return the missing VMs here that fit within the ceilings.

    Every planner spends the remaining budget on the missing VMs of all
    data centres in the same order, and starts only those of its own.
    Planners that start VMs at the same time would otherwise exceed the
    budget together.
    """
    remaining_budget = find_headroom(state, configuration)
    started = 0
    for candidate in _list_missing(plan, state, configuration):
        remaining_budget -= state.prices[candidate.offer]
        if remaining_budget < -EPSILON or started >= MAX_STARTS:
            return
        if candidate.offer.data_centre == state.data_centre:
            started += 1
            yield candidate


def find_headroom(state: ObservedState, configuration: Configuration) -> float:
    """Return the cost per hour left below the sum of all ceilings."""
    budget = sum(
        work_class.cost_ceiling_per_hour
        for work_class in configuration.classes.values()
    )
    return budget - state.per_hour


def _list_missing(
    plan: Plan, state: ObservedState, configuration: Configuration
) -> Iterator[WantedVM]:
    """Return the VMs that the plan lacks, in the same order everywhere.

    In the planner's own data centre, VMs of an outdated version count as
    missing, and the surge share limits the replacements that run at once.
    """
    up_to_date: Counter[ModelOffer] = Counter()
    running: Counter[ModelOffer] = Counter(state.running)
    for order in state.own:
        up_to_date[order.model, order.offer] += _is_up_to_date(
            order, configuration
        )
    for (model, offer), count in sorted(plan.counts.items(), key=_rank):
        key = (model, offer)
        is_own = offer.data_centre == state.data_centre
        surge = math.ceil(count * SURGE_SHARE) if is_own else 0
        missing = count - (up_to_date[key] if is_own else running[key])
        surge_left = count + surge - running[key]
        candidate = WantedVM(
            offer=offer,
            model=model,
            version=configuration.models[model].version,
            why=f'plan wants {count} of {model}',
        )
        for _ in range(min(missing, surge_left)):
            yield candidate


def _rank(item: tuple[ModelOffer, int]) -> tuple[str, str, str, str]:
    (model, offer), _ = item
    return model, offer.data_centre, offer.machine_class, offer.market


def _is_up_to_date(order: VMOrder, configuration: Configuration) -> bool:
    """Return whether a VM has or will load the configured version."""
    spec = configuration.models.get(order.model)
    return spec is not None and order.version in ('', spec.version)


def _select_stops(
    plan: Plan,
    state: ObservedState,
    configuration: Configuration,
    policy: PlanningPolicy,
) -> Iterator[VMOrder]:
    """Return the surplus VMs that can stop without missing the need."""
    live = Counter(state.live_counts)
    for order in _list_surplus(plan, state, configuration):
        key = (order.model, order.offer)
        if order.id not in state.live:
            yield order
            continue
        if order.model not in configuration.models:
            yield order
            continue
        live[key] -= 1
        if _meets_need(plan, live, order.model, policy):
            yield order
        else:
            live[key] += 1


def _list_surplus(
    plan: Plan, state: ObservedState, configuration: Configuration
) -> Iterator[VMOrder]:
    """Return the VMs beyond the plan, of outdated versions first.

    Of the same version, those that are not live come first.
    """
    orders_by_key: dict[ModelOffer, list[VMOrder]] = {}
    for order in state.own:
        orders_by_key.setdefault((order.model, order.offer), []).append(order)
    for (model, offer), orders in orders_by_key.items():
        surplus = len(orders) - plan.count(model, offer)
        ranked = sorted(
            orders,
            key=lambda order: (
                _is_up_to_date(order, configuration),
                order.id in state.live,
                order.id,
            ),
        )
        yield from ranked[: max(0, surplus)]


def _meets_need(
    plan: Plan,
    live: Counter[ModelOffer],
    model: ModelName,
    policy: PlanningPolicy,
) -> bool:
    """Return whether the live VMs meet the need of a model."""
    counts = {
        offer: count
        for (owning_model, offer), count in live.items()
        if owning_model == model and count > 0
    }
    weights = {
        machine_class: weight
        for (owning_model, machine_class), weight in plan.weights.items()
        if owning_model == model
    }
    replicas = sum(
        count * weights.get(offer.machine_class, 1.0)
        for offer, count in counts.items()
    )
    need = plan.needs.get(model, ReplicaNeed(normal=0.0, after_loss=0.0))
    survivors = compute_survivors(counts, weights, policy.placement)
    return (
        replicas + EPSILON >= need.normal
        and survivors + EPSILON >= need.after_loss
    )
