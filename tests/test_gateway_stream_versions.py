"""Streams go on only at the software version that began them."""

import unittest
from functools import partial

import anyio
from mimosamux_standins.site import Fault, ReplicaSpeed

from tests.support.clock import run_paused
from tests.support.platform_site import ZONES, open_site
from tests.support.site_checks import find_joined_versions

STREAMS = 12
LONG = ReplicaSpeed(events=40, event_s=0.03)


def prompt_of(number):
    """Return the headers of a prompt that no other stream shares."""
    parts = f'5c1e07a2:800,{number:08x}:410,e4402b7d:250'
    return (
        (b'X-Model', b'm'),
        (b'X-Token-Usage', b'1460,80'),
        (b'X-Prompt-Prefix', parts.encode()),
    )


async def add_engines(site, *versions, listed_s=1.0):
    """Start an engine of each version; return them in order.

    All daemons know them after `listed_s`.
    """
    engines = [
        await site.add_replica(
            'llm', ZONES[number % 3], slots=16, version=version, speed=LONG
        )
        for number, version in enumerate(versions)
    ]
    await anyio.sleep(listed_s)
    return engines


class Streams:
    """Streams that begin together at one daemon."""

    def __init__(self, site, *, path='/question/', daemon=0):
        self.site = site
        self.path = path
        self.entry = site.daemons[daemon].entry
        self.answers = {}

    async def send(self, number):
        self.answers[number] = await self.site.caller(patience_s=15.0).send(
            self.entry,
            f'{self.path}{number}',
            body=b'x',
            headers=prompt_of(number),
        )

    async def break_off(self, trouble):
        """Begin all, and bring the trouble about once all bring events."""
        async with anyio.create_task_group() as tasks:
            for number in range(STREAMS):
                tasks.start_soon(self.send, number)
            for _ in range(200):
                if sum(run.events > 2 for run in self.site.runs()) >= STREAMS:
                    return trouble()
                await anyio.sleep(0.01)
            raise AssertionError('not all streams have begun')

    async def take_up(self, daemon, **fields):
        """Take up all that broke off, at another daemon."""
        entry = self.site.daemons[daemon].entry
        resumed = {}

        async def resume(number, broken):
            resumed[number] = await self.site.caller().resume(
                broken,
                entry,
                f'{self.path}{number}',
                headers=prompt_of(number),
                body=b'x',
                **fields,
            )

        async with anyio.create_task_group() as tasks:
            for number, answer in self.answers.items():
                if not answer.is_whole:
                    tasks.start_soon(resume, number, answer)
        return list(resumed.values())


def count_served(answers):
    return sum(each.status == 200 and each.is_whole for each in answers)


class TestInOneAnswer(unittest.TestCase):
    # Guards against an answer whose events two software versions wrote.

    def play(self, *versions, path='/question/', is_announced=False):
        """Have the first engine end; return what joined and was whole."""

        async def check():
            async with open_site(engines=0, apps=0) as site:
                engine = (await add_engines(site, *versions))[0]
                streams = Streams(site, path=path)

                def reclaim():
                    engine.leaves_ms = 600
                    site.drain_replica(engine)

                crash = partial(site.crash_replica, engine)
                await streams.break_off(reclaim if is_announced else crash)
                joined = find_joined_versions(site.runs())
                return joined, count_served(streams.answers.values()), site

        return run_paused(check)

    def test_stream_of_a_crashed_engine_goes_on_at_its_version(self):
        joined, whole, _ = self.play('v1', 'v2', 'v1', 'v2')
        self.assertEqual((joined, whole), ([], STREAMS))

    def test_stream_whose_version_is_gone_breaks_off(self):
        joined, whole, site = self.play('v1', 'v2', 'v2')
        began = {run.id for run in site.runs() if run.version == 'v1'}
        self.assertGreater(len(began), 0)
        self.assertEqual((joined, whole), ([], STREAMS - len(began)))

    def test_stream_of_a_leaving_engine_is_moved_within_its_version(self):
        joined, whole, site = self.play(
            'v1', 'v2', 'v1', 'v2', path='/draft/', is_announced=True
        )
        self.assertEqual((joined, whole), ([], STREAMS))
        self.assertGreater(sum(bool(run.kv_source) for run in site.runs()), 0)


