"""What daemons do that are cut off from all endpoints only."""

import unittest
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field

import anyio
from mimosamux_standins.site import ReplicaSpeed

from tests.support import crashes
from tests.support.asking import of_service
from tests.support.clock import run_paused
from tests.support.memory_network import machine_of
from tests.support.platform_site import STORE, Partition, open_site

PATHS = ('/slip/', '/list/', '/draft/', '/question/')
PER_S = 10.0
CUT_S = 12.0
CONTACT_S = 3.0
"""Time within which a daemon has to find a way around."""
LEAST_SERVED = 2 / 3
"""Share of the first attempts served, against those at other daemons."""


@dataclass(kw_only=True)
class Attempts:
    """First attempts of callers during a partition."""

    by_cut: dict = field(default_factory=lambda: {True: [], False: []})
    """Whether the daemon was cut off, and the answers of such ones."""

    def served(self, is_cut):
        return sum(each.status == 200 for each in self.by_cut[is_cut])

    def share(self, is_cut):
        return self.served(is_cut) / max(len(self.by_cut[is_cut]), 1)


async def ask_all(site, attempts, cut, for_s):
    """Send requests of each kind to the daemons in turn."""
    caller = site.caller()

    async def send(number, path):
        place = number % len(site.daemons)
        answer = await crashes.send(site, caller, place, f'{path}{number}')
        attempts.by_cut[place in cut].append(answer)

    async with anyio.create_task_group() as tasks:
        for number in range(int(for_s * PER_S)):
            for path in PATHS:
                tasks.start_soon(send, number, path)
            await anyio.sleep(1 / PER_S)


async def ask_on_cut_daemons(site, attempts, cut, for_s):
    """Send drafts to daemons that are cut off."""
    caller = site.caller()

    async def send(place, number):
        answer = await crashes.send(site, caller, place, f'/draft/{number}')
        attempts.by_cut[True].append(answer)

    async with anyio.create_task_group() as tasks:
        for number in range(int(for_s * PER_S)):
            for place in cut:
                tasks.start_soon(send, place, number)
            await anyio.sleep(1 / PER_S)


async def play(partition, *, daemons, cut):
    """Cut daemons off; return the first attempts from `CONTACT_S` on."""
    async with open_site(daemons=daemons, engines=6, apps=6) as site:
        await ask_all(site, Attempts(), cut, 2.0)
        for number in cut:
            site.partition_from_endpoints(number, partition)
        await ask_all(site, Attempts(), cut, CONTACT_S)
        attempts = Attempts()
        await ask_all(site, attempts, cut, CUT_S - CONTACT_S)
        return attempts


