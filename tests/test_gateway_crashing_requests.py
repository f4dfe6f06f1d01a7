"""Requests that crash the endpoints that run them."""

import random
import unittest
from contextlib import asynccontextmanager

import anyio
import orjson
from mimosamux_standins.site import Fault
from mimosamux_standins.site.store import StoreTrouble

from tests.support import crashes
from tests.support.clock import run_paused
from tests.support.crashes import CrashingSite, count_arrivals
from tests.support.memory_network import machine_of
from tests.support.platform_site import open_site

MOST_LATE = 3
"""Arrivals that are allowed well behind the third crash, in all."""


class TestCrashingRequests(unittest.TestCase):
    # Guards against a request that ends one endpoint after the other, each
    # time its caller asks for it again at another daemon.

    def check_path(self, path, **fields):
        _, late, served, _ = run_paused(lambda: crashes.play(path, **fields))
        self.assertLessEqual(late, MOST_LATE)
        self.assertGreaterEqual(served, 95)

    def test_draft_that_crashes_engines_is_held_back(self):
        self.check_path('/draft/')

    def test_question_that_crashes_engines_is_held_back(self):
        self.check_path('/question/')

    def test_question_that_crashes_engines_midway_is_held_back(self):
        self.check_path('/question/', crash_after_s=0.1)

    def test_slip_that_crashes_endpoints_is_held_back(self):
        self.check_path('/slip/', crash_after_s=0.02)

    def test_list_that_crashes_endpoints_is_held_back(self):
        self.check_path('/list/', crash_after_s=0.02)

    def test_list_that_hangs_endpoints_before_they_end_is_held_back(self):
        for hang_s in (0.3, 1.5):
            with self.subTest(hang_s=hang_s):
                self.check_path('/list/', crash_after_s=0.02, hang_s=hang_s)

    def test_small_site_serves_others_beside_a_crashing_request(self):
        self.check_path('/question/', endpoints=3)


LIST = '/list/crashing'


@asynccontextmanager
async def open_crashing_site(target=LIST, **fields):
    """Give a site whose endpoints crash under one path."""
    async with open_site(engines=3, apps=9, **fields) as site:
        crashing = CrashingSite(site=site, targets={target})
        crashing.arm()
        yield crashing


async def kill_and_start_all(site):
    for number in range(len(site.daemons)):
        site.kill_daemon(number)
    await anyio.sleep(1.0)
    await site.start_daemons(len(site.daemons))


async def count_late(crashing, *, for_s=15.0):
    """Have the request come again; count arrivals behind the bound."""
    answers = await crashes.repeat(crashing.site, LIST, for_s=for_s)
    ids = {answer.id for answer in answers}
    return crashing.late_arrivals(ids, LIST)


def suspects_of(site, number=0):
    return site.daemons[number].daemon.parts.quarantine.suspects


class TestHeldRequests(unittest.TestCase):
    def test_caller_is_told_at_once_that_it_has_not_run(self):
        async def check():
            async with open_crashing_site() as crashing:
                site = crashing.site
                await crashes.have_held(crashing, LIST)
                before = count_arrivals(site)
                answers = await crashes.repeat(site, LIST, for_s=2.0)
                return answers, count_arrivals(site) - before

        answers, arrived = run_paused(check)
        self.assertEqual(arrived, 0)
        for answer in answers:
            self.assertEqual(answer.status, 503)
            self.assertEqual(
                orjson.loads(answer.body), {'error': 'crashes_endpoints'}
            )
            self.assertGreater(answer.retry_after_s, 10.0)
            self.assertLess(answer.ended_at - answer.sent_at, 0.05)

    def test_other_accounts_and_bodies_are_not_held(self):
        async def check():
            async with open_crashing_site() as crashing:
                site = crashing.site
                await crashes.have_held(crashing, LIST)
                crashing.targets.clear()
                statuses = []
                for key, body in (
                    ('key-office', b'x'),
                    ('key-school', b'z'),
                    ('key-school', b'x'),
                ):
                    caller = site.caller(key=key)
                    answer = await crashes.send(
                        site, caller, 0, LIST, body=body
                    )
                    statuses.append(answer.status)
                return statuses

        self.assertEqual(run_paused(check), [200, 200, 503])

    def test_usage_cap_is_given_back_and_no_demand_is_counted(self):
        async def check():
            async with open_crashing_site('/question/crashing') as crashing:
                site = crashing.site
                target = '/question/crashing'
                await crashes.have_held(crashing, target)
                parts = site.daemons[0].daemon.parts
                noted = []
                parts.forwarder.demand.note = lambda *fields: noted.append(
                    fields
                )
                answer = await crashes.send(site, site.caller(), 0, target)
                return answer.status, noted

        self.assertEqual(run_paused(check), (503, []))

    def test_operator_can_let_one_go(self):
        async def check():
            async with open_crashing_site() as crashing:
                site = crashing.site
                await crashes.have_held(crashing, LIST)
                crashing.targets.clear()
                (held,) = suspects_of(site).quarantined()
                parts = site.daemons[1].daemon.parts
                released = parts.quarantine.release(held.content)
                await anyio.sleep(0.5)
                answers = await crashes.repeat(site, LIST, for_s=2.0)
                rows = site.store.get('crashes', held.content)
                return released, {each.status for each in answers}, rows

        self.assertEqual(run_paused(check), (True, {200}, None))


