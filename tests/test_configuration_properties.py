"""Random schedules of faults: what is accepted stays, everywhere.

Each schedule plays operators, faults of the store, cuts, pauses and
replacements against nine daemons in three data centres on the paused
clock. The checks read the table and each daemon's configuration in force.
"""

import unittest

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st
from mimosamux_daemon.control.configuration import (
    ConfigurationInForce,
    Snapshot,
)
from mimosamux_daemon.control.configuration_acceptor import (
    ConfigurationAcceptor,
)
from mimosamux_daemon.control.configuration_changes import (
    digest_of,
    parse_record,
)
from mimosamux_daemon.control.configuration_log import (
    CHANGE_PREFIX,
    ConfigurationLog,
)
from mimosamux_daemon.control.configuration_sync import ConfigurationSync
from mimosamux_daemon.control.proposals import (
    Accepted,
)
from mimosamux_daemon.domain.store import Committed

from tests.support.clock import run_paused
from tests.support.cluster import Cluster
from tests.support.configuration import DOCUMENT

SIZES = {'one': 3, 'two': 3, 'three': 3}
NAMES = [f'{centre}-{n}' for centre, size in SIZES.items() for n in (1, 2, 3)]
IN_FORCE_S = 7.0

names = st.sampled_from(NAMES)
centres = st.sampled_from(sorted(SIZES))
steps = st.one_of(
    st.tuples(st.just('change'), names),
    st.tuples(st.just('race'), names, names),
    st.tuples(st.just('lose_answer'), names),
    st.tuples(st.just('lose_notices'), st.integers(1, 20)),
    st.tuples(st.just('outage'), st.sampled_from([0.5, 4.0, 40.0])),
    st.tuples(st.just('slow'), st.sampled_from([0.2, 3.0])),
    st.tuples(st.just('separate'), centres),
    st.tuples(st.just('pause'), names, st.sampled_from([0.5, 5.0, 15.0])),
    st.tuples(st.just('replace'), names),
    st.tuples(st.just('replace_rest'), names),
    st.tuples(st.just('wait'), st.sampled_from([0.05, 1.0, 12.0])),
)


class Schedule:
    """Plays steps against a cluster and checks it afterwards."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.operations = 0
        self.undecided = 0

    async def play(self, plan):
        async with anyio.create_task_group() as tasks:
            watch = anyio.CancelScope()

            async def watch_versions():
                with watch:
                    await self.cluster.watch_versions()

            tasks.start_soon(watch_versions)
            for step in plan:
                await getattr(self, step[0])(tasks, *step[1:])
                await anyio.sleep(0.01)
            self.heal()
            await self.settle()
            watch.cancel()

    def heal(self):
        faults = self.cluster.network.faults
        faults.cut.clear()
        faults.lose_next_notices = 0
        table = self.cluster.store.table.faults
        table.down, table.delay_s, table.lose_next_answers = False, 0, 0
        for node in self.cluster.nodes:
            node.peers.resume()

    async def settle(self):
        cluster = self.cluster
        await cluster.wait_until(
            lambda: all(node.is_ready for node in cluster.nodes), 30
        )
        await cluster.wait_until(lambda: not self.undecided, 30)
        # What was accepted before is in force after the last fault.
        highest = max(cluster.accepted.values(), default=1)
        await cluster.wait_in_force(highest, IN_FORCE_S)
        decision = await cluster.accept(cluster.nodes[0], 'last', 500.0)
        version = cluster.accepted['last'] if decision else 0
        await cluster.wait_in_force(version, IN_FORCE_S)
        self.check_log()

    def check_log(self):
        """Compare the table's log with what operators were told."""
        cluster = self.cluster
        rows = cluster.store.table.rows_by_key
        versions = {}
        for key, row in rows.items():
            if key.startswith(CHANGE_PREFIX):
                record = parse_record(row.value)
                for change in record.changes:
                    assert change.operation not in versions, 'made twice'
                    versions[change.operation] = record.version
        for operation, version in cluster.accepted.items():
            assert versions.get(operation) == version, f'{operation} is lost'
        audited = cluster.store.audited_ids()
        assert sorted(audited) == sorted(versions), 'audit trail differs'
        documents = [node.replica.document for node in cluster.nodes]
        assert all(item == documents[0] for item in documents)

    def node(self, name):
        return self.cluster.nodes_by_name[name]

    async def change(self, tasks, name):
        self.operations += 1
        tasks.start_soon(self.propose, self.node(name), self.operations)

    async def propose(self, node, number):
        self.undecided += 1
        await self.cluster.accept(node, f'op-{number}', 1.0 + number / 100)
        self.undecided -= 1

    async def race(self, tasks, one, other):
        await self.change(tasks, one)
        await self.change(tasks, other)

    async def lose_answer(self, tasks, name):
        self.cluster.store.table.faults.lose_next_answers = 1
        await self.change(tasks, name)

    async def lose_notices(self, tasks, count):
        self.cluster.network.faults.lose_next_notices = count

    async def outage(self, tasks, seconds):
        async def end():
            await anyio.sleep(seconds)
            self.cluster.store.table.faults.down = False
            self.cluster.store.objects.down = False

        self.cluster.store.table.faults.down = True
        self.cluster.store.objects.down = True
        tasks.start_soon(end)

    async def slow(self, tasks, seconds):
        async def end():
            await anyio.sleep(5)
            self.cluster.store.table.faults.delay_s = 0

        self.cluster.store.table.faults.delay_s = seconds
        tasks.start_soon(end)

    async def separate(self, tasks, centre):
        async def end():
            await anyio.sleep(20)
            self.cluster.network.faults.cut -= pairs

        own = {name for name in NAMES if name.startswith(f'{centre}-')}
        pairs = self.cluster.network.faults.separate(own, set(NAMES) - own)
        tasks.start_soon(end)

    async def pause(self, tasks, name, seconds):
        async def end():
            await anyio.sleep(seconds)
            peers.resume()

        peers = self.node(name).peers
        peers.pause()
        tasks.start_soon(end)

    async def replace(self, tasks, name):
        self.cluster.replace(name)
        await anyio.sleep(0.5)

    async def replace_rest(self, tasks, kept):
        for name in NAMES:
            if name != kept:
                self.cluster.replace(name)

    async def wait(self, tasks, seconds):
        await anyio.sleep(seconds)


