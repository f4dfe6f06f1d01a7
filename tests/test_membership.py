"""Who is there: joining, leaving, suspicion, pauses and partitions."""

import math
import unittest
from types import SimpleNamespace

import anyio
from mimosamux_daemon.control.members import MemberState
from mimosamux_daemon.control.membership import Membership
from mimosamux_daemon.control.one_way_delays import OneWayDelays
from mimosamux_daemon.settings import PeerAddress
from mimosamux_wire import Superseded

from tests.support.clock import run_paused
from tests.support.cluster import Cluster

SIZES = {'one': 3, 'two': 3, 'three': 3}


def run_cluster(check, **parts):
    async def main():
        cluster = Cluster(SIZES, **parts)
        async with cluster.running():
            await check(cluster)

    run_paused(main)


def is_seen_as(cluster, name, state):
    """Tell whether all other daemons see one in a state."""
    return all(
        node.membership.state_of(name) is state
        for node in cluster.nodes
        if node.name != name
    )


async def pause_and_wake(cluster):
    node = cluster.nodes_by_name['two-1']
    others = [f'two-{number}' for number in (2, 3)]
    node.peers.pause()
    await anyio.sleep(8)
    assert all(
        cluster.nodes_by_name[name].membership.state_of('two-1')
        is MemberState.SUSPECTED
        for name in others
    )
    node.peers.resume()
    seen = node.membership.changes
    with anyio.move_on_after(5):
        while True:
            seen = await node.membership.wait_for_change(seen)
            for name in others:
                if node.membership.state_of(name) is not MemberState.READY:
                    raise AssertionError(f'the woken daemon suspects {name}')
    assert is_seen_as(cluster, 'two-1', MemberState.READY)
    assert node.membership.times_suspected > 0