async def ask_operator(site, path, *, method='GET'):
    address = site.daemons[1].daemon.settings.metrics
    return await site.caller().send(address, path, method=method)


class TestOperators(unittest.TestCase):
    def test_held_request_is_shown_and_let_go(self):
        async def check():
            async with open_crashing_site() as crashing:
                site = crashing.site
                await crashes.have_held(crashing, LIST)
                crashing.targets.clear()
                status = await ask_operator(site, '/v1/operator/status')
                metrics = await ask_operator(site, '/metrics')
                (row,) = orjson.loads(status.body)['held_requests']
                path = f'/v1/operator/release/{row["content"]}'
                answers = [
                    await ask_operator(site, path, method=method)
                    for method in ('GET', 'POST', 'POST')
                ]
                await anyio.sleep(0.5)
                served = await crashes.repeat(site, LIST, for_s=2.0)
                statuses = [answer.status for answer in answers]
                return row, metrics.body, statuses, served

        row, metrics, statuses, served = run_paused(check)
        self.assertEqual(row['crashes'], 3)
        self.assertGreater(row['held_s'], 20.0)
        self.assertIn(b'mimosamux_gateway_suspects{state="held"} 1', metrics)
        self.assertEqual(statuses, [405, 200, 404])
        self.assertEqual({answer.status for answer in served}, {200})


class TestHeldForAll(unittest.TestCase):
    def test_loss_of_all_daemons_behind_the_third_crash_releases_nothing(self):
        async def check():
            async with open_crashing_site() as crashing:
                await crashes.crash_thrice(crashing, LIST)
                await kill_and_start_all(crashing.site)
                return await count_late(crashing)

        self.assertLessEqual(run_paused(check), MOST_LATE)

    def test_daemon_that_started_without_the_table_hears_it_from_peers(self):
        async def check():
            async with open_crashing_site() as crashing:
                site = crashing.site
                await crashes.have_held(crashing, LIST)
                site.store.trouble = StoreTrouble.SILENT
                site.kill_daemon(2)
                await anyio.sleep(1.0)
                await site.start_daemon(2).wait()
                await anyio.sleep(3.0)
                return suspects_of(site, 2).by_content.values()

        (suspect,) = run_paused(check)
        self.assertGreaterEqual(len(suspect.crashed), 3)

    def test_daemons_cut_from_each_other_agree_by_the_table(self):
        async def check():
            async with open_crashing_site() as crashing:
                site = crashing.site
                machines = [handle.machine for handle in site.daemons]
                for first in machines:
                    for second in machines:
                        if first != second:
                            site.network.cut(first, second)
                await anyio.sleep(2.0)
                return await count_late(crashing, for_s=20.0)

        self.assertLessEqual(run_paused(check), MOST_LATE)

    def test_daemons_agree_while_the_table_is_away(self):
        async def check():
            async with open_crashing_site() as crashing:
                crashing.site.store.trouble = StoreTrouble.SILENT
                late = await count_late(crashing)
                return late, len(crashing.crashes)

        late, crashed = run_paused(check)
        self.assertLessEqual(late, MOST_LATE)
        self.assertLessEqual(crashed, 4)

    def test_one_run_tries_a_held_request_however_many_ask(self):
        async def check():
            async with open_crashing_site() as crashing:
                site = crashing.site
                await crashes.crash_thrice(crashing, LIST)
                await anyio.sleep(32.0)
                before = len(crashing.crashes)
                async with anyio.create_task_group() as tasks:
                    for number in range(12):
                        tasks.start_soon(
                            crashes.send, site, site.caller(), number, LIST
                        )
                return len(crashing.crashes) - before

        self.assertEqual(run_paused(check), 1)

    def test_daemons_behind_relays_hear_it_in_time(self):
        async def check():
            async with open_crashing_site(daemons=15) as crashing:
                site = crashing.site
                await crashes.crash_thrice(crashing, LIST)
                await anyio.sleep(crashes.BEHIND_S)
                return [
                    len(list(suspects_of(site, number).quarantined()))
                    for number in range(15)
                ]

        self.assertEqual(run_paused(check), [1] * 15)

    def test_daemon_that_has_just_started_tries_nothing(self):
        async def check():
            async with open_crashing_site() as crashing:
                site = crashing.site
                await crashes.crash_thrice(crashing, LIST)
                await anyio.sleep(32.0)
                await kill_and_start_all(site)
                before = len(crashing.crashes)
                await crashes.repeat(site, LIST, for_s=4.0)
                return len(crashing.crashes) - before

        self.assertEqual(run_paused(check), 0)

    def test_request_that_crashes_again_when_let_run_is_held_for_longer(self):
        async def check():
            async with open_crashing_site() as crashing:
                site = crashing.site
                await crashes.crash_thrice(crashing, LIST)
                await anyio.sleep(32.0)
                before = len(crashing.crashes)
                answers = await crashes.repeat(site, LIST, for_s=30.0)
                (held,) = suspects_of(site).quarantined()
                left_s = suspects_of(site).quarantine_left_s(held.content)
                return len(crashing.crashes) - before, left_s, len(answers)

        crashed, left_s, sent = run_paused(check)
        self.assertEqual(crashed, 1)
        self.assertGreater(left_s, 200.0)
        self.assertGreater(sent, 50)


