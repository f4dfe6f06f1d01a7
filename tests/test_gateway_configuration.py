"""Configuration and keys: in force everywhere, vouched for, never back."""

import unittest

import anyio
from mimosamux_standins.site.store import StoreTrouble

from tests.support.clock import run_paused
from tests.support.memory_network import machine_of
from tests.support.platform_site import STORE, open_site

STORE_MACHINE = machine_of(STORE)
REVOCATION_S = 5.0
IN_FORCE_S = 2.0


def cut_from_store(site, *numbers):
    for number in numbers:
        site.network.cut(site.daemons[number].machine, STORE_MACHINE)


def revoke(site, key='key-school'):
    for tenant in site.document.tenants:
        tenant['apiKeys'] = [each for each in tenant['apiKeys'] if each != key]
    site.change_configuration()


async def ask(site, number, target='/list/1', key='key-school'):
    answer = await site.caller(key).send(
        site.daemons[number].entry, target, method='GET'
    )
    return answer.status


class TestConfiguration(unittest.TestCase):
    def test_new_route_serves_everywhere_at_once(self):
        async def check():
            async with open_site() as site:
                before = await ask(site, 0, '/new/1')
                site.document.add_route('/new/', 'app', 'idempotent')
                site.change_configuration()
                await anyio.sleep(0.1)
                return before, [await ask(site, n, '/new/1') for n in range(3)]

        self.assertEqual(run_paused(check), (404, [200, 200, 200]))

    def test_daemon_cut_off_from_the_store_learns_from_its_peers(self):
        """One daemon cannot reach the store, and routes change.

        Its callers would be told that a route does not exist which all other
        daemons serve.
        """

        async def check():
            async with open_site() as site:
                cut_from_store(site, 0)
                await anyio.sleep(5)
                site.document.add_route('/new/', 'app', 'idempotent')
                site.change_configuration()
                await anyio.sleep(IN_FORCE_S)
                return await ask(site, 0, '/new/1')

        self.assertEqual(run_paused(check), 200)

    def test_key_is_out_at_a_daemon_that_only_peers_can_tell(self):
        """A key is taken away while one daemon cannot reach the store.

        Whoever has the key would be served there for as long as the cut
        lasts.
        """

        async def check():
            async with open_site() as site:
                cut_from_store(site, 0)
                await anyio.sleep(5)
                revoke(site)
                await anyio.sleep(IN_FORCE_S)
                return await ask(site, 0), await ask(site, 0, key='key-office')

        self.assertEqual(run_paused(check), (401, 200))

    def test_daemon_that_nobody_can_vouch_for_turns_keys_away_in_time(self):
        """A daemon is cut off from the store and from all of its peers.

        It cannot know whether a key was taken away. It serves keys for as
        long as operators allow, and then says that it does not know.
        """

        async def check():
            async with open_site() as site:
                alone = site.daemons[0].machine
                cut_from_store(site, 0)
                for number in (1, 2):
                    site.network.cut(alone, site.daemons[number].machine)
                await anyio.sleep(1)
                early = await ask(site, 0)
                revoke(site)
                await anyio.sleep(REVOCATION_S)
                return early, await ask(site, 0), len(site.runs())

        self.assertEqual(run_paused(check), (200, 503, 1))

    def test_peer_that_is_cut_off_as_well_vouches_for_nothing(self):
        """Two daemons reach each other and nothing else.

        If each took the other's word, both would honour a key for ever that
        was taken away.
        """

        async def check():
            async with open_site() as site:
                cut_from_store(site, 0, 1)
                third = site.daemons[2].machine
                for number in (0, 1):
                    site.network.cut(site.daemons[number].machine, third)
                revoke(site)
                await anyio.sleep(REVOCATION_S)
                return [await ask(site, n) for n in range(3)]

        self.assertEqual(run_paused(check), [503, 503, 401])

    def test_older_configuration_never_comes_back(self):
        """A row with an older version turns up, from a store that was reset.

        Routes and keys that operators took away would be in force again.
        """

        async def check():
            async with open_site() as site:
                old = site.document.render()
                revoke(site)
                await anyio.sleep(1)
                site.store.put('op', 'config', old)
                site.store.forget_history()
                await anyio.sleep(3)
                versions = {
                    handle.daemon.parts.configuration.current.version
                    for handle in site.daemons
                }
                return versions, await ask(site, 0)

        self.assertEqual(run_paused(check), ({4}, 401))

    def test_lost_history_hides_no_change(self):
        """The store loses its history just as a key is taken away.

        Feeds cannot go on; a daemon that went on as if nothing had changed
        would never hear of it.
        """

        async def check():
            async with open_site() as site:
                for _ in range(3):
                    site.document.version += 1
                    site.write_configuration()
                    site.store.forget_history()
                revoke(site)
                site.store.forget_history()
                await anyio.sleep(IN_FORCE_S)
                return [await ask(site, n) for n in range(3)]

        self.assertEqual(run_paused(check), [401, 401, 401])

    def test_unreadable_configuration_leaves_the_last_one_in_force(self):
        """The configuration's row holds what is no configuration.

        Every request would fail; the last good one stays.
        """

        async def check():
            async with open_site() as site:
                for value in ({'version': 9}, [1], 'x', {'routes': 7}, None):
                    site.store.put('op', 'config', value)
                await anyio.sleep(1)
                return [await ask(site, n) for n in range(3)]

        self.assertEqual(run_paused(check), [200, 200, 200])

    def test_daemon_started_while_the_store_is_down_takes_its_peers_word(self):
        """A daemon starts while the store answers nobody.

        Its peers know the configuration. Without them it would turn every
        caller away until the store is back.
        """

        async def check():
            async with open_site() as site:
                site.store.trouble = StoreTrouble.BUSY
                site.kill_daemon(0)
                built = site.start_daemon(0)
                await built.wait()
                daemon = site.daemons[0].daemon
                await daemon.started.wait()
                return daemon.parts.configuration.current.version

        self.assertEqual(run_paused(check), 1)

    def test_daemon_without_any_configuration_promises_and_asks_back(self):
        """Daemons start while the store is down, and know no configuration.

        Told that its route does not exist, a caller would not come again.
        """

        async def check():
            async with open_site(daemons=1) as site:
                site.store.trouble = StoreTrouble.SILENT
                site.kill_daemon(0)
                await site.start_daemon(0).wait()
                await anyio.sleep(1)
                answer = await site.caller().send(
                    site.daemons[0].entry, '/slip/1', body=b'slip'
                )
                return answer.status, answer.retry_after_s

        status, retry_after_s = run_paused(check)
        self.assertEqual(status, 503)
        self.assertIsNotNone(retry_after_s)

    def test_first_caller_of_a_daemon_that_starts_is_served(self):
        """A caller waits to be accepted while the daemon starts.

        The configuration arrives within milliseconds. Accepted before it,
        the caller is told to come back, and loses half a second.
        """

        async def check():
            async with open_site(daemons=1) as site:
                site.kill_daemon(0)
                entry = site.daemons[0].entry
                await site.start_daemon(0).wait()
                for _ in range(200):
                    caller = site.caller()
                    answer = await caller.send(entry, '/slip/1', body=b'slip')
                    if answer.status is not None:
                        return answer.status
                    await anyio.sleep(0.001)
                return None

        self.assertEqual(run_paused(check), 200)
