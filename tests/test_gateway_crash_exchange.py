"""What daemons tell each other of crashes."""

import random
import unittest

import anyio
from mimosamux_daemon.gateway.crash_exchange import TOLD_AT_ONCE, CrashExchange
from mimosamux_daemon.gateway.crash_suspects import (
    MOST_SUSPECTS,
    CrashSuspects,
    EndpointStart,
)
from mimosamux_wire import (
    CrashWithdrawn,
    SuspectsCleared,
    SuspectsTold,
    SuspectTold,
)

START = EndpointStart(id='i-1')


class FakeStates:
    is_flat = True
    acts_as_relay = False

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
        count = 2 * MOST_SUSPECTS
        contents = [f'c{number:05}' for number in range(count)]
        self.exchange.note_crash(START, contents)
        told = [len(message.suspects) for message in self.states.queued]
        self.assertEqual(sum(told), len(self.suspects.by_content))
        self.assertLessEqual(max(told), TOLD_AT_ONCE)

    def test_peer_that_missed_crashes_is_told_of_them(self):
        self.exchange.note_crash(START, ['a'])
        self.tell('a', 'i-1/0')
        self.assertEqual(self.peers.sent, [])
        self.exchange.note_crash(EndpointStart(id='i-2'), ['a'])
        self.tell('a', 'i-1/0')
        ((daemon, message),) = self.peers.sent
        self.assertEqual(daemon, 'peer')
        self.assertEqual(message.suspects[0].endpoints, ['i-1/0', 'i-2/0'])

    def test_content_that_has_run_whole_here_is_cleared_at_the_teller(self):
        self.suspects.note_whole('a')
        self.tell('a', 'i-1/0')
        self.assertEqual(self.suspects.by_content, {})
        self.assertEqual(self.states.queued, [SuspectsCleared(contents=['a'])])

    def test_crash_that_is_taken_back_is_so_for_all_and_told_once(self):
        self.exchange.note_crash(START, ['a'])
        self.states.queued.clear()
        self.receive(CrashWithdrawn(endpoint='i-1/0'))
        self.assertEqual(self.suspects.by_content, {})
        self.assertEqual(self.states.queued, [])
        self.tell('a', 'i-1/0')
        self.assertEqual(self.suspects.by_content, {})
        self.assertFalse(self.exchange.withdraw(START))
        self.assertTrue(self.exchange.withdraw(EndpointStart(id='i-2')))
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
        self.exchange.note_crash(START, ['a'])
        self.receive(SuspectsCleared(contents=['a']))
        self.tell('a', 'i-1/0')
        self.assertEqual(self.suspects.by_content, {})
        self.tell('a', 'i-1/0', 'i-2/0')
        self.assertEqual(self.suspects.crashes('a'), 1)


class RelayStates(FakeStates):
    """A relay: what it queues goes to every other one."""

    is_flat = False
    acts_as_relay = True

    def __init__(self, number, under_way):
        super().__init__()
        self.number = number
        self.under_way = under_way

    def queue(self, message):
        for other in range(RELAYS):
            if other != self.number:
                self.under_way.append((self.number, other, message))


RELAYS = 4
MOST_MESSAGES = 200


class TestRelays(unittest.TestCase):
    # Guards against word of a crash and word of its end that chase each
    # other from relay to relay for ever.

    def test_word_of_a_crash_and_of_a_whole_run_come_to_rest(self):
        for seed in range(50):
            with self.subTest(seed=seed):
                under_way, peers, exchanges = [], [], []
                for number in range(RELAYS):
                    peers.append(FakePeers())
                    exchanges.append(
                        CrashExchange(
                            suspects=CrashSuspects(clock=lambda: 100.0),
                            states=RelayStates(number, under_way),
                            peers=peers[number],
                            clock=lambda: 100.0,
                        )
                    )
                exchanges[0].note_crash(START, ['a'])
                exchanges[1].suspects.note_whole('a')
                rng = random.Random(seed)
                passed = 0
                while under_way and passed < MOST_MESSAGES:
                    place = rng.randrange(len(under_way))
                    sender, receiver, message = under_way.pop(place)
                    handler = peers[receiver].handlers[type(message)]
                    anyio.run(handler, str(sender), message)
                    passed += 1
                self.assertEqual(under_way, [])


if __name__ == '__main__':
    unittest.main()