RUNNING_S = 0.015
"""Time after which a list runs that takes twice as long."""


async def suspected_after(trouble, *, times=6):
    """Return what any daemon suspected after lists met a trouble.

    The trouble is given the endpoint that runs the list at that moment.
    """
    suspected = []
    async with open_site(engines=0, apps=8) as site:
        for handle in site.daemons:
            exchange = handle.daemon.parts.crash_detector.exchange
            exchange.on_suspected.append(suspected.append)
        caller = site.caller()

        async def meet(target):
            await anyio.sleep(RUNNING_S)
            for replica in tuple(site.replicas_by_id.values()):
                for run in replica.runs:
                    if run.target == target and run.ended_at is None:
                        await trouble(site, replica)

        for number in range(times):
            target = f'/list/{number}'
            site.tasks.start_soon(meet, target)
            await crashes.send(site, caller, number, target)
        await anyio.sleep(12.0)
        return suspected


def reset_connections(site, replica):
    machine = machine_of(replica.address)
    site.network.reset(lambda each: machine in (each.here, each.there))


class TestNoCrashes(unittest.TestCase):
    # Guards against holding a request for what is no crash of its endpoint.

    def check_trouble(self, trouble):
        self.assertEqual(run_paused(lambda: suspected_after(trouble)), [])

    def test_broken_and_lost_answers_are_no_crashes(self):
        for fault in (Fault.CUT, Fault.LOST, Fault.ERROR, Fault.EXTRA):

            async def trouble(site, replica, fault=fault):
                replica.fault = fault

            with self.subTest(fault=fault):
                self.check_trouble(trouble)

    def test_reset_connections_are_no_crashes(self):
        async def trouble(site, replica):
            reset_connections(site, replica)

        self.check_trouble(trouble)

    def test_announced_ends_are_no_crashes(self):
        async def trouble(site, replica):
            site.drain_replica(replica)
            await anyio.sleep(0.01)
            site.crash_replica(replica)

        self.check_trouble(trouble)

    def test_vms_without_power_are_no_crashes(self):
        async def trouble(site, replica):
            reset_connections(site, replica)
            site.network.dark.add(machine_of(replica.address))

        self.check_trouble(trouble)

    def test_cuts_that_refuse_connections_are_no_crashes(self):
        async def check():
            async with open_site(engines=0, apps=8) as site:
                listeners = site.network.listeners
                cut = {}

                async def cut_off(target):
                    await anyio.sleep(RUNNING_S)
                    for replica in site.replicas_by_id.values():
                        for run in replica.runs:
                            if run.target == target and run.ended_at is None:
                                reset_connections(site, replica)
                                at = replica.address
                                cut[at] = listeners.pop(at)

                caller = site.caller()
                for number in range(4):
                    target = f'/slip/{number}'
                    site.tasks.start_soon(cut_off, target)
                    await crashes.send(site, caller, number, target)
                await anyio.sleep(3.0)
                listeners.update(cut)
                for number in range(40):
                    await crashes.send(
                        site, caller, number, f'/slip/after-{number}'
                    )
                await anyio.sleep(5.0)
                return len(cut), suspects_of(site).by_content

        count, suspected = run_paused(check)
        self.assertGreaterEqual(count, 4)
        self.assertEqual(suspected, {})

    def test_the_trouble_is_one_of_requests_that_run(self):
        async def trouble(site, replica):
            site.crash_replica(replica)

        suspected = run_paused(lambda: suspected_after(trouble))
        self.assertEqual(len(suspected), 6)

    def test_end_that_only_the_list_tells_is_a_crash(self):
        async def check():
            async with open_crashing_site() as crashing:
                site = crashing.site

                def take_dark(replica, run):
                    reset_connections(site, replica)
                    site.network.dark.add(machine_of(replica.address))
                    site.tasks.start_soon(unlist, replica)

                async def unlist(replica):
                    await anyio.sleep(crashes.EXPIRY_S)
                    site.unlist_replica(replica)

                for replica in site.replicas_by_id.values():
                    replica.on_crash = take_dark
                await crashes.send(site, site.caller(), 0, LIST)
                await anyio.sleep(5.0)
                return [
                    len(suspect.crashed)
                    for suspect in suspects_of(site, 1).by_content.values()
                ]

        self.assertEqual(run_paused(check), [2])


