"""Endpoints: who is listed, who leaves, and what daemons tell each other."""

import unittest

import anyio
from mimosamux_daemon.domain.gateway import PromptInfo, PromptPart
from mimosamux_daemon.domain.names import EndpointId
from mimosamux_daemon.gateway.roster import GONE_RETENTION_S
from mimosamux_standins.site.store import StoreTrouble

from tests.support.clock import run_paused
from tests.support.memory_network import machine_of
from tests.support.platform_site import STORE, open_site
from tests.support.prompts import prompt_of

LEARNED_S = 2.0
USE = PromptInfo(
    model='m',
    prompt_tokens=600,
    parts=(PromptPart(id='a1', tokens=500), PromptPart(id='b2', tokens=100)),
)


def apps_of(site):
    return [
        replica
        for replica in site.replicas_by_id.values()
        if replica.service == 'app'
    ]


async def send_slips(site, count, number=0):
    caller = site.caller()
    return [
        await caller.send(site.daemons[number].entry, '/slip/1', body=b's')
        for _ in range(count)
    ]


def arrived_since(replica, at):
    return [when for when, _ in replica.arrivals if when > at]


class TestEndpoints(unittest.TestCase):
    def test_endpoint_that_leaves_gets_nothing_new_from_any_daemon(self):
        """A replica says that it leaves, and one daemon is cut off.

        The cut daemon hears it from its peers; what it still sent there would
        be cut off when the replica goes.
        """

        async def check():
            async with open_site() as site:
                site.network.cut(site.daemons[0].machine, machine_of(STORE))
                await anyio.sleep(0.5)
                leaving = apps_of(site)[0]
                site.drain_replica(leaving)
                at = anyio.current_time() + 0.2
                await anyio.sleep(0.2)
                for number in range(3):
                    await send_slips(site, 10, number)
                return arrived_since(leaving, at)

        self.assertEqual(run_paused(check), [])

    def test_endpoint_known_to_leave_stays_so_while_the_store_is_down(self):
        """The store goes down right after a replica said that it leaves."""

        async def check():
            async with open_site() as site:
                leaving = apps_of(site)[0]
                site.drain_replica(leaving)
                await anyio.sleep(0.1)
                site.store.trouble = StoreTrouble.SILENT
                at = anyio.current_time()
                await anyio.sleep(5)
                for number in range(3):
                    await send_slips(site, 10, number)
                return arrived_since(leaving, at)

        self.assertEqual(run_paused(check), [])

    def test_endpoint_whose_entry_vanishes_is_gone_at_once(self):
        """A replica leaves without a word: only its entry is taken away."""

        async def check():
            async with open_site() as site:
                leaving = apps_of(site)[0]
                site.unlist_replica(leaving)
                await anyio.sleep(0.1)
                at = anyio.current_time()
                for number in range(3):
                    await send_slips(site, 10, number)
                return arrived_since(leaving, at)

        self.assertEqual(run_paused(check), [])

    def test_entries_that_lapsed_while_the_store_was_down_still_serve(self):
        """The store was down, and all entries are gone when it is back.

        The replicas live and are listed again within two seconds. Taken as
        gone meanwhile, the whole service would turn its callers away.
        """

        async def check():
            async with open_site() as site:
                site.store.trouble = StoreTrouble.BUSY
                await anyio.sleep(5)
                for replica in apps_of(site):
                    site.unlist_replica(replica)
                site.store.trouble = StoreTrouble.NONE
                await anyio.sleep(1.3)
                answers = await send_slips(site, 6)
                for replica in apps_of(site):
                    site.list_replica(replica)
                await anyio.sleep(3)
                answers += await send_slips(site, 6)
                return {answer.status for answer in answers}

        self.assertEqual(run_paused(check), {200})

    def test_entry_that_stays_missing_after_an_outage_is_gone(self):
        """A replica died while the store was down; the others came back."""

        async def check():
            async with open_site() as site:
                site.store.trouble = StoreTrouble.BUSY
                await anyio.sleep(5)
                dead = apps_of(site)[0]
                for replica in apps_of(site):
                    site.unlist_replica(replica)
                site.store.trouble = StoreTrouble.NONE
                await anyio.sleep(1)
                for replica in apps_of(site)[1:]:
                    site.list_replica(replica)
                await anyio.sleep(LEARNED_S)
                at = anyio.current_time()
                await send_slips(site, 20)
                return arrived_since(dead, at)

        self.assertEqual(run_paused(check), [])

    def test_unreadable_entry_takes_no_endpoint_away(self):
        """An entry in the list cannot be read; the others serve on."""

        async def check():
            async with open_site() as site:
                site.store.put('servers', 'i-odd', {'service': 'app'})
                site.store.put('servers', apps_of(site)[0].id, [1, 2])
                site.store.put('servers', 'i-odder', 'text')
                await anyio.sleep(0.5)
                answers = await send_slips(site, 6)
                return {answer.status for answer in answers}

        self.assertEqual(run_paused(check), {200})

    # Guards against a number of a row, or of a report, that ends all daemons.
    def test_endpoint_that_leaves_in_ages_ends_no_daemon(self):
        async def check(is_end_listed):
            async with open_site() as site:
                replica = next(iter(site.replicas_by_id.values()))
                replica.leaves_ms = float(2**64 - 1)
                replica.is_end_listed = is_end_listed

                async def ask(number):
                    await site.caller(patience_s=15.0).send(
                        site.daemons[number % 3].entry,
                        f'/draft/{number}',
                        headers=prompt_of('ab', f'{number:04x}'),
                        body=b'x',
                    )

                async with anyio.create_task_group() as tasks:
                    for number in range(9):
                        tasks.start_soon(ask, number)
                    await anyio.sleep(0.05)
                    site.drain_replica(replica)
                await anyio.sleep(3.0)
                return [each.ended.is_set() for each in site.daemons]

        for is_end_listed in (True, False):
            self.assertEqual(run_paused(check, is_end_listed), [False] * 3)

    def test_work_is_spread_over_the_endpoints_of_a_service(self):
        async def check():
            async with open_site() as site:
                async with anyio.create_task_group() as tasks:
                    for number in range(12):
                        tasks.start_soon(send_slips, site, 5, number % 3)
                return [len(replica.runs) for replica in apps_of(site)]

        counts = run_paused(check)
        self.assertEqual(sum(counts), 60)
        self.assertLess(max(counts), 2 * min(counts) + 5)

    def test_nothing_is_kept_of_engines_that_are_gone_for_long(self):
        """Engines are reclaimed and come back under new ids, for days.

        What each held in its cache is remembered; kept for good, it fills the
        memory of the daemon until it is killed, and open streams break.
        """

        async def check():
            async with open_site(daemons=1) as site:
                daemon = site.daemons[0].daemon
                for _ in range(3):
                    engine = await site.add_replica('llm', 'north')
                    daemon.parts.chooser.prefix_index.note_read(
                        EndpointId(engine.id), USE
                    )
                    await anyio.sleep(1)
                    site.drain_replica(engine)
                    site.unlist_replica(engine)
                    await anyio.sleep(GONE_RETENTION_S + 1)
                await site.add_replica('llm', 'north')
                await anyio.sleep(1)
                return len(daemon.parts.chooser.prefix_index)

        self.assertEqual(run_paused(check), 0)
