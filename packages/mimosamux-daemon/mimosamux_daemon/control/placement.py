"""Selects the cheapest VMs that provide a number of replicas.

The selection also has to provide a number of replicas after the planned
loss of reclaimable VMs: all of one data centre, or a share of all. VMs of
different machine classes count as multiples of a reference replica.
"""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from mimosamux_daemon.domain.plan import Offer, ReplicaNeed
from mimosamux_daemon.domain.vms import Market

GRID_POINTS = 16
"""Resolution of each grid search, in points per range."""
EPSILON = 1e-9
"""Tolerance for rounding errors in numbers of replicas and in costs."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementPolicy:
    """Constants of the placement."""

    max_reclaimed_share: float = 0.44
    """Share of all reclaimable VMs that may be reclaimed at once."""
    stickiness: float = 0.35
    """Fraction by which a new VM has to be cheaper than a running one to
    replace it."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PricedOffer:
    """An offer with its price and capacity for one model."""

    offer: Offer
    per_hour: float
    weight: float
    """Capacity of one VM in reference replicas."""
    running: int
    """VMs of the model that run on this offer."""
    can_start: bool
    """Whether the cloud may start more of them."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _Tier:
    """VMs of one offer at one price: the running ones, or new ones.

    The price of running VMs is reduced by the stickiness.
    """

    offer: Offer
    price_per_replica: float
    weight: float
    """Capacity of one VM in reference replicas."""
    limit: float
    """Maximum number of VMs."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _Selection:
    """VMs selected by price, with their cost and capacity."""

    counts: Mapping[Offer, int]
    cost: float
    replicas: float
    max_per_data_centre: float
    """Largest number of replicas in one data centre."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Placement:
    """Number of VMs by offer, and what they provide and cost."""

    counts: Mapping[Offer, int]
    replicas: float
    """Total capacity in reference replicas."""
    meets_need: bool
    cost: float
    """Cost per hour, with running VMs at the price reduced by stickiness."""


def place(
    need: ReplicaNeed, offers: Sequence[PricedOffer], policy: PlacementPolicy
) -> Placement:
    """Return the cheapest placement that meets the need.

    If the cloud offers too few VMs, the need after a loss is relaxed step
    by step. As a last resort, the available VMs cover what they can of the
    normal need.
    """
    reclaimable = _as_tiers(offers, Market.RECLAIMABLE, policy)
    on_demand = _as_tiers(offers, Market.ON_DEMAND, policy)
    for share in (1.0, 0.75, 0.5, 0.25, 0.0):
        relaxed = ReplicaNeed(
            normal=need.normal, after_loss=share * need.after_loss
        )
        found = _search(relaxed, reclaimable, on_demand, policy)
        if found is not None:
            return Placement(
                counts=found.counts,
                replicas=found.replicas,
                meets_need=share == 1.0,
                cost=found.cost,
            )
    everything = _select_cheapest(
        [*reclaimable, *on_demand], math.inf, need.normal
    )
    return Placement(
        counts=everything.counts,
        replicas=everything.replicas,
        meets_need=False,
        cost=everything.cost,
    )


def compute_survivors(
    counts: Mapping[Offer, int],
    weights: Mapping[str, float],
    policy: PlacementPolicy,
) -> float:
    """Return the replicas that remain after the worst planned loss."""
    total = 0.0
    reclaimable_by_data_centre: dict[str, float] = {}
    for offer, count in counts.items():
        replicas = count * weights.get(offer.machine_class, 1.0)
        total += replicas
        if offer.market is Market.RECLAIMABLE:
            data_centre = offer.data_centre
            reclaimable_by_data_centre[data_centre] = (
                reclaimable_by_data_centre.get(data_centre, 0.0) + replicas
            )
    reclaimable = sum(reclaimable_by_data_centre.values())
    largest = max(reclaimable_by_data_centre.values(), default=0.0)
    share = math.ceil(policy.max_reclaimed_share * reclaimable - EPSILON)
    return total - max(largest, share)


def _as_tiers(
    offers: Sequence[PricedOffer], market: Market, policy: PlacementPolicy
) -> list[_Tier]:
    tiers = []
    for item in offers:
        if item.offer.market is not market:
            continue
        price_per_replica = item.per_hour / item.weight
        if item.running:
            tiers.append(
                _Tier(
                    offer=item.offer,
                    price_per_replica=price_per_replica
                    * (1.0 - policy.stickiness),
                    weight=item.weight,
                    limit=item.running,
                )
            )
        if item.can_start:
            tiers.append(
                _Tier(
                    offer=item.offer,
                    price_per_replica=price_per_replica,
                    weight=item.weight,
                    limit=math.inf,
                )
            )
    return sorted(tiers, key=_rank)


def _rank(tier: _Tier) -> tuple[float, str, str]:
    offer = tier.offer
    return tier.price_per_replica, offer.data_centre, offer.machine_class


def _search(
    need: ReplicaNeed,
    reclaimable: list[_Tier],
    on_demand: list[_Tier],
    policy: PlacementPolicy,
) -> _Selection | None:
    """Search the best number of on-demand replicas on ever finer grids."""
    lowest, highest = 0, math.ceil(max(need.normal, need.after_loss))
    best: _Selection | None = None
    while True:
        step = max(1, (highest - lowest) // GRID_POINTS)
        center = lowest
        for replicas in range(lowest, highest + 1, step):
            found = _add_reclaimable(
                need, replicas, reclaimable, on_demand, policy
            )
            if found and (best is None or found.cost < best.cost - EPSILON):
                best, center = found, replicas
        if step == 1:
            return best
        lowest, highest = max(0, center - step), center + step


def _add_reclaimable(
    need: ReplicaNeed,
    on_demand_replicas: int,
    reclaimable: list[_Tier],
    on_demand: list[_Tier],
    policy: PlacementPolicy,
) -> _Selection | None:
    """Add the cheapest reclaimable VMs to a number on demand.

    Return None if no combination meets the need.
    """
    on_demand_selection = _select_cheapest(
        on_demand, math.inf, on_demand_replicas
    )
    if on_demand_selection.replicas + EPSILON < on_demand_replicas:
        return None
    required_after_loss = need.after_loss - on_demand_selection.replicas
    min_replicas = max(
        0.0,
        need.normal - on_demand_selection.replicas,
        required_after_loss / (1 - policy.max_reclaimed_share),
    )
    step = max(1.0, min_replicas // GRID_POINTS)
    best: _Selection | None = None
    worse_count = 0
    for number in range(3 * GRID_POINTS):
        replicas = math.ceil(min_replicas - EPSILON) + number * step
        selected = _select_cheapest(
            reclaimable, max(0.0, replicas - required_after_loss), replicas
        )
        if not _survives(selected, replicas, required_after_loss, policy):
            continue
        if best is None or selected.cost < best.cost - EPSILON:
            best = selected
        else:
            worse_count += 1
        if worse_count > 2:
            break
    return None if best is None else _combine(on_demand_selection, best)


def _survives(
    selected: _Selection,
    replicas: float,
    required_after_loss: float,
    policy: PlacementPolicy,
) -> bool:
    """Return whether reclaimable VMs suffice before and after a loss."""
    if selected.replicas + EPSILON < replicas:
        return False
    share = math.ceil(policy.max_reclaimed_share * selected.replicas - EPSILON)
    lost = max(selected.max_per_data_centre, share)
    return selected.replicas - lost + EPSILON >= required_after_loss


def _select_cheapest(
    tiers: list[_Tier], cap: float, replicas: float
) -> _Selection:
    """Select VMs in order of price until they provide `replicas` replicas.

    At most `cap` replicas are taken from each data centre.
    """
    counts: dict[Offer, int] = {}
    replicas_by_data_centre: dict[str, float] = {}
    cost = 0.0
    total = 0.0
    for tier in tiers:
        if total + EPSILON >= replicas:
            break
        data_centre = tier.offer.data_centre
        replicas_left = cap - replicas_by_data_centre.get(data_centre, 0.0)
        wanted_vms = math.ceil((replicas - total) / tier.weight - EPSILON)
        fitting_vms = replicas_left / tier.weight + EPSILON
        count = int(min(wanted_vms, fitting_vms, tier.limit))
        if count <= 0:
            continue
        added_replicas = count * tier.weight
        counts[tier.offer] = counts.get(tier.offer, 0) + count
        replicas_by_data_centre[data_centre] = (
            replicas_by_data_centre.get(data_centre, 0.0) + added_replicas
        )
        total += added_replicas
        cost += added_replicas * tier.price_per_replica
    return _Selection(
        counts=counts,
        cost=cost,
        replicas=total,
        max_per_data_centre=max(replicas_by_data_centre.values(), default=0.0),
    )


def _combine(
    on_demand_selection: _Selection, selected: _Selection
) -> _Selection:
    return _Selection(
        counts={**on_demand_selection.counts, **selected.counts},
        cost=on_demand_selection.cost + selected.cost,
        replicas=on_demand_selection.replicas + selected.replicas,
        max_per_data_centre=selected.max_per_data_centre,
    )
