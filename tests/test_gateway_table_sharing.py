"""One daemon reads a table for the others; what they know stays right."""

import unittest

import anyio
from mimosamux_daemon.gateway.feed_reader import PEER_SILENCE_S
from mimosamux_daemon.gateway.store_health import RENEWAL_S, StoreHealth
from mimosamux_daemon.gateway.table_sharing import TableView
from mimosamux_wire import Vouch

from tests.support.clock import run_paused
from tests.support.memory_network import machine_of
from tests.support.platform_site import STORE, open_site

DAEMONS = 15
"""More than tell each other directly, so that one reads for the others."""
SETTLED_S = 12.0
"""Time after which no call waits any more that was sent when daemons knew of
few others, and each read for itself."""
DRAIN_S = 3.0
"""Bound of the smallest sites with relays."""


def readers_of(site):
    return [
        handle
        for handle in site.daemons
        if handle.daemon.parts.endpoint_reader.sharing.is_reader()
    ]


def known_leaving(site, replica):
    """Return how many daemons give an endpoint nothing new any more."""
    count = 0
    for handle in site.daemons:
        record = handle.daemon.parts.roster.by_id.get(replica.id)
        count += record is None or not record.accepts_requests
    return count


def app_of(site):
    return next(
        replica
        for replica in site.replicas_by_id.values()
        if replica.service == 'app'
    )


class TestSharing(unittest.TestCase):
    def test_calls_to_the_table_do_not_grow_with_the_daemons(self):
        async def count(daemons):
            async with open_site(daemons=daemons) as site:
                await anyio.sleep(5)
                before = site.store.calls
                await anyio.sleep(20)
                return (site.store.calls - before) / 20

        few = run_paused(lambda: count(9))
        many = run_paused(lambda: count(18))
        self.assertLess(many, few)

    def test_leaving_endpoint_is_known_everywhere_within_its_bound(self):
        async def check():
            async with open_site(daemons=DAEMONS) as site:
                await anyio.sleep(3)
                replica = app_of(site)
                site.drain_replica(replica)
                await anyio.sleep(0.5)
                return known_leaving(site, replica)

        self.assertEqual(run_paused(check), DAEMONS)

    def test_reader_that_comes_back_hides_no_removed_endpoint(self):
        """Guards against requests to an endpoint that is about to stop.

        The daemon that reads for the others is cut off from the store, which
        serves all others. When it reads again, an endpoint's entry is removed.
        No daemon may take that for an entry that expired in an outage.
        """

        async def check():
            async with open_site(daemons=DAEMONS) as site:
                await anyio.sleep(SETTLED_S)
                reader = readers_of(site)[0]
                site.network.cut(reader.machine, machine_of(STORE))
                await anyio.sleep(6.5)
                replica = app_of(site)
                site.unlist_replica(replica)
                await anyio.sleep(0.5)
                site.network.heal()
                await anyio.sleep(DRAIN_S - 0.5)
                for handle in site.daemons:
                    handle.daemon.parts.roster.remove_lapsed()
                return known_leaving(site, replica)

        self.assertGreaterEqual(run_paused(check), DAEMONS - 1)

    def test_death_of_the_reader_hides_no_leaving_endpoint(self):
        """The daemon that reads for the others dies; an endpoint leaves then.

        Nobody tells the others of it. Callers would still be sent to an
        endpoint that is about to stop.
        """

        async def check():
            async with open_site(daemons=DAEMONS) as site:
                await anyio.sleep(3)
                (reader,) = readers_of(site)
                site.kill_daemon(site.daemons.index(reader))
                site.daemons.remove(reader)
                replica = app_of(site)
                site.drain_replica(replica)
                await anyio.sleep(DRAIN_S)
                return known_leaving(site, replica)

        self.assertEqual(run_paused(check), DAEMONS - 1)

    def test_reader_that_the_table_turns_away_gives_its_duty_up(self):
        """The table turns the reader away and serves the others."""

        async def check():
            async with open_site(daemons=DAEMONS) as site:
                await anyio.sleep(SETTLED_S)
                (reader,) = readers_of(site)
                site.network.cut(reader.machine, '10.200.0.1')
                replica = app_of(site)
                site.drain_replica(replica)
                await anyio.sleep(DRAIN_S)
                known = known_leaving(site, replica)
                await anyio.sleep(3)
                return known, reader in readers_of(site)

        known, is_reader = run_paused(check)
        self.assertGreaterEqual(known, DAEMONS - 1)
        self.assertFalse(is_reader)

    def test_key_that_was_taken_away_is_out_everywhere(self):
        """An operator takes a key away while most daemons read no table."""

        async def check():
            async with open_site(daemons=DAEMONS) as site:
                await anyio.sleep(3)
                site.document.tenants[0]['apiKeys'] = []
                site.change_configuration()
                await anyio.sleep(2.5)
                answers = [
                    await site.caller().send(
                        handle.entry, '/list/1', headers=()
                    )
                    for handle in site.daemons
                ]
                return {answer.status for answer in answers}

        self.assertEqual(run_paused(check), {401})

    def test_document_is_not_fetched_from_the_reader_by_all(self):
        """A configuration grows to half a megabyte, and one daemon reads.

        Asked for it by all others at once, its link would be full for
        seconds: callers there wait, and leaving endpoints are not heard of.
        """

        async def check():
            async with open_site(daemons=DAEMONS) as site:
                await anyio.sleep(SETTLED_S)
                asked = []
                for handle in site.daemons:
                    parts = handle.daemon.parts
                    answer = parts.vouching._answer

                    async def count(sender, message, answer=answer):
                        reply = await answer(sender, message)
                        asked.append(len(reply.document))
                        return reply

                    parts.peers.handle(Vouch, count)
                # Each takes a while to read half a megabyte.
                site.store.latency_s = 0.6
                version = site.change_configuration()
                await anyio.sleep(2.5)
                versions = {
                    handle.daemon.parts.configuration.current.version
                    for handle in site.daemons
                }
                return asked, versions, version

        asked, versions, version = run_paused(check)
        self.assertEqual(versions, {version})
        self.assertEqual(sum(asked), 0)


