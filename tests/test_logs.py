"""Logs: a reader that stands still, and volume under load."""

import io
import os
import unittest

import structlog
from mimosamux_daemon.logs import (
    MAX_BUFFER_BYTES,
    EventRateLimiter,
    LineWriter,
)

LINE = 'event=x ' + 'y' * 91 + '\n'


class TestLineWriter(unittest.TestCase):
    def setUp(self):
        reader, writer = os.pipe()
        self.reader = os.fdopen(reader, 'rb', buffering=0)
        self.stream = os.fdopen(writer, 'w')
        self.addCleanup(self.reader.close)
        self.addCleanup(self.stream.close)
        self.writer = LineWriter(stream=self.stream)

    def test_lines_arrive_in_order(self):
        for number in range(100):
            self.writer.write(f'event={number}\n')
        text = os.read(self.reader.fileno(), 65536).decode()
        self.assertEqual(
            text.split(), [f'event={number}' for number in range(100)]
        )

    def test_reader_that_stands_still_holds_up_nobody(self):
        """Nobody reads the log, and its pipe is full.

        The daemon would stand still in the middle of a request; it loses
        lines instead, and counts them.
        """
        written = 3 * MAX_BUFFER_BYTES // len(LINE)
        for _ in range(written):
            self.writer.write(LINE)
        self.assertGreater(self.writer.lines_lost, 0)

    def test_what_waited_is_written_once_somebody_reads(self):
        for _ in range(2000):
            self.writer.write(LINE)
        before = len(os.read(self.reader.fileno(), 1 << 20))
        self.writer.write(LINE)
        after = len(os.read(self.reader.fileno(), 1 << 20))
        self.assertGreater(before, 0)
        self.assertGreater(after, 0)

    def test_stream_without_a_descriptor_is_written_to_as_it_is(self):
        stream = io.StringIO()
        LineWriter(stream=stream).write(LINE)
        self.assertEqual(stream.getvalue(), LINE)


class TestVolumeLimit(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.limit = EventRateLimiter(
            clock=lambda: self.now, lines_per_s=10.0, burst=20.0
        )

    def log(self, count, method='info', event='request_ended'):
        passed = 0
        for _ in range(count):
            try:
                self.limit(None, method, {'event': event})
            except structlog.DropEvent:
                continue
            passed += 1
        return passed

    def test_volume_is_bounded_and_what_is_left_out_is_counted(self):
        self.log(1000)
        self.now += 1.0
        event = self.limit(None, 'info', {'event': 'later'})
        self.assertRegex(event['left_out'], r'request_ended:\d+')
        self.assertLess(self.log(1000), 20)

    def test_warnings_are_never_left_out(self):
        self.log(1000)
        self.assertEqual(self.log(50, 'warning'), 50)
