"""Usage caps: kept by all daemons together, also through cuts and starts."""

import unittest

import anyio
from mimosamux_daemon.gateway.limits.caps import CapRules

from tests.support.clock import run_paused
from tests.support.platform_site import default_document, open_site

RATE = 20.0
BURST = 20.0
WINDOW_S = 8.0
NOMINAL = RATE * WINDOW_S + BURST
OVERAGE = 0.1
TOLERANCE = 20.0
ALLOWED = NOMINAL * (1 + OVERAGE) + TOLERANCE


def capped_document():
    document = default_document()
    document.tenants[0] |= {'ratePerS': RATE, 'burst': BURST}
    return document


RULES = CapRules(window_s=WINDOW_S, overage=OVERAGE, tolerance=TOLERANCE)


def open_capped_site(**fields):
    """Return a site with one account whose cap is small."""
    return open_site(document=capped_document(), caps=RULES, apps=6, **fields)


async def flood(site, number, seconds, pause_s=0.02):
    """Send to one daemon as if the account knew no cap."""
    caller = site.caller()
    entry = site.daemons[number].entry
    end = anyio.current_time() + seconds
    async with anyio.create_task_group() as tasks:
        while anyio.current_time() < end:
            tasks.start_soon(caller.send, entry, '/slip/1')
            await anyio.sleep(pause_s)
    return caller.answers


def most_in_window(site, seconds=WINDOW_S):
    """Return the most runs that began in any span of a length."""
    times = [run.began_at for run in site.runs()]
    return max(
        sum(start <= at < start + seconds for at in times) for start in times
    )


class TestCaps(unittest.TestCase):
    def run_flood(self, act, seconds=12.0, **fields):
        async def check():
            async with open_capped_site(**fields) as site:
                await anyio.sleep(10)
                async with anyio.create_task_group() as tasks:
                    for number in range(3):
                        tasks.start_soon(flood, site, number, seconds)
                    tasks.start_soon(act, site)
                return most_in_window(site), len(site.runs())

        return run_paused(check)

    def test_account_that_floods_gets_its_cap_and_no_more(self):
        async def nothing(site):
            pass

        most, total = self.run_flood(nothing)
        self.assertLessEqual(most, ALLOWED)
        self.assertGreater(most, 0.9 * NOMINAL)

    def test_cap_holds_while_daemons_cannot_talk(self):
        """Three daemons are cut off from each other under a flood.

        Each would let the whole cap through by itself.
        """

        async def cut(site):
            machines = [handle.machine for handle in site.daemons]
            for first in machines:
                for second in machines:
                    if first != second:
                        site.network.cut(first, second)

        most, _ = self.run_flood(cut)
        self.assertLessEqual(most, ALLOWED)

    def test_cap_holds_while_a_daemon_hears_and_is_not_heard(self):
        """Messages of one daemon reach nobody; it hears all others.

        By time alone it would take its uses for known after a second, let the
        whole cap through, and the others would add their part.
        """

        async def check():
            async with open_capped_site() as site:
                await anyio.sleep(10)
                machines = [handle.machine for handle in site.daemons]
                for other in machines[1:]:
                    site.network.cut(machines[0], other, one_way=True)
                await anyio.sleep(2)
                await flood(site, 0, 4.0)
                async with anyio.create_task_group() as tasks:
                    for number in (1, 2):
                        tasks.start_soon(flood, site, number, 3.0)
                return most_in_window(site)

        self.assertLessEqual(run_paused(check), ALLOWED)

    def test_cap_holds_while_two_daemons_talk_only_to_a_third(self):
        """Two data centres lose each other, and both reach a third one.

        Each daemon leaves the part of the one that it cannot hear, and both
        would use up the rest: a third more than the cap.
        """

        async def check():
            async with open_capped_site() as site:
                await anyio.sleep(10)
                machines = [handle.machine for handle in site.daemons]
                site.network.cut(machines[0], machines[1])
                await anyio.sleep(2)
                async with anyio.create_task_group() as tasks:
                    for number in (0, 1):
                        tasks.start_soon(flood, site, number, 7.0)
                return most_in_window(site)

        self.assertLessEqual(run_paused(check), ALLOWED)

    def test_most_of_a_cap_is_let_through_before_anything_is_refused(self):
        """An account sends far more than usual, all at once.

        Requests within its cap that are refused are lost to its callers.
        """

        async def check():
            async with open_capped_site() as site:
                await anyio.sleep(10)
                answers = []

                async def send(number):
                    answers.extend(await flood(site, number, 2.0))

                async with anyio.create_task_group() as tasks:
                    for number in range(3):
                        tasks.start_soon(send, number)
                answers.sort(key=lambda answer: answer.sent_at)
                statuses = [answer.status for answer in answers]
                return statuses.index(429)

        self.assertGreater(run_paused(check), 0.75 * NOMINAL)

    def test_cap_holds_when_every_daemon_dies_at_once(self):
        """All daemons die in the middle of a flood and start again.

        None of them knows what was used before, and the account would get its
        cap a second time.
        """

        async def kill_all(site):
            await anyio.sleep(3)
            for number in range(3):
                site.kill_daemon(number)
            await anyio.sleep(0.6)
            for number in range(3):
                site.start_daemon(number)

        most, _ = self.run_flood(kill_all)
        self.assertLessEqual(most, ALLOWED)

    def test_cap_holds_when_daemons_start_anew_one_by_one(self):
        """Each daemon is killed and started in turn under a flood."""

        async def roll(site):
            for number in range(3):
                await anyio.sleep(1.5)
                site.kill_daemon(number)
                await anyio.sleep(0.3)
                site.start_daemon(number)

        most, _ = self.run_flood(roll)
        self.assertLessEqual(most, ALLOWED)

    def test_account_within_its_cap_is_served_after_all_daemons_died(self):
        """All daemons die, and an account goes on below its cap.

        Taken for one that has used everything, it would be turned away for
        as long as the window lasts.
        """

        async def check():
            async with open_capped_site() as site:
                await anyio.sleep(10)
                await flood(site, 0, 6.0, pause_s=0.1)
                for number in range(3):
                    site.kill_daemon(number)
                await anyio.sleep(0.6)
                for number in range(3):
                    await site.start_daemon(number).wait()
                await anyio.sleep(1.0)
                answers = await flood(site, 0, 6.0, pause_s=0.1)
                return [answer.status for answer in answers].count(429)

        self.assertEqual(run_paused(check), 0)

    def test_refusal_says_when_to_come_again(self):
        async def check():
            async with open_capped_site() as site:
                await anyio.sleep(10)
                answers = await flood(site, 0, 3.0, pause_s=0.01)
                refused = [each for each in answers if each.status == 429]
                runs = {run.id for run in site.runs()}
                return (
                    len(refused),
                    {each.retry_after_s is not None for each in refused},
                    runs & {each.id for each in refused},
                )

        count, told, run_all_the_same = run_paused(check)
        self.assertGreater(count, 0)
        self.assertEqual((told, run_all_the_same), ({True}, set()))

    def test_what_has_not_run_does_not_count(self):
        """Endpoints turn requests down; the account keeps its cap."""

        async def check():
            async with open_site(
                document=capped_document(), caps=RULES, apps=1
            ) as site:
                await anyio.sleep(10)
                (app,) = [
                    replica
                    for replica in site.replicas_by_id.values()
                    if replica.service == 'app'
                ]
                site.crash_replica(app)
                answers = await flood(site, 0, 4.0, pause_s=0.01)
                return {answer.status for answer in answers}

        self.assertEqual(run_paused(check), {503})
