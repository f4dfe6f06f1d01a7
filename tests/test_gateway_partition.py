"""What daemons do that are cut off from all endpoints only."""

import unittest
from dataclasses import dataclass, field

import anyio

from tests.support import crashes
from tests.support.clock import run_paused
from tests.support.platform_site import Partition, open_site

PATHS = ('/slip/', '/list/', '/draft/', '/question/')
PER_S = 10.0
CUT_S = 12.0
CONTACT_S = 3.0
"""Time within which a daemon has to find a way around."""
LEAST_SERVED = 2 / 3
"""Share of the first attempts served, against those at other daemons."""


@dataclass(kw_only=True)
class Attempts:
    """First attempts of callers during a partition."""

    by_cut: dict = field(default_factory=lambda: {True: [], False: []})
    """Whether the daemon was cut off, and the answers of such ones."""

    def served(self, is_cut):
        return sum(each.status == 200 for each in self.by_cut[is_cut])

    def share(self, is_cut):
        return self.served(is_cut) / max(len(self.by_cut[is_cut]), 1)


async def ask_all(site, attempts, cut, for_s):
    """Send requests of each kind to the daemons in turn."""
    caller = site.caller()

    async def send(number, path):
        place = number % len(site.daemons)
        answer = await crashes.send(site, caller, place, f'{path}{number}')
        attempts.by_cut[place in cut].append(answer)

    async with anyio.create_task_group() as tasks:
        for number in range(int(for_s * PER_S)):
            for path in PATHS:
                tasks.start_soon(send, number, path)
            await anyio.sleep(1 / PER_S)


async def play(partition, *, daemons, cut):
    """Cut daemons off; return the first attempts from `CONTACT_S` on."""
    async with open_site(daemons=daemons, engines=6, apps=6) as site:
        await ask_all(site, Attempts(), cut, 2.0)
        for number in cut:
            site.partition_from_endpoints(number, partition)
        await ask_all(site, Attempts(), cut, CONTACT_S)
        attempts = Attempts()
        await ask_all(site, attempts, cut, CUT_S - CONTACT_S)
        return attempts


class TestPartition(unittest.TestCase):
    # Guards against daemons that refuse all that they get while others could
    # serve it.

    def check(self, partition, **sizes):
        attempts = run_paused(lambda: play(partition, **sizes))
        failed = len(attempts.by_cut[True]) - attempts.served(True)
        everyone = sum(map(len, attempts.by_cut.values()))
        self.assertGreaterEqual(
            attempts.share(True), LEAST_SERVED * attempts.share(False)
        )
        self.assertLessEqual(failed, 10 + everyone / 50)
        self.assertGreater(attempts.share(False), 0.95)

    def test_some_daemons_that_reach_no_endpoint_serve_their_callers(self):
        for partition in Partition:
            with self.subTest(partition=partition.name):
                self.check(partition, daemons=9, cut={1, 4, 7})

    def test_so_do_most_of_them(self):
        for partition in Partition:
            with self.subTest(partition=partition.name):
                self.check(partition, daemons=9, cut={0, 1, 3, 4, 6, 7})

    def test_so_does_one_of_many(self):
        for partition in Partition:
            with self.subTest(partition=partition.name):
                self.check(partition, daemons=15, cut={5})


if __name__ == '__main__':
    unittest.main()
