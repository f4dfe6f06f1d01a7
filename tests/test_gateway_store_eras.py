"""The platform's store comes back from a copy that is some seconds old."""

import unittest
from collections import defaultdict

import anyio
from mimosamux_standins.site.store import StoreTrouble

from tests.support.asking import ask, of_service
from tests.support.clock import run_paused
from tests.support.platform_site import default_document, open_site
from tests.test_gateway_duties import (
    counts_by_window,
    find_holder,
    kill_for_good,
    send_slips,
    time_next_holder,
    usage_calls,
)

DRAIN_S = 2.0
DRAIN_WITH_RELAYS_S = 3.0


def windows_with_two_counts(site):
    return [
        window
        for window, counts in counts_by_window(site).items()
        if len(counts) > 1
    ]


def holders_by_fencing(site):
    holders = defaultdict(set)
    for call in site.cloud.calls:
        if call.is_taken:
            holders[call.fencing].add(call.holder)
    return holders


def cut_from_peers(site, number):
    alone = site.daemons[number].machine
    for handle in site.daemons:
        if handle.machine != alone:
            site.network.cut(alone, handle.machine)


async def report_without_late_word(site):
    """Have a window reported while a daemon's word of it is held up."""
    await anyio.sleep(13)
    cut_from_peers(site, 2)
    await anyio.sleep(2.6)
    site.network.heal()


class TestUsage(unittest.TestCase):
    def assert_one_count_each(self, site):
        self.assertEqual(windows_with_two_counts(site), [])
        self.assertGreater(len(counts_by_window(site)), 5)

    def test_holder_does_not_count_a_window_again_that_the_table_lost(self):
        # Guards against a second report with what arrived late meanwhile.
        async def check(away_s):
            async with open_site() as site:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(send_slips, site, 30)
                    await report_without_late_word(site)
                    await site.restore_store(copy_age_s=3.0, away_s=away_s)
                await anyio.sleep(12)
                return site

        for away_s in (1.0, 3.2):
            with self.subTest(away_s=away_s):
                self.assert_one_count_each(run_paused(check, away_s))

    def test_next_holder_does_not_count_it_again_either(self):
        # Guards against a second report by a holder that knows no first one.
        async def check(killed_after_s):
            async with open_site() as site:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(send_slips, site, 30)
                    await report_without_late_word(site)
                    holder = find_holder(site)
                    tasks.start_soon(
                        lambda: site.restore_store(copy_age_s=4.0)
                    )
                    await anyio.sleep(killed_after_s)
                    kill_for_good(site, holder)
                await anyio.sleep(12)
                return site

        for killed_after_s in (0.1, 0.9, 1.1):
            with self.subTest(killed_after_s=killed_after_s):
                site = run_paused(check, killed_after_s)
                self.assert_one_count_each(site)
                holders = {call.holder for call in usage_calls(site)}
                self.assertEqual(len(holders), 2)

    def test_window_that_only_a_dead_holder_knew_is_not_counted_again(self):
        # Guards against a second report where nobody was told of the first.
        async def check():
            async with open_site() as site:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(send_slips, site, 30)
                    await anyio.sleep(13)
                    holder = find_holder(site)
                    cut_from_peers(site, holder)
                    await anyio.sleep(3.6)
                    tasks.start_soon(
                        lambda: site.restore_store(copy_age_s=4.0)
                    )
                    await anyio.sleep(0.5)
                    kill_for_good(site, holder)
                await anyio.sleep(12)
                return site

        self.assert_one_count_each(run_paused(check))

    def test_daemons_know_final_counts_that_the_table_may_lose(self):
        # Guards against windows that are lost with their holder.
        async def check(daemons):
            async with open_site(daemons=daemons) as site:
                await send_slips(site, 12)
                site.start_daemon()
                await anyio.sleep(4.9)
                return [
                    handle.daemon.parts.finalized_windows.by_window
                    for handle in site.daemons
                ]

        for daemons in (3, 15):
            with self.subTest(daemons=daemons):
                first, *others = run_paused(check, daemons)
                self.assertGreater(len(first), 1)
                for other in others:
                    self.assertEqual(other, first)


class TestFencing(unittest.TestCase):
    def test_lost_lease_gives_out_no_fencing_number_twice(self):
        # Guards against two holders that the platform cannot tell apart.
        async def check():
            document = default_document(is_scaled=True)
            async with open_site(document=document) as site:
                await anyio.sleep(3)
                first = find_holder(site)
                kill_for_good(site, first)
                await time_next_holder(site)
                await anyio.sleep(0.5)
                kill_for_good(site, find_holder(site))
                await site.restore_store(copy_age_s=1.5, away_s=0.5)
                await anyio.sleep(12)
                return holders_by_fencing(site)

        holders = run_paused(check)
        self.assertTrue(all(len(each) == 1 for each in holders.values()))
        self.assertEqual(len(holders), 3)


class TestLeaving(unittest.TestCase):
    async def count_late(self, daemons, drain_s, trouble, gap_s):
        """Return how many requests an endpoint gets past its time."""
        async with open_site(daemons=daemons, drain_s=drain_s) as site:
            await anyio.sleep(10)
            await site.restore_store(copy_age_s=2.0, trouble=trouble)
            await anyio.sleep(gap_s)
            leaving = of_service(site, '/list/')[0]
            site.drain_replica(leaving)
            until = anyio.current_time() + drain_s
            await ask(site, '/list/', for_s=6.0)
            return sum(at > until for at, _ in leaving.arrivals)

    def assert_none_is_late(self, daemons, drain_s):
        for trouble in (StoreTrouble.RESET, StoreTrouble.SILENT):
            for gap_s in (0.1, 2.0):
                with self.subTest(trouble=trouble, gap_s=gap_s):
                    late = run_paused(
                        self.count_late, daemons, drain_s, trouble, gap_s
                    )
                    self.assertEqual(late, 0)

    def test_versions_given_out_again_hide_no_leaving_endpoint(self):
        # Guards against rows that pass for known, as their versions are.
        self.assert_none_is_late(3, DRAIN_S)

    def test_nor_do_they_where_few_daemons_read_for_the_others(self):
        # Guards against news that confirms a list which lacks its rows.
        self.assert_none_is_late(15, DRAIN_WITH_RELAYS_S)


if __name__ == '__main__':
    unittest.main()
