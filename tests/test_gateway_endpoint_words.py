"""What endpoints say of themselves in their answers."""

import unittest

import anyio
from mimosamux_daemon.domain.gateway import ListedEndpoint
from mimosamux_daemon.gateway.balancing.endpoint_record import EndpointRecord
from mimosamux_daemon.gateway.roster import (
    MAX_CONNECT_BACKOFF_S,
    MAX_REJECTION_BACKOFF_S,
    Roster,
)
from mimosamux_standins.site import Fault
from mimosamux_standins.site.store import StoreTrouble

from tests.support import crashes
from tests.support.asking import ask, of_service
from tests.support.clock import run_paused
from tests.support.platform_site import open_site, wall_ms

DRAIN_S = 2.0
PATHS = ('/draft/', '/question/', '/slip/', '/list/')


async def find_first(site, path):
    """Return the endpoint that requests of a path go to first."""
    await crashes.send(site, site.caller(), 0, f'{path}first')
    (first,) = [each for each in of_service(site, path) if each.arrivals]
    first.arrivals.clear()
    return first


async def count_after_word(path, fault=Fault.NONE):
    """Return what an endpoint gets past the bound after its first word."""
    async with open_site() as site:
        leaving = await find_first(site, path)
        leaving.says_leaving = True
        leaving.fault = fault
        await ask(site, path, for_s=10.0)
        first = min(at for at, _ in leaving.arrivals)
        return sum(at > first + DRAIN_S for at, _ in leaving.arrivals)


class TestLeavingWords(unittest.TestCase):
    # Guards against sending on to an endpoint that leaves while the list,
    # which cannot be written, shows it as ready.

    def test_endpoint_whose_answers_say_that_it_leaves_gets_nothing_new(self):
        for path in PATHS:
            with self.subTest(path=path):
                late = run_paused(lambda path=path: count_after_word(path))
                self.assertEqual(late, 0)

    def test_word_in_a_refusal_or_an_error_counts(self):
        for fault in (Fault.SHED, Fault.ERROR):
            with self.subTest(fault=fault):
                late = run_paused(
                    lambda fault=fault: count_after_word('/list/', fault)
                )
                self.assertEqual(late, 0)

    def test_peers_are_told_while_the_table_is_away(self):
        async def check():
            async with open_site() as site:
                leaving = await find_first(site, '/list/')
                site.store.trouble = StoreTrouble.SILENT
                leaving.says_leaving = True
                await ask(site, '/list/', for_s=1.0, daemons=(0,))
                leaving.says_leaving = False
                leaving.arrivals.clear()
                await ask(site, '/list/', for_s=2.0)
                return len(leaving.arrivals)

        self.assertEqual(run_paused(check), 0)

    def test_new_process_under_the_same_id_has_said_nothing(self):
        async def check():
            async with open_site(apps=0) as site:
                leaving = await site.add_replica(
                    'app', 'north', born_ms=wall_ms()
                )
                await anyio.sleep(0.5)
                leaving.says_leaving = True
                await crashes.send(site, site.caller(), 0, '/list/1')
                refused = await crashes.send(site, site.caller(), 0, '/list/2')
                await site.restart_replica(leaving)
                await anyio.sleep(0.5)
                served = await crashes.send(site, site.caller(), 0, '/list/3')
                return refused.status, served.status

        self.assertEqual(run_paused(check), (503, 200))


class TestRests(unittest.TestCase):
    # Guards against sending on to an endpoint that asked for a pause.

    def test_endpoint_gets_nothing_for_as_long_as_it_asks(self):
        async def check(path):
            async with open_site() as site:
                resting = await find_first(site, path)
                resting.fault = Fault.SHED
                resting.shed_retry_after_s = 5.0
                await ask(site, path, for_s=6.0, daemons=(0,))
                first = resting.arrivals[0][0]
                return sum(
                    first + 0.5 < at < first + 5.0
                    for at, _ in resting.arrivals
                )

        for path in PATHS:
            with self.subTest(path=path):
                self.assertEqual(run_paused(check, path), 0)

    def test_callers_are_served_beside_an_endpoint_that_turns_all_down(self):
        async def check(path):
            async with open_site() as site:
                (await find_first(site, path)).fault = Fault.SHED
                answers = await ask(site, path, for_s=15.0)
                return sum(answer.status == 200 for answer in answers)

        for path in PATHS:
            with self.subTest(path=path):
                self.assertGreaterEqual(run_paused(check, path), 270)

    def test_pauses_stay_bounded_in_long_outages(self):
        roster = Roster(
            clock=lambda: 0.0, time_of_day=lambda: 0.0, health=None
        )
        listed = ListedEndpoint(
            id='i-1', service='app', address='', data_centre='', slots=1
        )
        record = EndpointRecord(listed=listed, listed_at=0.0)
        for _ in range(3000):
            roster.note_connect(record, failed=True)
            roster.note_rejection(record, 0.0)
        self.assertEqual(record.unreachable_until, MAX_CONNECT_BACKOFF_S)
        self.assertEqual(record.deprioritised_until, MAX_REJECTION_BACKOFF_S)

    def test_wait_for_all_endpoints_is_told_to_the_caller(self):
        async def check():
            async with open_site() as site:
                for replica in of_service(site, '/list/'):
                    replica.fault = Fault.SHED
                    replica.shed_retry_after_s = 5.0
                await ask(site, '/list/', for_s=1.0, daemons=(0,))
                before = crashes.count_arrivals(site)
                answers = await ask(site, '/list/', for_s=2.0, daemons=(0,))
                return answers, crashes.count_arrivals(site) - before

        answers, arrived = run_paused(check)
        self.assertEqual(arrived, 0)
        for answer in answers:
            self.assertEqual(answer.status, 503)
            self.assertGreater(answer.retry_after_s, 1.0)
            self.assertLess(answer.ended_at - answer.sent_at, 0.05)


if __name__ == '__main__':
    unittest.main()
