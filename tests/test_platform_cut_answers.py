"""Answers of the store and of replicas that are cut or lack a part."""

import unittest

import orjson
from mimosamux_daemon.domain.gateway import ListedEndpoint
from mimosamux_daemon.domain.store import Check, Unavailable, Write
from mimosamux_daemon.ports.run_moves import MoveUnanswered, NotMoved
from mimosamux_platform.http_calls import PlatformCalls
from mimosamux_platform.moves import ReplicaMoves
from mimosamux_platform.store import StoreFeed
from mimosamux_platform.table import StoreTable

from tests.support.clock import run_paused
from tests.test_platform_input import ADDRESS, answer_with

HEAD = b'HTTP/1.1 %d Any\r\n\r\n'
ROW = {'tableName': 't', 'key': 'k', 'value': 'eA==', 'rowVersion': 3}
PAGE = {'rows': [ROW], 'rowVersion': 5, 'nowMs': 1.0, 'hasMore': False}
MOVED = {'kvHandle': 'h1', 'createdRevision': 4}
REPORT = {'phase': 'unified', 'leaves_ms': 900, 'born': 7}
REPLICA = ListedEndpoint(
    id='i-1', service='s', address=ADDRESS, data_centre='d', slots=1
)


def feed_of(channels):
    return StoreFeed(
        calls=PlatformCalls(address=ADDRESS, channels=channels),
        table='t',
        parse_item=lambda row, data: data,
        note_time=lambda at: at,
    )


def table_of(channels):
    return StoreTable(
        calls=PlatformCalls(address=ADDRESS, channels=channels),
        note_time=lambda at: at,
    )


async def read(channels):
    return await feed_of(channels).read()


async def poll(channels):
    return await feed_of(channels).long_poll(0, wait_s=1.0)


async def scan(channels):
    return await table_of(channels).scan('t/')


async def commit(channels):
    return await table_of(channels).commit(
        [Check(key='t/k', version=0)], [Write(key='t/k', value=b'x')]
    )


async def fetch_departure(channels):
    return await ReplicaMoves(channels=channels).fetch_departure(REPLICA)


async def copy(channels):
    return await ReplicaMoves(channels=channels).copy(
        REPLICA, REPLICA, 'r1', timeout_s=1.0
    )


async def move(channels):
    return await ReplicaMoves(channels=channels).move(
        REPLICA, REPLICA, 'r1', timeout_s=1.0
    )


def ask(use, body, status=200):
    return run_paused(answer_with, HEAD % status + body, use)


KINDS = (
    (read, PAGE, Unavailable),
    (poll, PAGE, Unavailable),
    (scan, PAGE, Unavailable),
    (commit, PAGE, Unavailable),
    (fetch_departure, REPORT, Unavailable),
    (copy, MOVED, MoveUnanswered | NotMoved),
    (move, MOVED, MoveUnanswered),
)
"""Calls, what answers them, and what no answer is."""


class TestCutAnswers(unittest.TestCase):
    # Guards against a cut answer that is read as a whole, smaller one.

    def test_no_part_of_an_answer_is_one(self):
        for use, fields, none in KINDS:
            whole = orjson.dumps(fields)
            self.assertNotIsInstance(ask(use, whole), none)
            for size in range(len(whole)):
                with self.subTest(use=use.__name__, size=size):
                    self.assertIsInstance(ask(use, whole[:size]), none)

    def test_no_part_of_a_head_is_an_answer(self):
        for use, fields, none in KINDS:
            body = orjson.dumps(fields)
            framing = b'Content-Length: %d' % len(body)
            head = b'HTTP/1.1 200 Any\r\n%b\r\n\r\n' % framing
            for size in range(len(head)):
                with self.subTest(use=use.__name__, size=size):
                    answer = run_paused(answer_with, head[:size], use)
                    self.assertIsInstance(answer, none)

    def test_page_that_names_more_rows_and_has_none_ends_no_list(self):
        page = {**PAGE, 'rows': [], 'hasMore': True}
        self.assertIsInstance(ask(read, orjson.dumps(page)), Unavailable)

    def test_report_with_another_status_is_none(self):
        for status in (404, 500):
            for body in (b'{}', orjson.dumps(REPORT)):
                with self.subTest(status=status, body=body):
                    answer = ask(fetch_departure, body, status)
                    self.assertIsInstance(answer, Unavailable)


if __name__ == '__main__':
    unittest.main()