class TestPartition(unittest.TestCase):
    # Guards against daemons that refuse all that they get while others could
    # serve it.

    def check(self, partition, **sizes):
        attempts = run_paused(lambda: play(partition, **sizes))
        failed = len(attempts.by_cut[True]) - attempts.served(True)
        everyone = sum(map(len, attempts.by_cut.values()))
        self.assertGreaterEqual(
            attempts.share(True), LEAST_SERVED * attempts.share(False)
        )
        self.assertLessEqual(failed, 10 + everyone / 50)
        self.assertGreater(attempts.share(False), 0.95)

    def test_some_daemons_that_reach_no_endpoint_serve_their_callers(self):
        for partition in Partition:
            with self.subTest(partition=partition.name):
                self.check(partition, daemons=9, cut={1, 4, 7})

    def test_so_do_most_of_them(self):
        for partition in Partition:
            with self.subTest(partition=partition.name):
                self.check(partition, daemons=9, cut={0, 1, 3, 4, 6, 7})

    def test_so_does_one_of_many(self):
        for partition in Partition:
            with self.subTest(partition=partition.name):
                self.check(partition, daemons=15, cut={5})

    def test_request_that_finds_the_cut_out_is_served_all_the_same(self):
        async def check():
            async with open_site(daemons=3, engines=2, apps=2) as site:
                site.partition_from_endpoints(1, Partition.HANGS)
                return await crashes.send(site, site.caller(), 1, '/slip/1')

        self.assertEqual(run_paused(check).status, 200)

    def test_idle_connections_are_not_used_during_a_cut(self):
        async def check():
            async with open_site(daemons=3, engines=3, apps=3) as site:
                caller = site.caller()
                async with anyio.create_task_group() as tasks:
                    for number in range(60):
                        tasks.start_soon(
                            crashes.send, site, caller, 1, f'/slip/{number}'
                        )
                site.partition_from_endpoints(1, Partition.HANGS)
                answers = []

                async def send(number):
                    target = f'/slip/during-{number}'
                    answers.append(await crashes.send(site, caller, 1, target))

                async with anyio.create_task_group() as tasks:
                    for number in range(20):
                        tasks.start_soon(send, number)
                        await anyio.sleep(0.4)
                cut_at = min(each.sent_at for each in answers)
                return [
                    each
                    for each in answers
                    if each.sent_at > cut_at + CONTACT_S
                ]

        for answer in run_paused(check):
            self.assertEqual(answer.status, 200)

    def test_a_daemon_may_be_cut_off_from_one_service_only(self):
        async def check():
            async with open_site(daemons=3, engines=3, apps=3) as site:
                alone = site.daemons[1].machine
                for replica in of_service(site, '/list/'):
                    site.network.cut(alone, machine_of(replica.address))
                await ask_all(site, Attempts(), {1}, CONTACT_S)
                attempts = Attempts()
                await ask_all(site, attempts, {1}, 3.0)
                reach = site.daemons[1].daemon.parts.reach
                return attempts, reach.is_cut_off_from('llm')

        attempts, is_other_cut_off = run_paused(check)
        self.assertEqual(attempts.share(True), 1.0)
        self.assertFalse(is_other_cut_off)

    def test_cut_that_comes_and_goes_leaves_most_callers_served(self):
        async def flap(site):
            while True:
                site.partition_from_endpoints(1, Partition.HANGS)
                await anyio.sleep(1.5)
                site.network.heal()
                await anyio.sleep(1.5)

        async def check():
            async with open_site(daemons=3, engines=3, apps=3) as site:
                attempts = Attempts()
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(flap, site)
                    await ask_all(site, attempts, {1}, CUT_S)
                    tasks.cancel_scope.cancel()
                return attempts

        attempts = run_paused(check)
        self.assertGreaterEqual(attempts.share(True), LEAST_SERVED)
        self.assertGreater(attempts.share(False), 0.95)

    def test_cut_daemon_that_stops_ends_no_request_unanswered(self):
        async def check():
            async with open_site(daemons=3, engines=3, apps=3) as site:
                site.partition_from_endpoints(1, Partition.HANGS)
                await ask_all(site, Attempts(), {1}, CONTACT_S)
                attempts = Attempts()
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(
                        ask_on_cut_daemons, site, attempts, {1}, 0.5
                    )
                    await anyio.sleep(0.55)
                    site.daemons[1].daemon.stop()
                return attempts.by_cut[True]

        answers = run_paused(check)
        self.assertTrue(answers)
        for answer in answers:
            self.assertEqual(answer.status, 200)
            self.assertTrue(answer.is_whole)

    def test_all_that_reach_no_endpoint_refuse_at_once(self):
        async def check():
            async with open_site(daemons=3, engines=3, apps=3) as site:
                for number in range(3):
                    site.partition_from_endpoints(number, Partition.HANGS)
                await ask_all(site, Attempts(), set(), CONTACT_S)
                attempts = Attempts()
                await ask_all(site, attempts, set(), 2.0)
                return attempts.by_cut[False]

        for answer in run_paused(check):
            self.assertEqual(answer.status, 503)
            self.assertGreater(answer.retry_after_s, 0)
            self.assertLess(answer.ended_at - answer.sent_at, 0.6)

    def test_direct_connections_are_used_again_afterwards(self):
        async def check():
            async with open_site(daemons=3, engines=3, apps=3) as site:
                site.partition_from_endpoints(1, Partition.HANGS)
                await ask_all(site, Attempts(), {1}, CONTACT_S)
                site.network.heal()
                await anyio.sleep(1.0)
                reach = site.daemons[1].daemon.parts.reach
                attempts = Attempts()
                await ask_all(site, attempts, {1}, 2.0)
                return reach.is_any_cut_off, attempts

        is_cut_off, attempts = run_paused(check)
        self.assertFalse(is_cut_off)
        self.assertEqual(attempts.share(True), 1.0)

    def test_endpoints_that_end_together_are_no_partition(self):
        async def check():
            async with open_site(daemons=3, engines=8, apps=8) as site:
                await ask_all(site, Attempts(), set(), 1.0)
                replicas = list(site.replicas_by_id.values())
                for replica in replicas[::2]:
                    site.network.dark.add(machine_of(replica.address))
                unreached = []
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(
                        ask_all, site, Attempts(), set(), CONTACT_S
                    )
                    for _ in range(int(CONTACT_S / 0.05)):
                        await anyio.sleep(0.05)
                        unreached += [
                            handle.daemon.parts.reach.is_any_cut_off
                            for handle in site.daemons
                        ]
                return unreached

        self.assertNotIn(True, run_paused(check))

    def test_service_whose_endpoints_all_ended_keeps_no_callers_away(self):
        async def check():
            async with open_site(daemons=3, engines=3, apps=3) as site:
                ended = of_service(site, '/list/')
                for replica in ended:
                    site.network.dark.add(machine_of(replica.address))
                await ask_on_cut_daemons(site, Attempts(), {1}, 0.2)
                caller = site.caller()
                for number in range(6):
                    await crashes.send(site, caller, 1, f'/list/{number}')
                for replica in ended:
                    site.unlist_replica(replica)
                await anyio.sleep(2.0)
                directory = site.daemons[0].daemon.settings.discovery
                told = await site.caller().resolve(directory)
                return told, site.daemons[1].entry

        told, entry = run_paused(check)
        self.assertIn(entry, told)

    def test_callers_are_sent_to_daemons_that_reach_endpoints(self):
        async def check():
            async with open_site(daemons=9, engines=3, apps=3) as site:
                cut = {0, 1, 3, 4, 6, 7}
                for number in cut:
                    site.partition_from_endpoints(number, Partition.RESETS)
                await ask_all(site, Attempts(), cut, CONTACT_S)
                directory = site.daemons[0].daemon.settings.discovery
                told = await site.caller().resolve(directory, 'north')
                return told, {site.daemons[each].entry for each in cut}

        told, cut = run_paused(check)
        self.assertTrue(told)
        self.assertFalse(cut & set(told))

    def test_a_partition_makes_no_endpoint_seem_crashed(self):
        async def check():
            async with open_site(daemons=3, engines=3, apps=3) as site:
                await ask_all(site, Attempts(), {1}, 1.0)
                site.partition_from_endpoints(1, Partition.RESETS)
                await ask_all(site, Attempts(), {1}, CONTACT_S)
                return [
                    dict(handle.daemon.parts.quarantine.suspects.by_content)
                    for handle in site.daemons
                ]

        self.assertEqual(run_paused(check), [{}, {}, {}])

    def test_what_may_not_repeat_runs_once_though_the_peer_dies(self):
        async def check():
            async with open_site(daemons=3, engines=3, apps=3) as site:
                site.partition_from_endpoints(1, Partition.HANGS)
                await ask_all(site, Attempts(), {1}, CONTACT_S)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(ask_all, site, Attempts(), {1}, 2.0)
                    await anyio.sleep(1.0)
                    site.kill_daemon(0)
                counts = Counter(run.id for run in site.runs())
                return [
                    run.target for run in site.runs() if counts[run.id] > 1
                ]

        repeated = run_paused(check)
        self.assertFalse([each for each in repeated if '/slip/' in each])

    def test_peer_that_stops_cuts_off_no_tunnel_that_is_in_use(self):
        async def check():
            async with open_site(daemons=3, engines=3, apps=3) as site:
                for number in (0, 1):
                    site.partition_from_endpoints(number, Partition.HANGS)
                await ask_all(site, Attempts(), {0, 1}, CONTACT_S)
                attempts = Attempts()
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(
                        ask_on_cut_daemons, site, attempts, {0, 1}, 0.5
                    )
                    await anyio.sleep(0.3)
                    site.daemons[2].daemon.stop()
                return attempts.by_cut[True]

        for answer in run_paused(check):
            self.assertIn(answer.status, (200, 503))
            if answer.status == 200:
                self.assertTrue(answer.is_whole)

    def test_nor_one_whose_answer_takes_seconds(self):
        async def check():
            async with open_site(daemons=2, engines=3, apps=3) as site:
                for replica in site.replicas_by_id.values():
                    replica.speed = ReplicaSpeed(events=50, event_s=0.1)
                site.partition_from_endpoints(0, Partition.HANGS)
                await ask_all(site, Attempts(), {0}, CONTACT_S)
                caller, answers = site.caller(patience_s=10.0), []

                async def send(number):
                    target = f'/draft/long-{number}'
                    answers.append(await crashes.send(site, caller, 0, target))

                async with anyio.create_task_group() as tasks:
                    for number in range(3):
                        tasks.start_soon(send, number)
                    await anyio.sleep(0.5)
                    site.daemons[1].daemon.stop()
                return answers

        answers = run_paused(check)
        self.assertEqual([each.status for each in answers], [200] * 3)
        self.assertTrue(all(each.is_whole for each in answers))


