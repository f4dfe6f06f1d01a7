"""Endpoints that start anew under the id that they had."""

import unittest

import anyio
from mimosamux_daemon.domain.gateway import (
    EndpointState,
    ListedEndpoint,
    PromptInfo,
    PromptPart,
)
from mimosamux_daemon.domain.names import (
    DaemonId,
    DataCentreName,
    EndpointId,
    ServiceName,
)
from mimosamux_daemon.gateway.balancing.prefix_cache_index import (
    PrefixCacheIndex,
)
from mimosamux_daemon.gateway.exchange.endpoint_usage_exchange import (
    EndpointUsageExchange,
)
from mimosamux_daemon.gateway.exchange.neighbours import RecentDigests
from mimosamux_daemon.gateway.exchange.peer_states import (
    DaemonPlace,
    MemberState,
    PeerState,
)
from mimosamux_daemon.gateway.leaving_exchange import LeavingExchange
from mimosamux_daemon.gateway.roster import Roster
from mimosamux_daemon.gateway.store_health import StoreHealth
from mimosamux_daemon.ports.feeds import Unreadable
from mimosamux_standins.site import Fault, ReplicaSpeed
from mimosamux_wire import (
    EndpointsLeave,
    EndpointUse,
    PartsRead,
    StateDigest,
)

from tests.support.clock import run_paused
from tests.support.platform_site import open_site, wall_ms
from tests.test_gateway_crash_exchange import FakePeers, FakeStates
from tests.test_gateway_streams import PROMPT, engines_of

ID = EndpointId('i-1')
APP = ServiceName('app')
BORN = 1_790_000_000_000
LATER = BORN + 60_000
PEER = DaemonId('10.2.0.1:8367')
PROMPT_USE = PromptInfo(
    model='m',
    prompt_tokens=600,
    parts=(PromptPart(id='a1', tokens=500), PromptPart(id='b2', tokens=100)),
)


def entry(incarnation=BORN, *, state=EndpointState.READY):
    return ListedEndpoint(
        id=ID,
        service=APP,
        address='10.9.0.1:80',
        data_centre=DataCentreName('north'),
        slots=6,
        state=state,
        incarnation=incarnation,
    )


def peer_state():
    place = DaemonPlace(
        id=PEER,
        data_centre=DataCentreName('north'),
        region='land',
        entry_address='10.2.0.1:8360',
    )
    return PeerState(
        place=place,
        incarnation=1,
        state=MemberState.READY,
        heard_at=0.0,
        via=PEER,
        digests=RecentDigests(incarnation=1),
    )


def use_digest(incarnation, *, failed=0):
    use = EndpointUse(
        endpoint=ID,
        open_requests=5,
        ended=8,
        failed=failed,
        incarnation=incarnation,
    )
    return StateDigest(endpoints=[use])


def parts_digest(incarnation):
    read = PartsRead(endpoint=ID, parts=['a1'], incarnation=incarnation)
    return StateDigest(parts=[read])