async def play_mix(seed):
    """Return how others fared beside three requests that crash endpoints."""
    rng = random.Random(seed)
    targets = {f'/question/bad-{number}' for number in range(3)}
    async with open_site(engines=9, apps=3, rng=random.Random(seed)) as site:
        crashing = CrashingSite(site=site, targets=targets)
        crashing.crash_after_s = rng.uniform(0.01, 0.12)
        crashing.arm()
        caller, answers = site.caller(), []

        async def ask(number, target):
            for _ in range(2):
                answer = await crashes.send(site, caller, number, target)
                answers.append((target, answer))
                if answer.status == 200 and answer.is_whole:
                    return

        async with anyio.create_task_group() as tasks:
            for number in range(600):
                # Some of what others ask for is popular, most is not.
                one = rng.choice(['popular', f'own-{number}'])
                tasks.start_soon(ask, number, f'/question/{one}')
                if number % 8 == 0:
                    bad = rng.choice(sorted(targets))
                    tasks.start_soon(ask, number, bad)
                await anyio.sleep(0.05)
        others = [each for each in answers if each[0] not in targets]
        accused = sum(is_held(answer) for _, answer in others)
        return accused, len(others), len(crashing.crashes)


def is_held(answer):
    return answer.status == 503 and b'crashes_endpoints' in answer.body


class TestInnocents(unittest.TestCase):
    # Guards against holding what ran beside a request that crashes endpoints.

    def test_neighbours_of_crashes_are_not_held(self):
        for seed in range(1, 6):
            with self.subTest(seed=seed):
                accused, others, crashed = run_paused(
                    lambda seed=seed: play_mix(seed)
                )
                self.assertGreaterEqual(crashed, 9)
                self.assertLessEqual(accused, others // 100)

    def test_popular_request_is_cleared_by_its_whole_runs(self):
        async def check():
            async with open_crashing_site() as crashing:
                site = crashing.site
                popular = []

                async def ask_on():
                    caller = site.caller()
                    while True:
                        answer = await crashes.send(
                            site, caller, len(popular), '/list/popular'
                        )
                        popular.append(answer.status == 200)
                        await anyio.sleep(0.01)

                site.tasks.start_soon(ask_on)
                await crashes.repeat(site, LIST, for_s=10.0)
                await anyio.sleep(1.0)
                return popular

        popular = run_paused(check)
        self.assertGreaterEqual(sum(popular), 0.97 * len(popular))


if __name__ == '__main__':
    unittest.main()
