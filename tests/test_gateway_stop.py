"""Stops that are planned: nothing is cut, and callers are led elsewhere."""

import unittest

import anyio
from mimosamux_standins.site import ReplicaSpeed

from tests.support.clock import run_paused
from tests.support.platform_site import ZONES, open_site

GRACE_S = 8.0


class TestStop(unittest.TestCase):
    def test_request_under_way_is_answered_whole(self):
        """A daemon is asked to stop while a replica works on a slip."""

        async def check():
            async with open_site() as site:
                for replica in site.replicas_by_id.values():
                    replica.speed = ReplicaSpeed(work_s=2.0)
                answers = []

                async def send():
                    answers.append(
                        await site.caller().send(
                            site.daemons[0].entry, '/slip/1', body=b'slip'
                        )
                    )

                site.tasks.start_soon(send)
                await anyio.sleep(0.2)
                started = anyio.current_time()
                site.daemons[0].daemon.stop()
                await site.daemons[0].ended.wait()
                took_s = anyio.current_time() - started
                return answers[0].status, answers[0].is_whole, took_s

        status, is_whole, took_s = run_paused(check)
        self.assertEqual((status, is_whole), (200, True))
        self.assertLess(took_s, GRACE_S)

    def test_stopping_daemon_is_named_to_no_caller(self):
        async def check():
            async with open_site() as site:
                site.daemons[0].daemon.stop()
                await anyio.sleep(0.1)
                caller = site.caller()
                directory = site.daemons[1].daemon.settings.discovery
                addresses = await caller.resolve(directory, ZONES[0])
                return site.daemons[0].entry in addresses, len(addresses)

        is_named, count = run_paused(check)
        self.assertFalse(is_named)
        self.assertGreater(count, 0)

    def test_caller_with_an_old_address_is_still_served(self):
        """A caller asked for addresses just before a daemon began to stop."""

        async def check():
            async with open_site() as site:
                site.daemons[0].daemon.stop()
                await anyio.sleep(1.0)
                answer = await site.caller().send(
                    site.daemons[0].entry, '/slip/1', body=b'slip'
                )
                headers = {
                    name.lower(): value for name, value in answer.headers
                }
                return answer.status, headers.get(b'connection')

        self.assertEqual(run_paused(check), (200, b'close'))

    def test_daemons_stopped_in_turn_fail_no_request(self):
        """Each daemon is stopped and started again under steady work."""

        async def check():
            async with open_site() as site:
                caller = site.caller()
                statuses = []

                async def work():
                    while True:
                        directory = next(
                            handle.daemon.settings.discovery
                            for handle in site.daemons
                            if not handle.ended.is_set()
                            and handle.daemon.is_ready()
                        )
                        (entry, *_) = await caller.resolve(directory)
                        answer = await caller.send(entry, '/slip/1')
                        statuses.append(answer.status)
                        await anyio.sleep(0.02)

                with anyio.move_on_after(25):
                    async with anyio.create_task_group() as tasks:
                        tasks.start_soon(work)
                        for number in range(3):
                            await anyio.sleep(1.5)
                            handle = site.daemons[number]
                            handle.daemon.stop()
                            await handle.ended.wait()
                            await site.start_daemon(number).wait()
                return statuses

        statuses = run_paused(check)
        self.assertGreater(len(statuses), 200)
        self.assertEqual(set(statuses), {200})

    def test_holder_that_stops_gives_its_duties_up_at_once(self):
        async def check():
            async with open_site() as site:
                number = next(
                    number
                    for number, handle in enumerate(site.daemons)
                    if handle.daemon.parts.duties.held is not None
                )
                site.daemons[number].daemon.stop()
                await anyio.sleep(1.5)
                return [
                    handle.daemon.parts.duties.held is not None
                    for n, handle in enumerate(site.daemons)
                    if n != number
                ].count(True)

        self.assertEqual(run_paused(check), 1)
