"""Streams taken up at a daemon that has not heard of a second version."""

import unittest

import anyio
from mimosamux_standins.site import Fault, ReplicaSpeed
from mimosamux_standins.site.store import StoreTrouble

from tests.support.clock import run_paused
from tests.support.memory_network import machine_of
from tests.support.platform_site import STORE, ZONES, open_site
from tests.support.site_checks import find_joined_versions
from tests.test_gateway_stream_versions import (
    STREAMS,
    Streams,
    add_engines,
    count_served,
)

LISTED_S = (0.05, 0.3, 1.0)
"""Times between the listing of the second version and the first streams."""


async def delay(seconds, action):
    await anyio.sleep(seconds)
    await action()


class CutOffDaemon:
    """The last daemon of a site, cut off while a second version joins."""

    def __init__(self, site, *, from_table=True, from_peers=True):
        self.site = site
        self.number = len(site.daemons) - 1
        self.from_table = from_table
        self.from_peers = from_peers

    def cut(self):
        machine = self.site.daemons[self.number].machine
        if self.from_table:
            self.site.network.cut(machine, machine_of(STORE))
        if self.from_peers:
            self.site.cut_from_peers(self.number)


class TestOutOfStep(unittest.TestCase):
    # Guards against a daemon that takes what it has not heard for agreement.

    def play(self, *, daemons, listed_s, heals=False, **cut):
        """Return the joined streams, the answers there, and elsewhere."""

        async def check():
            async with open_site(daemons=daemons, engines=0, apps=0) as site:
                await add_engines(site, *('v1',) * 3)
                alone = CutOffDaemon(site, **cut)
                alone.cut()
                await add_engines(site, *('v2',) * 6, listed_s=listed_s)
                streams = Streams(site)
                await streams.break_off(lambda: site.kill_daemon(0))
                if heals:
                    site.network.heal()
                taken_up = await streams.take_up(alone.number)
                await anyio.sleep(0.1)
                elsewhere = await streams.take_up(1)
                joined = find_joined_versions(site.runs())
                return joined, taken_up, elsewhere

        return run_paused(check)

    def check(self, **fields):
        for listed_s in LISTED_S:
            with self.subTest(listed_s=listed_s, **fields):
                joined, taken_up, elsewhere = self.play(
                    listed_s=listed_s, **fields
                )
                self.assertEqual(joined, [])
                self.assertEqual(len(taken_up), STREAMS)
                for answer in taken_up:
                    self.assertIn(answer.status, (200, 503))
                self.assertEqual(count_served(elsewhere), STREAMS)

    def test_daemon_cut_off_from_table_and_peers_joins_no_streams(self):
        self.check(daemons=3)
        self.check(daemons=9)

    def test_daemons_cut_off_together_join_no_streams(self):
        async def check():
            async with open_site(daemons=9, engines=0, apps=0) as site:
                await add_engines(site, *('v1',) * 3)
                machines = [daemon.machine for daemon in site.daemons]
                alone, others = machines[6:], machines[:6]
                for machine in alone:
                    site.network.cut(machine, machine_of(STORE))
                    for other in others:
                        site.network.cut(machine, other)
                await add_engines(site, *('v2',) * 6, listed_s=0.3)
                streams = Streams(site)
                await streams.break_off(lambda: site.kill_daemon(0))
                taken_up = await streams.take_up(8)
                return find_joined_versions(site.runs()), taken_up

        joined, taken_up = run_paused(check)
        self.assertEqual((joined, len(taken_up)), ([], STREAMS))

    def test_daemon_cut_off_from_one_of_them_joins_no_streams(self):
        for daemons in (3, 9):
            self.check(daemons=daemons, from_table=False)
            self.check(daemons=daemons, from_peers=False)

    def test_daemon_that_has_just_been_reached_again_joins_no_streams(self):
        self.check(daemons=3, heals=True)
        self.check(daemons=9, heals=True)

    # Guards against word of a first attempt at which no event was made.
    def test_daemon_that_heard_of_one_attempt_joins_no_streams(self):
        async def check():
            async with open_site(engines=0, apps=0) as site:
                slow = ReplicaSpeed(events=40, event_s=0.03, token_s=4e-4)
                engine = await site.add_replica(
                    'llm', ZONES[0], slots=16, version='v1', speed=slow
                )
                alone = CutOffDaemon(site)
                streams = Streams(site)
                await anyio.sleep(1.0)

                async def fail_over():
                    versions = ('v1', 'v2', 'v2', 'v2')
                    await add_engines(site, *versions, listed_s=0.05)
                    alone.cut()
                    site.crash_replica(engine)

                site.tasks.start_soon(delay, 0.1, fail_over)
                # The budget for retries lets most of them fail over.
                await streams.break_off(lambda: site.kill_daemon(0), begun=9)
                streams.answers = {
                    number: answer
                    for number, answer in streams.answers.items()
                    if answer.body.startswith(b'id')
                }
                taken_up = await streams.take_up(alone.number)
                return find_joined_versions(site.runs()), taken_up

        joined, taken_up = run_paused(check)
        self.assertEqual((joined, len(taken_up)), ([], 9))

    # Guards against streams that are lost while only the table is away.
    def test_streams_of_one_version_go_on_while_the_table_is_silent(self):
        async def check():
            async with open_site(engines=0, apps=0) as site:
                engines = await add_engines(site, *('v1',) * 3)
                streams = Streams(site)

                def strike():
                    site.store.trouble = StoreTrouble.SILENT
                    for engine in engines:
                        engine.fault = Fault.CUT

                await streams.break_off(strike)
                for engine in engines:
                    engine.fault = Fault.NONE
                return await streams.take_up(1)

        taken_up = run_paused(check)
        self.assertGreater(len(taken_up), 0)
        self.assertEqual(count_served(taken_up), len(taken_up))

    # Guards against the same at a site that is too large to ask everybody.
    def test_streams_go_on_behind_relays_while_the_table_is_silent(self):
        async def check():
            async with open_site(daemons=13, engines=0, apps=0) as site:
                await add_engines(site, 'v1', 'v2', 'v1', 'v2')
                await anyio.sleep(1.0)
                streams = Streams(site)

                def strike():
                    site.store.trouble = StoreTrouble.SILENT
                    site.kill_daemon(0)

                await streams.break_off(strike)
                taken_up = await streams.take_up(9)
                return find_joined_versions(site.runs()), taken_up

        joined, taken_up = run_paused(check)
        self.assertEqual((joined, len(taken_up)), ([], STREAMS))
        self.assertEqual(count_served(taken_up), STREAMS)


if __name__ == '__main__':
    unittest.main()
