"""What one data centre has to start and stop for a plan, now.

VMs are replaced by starting first and stopping afterwards, so that no
target is missed on the way, and only within the ceilings.
"""

import math
from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from mimosamux_daemon.control.order_rows import VMOrder
from mimosamux_daemon.control.orders import WantedVM
from mimosamux_daemon.control.placement import find_survivors
from mimosamux_daemon.control.planning import PlanningPolicy
from mimosamux_daemon.domain.configuration import Configuration
from mimosamux_daemon.domain.names import DataCentreName, ModelName
from mimosamux_daemon.domain.plan import ModelOffer, Need, Offer, Plan

MAX_STARTS = 100
"""Starts ordered in one step; each writes two rows."""
SURGE_SHARE = 0.25
"""Share of an offer's VMs that are replaced at once for a new version."""
SMALL = 1e-9


@dataclass(frozen=True, kw_only=True, slots=True)
class World:
    """The VMs that there are, as a planner sees them."""

    data_centre: DataCentreName
    own: tuple[VMOrder, ...]
    """Orders here whose VMs are there to stay, or may be."""
    live: frozenset[str]
    """Ids of those orders whose VMs serve."""
    running: Mapping[ModelOffer, int]
    """Everywhere, those that are starting included."""
    live_counts: Mapping[ModelOffer, int]
    """Everywhere, only those that serve."""
    per_hour: float
    """Money an hour for every VM anywhere, also those being drained."""
    prices: Mapping[Offer, float]


@dataclass(frozen=True, kw_only=True, slots=True)
class Steps:
    """VMs to start and to stop."""

    starts: tuple[WantedVM, ...] = ()
    stops: tuple[VMOrder, ...] = ()
    stop_reason: str = 'not needed by the plan'


def find_steps(
    plan: Plan,
    world: World,
    configuration: Configuration,
    policy: PlanningPolicy,
) -> Steps:
    """Return the next steps towards the plan."""
    return Steps(
        starts=tuple(_find_starts(plan, world, configuration)),
        stops=tuple(_find_stops(plan, world, configuration, policy)),
    )


def _find_starts(
    plan: Plan, world: World, configuration: Configuration
) -> Iterator[WantedVM]:
    """Return what is missing here and fits under the ceilings.

    Every planner goes through what is missing everywhere in the same
    order and takes its own part of what the money is enough for. Planners
    that start at the same moment would otherwise overspend between them.
    """
    left = find_headroom(world, configuration)
    started = 0
    for wanted in _list_missing(plan, world, configuration):
        left -= world.prices[wanted.offer]
        if left < -SMALL or started >= MAX_STARTS:
            return
        if wanted.offer.data_centre == world.data_centre:
            started += 1
            yield wanted


def find_headroom(world: World, configuration: Configuration) -> float:
    """Return the money an hour that may be added everywhere."""
    budget = sum(
        work_class.cost_ceiling_per_hour
        for work_class in configuration.classes.values()
    )
    return budget - world.per_hour


def _list_missing(
    plan: Plan, world: World, configuration: Configuration
) -> Iterator[WantedVM]:
    current: Counter[ModelOffer] = Counter()
    everything: Counter[ModelOffer] = Counter(world.running)
    for order in world.own:
        current[order.model, order.offer] += _is_current(order, configuration)
    for (model, offer), count in sorted(plan.counts.items(), key=_rank):
        key = (model, offer)
        is_own = offer.data_centre == world.data_centre
        surge = math.ceil(count * SURGE_SHARE) if is_own else 0
        missing = count - (current[key] if is_own else everything[key])
        room = count + surge - everything[key]
        wanted = WantedVM(
            offer=offer,
            model=model,
            version=configuration.models[model].version,
            why=f'plan wants {count} of {model}',
        )
        for _ in range(min(missing, room)):
            yield wanted


def _rank(item: tuple[ModelOffer, int]) -> tuple[str, str, str, str]:
    (model, offer), _ = item
    return model, offer.data_centre, offer.machine_class, offer.market


def _is_current(order: VMOrder, configuration: Configuration) -> bool:
    """Return whether a VM has, or will load, the version in force."""
    spec = configuration.models.get(order.model)
    return spec is not None and order.version in ('', spec.version)


def _find_stops(
    plan: Plan,
    world: World,
    configuration: Configuration,
    policy: PlanningPolicy,
) -> Iterator[VMOrder]:
    live = Counter(world.live_counts)
    for order in _list_surplus(plan, world, configuration):
        key = (order.model, order.offer)
        if order.id not in world.live:
            yield order
            continue
        if order.model not in configuration.models:
            yield order
            continue
        live[key] -= 1
        if _is_enough(plan, live, order.model, policy):
            yield order
        else:
            live[key] += 1


def _list_surplus(
    plan: Plan, world: World, configuration: Configuration
) -> Iterator[VMOrder]:
    """Return the VMs beyond the plan, those easiest to spare first."""
    by_key: dict[ModelOffer, list[VMOrder]] = {}
    for order in world.own:
        by_key.setdefault((order.model, order.offer), []).append(order)
    for (model, offer), orders in by_key.items():
        extra = len(orders) - plan.count(model, offer)
        ranked = sorted(
            orders,
            key=lambda order: (
                _is_current(order, configuration),
                order.id in world.live,
                order.id,
            ),
        )
        yield from ranked[: max(0, extra)]


def _is_enough(
    plan: Plan,
    live: Counter[ModelOffer],
    model: ModelName,
    policy: PlanningPolicy,
) -> bool:
    """Return whether the VMs that serve meet the need of a model."""
    counts = {
        offer: count
        for (owner, offer), count in live.items()
        if owner == model and count > 0
    }
    weights = {
        machine_class: weight
        for (owner, machine_class), weight in plan.weights.items()
        if owner == model
    }
    units = sum(
        count * weights.get(offer.machine_class, 1.0)
        for offer, count in counts.items()
    )
    need = plan.needs.get(model, Need(normal=0.0, after_loss=0.0))
    survivors = find_survivors(counts, weights, policy.placement)
    return (
        units + SMALL >= need.normal and survivors + SMALL >= need.after_loss
    )
