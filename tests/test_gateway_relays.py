"""What daemons tell each other through relays, and what when one stops."""

import random
import unittest
from itertools import pairwise
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st
from mimosamux_daemon.domain.names import DaemonId, DataCentreName
from mimosamux_daemon.gateway.exchange import peer_states
from mimosamux_daemon.gateway.exchange.groups import LARGEST_GROUP, form_groups
from mimosamux_daemon.gateway.exchange.neighbours import (
    MAX_UNACKED_BATCHES,
    EncodedDigest,
    Neighbour,
    RecentDigests,
)
from mimosamux_daemon.gateway.exchange.peer_states import PeerStates
from mimosamux_wire import (
    DaemonsKnown,
    EndpointUse,
    EnvelopeType,
    StateBatch,
    StateDigest,
    encode,
)

from tests.support.daemon_model import INTERVAL_STEPS, Model, complete

CENTRES = ('north', 'south', 'west')
STEPS_PER_S = 20


class Fleet(Model):
    """A model whose time goes on by seconds."""

    steps = 0

    def pass_s(self, seconds):
        for _ in range(int(seconds * STEPS_PER_S)):
            self.steps += 1
            self.step(self.steps)

    def alive(self):
        return [each for each in self.daemons if each.number not in self.dead]

    def least_fresh(self):
        """Return of how many peers the least informed daemon has news."""
        return min(len(each.states.fresh()) for each in self.alive())

    def relays(self):
        return [
            daemon
            for daemon in self.alive()
            if daemon.states._relays.acts_as_relay
        ]

    def forward_relay(self):
        """Return a relay that members hang on."""
        return next(
            daemon
            for daemon in self.relays()
            if any(True for _ in daemon.states._relays.members())
        )


def start_fleet(daemons, centres=CENTRES, seed=3, **fields):
    return Fleet(
        random.Random(seed), daemons=daemons, centres=centres, **fields
    )


