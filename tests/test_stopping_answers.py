"""Answers that a stopping model daemon is still sending."""

import socket
import time
import unittest
from contextlib import contextmanager

import httpx

from tests.test_stopping_requests import DRAINED_S, HEADERS, StoppingSite

BODY = b'x' * 7_000_000
CALLS = 3
PART_BYTES = 64 * 1024
SMALL_BUFFER = (socket.SOL_SOCKET, socket.SO_RCVBUF, PART_BYTES)
CLOSE_S = 5.0
"""Time for answers between the last look and the end of the process."""


class TestStoppingAnswers(StoppingSite, unittest.TestCase):
    grace_s = 12.0

    @contextmanager
    def open_answer(self):
        """Give an answer that is too large for the buffers on its way."""
        for number in range(CALLS):
            self.call('draft', f'fill-{number}', content=BODY)
        transport = httpx.HTTPTransport(socket_options=[SMALL_BUFFER])
        with (
            httpx.Client(transport=transport) as client,
            client.stream(
                'GET',
                f'http://{self.daemon.address}/v1/services/mail/control/runs',
                headers={**HEADERS, 'X-Mimosamux-Class': 'draft'},
            ) as answer,
        ):
            yield answer

    def test_planned_stop_waits_for_a_slow_reader(self):
        # Guards against an answer that is whole here and cut on its way.
        read_s = DRAINED_S + CLOSE_S + 4.0
        pause_s = read_s * PART_BYTES / (CALLS * len(BODY))
        received = 0
        with self.open_answer() as answer:
            self.daemon.terminate()
            for part in answer.iter_raw(PART_BYTES):
                received += len(part)
                time.sleep(pause_s)
        self.assertEqual(received, int(answer.headers['content-length']))
        self.assertEqual(self.daemon.wait(), 0)

    def test_reader_that_stands_still_does_not_hold_a_reclaimed_daemon(self):
        # Guards against a stop that goes on until the VM is gone.
        notice_s = 9.0
        with self.open_answer():
            began_at = time.monotonic()
            self.site.reclaim('a1', notice_s)
            self.assertEqual(self.daemon.wait(), 0)
            self.assertLess(time.monotonic() - began_at, notice_s)
        self.assertEqual(self.cut_lines('unread'), 1)