def play(plan, **parts):
    async def main():
        cluster = Cluster(SIZES, **parts)
        async with cluster.running():
            await Schedule(cluster).play(plan)

    run_paused(main)


def replace_all_but_one(**parts):
    """Replace eight of nine daemons while the store is down."""

    async def main():
        cluster = Cluster(SIZES, **parts)
        async with cluster.running():
            for number in range(5):
                await cluster.accept(
                    cluster.nodes[0], f'op-{number}', 2.0 + number
                )
            await anyio.sleep(3)
            cluster.store.table.faults.down = True
            cluster.store.objects.down = True
            for name in NAMES[1:]:
                cluster.replace(name)
            await cluster.wait_until(
                lambda: all(node.is_ready for node in cluster.nodes), 10
            )
            for node in cluster.nodes:
                version = node.in_force.current.version
                assert version == 6, f'{node.name} is ready with {version}'

    run_paused(main)


class TestSchedules(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=14)
    @given(st.lists(steps, min_size=2, max_size=10))
    def test_accepted_versions_stay_and_reach_everybody(self, plan):
        """Operators, faults and replacements come at any moment.

        An operator would notice a fault here as a target that reverts,
        or that holds on some daemons only.
        """
        play(plan)


class TestNamedFaults(unittest.TestCase):
    def test_all_but_one_replaced_during_an_outage(self):
        """The store is down and eight of nine daemons are replaced.

        The new ones start from the one that is left, with what was
        accepted last, and not from anything older.
        """
        replace_all_but_one()

    def test_no_daemon_is_ready_without_a_version(self):
        """The store is down and no daemon holds a configuration.

        Nobody serves with made-up targets; when the store is back, the
        first configuration is proposed and accepted once.
        """

        async def main():
            cluster = Cluster(SIZES)
            cluster.store.table.faults.down = True

            async def bring_back():
                await anyio.sleep(15)
                assert not any(node.is_ready for node in cluster.nodes)
                cluster.store.table.faults.down = False

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(bring_back)
                async with cluster.running():
                    self.assertEqual(cluster.store.audited_ids(), ['first'])

        run_paused(main)

    def test_separated_data_centre_gets_changes_through_the_table(self):
        """A region loses the others for a minute; the table is reachable.

        Its daemons hold an accepted change within seven seconds, since
        one of them polls the head row for all.
        """

        async def main():
            cluster = Cluster(SIZES)
            async with cluster.running():
                own = {name for name in NAMES if name.startswith('one-')}
                faults = cluster.network.faults
                faults.separate(own, set(NAMES) - own)
                await anyio.sleep(20)
                for number in range(8):
                    await cluster.accept(
                        cluster.nodes_by_name['two-2'],
                        f'op-{number}',
                        2.0 + number,
                    )
                    await cluster.wait_in_force(number + 2, IN_FORCE_S)

        run_paused(main)

    def test_woken_daemon_holds_what_it_missed(self):
        """A daemon stands still while changes are accepted.

        Once it goes on it holds them within seven seconds, and what it
        held before does not come back.
        """

        async def main():
            cluster = Cluster(SIZES)
            async with cluster.running():
                node = cluster.nodes_by_name['three-2']
                node.peers.pause()
                for number in range(30):
                    await cluster.accept(
                        cluster.nodes[0], f'op-{number}', 2.0 + number
                    )
                    await anyio.sleep(0.5)
                node.peers.resume()
                await cluster.wait_in_force(31, IN_FORCE_S, [node])

        run_paused(main)

    def test_replica_that_differs_is_replaced(self):
        """A daemon's document was spoilt in its memory.

        The next change does not fit it. It takes a whole snapshot from a
        peer and does not stay behind.
        """

        async def main():
            cluster = Cluster(SIZES)
            async with cluster.running():
                replica = cluster.nodes_by_name['two-3'].replica
                replica.document = {**replica.document, 'cost_weight': 9.0}
                replica.digest += 1
                await cluster.accept(cluster.nodes[0], 'op-1', 2.0)
                await cluster.wait_in_force(2, IN_FORCE_S)
                self.assertEqual(
                    replica.document, cluster.nodes[0].replica.document
                )

        run_paused(main)

    def test_lost_pushes_are_repaired_by_heartbeats(self):
        """Every push of a change is lost on the way.

        Heartbeats show who is ahead and the others fetch, so the change
        is in force everywhere within seven seconds all the same.
        """

        async def main():
            cluster = Cluster(SIZES)
            async with cluster.running():
                cluster.network.faults.lose_next_notices = 8
                await cluster.accept(cluster.nodes[4], 'op-1', 2.0)
                await cluster.wait_in_force(2, IN_FORCE_S)

        run_paused(main)


