"""How the adapter reads and writes a store that was restored from a copy."""

import unittest
from contextlib import asynccontextmanager
from dataclasses import dataclass

import anyio
from mimosamux_daemon.adapters.http1_channels import Channels
from mimosamux_daemon.adapters.http1_server import Http1Server
from mimosamux_daemon.domain.routes import TrafficLimits
from mimosamux_daemon.domain.store import (
    Check,
    Committed,
    Conflict,
    Unavailable,
    Write,
)
from mimosamux_daemon.domain.store_eras import (
    StoreEra,
    era_of,
    make_version,
    number_of,
)
from mimosamux_daemon.ports.feeds import FeedNews, HistoryLost
from mimosamux_platform.http_calls import PlatformCalls
from mimosamux_platform.store import StoreFeed
from mimosamux_platform.table import StoreTable
from mimosamux_standins.site.store import StandInStore

from tests.support.clock import run_paused
from tests.support.memory_network import MemoryNetwork

ADDRESS = '10.200.0.1:8361'
KEY = 'notes/one'


@dataclass(kw_only=True)
class Adapter:
    """The stand-in store, and the adapter's ways to it."""

    store: StandInStore
    era: StoreEra
    table: StoreTable
    feed: StoreFeed

    async def write(self, value, version=0, key=KEY):
        return await self.table.commit(
            [Check(key=key, version=version)], [Write(key=key, value=value)]
        )


@asynccontextmanager
async def open_adapter(states_era=True):
    network, store = MemoryNetwork(), StandInStore(states_era=states_era)
    server = Http1Server(handler=store.handle, limits=TrafficLimits)
    listener = await network.at('10.200.0.1').listen(ADDRESS)
    era = StoreEra()
    calls = PlatformCalls(
        address=ADDRESS,
        channels=Channels(network=network.at('10.1.0.1'), connect_timeout_s=1),
        store_era=era,
    )

    def note_time(store_s):
        return store_s

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, server.serve, tasks)
        yield Adapter(
            store=store,
            era=era,
            table=StoreTable(calls=calls, note_time=note_time),
            feed=StoreFeed(
                calls=calls,
                table='notes',
                parse_item=lambda row, data: data,
                note_time=note_time,
            ),
        )
        tasks.cancel_scope.cancel()


def check(function, **fields):
    async def run():
        async with open_adapter(**fields) as adapter:
            return await function(adapter)

    return run_paused(run)


class TestVersions(unittest.TestCase):
    def test_version_holds_era_and_number(self):
        version = make_version(3, 77)
        self.assertEqual((era_of(version), number_of(version)), (3, 77))
        self.assertGreater(version, make_version(2, 2**43))

    def test_store_without_eras_gives_its_own_numbers(self):
        async def run(adapter):
            outcome = await adapter.write(b'a')
            await adapter.write(b'b', outcome.versions[KEY])
            return outcome.versions[KEY], adapter.era.current

        self.assertEqual(check(run, states_era=False), (1, 0))

    def test_first_write_before_any_answer_is_committed(self):
        async def run(adapter):
            return await adapter.write(b'a'), adapter.era.age_s

        outcome, age_s = check(run)
        self.assertIsInstance(outcome, Committed)
        self.assertEqual(era_of(outcome.versions[KEY]), 1)
        self.assertEqual(age_s, float('inf'))

    def test_era_of_any_size_fits_into_messages(self):
        async def run(adapter):
            adapter.store.era = 1_790_000_000
            outcome = await adapter.write(b'a')
            adapter.store.restore(copy_age_s=1.0)
            await adapter.table.read(KEY)
            return outcome.versions[KEY], adapter.era

        version, era = check(run)
        self.assertLess(version, 2**63)
        self.assertEqual(era.current, era_of(version) + 1)


class TestWrites(unittest.TestCase):
    def test_kept_version_does_not_match_another_row_of_its_number(self):
        # Guards against a write over what another daemon wrote meanwhile.
        async def run(adapter):
            first = await adapter.write(b'a')
            adapter.store.restore(copy_age_s=1.0)
            adapter.store.put('notes', 'one', 'other')
            await adapter.table.read('notes/none')
            outcome = await adapter.write(b'b', first.versions[KEY])
            return outcome, adapter.store.get('notes', 'one')

        outcome, value = check(run)
        self.assertIsInstance(outcome, Conflict)
        self.assertEqual(outcome.found.value, b'"other"')
        self.assertEqual(value, b'"other"')

    def test_write_answered_in_a_later_era_has_no_known_outcome(self):
        # Guards against a kept version that fits by chance.
        async def run(adapter):
            first = await adapter.write(b'a')
            adapter.store.restore(copy_age_s=1.0)
            adapter.store.put('notes', 'one', 'other')
            return await adapter.write(b'b', first.versions[KEY])

        outcome = check(run)
        self.assertIsInstance(outcome, Unavailable)
        self.assertTrue(outcome.may_have_taken_effect)

    def test_answer_of_an_earlier_era_is_no_answer(self):
        # Guards against old rows that arrive behind newer ones.
        async def run(adapter):
            await adapter.write(b'a')
            adapter.era.note(2)
            return await adapter.table.read(KEY)

        self.assertIsInstance(check(run), Unavailable)


class TestFeeds(unittest.TestCase):
    def test_cursor_of_an_earlier_era_has_lost_its_history(self):
        # Guards against changes below a number that was reached again.
        async def run(adapter):
            await adapter.write(b'a')
            snapshot = await adapter.feed.read()
            adapter.store.restore(copy_age_s=1.0)
            for number in range(5):
                adapter.store.put('notes', f'n{number}', number)
            return await adapter.feed.long_poll(snapshot.cursor, wait_s=0.0)

        self.assertIsInstance(check(run), HistoryLost)

    def test_changes_behind_a_restore_have_higher_versions(self):
        async def run(adapter):
            for number in range(5):
                adapter.store.put('notes', 'one', number)
            before = await adapter.feed.read()
            adapter.store.restore(copy_age_s=1.0)
            await adapter.feed.long_poll(before.cursor, wait_s=0.0)
            after = await adapter.feed.read()
            adapter.store.put('notes', 'one', 'new')
            news = await adapter.feed.long_poll(after.cursor, wait_s=0.0)
            return before.cursor, after.cursor, news

        before, after, news = check(run)
        self.assertIsInstance(news, FeedNews)
        self.assertLess(before, after)
        self.assertLess(after, news.cursor)


if __name__ == '__main__':
    unittest.main()
