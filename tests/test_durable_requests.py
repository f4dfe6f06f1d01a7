"""Requests of durable classes and the journal's answers."""

import unittest
from dataclasses import replace

import anyio
import anyio.lowlevel
from mimosamux_daemon.adapters.memory_table import MemoryTable
from mimosamux_daemon.control.journal_claims import JournalClaims
from mimosamux_daemon.domain.outcomes import InDoubt, Refused
from mimosamux_daemon.domain.store import Unavailable

from tests.support.clock import run_paused
from tests.support.serving import DRAFT, make_request, open_site

LASTING = replace(DRAFT, durable=True)


class FailingJournal:
    """Fails each record, in one way or the other."""

    def __init__(self, *, may_have_taken_effect: bool) -> None:
        self.answer = Unavailable(
            reason='outage', may_have_taken_effect=may_have_taken_effect
        )
        self.asked = anyio.Event()
        self.delay_s = 0.0

    async def record(self, request):
        self.asked.set()
        await anyio.sleep(self.delay_s)
        return self.answer

    async def forget(self, request):
        await anyio.lowlevel.checkpoint()


def offer(journal):
    async def check():
        async with open_site(engines=1, journal=journal) as site:
            request = make_request('a trip', work_class=LASTING)
            return await site.serving.offer(request, site.configuration)

    return run_paused(check)


class TestDurableRequests(unittest.TestCase):
    def test_a_record_that_was_not_made_is_an_honest_refusal(self):
        async def check():
            return FailingJournal(may_have_taken_effect=False)

        outcome = offer(run_paused(check))
        self.assertIsInstance(outcome, Refused)

    def test_a_record_that_may_stand_is_not_called_not_run(self):
        """The journal takes the record and its answer is lost.

        The daemon may die before it has taken the record back; another
        one then runs the request. A teacher who was told that it did not
        run would have sent it elsewhere.
        """

        async def check():
            return FailingJournal(may_have_taken_effect=True)

        self.assertIsInstance(offer(run_paused(check)), InDoubt)

    def test_a_caller_who_hangs_up_early_leaves_nothing_open(self):
        """The caller is gone while the journal is being asked.

        The account would be charged for a request that nobody serves.
        """

        async def check():
            journal = FailingJournal(may_have_taken_effect=False)
            journal.delay_s = 1.0
            async with open_site(engines=1, journal=journal) as site:
                request = make_request('a trip', work_class=LASTING)
                with anyio.move_on_after(0.5):
                    await site.serving.offer(request, site.configuration)
                return list(site.registry.open_requests())

        self.assertEqual(run_paused(check), [])


class LeavingMembership:
    """The poller of a data centre, which stops beside a gone daemon."""

    left_at = 0.0

    def is_poller(self):
        return True

    def recently_gone(self):
        return ('gone',)

    def data_centres(self):
        return ('east',)


class ClaimCounter:
    """Counts the claims of dead daemons' requests."""

    def __init__(self) -> None:
        self.claimed: list[str] = []

    async def claim(self, dead):
        self.claimed.append(dead)
        return ()


class TestClaims(unittest.TestCase):
    def test_a_daemon_that_stops_claims_no_requests(self):
        # Guards against requests that are claimed by a daemon at its end.
        async def check():
            journal = ClaimCounter()
            claims = JournalClaims(
                journal=journal,
                table=MemoryTable(),
                membership=LeavingMembership(),
                resume_request=journal.claim,
            )
            with anyio.move_on_after(60.0):
                await claims.run()
            return journal.claimed

        self.assertEqual(run_paused(check), [])
