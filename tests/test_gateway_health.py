"""Endpoints that answer badly: left for others, and tried again later."""

import unittest

import anyio
from mimosamux_standins.site import Fault

from tests.support.clock import run_paused
from tests.support.platform_site import open_site


def apps_of(site):
    return [
        replica
        for replica in site.replicas_by_id.values()
        if replica.service == 'app'
    ]


async def send_all(site, target, count, method='GET', pause_s=0.05):
    callers = [site.caller() for _ in range(3)]
    answers = []
    for number in range(count):
        which = number % 3
        answers.append(
            await callers[which].send(
                site.daemons[which].entry, target, method=method
            )
        )
        await anyio.sleep(pause_s)
    return answers


class TestHealth(unittest.TestCase):
    def test_endpoint_that_errs_gets_little_more_work(self):
        """A replica says that it is well, and errs on every request.

        Slips that go there fail and may not be sent again.
        """

        async def check():
            async with open_site() as site:
                apps_of(site)[0].fault = Fault.ERROR
                answers = await send_all(site, '/slip/1', 150, 'POST')
                return [answer.status for answer in answers].count(500)

        self.assertLess(run_paused(check), 25)

    def test_endpoint_that_was_doubted_is_tried_again(self):
        """A replica erred for a while, and is well again."""

        async def check():
            async with open_site() as site:
                bad = apps_of(site)[0]
                bad.fault = Fault.ERROR
                await send_all(site, '/slip/1', 60, 'POST')
                bad.fault = Fault.NONE
                before = len(bad.runs)
                await send_all(site, '/slip/1', 150, 'POST')
                return len(bad.runs) - before

        self.assertGreater(run_paused(check), 15)

    def test_request_that_fails_anywhere_brings_no_endpoint_into_doubt(self):
        """Every replica errs alike, as the requests themselves are wrong."""

        async def check():
            async with open_site() as site:
                for replica in apps_of(site):
                    replica.fault = Fault.ERROR
                await send_all(site, '/slip/1', 90, 'POST')
                return [len(replica.runs) for replica in apps_of(site)]

        self.assertGreater(min(run_paused(check)), 15)

    def test_list_is_had_elsewhere_when_its_endpoint_says_nothing(self):
        """A replica takes a seat list and never answers.

        Its caller would wait for the whole time limit, though two other
        replicas are idle.
        """

        async def check():
            async with open_site() as site:
                apps_of(site)[0].fault = Fault.HANG
                answers = await send_all(site, '/list/1', 12)
                took = [each.ended_at - each.sent_at for each in answers]
                return {each.status for each in answers}, max(took)

        statuses, longest_s = run_paused(check)
        self.assertEqual(statuses, {200})
        self.assertLess(longest_s, 0.6)

    def test_slip_waits_for_its_endpoint_however_silent(self):
        """A replica takes a slip and says nothing for a second.

        Sent elsewhere meanwhile, the slip could go out twice.
        """

        async def check():
            async with open_site(apps=2) as site:
                for replica in apps_of(site):
                    replica.fault = Fault.HANG
                answer = await site.caller().send(
                    site.daemons[0].entry, '/slip/1', body=b'slip'
                )
                return answer.status, len(site.runs())

        self.assertEqual(run_paused(check), (504, 1))
