"""The cheapest VMs for a number of replicas that survives a loss."""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from mimosamux_daemon.domain.plan import Need, Offer
from mimosamux_daemon.domain.vms import Market

GRID_POINTS = 16
SMALL = 1e-9


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementPolicy:
    """Constants of the placement."""

    reclaimed_share: float = 0.44
    """Share of all reclaimable VMs that may go at once."""
    stickiness: float = 0.35
    """Share by which another VM has to be cheaper than a running one
    before it takes its place."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PricedOffer:
    """An offer as seen for one model."""

    offer: Offer
    per_hour: float
    weight: float
    """Capacity of one VM in reference replicas."""
    running: int
    can_start: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class _Tier:
    """VMs of one offer at one price."""

    offer: Offer
    unit_price: float
    weight: float
    limit: float


@dataclass(frozen=True, kw_only=True, slots=True)
class _Purchase:
    counts: Mapping[Offer, int]
    cost: float
    units: float
    largest_data_centre: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Placement:
    """VMs by offer, and the capacity they make."""

    counts: Mapping[Offer, int]
    units: float
    meets_need: bool
    cost: float


def place(
    need: Need, offers: Sequence[PricedOffer], policy: PlacementPolicy
) -> Placement:
    """Return the cheapest placement that meets the need.

    Where the cloud has too little to give, the loss that is planned for
    is made smaller first, and then everything that is there is taken.
    """
    reclaimable = _as_tiers(offers, Market.RECLAIMABLE, policy)
    on_demand = _as_tiers(offers, Market.ON_DEMAND, policy)
    for share in (1.0, 0.75, 0.5, 0.25, 0.0):
        relaxed = Need(normal=need.normal, after_loss=share * need.after_loss)
        found = _search(relaxed, reclaimable, on_demand, policy)
        if found is not None:
            return Placement(
                counts=found.counts,
                units=found.units,
                meets_need=share == 1.0,
                cost=found.cost,
            )
    everything = _buy([*reclaimable, *on_demand], math.inf, need.normal)
    return Placement(
        counts=everything.counts,
        units=everything.units,
        meets_need=False,
        cost=everything.cost,
    )


def find_survivors(
    counts: Mapping[Offer, int],
    weights: Mapping[str, float],
    policy: PlacementPolicy,
) -> float:
    """Return the replicas that the worst loss planned for would leave."""
    total = 0.0
    reclaimable_by_data_centre: dict[str, float] = {}
    for offer, count in counts.items():
        units = count * weights.get(offer.machine_class, 1.0)
        total += units
        if offer.market is Market.RECLAIMABLE:
            name = offer.data_centre
            reclaimable_by_data_centre[name] = (
                reclaimable_by_data_centre.get(name, 0.0) + units
            )
    reclaimable = sum(reclaimable_by_data_centre.values())
    largest = max(reclaimable_by_data_centre.values(), default=0.0)
    share = math.ceil(policy.reclaimed_share * reclaimable - SMALL)
    return total - max(largest, share)


def _as_tiers(
    offers: Sequence[PricedOffer], market: Market, policy: PlacementPolicy
) -> list[_Tier]:
    tiers = []
    for item in offers:
        if item.offer.market is not market:
            continue
        unit_price = item.per_hour / item.weight
        if item.running:
            tiers.append(
                _Tier(
                    offer=item.offer,
                    unit_price=unit_price * (1.0 - policy.stickiness),
                    weight=item.weight,
                    limit=item.running,
                )
            )
        if item.can_start:
            tiers.append(
                _Tier(
                    offer=item.offer,
                    unit_price=unit_price,
                    weight=item.weight,
                    limit=math.inf,
                )
            )
    return sorted(tiers, key=_rank)


def _rank(tier: _Tier) -> tuple[float, str, str]:
    offer = tier.offer
    return tier.unit_price, offer.data_centre, offer.machine_class


def _search(
    need: Need,
    reclaimable: list[_Tier],
    on_demand: list[_Tier],
    policy: PlacementPolicy,
) -> _Purchase | None:
    """Search the on-demand replicas on finer and finer grids."""
    low, high = 0, math.ceil(max(need.normal, need.after_loss))
    best: _Purchase | None = None
    while True:
        step = max(1, (high - low) // GRID_POINTS)
        center = low
        for units in range(low, high + 1, step):
            found = _complete(need, units, reclaimable, on_demand, policy)
            if found and (best is None or found.cost < best.cost - SMALL):
                best, center = found, units
        if step == 1:
            return best
        low, high = max(0, center - step), center + step


def _complete(
    need: Need,
    on_demand_units: int,
    reclaimable: list[_Tier],
    on_demand: list[_Tier],
    policy: PlacementPolicy,
) -> _Purchase | None:
    """Return the cheapest reclaimable VMs beside so many on demand."""
    fixed = _buy(on_demand, math.inf, on_demand_units)
    if fixed.units + SMALL < on_demand_units:
        return None
    missing = need.after_loss - fixed.units
    least = max(
        0.0, need.normal - fixed.units, missing / (1 - policy.reclaimed_share)
    )
    step = max(1.0, least // GRID_POINTS)
    best: _Purchase | None = None
    worse = 0
    for number in range(3 * GRID_POINTS):
        units = math.ceil(least - SMALL) + number * step
        bought = _buy(reclaimable, max(0.0, units - missing), units)
        if not _survives(bought, units, missing, policy):
            continue
        if best is None or bought.cost < best.cost - SMALL:
            best = bought
        else:
            worse += 1
        if worse > 2:
            break
    return None if best is None else _join(fixed, best)


def _survives(
    bought: _Purchase, units: float, missing: float, policy: PlacementPolicy
) -> bool:
    if bought.units + SMALL < units:
        return False
    share = math.ceil(policy.reclaimed_share * bought.units - SMALL)
    lost = max(bought.largest_data_centre, share)
    return bought.units - lost + SMALL >= missing


def _buy(tiers: list[_Tier], cap: float, units: float) -> _Purchase:
    """Buy the cheapest first, at most `cap` units in a data centre."""
    counts: dict[Offer, int] = {}
    units_by_data_centre: dict[str, float] = {}
    cost = 0.0
    total = 0.0
    for tier in tiers:
        if total + SMALL >= units:
            break
        name = tier.offer.data_centre
        room = cap - units_by_data_centre.get(name, 0.0)
        wanted = math.ceil((units - total) / tier.weight - SMALL)
        fitting = room / tier.weight + SMALL
        count = int(min(wanted, fitting, tier.limit))
        if count <= 0:
            continue
        bought = count * tier.weight
        counts[tier.offer] = counts.get(tier.offer, 0) + count
        units_by_data_centre[name] = (
            units_by_data_centre.get(name, 0.0) + bought
        )
        total += bought
        cost += bought * tier.unit_price
    return _Purchase(
        counts=counts,
        cost=cost,
        units=total,
        largest_data_centre=max(units_by_data_centre.values(), default=0.0),
    )


def _join(fixed: _Purchase, bought: _Purchase) -> _Purchase:
    return _Purchase(
        counts={**fixed.counts, **bought.counts},
        cost=fixed.cost + bought.cost,
        units=fixed.units + bought.units,
        largest_data_centre=bought.largest_data_centre,
    )