class TestGroups(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(
        counts=st.lists(st.integers(0, 60), min_size=1, max_size=5),
        seed=st.integers(0, 9),
    )
    def test_every_daemon_is_in_one_group_of_its_data_centre(
        self, counts, seed
    ):
        centre_by_id = {
            DaemonId(f'{seed}.{centre}.{number}'): DataCentreName(f'c{centre}')
            for centre, count in enumerate(counts)
            for number in range(count)
        }
        groups = form_groups(centre_by_id)
        seen = [id_ for group in groups.by_key.values() for id_ in group]
        self.assertEqual(sorted(seen), sorted(centre_by_id))
        for group in groups.by_key.values():
            self.assertEqual(len({centre_by_id[id_] for id_ in group}), 1)
            self.assertLessEqual(len(group), 2 * LARGEST_GROUP)

    def test_a_dozen_daemons_tell_each_other_directly(self):
        centre_by_id = {
            DaemonId(str(each)): DataCentreName('north') for each in range(12)
        }
        groups = form_groups(centre_by_id)
        self.assertEqual(len(groups.by_key), 12)

    def test_one_more_daemon_moves_few_others(self):
        def keys(count):
            return form_groups(
                {
                    DaemonId(str(each)): DataCentreName('north')
                    for each in range(count)
                }
            ).key_by_id

        for fewer, more in pairwise(range(30, 40)):
            before, after = keys(fewer), keys(more)
            moved = sum(before[id_] != after[id_] for id_ in before)
            self.assertEqual(moved, 0, (fewer, more))


class TestLinks(unittest.TestCase):
    # Guards against relays whose links are too narrow for what they pass on:
    # news come seconds late then, and so do answers on the same link.

    def groups(self, count, wide):
        ids = [DaemonId(str(each)) for each in range(count)]
        return form_groups(
            dict.fromkeys(ids, DataCentreName('north')),
            {id_: 200.0 if id_ in wide else 10.0 for id_ in ids},
        )

    def test_widest_links_relay_one_in_each_group(self):
        wide = {DaemonId('3'), DaemonId('8')}
        for count in range(13, 25):
            groups = self.groups(count, wide)
            first = {group[0] for group in groups.by_key.values()}
            self.assertEqual(first, wide, count)

    def test_no_group_is_left_to_a_narrow_link(self):
        wide = {DaemonId('3'), DaemonId('8')}
        for count in range(13, 80):
            groups = self.groups(count, wide)
            for key in groups.by_key:
                self.assertIn(groups.relays_by_key[key][0], wide, count)
                self.assertIn(groups.relays_by_key[key][1], wide, count)

    def test_wide_links_share_the_groups_that_have_none(self):
        wide = {DaemonId('3'), DaemonId('8')}
        groups = self.groups(96, wide)
        first = [order[0] for order in groups.relays_by_key.values()]
        self.assertEqual(first.count(DaemonId('3')), 4)
        self.assertEqual(first.count(DaemonId('8')), 4)

    def test_link_that_is_little_wider_does_not_relay_for_many_groups(self):
        ids = [DaemonId(str(each)) for each in range(90)]
        groups = form_groups(
            dict.fromkeys(ids, DataCentreName('north')),
            {id_: 12.0 if id_ == '3' else 10.0 for id_ in ids},
        )
        first = [order[0] for order in groups.relays_by_key.values()]
        self.assertEqual(first.count(DaemonId('3')), 1)

    def test_loss_of_a_wide_link_moves_that_daemon_alone(self):
        before = self.groups(24, {DaemonId('3'), DaemonId('8')}).key_by_id
        after = self.groups(24, {DaemonId('3')}).key_by_id
        moved = {id_ for id_ in before if before[id_] != after[id_]}
        self.assertLessEqual(moved, {DaemonId('3'), DaemonId('8')})


class EndpointRows:
    """Makes digests as large as those of a daemon with many endpoints."""

    def write(self, digest):
        digest.endpoints.extend(
            EndpointUse(endpoint=f'i-{number:010d}', open_requests=1)
            for number in range(40)
        )

    def take(self, peer, digest):
        pass


class TestNarrowLinks(unittest.TestCase):
    # Guards against news that come seconds late, since they wait for a relay
    # whose own link is too narrow.

    def start(self, daemons):
        """Start daemons in two data centres, two with wide links in each."""
        return start_fleet(
            daemons,
            centres=('north', 'south'),
            links_mbps={
                each: 100.0 if each < 4 else 5.0 for each in range(daemons)
            },
            parts=(EndpointRows(),),
        )

    def oldest_s(self, fleet):
        """Return the age of the oldest news that any daemon goes by."""
        by_id = {each.states.place.id: each.states for each in fleet.alive()}
        return max(
            (by_id[id_].next_sequence - peer.sequence) * states.interval_s
            for states in by_id.values()
            for id_, peer in states.by_id.items()
            if id_ in by_id
        )

    def test_news_are_in_time_however_many_daemons_are_added(self):
        for daemons in (46, 54):
            with self.subTest(daemons=daemons):
                fleet = self.start(daemons)
                fleet.pass_s(10)
                bound_s = fleet.daemons[0].states.propagation_s
                self.assertLess(self.oldest_s(fleet), bound_s)

    def test_so_they_are_after_the_loss_of_a_wide_link(self):
        fleet = self.start(54)
        fleet.pass_s(8)
        fleet.dead.add(0)
        fleet.pass_s(8)
        bound_s = fleet.daemons[1].states.propagation_s
        self.assertLess(self.oldest_s(fleet), bound_s)


class TestNews(unittest.TestCase):
    def test_every_daemon_has_news_of_every_other(self):
        for daemons in (2, 9, 12, 13, 24, 60):
            with self.subTest(daemons=daemons):
                fleet = start_fleet(daemons)
                fleet.pass_s(8)
                self.assertEqual(fleet.least_fresh(), daemons - 1)
                for daemon in fleet.daemons:
                    self.assertGreater(daemon.states.acked_by_all(), 0)

    def test_messages_do_not_grow_with_the_pairs(self):
        """At sixty daemons each would send to each other one."""
        fleet = start_fleet(60)
        fleet.pass_s(8)
        before = fleet.messages
        fleet.pass_s(4)
        self.assertLess((fleet.messages - before) / 4 / 60, 15)

    def test_all_is_confirmed_within_two_seconds(self):
        """Nothing is lost, and each daemon tells four times a second.

        What peers have not confirmed counts against a daemon's part of each
        cap. Relays passed on what other relays had confirmed at the start of
        all, in place of what they confirm now: requests were refused that
        had room.
        """
        for daemons in (9, 24, 40):
            with self.subTest(daemons=daemons):
                fleet = start_fleet(daemons, centres=('a', 'b', 'c', 'd'))
                fleet.pass_s(12)
                for daemon in fleet.daemons:
                    states = daemon.states
                    behind = states.next_sequence - states.acked_by_all()
                    self.assertLess(behind * states.interval_s, 2.0)

    def test_relays_that_die_one_after_the_other_are_replaced(self):
        """The first two of a group lose power together."""
        fleet = start_fleet(24, centres=('north', 'south'))
        fleet.pass_s(8)
        for _ in range(2):
            relay = fleet.forward_relay().number
            fleet.dead.add(relay)
            fleet.pass_s(1)
        fleet.pass_s(6)
        self.assertGreaterEqual(fleet.least_fresh(), 21)

    def test_relay_that_dies_is_replaced(self):
        """A relay loses power; its members hang on it.

        Nobody hears of them until they tell another one. Callers would be
        refused meanwhile: what the members let through is known to nobody.
        """
        fleet = start_fleet(24)
        fleet.pass_s(8)
        fleet.dead.add(fleet.forward_relay().number)
        fleet.pass_s(4)
        self.assertGreaterEqual(fleet.least_fresh(), 22)

    def test_relay_that_hears_and_is_not_heard_is_replaced(self):
        """The way from a relay to its members is cut, not the way to it."""
        fleet = start_fleet(24)
        fleet.pass_s(8)
        relay = fleet.forward_relay().number
        fleet.cuts = {(relay, each) for each in range(24)}
        fleet.pass_s(4)
        others = [each for each in fleet.daemons if each.number != relay]
        for daemon in others:
            self.assertGreaterEqual(len(daemon.states.fresh()), 22)

    def test_data_centre_that_was_cut_off_is_found_again(self):
        """A data centre is cut off for longer than daemons are remembered.

        Both sides have given each other up by then; with nobody told across
        any more, they would stay apart.
        """
        fleet = start_fleet(24)
        fleet.pass_s(8)
        north = {each for each in range(24) if each % 3 == 0}
        fleet.cuts = {
            (source, target)
            for source in range(24)
            for target in range(24)
            if (source in north) != (target in north)
        }
        fleet.pass_s(12)
        self.assertEqual(fleet.least_fresh(), 7)
        fleet.cuts = set()
        fleet.pass_s(6)
        self.assertEqual(fleet.least_fresh(), 23)

    def test_all_that_start_at_once_find_each_other(self):
        """All daemons lose power together and start again."""
        fleet = start_fleet(30)
        fleet.pass_s(8)
        for number in range(30):
            fleet.restart(number)
        fleet.pass_s(6)
        self.assertEqual(fleet.least_fresh(), 29)
        lifetimes = {
            peer.place.id: peer.incarnation
            for peer in fleet.daemons[0].states.by_id.values()
        }
        for daemon in fleet.daemons[1:]:
            id_ = daemon.states.place.id
            self.assertEqual(lifetimes[id_], daemon.states.incarnation)

    def test_member_that_is_told_nothing_holds_its_peers_back(self):
        """A member's relay cannot reach it, and it reaches its relay.

        It is heard of by everybody and hears of nobody. Were it counted as
        informed, it would use what others have used up.
        """
        fleet = start_fleet(24)
        fleet.pass_s(8)
        deaf = next(
            each
            for each in fleet.daemons[1:]
            if not each.states._relays.acts_as_relay
        )
        reached = {
            peer.place.id: peer.acked_sequence
            for peer in fleet.daemons[0].states.by_id.values()
        }[deaf.states.place.id]
        fleet.cuts = {(each, deaf.number) for each in range(24)}
        fleet.pass_s(5)
        known = fleet.daemons[0].states.by_id[deaf.states.place.id]
        # What it took in the second before the cut may be confirmed late.
        self.assertLessEqual(known.acked_sequence, reached + INTERVAL_STEPS)


class TestNonsense(unittest.TestCase):
    def setUp(self):
        self.fleet = start_fleet(13)
        self.fleet.pass_s(5)
        self.daemon = self.fleet.daemons[0]
        self.before = self.describe()

    def describe(self):
        return {
            id_: (peer.incarnation, peer.state, peer.acked_sequence)
            for id_, peer in self.daemon.states.by_id.items()
        }

    def give(self, message, sender='1'):
        handler = self.daemon.handlers[type(message)]
        complete(handler(DaemonId(sender), message))

    def test_digest_that_cannot_be_read_changes_nothing(self):
        """A peer passes on bytes that are no digest."""
        with mock.patch.object(peer_states, 'log') as log:
            self.give(StateBatch(lifetime=5, number=1, digests=[b'\xff\x00']))
        self.assertEqual(self.describe(), self.before)
        log.warning.assert_called_once_with(
            'digest_unreadable', peer='1', size=2
        )

    def test_late_digest_of_a_process_that_ended_changes_nothing(self):
        """A daemon has restarted, and old news of it come by a slow way.

        Taken for a third process, its counters would count once more.
        """
        old = self.fleet.daemons[3].states
        self.fleet.restart(3)
        self.fleet.pass_s(3)
        before = self.describe()
        self.give(
            StateDigest(
                address=old.place.id, lifetime=old.incarnation, sequence=999
            ),
            sender='3',
        )
        self.assertEqual(self.describe(), before)

    def test_nor_does_one_that_a_relay_passes_on(self):
        """The late digest comes in the batch of a relay."""
        old = self.fleet.daemons[3].states
        self.fleet.restart(3)
        self.fleet.pass_s(3)
        before = self.describe()
        digest = StateDigest(
            address=old.place.id, lifetime=old.incarnation, sequence=999
        )
        relay = self.fleet.daemons[1].states
        self.give(
            StateBatch(
                lifetime=relay.incarnation,
                digests=[encode(digest, EnvelopeType.ONEWAY, 0)],
            )
        )
        self.assertEqual(self.describe(), before)

    def test_address_of_nowhere_is_no_harm(self):
        self.give(DaemonsKnown(addresses=['gone:1'], data_centres=[]))
        self.fleet.pass_s(35)
        self.assertEqual(self.fleet.least_fresh(), 12)


class TestNeighbours(unittest.TestCase):
    """What is said to be taken was taken, whatever got lost between."""

    def setUp(self):
        self.sender = Neighbour(sent_batch=0)
        self.receiver = Neighbour(sent_batch=0)
        self.news = [
            RecentDigests(incarnation=11),
            RecentDigests(incarnation=22),
        ]
        for news in self.news:
            news.entries.append(EncodedDigest(sequence=1, data=b'1'))
        self.sender.take(StateBatch(lifetime=2), own_incarnation=1)

    def send(self, *news, is_lost=False):
        batch = StateBatch(lifetime=1)
        if self.sender.fill(batch, news) and not is_lost:
            self.receiver.take(batch, own_incarnation=2)

    def answer(self):
        self.sender.take(
            StateBatch(
                lifetime=2,
                taken_lifetime=1,
                taken=self.receiver.received_batch,
            ),
            own_incarnation=1,
        )

    def tell_more(self, news):
        number = news.newest_sequence + 1
        news.entries.append(EncodedDigest(sequence=number, data=b'more'))

    def test_batch_behind_a_lost_one_confirms_nothing(self):
        """The second of three batches is lost; it alone told of one daemon."""
        self.send(*self.news)
        self.tell_more(self.news[1])
        self.send(*self.news, is_lost=True)
        self.tell_more(self.news[0])
        self.send(*self.news)
        self.answer()
        self.assertEqual(self.sender.acked_sequence(22), 1)

    def test_complete_batch_confirms_only_what_it_holds(self):
        """A daemon is told of by another way since a batch was lost."""
        self.send(*self.news, is_lost=True)
        self.tell_more(self.news[0])
        self.send(self.news[0])
        self.answer()
        self.assertEqual(self.sender.acked_sequence(11), 2)
        self.assertEqual(self.sender.acked_sequence(22), 0)

    def test_receiver_that_fell_behind_is_sent_all_anew(self):
        self.send(*self.news, is_lost=True)
        for _ in range(MAX_UNACKED_BATCHES + 2):
            self.tell_more(self.news[0])
            self.send(*self.news)
            self.answer()
        self.assertEqual(self.sender.acked_sequence(22), 1)


class TestKnownDigests(unittest.TestCase):
    """Digests that need not be decoded, and those that must be."""

    def setUp(self):
        self.decoded = []
        decode_digest = PeerStates._take_encoded

        def record(states, data, via):
            self.decoded.append((states.incarnation, data))
            decode_digest(states, data, via)

        patch = mock.patch.object(PeerStates, '_take_encoded', record)
        patch.start()
        self.addCleanup(patch.stop)

    def expect_current(self, fleet):
        """Expect that all daemons know of all processes, and acknowledge."""
        for daemon in fleet.alive():
            states = daemon.states
            self.assertEqual(len(states.fresh()), len(fleet.alive()) - 1)
            for peer in states.fresh():
                origin = fleet.daemons[int(peer.place.id)].states
                self.assertEqual(peer.incarnation, origin.incarnation)
            behind = states.next_sequence - states.acked_by_all()
            self.assertLess(behind * states.interval_s, 3.0)

    def test_digest_that_comes_twice_is_decoded_once(self):
        """Two relays of a group send the same digests to each other."""
        fleet = start_fleet(40)
        fleet.pass_s(10)
        self.assertEqual(len(self.decoded), len(set(self.decoded)))
        self.expect_current(fleet)

    def test_duplicate_leaves_the_way_to_the_origin_as_it_is(self):
        """A digest is sent to its receiver's relay, or not, by `via`.

        A late copy that changed it would keep the digest from daemons that
        lack it.
        """
        fleet = start_fleet(24)
        fleet.pass_s(5)
        states = fleet.daemons[0].states
        peer = states.by_id[DaemonId('5')]
        via, newest = peer.via, peer.digests.entries[-1]
        other = next(
            each
            for each in states.by_id.values()
            if each.place.id not in (via, peer.place.id)
        )
        self.decoded.clear()
        batch = StateBatch(
            lifetime=other.incarnation,
            digests=[newest.data],
            digest_lifetimes=[peer.incarnation],
            digest_sequences=[newest.sequence],
        )
        handler = fleet.daemons[0].handlers[StateBatch]
        complete(handler(other.place.id, batch))
        self.assertEqual(self.decoded, [])
        self.assertEqual(peer.via, via)

    def test_batches_of_the_previous_version_are_taken(self):
        """A rolling upgrade: some daemons send no numbers with digests."""
        fleet = start_fleet(24)
        old = {each.number for each in fleet.daemons[::2]}
        for daemon in fleet.daemons:
            daemon.handlers[StateBatch] = without_numbers(
                daemon.handlers[StateBatch], old
            )
        fleet.pass_s(12)
        self.expect_current(fleet)

    def test_lists_of_the_wrong_length_are_ignored(self):
        """A faulty peer sends fewer numbers than digests."""
        fleet = start_fleet(13)
        fleet.pass_s(5)
        self.decoded.clear()
        batch = StateBatch(digests=[b'\xff', b'\xfe'], digest_lifetimes=[1])
        with mock.patch.object(peer_states, 'log'):
            complete(
                fleet.daemons[0].handlers[StateBatch](DaemonId('1'), batch)
            )
        self.assertEqual([data for _, data in self.decoded], batch.digests)

    def test_restarted_daemon_counts_from_one_again(self):
        """Its first digests have lower numbers than those of its past."""
        fleet = start_fleet(24)
        fleet.pass_s(8)
        ended = fleet.daemons[7].states
        fleet.restart(7)
        fleet.pass_s(4)
        sequence = fleet.daemons[0].states.by_id[DaemonId('7')].sequence
        self.assertLess(sequence, ended.next_sequence - 1)
        fleet.pass_s(4)
        self.expect_current(fleet)

    def test_daemon_that_was_forgotten_is_taken_again(self):
        """A partition ends, and the peer's number has not grown since."""
        fleet = start_fleet(13)
        fleet.pass_s(5)
        states = fleet.daemons[0].states
        peer = states.by_id[DaemonId('3')]
        newest = peer.digests.entries[-1]
        peer.heard_at -= peer_states.FORGET_AFTER_S
        states._forget_silent()
        self.assertNotIn(DaemonId('3'), states.by_id)
        batch = StateBatch(
            lifetime=fleet.daemons[1].states.incarnation,
            digests=[newest.data],
            digest_lifetimes=[peer.incarnation],
            digest_sequences=[newest.sequence],
        )
        complete(fleet.daemons[0].handlers[StateBatch](DaemonId('1'), batch))
        self.assertIn(DaemonId('3'), states.by_id)

    def test_lost_batches_are_made_up_for(self):
        """A fifth of all batches is lost; what they held comes again."""
        fleet = start_fleet(24, lost=0.2)
        fleet.pass_s(12)
        fleet.lost = 0.0
        fleet.pass_s(4)
        self.expect_current(fleet)


def without_numbers(handler, senders):
    """Return a handler to which the given daemons send no numbers."""

    async def take(sender, batch):
        if int(sender) in senders:
            batch.digest_lifetimes, batch.digest_sequences = [], []
        await handler(sender, batch)

    return take


class TestMixedVersions(unittest.TestCase):
    def test_daemon_that_tells_single_digests_is_told_the_same_way(self):
        """A rolling upgrade: one daemon is still of the version before.

        It understands no batches. Told nothing, it would take all others for
        gone, and its part of each cap with them.
        """
        fleet = start_fleet(13)
        told = []
        old = fleet.daemons[4]
        old.handlers[StateDigest] = None

        class OldDaemon:
            number = 4

            def __init__(self):
                self.handlers = {
                    StateBatch: self.ignore,
                    DaemonsKnown: self.ignore,
                    StateDigest: self.take,
                }
                self.sequence = 0

            async def ignore(self, sender, message):
                pass

            async def take(self, sender, digest):
                told.append((sender, digest))

        fleet.daemons[4] = old_daemon = OldDaemon()
        fleet.dead.add(4)
        for step in range(5 * STEPS_PER_S):
            fleet.dead.discard(4)
            fleet.deliver()
            fleet.dead.add(4)
            fleet.pass_s(1 / STEPS_PER_S)
            if step % INTERVAL_STEPS == 0:
                old_daemon.sequence += 1
                digest = StateDigest(
                    address='4', lifetime=44, sequence=old_daemon.sequence
                )
                for daemon in fleet.alive():
                    complete(
                        daemon.handlers[StateDigest](DaemonId('4'), digest)
                    )
        self.assertEqual({sender for sender, _ in told}, others_of(4, 13))
        heard = [each.lifetime for each in told[-1][1].heard]
        self.assertIn(44, heard)


def others_of(number, count):
    return {DaemonId(str(each)) for each in range(count) if each != number}