class Reverting(ConfigurationInForce):
    """Takes any version, also an older one."""

    def update(self, configuration):
        self.current = configuration
        return True


class Hasty(ConfigurationAcceptor):
    """Says that a change is accepted without a commit."""

    async def _commit(self, draft, doubt):
        for pending in draft.pending:
            pending.decision = Accepted(version=self._replica.version + 1)
        return Committed(versions={})


class Forgetful(ConfigurationLog):
    """Does not write the audit entries."""

    async def append(self, record, entries):
        return await super().append(record, ())


class Silent(ConfigurationSync):
    """Neither pushes nor repairs nor polls."""

    async def run(self):
        await anyio.sleep_forever()


class Outdated(ConfigurationSync):
    """Starts without the store from what its settings hold."""

    async def _start_from_peers(self):
        await self._membership.joined.wait()
        self._replica.replace(
            Snapshot(
                version=1,
                digest=digest_of(DOCUMENT),
                document=DOCUMENT,
                operations=(),
            )
        )


class TestBrokenVariants(unittest.TestCase):
    """Each check fails on a variant that breaks what it checks."""

    def assert_fails(self, message, plan, **parts):
        with self.assertRaises(BaseExceptionGroup) as caught:
            play(plan, **parts)
        error = caught.exception
        while isinstance(error, BaseExceptionGroup):
            error = error.exceptions[0]
        self.assertIn(message, str(error))

    def test_change_that_was_not_committed_is_found(self):
        plan = [('change', 'one-1')]
        self.assert_fails('not so after', plan, acceptor=Hasty)

    def test_daemon_that_hears_of_nothing_is_found(self):
        plan = [('change', 'one-1')]
        self.assert_fails('not so after', plan, sync=Silent)

    def test_change_without_audit_entry_is_found(self):
        plan = [('change', 'one-1')]
        self.assert_fails('audit trail differs', plan, log=Forgetful)

    def test_daemon_that_starts_from_an_older_version_is_found(self):
        with self.assertRaises(BaseExceptionGroup) as caught:
            replace_all_but_one(sync=Outdated)
        self.assertIn('is ready with 1', repr(caught.exception))

    def test_version_that_goes_down_is_found(self):
        async def main():
            cluster = Cluster(SIZES, in_force=Reverting)
            async with cluster.running(), anyio.create_task_group() as tasks:
                tasks.start_soon(cluster.watch_versions)
                await cluster.accept(cluster.nodes[0], 'op-1', 2.0)
                await anyio.sleep(1)
                older = cluster.nodes[1].replica
                older.in_force.update(type(older.in_force.current)(version=1))
                await anyio.sleep(1)

        with self.assertRaises(BaseExceptionGroup) as caught:
            run_paused(main)
        self.assertIn('went from 2 to 1', repr(caught.exception))
