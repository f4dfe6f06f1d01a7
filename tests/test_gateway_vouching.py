"""When a daemon asks its peers to vouch for its configuration."""

import random
import unittest
from types import SimpleNamespace

import anyio
from mimosamux_daemon.gateway.configuration import ConfirmedConfiguration
from mimosamux_daemon.gateway.vouching import (
    ASK_AFTER_S,
    ASK_INTERVAL_S,
    CHECK_INTERVAL_S,
    Vouching,
)
from mimosamux_daemon.ports import PeerUnavailable

from tests.support.clock import run_paused

ANSWER_S = 0.3


class FakeStates:
    """One fresh peer; counts how often it is looked at."""

    is_flat = True

    def __init__(self):
        self.peer = SimpleNamespace(
            place=SimpleNamespace(id='peer'), configuration_version=0
        )
        self.looks = 0

    def fresh(self):
        self.looks += 1
        return [self.peer]


class FakePeers:
    """Notes when it is called, and never answers in time."""

    def __init__(self):
        self.called_at = []

    def handle(self, kind, handler):
        pass

    async def call(self, peer, message, *, timeout_s):
        self.called_at.append(anyio.current_time())
        await anyio.sleep(ANSWER_S)
        return PeerUnavailable(daemon=peer, reason='no answer')


class TestVouching(unittest.TestCase):
    def play(self, script):
        """Run a script; return the parts and when it began."""

        async def check():
            configuration = ConfirmedConfiguration(clock=anyio.current_time)
            began_at = anyio.current_time()
            configuration.confirm(0, began_at)
            vouching = Vouching(
                configuration=configuration,
                states=FakeStates(),
                peers=FakePeers(),
                parse=lambda data: None,
                can_read_platform=lambda: True,
                clock=anyio.current_time,
                rng=random.Random(1),
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(vouching.run)
                await script(vouching)
                tasks.cancel_scope.cancel()
            return vouching, began_at

        return run_paused(check)

    def announce(self, vouching, version):
        """Let the peer's digest show a version."""
        peer = vouching.states.peer
        peer.configuration_version = version
        digest = SimpleNamespace(configuration_version=version)
        vouching.take(peer, digest)

    def test_confirmed_daemon_hardly_looks_at_its_peers(self):
        """All peers were looked at ten times a second."""

        async def script(vouching):
            for _ in range(20):
                await anyio.sleep(1)
                vouching.configuration.confirm(0, anyio.current_time())

        vouching, _ = self.play(script)
        self.assertLess(vouching.states.looks, 30)
        self.assertEqual(vouching.peers.called_at, [])

    def test_old_confirmation_is_noticed_without_any_event(self):
        """The platform falls silent, and so does whatever could report it."""

        async def script(vouching):
            await anyio.sleep(ASK_AFTER_S + 3 * CHECK_INTERVAL_S)

        vouching, began_at = self.play(script)
        first_s = vouching.peers.called_at[0] - began_at
        self.assertGreaterEqual(first_s, ASK_AFTER_S - CHECK_INTERVAL_S)
        self.assertLess(first_s, ASK_AFTER_S + 2 * CHECK_INTERVAL_S)

    def test_newer_version_is_asked_for_at_once(self):
        async def script(vouching):
            await anyio.sleep(0.5)
            self.announce(vouching, 1)
            await anyio.sleep(1)

        vouching, began_at = self.play(script)
        first_s = vouching.peers.called_at[0] - began_at
        self.assertAlmostEqual(first_s, 0.5, delta=2 * CHECK_INTERVAL_S)

    def test_newer_version_that_shows_during_a_call_is_asked_for(self):
        """It shows while a peer is asked, and the confirmation comes then.

        Nothing is due any more when the call ends, and no event follows: the
        daemon would keep the older configuration until its confirmation is
        old, with a key that was taken away.
        """

        async def script(vouching):
            await anyio.sleep(ASK_AFTER_S + CHECK_INTERVAL_S + ANSWER_S / 2)
            vouching.configuration.confirm(0, anyio.current_time())
            self.announce(vouching, 1)
            await anyio.sleep(2 * ASK_INTERVAL_S)

        vouching, _ = self.play(script)
        self.assertGreaterEqual(len(vouching.peers.called_at), 2)
