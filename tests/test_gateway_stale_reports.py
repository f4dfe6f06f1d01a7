"""Choice of endpoints by daemons whose reports of load are out of date."""

import logging
import random
import unittest

import structlog
from mimosamux_daemon.domain.names import EndpointId
from mimosamux_daemon.gateway.balancing.load_forecast import (
    MEAN_INTERVAL_S,
    RELAY_DELAY_S,
    ResidenceTime,
)
from mimosamux_daemon.gateway.balancing.loads import PEER_REPORT_TTL_S
from structlog.testing import capture_logs

from tests.support.clock import run_paused
from tests.support.platform_site import open_site
from tests.support.stale_reports import APP, ChoosingDaemon, Play, listed

CALL_S = 0.022
SLOTS = 18


class TestManyDaemons(unittest.TestCase):
    """73 daemons before three plain endpoints with six slots each."""

    def play(self, per_s, *, is_relayed=True, seconds=10):
        play = Play(
            is_relayed=is_relayed, per_s=per_s, service_s=CALL_S, seed=1
        )
        return play.run(seconds)

    def test_usual_load_is_served_in_time(self):
        result = self.play(120)
        self.assertEqual((result.refused, result.late), (0, 0))

    def test_burst_below_capacity_is_served_in_time(self):
        """All daemons choose the endpoint that seemed idle a second ago.

        One endpoint serves 272 calls a second, three serve 818. Reports
        that are taken as they are send a burst of 312 to one at a time.
        """
        result = self.play(312)
        self.assertEqual((result.refused, result.late), (0, 0))
        self.assertGreater(self.play(312, is_relayed=False).refused, 0)

    def test_overload_uses_the_capacity(self):
        seconds = 5
        result = self.play(1000, seconds=seconds)
        capacity = SLOTS / CALL_S * seconds
        self.assertGreater(result.calls - result.refused, 0.95 * capacity)


