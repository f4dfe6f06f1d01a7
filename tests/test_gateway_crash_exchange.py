"""What daemons tell each other of crashes."""

import random
import unittest

import anyio
from mimosamux_daemon.gateway.crashes.exchange import (
    SUSPECTS_PER_MESSAGE,
    CrashExchange,
)
from mimosamux_daemon.gateway.crashes.suspects import (
    MAX_SUSPECTS,
    CrashSuspects,
    EndpointIncarnation,
)
from mimosamux_wire import (
    CrashWithdrawn,
    SuspectsCleared,
    SuspectsTold,
    SuspectTold,
)

START = EndpointIncarnation(id='i-1')


class FakeStates:
    is_flat = True
    forwards_messages = False

    def __init__(self):
        self.queued = []
        self.on_joined = []

    def queue(self, message):
        self.queued.append(message)


class FakePeers:
    def __init__(self):
        self.handlers = {}
        self.sent = []

    def handle(self, kind, handler):
        self.handlers[kind] = handler

    async def notify(self, daemon, message):
        self.sent.append((daemon, message))


class TestCrashExchange(unittest.TestCase):
    def setUp(self):
        self.states, self.peers = FakeStates(), FakePeers()
        self.suspects = CrashSuspects(clock=lambda: 100.0)
        self.exchange = CrashExchange(
            suspects=self.suspects,
            states=self.states,
            peers=self.peers,
            clock=lambda: 100.0,
        )

    def receive(self, message):
        handler = self.peers.handlers[type(message)]
        anyio.run(lambda: handler('peer', message))

    def tell(self, content, *endpoints):
        told = SuspectTold(content=content, endpoints=list(endpoints))
        self.receive(SuspectsTold(suspects=[told]))

    def test_more_contents_than_are_kept_are_told_as_far_as_they_are(self):
        count = 2 * MAX_SUSPECTS
        contents = [f'c{number:05}' for number in range(count)]
        self.exchange.report_crash(START, contents)
        told = [len(message.suspects) for message in self.states.queued]
        self.assertEqual(sum(told), len(self.suspects.by_content))
        self.assertLessEqual(max(told), SUSPECTS_PER_MESSAGE)

    def test_peer_that_missed_crashes_is_told_of_them(self):
        self.exchange.report_crash(START, ['a'])
        self.tell('a', 'i-1/0')
        self.assertEqual(self.peers.sent, [])
        self.exchange.report_crash(EndpointIncarnation(id='i-2'), ['a'])
        self.tell('a', 'i-1/0')
        ((daemon, message),) = self.peers.sent
        self.assertEqual(daemon, 'peer')
        self.assertEqual(message.suspects[0].endpoints, ['i-1/0', 'i-2/0'])

    def test_content_that_has_run_whole_here_is_cleared_at_the_teller(self):
        self.suspects.note_completion('a')
        self.tell('a', 'i-1/0')
        self.assertEqual(self.suspects.by_content, {})
        self.assertEqual(self.states.queued, [SuspectsCleared(contents=['a'])])

    def test_crash_that_is_taken_back_is_so_for_all_and_told_once(self):
        self.exchange.report_crash(START, ['a'])
        self.states.queued.clear()
        self.receive(CrashWithdrawn(endpoint='i-1/0'))
        self.assertEqual(self.suspects.by_content, {})
        self.assertEqual(self.states.queued, [])
        self.tell('a', 'i-1/0')
        self.assertEqual(self.suspects.by_content, {})
        self.assertFalse(self.exchange.withdraw(START))
        self.assertTrue(self.exchange.withdraw(EndpointIncarnation(id='i-2')))
        self.assertEqual(
            self.states.queued, [CrashWithdrawn(endpoint='i-2/0')]
        )

    def test_messages_that_make_no_sense_are_passed_over(self):
        for content, endpoints in (
            ('', ['i-1/0']),
            ('a', []),
            ('a', ['i-1/0', 'nonsense']),
        ):
            self.tell(content, *endpoints)
        self.assertEqual(self.suspects.by_content, {})

    def test_crash_that_was_cleared_is_not_suspected_again(self):
        self.exchange.report_crash(START, ['a'])
        self.receive(SuspectsCleared(contents=['a']))
        self.tell('a', 'i-1/0')
        self.assertEqual(self.suspects.by_content, {})
        self.tell('a', 'i-1/0', 'i-2/0')
        self.assertEqual(self.suspects.crashes('a'), 1)


