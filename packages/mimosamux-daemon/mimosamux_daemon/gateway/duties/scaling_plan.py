"""Plans the endpoints of a service, by data centre and market.

Reclaimable endpoints cost a fraction of on-demand ones, but the platform can
reclaim all of a data centre at once, and at times has none available in any
data centre. The plan therefore spreads them over the data centres, and adds
on-demand endpoints only where the reclaimable ones cannot carry the load.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from mimosamux_daemon.domain.names import DataCentreName
from mimosamux_daemon.domain.routes import ScalingBounds
from mimosamux_daemon.domain.vms import Market


@dataclass(frozen=True, kw_only=True, slots=True)
class Pool:
    """Endpoints of one service, of one market in one data centre."""

    data_centre: DataCentreName
    market: Market


PoolCounts = Mapping[Pool, int]
"""Number of endpoints in each pool."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ScalingPolicy:
    """Constants of the plan; docs/DECISIONS.md has the sweeps."""

    target_utilisation: float = 0.35
    """Share of its time that an endpoint is planned to be busy. Above it,
    queueing before the prefill grows towards the latency targets."""
    degraded_utilisation: float = 0.8
    """The same while reclaimable endpoints are unavailable, relative to the
    load of the busiest two of the last thirty seconds. On-demand endpoints
    cost five times as much; 0.6 took a fifth more of them, and the number of
    requests in time stayed within the variation between single days."""


def plan_counts(
    *,
    bounds: ScalingBounds,
    load: float,
    minimum: int,
    unavailable: frozenset[DataCentreName],
    serving: PoolCounts,
    ordered: PoolCounts,
    policy: ScalingPolicy,
    expects_requests: bool = True,
    lost_capacity: float = 0.0,
) -> dict[Pool, int]:
    """Return the counts to order; pools that are left out stay as they are.

    `load`: number of endpoints that the demand would keep busy all the time.
    `minimum`: number of endpoints to keep regardless of the load.
    `unavailable`: data centres without reclaimable endpoints to order.
    `serving`: endpoints that accept requests.
    `ordered`: counts of the last accepted orders.
    `expects_requests`: if false, only one on-demand endpoint is kept until
    the reclaimable ones have started. Of 136 endpoint-seconds of a quiet day,
    33 were paid before the first request came.
    `lost_capacity`: number of serving endpoints, in fractions, by which rate
    limits reduce the capacity.
    """
    centres = sort_by_price(bounds)
    has_reclaimable = bounds.reclaimable_price is not None
    available = [
        each for each in centres if has_reclaimable and each not in unavailable
    ]
    wanted = clamp_total(
        bounds, max(load / policy.target_utilisation, minimum) + lost_capacity
    )
    on_demand = _find_on_demand(centres, ordered, serving)
    kept = {
        centre: serving.get(_pool(centre, Market.RECLAIMABLE), 0)
        for centre in centres
        if centre not in available
    }
    planned = distribute(
        wanted - sum(kept.values()),
        {
            centre: bounds.max_endpoints - on_demand[centre]
            for centre in available
        },
        minimum=bounds.min_endpoints,
    )
    reclaimable = kept | planned
    at_risk = _largest_reclaimable(serving) if unavailable else 0
    base = load / policy.degraded_utilisation
    needed = clamp_total(bounds, base + lost_capacity) + at_risk
    counts = {
        _pool(centre, Market.RECLAIMABLE): count
        for centre, count in planned.items()
    }
    missing_now = needed - _count_market(serving, Market.RECLAIMABLE)
    if not expects_requests:
        missing_now = min(missing_now, 1)
    counts |= _plan_on_demand(
        room={
            centre: bounds.max_endpoints - reclaimable.get(centre, 0)
            for centre in centres
        },
        missing=needed - sum(reclaimable.values()),
        missing_now=missing_now,
        existing=on_demand,
    )
    return counts


def _find_on_demand(
    centres: list[DataCentreName], ordered: PoolCounts, serving: PoolCounts
) -> dict[DataCentreName, int]:
    """Return the on-demand endpoints ordered, or else serving, by centre."""
    pools = {each: _pool(each, Market.ON_DEMAND) for each in centres}
    return {
        centre: ordered.get(pool, serving.get(pool, 0))
        for centre, pool in pools.items()
    }


def _plan_on_demand(
    *,
    room: Mapping[DataCentreName, int],
    missing: int,
    missing_now: int,
    existing: Mapping[DataCentreName, int],
) -> dict[Pool, int]:
    """Return the on-demand endpoints to order in each data centre.

    The `existing` ones, ordered or serving, stay until reclaimable ones
    serve in their place (`missing_now`). New ones are added only for what is
    still missing when everything on order has started (`missing`), at most
    `room` in each data centre.

    Endpoints that are still starting count as existing. If they were given
    up for a cheaper data centre that has room again, requests would wait
    until its endpoints start: when two data centres failed one after the
    other, this caused seconds of refusals after the second failure.
    """
    counts = {}
    kept = max(missing, missing_now, 0)
    for centre, count in existing.items():
        counts[centre] = min(count, kept)
        kept -= counts[centre]
    missing -= sum(counts.values())
    for centre, most in room.items():
        added = max(min(missing, most - counts[centre]), 0)
        counts[centre] += added
        missing -= added
    return {
        _pool(centre, Market.ON_DEMAND): count
        for centre, count in counts.items()
    }


def _count_market(counts: PoolCounts, market: Market) -> int:
    return sum(n for pool, n in counts.items() if pool.market is market)


def _largest_reclaimable(serving: PoolCounts) -> int:
    """Return the size of the largest reclaimable pool.

    It is the reserve for the next loss: while reclaimable endpoints are
    unavailable in one data centre, the platform may reclaim those of another
    before on-demand ones can start.
    """
    counts = [
        n for pool, n in serving.items() if pool.market is Market.RECLAIMABLE
    ]
    return max(counts, default=0)


def clamp_total(bounds: ScalingBounds, endpoints: float) -> int:
    """Return a total count, rounded up and limited to the bounds."""
    centres = len(bounds.price_by_data_centre)
    return min(
        max(math.ceil(endpoints), bounds.min_endpoints * centres),
        bounds.max_endpoints * centres,
    )


def distribute(
    wanted: int, room: Mapping[DataCentreName, int], *, minimum: int
) -> dict[DataCentreName, int]:
    """Distribute endpoints evenly; earlier data centres get the remainder.

    `room` is the number that fits in a data centre beside the endpoints of
    the other market. The platform would cut a larger order to it, and the
    rest would never start.
    """
    share = {
        centre: max(min(minimum, most), 0) for centre, most in room.items()
    }
    left = wanted - sum(share.values())
    while left > 0:
        with_room = [
            centre for centre, most in room.items() if share[centre] < most
        ]
        if not with_room:
            break
        centre = min(with_room, key=lambda each: share[each])
        share[centre] += 1
        left -= 1
    return share


def sort_by_price(bounds: ScalingBounds) -> list[DataCentreName]:
    """Return the data centres by on-demand price, cheapest first."""
    prices = bounds.price_by_data_centre
    return sorted(prices, key=lambda centre: (prices[centre], centre))


def _pool(centre: DataCentreName, market: Market) -> Pool:
    return Pool(data_centre=centre, market=market)
