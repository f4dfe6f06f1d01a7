"""Orders for VMs: once each, also when answers are lost."""

import unittest
from collections import Counter

import anyio
from mimosamux_daemon.control.build_planner import PlannerPolicies
from mimosamux_daemon.control.order_rows import ORDER_PREFIX
from mimosamux_daemon.domain.audit import AUDIT_PREFIX, parse_entry
from mimosamux_daemon.domain.store import Unavailable
from mimosamux_daemon.domain.vms import VMState
from mimosamux_daemon.ports.models.cloud import StartVM

from tests.support.clock import run_paused
from tests.support.planning import (
    SPOT,
    PlannedSite,
    WatchedCloud,
    configure,
    play,
)

FAST = PlannerPolicies()


class LateCloud(WatchedCloud):
    """Starts some VMs long after it was asked, without an answer."""

    late_starts: int = 0

    async def start_vm(self, order):
        if self.late_starts > 0:
            self.late_starts -= 1
            await anyio.sleep_forever()
        return await super().start_vm(order)


def is_settled(site):
    """Every VM that stands is wanted, live and known to its planner."""
    wanted = site.any_holder().planner.plan.counts
    standing = Counter(
        (vm.model, vm.data_centre, vm.market) for vm in site.standing()
    )
    planned = Counter(
        {
            (model, offer.data_centre, offer.market): count
            for (model, offer), count in wanted.items()
            if count
        }
    )
    return standing == planned


async def until(predicate):
    while True:
        if predicate():
            return
        await anyio.sleep(0.1)


async def read_audit(site, kind):
    rows = await site.table.scan(f'{AUDIT_PREFIX}{kind}/')
    return [parse_entry(row.value) for row in rows]


class TestOrders(unittest.TestCase):
    def run_site(self, script, **options):
        site = PlannedSite(policies=FAST, **options)
        run_paused(play, site, script)
        return site

    def test_lost_answers_to_starts_start_no_vm_twice(self):
        """The cloud starts the VMs and its answers are lost.

        The list shows them only some seconds later. Ordering again before
        that would leave VMs that are paid for twice.
        """

        async def script(site):
            site.cloud.faults.lose_next_starts = 100
            await anyio.sleep(300)
            self.assertTrue(is_settled(site))
            self.assertEqual(len(site.cloud.starts), len(site.standing()))

        self.run_site(script)

    def test_start_that_did_not_land_is_ordered_again(self):
        """The order never reached the cloud, and no answer came.

        Waiting for that VM for ever would leave the targets unmet.
        """

        async def script(site):
            await anyio.sleep(300)
            self.assertTrue(is_settled(site))

        cloud = LateCloud()
        cloud.late_starts = 2
        self.run_site(script, cloud=cloud)

    def test_vm_that_nobody_ordered_is_found_and_stopped(self):
        """An order took effect long after it had been given up on.

        The VM would be paid for, and used by nobody.
        """

        async def script(site):
            await anyio.sleep(120)
            await site.cloud.start_vm(
                StartVM(
                    order_id='lost-long-ago',
                    data_centre='west',
                    machine_class='standard',
                    market=SPOT,
                    model='itinerary',
                    fencing=0,
                )
            )
            await anyio.sleep(240)
            self.assertTrue(is_settled(site))

        self.run_site(script)

    def test_successor_goes_on_from_rows_and_the_list(self):
        """A planner dies right after its orders went out.

        Its successor finds the intentions, sees the VMs in the list and
        orders nothing a second time.
        """

        async def script(site):
            site.cloud.faults.lose_next_starts = 100
            await until(lambda: site.cloud.starts)
            holder = site.holder(site.cloud.starts[0].data_centre)
            holder.way.is_cut = True
            holder.scope.cancel()
            await anyio.sleep(300)
            self.assertTrue(is_settled(site))
            self.assertEqual(len(site.cloud.starts), len(site.standing()))

        self.run_site(script, nodes_each=2)

    def test_stop_is_given_again_after_a_lost_answer(self):
        """The cloud could not be reached when a VM had to be stopped."""

        async def script(site):
            await anyio.sleep(120)
            site.cloud.faults.lose_next_stops = 3
            site.set_prices(spot=(9.0, 1.0, 1.0), fixed=20.0)
            await anyio.sleep(300)
            self.assertTrue(is_settled(site))
            self.assertTrue(site.cloud.stops)

        self.run_site(script)

    def test_no_vm_is_stopped_before_its_work_has_ended(self):
        """A cheaper VM takes the place of one that still answers."""

        async def script(site):
            await anyio.sleep(120)
            busy_until = anyio.current_time() + 400
            for vm in site.standing():
                site.cloud.work_until[vm.id] = busy_until
            site.set_prices(spot=(9.0, 1.0, 1.0), fixed=20.0)
            await anyio.sleep(200)
            self.assertEqual(site.cloud.stops, [])
            await anyio.sleep(400)
            self.assertTrue(site.cloud.stops)
            self.assertEqual(site.cloud.stopped_at_work, [])

        self.run_site(script)

    def test_nothing_is_ordered_while_intentions_cannot_be_written(self):
        """The table is down, and a notice comes meanwhile.

        Without the row a successor could not know of the order.
        """

        async def script(site):
            await anyio.sleep(120)
            starts = len(site.cloud.starts)
            site.table.faults.down = True
            site.cloud.reclaim(site.standing()[0].id, notice_s=30.0)
            await anyio.sleep(120)
            self.assertEqual(len(site.cloud.starts), starts)
            site.table.faults.down = False
            await anyio.sleep(240)
            self.assertTrue(is_settled(site))
            self.assertEqual(len(site.cloud.starts), starts + 1)

        self.run_site(script)

    def test_engine_that_refuses_an_old_number_ends_the_lease(self):
        """Another planner has given orders to the engine meanwhile.

        Going on would set two planners' orders against each other.
        """

        async def script(site):
            await until(lambda: site.engines.by_id)
            engine = next(iter(site.engines.by_id.values()))
            self.assertFalse(engine.orders)
            engine.fencing = 99
            name = f'{engine.endpoint.data_centre}-0'
            held = site.nodes[name].planner
            await until(lambda: not held.lease or held.lease.fencing > 1)
            self.assertFalse(engine.orders)

        configuration = configure(checks_fencing=True)
        self.run_site(script, configuration=configuration)

    def test_each_order_is_in_the_audit_trail_once(self):
        async def script(site):
            await anyio.sleep(120)
            site.set_prices(spot=(9.0, 1.0, 1.0), fixed=20.0)
            await anyio.sleep(300)
            entries = await read_audit(site, 'vm')
            afters = Counter(entry.after for entry in entries)
            self.assertEqual(afters['intended'], len(site.cloud.starts))
            self.assertEqual(afters['stopping'], len(set(site.cloud.stops)))
            self.assertEqual(afters['gone'], len(set(site.cloud.stops)))
            self.assertTrue(all(entry.why for entry in entries))
            loads = await read_audit(site, 'order')
            self.assertEqual(len(loads), len(site.cloud.starts))

        self.run_site(script)

    def test_rows_of_vms_that_are_gone_are_deleted(self):
        async def script(site):
            await anyio.sleep(120)
            site.set_prices(spot=(9.0, 1.0, 1.0), fixed=20.0)
            await anyio.sleep(300)
            rows = await site.table.scan(ORDER_PREFIX)
            self.assertNotIsInstance(rows, Unavailable)
            live = [vm for vm in site.standing() if vm.state is VMState.LIVE]
            self.assertEqual(len(rows), len(live))

        self.run_site(script)