class TestLoadForecast(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.daemon = ChoosingDaemon(
            clock=lambda: self.now, rng=random.Random(1)
        )
        self.daemon.list(listed(0), listed(1), listed(2, slots=12))
        self.forecast = self.daemon.chooser.forecast
        self.residence = self.forecast.residence(APP)

    def requests(self, number):
        record = self.daemon.record(number)
        return self.forecast.load(record, self.now).requests

    def test_reported_load_decays_to_the_mean_by_slots(self):
        self.residence.request.add(1.0)
        self.daemon.report(0, 'peer', 8, self.now)
        remaining = ResidenceTime(mean_s=1.0).remaining_share(RELAY_DELAY_S)
        self.assertAlmostEqual(self.requests(0), 2 + 6 * remaining)
        self.assertAlmostEqual(self.requests(1), 2 - 2 * remaining)
        self.assertAlmostEqual(self.requests(2), 4 - 4 * remaining)

    def test_unread_tokens_decay_with_the_duration_of_a_prefill(self):
        self.residence.request.add(10.0)
        self.residence.prefill.add(0.08)
        self.daemon.report(0, 'peer', 8, self.now, unread_tokens=8000.0)
        self.now += 1.0
        load = self.forecast.load(self.daemon.record(0), self.now)
        self.assertGreater(load.requests, 7.0)
        self.assertAlmostEqual(load.unread_tokens, 2000.0, delta=1.0)
        self.assertAlmostEqual(load.report_age_s, 1.0)

    def test_home_of_a_frequent_prefix_keeps_the_load_that_it_has(self):
        """One prefix has a fifth of the traffic, its home a long queue.

        With the mean of the service as its usual load, all daemons would
        take the home to be as idle as the others, and send more there.
        """
        self.residence.prefill.add(0.08)
        loads = []
        for _ in range(50):
            self.daemon.report(0, 'peer', 8, self.now, unread_tokens=9000.0)
            self.now += 0.7
            record = self.daemon.record(0)
            loads.append(self.forecast.load(record, self.now, is_engine=True))
        self.assertAlmostEqual(loads[-1].unread_tokens, 9000.0, delta=1.0)
        self.assertAlmostEqual(loads[-1].requests, 8.0, delta=0.01)

    def test_queue_that_a_report_shows_once_is_not_the_usual_load(self):
        self.residence.prefill.add(0.08)
        record = self.daemon.record(0)
        for _ in range(20):
            self.now += 0.1
            self.forecast.load(record, self.now, is_engine=True)
        self.daemon.report(0, 'peer', 8, self.now, unread_tokens=9000.0)
        self.now += 0.3
        load = self.forecast.load(record, self.now, is_engine=True)
        self.assertLess(load.unread_tokens, 0.3 * 9000.0)

    def test_report_is_not_new_when_it_arrives(self):
        """Its calls of 22 ms have ended while it passed through relays."""
        self.residence.request.add(0.022)
        self.daemon.report(0, 'peer', 8, self.now)
        self.assertAlmostEqual(self.requests(0), 2, delta=0.01)

    def test_own_requests_are_counted_exactly(self):
        self.daemon.record(0).load.begin(500.0)
        self.now += 60.0
        load = self.forecast.load(self.daemon.record(0), self.now)
        self.assertEqual((load.requests, load.unread_tokens), (1, 500.0))

    def test_small_site_takes_reports_as_they_are(self):
        self.daemon.is_relayed = False
        self.residence.request.add(0.02)
        self.daemon.report(0, 'peer', 8, self.now)
        self.now += 1.0
        self.assertEqual(self.requests(0), 8)
        self.assertEqual(self.requests(1), 0)

    def test_peer_that_died_holds_no_load_at_its_endpoint(self):
        """Its last report counts for five seconds, its calls have ended."""
        self.residence.request.add(0.1)
        self.daemon.report(0, 'dead', 8, self.now)
        self.now += 1.5
        self.daemon.report(1, 'alive', 1, self.now)
        self.assertAlmostEqual(self.requests(0), 9 / 4, delta=0.01)
        self.now += PEER_REPORT_TTL_S + MEAN_INTERVAL_S
        self.assertEqual(self.requests(0), 0)

    def test_calls_are_spread_by_slots_when_reports_stop(self):
        """No report arrives any more; the last ones named one idle endpoint.

        It would get all calls until they expire.
        """
        self.residence.request.add(0.3)
        self.daemon.report(0, 'peer', 6, self.now)
        self.daemon.report(2, 'peer', 12, self.now)
        self.now += 1.0
        chosen = [self.daemon.choose().record.id for _ in range(4000)]
        shares = [chosen.count(EndpointId(f'i-{n}')) / 4000 for n in range(3)]
        for share, expected in zip(shares, (0.25, 0.25, 0.5), strict=True):
            self.assertAlmostEqual(share, expected, delta=0.03)

    def test_reports_on_an_earlier_process_do_not_count_for_the_new_one(self):
        """An endpoint restarts with calls of peers in flight.

        Its new process has none of them, and is expected to have the mean.
        """
        self.daemon.list(listed(0, incarnation=1000))
        self.residence.request.add(1000.0)
        self.daemon.report(0, 'peer', 6, self.now)
        self.daemon.list(listed(0, incarnation=60_000))
        self.assertEqual(self.daemon.record(0).incarnation, 60_000)
        self.assertEqual(self.requests(0), 0)
        self.assertEqual(len(self.daemon.endpoints.records(APP)), 3)

    def test_engine_without_reported_prompts_counts_as_idle(self):
        """The mean of a busy service is never zero at any engine.

        The speed of engines is learned from requests that found no other
        prompt queued, and would not be learned any more.
        """
        self.daemon.report(0, 'peer', 4, self.now, unread_tokens=8000.0)
        self.now += 1.0
        load = self.forecast.load(self.daemon.record(1), self.now)
        self.assertGreater(load.unread_tokens, 1000.0)
        self.assertEqual(load.reported_tokens, 0)

    def test_mean_of_many_endpoints_is_taken_over_some(self):
        for number in range(3000):
            self.daemon.list(listed(number))
            self.daemon.report(number, 'peer', 3, self.now)
        self.assertAlmostEqual(self.requests(1), 3, delta=0.1)
        slots = self.forecast.slots(APP, self.now)
        self.assertAlmostEqual(slots, 18_000, delta=100)

    def test_mean_is_not_computed_for_each_choice(self):
        """With dozens of peers, it would take longer than the choice."""
        computed = []
        records = self.forecast._endpoints
        self.forecast._endpoints = lambda service: (
            computed.append(service) or records(service)
        )
        for _ in range(50):
            self.daemon.choose()
            self.now += 0.01
        self.assertLessEqual(len(computed), 6)


class TestFewSlots(unittest.TestCase):
    """A service with fewer slots than there are daemons."""

    def setUp(self):
        self.daemon = ChoosingDaemon(clock=lambda: 0.0, rng=random.Random(1))
        self.daemon.list(
            listed(0, slots=40), listed(1, slots=2), listed(2, slots=2)
        )

    def send(self):
        record = self.daemon.choose().record
        record.load.begin(0.0)
        return record.id

    def test_daemon_has_one_call_at_each_before_a_second_at_any(self):
        """Each daemon's few calls would queue at the largest endpoint."""
        self.assertEqual(len({self.send() for _ in range(3)}), 3)

    def test_call_beyond_the_bound_at_each_goes_to_the_least_loaded(self):
        for _ in range(3):
            self.send()
        self.assertEqual(self.send(), EndpointId('i-0'))

    def test_bound_is_not_used_where_slots_suffice(self):
        self.daemon.daemons = 20
        sent = [self.send() for _ in range(10)]
        self.assertGreater(sent.count(EndpointId('i-0')), 5)

    def test_distance_does_not_count(self):
        """Daemons of one data centre would all use its own endpoint."""
        chosen = {self.daemon.choose().record.id for _ in range(100)}
        self.assertEqual(len(chosen), 3)


class TestSite(unittest.TestCase):
    """Daemons on the stand-in platform, up to 12 of which need no relays."""

    def setUp(self):
        before = structlog.get_config()
        self.addCleanup(structlog.configure, **before)
        wrapper = structlog.make_filtering_bound_logger(logging.INFO)
        structlog.configure(wrapper_class=wrapper)

    def send(self, daemons):
        """Return the metrics and the log lines of sends of one daemon."""

        async def check():
            async with open_site(daemons=daemons) as site:
                daemon = site.daemons[0]
                for _ in range(3):
                    await site.caller().send(
                        daemon.entry, '/slip/1', body=b'slip'
                    )
                return daemon.daemon.parts.metrics.render()[0].decode()

        with capture_logs() as events:
            metrics = run_paused(check)
        return metrics, [
            event for event in events if event['event'] == 'request_sent'
        ]

    def test_forecast_is_shown_where_reports_pass_through_relays(self):
        metrics, lines = self.send(14)
        self.assertIn(
            'mimosamux_gateway_forecast_sends_total{service="app"} 3', metrics
        )
        self.assertIn('work="request"', metrics)
        self.assertEqual(len(lines), 3)
        for line in lines:
            self.assertEqual(line['forecast_load'], 0)
            self.assertIsNone(line['report_age_s'])

    def test_small_site_chooses_without_a_forecast(self):
        metrics, lines = self.send(3)
        self.assertNotIn('forecast_sends_total{', metrics)
        self.assertEqual(len(lines), 3)
