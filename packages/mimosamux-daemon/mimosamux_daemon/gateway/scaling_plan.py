"""How many endpoints of a service to have, where and of which market.

Reclaimable endpoints cost a fraction, and all of a data centre's can go at
once, at times with none to be had anywhere for a while. The plan spreads
them over the data centres, and fills up with on-demand endpoints only as
far as the rest could not carry the work.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from mimosamux_daemon.domain.names import DataCentreName
from mimosamux_daemon.domain.routes import ScalingBounds
from mimosamux_daemon.domain.vms import Market


@dataclass(frozen=True, kw_only=True, slots=True)
class Slot:
    """Endpoints of one market in one data centre."""

    data_centre: DataCentreName
    market: Market


Counts = Mapping[Slot, int]


@dataclass(frozen=True, kw_only=True, slots=True)
class ScalingPolicy:
    """Constants of the plan; docs/DECISIONS.md has the sweeps."""

    busy_share: float = 0.35
    """Share of its time that an endpoint shall be busy. Above it, waits in
    front of the prompts grow towards the latency targets."""
    busy_share_reduced: float = 0.6
    """The same while reclaimable endpoints cannot be had."""


def plan_counts(
    *,
    bounds: ScalingBounds,
    busy: float,
    least: int,
    dry: frozenset[DataCentreName],
    held: Counts,
    given: Counts,
    policy: ScalingPolicy,
) -> dict[Slot, int]:
    """Return the counts to order.

    `busy` is the number of endpoints that the demand would keep busy all
    the time, `least` how many there shall be at least; `dry` are the data
    centres where no reclaimable endpoints can be had now, `held` the
    endpoints that take work, and `given` the last orders. Slots that are
    left out stay as they are.
    """
    centres = sort_centres(bounds)
    has_market = bounds.reclaimable_price is not None
    wet = [each for each in centres if has_market and each not in dry]
    wanted = find_wanted(bounds, max(busy / policy.busy_share, least))
    counts: dict[Slot, int] = {}
    reclaimable = 0
    kept = {
        centre: held.get(_slot(centre, Market.RECLAIMABLE), 0)
        for centre in centres
        if centre not in wet
    }
    for centre, count in spread(
        wanted - sum(kept.values()), wet, bounds
    ).items():
        counts[_slot(centre, Market.RECLAIMABLE)] = count
        reclaimable += count
    reclaimable += sum(kept.values())
    at_risk = _largest(held) if dry else 0
    needed = find_wanted(bounds, busy / policy.busy_share_reduced) + at_risk
    counts.update(
        _plan_on_demand(
            centres=centres,
            bounds=bounds,
            missing=needed - reclaimable,
            missing_now=needed - _count(held, Market.RECLAIMABLE),
            reclaimable=kept | {s.data_centre: n for s, n in counts.items()},
            given=given,
            held=held,
        )
    )
    return counts


def _plan_on_demand(
    *,
    centres: list[DataCentreName],
    bounds: ScalingBounds,
    missing: int,
    missing_now: int,
    reclaimable: Mapping[DataCentreName, int],
    given: Counts,
    held: Counts,
) -> dict[Slot, int]:
    """Return the on-demand endpoints of each data centre.

    Those that are there stay until reclaimable ones have taken their
    place (`missing_now`); new ones are ordered only for what will still
    be missing when all that was ordered has started (`missing`).
    """
    counts = {}
    for centre in centres:
        slot = _slot(centre, Market.ON_DEMAND)
        there = given.get(slot, held.get(slot, 0))
        room = bounds.most - reclaimable.get(centre, 0)
        count = max(min(missing, room), min(there, missing_now), 0)
        counts[slot] = count
        missing -= count
        missing_now -= count
    return counts


def _count(counts: Counts, market: Market) -> int:
    return sum(n for slot, n in counts.items() if slot.market is market)


def _largest(held: Counts) -> int:
    """Return the most reclaimable endpoints of one data centre.

    While none can be had, those of the next data centre may be taken away
    as well before on-demand ones could start.
    """
    counts = [
        n for slot, n in held.items() if slot.market is Market.RECLAIMABLE
    ]
    return max(counts, default=0)


def find_wanted(bounds: ScalingBounds, endpoints: float) -> int:
    """Return a number of endpoints within the bounds."""
    centres = len(bounds.price_by_data_centre)
    return min(
        max(math.ceil(endpoints), bounds.least * centres),
        bounds.most * centres,
    )


def spread(
    wanted: int, centres: list[DataCentreName], bounds: ScalingBounds
) -> dict[DataCentreName, int]:
    """Return the share of each data centre: even, the first get more."""
    share = dict.fromkeys(centres, bounds.least)
    left = wanted - bounds.least * len(centres)
    while left > 0:
        room = [centre for centre in centres if share[centre] < bounds.most]
        if not room:
            break
        centre = min(room, key=lambda each: (share[each], centres.index(each)))
        share[centre] += 1
        left -= 1
    return share


def sort_centres(bounds: ScalingBounds) -> list[DataCentreName]:
    """Return the data centres, the cheapest first."""
    prices = bounds.price_by_data_centre
    return sorted(prices, key=lambda centre: (prices[centre], centre))


def _slot(centre: DataCentreName, market: Market) -> Slot:
    return Slot(data_centre=centre, market=market)