class TestOutages(unittest.TestCase):
    def test_word_of_an_outage_ends_with_it(self):
        """The table turned one daemon away for a moment.

        Endpoints that are missing then may live, so they are kept for a
        while. When each daemon passed the word on as its own, it never
        ended: endpoints that had left were given requests for good.
        """
        now = [100.0]
        seeing = StoreHealth(clock=lambda: now[0])
        told = StoreHealth(clock=lambda: now[0])
        seeing.note_unanswered('endpoints')
        seeing.note_answered('endpoints')
        told.note_peer_outage()
        self.assertTrue(told.may_have_lapsed())
        self.assertFalse(told.has_local_outage())
        now[0] += RENEWAL_S
        self.assertFalse(seeing.has_local_outage())
        self.assertFalse(told.may_have_lapsed())

    def test_daemon_that_was_told_of_an_outage_does_not_tell_it_on(self):
        """It reads the table itself, which answers, while the word counts."""

        async def check():
            async with open_site(daemons=DAEMONS) as site:
                await anyio.sleep(SETTLED_S)
                (reader,) = readers_of(site)
                parts = reader.daemon.parts
                parts.health.note_peer_outage()
                told = []
                parts.states.queue = told.append
                parts.endpoint_reader.sharing.send_update(
                    TableView(
                        version=10**6,
                        changed=10**6,
                        preceding_change=0,
                        as_of=anyio.current_time(),
                    )
                )
                return [news.may_have_lapsed for news in told]

        self.assertEqual(run_paused(check), [False])

    def test_endpoint_that_left_after_an_outage_is_given_up(self):
        """An outage for one daemon, then an entry that is taken away."""

        async def check():
            async with open_site(daemons=DAEMONS) as site:
                await anyio.sleep(3)
                (reader,) = readers_of(site)
                site.network.cut(reader.machine, '10.200.0.1')
                await anyio.sleep(3)
                site.network.heal()
                await anyio.sleep(3 * RENEWAL_S)
                replica = app_of(site)
                site.unlist_replica(replica)
                await anyio.sleep(PEER_SILENCE_S)
                return known_leaving(site, replica)

        self.assertEqual(run_paused(check), DAEMONS)
