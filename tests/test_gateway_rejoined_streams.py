"""Streams that are taken up after most or all daemons were killed."""

import random
import unittest
from functools import partial
from unittest import mock

import anyio
from mimosamux_daemon.gateway.streams.version_users import VersionUsers
from mimosamux_standins.site import ReplicaSpeed
from mimosamux_standins.site.caller import last_event_id

from tests.support.clock import run_paused
from tests.support.memory_network import machine_of
from tests.support.platform_site import (
    STORE,
    ZONES,
    PlatformSite,
    open_site,
)
from tests.support.site_checks import find_joined_versions
from tests.test_gateway_evacuation import patient_document
from tests.test_gateway_stream_versions import own_prompt

LONG = ReplicaSpeed(events=100, event_s=0.02)
ENGINES = 4
"""Engines of each version."""
EVERY_S = 0.04
"""Time between two new streams."""
DOWN_S = 0.4
"""Time for which killed daemons are away."""
RETRY_S = 0.3
PATIENCE_S = 12.0
TOUCH_S = 3.0
"""Time after their start from which daemons count as in touch."""


class Rejoined:
    """Streams that go on while daemons are killed under them."""

    def __init__(self, site, *, back_after_s=RETRY_S, seed=1):
        self.site = site
        self.back_after_s = back_after_s
        self.rng = random.Random(seed)
        self.started_at = -TOUCH_S
        """When the daemons were last started."""
        self.broken = 0
        self.went_on_by_stream = {True: {}, False: {}}
        """Whether each went on that was taken up while its version served, by
        whether that was at daemons in touch."""

    async def add_engines(self, version):
        return [
            await self.site.add_replica(
                'llm',
                ZONES[number % 3],
                slots=64,
                version=version,
                speed=LONG,
            )
            for number in range(ENGINES)
        ]

    def serves(self, version):
        """Whether two listed engines of a version take requests."""
        ready = [
            each
            for each in self.site.replicas_by_id.values()
            if each.version == version
            and each.state == 'ready'
            and self.site.store.get('servers', each.id) is not None
        ]
        return len(ready) >= 2

    async def ask(self, number):
        """Ask for a stream; take it up until it goes on."""
        caller, target = self.site.caller(), f'/question/{number}'
        caller.patience_s = PATIENCE_S
        fields = {'headers': own_prompt(number), 'body': b'x'}
        answer = await caller.send(self.pick_entry(), target, **fields)
        if answer.is_whole or not last_event_id(answer.body):
            return
        self.broken += 1
        until = anyio.current_time() + PATIENCE_S
        version = self.version_of(answer.id)
        await anyio.sleep(self.back_after_s)
        while anyio.current_time() < until:
            is_in_touch = anyio.current_time() >= self.started_at + TOUCH_S
            is_served = self.serves(version)
            taken_up = await caller.resume(
                answer, self.pick_entry(), target, **fields
            )
            goes_on = taken_up.status == 200 and taken_up.is_whole
            if is_served:
                self.went_on_by_stream[is_in_touch][number] = goes_on
            if taken_up.status == 200:
                return
            await anyio.sleep(RETRY_S)

    def version_of(self, request):
        return next(
            run.version for run in self.site.runs() if run.id == request
        )

    def pick_entry(self):
        return self.rng.choice(self.site.daemons).entry

    async def ask_steadily(self, seconds):
        async with anyio.create_task_group() as tasks:
            for number in range(int(seconds / EVERY_S)):
                tasks.start_soon(self.ask, number)
                await anyio.sleep(EVERY_S)

    async def kill_daemons(self, *, survivors=0):
        """Kill all daemons but some, and start them again."""
        killed = range(survivors, len(self.site.daemons))
        for number in killed:
            self.site.kill_daemon(number, in_order=number % 2 == 0)
        await anyio.sleep(DOWN_S)
        for number in killed:
            self.site.start_daemon(number)
        self.started_at = anyio.current_time()

    def share(self, *, in_touch):
        """Return the share of streams that went on, and their number."""
        went_on = self.went_on_by_stream[in_touch].values()
        return sum(went_on) / max(len(went_on), 1), len(went_on)