class TestTunnels(unittest.TestCase):
    # Guards against a daemon that lets anyone connect to anything.

    def test_tunnels_lead_to_endpoints_only(self):
        async def check(target):
            async with open_site(daemons=1, engines=1, apps=1) as site:
                tunnel = site.daemons[0].daemon.settings.place.tunnel
                connection = await site.network.at('10.250.0.1').connect(
                    tunnel
                )
                await connection.send(target)
                data = b''
                with anyio.move_on_after(3.0), suppress(anyio.EndOfStream):
                    while b'\r\n' not in data:
                        data += await connection.receive()
                return data.partition(b'\r\n')[0]

        head = b'CONNECT %s HTTP/1.1\r\nHost: x\r\n\r\n'
        store = head % STORE.encode()
        self.assertIn(b' 403 ', run_paused(check, store))
        self.assertEqual(run_paused(check, b'GET / HTTP/1.1\r\n\r\n'), b'')
        self.assertEqual(run_paused(check, b'\x16\x03\x01 nonsense'), b'')
        self.assertEqual(run_paused(check, b'CONNECT'), b'')

    def test_reset_of_an_endpoint_is_no_end_of_its_answer(self):
        async def check():
            async with open_site(daemons=1, engines=1, apps=1) as site:
                tunnel = site.daemons[0].daemon.settings.place.tunnel
                replica = next(iter(site.replicas_by_id.values()))
                connection = await site.network.at('10.250.0.1').connect(
                    tunnel
                )
                address = replica.address.encode()
                await connection.send(
                    b'CONNECT %s HTTP/1.1\r\nHost: x\r\n\r\n' % address
                )
                self.assertIn(b' 200 ', await connection.receive())
                there = machine_of(replica.address)
                site.network.reset(lambda each: each.there == there)
                with self.assertRaises(anyio.BrokenResourceError):
                    await connection.receive()

        run_paused(check)


if __name__ == '__main__':
    unittest.main()
