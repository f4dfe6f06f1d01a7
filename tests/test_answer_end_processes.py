"""Answers that end with their connection, at processes that end."""

import threading
import unittest
from collections import Counter

import anyio
from mimosamux_standins.site.replica import Framing, render_event

from tests.support.platform_processes import (
    PROMPT,
    platform_processes,
    send,
)

EVENTS = 30
STREAMS = 12
PATHS = ('/draft/', '/question/')
BEGUN_EVENTS = 6


class Streams:
    """Streams to all daemons, sent from a thread of their own."""

    def __init__(self, platform):
        self.platform = platform
        self.answers = []
        self._sender = threading.Thread(target=lambda: anyio.run(self._run))

    async def _run(self):
        async with anyio.create_task_group() as tasks:
            for number in range(STREAMS):
                tasks.start_soon(self._send, number)

    async def _send(self, number):
        daemons = self.platform.daemons
        path = PATHS[number // 2 % 2]
        self.answers.append(
            await send(
                daemons[number % len(daemons)].entry,
                f'{path}{number}',
                headers=PROMPT,
                body=b'x',
                id_=f'stream-{number}',
            )
        )

    def start(self):
        """Start all of them; return their runs once each has events."""
        self._sender.start()
        return self.platform.wait_for(self._find_begun, 'begun streams')

    def _find_begun(self):
        runs = self.platform.seen()['runs']
        events = [run['events'] for run in runs]
        is_begun = len(runs) >= STREAMS and min(events) >= BEGUN_EVENTS
        return runs if is_begun else None

    def join(self):
        self._sender.join()
        return self.answers


def is_full(answer):
    """Whether an answer has all events, whatever its end looks like."""
    expected = (render_event(answer.id, n + 1) for n in range(EVENTS))
    return answer.status == 200 and answer.body == b''.join(expected)


class TestEndOfAProcess(unittest.TestCase):
    # Guards against a listener that makes a cut answer look whole.

    def play(self, trouble):
        """Bring trouble to the engine that runs most streams."""
        with platform_processes(
            daemons=2,
            apps=0,
            events=EVENTS,
            engine_slots=2 * STREAMS,
            engine_framings=[Framing.UNFRAMED.name],
        ) as platform:
            streams = Streams(platform)
            counts = Counter(run['replica'] for run in streams.start())
            (busiest, _), *_ = counts.most_common()
            trouble(platform, busiest)
            answers = streams.join()
            cut = {
                run['id']
                for run in platform.seen()['runs']
                if run['replica'] == busiest and run['events'] < EVENTS
            }
        short = [
            (each.id, each.body.count(b'\n\n'))
            for each in answers
            if each.is_whole and not is_full(each)
        ]
        self.assertEqual(short, [])
        for each in answers:
            if each.id not in cut:
                self.assertTrue(each.is_whole, each)
        return cut

    def test_process_that_lives_on(self):
        self.assertEqual(self.play(lambda *_: None), set())

    def test_process_that_hangs_before_it_exits(self):
        for exit_s in (0.1, 0.5, 1.5, 3.0):

            def hang(platform, id_, exit_s=exit_s):
                platform.command('/replica/hang', id=id_, exit_s=exit_s)

            with self.subTest(exit_s=exit_s):
                self.assertGreater(len(self.play(hang)), 0)

    def test_listener_that_another_replica_holds_on(self):
        def succeed(platform, id_):
            platform.command('/replica/succeed', id=id_)

        self.assertGreater(len(self.play(succeed)), 0)


if __name__ == '__main__':
    unittest.main()