class TestMembership(unittest.TestCase):
    def test_all_daemons_know_each_other_from_one_seed_each(self):
        async def check(cluster):
            for node in cluster.nodes:
                for centre, size in SIZES.items():
                    self.assertEqual(
                        len(node.membership.members(centre)), size
                    )
            pollers = [n for n in cluster.nodes if n.membership.is_poller()]
            self.assertEqual(len(pollers), len(SIZES))
            self.assertEqual(
                sum(len(n.membership.remote_targets()) for n in cluster.nodes),
                len(SIZES) * (len(SIZES) - 1) * 2,
            )

        run_cluster(check)

    def test_killed_daemon_is_suspected_and_then_gone_everywhere(self):
        """A VM dies without a word.

        Others stop counting on it within five seconds in its own data
        centre and eight elsewhere, and forget it later.
        """

        async def check(cluster):
            cluster.kill('one-2')
            own = [n for n in cluster.nodes if n.data_centre == 'one']
            await cluster.wait_until(
                lambda: all(
                    'one-2' not in n.membership.members('one') for n in own
                ),
                5,
            )
            await cluster.wait_until(
                lambda: all(
                    'one-2' not in n.membership.members('one')
                    for n in cluster.nodes
                ),
                4,
            )
            await cluster.wait_until(
                lambda: is_seen_as(cluster, 'one-2', MemberState.GONE), 20
            )

        run_cluster(check)

    def test_leaving_is_known_at_once(self):
        """A daemon is about to stop and says so.

        Those of its data centre know within half a second, and all
        others within four.
        """

        async def check(cluster):
            node = cluster.nodes_by_name['one-1']
            await node.membership.leave()
            own = [
                n
                for n in cluster.nodes
                if n.data_centre == 'one' and n is not node
            ]
            await cluster.wait_until(
                lambda: all(
                    n.membership.state_of('one-1') is MemberState.LEAVING
                    for n in own
                ),
                0.5,
            )
            await cluster.wait_until(
                lambda: is_seen_as(cluster, 'one-1', MemberState.LEAVING), 4
            )

        run_cluster(check)

    def test_paused_daemon_wakes_without_suspecting_everybody(self):
        """A daemon stands still for eight seconds, as a frozen VM does.

        The others suspect it meanwhile. When it wakes it learns that,
        does not take the others for dead, and is ready again.
        """
        run_cluster(pause_and_wake)

    def test_check_of_the_pause_finds_a_daemon_that_forgives_nothing(self):
        """A variant without the grace after a pause fails the check."""

        class Unforgiving(Membership):
            def _compensate_pause(self, pause_s):
                pass

        with self.assertRaises(ExceptionGroup) as caught:
            run_cluster(pause_and_wake, membership=Unforgiving)
        self.assertIn('suspects', str(caught.exception.exceptions[0]))

    def test_woken_daemon_is_not_taken_for_its_successor(self):
        """A VM is frozen, its successor runs under the same name.

        When the old process wakes, nobody takes its word for the new
        one's, and it is told to stop.
        """

        async def check(cluster):
            old = cluster.nodes_by_name['one-3']
            old.peers.pause()
            await anyio.sleep(2)
            new = cluster.start('one-3', 'one')
            await cluster.wait_until(lambda: new.is_ready, 5)
            await anyio.sleep(3)
            # The network would drop what a stale process sends; here it
            # gets through, as from another VM.
            cluster.network.peers_by_id['old'] = old.peers
            incarnation = new.membership.incarnation
            other = cluster.nodes_by_name['one-1'].membership
            old.peers.resume()
            heartbeat = old.membership._heartbeat()
            await other._handle_heartbeat('one-3', heartbeat)
            held = {m.id: m for m in other.known_members('one')}
            self.assertEqual(held['one-3'].incarnation, incarnation)
            self.assertFalse(new.membership.superseded.is_set())
            await old.membership._handle_superseded(
                'one-1', Superseded(incarnation=incarnation)
            )
            self.assertTrue(old.membership.superseded.is_set())

        run_cluster(check)

    def test_successor_with_a_slow_clock_takes_a_higher_incarnation(self):
        """The successor's clock is a minute behind its predecessor's.

        Its first incarnation looks older than the one that is known. It
        learns that and takes a higher one, and is welcome.
        """

        async def check(cluster):
            cluster.kill('one-3')
            clock = cluster.wall_clock
            cluster.wall_clock = lambda: clock() - 60
            cluster.start('one-3', 'one')
            await cluster.wait_until(
                lambda: is_seen_as(cluster, 'one-3', MemberState.READY), 15
            )

        run_cluster(check)

    def test_dead_seeds_hold_a_daemon_up_for_some_seconds_only(self):
        """A VM is replaced while nearly all seeds are dead.

        The newcomer finds the one that lives and is ready soon.
        """

        async def check(cluster):
            cluster.seeds += [
                PeerAddress(id=f'dead-{number}', address=f'dead-{number}:7')
                for number in range(12)
            ]
            node = cluster.replace('one-2')
            await cluster.wait_until(node.membership.joined.is_set, 0.5)
            await cluster.wait_until(
                lambda: len(node.membership.members('one')) == 3, 3
            )

        run_cluster(check)

    def test_data_centres_find_together_after_a_partition(self):
        """A data centre is cut off from the others for a minute.

        Both sides suspect each other as wholes, nobody is forgotten, and
        after the cut all are ready again.
        """

        async def check(cluster):
            own = {n.name for n in cluster.nodes if n.data_centre == 'one'}
            rest = set(cluster.nodes_by_name) - own
            cluster.network.faults.separate(own, rest)
            await anyio.sleep(60)
            for node in cluster.nodes:
                if node.name in rest:
                    self.assertEqual(node.membership.members('one'), ())
                    self.assertEqual(len(node.membership.members('two')), 3)
            cluster.network.faults.cut.clear()
            await cluster.wait_until(
                lambda: all(
                    len(n.membership.members(centre)) == 3
                    for n in cluster.nodes
                    for centre in SIZES
                ),
                15,
            )

        run_cluster(check)

    def test_daemons_of_one_data_centre_find_together_again(self):
        """A switch cuts one daemon off from its neighbours for a minute.

        They are gone for each other, and still meet again afterwards.
        """

        async def check(cluster):
            rest = set(cluster.nodes_by_name) - {'one-2'}
            cluster.network.faults.separate({'one-2'}, rest)
            await anyio.sleep(60)
            self.assertTrue(
                cluster.nodes_by_name['one-1'].membership.is_gone('one-2')
            )
            cluster.network.faults.cut.clear()
            await cluster.wait_until(
                lambda: is_seen_as(cluster, 'one-2', MemberState.READY), 15
            )

        run_cluster(check)


class TestOneWayTimes(unittest.TestCase):
    def test_half_of_a_measured_round_trip_and_none_without_one(self):
        times = OneWayDelays(
            membership=SimpleNamespace(
                round_trip_to={'near': 0.004, 'unknown': math.inf}.__getitem__,
                data_centres=lambda: ('near', 'unknown'),
            )
        )
        self.assertEqual(times.get('near'), 0.002)
        self.assertIsNone(times.get('unknown'))
