"""What daemons tell each other of crashes."""

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


if __name__ == '__main__':
    unittest.main()