class TestKilledDaemons(unittest.TestCase):
    # Guards against take-ups that join versions, or that nobody lets go on.

    def play(self, change, *, daemons=3, survivors=0, back_after_s=RETRY_S):
        """Have both versions serve; kill the daemons around a change."""

        async def check():
            document = patient_document()
            async with open_site(
                daemons=daemons, engines=0, apps=0, document=document
            ) as site:
                streams = Rejoined(site, back_after_s=back_after_s)
                old = await streams.add_engines('v1')
                await anyio.sleep(1.0)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(streams.ask_steadily, 10.0)
                    await anyio.sleep(2.5)
                    await change(streams, old, survivors)
                return streams, site.runs()

        streams, runs = run_paused(check)
        self.assertEqual(find_joined_versions(runs), [])
        self.assertGreater(streams.broken, 12)
        return streams

    def check_going_on(self, change, **fields):
        """Check that take-ups go on, soon and at daemons in touch."""
        for back_after_s in (RETRY_S, DOWN_S + TOUCH_S + 0.5):
            streams = self.play(change, back_after_s=back_after_s, **fields)
            share, count = streams.share(in_touch=back_after_s > TOUCH_S)
            self.assertGreaterEqual(count, 12)
            self.assertGreaterEqual(share, 0.5)

    def test_streams_of_the_only_version_go_on(self):
        async def change(streams, old, survivors):
            await streams.kill_daemons(survivors=survivors)

        self.check_going_on(change)
        self.check_going_on(change, daemons=9, survivors=1)

    def test_streams_of_two_versions_go_on_each_at_its_own(self):
        async def change(streams, old, survivors):
            await streams.add_engines('v2')
            await anyio.sleep(3.0)
            await streams.kill_daemons(survivors=survivors)

        self.check_going_on(change)
        self.check_going_on(change, daemons=9, survivors=1)

    def check_version_that_goes(self, take_out, *, before_s):
        """Check a version whose engines go some time before the daemons."""

        async def change(streams, old, survivors):
            await streams.add_engines('v2')
            await anyio.sleep(2.0)
            for engine in old:
                take_out(streams.site, engine)
            await anyio.sleep(before_s)
            await streams.kill_daemons(survivors=survivors)

        with self.subTest(before_s=before_s):
            self.play(change)
            self.play(change, daemons=9, survivors=1)

    def test_streams_of_a_version_that_leaves_join_no_other(self):
        for before_s in (0.3, 2.0):
            self.check_version_that_goes(
                PlatformSite.drain_replica, before_s=before_s
            )

    def test_streams_of_a_version_without_entries_join_no_other(self):
        for before_s in (0.3, 1.5, 4.0):
            self.check_version_that_goes(
                PlatformSite.unlist_replica, before_s=before_s
            )

    def test_version_that_is_listed_again_goes_on_with_its_own(self):
        async def change(streams, old, survivors):
            await streams.add_engines('v2')
            await anyio.sleep(2.0)
            for engine in old:
                streams.site.unlist_replica(engine)
            await anyio.sleep(0.3)
            await streams.kill_daemons(survivors=survivors)
            await anyio.sleep(2.0)
            for engine in old:
                streams.site.list_replica(engine)

        self.check_going_on(change)
        self.check_going_on(change, daemons=9, survivors=1)

    def test_version_that_goes_while_all_are_away_is_remembered(self):
        async def change(streams, old, survivors):
            await streams.kill_daemons(survivors=survivors)
            for engine in old:
                streams.site.unlist_replica(engine)
            await streams.add_engines('v2')

        self.play(change)

    def test_streams_go_on_beside_a_version_that_comes_while_all_are_away(
        self,
    ):
        async def change(streams, old, survivors):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(streams.kill_daemons)
                await anyio.sleep(DOWN_S / 2)
                await streams.add_engines('v2')

        self.check_going_on(change)

    def test_streams_of_one_killed_daemon_go_on_beside_a_version_that_comes(
        self,
    ):
        async def change(streams, old, survivors):
            async with anyio.create_task_group() as tasks:
                kill = partial(streams.kill_daemons, survivors=2)
                tasks.start_soon(kill)
                await anyio.sleep(DOWN_S / 2)
                await streams.add_engines('v2')

        for back_after_s in (RETRY_S, DOWN_S + TOUCH_S + 0.5):
            streams = self.play(change, back_after_s=back_after_s)
            soon, late = (
                streams.went_on_by_stream[each] for each in (False, True)
            )
            # Two of the daemons were in touch all the while: a caller may
            # come back before and behind the start of the third.
            went_on = [
                soon.get(number, False) or late.get(number, False)
                for number in soon.keys() | late.keys()
            ]
            self.assertGreaterEqual(len(went_on), 12)
            self.assertGreaterEqual(sum(went_on) / len(went_on), 0.5)

    # Guards against origins that nobody writes since the writer is cut off.
    def test_streams_go_on_where_the_one_that_is_left_was_cut_off(self):
        async def change(streams, old, survivors):
            site = streams.site
            site.network.cut(site.daemons[0].machine, machine_of(STORE))
            site.cut_from_peers(0)
            await streams.add_engines('v2')
            await anyio.sleep(0.9)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(partial(streams.kill_daemons, survivors=1))
                await anyio.sleep(DOWN_S / 2)
                site.network.heal()

        self.check_going_on(change)
        self.check_going_on(change, daemons=9)

    def test_streams_of_a_version_that_came_just_before_join_no_other(self):
        for before_s in (0.02, 0.1, 0.3, 0.6):

            async def change(streams, old, survivors, before_s=before_s):
                await streams.add_engines('v2')
                await anyio.sleep(before_s)
                await streams.kill_daemons(survivors=survivors)

            with self.subTest(before_s=before_s):
                self.play(change)
                self.play(change, survivors=2)

    def test_streams_of_daemons_killed_again_beside_two_join_no_other(self):
        async def change(streams, old, survivors):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(streams.kill_daemons)
                await anyio.sleep(DOWN_S / 2)
                await streams.add_engines('v2')
            await anyio.sleep(1.0)
            await streams.kill_daemons(survivors=survivors)

        for survivors in (0, 1, 2):
            with self.subTest(survivors=survivors):
                self.play(change, survivors=survivors)

    # Guards against a stream at the second version that a daemon began before
    # its row was in the table, and that is then taken for one of the first.
    def test_streams_begun_while_the_table_takes_no_rows_join_no_other(self):
        async def change(streams, old, survivors):
            takes_none = mock.AsyncMock(return_value=False)
            with mock.patch.object(VersionUsers, 'register', takes_none):
                await streams.add_engines('v2')
                await anyio.sleep(1.0)
                for number in range(survivors, len(streams.site.daemons)):
                    streams.site.kill_daemon(number)
            await streams.kill_daemons(survivors=survivors)

        for survivors in (0, 1, 2):
            with self.subTest(survivors=survivors):
                self.play(change, survivors=survivors)

    async def lose_the_record(self, streams):
        """Have the table come back from a copy without the second version."""
        engines = await streams.add_engines('v2')
        await anyio.sleep(3.0)
        await streams.site.restore_store(
            copy_age_s=5.0, away_s=0.1, rewritten_after_s=0.1
        )
        await anyio.sleep(0.8)
        return engines

    def test_origins_that_a_restored_table_has_lost_are_written_again(self):
        async def change(streams, old, survivors):
            await self.lose_the_record(streams)
            await streams.kill_daemons(survivors=survivors)

        self.check_going_on(change)

    def test_versions_that_a_restored_table_has_lost_are_written_again(self):
        async def change(streams, old, survivors):
            engines = await self.lose_the_record(streams)
            for engine in engines:
                streams.site.unlist_replica(engine)
            await streams.kill_daemons(survivors=survivors)

        self.play(change)

    def test_daemons_killed_twice_remember_the_first_time(self):
        async def change(streams, old, survivors):
            await streams.add_engines('v2')
            await anyio.sleep(2.0)
            await streams.kill_daemons()
            await anyio.sleep(1.5)
            for engine in old:
                streams.site.unlist_replica(engine)
            await streams.kill_daemons()

        self.play(change)


if __name__ == '__main__':
    unittest.main()
