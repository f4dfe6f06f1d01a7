"""The last digest of a daemon that stops."""

import unittest

import anyio
from mimosamux_daemon.domain.names import AccountId
from mimosamux_standins.site import ReplicaSpeed

from tests.support import crashes
from tests.support.clock import run_paused
from tests.support.platform_site import open_site

SCHOOL = AccountId('school')


def counted(handle):
    """Return the requests of the school that a daemon knows of."""
    counts = handle.daemon.parts.request_counts
    recent = range(counts.window - 1, counts.window + 1)
    return sum(counts.total(window).get(SCHOOL, 0) for window in recent)


async def hand_over(site, number=0):
    """Count a request, and have the daemon send its last digest."""
    parts = site.daemons[number].daemon.parts
    parts.request_counts.increment(SCHOOL)
    began_at = anyio.current_time()
    await parts.states.send_last_digest()
    return anyio.current_time() - began_at


class TestLastDigest(unittest.TestCase):
    # Guards against requests of the last moments that nobody reports.
    def test_peers_have_it_when_it_was_sent(self):
        async def check():
            async with open_site(daemons=3) as site:
                await hand_over(site)
                return [counted(each) for each in site.daemons]

        self.assertEqual(run_paused(check), [1, 1, 1])

    def test_so_has_some_daemon_beside_relays(self):
        async def check(number):
            async with open_site(daemons=14) as site:
                await hand_over(site, number)
                return sum(map(counted, site.daemons))

        for number in (0, 7, 13):
            with self.subTest(number=number):
                self.assertGreater(run_paused(check, number), 1)

    # Guards against answered requests that the daemon's stop leaves uncounted.
    def test_answers_at_the_end_of_a_stop_are_counted(self):
        async def check(work_s):
            async with open_site(daemons=3) as site:
                for replica in site.replicas_by_id.values():
                    replica.speed = ReplicaSpeed(work_s=work_s)
                caller, answers = site.caller(patience_s=8.0), []

                async def send():
                    answers.append(
                        await crashes.send(site, caller, 0, '/slip/1')
                    )

                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(send)
                    await anyio.sleep(0.05)
                    site.daemons[0].daemon.stop()
                    await site.daemons[0].ended.wait()
                return answers[0].status, counted(site.daemons[1])

        for work_s in (2.6, 2.7, 2.8, 2.9):
            with self.subTest(work_s=work_s):
                self.assertEqual(run_paused(check, work_s), (200, 1))

    # Guards against a stop that waits for peers which have ended as well.
    def test_stop_does_not_wait_for_peers_that_stop_before_it(self):
        async def check():
            async with open_site(daemons=3) as site:
                for handle in site.daemons[1:]:
                    handle.daemon.stop()
                await anyio.sleep(0.5)
                site.kill_daemon(1)
                site.kill_daemon(2)
                return await hand_over(site)

        self.assertEqual(run_paused(check), 0.0)

    # Guards against a stop that waits for peers which answer nothing.
    def test_wait_for_silent_peers_is_short(self):
        async def check():
            async with open_site(daemons=3) as site:
                site.cut_from_peers(0)
                return await hand_over(site)

        self.assertLess(run_paused(check), 0.5)


if __name__ == '__main__':
    unittest.main()
