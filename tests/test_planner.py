"""What the planner runs for which demand, prices and ceilings."""

import unittest
from collections import Counter

import anyio
from mimosamux_daemon.control.build_planner import PlannerPolicies
from mimosamux_daemon.control.capacity import CapacityPolicy, compute_need
from mimosamux_daemon.control.demand import DemandPolicy, Forecast
from mimosamux_daemon.control.placement import (
    PlacementPolicy,
    PricedOffer,
    compute_survivors,
    place,
)
from mimosamux_daemon.control.planning import (
    PlanInput,
    PlanningPolicy,
    make_plan,
)
from mimosamux_daemon.domain.plan import Offer, ReplicaNeed
from mimosamux_daemon.domain.vms import VMState

from tests.support.clock import run_paused
from tests.support.planning import (
    DATA_CENTRES,
    FIXED,
    RATE,
    SPOT,
    USUAL,
    PlannedSite,
    configure,
    demand,
    play,
)

BUSY = tuple(item.scaled(10) for item in USUAL)


def offers(spot=(1.0, 1.0, 1.0), fixed=3.0, running=()):
    prices = {
        Offer(data_centre=name, machine_class='standard', market=market): price
        for name, spot_price in zip(DATA_CENTRES, spot, strict=True)
        for market, price in ((SPOT, spot_price), (FIXED, fixed))
    }
    return [
        PricedOffer(
            offer=offer,
            per_hour=price,
            weight=1.0,
            running=dict(running).get(offer, 0),
            can_start=True,
        )
        for offer, price in prices.items()
    ]


def make_input(demands=USUAL, *, configuration=None, **prices):
    return PlanInput(
        configuration=configuration or configure(),
        demands=demands,
        rates={('itinerary', 'standard'): RATE},
        prices={item.offer: item.per_hour for item in offers(**prices)},
        running={},
    )


def count_markets(site):
    return Counter(vm.market for vm in site.standing())


class TestNeed(unittest.TestCase):
    def test_more_demand_never_needs_less(self):
        needs = [
            compute_need(
                [item.scaled(factor) for item in USUAL],
                configure().classes,
                RATE,
                CapacityPolicy(),
            ).normal
            for factor in (0.1, 1, 3, 10, 100)
        ]
        self.assertEqual(needs, sorted(needs))
        self.assertGreater(needs[-1], 50)

    def test_drafts_may_be_late_after_a_loss_and_lookups_may_not(self):
        """A reclaim wave has taken part of the endpoints.

        Until they are replaced, drafts wait and lookups must not.
        """

        def find(demands):
            return compute_need(
                demands, configure().classes, RATE, CapacityPolicy()
            )

        drafts = find([demand('draft', 10.0, answer=800.0)])
        lookups = find([demand('lookup', 80.0)])
        self.assertLess(drafts.after_loss, drafts.normal / 2)
        self.assertGreater(lookups.after_loss, lookups.normal / 2)


class TestPlacement(unittest.TestCase):
    def test_placement_survives_every_loss_that_is_planned_for(self):
        for normal in (1, 2, 3, 6, 20, 300):
            for share in (0.2, 0.6, 1.0):
                need = ReplicaNeed(normal=normal, after_loss=share * normal)
                placed = place(need, offers(), PlacementPolicy())
                survivors = compute_survivors(
                    placed.counts, {}, PlacementPolicy()
                )
                self.assertTrue(placed.meets_need)
                self.assertGreaterEqual(placed.replicas, normal)
                self.assertGreaterEqual(survivors, need.after_loss - 1e-6)

    def test_on_demand_only_as_much_as_the_loss_needs(self):
        need = ReplicaNeed(normal=20, after_loss=8)
        cheap = place(need, offers(fixed=9.0), PlacementPolicy())
        dear = place(
            ReplicaNeed(normal=20, after_loss=20), offers(), PlacementPolicy()
        )
        markets = Counter()
        for offer, count in dear.counts.items():
            markets[offer.market] += count
        self.assertFalse(any(o.market is FIXED for o in cheap.counts))
        self.assertGreater(markets[SPOT], 0)
        self.assertLess(dear.cost, 20 * 3.0)

    def test_plan_of_a_small_site_is_the_cheapest_there_is(self):
        need = ReplicaNeed(normal=5, after_loss=3)
        prices = (1.0, 1.4, 2.2)
        best = min(
            price_of(counts, prices)
            for counts in every_count(6)
            if survives(counts, need)
        )
        placed = place(need, offers(spot=prices), PlacementPolicy())
        self.assertAlmostEqual(placed.cost, best)

    def test_small_difference_in_price_moves_nothing(self):
        need = ReplicaNeed(normal=4, after_loss=2)
        first = place(need, offers(spot=(1.0, 1.1, 1.2)), PlacementPolicy())
        again = place(
            need,
            offers(spot=(1.2, 1.1, 1.0), running=first.counts.items()),
            PlacementPolicy(),
        )
        self.assertEqual(first.counts, again.counts)

    def test_with_too_little_to_be_had_everything_is_taken(self):
        """The cloud refuses every start of a kind for now."""
        few = [
            item
            for item in offers()
            if item.offer.market is SPOT and item.offer.data_centre == 'north'
        ]
        placed = place(
            ReplicaNeed(normal=4, after_loss=4), few, PlacementPolicy()
        )
        self.assertFalse(placed.meets_need)
        self.assertEqual(sum(placed.counts.values()), 4)


