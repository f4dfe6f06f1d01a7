"""The retry budget: one for all daemons, kept without talking."""

import unittest

import anyio
from mimosamux_daemon.domain.names import ServiceName
from mimosamux_daemon.gateway.limits.retry_budget import (
    RetryBudget,
    RetryLimits,
)
from mimosamux_standins.site import Fault

from tests.support.clock import run_paused
from tests.support.platform_site import open_site

LIMITS = RetryLimits(share=0.2, window_s=10.0, extra=58.0)
APP = ServiceName('app')


async def send_lists(site, number, count, pause_s):
    caller = site.caller()
    entry = site.daemons[number].entry
    for _ in range(count):
        await caller.send(entry, '/list/1', method='GET')
        await anyio.sleep(pause_s)


def most_repeats(site, window_s):
    """Return the most arrivals in any window beyond the first of each."""
    seen, repeats, firsts = set(), [], []
    arrivals = sorted(
        arrival
        for replica in site.replicas_by_id.values()
        for arrival in replica.arrivals
    )
    for at, id_ in arrivals:
        (repeats if id_ in seen else firsts).append(at)
        seen.add(id_)
    worst = -float('inf')
    for start in repeats:
        end = start + window_s
        again = sum(start <= at < end for at in repeats)
        first = sum(start <= at < end for at in firsts)
        worst = max(worst, again - LIMITS.share * first)
    return worst


class TestRetryBudget(unittest.TestCase):
    def test_retries_stay_within_the_budget_when_every_answer_is_an_error(
        self,
    ):
        """Every replica errs, and every request could be sent again.

        Sent again each time, the load on replicas in trouble would double.
        """

        async def check():
            async with open_site() as site:
                for replica in site.replicas_by_id.values():
                    replica.fault = Fault.ERROR
                async with anyio.create_task_group() as tasks:
                    for number in range(3):
                        tasks.start_soon(send_lists, site, number, 300, 0.02)
                return most_repeats(site, LIMITS.window_s)

        self.assertLessEqual(run_paused(check), LIMITS.extra)

    def test_single_failure_is_made_good(self):
        async def check():
            async with open_site() as site:
                for replica in tuple(site.replicas_by_id.values())[3:4]:
                    replica.fault = Fault.ERROR
                caller = site.caller()
                answers = []
                for _ in range(10):
                    answers.append(
                        await caller.send(
                            site.daemons[0].entry, '/list/1', method='GET'
                        )
                    )
                    await anyio.sleep(0.5)
                return [answer.status for answer in answers].count(200)

        self.assertEqual(run_paused(check), 10)

    def test_parts_of_all_daemons_add_up_to_the_limit_at_most(self):
        """Nine daemons that cannot talk each spend all that they may."""

        async def check():
            budgets = [
                RetryBudget(
                    limits=LIMITS,
                    daemons=lambda: 9,
                    clock=anyio.current_time,
                )
                for _ in range(9)
            ]
            requests = retries = 0
            for budget in budgets:
                for _ in range(20):
                    budget.note_request(APP)
                    requests += 1
                while budget.take(APP):
                    retries += 1
            return requests, retries

        requests, retries = run_paused(check)
        self.assertLessEqual(retries, LIMITS.share * requests + LIMITS.extra)
        self.assertGreater(retries, 0)

    def test_daemons_that_start_anew_within_a_window_stay_within_it(self):
        """All daemons die and start again, and each spends what it may."""

        async def check():
            retries = 0
            for _ in range(2):
                budgets = [
                    RetryBudget(
                        limits=LIMITS,
                        daemons=lambda: 9,
                        clock=anyio.current_time,
                    )
                    for _ in range(9)
                ]
                for budget in budgets:
                    while budget.take(APP):
                        retries += 1
            return retries

        self.assertLessEqual(run_paused(check), LIMITS.extra)
