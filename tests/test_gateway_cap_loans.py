"""Shares of caps that daemons lend each other, and what callers get of it."""

import random
import unittest
from dataclasses import dataclass

import anyio
from mimosamux_daemon.domain.names import AccountId
from mimosamux_daemon.gateway.limits.caps import CapRules
from mimosamux_daemon.gateway.limits.loan_book import LOAN_S, LoanBook

from tests.support.clock import run_paused
from tests.support.daemon_model import ACCOUNT, ALLOWED, Model, complete
from tests.support.platform_site import default_document, open_site

SCHOOL = AccountId('school')
WINDOW_S = 8.0
DAEMONS = 15
RATE, BURST = 12_000, 60_000
"""Tokens a second, and at once: a daemon's part is smaller than a draft."""
RULES = CapRules(window_s=WINDOW_S, overage=0.1, tolerance=0.0)
ALLOWED_TOKENS = (RATE * WINDOW_S + BURST) * 1.1


def prompt_headers(number, tokens=12_000):
    """Return the headers of a long prompt that shares nothing."""
    return (
        (b'X-Model', b'm'),
        (b'X-Token-Usage', b'%d,380' % tokens),
        (b'X-Prompt-Prefix', b'%08x:%d' % (number, tokens)),
    )


def capped_document():
    document = default_document()
    document.tenants[0] |= {
        'ratePerS': RATE,
        'burst': BURST,
        'unit': 'tokens',
        'uncachedTokens': 1000,
    }
    return document


