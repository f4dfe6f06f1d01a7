"""Promises kept under any mix of troubles, and checks that can fail."""

import random
import unittest
from contextlib import ExitStack
from unittest import mock

from hypothesis import HealthCheck, Phase, given, settings
from mimosamux_daemon.adapters.own_answers import OwnAnswers
from mimosamux_daemon.domain.outcomes import Refused
from mimosamux_daemon.gateway import roster
from mimosamux_daemon.gateway.answers import answer_relay
from mimosamux_daemon.gateway.configuration import ConfirmedConfiguration
from mimosamux_daemon.gateway.duties.metering import Metering
from mimosamux_daemon.gateway.events import CompleteEvents, EventSplitter
from mimosamux_daemon.gateway.forwarding import Forwarder
from mimosamux_daemon.gateway.jobs import Job
from mimosamux_daemon.gateway.limits.caps import UsageCaps
from mimosamux_daemon.gateway.limits.retry_budget import RetryBudget
from mimosamux_platform import replicas
from mimosamux_standins.site import Fault

from tests.support.clock import run_paused
from tests.support.site_checks import describe, find_problems
from tests.support.site_schedule import play, schedules, seed_for


class TestSchedules(unittest.TestCase):
    @settings(
        derandomize=True,
        deadline=None,
        max_examples=12,
        suppress_health_check=list(HealthCheck),
        # Shrinking takes minutes; the schedule is printed as it failed.
        phases=[Phase.explicit, Phase.generate],
    )
    @given(schedules())
    def test_no_promise_is_broken_by_any_mix_of_troubles(self, schedule):
        site, log = run_paused(play, schedule)
        problems = find_problems(site, log)
        self.assertEqual(problems, [], describe(problems))
        answered = [each for each in log.answers() if each.status == 200]
        self.assertGreater(len(answered), 20)

    def test_none_is_broken_with_nine_daemons(self):
        rng = random.Random(3)
        schedule = [
            (0.4, name, rng.getrandbits(16))
            for name in ('kill', 'isolate', 'flood', 'drain_replica', 'kill')
        ]
        site, log = run_paused(lambda: play(schedule, daemons=9))
        problems = find_problems(site, log)
        self.assertEqual(problems, [], describe(problems))


def spoil(fault, service='app', *, spares=0):
    """Return a schedule that spoils a service for some seconds."""
    number = seed_for(fault, service, spares=spares)
    return [(0.1, 'spoil_service', number), (4.0, 'heal', 0)]


class TestChecks(unittest.TestCase):
    """Each promise is broken on purpose, and the checks have to see it."""

    def assert_seen(self, words, schedule, *patches, **fields):
        with ExitStack() as stack:
            for patch in patches:
                stack.enter_context(patch)
            site, log = run_paused(lambda: play(schedule, **fields))
        problems = find_problems(site, log)
        self.assertTrue(
            any(words in problem for problem in problems),
            describe(problems) or 'nothing was seen',
        )

    def test_request_sent_again_that_may_not_be(self):
        self.assert_seen(
            'times',
            spoil(Fault.LOST),
            mock.patch.object(
                Forwarder,
                '_take_retry',
                lambda self, job, is_proven_not_run=False: job.sends < 3,
            ),
        )

    def test_promise_given_for_a_request_that_may_have_run(self):
        def give_up(self, reason, message, *, retry_after_s):
            return Refused(
                reason=reason, message=message, retry_after_s=retry_after_s
            )

        self.assert_seen(
            'called not run',
            spoil(Fault.HANG),
            mock.patch.object(Job, 'give_up', give_up),
        )

    def test_key_honoured_without_asking(self):
        self.assert_seen(
            'after its key was taken away',
            [(0.1, 'isolate', 1), (0.1, 'revoke_key', 0), (9.0, 'heal', 0)],
            mock.patch.object(
                ConfirmedConfiguration, 'age_s', property(lambda self: 0.0)
            ),
        )

    def test_work_sent_to_an_endpoint_that_leaves(self):
        self.assert_seen(
            's later',
            [(0.1, 'drain_replica', 1), (4.0, 'heal', 0)],
            mock.patch.object(
                roster.EndpointRecord,
                'accepts_requests',
                property(lambda self: self.gone_at is None),
            ),
        )

    def test_caps_that_daemons_keep_each_for_itself(self):
        self.assert_seen(
            'used',
            [(0.0, 'flood', number) for number in range(6)],
            mock.patch.object(UsageCaps, 'take', lambda *_: None),
        )

    def test_retries_without_a_budget(self):
        self.assert_seen(
            'repeats of',
            spoil(Fault.ERROR),
            mock.patch.object(RetryBudget, 'take', lambda *_: True),
            pause_s=0.01,
        )

    def test_usage_reported_before_it_is_finalized(self):
        async def finalize(self, windows):
            self._must_write = False
            for window in windows:
                counts = dict(self.request_counts.total(window))
                self.finalized.by_window[window] = counts

        schedule = [
            (0.0, 'cut_holder_from_peers', 0),
            (9.0, 'kill_holder', 0),
            (0.1, 'heal', 0),
        ]
        self.assert_seen(
            'two reports',
            schedule,
            mock.patch.multiple(
                Metering,
                _finalize=finalize,
                _find_first_window=lambda *_: 0,
            ),
        )

    def test_piece_of_an_event_passed_on(self):
        def feed(self, data):
            return CompleteEvents(data=data, count=1, last_id=None)

        self.assert_seen(
            'events',
            spoil(Fault.CUT, 'llm', spares=1),
            mock.patch.object(EventSplitter, 'feed', feed),
        )

    def test_answer_that_breaks_off_passed_on_as_whole(self):
        async def receive_complete(answer, patience, job):
            body = b''
            while isinstance(part := await answer.receive(), bytes):
                body += part
            return answer_relay.CompleteAnswer(answer=answer, body=body)

        self.assert_seen(
            'no replica made',
            spoil(Fault.CUT),
            mock.patch(
                'mimosamux_daemon.gateway.forwarding.receive_complete',
                receive_complete,
            ),
        )

    def test_answer_to_another_request_passed_on(self):
        async def receive_own(self):
            return await self._channel.receive_head()

        def is_reusable(self):
            return self._is_at_end

        self.assert_seen(
            'no replica made',
            spoil(Fault.EXTRA),
            mock.patch.object(OwnAnswers, 'receive_head', receive_own),
            mock.patch(
                'mimosamux_daemon.adapters.http1_channel.Channel.is_reusable',
                is_reusable,
            ),
        )

    def test_endpoint_not_named_to_the_heir_of_its_address(self):
        render = replicas.render_headers

        def render_headers(call):
            return tuple(
                item
                for item in render(call)
                if item[0] != b'X-Expected-Replica'
            )

        self.assert_seen(
            'ran at',
            [(0.1, 'reuse_address', n) for n in range(4)],
            mock.patch.object(replicas, 'render_headers', render_headers),
        )
