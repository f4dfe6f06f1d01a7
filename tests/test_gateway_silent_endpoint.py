"""Endpoints that stand still for a second and then go on."""

import unittest
from collections import Counter

import anyio

from tests.support import crashes
from tests.support.asking import of_service
from tests.support.clock import run_paused
from tests.support.platform_site import open_site

PATHS = ('/slip/', '/list/', '/draft/', '/question/')
SILENT_S = 1.2
PAUSE_S = 2.0
PER_S = 10.0
PLAY_S = 20.0


async def silence_in_turn(site):
    """Have one endpoint after the other stand still."""
    while True:
        for replica in tuple(site.replicas_by_id.values()):
            replica.silent_until = anyio.current_time() + SILENT_S
            await anyio.sleep(PAUSE_S)


async def play(daemons):
    """Return the answers, what ran, and what daemons think of endpoints."""
    answers = []
    async with open_site(daemons=daemons) as site:
        caller = site.caller()

        async def send(number, path):
            place = number % daemons
            target = f'{path}{number}'
            answer = await crashes.send(site, caller, place, target)
            answers.append((path, answer))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(silence_in_turn, site)
            async with anyio.create_task_group() as sends:
                for number in range(int(PLAY_S * PER_S)):
                    for path in PATHS:
                        sends.start_soon(send, number, path)
                    await anyio.sleep(1 / PER_S)
            tasks.cancel_scope.cancel()
        parts = [handle.daemon.parts for handle in site.daemons]
        return answers, site.runs(), parts


class TestSilentEndpoint(unittest.TestCase):
    # Guards against an endpoint that is given up, or taken for crashed, since
    # it stood still for a second.

    def test_endpoints_that_stand_still_for_a_second_lose_nothing(self):
        for daemons in (3, 9):
            with self.subTest(daemons=daemons):
                answers, runs, parts = run_paused(play, daemons)
                for path in PATHS:
                    asked = [each for at, each in answers if at == path]
                    served = sum(each.status == 200 for each in asked)
                    self.assertGreaterEqual(served, 0.99 * len(asked), path)
                counts = Counter(run.id for run in runs)
                for run in runs:
                    if run.target.startswith('/slip/'):
                        self.assertEqual(counts[run.id], 1)
                for each in parts:
                    self.assertFalse(each.quarantine.suspects.by_content)
                    self.assertFalse(each.reach.is_any_cut_off)


class TestSilentEndpointBesideCrashes(unittest.TestCase):
    # Guards against a request that is lost since all endpoints but the silent
    # one that it left have crashed.

    def test_request_goes_back_to_the_endpoint_that_was_silent(self):
        for path in ('/question/', '/list/'):
            with self.subTest(path=path):
                answer = run_paused(lambda path=path: ask_beside_crash(path))
                self.assertEqual((answer.status, answer.is_whole), (200, True))


async def ask_beside_crash(path):
    """Ask one of two endpoints, which stands still; the other crashes."""
    answers = []
    async with open_site(engines=2, apps=2, daemons=1) as site:
        caller = site.caller()
        replicas = of_service(site, path)
        for replica in replicas:
            replica.silent_until = anyio.current_time() + SILENT_S

        async def send():
            answers.append(await crashes.send(site, caller, 0, f'{path}1'))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send)
            await anyio.sleep(0.05)
            records = site.daemons[0].daemon.parts.roster.by_id
            for replica in replicas:
                if not records[replica.id].open_calls:
                    site.crash_replica(replica)
    (answer,) = answers
    return answer


if __name__ == '__main__':
    unittest.main()
