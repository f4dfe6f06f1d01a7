"""Streams go on only at the software version that began them."""

import random
import unittest
from functools import partial
from types import SimpleNamespace

import anyio
from mimosamux_daemon.domain.gateway import ListedEndpoint
from mimosamux_daemon.domain.names import (
    DataCentreName,
    EndpointId,
    ServiceName,
)
from mimosamux_daemon.domain.rollouts import (
    Rollout,
    RolloutOrder,
    RolloutStage,
)
from mimosamux_daemon.domain.stream_origins import StreamOrigin
from mimosamux_daemon.gateway.balancing.endpoint_record import EndpointRecord
from mimosamux_daemon.gateway.rollouts import RolloutView
from mimosamux_daemon.gateway.streams.origins import (
    KnownOrigin,
    StreamOrigins,
    hash_request,
)
from mimosamux_daemon.gateway.streams.versions import SoftwareVersions
from mimosamux_standins.site import Fault, ReplicaSpeed
from mimosamux_standins.site.caller import last_event_id

from tests.support.clock import run_paused
from tests.support.memory_network import machine_of
from tests.support.platform_site import ZONES, open_site
from tests.support.prompts import prompt_of
from tests.support.site_checks import find_joined_versions

STREAMS = 12
LONG = ReplicaSpeed(events=40, event_s=0.03)


def own_prompt(number):
    """Return the headers of a prompt that shares its first part alone."""
    return prompt_of('5c1e07a2', f'{number:08x}', 'e4402b7d')


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
            headers=own_prompt(number),
        )

    async def break_off(self, trouble, *, begun=STREAMS):
        """Begin all; bring the trouble about once `begun` bring events."""
        async with anyio.create_task_group() as tasks:
            for number in range(STREAMS):
                tasks.start_soon(self.send, number)
            for _ in range(200):
                if sum(run.events > 2 for run in self.site.runs()) >= begun:
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
                headers=own_prompt(number),
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

    def test_daemon_that_starts_under_streams_is_told_of_them(self):
        async def check():
            async with open_site(engines=0, apps=0) as site:
                await add_engines(site, 'v1', 'v2')
                streams = Streams(site)

                async def restart():
                    site.kill_daemon(2)
                    await site.start_daemon(2).wait()
                    await site.daemons[2].daemon.started.wait()
                    site.kill_daemon(0)

                await streams.break_off(lambda: site.tasks.start_soon(restart))
                return await streams.take_up(2)

        resumed = run_paused(check)
        self.assertEqual(len(resumed), STREAMS)
        self.assertEqual(count_served(resumed), STREAMS)

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


def origin_of(software):
    return StreamOrigin(service=ServiceName('llm'), software=software)


class TestOrigins(unittest.TestCase):
    # Guards against messages that arrive late, twice or in another order.

    def setUp(self):
        self.now = 0.0
        self.origins = StreamOrigins(clock=lambda: self.now)

    def add(self, software, attempt, request='a1'):
        known = KnownOrigin(
            origin=origin_of(software),
            attempt=attempt,
            expires_at=self.now + 5.0,
            at=self.now,
            source='peer',
        )
        return self.origins.add(hash_request(request), known)

    def test_later_attempt_replaces_an_earlier_one_and_not_the_reverse(self):
        added = [self.add('v1', 1), self.add('v2', 2), self.add('v1', 1)]
        self.assertEqual(added, [True, True, False])
        self.assertEqual(self.origins.find('a1'), origin_of('v2'))

    def test_origin_is_forgotten_behind_the_deadline(self):
        self.add('v1', 1)
        self.now = 5.0
        self.assertIsNone(self.origins.find('a1'))
        self.add('v1', 1, 'b2')
        self.assertEqual(len(self.origins.by_request), 1)

    def test_origin_that_arrives_behind_its_caller_is_waited_for(self):
        async def check():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.add_later)
                return await self.origins.wait_for('a1', 0.3)

        self.assertEqual(run_paused(check).origin, origin_of('v1'))

    async def add_later(self):
        await anyio.sleep(0.2)
        self.add('v1', 1)