class TestRestartsInTheRoster(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.roster = Roster(
            clock=lambda: self.now,
            time_of_day=lambda: BORN / 1000 + self.now,
            health=StoreHealth(clock=lambda: self.now),
        )
        self.reports = EndpointUsageExchange(
            roster=self.roster, clock=lambda: self.now
        )
        self.parts = PrefixCacheIndex(is_current=self.roster.is_current)
        self.roster.on_restarted.append(lambda old: self.parts.forget(old.id))
        self.peers = FakePeers()
        LeavingExchange(
            roster=self.roster, states=FakeStates(), peers=self.peers
        )
        self.list(entry())

    def list(self, item):
        self.roster.apply(((ID, item),))

    @property
    def record(self):
        return self.roster.by_id[ID]

    def test_nothing_of_before_is_known_of_the_new_process(self):
        """An engine dies with requests, failures and a full cache.

        It starts anew under its id. Judged by what it was, it would be left
        alone, or sent prompts that it has to read all over again.
        """
        self.record.load.begin(4000.0)
        for _ in range(8):
            self.record.health.note(self.now, failed=True)
        self.roster.note_connect(self.record, failed=True)
        self.parts.note_read(ID, PROMPT_USE, BORN)
        self.list(entry(LATER))
        self.assertEqual(self.record.load.total(self.now).requests, 0)
        self.assertIsNone(self.record.health.failure_rate(self.now))
        self.assertFalse(self.record.is_unreachable(self.now))
        self.assertEqual(self.parts.cached_tokens(ID, PROMPT_USE), 0)
        self.assertEqual(len(self.roster.serving(APP)), 1)

    def test_process_that_left_does_not_take_the_new_one_along(self):
        self.list(entry(state=EndpointState.LEAVING))
        self.list(entry(LATER))
        self.assertEqual(len(self.roster.serving(APP)), 1)

    def test_late_entry_of_the_old_process_changes_nothing(self):
        """The old process said that it leaves; that entry lands last."""
        self.list(entry(LATER))
        self.list(entry(BORN, state=EndpointState.LEAVING))
        self.assertEqual(len(self.roster.serving(APP)), 1)
        self.assertEqual(self.record.incarnation, LATER)

    def test_entry_without_a_start_does_not_replace_one_with(self):
        """Another writer's entry under a replica's id looks right."""
        self.list(entry(0, state=EndpointState.LEAVING))
        self.assertEqual(len(self.roster.serving(APP)), 1)

    def test_start_that_is_told_only_later_is_no_new_one(self):
        self.list(entry(0))
        self.setUp()
        record = self.record
        self.list(entry(BORN))
        self.assertIs(self.record, record)

    def test_what_peers_tell_of_the_old_process_is_passed_over(self):
        """A peer has not heard of the new process yet."""
        self.list(entry(LATER))
        self.reports.take(peer_state(), use_digest(BORN, failed=8))
        self.parts.take(peer_state(), parts_digest(BORN))
        self.assertEqual(self.record.load.total(self.now).requests, 0)
        self.assertIsNone(self.record.health.failure_rate(self.now))
        self.assertEqual(self.parts.cached_tokens(ID, PROMPT_USE), 0)

    def test_what_peers_tell_of_the_new_process_counts(self):
        self.list(entry(LATER))
        self.reports.take(peer_state(), use_digest(LATER, failed=8))
        self.parts.take(peer_state(), parts_digest(LATER))
        self.assertEqual(self.record.load.total(self.now).requests, 5)
        self.assertEqual(self.record.health.failure_rate(self.now), 1.0)
        self.assertEqual(self.parts.cached_tokens(ID, PROMPT_USE), 500)

    def test_load_that_a_peer_told_before_does_not_come_back(self):
        """A peer told of five requests at the old process, then of none."""
        self.reports.take(peer_state(), use_digest(BORN))
        self.list(entry(LATER))
        self.reports.take(peer_state(), StateDigest())
        self.assertEqual(self.record.load.total(self.now).requests, 0)

    def test_prompt_that_the_old_process_read_is_not_held_by_the_new(self):
        """The first event arrived just before the list told of the start."""
        self.list(entry(LATER))
        self.parts.note_read(ID, PROMPT_USE, BORN)
        self.assertEqual(self.parts.cached_tokens(ID, PROMPT_USE), 0)

    def hear_leaving(self, incarnation):
        message = EndpointsLeave(
            endpoints=[ID], leave_in_ms=[-1], incarnations=[incarnation]
        )
        take = self.peers.handlers[EndpointsLeave]
        run_paused(lambda: take(PEER, message))

    def test_word_that_the_old_process_leaves_comes_late(self):
        self.list(entry(LATER))
        self.hear_leaving(BORN)
        self.assertEqual(len(self.roster.serving(APP)), 1)

    def test_word_that_the_new_process_leaves_comes_early(self):
        """A peer read the list earlier; here the start is not known yet.

        Listed as ready a moment later, the new process would be sent work
        although it is known to leave.
        """
        self.hear_leaving(LATER)
        self.list(entry(LATER))
        self.assertEqual(self.roster.serving(APP), [])

    def test_unreadable_entry_is_not_used_until_it_can_be_read(self):
        """Another writer's bytes stand where an endpoint's entry was."""
        self.list(Unreadable(problem='no object'))
        self.assertEqual(self.roster.serving(APP), [])
        self.list(entry())
        self.assertEqual(len(self.roster.serving(APP)), 1)

    def test_unreadable_entry_counts_as_there_when_all_are_read_anew(self):
        self.roster.replace({ID: Unreadable(problem='no object')})
        self.assertIsNone(self.record.gone_at)
        self.roster.replace({ID: entry()})
        self.assertEqual(len(self.roster.serving(APP)), 1)


async def send_while_it_starts_anew(site, target, headers, replicas):
    """Send a request, and have its endpoint start anew behind a cut."""
    answers = []

    async def send():
        caller = site.caller(patience_s=15.0)
        answers.append(
            await caller.send(
                site.daemons[0].entry, target, body=b'x', headers=headers
            )
        )

    site.tasks.start_soon(send)
    await anyio.sleep(0.5)
    replica = next(each for each in replicas if each.runs)
    heir = await site.restart_replica(replica)
    at = anyio.current_time()
    await anyio.sleep(3)
    return answers, at, replica, heir


async def open_born(site):
    """Have every replica tell when it started."""
    await anyio.sleep(1)
    for replica in site.replicas_by_id.values():
        replica.born_ms = wall_ms()
        site.list_replica(replica)
    await anyio.sleep(1)


class TestRestartsBehindACut(unittest.TestCase):
    def test_call_at_a_process_that_is_gone_ends_at_once(self):
        """A plain service is cut off, dies and starts anew before it heals.

        No reset tells of its end. The caller of a slip would wait for its
        whole time limit; it may have run, so it is not sent again.
        """

        async def check():
            async with open_site(daemons=1) as site:
                await open_born(site)
                apps = [
                    each
                    for each in site.replicas_by_id.values()
                    if each.service == 'app'
                ]
                for app in apps:
                    app.fault = Fault.HANG
                found = await send_while_it_starts_anew(
                    site, '/slip/1', (), apps
                )
                return (*found, len(site.runs()))

        answers, at, _, _, runs = run_paused(check)
        self.assertEqual([each.status for each in answers], [502])
        self.assertLess(answers[0].ended_at, at + 0.5)
        self.assertLessEqual(runs, 1)

    def test_call_is_not_sent_on_a_connection_to_a_process_that_is_gone(self):
        """A daemon keeps connections to a service that dies behind a cut.

        A slip that is sent on one of them is never answered and counts as
        run; its caller has to ask by telephone.
        """

        async def check():
            async with open_site(daemons=1, apps=1) as site:
                await open_born(site)
                caller, entry_address = site.caller(), site.daemons[0].entry
                app = next(
                    each
                    for each in site.replicas_by_id.values()
                    if each.service == 'app'
                )
                await caller.send(entry_address, '/slip/1', body=b's')
                await site.restart_replica(app)
                await anyio.sleep(0.5)
                return await caller.send(entry_address, '/slip/2', body=b's')

        self.assertEqual(run_paused(check).status, 200)

    def test_stream_at_a_process_that_is_gone_goes_on_elsewhere(self):
        """An engine is cut off, dies and starts anew before it heals.

        Its stream may be resumed, and the caller gets the rest of it from
        another engine, each event once.
        """

        async def check():
            async with open_site(daemons=1) as site:
                await open_born(site)
                for engine in engines_of(site):
                    engine.speed = ReplicaSpeed(events=40, event_s=0.02)
                found = await send_while_it_starts_anew(
                    site, '/question/1', PROMPT, engines_of(site)
                )
                return (*found, site.runs())

        answers, at, _, _, runs = run_paused(check)
        self.assertEqual([each.is_whole for each in answers], [True])
        self.assertLess(answers[0].ended_at, at + 2.0)
        self.assertGreater(runs[-1].resumed_behind, 0)

    def test_request_that_the_new_process_runs_is_left_alone(self):
        """A request reaches the new process before the list tells of it.

        Given up with the old one, it would be broken off while it runs.
        """

        async def check():
            async with open_site(daemons=1) as site:
                await open_born(site)
                for engine in engines_of(site)[1:]:
                    site.unlist_replica(engine)
                engine = engines_of(site)[0]
                engine.speed = ReplicaSpeed(events=60, event_s=0.02)
                list_replica, site.list_replica = site.list_replica, id
                heir = await site.restart_replica(engine)
                await anyio.sleep(2)
                site.list_replica = list_replica
                answers = []

                async def send():
                    answers.append(
                        await site.caller(patience_s=15.0).send(
                            site.daemons[0].entry,
                            '/draft/1',
                            body=b'x',
                            headers=PROMPT,
                        )
                    )

                site.tasks.start_soon(send)
                await anyio.sleep(0.6)
                site.list_replica(heir)
                await anyio.sleep(3)
                return answers

        answers = run_paused(check)
        self.assertEqual([each.is_whole for each in answers], [True])

    def test_table_with_another_writers_rows_serves_on(self):
        """Rows that no replica wrote stand in the list.

        The endpoints beside them serve, and nothing is sent to what the
        others name.
        """

        async def check():
            async with open_site() as site:
                good = engines_of(site)[0].entry()
                odd = [
                    {},
                    [],
                    None,
                    'text',
                    7,
                    good | {'slots': 'many'},
                    good | {'state': 'asleep'},
                    good | {'service': 'unheard-of'},
                    {'service': 'app', 'address': '10.77.0.1:80'},
                ]
                for number, row in enumerate(odd):
                    site.store.put('servers', f'i-odd-{number}', row)
                await anyio.sleep(0.5)
                caller = site.caller()
                answers = [
                    await caller.send(
                        site.daemons[number % 3].entry, '/slip/1', body=b's'
                    )
                    for number in range(12)
                ]
                rosters = [each.daemon.parts.roster for each in site.daemons]
                used = {
                    record.id
                    for roster in rosters
                    for name in ('app', 'llm')
                    for record in roster.serving(ServiceName(name))
                }
                return {each.status for each in answers}, used

        statuses, used = run_paused(check)
        self.assertEqual(statuses, {200})
        self.assertEqual(len(used), 6)
