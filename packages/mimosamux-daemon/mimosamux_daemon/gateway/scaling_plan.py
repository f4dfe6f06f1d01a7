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
    busy_share_reduced: float = 0.8
    """The same while reclaimable endpoints cannot be had, of the demand in
    the busiest two seconds of the last thirty. On-demand endpoints cost five
    times as much; at 0.6 there were a fifth more of them, and as many
    requests in time within the spread of single days."""


def plan_counts(
    *,
    bounds: ScalingBounds,
    busy: float,
    least: int,
    dry: frozenset[DataCentreName],
    held: Counts,
    given: Counts,
    policy: ScalingPolicy,
    has_callers: bool = True,
    lost: float = 0.0,
) -> dict[Slot, int]:
    """Return the counts to order.

    `busy` is the number of endpoints that the demand would keep busy all
    the time, `least` how many there shall be at least; `dry` are the data
    centres where no reclaimable endpoints can be had now, `held` the
    endpoints that take work, and `given` the last orders; `lost` is how many
    of those held their limits take away. Slots that are left out stay as
    they are. Without callers, on-demand endpoints need not
    stay until the others have started, but for one: of 136 endpoint-seconds
    of a quiet day, 33 were paid before the first caller came.
    """
    centres = sort_centres(bounds)
    has_market = bounds.reclaimable_price is not None
    wet = [each for each in centres if has_market and each not in dry]
    wanted = find_wanted(bounds, max(busy / policy.busy_share, least) + lost)
    on_demand = _find_on_demand(centres, given, held)
    kept = {
        centre: held.get(_slot(centre, Market.RECLAIMABLE), 0)
        for centre in centres
        if centre not in wet
    }
    ordered = spread(
        wanted - sum(kept.values()),
        {centre: bounds.most - on_demand[centre] for centre in wet},
        least=bounds.least,
    )
    reclaimable = kept | ordered
    at_risk = _largest(held) if dry else 0
    least_busy = busy / policy.busy_share_reduced
    needed = find_wanted(bounds, least_busy + lost) + at_risk
    counts = {
        _slot(centre, Market.RECLAIMABLE): count
        for centre, count in ordered.items()
    }
    missing_now = needed - _count(held, Market.RECLAIMABLE)
    if not has_callers:
        missing_now = min(missing_now, 1)
    counts |= _plan_on_demand(
        room={
            centre: bounds.most - reclaimable.get(centre, 0)
            for centre in centres
        },
        missing=needed - sum(reclaimable.values()),
        missing_now=missing_now,
        there=on_demand,
    )
    return counts


def _find_on_demand(
    centres: list[DataCentreName], given: Counts, held: Counts
) -> dict[DataCentreName, int]:
    """Return the on-demand endpoints ordered, or found, in each place."""
    slots = {each: _slot(each, Market.ON_DEMAND) for each in centres}
    return {
        centre: given.get(slot, held.get(slot, 0))
        for centre, slot in slots.items()
    }


def _plan_on_demand(
    *,
    room: Mapping[DataCentreName, int],
    missing: int,
    missing_now: int,
    there: Mapping[DataCentreName, int],
) -> dict[Slot, int]:
    """Return the on-demand endpoints of each data centre.

    Those that are there stay until reclaimable ones have taken their
    place (`missing_now`); new ones are ordered only for what will still
    be missing when all that was ordered has started (`missing`).

    Endpoints that still start count as there. Were they given up for a
    cheaper data centre that has room of late, the work would wait for the
    start of others: seen as seconds of refusals behind the second of two
    losses.
    """
    counts = {}
    kept = max(missing, missing_now, 0)
    for centre, count in there.items():
        counts[centre] = min(count, kept)
        kept -= counts[centre]
    missing -= sum(counts.values())
    for centre, most in room.items():
        added = max(min(missing, most - counts[centre]), 0)
        counts[centre] += added
        missing -= added
    return {
        _slot(centre, Market.ON_DEMAND): count
        for centre, count in counts.items()
    }


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
    wanted: int, room: Mapping[DataCentreName, int], *, least: int
) -> dict[DataCentreName, int]:
    """Return the share of each data centre: even, the first get more.

    `room` is what fits there beside the endpoints of the other market: an
    order beyond it would be cut to it, and the rest never start.
    """
    share = {centre: max(min(least, most), 0) for centre, most in room.items()}
    left = wanted - sum(share.values())
    while left > 0:
        open_ = [
            centre for centre, most in room.items() if share[centre] < most
        ]
        if not open_:
            break
        centre = min(open_, key=lambda each: share[each])
        share[centre] += 1
        left -= 1
    return share


def sort_centres(bounds: ScalingBounds) -> list[DataCentreName]:
    """Return the data centres, the cheapest first."""
    prices = bounds.price_by_data_centre
    return sorted(prices, key=lambda centre: (prices[centre], centre))


def _slot(centre: DataCentreName, market: Market) -> Slot:
    return Slot(data_centre=centre, market=market)
