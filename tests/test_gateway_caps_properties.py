"""Caps over random messages: lost, late, one way, and daemons that restart."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support.daemon_model import (
    ACCOUNT,
    ALLOWED,
    Model,
    complete,
)

DAEMONS = 4
RELAYED = 22
STEPS = 400
WARM_STEPS = 60
CUT_STEPS = range(80, 260)


def flood(model, shares):
    """Let each daemon take what comes to it in one step."""
    for daemon in model.daemons:
        for _ in range(model.rng.randrange(shares[daemon.number] + 1)):
            cost = model.rng.choice([1.0, 1.0, 5.0])
            refusal = daemon.caps.acquire(ACCOUNT, cost)
            if refusal is not None and refusal.missing_shares:
                complete(daemon.borrow(refusal.missing_shares))
                refusal = daemon.caps.acquire(ACCOUNT, cost)
            if refusal is None:
                model.uses.append((model.now, cost))


def play(seed, *, lost, late, shares, cuts, centres=('north',)):
    """Flood an account for a while; return what it got at most."""
    model = Model(
        random.Random(seed),
        lost=lost,
        late=late,
        daemons=len(shares),
        centres=centres,
    )
    for daemon in model.daemons:
        daemon.caps.load_record(None)
    for step in range(STEPS):
        model.cuts = cuts if step in CUT_STEPS else set()
        model.step(step)
        for daemon in model.daemons:
            complete(daemon.loans.return_unneeded())
        if step >= WARM_STEPS:
            flood(model, shares)
    return model.most_in_window()


def pairs(daemons):
    numbers = st.integers(0, daemons - 1)
    return st.tuples(numbers, numbers).filter(lambda pair: pair[0] != pair[1])


class TestCapsOverAnyMessages(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=30)
    @given(
        seed=st.integers(0, 2**32),
        lost=st.floats(0.0, 0.6),
        late=st.floats(0.0, 1.5),
        shares=st.lists(
            st.integers(0, 4), min_size=DAEMONS, max_size=DAEMONS
        ).filter(any),
        cuts=st.sets(pairs(DAEMONS), max_size=8),
    )
    def test_account_never_gets_more_than_its_cap(
        self, seed, lost, late, shares, cuts
    ):
        """An account floods four daemons whose messages go astray.

        Some are lost or late, and some daemons are heard by others that they
        do not hear. Whatever each believes, together they let no more through
        than the cap.
        """
        most = play(seed, lost=lost, late=late, shares=shares, cuts=cuts)
        self.assertLessEqual(most, ALLOWED)

    @settings(derandomize=True, deadline=None, max_examples=12)
    @given(
        seed=st.integers(0, 2**32),
        lost=st.floats(0.0, 0.6),
        late=st.floats(0.0, 1.5),
        busy=st.sets(st.integers(0, RELAYED - 1), min_size=1, max_size=6),
        cuts=st.sets(pairs(RELAYED), max_size=60),
    )
    def test_nor_with_relays_between_the_daemons(
        self, seed, lost, late, busy, cuts
    ):
        """An account floods some of twenty-two daemons in two data centres.

        What a daemon let through reaches most others through relays, which
        may be cut off on either side. A relay that confirmed for a member
        what that member never heard would free a part of the cap twice.
        """
        shares = [3 if each in busy else 0 for each in range(RELAYED)]
        most = play(
            seed,
            lost=lost,
            late=late,
            shares=shares,
            cuts=cuts,
            centres=('north', 'south'),
        )
        self.assertLessEqual(most, ALLOWED)
