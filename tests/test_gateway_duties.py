"""Duties: one holder at a time, the same counts for good, orders."""

import unittest
from collections import defaultdict

import anyio
import orjson
from mimosamux_daemon.ports.duty_calls import DUTY_CALL_TIMEOUT_S
from mimosamux_standins.site.store import StoreTrouble

from tests.support.clock import run_paused
from tests.support.memory_network import machine_of
from tests.support.platform_site import (
    CLOUD,
    STORE,
    WALL_START,
    default_document,
    open_site,
)

PROMPT = (
    (b'X-Model', b'm'),
    (b'X-Token-Usage', b'1460,80'),
    (b'X-Prompt-Prefix', b'5c1e07a2:800,91bd3f06:410,e4402b7d:250'),
)
WINDOW_S = 5.0
LEASE_S = 3.0
TOLERANCE = 0.05


def usage_calls(site):
    return [
        call
        for call in site.cloud.calls
        if call.path == '/usage' and call.is_taken
    ]


def counts_by_window(site):
    """Return every different report that was taken of each window."""
    counts = defaultdict(list)
    for call in usage_calls(site):
        if call.body['counts'] not in counts[call.body['windowNumber']]:
            counts[call.body['windowNumber']].append(call.body['counts'])
    return counts


def true_counts(site):
    """Return how many runs of each tenant began in each window."""
    counts = defaultdict(lambda: defaultdict(int))
    for run in site.runs():
        window = int((WALL_START + run.began_at) // WINDOW_S)
        counts[window][run.tenant] += 1
    return counts


def find_holder(site):
    for number, handle in enumerate(site.daemons):
        if handle.daemon.parts.duties.held is not None:
            return number
    return None


async def send_slips(site, seconds, numbers=(0, 1, 2), pause_s=0.05):
    caller = site.caller()
    end = anyio.current_time() + seconds
    async with anyio.create_task_group() as tasks:
        count = 0
        while anyio.current_time() < end:
            number = numbers[count % len(numbers)]
            entry = site.daemons[number].entry
            tasks.start_soon(caller.send, entry, '/slip/1')
            count += 1
            await anyio.sleep(pause_s)


def has_two_holders(site):
    """Whether holders acted in the order A, B, A within a lease's time."""
    acts = [(call.at, call.holder) for call in site.cloud.calls]
    acts = [
        act
        for act, before in zip(acts, [(0, None), *acts], strict=False)
        if act[1] != before[1]
    ]
    return any(
        first[1] == third[1] and third[0] - first[0] < LEASE_S
        for first, third in zip(acts, acts[2:], strict=False)
    )


def kill_for_good(site, number):
    """End a daemon so that not even its last words get out."""
    site.network.dark.add(site.daemons[number].machine)
    site.kill_daemon(number)


async def time_next_holder(site):
    """Return the time until a daemon that runs holds the lease."""
    since = anyio.current_time()
    for _ in range(600):
        await anyio.sleep(0.05)
        if find_holder(site) is not None:
            break
    return anyio.current_time() - since


class TestTakingOver(unittest.TestCase):
    """Where the platform honours no fencing numbers."""

    def test_duties_go_on_as_soon_as_a_killed_holder_is_back(self):
        """All daemons are killed at once and start again.

        Until one has the duties, nobody replaces endpoints that are taken
        away, and requests are refused; usage goes unreported.
        """

        async def check():
            async with open_site(checks_fencing=False) as site:
                await anyio.sleep(2)
                for number in range(3):
                    kill_for_good(site, number)
                await anyio.sleep(1)
                site.network.dark.clear()
                await site.start_daemons(3)
                return await time_next_holder(site)

        self.assertLess(run_paused(check), 1.0)

    def test_another_daemon_takes_over_once_orders_have_landed(self):
        """The holder is gone for good, and its last call may be under way.

        It is over when its time limit is; to wait longer leaves the site
        without orders through a whole reclaim.
        """

        async def check():
            async with open_site(checks_fencing=False) as site:
                await anyio.sleep(2)
                kill_for_good(site, find_holder(site))
                return await time_next_holder(site)

        took_s = run_paused(check)
        self.assertGreater(took_s, LEASE_S + DUTY_CALL_TIMEOUT_S)
        self.assertLess(took_s, 2.5 * LEASE_S)


class TestHoldersCutOff(unittest.TestCase):
    # Guards against seconds without orders while the table turns the holder
    # alone away: reclaims went unanswered for six of them.

    def time_successor(self, cut):
        async def check():
            async with open_site(daemons=5) as site:
                await anyio.sleep(3)
                number = find_holder(site)
                machine = site.daemons[number].machine
                cut(site, machine)
                since = anyio.current_time()
                for _ in range(600):
                    await anyio.sleep(0.05)
                    if find_holder(site) not in (number, None):
                        break
                took_s = anyio.current_time() - since
                await anyio.sleep(4)
                return took_s, has_two_holders(site)

        return run_paused(check)

    def test_successor_acts_within_a_lease_of_the_cut(self):
        took_s, has_two = self.time_successor(
            lambda site, machine: site.network.cut(machine, machine_of(STORE))
        )
        self.assertLess(took_s, 1.3 * LEASE_S)
        self.assertFalse(has_two)


class TestUnreadableLease(unittest.TestCase):
    # Guards against a row of the lease that ends every daemon that reads it,
    # or behind which nobody takes up the duties any more.
    def test_duties_go_on_behind_a_row_that_is_no_lease(self):
        async def check(value):
            async with open_site(engines=1, apps=1) as site:
                held = site.daemons[find_holder(site)].daemon.parts.duties.held
                before = held.fencing
                site.store.put_bytes('lease', 'duties', value)
                await anyio.sleep(4 * LEASE_S)
                after = site.daemons[find_holder(site)]
                self.assertGreater(
                    after.daemon.parts.duties.held.fencing, before
                )
                return [each.ended.is_set() for each in site.daemons]

        for value in (
            b'',
            b'null',
            b'\xff\xfe',
            b'[' * 200_000 + b']' * 200_000,
            lease_row(),
            lease_row(fencing='x'),
            lease_row(fencing=2**63),
            lease_row(fencing=-1),
            lease_row(fencing=1, duration_s=1e308),
            lease_row(fencing=1, duration_s='nan'),
        ):
            with self.subTest(value=value[-90:]):
                self.assertEqual(run_paused(check, value), [False] * 3)


def lease_row(**fields):
    record = {'holder': 'x', 'incarnation': 1, 'duration_s': LEASE_S}
    return orjson.dumps(record | fields)


class TestDuties(unittest.TestCase):
    def assert_reports_are_right(self, site, *, but=()):
        counts, truth = counts_by_window(site), true_counts(site)
        windows = sorted(truth)[:-3]
        self.assertGreater(len(windows), 0)
        for window in windows:
            if window in but:
                continue
            (reported,) = counts[window]
            for tenant, requests in truth[window].items():
                self.assertAlmostEqual(
                    reported.get(tenant, 0),
                    requests,
                    delta=TOLERANCE * requests + 1,
                )

    def test_usage_of_each_window_is_reported_once_and_right(self):
        async def check():
            async with open_site() as site:
                await send_slips(site, 22)
                await anyio.sleep(12)
                return site

        site = run_paused(check)
        self.assert_reports_are_right(site)
        self.assertTrue(
            all(len(c) == 1 for c in counts_by_window(site).values())
        )

    def test_clock_that_jumps_on_one_machine_moves_no_window(self):
        """The time of day of one machine goes back by four seconds.

        Counted by that clock, requests would be charged to the window before.
        """

        async def check():
            async with open_site() as site:
                await send_slips(site, 8)
                site.daemons[find_holder(site)].wall_offset_s = -4.0
                await send_slips(site, 14)
                await anyio.sleep(12)
                return site

        self.assert_reports_are_right(run_paused(check))

    def test_holders_that_die_leave_each_window_with_one_report(self):
        """Three holders die in a row, each with reports under way."""

        async def check():
            async with open_site(daemons=4) as site:
                for _ in range(3):
                    await send_slips(site, 6)
                    number = find_holder(site)
                    site.kill_daemon(number)
                    await anyio.sleep(0.5)
                    await site.start_daemon(number).wait()
                await send_slips(site, 6)
                await anyio.sleep(14)
                return site

        site = run_paused(check)
        reports = counts_by_window(site)
        self.assertTrue(all(len(counts) == 1 for counts in reports.values()))
        self.assertFalse(has_two_holders(site))

    def test_report_whose_answer_is_lost_is_repeated_as_it_was(self):
        """The platform takes reports, and its answers do not arrive.

        A second report with later counts would make two of one window.
        """

        async def check():
            async with open_site() as site:
                site.store.lost_answers = 0.3
                cloud = machine_of(CLOUD)
                for _ in range(4):
                    await send_slips(site, 4)
                    for handle in site.daemons:
                        site.network.cut(cloud, handle.machine, one_way=True)
                    await send_slips(site, 2)
                    site.network.heal()
                site.store.lost_answers = 0.0
                await anyio.sleep(12)
                return site

        reports = counts_by_window(run_paused(check))
        self.assertTrue(all(len(counts) == 1 for counts in reports.values()))

    def test_holder_cut_off_from_the_store_stops_before_its_successor(self):
        """The holder cannot renew its lease, and still reaches the cloud."""

        async def check():
            async with open_site() as site:
                await send_slips(site, 4)
                number = find_holder(site)
                machine = site.daemons[number].machine
                site.network.cut(machine, machine_of(STORE))
                await send_slips(site, 12)
                successor = find_holder(site)
                site.network.heal()
                await send_slips(site, 6)
                await anyio.sleep(12)
                return site, number, successor

        site, number, successor = run_paused(check)
        self.assertNotEqual(number, successor)
        self.assertIsNotNone(successor)
        self.assertFalse(has_two_holders(site))
        reports = counts_by_window(site)
        self.assertTrue(all(len(counts) == 1 for counts in reports.values()))

    def test_holder_refused_for_an_old_number_calls_no_more(self):
        """Another daemon has acted with a higher fencing number."""

        async def check():
            async with open_site() as site:
                number = find_holder(site)
                held = site.daemons[number].daemon.parts.duties.held
                fencing = held.fencing
                site.cloud._fencing_by_subject[('/usage', None, None)] = 99
                await anyio.sleep(12)
                refused = [
                    call
                    for call in site.cloud.calls
                    if not call.is_taken and call.fencing == fencing
                ]
                return len(refused)

        self.assertLessEqual(run_paused(check), 1)

    def test_duties_go_on_while_the_store_was_down(self):
        """The store is down for a while; nobody may act without a lease."""

        async def check():
            async with open_site() as site:
                await send_slips(site, 4)
                site.store.trouble = StoreTrouble.SILENT
                await anyio.sleep(8)
                acted = [
                    call
                    for call in site.cloud.calls
                    if call.at > anyio.current_time() - 4
                ]
                site.store.trouble = StoreTrouble.NONE
                await anyio.sleep(8)
                return len(acted), find_holder(site)

        acted, holder = run_paused(check)
        self.assertEqual(acted, 0)
        self.assertIsNotNone(holder)


def count_of(site, *, is_reclaimable):
    return sum(
        replica.service == 'llm'
        and replica.state == 'ready'
        and replica.is_reclaimable == is_reclaimable
        for replica in site.replicas_by_id.values()
    )


def generous_document():
    """Return a document whose accounts may use 360,000 tokens a second."""
    document = default_document(is_scaled=True)
    document.tenants = [
        {**tenant, 'ratePerS': 180_000, 'burst': 1e6, 'unit': 'tokens'}
        for tenant in document.tenants
    ]
    return document


class TestScaling(unittest.TestCase):
    def open_scaled(self, **fields):
        return open_site(document=default_document(is_scaled=True), **fields)

    def test_on_demand_engines_give_way_to_reclaimable_ones(self):
        async def check():
            async with self.open_scaled() as site:
                before = count_of(site, is_reclaimable=False)
                least = 99
                for _ in range(40):
                    await anyio.sleep(0.5)
                    serving = count_of(site, is_reclaimable=True) + count_of(
                        site, is_reclaimable=False
                    )
                    least = min(least, serving)
                return (
                    before,
                    least,
                    count_of(site, is_reclaimable=True),
                    count_of(site, is_reclaimable=False),
                )

        before, least, reclaimable, on_demand = run_paused(check)
        self.assertEqual((before, on_demand), (3, 0))
        self.assertGreaterEqual(reclaimable, 3)
        self.assertGreaterEqual(least, 3)

    def test_first_callers_find_the_engines_that_their_caps_allow(self):
        """Nobody has called yet; accounts may use 360,000 tokens a second.

        With one engine a data centre, the first callers wait in line for
        the seconds in which more start.
        """

        async def check():
            async with open_site(document=generous_document()) as site:
                await anyio.sleep(10)
                return count_of(site, is_reclaimable=True)

        # 2 of 4 busy endpoints are expected, and six keep them a third busy.
        self.assertEqual(run_paused(check), 6)

    def test_engines_expected_in_vain_are_given_up_again(self):
        """Accounts have large caps and hardly use them.

        Engines that wait for nobody are paid for.
        """

        async def check():
            async with open_site(document=generous_document()) as site:
                caller, end = site.caller(), anyio.current_time() + 25
                while anyio.current_time() < end:
                    entry = site.daemons[0].entry
                    await caller.send(
                        entry, '/draft/1', body=b'b', headers=PROMPT
                    )
                    await anyio.sleep(1)
                return count_of(site, is_reclaimable=True)

        self.assertEqual(run_paused(check), 3)

    def test_reclaimed_engines_are_made_up_for_at_once(self):
        """All reclaimable engines go, and none are to be had for a while.

        On-demand ones are ordered at the notice, and give way again later.
        """

        async def check():
            async with self.open_scaled() as site:
                await anyio.sleep(20)
                site.cloud.dry_zones = {'north', 'middle', 'south'}
                for replica in tuple(site.replicas_by_id.values()):
                    if replica.service == 'llm' and replica.state == 'ready':
                        site.drain_replica(replica)
                await anyio.sleep(6)
                during = count_of(site, is_reclaimable=False)
                site.cloud.dry_zones = set()
                await anyio.sleep(20)
                return (
                    during,
                    count_of(site, is_reclaimable=True),
                    count_of(site, is_reclaimable=False),
                )

        during, reclaimable, on_demand = run_paused(check)
        self.assertGreaterEqual(during, 3)
        self.assertGreaterEqual(reclaimable, 3)
        self.assertEqual(on_demand, 0)

    def test_a_crash_of_one_engine_moves_no_others(self):
        """One of two reclaimable engines of a data centre crashes.

        Taken for a reclaim, its data centre would be given up: engines are
        ordered elsewhere, and sent away again seconds later.
        """

        async def check():
            async with open_site(document=generous_document()) as site:
                await anyio.sleep(12)
                before = len(site.cloud.calls)
                engine = next(
                    replica
                    for replica in site.replicas_by_id.values()
                    if replica.is_reclaimable and replica.state == 'ready'
                )
                site.crash_replica(engine)
                engine.state = 'crashed'
                site.unlist_replica(engine)
                await anyio.sleep(2)
                return {
                    (call.body['zone'], call.body['desiredCount'])
                    for call in site.cloud.calls[before:]
                    if call.path == '/scaling'
                }, engine.zone

        orders, zone = run_paused(check)
        self.assertEqual(orders, {(zone, 2)})

    def test_orders_settle_under_constant_conditions(self):
        async def check():
            async with self.open_scaled() as site:
                await anyio.sleep(30)
                before = len(site.cloud.calls)
                await anyio.sleep(30)
                calls = site.cloud.calls[before:]
                return [
                    (call.body['zone'], call.body['desiredCount'])
                    for call in calls
                    if call.path == '/scaling'
                ]

        orders = run_paused(check)
        self.assertLessEqual(len(orders), 9)
        self.assertEqual(len(set(orders)), len({zone for zone, _ in orders}))
