"""Whole answers of endpoints for which there is no room."""

import sys
import unittest
from unittest import mock

import anyio.lowlevel
from mimosamux_daemon.domain.gateway import Delivered
from mimosamux_daemon.gateway.answers import answer_relay

from tests.support.clock import run_paused

PART = b'x' * 100_000


class Answer:
    """An endpoint's answer that comes in three parts."""

    status = 200
    headers = ()

    def __init__(self):
        self.parts = [PART, PART, PART, None]

    async def receive(self):
        await anyio.lowlevel.checkpoint()
        return self.parts.pop(0)


class Sink:
    """A caller's answer, and how it was sent."""

    def __init__(self, room):
        self.room = room
        self.sent = []
        self.first = b''
        self.others_that_keep_first = 0

    def hold(self, size):
        return size <= self.room

    async def start(self, status, headers, first=b''):
        self.sent.append(len(first))
        self.first = first
        return True

    async def write(self, data):
        # The sink itself has one reference, its argument here another.
        self.others_that_keep_first = sys.getrefcount(self.first) - 2
        self.sent.append(len(data))
        return True

    async def finish(self):
        self.sent.append('end')
        return True


class Wait:
    """A wait that fails over nowhere."""

    attempt = None

    async def wait(self, receive):
        return await receive()


class TestRoom(unittest.TestCase):
    def receive(self, room):
        """Return the outcome, and the caller's answer."""

        async def check():
            job = mock.Mock(sink=Sink(room))
            with mock.patch.object(
                answer_relay, 'find_cut', mock.AsyncMock(return_value=None)
            ):
                outcome = await answer_relay.receive_complete(
                    Answer(), Wait(), job
                )
            return outcome, job.sink

        return run_paused(check)

    def test_answer_with_room_is_received_whole(self):
        outcome, sink = self.receive(3 * len(PART))
        self.assertEqual((len(outcome.body), sink.sent), (3 * len(PART), []))

    # Guards against answers that are kept while callers hold too much.
    def test_answer_without_room_is_relayed_as_it_comes(self):
        outcome, sink = self.receive(len(PART))
        self.assertEqual(outcome, Delivered(status=200))
        self.assertEqual(sink.sent, [2 * len(PART), len(PART), 'end'])

    # Guards against bytes that stay in memory once the caller has them.
    def test_what_was_sent_is_not_kept_until_the_answer_ends(self):
        _, sink = self.receive(len(PART))
        self.assertEqual(sink.others_that_keep_first, 0)