class RelayStates(FakeStates):
    """A relay: what it queues goes to every other one."""

    is_flat = False
    forwards_messages = True

    def __init__(self, number, fleet):
        super().__init__()
        self.number = number
        self.fleet = fleet

    def queue(self, message):
        for other in range(len(self.fleet.exchanges)):
            if other != self.number:
                self.fleet.under_way.append((self.number, other, message))


class RelayPeers(FakePeers):
    """Has what is sent to one relay alone go there as well."""

    def __init__(self, number, fleet):
        super().__init__()
        self.number = number
        self.fleet = fleet

    async def notify(self, daemon, message):
        self.fleet.under_way.append((self.number, int(daemon), message))


class RelayFleet:
    """Relays that tell each other of crashes, in an order that is drawn."""

    def __init__(self, seed, relays):
        self.rng = random.Random(seed)
        self.now = 100.0
        self.passed = 0
        self.under_way = []
        self.exchanges = []
        self.peers = [RelayPeers(number, self) for number in range(relays)]
        for number, peers in enumerate(self.peers):
            self.exchanges.append(
                CrashExchange(
                    suspects=CrashSuspects(clock=lambda: self.now),
                    states=RelayStates(number, self),
                    peers=peers,
                    clock=lambda: self.now,
                )
            )

    async def deliver(self):
        """Have one of the messages that are under way arrive."""
        place = self.rng.randrange(len(self.under_way))
        sender, receiver, message = self.under_way.pop(place)
        handler = self.peers[receiver].handlers[type(message)]
        await handler(str(sender), message)
        self.passed += 1

    async def come_to_rest(self, most):
        while self.under_way and self.passed < most:
            await self.deliver()

    async def play(self, events, contents, most):
        """Have crashes, whole runs and crashes that were none come."""
        left = events
        while (left or self.under_way) and self.passed < most:
            self.now += 0.005
            if not self.under_way or (
                left and self.rng.random() < EVENT_SHARE
            ):
                left -= 1
                self.have_event(contents)
            else:
                await self.deliver()

    def have_event(self, contents):
        rng = self.rng
        exchange = rng.choice(self.exchanges)
        incarnation = EndpointIncarnation(id=f'i-{rng.randrange(ENDPOINTS)}')
        kind = rng.random()
        if kind < 0.5:
            under_way = rng.sample(contents, rng.randint(1, len(contents)))
            exchange.report_crash(incarnation, under_way)
        elif kind < 0.85:
            content = rng.choice(contents)
            if exchange.suspects.note_completion(content):
                exchange.announce_cleared(content, source='a whole run')
        else:
            exchange.withdraw(incarnation)


RELAYS = 4
MOST_MESSAGES = 200
ENDPOINTS = 20
EVENT_SHARE = 0.05
"""Share of the steps at which something happens while messages pass."""


class TestRelays(unittest.TestCase):
    # Guards against word of crashes and word of their end that chase each
    # other from relay to relay, and hold up all else that daemons tell.

    def test_word_of_a_crash_and_of_a_whole_run_come_to_rest(self):
        for seed in range(50):
            with self.subTest(seed=seed):
                fleet = RelayFleet(seed, RELAYS)
                fleet.exchanges[0].report_crash(START, ['a'])
                fleet.exchanges[1].suspects.note_completion('a')
                anyio.run(fleet.come_to_rest, MOST_MESSAGES)
                self.assertEqual(fleet.under_way, [])

    def test_any_mix_of_crashes_and_whole_runs_comes_to_rest(self):
        for relays, events, contents in (
            (4, 12, ['a']),
            (8, 200, ['a', 'b', 'c', 'd', 'e', 'f']),
            (12, 100, ['a', 'b']),
        ):
            # Each event is told from each relay to each other one once.
            most = events * relays * (relays - 1)
            for seed in range(10):
                with self.subTest(relays=relays, seed=seed):
                    fleet = RelayFleet(seed, relays)
                    anyio.run(fleet.play, events, contents, most)
                    self.assertEqual(fleet.under_way, [])


if __name__ == '__main__':
    unittest.main()
