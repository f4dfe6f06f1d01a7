"""How old the list of endpoints may be when a request is sent by it."""

import unittest

import anyio
import trio
from mimosamux_standins.site.store import StoreTrouble

from tests.support.asking import ask, of_service
from tests.support.clock import run_paused
from tests.support.memory_network import machine_of
from tests.support.platform_site import STORE, open_site

DRAIN_S = 2.0
DRAIN_WITH_RELAYS_S = 3.0
MOST_HELD_S = 0.5
"""Time for which a request may wait for a newer list in an outage."""


async def keep_idle_connections(site):
    """Have each daemon keep a connection to the table that it may use."""
    for handle in site.daemons:
        await handle.daemon.parts.endpoint_reader._feed.read()


async def count_late(daemons, quiet_s, gap_s, drain_s):
    """Have connections to the table fall silent, and an endpoint leave.

    Return how many requests it gets past the time that it has.
    """
    async with open_site(daemons=daemons, drain_s=drain_s) as site:
        await anyio.sleep(quiet_s)
        await keep_idle_connections(site)
        site.network.silence(
            lambda each: machine_of(STORE) in (each.here, each.there)
        )
        await anyio.sleep(gap_s)
        leaving = of_service(site, '/list/')[0]
        site.drain_replica(leaving)
        until = anyio.current_time() + drain_s
        await ask(site, '/list/', for_s=6.0)
        return sum(at > until for at, _ in leaving.arrivals)


async def count_late_by_slow_reads(latency_s, quiet_s, *, idle_s=0.0):
    """Have daemons hear nothing of each other, and the table answer slowly.

    Return how many requests an endpoint gets past the time that it has, and
    the answers to all requests.
    """
    async with open_site(drain_s=DRAIN_S) as site:
        await anyio.sleep(quiet_s)
        await keep_idle_connections(site)
        for number in range(len(site.daemons)):
            site.cut_from_peers(number)
        site.store.latency_s = latency_s
        site.network.silence(
            lambda each: machine_of(STORE) in (each.here, each.there)
        )
        await anyio.sleep(0.1)
        leaving = of_service(site, '/list/')[0]
        site.drain_replica(leaving)
        until = anyio.current_time() + DRAIN_S
        await anyio.sleep(idle_s)
        answers = await ask(site, '/list/', for_s=6.0)
        return sum(at > until for at, _ in leaving.arrivals), answers


async def count_late_by_late_loop(stall_s):
    """Count the same for daemons that get processor time in turns only."""
    clock = trio.lowlevel.current_clock()
    async with open_site(drain_s=DRAIN_S) as site:
        await anyio.sleep(3.7)
        await keep_idle_connections(site)
        for number in range(len(site.daemons)):
            site.cut_from_peers(number)
        site.network.silence(
            lambda each: machine_of(STORE) in (each.here, each.there)
        )
        leaving = of_service(site, '/list/')[0]
        site.drain_replica(leaving)
        until = anyio.current_time() + DRAIN_S
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(lambda: ask(site, '/list/', for_s=4.0))
            while anyio.current_time() < until + 3.0:
                # Behind the first bytes of whatever is under way.
                await anyio.sleep(0.003)
                clock.jump(stall_s)
                await anyio.sleep(0.05)
            tasks.cancel_scope.cancel()
        # One of them may have been under way for a stall.
        until += stall_s
        return sum(at > until for at, _ in leaving.arrivals)


class TestListAge(unittest.TestCase):
    # Guards against requests that are sent by a list so old that it does not
    # show who leaves.

    def test_silent_connections_to_the_table_hide_no_leaving_endpoint(self):
        for quiet_s in (1.0, 3.7, 9.0):
            for gap_s in (0.1, 3.2):
                with self.subTest(quiet_s=quiet_s, gap_s=gap_s):
                    late = run_paused(
                        lambda quiet_s=quiet_s, gap_s=gap_s: count_late(
                            3, quiet_s, gap_s, DRAIN_S
                        )
                    )
                    self.assertEqual(late, 0)

    def test_nor_do_they_where_few_daemons_read_for_the_others(self):
        for gap_s in (0.1, 3.2):
            with self.subTest(gap_s=gap_s):
                late = run_paused(
                    lambda gap_s=gap_s: count_late(
                        15, 3.0, gap_s, DRAIN_WITH_RELAYS_S
                    )
                )
                self.assertEqual(late, 0)

    def test_slow_reads_hide_no_leaving_endpoint(self):
        for latency_s in (0.2, 0.4, 0.8):
            for quiet_s in (1.0, 3.7):
                with self.subTest(latency_s=latency_s, quiet_s=quiet_s):
                    late, answers = run_paused(
                        count_late_by_slow_reads, latency_s, quiet_s
                    )
                    self.assertEqual(late, 0)
                    served = sum(each.status == 200 for each in answers)
                    self.assertGreater(served, 0.9 * len(answers))

    def test_endpoints_that_were_not_heard_get_nothing_by_an_old_list(self):
        late, answers = run_paused(
            lambda: count_late_by_slow_reads(0.8, 1.0, idle_s=DRAIN_S + 0.2)
        )
        self.assertEqual(late, 0)
        read_until = min(each.sent_at for each in answers) + 0.8
        for answer in answers:
            if answer.status == 200:
                continue
            self.assertEqual(answer.status, 503)
            self.assertLess(answer.sent_at, read_until)
            self.assertGreater(answer.retry_after_s, 0)
            self.assertLess(answer.ended_at - answer.sent_at, MOST_HELD_S)

    def test_late_loop_hides_no_leaving_endpoint(self):
        for stall_s in (0.2, 0.35, 0.6):
            with self.subTest(stall_s=stall_s):
                late = run_paused(count_late_by_late_loop, stall_s)
                self.assertEqual(late, 0)

    def test_requests_cost_no_calls_while_the_list_is_new(self):
        async def check(per_s):
            async with open_site() as site:
                await anyio.sleep(3.0)
                before = site.store.calls
                await ask(site, '/list/', for_s=10.0, per_s=per_s)
                return site.store.calls - before

        few, many = (run_paused(check, per_s) for per_s in (2, 40))
        self.assertLessEqual(many, few + 5)

    def test_requests_are_served_while_the_whole_list_is_read_anew(self):
        async def check():
            async with open_site() as site:
                for handle in site.daemons:
                    reader = handle.daemon.parts.endpoint_reader
                    reader._cursor = None
                    reader._confirmed_at -= 10.0
                return await ask(site, '/list/', for_s=0.3)

        for answer in run_paused(check):
            self.assertEqual(answer.status, 200)

    def test_requests_are_served_while_the_table_tells_nothing(self):
        for trouble in (StoreTrouble.SILENT, StoreTrouble.BUSY):
            with self.subTest(trouble=trouble):

                async def check(trouble=trouble):
                    async with open_site() as site:
                        site.store.trouble = trouble
                        return await ask(site, '/list/', for_s=4.0)

                for answer in run_paused(check):
                    self.assertEqual(answer.status, 200)
                    self.assertLess(
                        answer.ended_at - answer.sent_at, MOST_HELD_S
                    )


if __name__ == '__main__':
    unittest.main()
