"""Who gets in when there is more work than room."""

import random
import unittest

import anyio
from mimosamux_daemon.domain.names import AccountId, RequestId
from mimosamux_daemon.domain.outcomes import Reason
from mimosamux_daemon.domain.work import Account
from mimosamux_daemon.errors import InvariantViolation
from mimosamux_daemon.serving.admission import Admission, AdmissionPolicy
from mimosamux_daemon.serving.fair_shares import (
    FairShares,
    UsageDelta,
    hash_account_id,
)

from tests.support.clock import run_paused
from tests.support.fleets import LOOKUP, make_request

LARGE = Account(id=AccountId('large'), key_digests=())
SMALL = Account(id=AccountId('small'), key_digests=(), max_open=3)
POLICY = AdmissionPolicy()
KEPT_ROOM_S = (
    LOOKUP.first_token_s
    * (POLICY.over_fair_fraction + POLICY.admit_fraction)
    / 2
)
"""An estimate that only accounts within their fair part may have."""


def make_admission(**fields):
    return Admission(rng=random.Random(1), **fields)


class TestAdmission(unittest.TestCase):
    def test_release_is_exactly_once(self):
        async def check():
            admission = make_admission()
            request = make_request()
            self.assertIsNone(admission.acquire(SMALL, request))
            self.assertEqual(admission.open_requests(SMALL.id), 1)
            admission.release(request.id)
            self.assertEqual(admission.open_requests(SMALL.id), 0)
            with self.assertRaises(InvariantViolation):
                admission.release(request.id)

        run_paused(check)

    def test_refused_request_is_not_counted_in(self):
        async def check():
            admission = make_admission()
            late = make_request()
            refused = admission.acquire(SMALL, late, first_token_s=9.0)
            self.assertIs(refused.reason, Reason.OVERLOADED)
            self.assertGreaterEqual(refused.retry_after_s, 8.0)
            with self.assertRaises(InvariantViolation):
                admission.release(RequestId(late.id))

        run_paused(check)

    def test_account_has_a_limit_of_open_requests(self):
        async def check():
            admission = make_admission()
            requests = [make_request() for _ in range(4)]
            results = [admission.acquire(SMALL, each) for each in requests]
            self.assertEqual(results[:3], [None] * 3)
            self.assertIs(results[3].reason, Reason.ACCOUNT_BUSY)

        run_paused(check)

    def test_class_over_its_ceiling_is_refused(self):
        async def check():
            over = frozenset({LOOKUP.name})
            admission = make_admission(over_ceiling=lambda: over)
            refused = admission.acquire(SMALL, make_request())
            self.assertIs(refused.reason, Reason.CEILING)

        run_paused(check)

    def test_lone_account_may_fill_the_target(self):
        async def check():
            admission = make_admission()
            for _ in range(50):
                request = make_request()
                refused = admission.acquire(
                    LARGE, request, first_token_s=0.95, tokens=100
                )
                self.assertIsNone(refused)
                await anyio.sleep(0.1)

        run_paused(check)

    def test_flooding_account_leaves_room_for_a_small_one(self):
        """One account sends ten times what the endpoints can do.

        The queue then stands at the limit of what is let through, and a
        small account that sends little would be refused or late.
        """

        async def check():
            admission = make_admission()
            large, small = await flood(admission)
            self.assertLess(large, 5)
            self.assertEqual(small, 30)

        run_paused(check)

    def test_flood_check_fails_without_room_kept(self):
        async def check():
            policy = AdmissionPolicy(over_fair_fraction=1.0)
            large, _ = await flood(make_admission(policy=policy))
            self.assertGreater(large, 5)

        run_paused(check)


class TestSharedUse(unittest.TestCase):
    """Two accounts at one daemon, and a flood that others see too.

    All callers of a small account come to one daemon, where it asks for
    more than the part of the flood that comes there. By this daemon's
    view alone it would be the one that takes too much.
    """

    def use_here(self, shares):
        for account, offered in ((SMALL.id, 40), (LARGE.id, 30)):
            shares.note_offered(account, share=1.0, tokens=offered, now=0.0)
            shares.note_admitted(account, tokens=25)

    def test_small_account_is_not_over_where_peers_tell_of_the_flood(self):
        shares = FairShares(window_s=5.0)
        self.use_here(shares)
        for _ in range(10):
            elsewhere = UsageDelta(
                key=hash_account_id(LARGE.id),
                share=1.0,
                offered=30,
                admitted=20,
            )
            shares.add_peer_delta(elsewhere)
        shares.note_offered(SMALL.id, share=1.0, tokens=1, now=0.5)
        self.assertFalse(shares.is_over(SMALL.id))
        self.assertTrue(shares.is_over(LARGE.id))

    def test_check_fails_without_the_peers(self):
        shares = FairShares(window_s=5.0)
        self.use_here(shares)
        shares.note_offered(SMALL.id, share=1.0, tokens=1, now=0.5)
        self.assertTrue(shares.is_over(SMALL.id))

    def test_new_use_is_told_once_and_the_largest_first(self):
        shares = FairShares(window_s=5.0)
        self.use_here(shares)
        (first,) = shares.take_deltas(1)
        self.assertEqual(first.key, hash_account_id(SMALL.id))
        self.assertEqual((first.offered, first.admitted), (40, 25))
        self.assertEqual(shares.take_deltas(1), [])


async def flood(admission: Admission) -> tuple[int, int]:
    """Return what got in where room is kept for others, after a flood."""
    for _ in range(100):
        admission.acquire(LARGE, make_request(), first_token_s=0.5)
        admission.acquire(LARGE, make_request(), first_token_s=1.5)
        await anyio.sleep(0.1)
    large = small = 0
    for _ in range(30):
        for _ in range(10):
            request = make_request()
            taken = admission.acquire(
                LARGE, request, first_token_s=KEPT_ROOM_S
            )
            large += taken is None
        request = make_request()
        taken = admission.acquire(SMALL, request, first_token_s=KEPT_ROOM_S)
        if taken is None:
            small += 1
            admission.release(request.id)
        await anyio.sleep(0.1)
    return large, small
