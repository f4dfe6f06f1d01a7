"""The plan of endpoints: what is ordered where, without a network."""

import unittest

from mimosamux_daemon.domain.names import DataCentreName
from mimosamux_daemon.domain.routes import ScalingBounds
from mimosamux_daemon.domain.vms import Market
from mimosamux_daemon.gateway.duties.scaling_plan import (
    Pool,
    ScalingPolicy,
    plan_counts,
)

NORTH, MIDDLE, SOUTH = map(DataCentreName, ('north', 'middle', 'south'))
EVERYWHERE = frozenset({NORTH, MIDDLE, SOUTH})
POLICY = ScalingPolicy(target_utilisation=0.5, degraded_utilisation=0.5)


def reclaimable(centre):
    return Pool(data_centre=centre, market=Market.RECLAIMABLE)


def on_demand(centre):
    return Pool(data_centre=centre, market=Market.ON_DEMAND)


def plan(
    *,
    load=0.0,
    least=0,
    unavailable=frozenset(),
    serving=None,
    ordered=None,
    expects_requests=True,
    lost_capacity=0.0,
):
    """Return the orders; north is the cheapest, south the dearest."""
    bounds = ScalingBounds(
        min_endpoints=1,
        max_endpoints=4,
        boot_s=4.0,
        reclaimable_price=0.2,
        price_by_data_centre={NORTH: 0.8, MIDDLE: 1.0, SOUTH: 1.2},
    )
    return plan_counts(
        bounds=bounds,
        load=load,
        minimum=least,
        unavailable=unavailable,
        serving=serving or {},
        ordered=ordered or {},
        policy=POLICY,
        expects_requests=expects_requests,
        lost_capacity=lost_capacity,
    )


def total(counts, market):
    return sum(n for pool, n in counts.items() if pool.market is market)


class TestReclaimableEndpoints(unittest.TestCase):
    def test_are_spread_over_the_data_centres(self):
        counts = plan(load=4.0)
        self.assertEqual(
            [counts[reclaimable(each)] for each in (NORTH, MIDDLE, SOUTH)],
            [3, 3, 2],
        )

    def test_make_up_for_those_that_limits_take_away(self):
        before = plan(load=2.0)
        more = plan(load=2.0, lost_capacity=1.6)
        market = Market.RECLAIMABLE
        self.assertEqual(total(more, market) - total(before, market), 2)

    def test_are_ordered_only_as_far_as_they_fit_beside_the_others(self):
        """Two on-demand endpoints a data centre are there at the start.

        The platform cuts an order to what fits beside them. An order that
        counts as given in full is not given again, and half of the
        endpoints are missing when callers come.
        """
        serving = {on_demand(each): 2 for each in EVERYWHERE}
        counts = plan(least=12, serving=serving)
        self.assertEqual(
            {counts[reclaimable(each)] for each in EVERYWHERE}, {2}
        )
        ordered = {on_demand(each): 0 for each in EVERYWHERE}
        counts = plan(least=12, serving=serving, ordered=ordered)
        self.assertEqual(
            {counts[reclaimable(each)] for each in EVERYWHERE}, {4}
        )


class TestOnDemandEndpoints(unittest.TestCase):
    def test_stay_until_reclaimable_ones_serve(self):
        serving = {on_demand(each): 1 for each in EVERYWHERE}
        counts = plan(least=3, serving=serving)
        self.assertEqual(total(counts, Market.ON_DEMAND), 3)

    def test_that_still_start_are_kept_when_a_cheaper_place_has_room(self):
        """Two data centres lose their endpoints, one after the other.

        Four endpoints were ordered in the south when the first went. Given
        up for four in the north when that goes as well, they would be
        missing just when they are needed, and callers are refused for the
        seconds in which others start.
        """
        counts = plan(
            load=2.0,
            unavailable=EVERYWHERE,
            serving={},
            ordered={on_demand(SOUTH): 4},
        )
        self.assertEqual(counts[on_demand(SOUTH)], 4)
        self.assertEqual(counts[on_demand(NORTH)], 0)

    def test_missing_ones_are_added_where_they_are_cheapest(self):
        counts = plan(
            load=3.0,
            unavailable=EVERYWHERE,
            serving={},
            ordered={on_demand(SOUTH): 4},
        )
        self.assertEqual(counts[on_demand(SOUTH)], 4)
        self.assertEqual(counts[on_demand(NORTH)], 2)

    def test_the_dearest_are_given_up_first(self):
        counts = plan(
            load=1.0,
            unavailable=EVERYWHERE,
            ordered={on_demand(SOUTH): 2, on_demand(NORTH): 2},
        )
        self.assertEqual(counts[on_demand(SOUTH)], 1)
        self.assertEqual(counts[on_demand(NORTH)], 2)


class TestBeforeTheFirstCaller(unittest.TestCase):
    def setUp(self):
        self.serving = {on_demand(each): 2 for each in EVERYWHERE}

    def count(self, *, unavailable=frozenset(), **fields):
        counts = plan(
            least=6, unavailable=unavailable, serving=self.serving, **fields
        )
        return total(counts, Market.ON_DEMAND)

    def test_on_demand_endpoints_are_given_up_but_for_one(self):
        """Cheaper ones are on order everywhere, and nobody waits yet."""
        self.assertEqual(self.count(expects_requests=False), 1)

    def test_those_that_are_needed_stay_while_somebody_may_wait(self):
        """One a data centre is needed, and no other has started yet."""
        self.assertEqual(self.count(), 3)

    def test_they_stay_where_no_others_are_to_be_had(self):
        """Given up, there would be none when the first callers come."""
        count = self.count(
            expects_requests=False, unavailable=EVERYWHERE, load=3.0
        )
        self.assertEqual(count, 6)