class TestTakenUp(unittest.TestCase):
    # Guards against a caller whose stream goes on at another version.

    def play(self, *, daemons=3, killed=(0,), to=1):
        """Kill daemons and an engine under streams; have these taken up."""

        async def check():
            versions = ('v1', 'v2', 'v1', 'v2')
            async with open_site(daemons=daemons, engines=0, apps=0) as site:
                engine = (await add_engines(site, *versions))[0]
                streams = Streams(site)

                def kill():
                    site.crash_replica(engine)
                    for number in killed:
                        site.kill_daemon(number)

                await streams.break_off(kill)
                resumed = await streams.take_up(to)
                return find_joined_versions(site.runs()), resumed

        joined, resumed = run_paused(check)
        self.assertEqual((joined, len(resumed)), ([], STREAMS))
        self.assertEqual(count_served(resumed), STREAMS)

    def test_stream_of_a_killed_daemon_goes_on_at_its_version(self):
        self.play()

    def test_stream_of_a_killed_daemon_goes_on_behind_relays(self):
        self.play(daemons=13, to=9)

    def test_stream_of_two_killed_daemons_goes_on_at_the_third(self):
        self.play(killed=(0, 1), to=2)

    def test_second_version_that_starts_under_streams_joins_none(self):
        async def check():
            async with open_site(engines=0, apps=0) as site:
                engine = (await add_engines(site, *('v1',) * 3))[0]
                streams = Streams(site)

                async def bring_in():
                    await add_engines(site, 'v2', 'v2', listed_s=0.3)
                    site.crash_replica(engine)
                    site.kill_daemon(0)

                await streams.break_off(
                    lambda: site.tasks.start_soon(bring_in)
                )
                resumed = await streams.take_up(1)
                return find_joined_versions(site.runs()), resumed

        joined, resumed = run_paused(check)
        self.assertEqual((joined, count_served(resumed)), ([], STREAMS))

    def take_up_unknown(self, *versions):
        async def check():
            async with open_site(engines=0, apps=0) as site:
                for engine in await add_engines(site, *versions):
                    engine.fault = Fault.CUT
                streams = Streams(site, path='/question/')
                await streams.break_off(lambda: None)
                for engine in site.replicas_by_id.values():
                    engine.fault = Fault.NONE
                answers = await streams.take_up(1, began='f' * 16)
                ran = {run.id for run in site.runs()}
                return answers, sum(each.id in ran for each in answers)

        return run_paused(check)

    def test_stream_that_nobody_knows_is_refused_as_not_run(self):
        answers, count = self.take_up_unknown('v1', 'v2')
        self.assertEqual(count, 0)
        for answer in answers:
            self.assertEqual(answer.status, 503)
            self.assertIn(b'stream_origin_unknown', answer.body)
            self.assertIsNotNone(answer.retry_after_s)
            self.assertLess(answer.ended_at - answer.sent_at, 0.5)

    def test_stream_that_nobody_knows_goes_on_where_there_is_one_version(self):
        answers, count = self.take_up_unknown('v1', 'v1')
        self.assertGreater(count, 0)
        self.assertEqual(count_served(answers), len(answers))

    def test_stream_whose_version_is_gone_is_refused_at_once(self):
        async def check():
            async with open_site(engines=0, apps=0) as site:
                (old,) = await add_engines(site, 'v1')
                streams = Streams(site)
                await streams.break_off(partial(site.crash_replica, old))
                site.unlist_replica(old)
                await add_engines(site, 'v2')
                await anyio.sleep(1.0)
                return await streams.take_up(1), site.runs()

        answers, runs = run_paused(check)
        self.assertEqual((find_joined_versions(runs), len(answers)), ([], 12))
        for answer in answers:
            self.assertEqual(answer.status, 503)
            self.assertLess(answer.ended_at - answer.sent_at, 0.1)


if __name__ == '__main__':
    unittest.main()
