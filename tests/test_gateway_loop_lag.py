"""Requests that lie unread at a daemon short of processor time."""

import unittest

import anyio
from mimosamux_daemon.gateway.loop_lag import PERIOD_S, LoopLag

from tests.support.clock import run_paused
from tests.support.platform_site import open_site

PROMPT = ((b'X-Model', b'm'), (b'X-Token-Usage', b'1460,80'))


class TestLag(unittest.TestCase):
    def test_timer_that_is_late_tells_how_long_things_wait(self):
        """The process gets no processor time for a second and a half."""

        async def check():
            behind_s = [0.0]
            lag = LoopLag(clock=lambda: anyio.current_time() + behind_s[0])
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(lag.run)
                await anyio.sleep(10 * PERIOD_S)
                calm = lag.estimated_wait_s()
                behind_s[0] = 1.5
                at_once = lag.estimated_wait_s()
                await anyio.sleep(PERIOD_S)
                soon = lag.estimated_wait_s()
                await anyio.sleep(3 * PERIOD_S)
                tasks.cancel_scope.cancel()
                return calm, at_once, soon, lag.estimated_wait_s()

        calm, at_once, soon, later = run_paused(check)
        self.assertEqual((calm, later), (0.0, 0.0))
        self.assertGreater(at_once, 1.3)
        self.assertGreater(soon, 1.3)


class TestLateRequests(unittest.TestCase):
    def send(self, target, *, waited_s):
        async def check():
            async with open_site(daemons=1) as site:
                forwarder = site.daemons[0].daemon.parts.forwarder
                forwarder.lag = Waited(waited_s)
                answer = await site.caller(patience_s=1.0).send(
                    site.daemons[0].entry, target, body=b's'
                )
                return answer, len(site.runs())

        return run_paused(check)

    def test_request_whose_caller_has_left_is_not_sent_on(self):
        """A daemon reads a slip when its caller has already given up.

        Sent on, it would run for nobody, and its caller may have asked
        elsewhere by then.
        """
        answer, runs = self.send('/slip/1', waited_s=1.5)
        self.assertEqual((answer.status, runs), (503, 0))
        self.assertGreater(answer.retry_after_s, 0.0)

    def test_request_that_waited_in_time_is_served(self):
        answer, runs = self.send('/slip/1', waited_s=0.3)
        self.assertEqual((answer.status, runs), (200, 1))


class TestConnectionsThatWait(unittest.TestCase):
    def send(self, target, *, wait_s, headers=()):
        """Send a request on a connection that is accepted late."""

        async def check():
            async with open_site(daemons=1) as site:
                entry = site.daemons[0].entry
                site.network.accept_delay_s[entry] = wait_s
                answer = await site.caller(patience_s=1.0).send(
                    entry, target, body=b's', headers=headers
                )
                await anyio.sleep(3)
                arrivals = sum(
                    len(replica.arrivals)
                    for replica in site.replicas_by_id.values()
                )
                return answer, arrivals, len(site.runs())

        return run_paused(check)

    def test_request_whose_caller_left_before_it_was_accepted_is_not_sent(
        self,
    ):
        """A daemon starts again, and its callers connect all at once.

        Connections are accepted one after the other, so some wait for longer
        than their callers do. The daemon's own timers are on time meanwhile:
        the wait is one in the kernel. A slip was sent to an endpoint though
        its caller had left half a second before, and ran for nobody.
        """
        kinds = (
            ('/slip/1', ()),
            ('/list/1', ()),
            ('/draft/1', PROMPT),
            ('/question/1', PROMPT),
        )
        for target, headers in kinds:
            with self.subTest(target=target):
                _, arrivals, runs = self.send(
                    target, wait_s=1.5, headers=headers
                )
                self.assertEqual((arrivals, runs), (0, 0))

    def test_request_that_is_accepted_in_time_is_served(self):
        answer, _, runs = self.send('/slip/1', wait_s=0.5)
        self.assertEqual((answer.status, runs), (200, 1))


class Waited:
    """A lag that does not change."""

    def __init__(self, seconds):
        self.seconds = seconds

    def estimated_wait_s(self):
        return self.seconds
