"""What one daemon may send to an endpoint that names a limit."""

import math
import unittest

from mimosamux_daemon.control.members import MemberState
from mimosamux_daemon.domain.gateway import ListedEndpoint
from mimosamux_daemon.gateway.balancing.endpoint_record import EndpointRecord
from mimosamux_daemon.gateway.limits.endpoint_limits import (
    MIN_PER_S,
    ROTATION_S,
    EndpointLimits,
)
from mimosamux_daemon.gateway.limits.rate_shares import RateShare
from mimosamux_daemon.gateway.roster import Roster
from mimosamux_daemon.ports.endpoint_calls import UnreadableLimit
from mimosamux_wire import EndpointLimit, StateDigest


class TestShares(unittest.TestCase):
    def test_share_fills_up_to_what_half_a_second_brings(self):
        share = RateShare(per_s=6.0, refilled_at=0.0)
        self.assertFalse(share.has_token(0.1))
        sent = 0
        while share.has_token(100.0):
            share.take(100.0)
            sent += 1
        self.assertEqual(sent, 3)
        self.assertAlmostEqual(share.available_in_s(100.0), 1 / 6)

    def test_share_that_passes_on_begins_with_nothing(self):
        share = RateShare(per_s=1.0, refilled_at=0.0)
        share.set_rate(0.0, 10.0)
        self.assertFalse(share.has_token(20.0))
        share.set_rate(1.0, 20.0)
        self.assertFalse(share.has_token(20.5))
        self.assertTrue(share.has_token(21.0))


class FakePlace:
    def __init__(self, id_):
        self.id = id_


class FakePeer:
    state = MemberState.READY

    def __init__(self, id_):
        self.place = FakePlace(id_)


class FakeStates:
    """A daemon that is in touch with all others of a number of them."""

    state = MemberState.READY

    def __init__(self, number, daemons):
        self.place = FakePlace(f'd{number}')
        self._peers = [
            FakePeer(f'd{each}') for each in range(daemons) if each != number
        ]

    def ready(self):
        return self._peers

    def expedite(self):
        pass


class FakeTime:
    def __init__(self, now):
        self.now = now

    def store_now(self):
        return self.now

    def to_store_ms(self, at):
        return int(1000 * self.now)


def make_roster():
    roster = Roster(clock=lambda: 0.0, time_of_day=lambda: 0.0, health=None)
    listed = ListedEndpoint(
        id='i-1', service='app', address='', data_centre='', slots=1
    )
    roster.by_id['i-1'] = EndpointRecord(listed=listed, listed_at=0.0)
    return roster


def make_limits(number=0, daemons=1, store_now=0.0):
    return EndpointLimits(
        roster=make_roster(),
        states=FakeStates(number, daemons),
        shared_time=FakeTime(store_now),
        clock=lambda: store_now,
    )


def hear(limits, per_s, *, sent_at=0.0, is_served=True):
    record = limits.roster.by_id['i-1']
    limits.note_answer(record, per_s, sent_at=sent_at, is_served=is_served)
    return record.share


class TestSharesOfAll(unittest.TestCase):
    # Guards against shares that add up to more or less than the limit, or
    # that so many daemons have that all of them at once exceed it.

    def find_shares(self, per_s, daemons, store_now=0.0):
        found = (
            hear(make_limits(number, daemons, store_now), per_s).per_s
            for number in range(daemons)
        )
        return [share for share in found if share]

    def test_shares_add_up_to_the_limit_for_any_number_of_daemons(self):
        for daemons in (1, 3, 9, 62):
            for per_s in (0.5, 1.7, 6.0, 200.0):
                with self.subTest(daemons=daemons, per_s=per_s):
                    shares = self.find_shares(per_s, daemons)
                    self.assertAlmostEqual(sum(shares), per_s)
                    self.assertLessEqual(len(shares), per_s + 1)

    def test_no_more_daemons_than_requests_have_a_share_at_hundreds(self):
        for daemons in (195, 340):
            shares = self.find_shares(1.7, daemons)
            self.assertEqual(len(shares), 2)

    def test_other_daemons_have_the_share_after_a_while(self):
        owners = set()
        for turn in range(40):
            limits = (
                make_limits(number, 9, turn * ROTATION_S)
                for number in range(9)
            )
            shares = [hear(each, 0.5).per_s for each in limits]
            owners.add(shares.index(max(shares)))
        self.assertEqual(owners, set(range(9)))


class TestWordsOfLimits(unittest.TestCase):
    def test_limit_that_makes_no_sense_changes_nothing_and_is_logged_once(
        self,
    ):
        limits = make_limits()
        self.assertIsNone(hear(limits, UnreadableLimit(text='many')))
        before = hear(limits, 2.0)
        for _ in range(3):
            hear(limits, UnreadableLimit(text='-1'))
        self.assertEqual(limits.by_id['i-1'].per_s, 2.0)
        self.assertEqual(before.per_s, 2.0)

    def test_endpoint_that_takes_nothing_is_asked_now_and_then(self):
        self.assertEqual(hear(make_limits(), 0.0).per_s, MIN_PER_S)
        self.assertGreater(MIN_PER_S * ROTATION_S, 2)

    def test_answer_to_an_earlier_request_lifts_no_limit(self):
        limits = make_limits(store_now=5.0)
        hear(limits, 2.0)
        self.assertIsNotNone(hear(limits, None, sent_at=4.9))
        self.assertIsNotNone(hear(limits, None, sent_at=5.0, is_served=False))
        self.assertIsNone(hear(limits, None, sent_at=5.0))

    def test_what_peers_tell_is_taken_if_it_is_newer_and_makes_sense(self):
        limits = make_limits(store_now=5.0)
        hear(limits, 2.0)
        for said_ms, per_s, expected in (
            (4000, 9.0, 2.0),
            (6000, -1.0, 2.0),
            (6000, math.nan, 2.0),
            (6000, 3.0, 3.0),
            (7000, 0.0, None),
        ):
            told = EndpointLimit(endpoint='i-1', per_s=per_s, said_ms=said_ms)
            other = EndpointLimit(endpoint='i-9', per_s=1.0, said_ms=9000)
            limits.take(FakePeer('d1'), StateDigest(limits=[told, other]))
            self.assertEqual(limits.by_id['i-1'].per_s, expected)
        self.assertNotIn('i-9', limits.by_id)

    def test_only_what_an_endpoint_said_here_is_told(self):
        limits = make_limits(store_now=5.0)
        hear(limits, 2.0)
        digest = StateDigest()
        limits.write(digest)
        (told,) = digest.limits
        self.assertEqual((told.per_s, told.said_ms), (2.0, 5000))
        other = make_limits(store_now=5.0)
        other.take(FakePeer('d1'), digest)
        passed_on = StateDigest()
        other.write(passed_on)
        self.assertEqual(passed_on.limits, [])


if __name__ == '__main__':
    unittest.main()