class TestLoanBook(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.book = LoanBook(window_s=WINDOW_S, clock=lambda: self.now)

    def test_share_comes_back_when_it_is_returned(self):
        self.book.lend(SCHOOL, (7, 1), 0.5)
        self.assertEqual(self.book.lent_share(SCHOOL), 0.5)
        self.book.remove_lent(SCHOOL, (7, 1))
        self.assertEqual(self.book.lent_share(SCHOOL), 0.0)

    def test_word_of_another_loan_gives_nothing_back(self):
        """A return that was under way for long comes after the next loan."""
        self.book.lend(SCHOOL, (7, 2), 0.5)
        self.book.remove_lent(SCHOOL, (7, 1))
        self.book.remove_lent(SCHOOL, (8, 2))
        self.assertEqual(self.book.lent_share(SCHOOL), 0.5)

    def test_share_of_a_borrower_that_died_comes_back_after_a_window(self):
        """What it used counts for a window, and nobody tells of it."""
        self.book.lend(SCHOOL, (7, 1), 0.5)
        self.now += WINDOW_S
        self.assertEqual(self.book.lent_share(SCHOOL), 0.5)
        self.now += LOAN_S
        self.assertEqual(self.book.lent_share(SCHOOL), 0.0)

    def test_borrowed_share_is_kept_while_its_uses_are_unconfirmed(self):
        """Given back, it would be used a second time before all know."""
        self.book.add_borrowed(1, SCHOOL, 0.5, self.now)
        self.now += LOAN_S
        self.assertEqual(self.book.borrowed_share(SCHOOL), 0.0)
        self.book.mark_unneeded({SCHOOL: 0.3})
        self.assertEqual(self.book.pop_unneeded(), [])
        self.book.mark_unneeded({SCHOOL: 0.0})
        self.assertEqual(self.book.pop_unneeded(), [1])


class TestLending(unittest.TestCase):
    def lend(self, *, used, wanted=0.5):
        model = Model(random.Random(1), daemons=4)
        for daemon in model.daemons:
            daemon.caps.load_record(None)
        for step in range(40):
            model.step(step)
        caps = model.daemons[0].caps
        self.assertIsNone(caps.acquire(ACCOUNT, used))
        return caps.lend(ACCOUNT.id, (7, 1), wanted)

    def test_daemon_with_uses_of_its_own_lends_what_it_has_to_spare(self):
        self.assertGreater(self.lend(used=1.0), 0.4)
        self.assertEqual(self.lend(used=45.0), 0.0)

    def test_daemon_that_lent_all_it_could_uses_only_the_rest(self):
        """Its borrower counts on the share: both would use it."""
        model = Model(random.Random(1), daemons=4)
        for daemon in model.daemons:
            daemon.caps.load_record(None)
        for step in range(40):
            model.step(step)
        caps = model.daemons[0].caps
        self.assertGreater(caps.lend(ACCOUNT.id, (7, 1), 0.75), 0.7)
        self.assertIsNone(caps.acquire(ACCOUNT, 5.0))
        used = 5.0
        while caps.acquire(ACCOUNT, 5.0) is None:
            used += 5.0
        self.assertLess(used, 0.3 * ALLOWED / 4)

    def test_daemon_that_just_started_lends_nothing(self):
        """It does not know yet what was used before it."""
        model = Model(random.Random(1), daemons=4)
        share = model.daemons[0].caps.lend(ACCOUNT.id, (7, 1), 0.5)
        self.assertEqual(share, 0.0)

    def test_cap_holds_while_daemons_that_lent_die(self):
        """Lenders are killed right after they lent, and start again.

        The new process knows of no loan. Used a second time, the share would
        bring the account past its cap.
        """
        for seed in range(8):
            with self.subTest(seed=seed):
                most = self.flood_with_deaths(random.Random(seed))
                self.assertLessEqual(most, ALLOWED)

    def flood_with_deaths(self, rng):
        model = Model(rng, daemons=16, centres=('north', 'south'))
        for daemon in model.daemons:
            daemon.caps.load_record(None)
        for step in range(400):
            model.step(step)
            for daemon in model.daemons:
                complete(daemon.loans.return_unneeded())
            if step < 60:
                continue
            self.use(model, model.daemons[rng.randrange(4)])
            if step % 100 == 99:
                number = rng.randrange(4, 16)
                model.restart(number)
                model.daemons[number].caps.load_record(None)
        return model.most_in_window()

    def use(self, model, daemon):
        refusal = daemon.caps.acquire(ACCOUNT, 8.0)
        if refusal is not None and refusal.missing_shares:
            complete(daemon.borrow(refusal.missing_shares))
            refusal = daemon.caps.acquire(ACCOUNT, 8.0)
        if refusal is None:
            model.uses.append((model.now, 8.0))


class TestWhatCallersGet(unittest.TestCase):
    """Long prompts of one account, at fifteen daemons before three engines."""

    def play(self, gap_s, seconds):
        """Send a prompt each `gap_s`, at any daemon; return the answers."""

        async def check():
            answers = []
            async with open_site(
                daemons=DAEMONS, document=capped_document(), caps=RULES
            ) as site:
                await anyio.sleep(3)

                async def send(number):
                    entry = site.daemons[number % DAEMONS].entry
                    answers.append(
                        await site.caller(patience_s=15.0).send(
                            entry,
                            '/draft/1',
                            body=b'brief',
                            headers=prompt_headers(number),
                        )
                    )

                for number in range(int(seconds / gap_s)):
                    site.tasks.start_soon(send, number)
                    await anyio.sleep(gap_s)
                await anyio.sleep(3)
                return answers

        return run_paused(check)

    def test_prompts_under_the_cap_are_all_served(self):
        """An account uses two thirds of its cap, one long prompt at a time.

        Each is larger than the part of the daemon that it comes to. Callers
        were told to come back though there was room.
        """
        answers = self.play(gap_s=1.5, seconds=24.0)
        self.assertEqual({answer.status for answer in answers}, {200})

    def test_flood_gets_its_cap_and_no_more(self):
        """An account sends five times its cap.

        It gets most of what it may have, in any span of a window, and the
        rest is told at once when to come back.
        """
        answers = self.play(gap_s=0.2, seconds=24.0)
        served = sorted(
            answer.sent_at for answer in answers if answer.status == 200
        )
        most = max(
            sum(at <= other < at + WINDOW_S for other in served)
            for at in served
        )
        self.assertLessEqual(most * 12_380, ALLOWED_TOKENS)
        self.assertGreaterEqual(len(served) * 12_380, 0.6 * 24 * RATE)
        for answer in answers:
            self.assertIn(answer.status, (200, 429))
            if answer.status == 429:
                self.assertLess(answer.ended_at - answer.sent_at, 1.0)
                self.assertGreater(answer.retry_after_s, 0.0)


class TestCallersThatLeave(unittest.TestCase):
    def test_slip_of_a_caller_that_left_while_it_waited_does_not_run(self):
        """A cap is waited for, and the caller gives up meanwhile.

        Let in afterwards, the slip would be sent out for nobody, and once
        more when its caller asks again.
        """

        async def check():
            async with open_site(daemons=1) as site:
                admission = site.daemons[0].daemon.parts.admission
                admit = admission._check

                async def admit_later(request, sink):
                    await anyio.sleep(0.3)
                    return admit(request, sink)

                site.daemons[0].daemon.parts.forwarder.admission = Waiting(
                    admit=admit_later
                )
                await site.caller(leaves_after_s=0.1).send(
                    site.daemons[0].entry, '/slip/1', body=b's'
                )
                await anyio.sleep(1)
                return len(site.runs())

        self.assertEqual(run_paused(check), 0)


@dataclass(frozen=True, kw_only=True)
class Waiting:
    """An admission that waits before it decides."""

    admit: object