class TestVersions(unittest.TestCase):
    # Guards against a version that is forgotten with its last endpoint.

    def list_endpoint(self, roster, software):
        entry = ListedEndpoint(
            id=EndpointId('e1'),
            service=ServiceName('llm'),
            address='10.0.0.1:80',
            data_centre=DataCentreName('north'),
            slots=8,
            software=software,
        )
        for listener in roster.on_listed:
            listener(EndpointRecord(listed=entry, listed_at=0.0))

    def test_version_before_a_restart_under_the_same_id_counts_on(self):
        roster = SimpleNamespace(on_listed=[], on_forgotten=[])
        now = [0.0]
        versions = SoftwareVersions(roster=roster, clock=lambda: now[0])
        self.list_endpoint(roster, 'v1')
        self.list_endpoint(roster, 'v2')
        service = ServiceName('llm')
        self.assertEqual(len(versions.of(service)), 2)
        now[0] = 31.0
        self.assertEqual(versions.of(service), {origin_of('v2')})

    def test_one_version_in_the_list_is_no_proof_before_the_record_is_read(
        self,
    ):
        roster = SimpleNamespace(on_listed=[], on_forgotten=[])
        versions = SoftwareVersions(roster=roster, clock=lambda: 0.0)
        told = []
        versions.on_several.append(told.append)
        self.list_endpoint(roster, 'v2')
        route = SimpleNamespace(splits=[SimpleNamespace(service='llm')])
        self.assertTrue(versions.are_several(route))
        versions.note_recorded({origin_of('v2')})
        self.assertFalse(versions.are_several(route))
        versions.note_recorded({origin_of('v1'), origin_of('v2')})
        self.assertTrue(versions.are_several(route))
        self.assertEqual(told, ['llm'])

    def test_streams_of_a_reverted_trial_go_on_nowhere(self):
        order = RolloutOrder(
            service=ServiceName('llm'), version='v2', within_s=9.0, number=1
        )
        trial = Rollout(
            order=order, stage=RolloutStage.TRIAL, step=1, began_at=0.0
        )
        for rollout, is_stopped, may_continue in (
            (trial, False, True),
            (trial, True, False),
            (trial.advance(RolloutStage.REVERTED, 'bad'), False, False),
            (trial.advance(RolloutStage.COMPLETED, 'good'), False, True),
        ):
            view = RolloutView(rollout=rollout, is_stopped=is_stopped)
            self.assertEqual(view.may_continue('v2'), may_continue)
            self.assertTrue(view.may_continue('v1'))


class Troubles:
    """Streams that begin one after the other beside troubles of one kind."""

    def __init__(self, site, engines, seed):
        self.site = site
        self.engines = engines
        self.rng = random.Random(seed)
        self.answers = []

    async def ask(self, number):
        """Ask for a stream; take it up at any daemon if it breaks off."""
        caller, target = self.site.caller(), f'/question/{number}'
        fields = {'headers': own_prompt(number % 20), 'body': b'x'}
        answer = await caller.send(self._pick_entry(), target, **fields)
        if not answer.is_whole and last_event_id(answer.body):
            entry = self._pick_entry()
            answer = await caller.resume(answer, entry, target, **fields)
        if answer.status is not None:
            self.answers.append(answer)

    def _pick_entry(self):
        return self.rng.choice(self.site.daemons).entry

    async def crash(self):
        engine = self.engines.pop(self.rng.randrange(len(self.engines)))
        self.site.crash_replica(engine)
        self.engines += await add_engines(self.site, engine.version)
        self.site.unlist_replica(engine)

    async def reset(self):
        address = self.rng.choice(self.engines).address
        self.site.network.reset(lambda each: each.there == machine_of(address))

    async def kill(self):
        number = self.rng.randrange(len(self.site.daemons))
        self.site.kill_daemon(number)
        await self.site.start_daemon(number).wait()


class TestTroubles(unittest.TestCase):
    # Guards against joined streams, and against order bought by refusals.

    def play(self, kind, *, daemons=3, seed=1):
        async def check():
            async with open_site(daemons=daemons, engines=0, apps=0) as site:
                versions = ('v1', 'v2', 'v3') * 3
                engines = await add_engines(site, *versions)
                troubles = Troubles(site, engines, seed)
                async with anyio.create_task_group() as tasks:
                    for number in range(100):
                        tasks.start_soon(troubles.ask, number)
                        if number % 8 == 7:
                            tasks.start_soon(getattr(troubles, kind))
                        await anyio.sleep(0.1)
                return site.runs(), troubles.answers

        runs, answers = run_paused(check)
        self.assertEqual(find_joined_versions(runs), [])
        self.assertGreaterEqual(sum(run.resumed_behind > 0 for run in runs), 5)
        self.assertGreaterEqual(count_served(answers), 0.9 * len(answers))

    def test_streams_go_on_beside_engines_that_crash(self):
        self.play('crash')

    def test_streams_go_on_beside_reset_connections(self):
        self.play('reset')

    def test_streams_go_on_beside_daemons_that_are_killed(self):
        self.play('kill')


if __name__ == '__main__':
    unittest.main()
