"""The platform's store comes back from a copy that is some seconds old."""

import unittest
from collections import defaultdict

import anyio
import orjson
from mimosamux_standins.site import Fault
from mimosamux_standins.site.store import StoreTrouble

from tests.support import crashes
from tests.support.asking import ask, of_service
from tests.support.clock import run_paused
from tests.support.platform_site import default_document, open_site
from tests.support.rollouts import bring_in, play
from tests.test_gateway_crashing_requests import (
    LIST,
    open_crashing_site,
    suspects_of,
)
from tests.test_gateway_duties import (
    counts_by_window,
    find_holder,
    kill_for_good,
    send_slips,
    time_next_holder,
    usage_calls,
)

ENGINE_PATHS = ('/question/', '/draft/')
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


async def report_without_late_word(site):
    """Have a window reported while a daemon's word of it is held up."""
    await anyio.sleep(13)
    site.cut_from_peers(2)
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
                    site.cut_from_peers(holder)
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

    def test_holder_goes_on_at_once_when_the_store_was_away_for_all(self):
        # Guards against seconds without orders, and windows never reported.
        async def check(away_s):
            async with open_site() as site:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(send_slips, site, 30)
                    await anyio.sleep(12.5)
                    holder = find_holder(site)
                    await site.restore_store(copy_age_s=3.0, away_s=away_s)
                    took_s = await time_next_holder(site)
                    is_same = find_holder(site) == holder
                await anyio.sleep(12)
                windows = sorted(counts_by_window(site))
                return took_s, is_same, windows, holders_by_fencing(site)

        for away_s in (1.0, 2.4):
            with self.subTest(away_s=away_s):
                took_s, is_same, windows, holders = run_paused(check, away_s)
                self.assertLess(took_s, 1.0)
                self.assertTrue(is_same)
                self.assertEqual(
                    windows, list(range(windows[0], windows[-1] + 1))
                )
                self.assertTrue(all(len(e) == 1 for e in holders.values()))


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

    def test_nor_does_a_reader_that_dies_as_the_store_comes_back(self):
        # Guards against daemons that only the dead reader would have told.
        async def check():
            async with open_site(daemons=15, drain_s=3.0) as site:
                await anyio.sleep(10)
                (reader,) = [
                    number
                    for number, handle in enumerate(site.daemons)
                    if handle.daemon.parts.endpoint_reader.sharing.is_reader()
                ]
                await site.restore_store(copy_age_s=2.0)
                kill_for_good(site, reader)
                leaving = of_service(site, '/list/')[0]
                site.drain_replica(leaving)
                until = anyio.current_time() + DRAIN_WITH_RELAYS_S
                others = [each for each in range(15) if each != reader]
                await ask(site, '/list/', for_s=6.0, daemons=others)
                return sum(at > until for at, _ in leaving.arrivals)

        self.assertEqual(run_paused(check), 0)


class TestRowsWrittenAgain(unittest.TestCase):
    def test_finished_rollout_is_not_begun_again(self):
        # Guards against orders that pass for new as their rows' versions do.
        async def check(rollout):
            await bring_in(rollout, ENGINE_PATHS)
            await rollout.site.restore_store(copy_age_s=14.0)
            steps = [
                handle.daemon.parts.rollouts.by_service['llm'].rollout.step
                for handle in rollout.site.daemons
            ]
            await rollout.ask(ENGINE_PATHS, for_s=4.0)
            rollout.site.kill_daemon(2)
            await rollout.site.start_daemon(2).wait()
            await anyio.sleep(3.0)
            views = [
                handle.daemon.parts.rollouts.by_service['llm'].rollout
                for handle in rollout.site.daemons
            ]
            row = rollout.site.store.get('rollouts', 'llm')
            return rollout, steps, views, orjson.loads(row)

        rollout, steps, views, row = play(check)
        self.assertEqual(row['stage'], 'completed')
        self.assertEqual(rollout.status('llm')['state'], 'completed')
        self.assertEqual([view.step for view in views], steps)
        self.assertEqual(rollout.not_served(), [])

    def test_reverted_version_is_not_tried_again(self):
        # Guards against callers who meet a version again that failed others.
        async def check(rollout):
            await bring_in(rollout, ENGINE_PATHS, fault=Fault.ERROR)
            trials = rollout.trials()
            await rollout.site.restore_store(copy_age_s=16.0)
            await rollout.ask(ENGINE_PATHS, for_s=5.0)
            return rollout.trials() - trials, rollout.status('llm')['state']

        self.assertEqual(play(check), (0, 'reverted'))

    def test_earlier_order_in_the_copy_does_not_replace_the_newest(self):
        # Guards against an older version that comes back with the copy.
        def order(site, version):
            fields = {'service': 'llm', 'to': version, 'durationS': 16}
            site.store.put('op', 'rollout/llm', fields)

        async def check(rollout):
            order(rollout.site, 'v1')
            await anyio.sleep(3.0)
            order(rollout.site, 'v2')
            await rollout.site.add_replica('llm', 'north', version='v2')
            await anyio.sleep(0.5)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(lambda: rollout.ask(ENGINE_PATHS, for_s=6.0))
                await rollout.site.restore_store(
                    copy_age_s=1.0, rewritten_after_s=1.5
                )
            orders = [
                handle.daemon.parts.rollouts.orders_by_service['llm'].version
                for handle in rollout.site.daemons
            ]
            return orders, rollout.not_served()

        orders, not_served = play(check)
        self.assertEqual(set(orders), {'v2'})
        self.assertEqual(not_served, [])

    def test_daemon_that_started_lately_is_found_through_the_table(self):
        # Guards against daemons that no other can find after a restore.
        async def check():
            async with open_site() as site:
                await site.start_daemon().wait()
                await anyio.sleep(1.0)
                await site.restore_store(copy_age_s=2.0)
                key = site.daemons[3].daemon.settings.place.id
                was_lost = site.store.get('daemons', key) is None
                await anyio.sleep(7.0)
                return was_lost, site.store.get('daemons', key) is not None

        self.assertEqual(run_paused(check), (True, True))

    def test_held_requests_stay_held_for_daemons_that_start_later(self):
        # Guards against a crash that a whole site has to suffer once more.
        async def check():
            async with open_crashing_site() as crashing:
                site = crashing.site
                await crashes.have_held(crashing, LIST)
                (held,) = suspects_of(site, 0).by_content
                await site.restore_store(copy_age_s=8.0, rewritten_after_s=0)
                was_lost = site.store.get('crashes', held) is None
                await anyio.sleep(2.0)
                return was_lost, site.store.get('crashes', held) is not None

        self.assertEqual(run_paused(check), (True, True))


if __name__ == '__main__':
    unittest.main()