def every_count(most):
    numbers = range(most + 1)
    return [
        (a, b, c, d)
        for a in numbers
        for b in numbers
        for c in numbers
        for d in numbers
        if a + b + c + d <= 2 * most
    ]


def price_of(counts, prices):
    spot = sum(
        count * price for count, price in zip(counts, prices, strict=False)
    )
    return spot + 3.0 * counts[3]


def survives(counts, need):
    spot = counts[:3]
    lost = max(*spot, -(-44 * sum(spot) // 100))
    return sum(counts) >= need.normal and sum(counts) - lost >= need.after_loss


class TestCeilings(unittest.TestCase):
    def test_target_beyond_its_ceiling_is_told_with_what_is_missing(self):
        known = make_input(BUSY, configuration=configure(ceilings=(None, 5.0)))
        plan = make_plan(known, PlanningPolicy())
        (short,) = plan.ceiling_shortfalls
        self.assertEqual(short.work_class, 'draft')
        self.assertGreater(short.missing_per_hour, 0)
        self.assertAlmostEqual(
            short.missing_per_hour, short.needed_per_hour - 5.0
        )
        self.assertLess(short.admitted_share, 1.0)
        self.assertGreater(short.admitted_share, 0.0)

    def test_plan_costs_no_more_than_the_ceilings(self):
        for ceilings in ((2.0, 3.0), (1.0, 20.0), (50.0, 1.0)):
            known = make_input(
                BUSY, configuration=configure(ceilings=ceilings)
            )
            plan = make_plan(known, PlanningPolicy())
            self.assertLessEqual(plan.per_hour, sum(ceilings))

    def test_refused_class_goes_on_being_measured_and_comes_back(self):
        """Prices rise beyond a ceiling for half an hour.

        The class is refused in part meanwhile, and in full service again
        afterwards, without anybody doing anything.
        """

        async def script(site):
            await anyio.sleep(300)
            before = site.nodes['north-0'].planning_view.ceilings.shortfalls
            site.set_prices(spot=(4.0, 4.0, 4.0), fixed=9.0)
            await anyio.sleep(900)
            during = site.nodes['north-0'].planning_view.ceilings.shortfalls
            site.set_prices()
            await anyio.sleep(900)
            after = site.nodes['north-0'].planning_view.ceilings.shortfalls
            return before, during, after

        site = PlannedSite(
            demands=BUSY, configuration=configure(ceilings=(60.0, 40.0))
        )
        before, during, after = run_paused(play, site, script)
        self.assertEqual((before, after), ((), ()))
        self.assertTrue(during)


class TestForecast(unittest.TestCase):
    def test_forecast_follows_up_fast_and_down_late(self):
        async def check():
            forecast = Forecast(policy=DemandPolicy())
            rates = []
            for rate in [1.0] * 10 + [4.0] * 24 + [1.0] * 200:
                (found,) = forecast.update([demand('draft', rate)])
                rates.append(found.requests_per_s)
                await anyio.sleep(5.0)
            self.assertGreater(rates[33], 3.9)
            self.assertGreater(rates[34 + 100], 3.9)
            self.assertLess(rates[-1], 1.2)

        run_paused(check)


class TestPlanner(unittest.TestCase):
    def run_site(self, script, **options):
        site = PlannedSite(**options)
        return site, run_paused(play, site, script)

    def test_notice_starts_the_replacement_at_once(self):
        """The platform takes a VM back with 30 seconds of notice."""

        async def script(site):
            await anyio.sleep(120)
            standing = len(site.standing())
            vm = site.standing()[0]
            starts = len(site.cloud.starts)
            site.cloud.reclaim(vm.id, notice_s=30.0)
            await anyio.sleep(3.0)
            self.assertEqual(len(site.cloud.starts), starts + 1)
            self.assertEqual(len(site.standing()), standing)

        self.run_site(script, policies=PlannerPolicies())

    def test_wave_that_takes_a_data_centre_is_replaced_elsewhere(self):
        """A whole data centre is reclaimed and refuses to start more."""

        async def script(site):
            await anyio.sleep(120)
            name = site.standing()[0].data_centre
            site.cloud.faults.refused.add((name, 'standard', SPOT))
            for vm in site.standing():
                if vm.data_centre == name and vm.market is SPOT:
                    site.cloud.reclaim(vm.id, notice_s=30.0)
            await anyio.sleep(120)
            plan = site.nodes['west-0'].planner.plan
            self.assertFalse(plan.capacity_shortfalls)
            live = [vm for vm in site.standing() if vm.state is VMState.LIVE]
            self.assertGreaterEqual(len(live), plan.needs['itinerary'].normal)

        self.run_site(script, demands=BUSY)

    def test_refused_offer_is_left_alone_for_longer_each_time(self):
        """A kind of VM cannot be had for an hour.

        Asking again and again would hold up the next best and meet the
        limits of the cloud's API.
        """

        async def script(site):
            await anyio.sleep(2400)
            refusals = Counter(
                (order.data_centre, order.market)
                for order in site.cloud.refusals
            )
            self.assertLess(max(refusals.values()), 30)
            self.assertEqual(count_markets(site)[SPOT], 0)
            self.assertGreater(count_markets(site)[FIXED], 0)

        site = PlannedSite()
        for name in DATA_CENTRES:
            site.cloud.faults.refused.add((name, 'standard', SPOT))
        run_paused(play, site, script)

    def test_fewer_are_kept_once_demand_stays_lower(self):
        async def script(site):
            await anyio.sleep(300)
            busy = len(site.standing())
            for node in site.nodes.values():
                node.meter.demands = tuple(
                    item.scaled(0.1) for item in node.meter.demands
                )
            await anyio.sleep(300)
            held = len(site.standing())
            await anyio.sleep(900)
            self.assertEqual(held, busy)
            self.assertLess(len(site.standing()), busy / 2)
            self.assertEqual(site.cloud.stopped_at_work, [])

        self.run_site(script, demands=BUSY)

    def test_version_change_replaces_endpoints_without_a_cut(self):
        """An operator puts a new version of the model in force.

        The old endpoints go only as new ones serve; fewer than needed
        would make everybody wait.
        """

        async def script(site):
            await anyio.sleep(300)
            before = {vm.id for vm in site.standing()}
            need = site.nodes['north-0'].planner.plan.needs['itinerary']
            site.configuration = configure(version=2, model_version='2')
            fewest = len(before)
            for _ in range(450):
                await anyio.sleep(2.0)
                live = [
                    vm for vm in site.standing() if vm.state is VMState.LIVE
                ]
                fewest = min(fewest, len(live))
            after = {vm.id for vm in site.standing()}
            self.assertFalse(before & after)
            self.assertGreaterEqual(fewest, need.normal)

        self.run_site(script, demands=BUSY)

    def test_steady_noisy_load_starts_and_stops_nothing(self):
        """The measured load wavers by a tenth around the same value."""

        async def script(site):
            await anyio.sleep(1200)
            starts, stops = len(site.cloud.starts), len(site.cloud.stops)
            await anyio.sleep(2400)
            self.assertEqual(len(site.cloud.starts), starts)
            self.assertEqual(len(site.cloud.stops), stops)

        self.run_site(script, demands=BUSY, noise=0.1)

    def test_clearly_cheaper_data_centre_takes_the_work_over(self):
        async def script(site):
            await anyio.sleep(300)
            site.set_prices(spot=(3.0, 1.0, 1.0), fixed=9.0)
            before = site.per_hour()
            await anyio.sleep(1200)
            self.assertLess(site.per_hour(), 0.8 * before)

        self.run_site(script, demands=BUSY)
