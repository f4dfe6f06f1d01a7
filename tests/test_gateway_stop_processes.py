"""A daemon's process is stopped while callers use open connections."""

import unittest

import anyio
from mimosamux_daemon.adapters.tcp_network import TcpNetwork

from tests.support.platform_processes import platform_processes
from tests.support.stops import GRACE_S, play_stop

EARLY_S = 2.0
"""Time behind the signal up to which callers are still directed here."""
ENDS_S = 6.0
"""Time behind the signal at which every served stream has ended."""
LATE_S = 2.7
"""Time behind it from which requests come on connections from before it."""
TOLD_LINES = 20
STOP_AT_S = 1.0
SECOND_AT_S = (0.3, 0.8, 1.2, 2.8, 6.0)
"""When the second request of a pair is sent, behind the first."""


def is_of_stop(line):
    return 'component=stopping' in line or 'request_abandoned' in line


class TestStopOfAProcess(unittest.TestCase):
    def assert_none_lost(self, record):
        told = [line for line in record.log if is_of_stop(line)]
        self.assertEqual(record.lost(), [], ''.join(told[-TOLD_LINES:]))
        self.assertLess(record.took_s, GRACE_S)

    def assert_none_refused_for_nothing(self, record, stream_s):
        """Check that no request was refused that could be served."""
        refused = [
            round(each.sent_at - record.signalled_at, 2)
            for each in record.fates().get('refused', ())
        ]
        latest_s = min(EARLY_S, ENDS_S - stream_s)
        self.assertEqual([at for at in refused if at <= latest_s], [])

    # Guards against a request on an open connection that the stop cuts.
    def test_request_behind_an_answer_that_was_under_way_is_not_cut(self):
        record = play_stop(options={'events': 80, 'event_s': 0.05})
        self.assert_none_lost(record)
        self.assert_none_refused_for_nothing(record, 4.0)
        by_fate = record.fates()
        self.assertGreater(len(by_fate['served']), 10)
        late = [
            each
            for each in (*by_fate['served'], *by_fate.get('refused', ()))
            if each.sent_at > record.signalled_at + LATE_S
        ]
        self.assertGreater(len(late), 0)

    # Guards against a request that is read behind an answer which the stop
    # cuts: it would be dropped, and its caller can't tell that it never ran.
    def test_request_behind_an_answer_that_is_cut_stays_unread(self):
        options = {'events': 200, 'event_s': 0.1}
        with platform_processes(daemons=2, **options) as platform:
            daemon = platform.daemons[0]
            ends = anyio.run(play_pairs, daemon)
            daemon.process.popen.wait()
            ran = {run['id'] for run in platform.seen()['runs']}
        self.assertEqual(ran, {f'{each}-first' for each in SECOND_AT_S})
        self.assertEqual(
            ends, dict.fromkeys(SECOND_AT_S, 'BrokenResourceError')
        )


async def play_pairs(daemon):
    """Send pairs on a connection each, under a stop; return how each ended."""
    ends = {}

    async def send_pair(second_at_s):
        connection = await TcpNetwork().connect(daemon.entry)
        await connection.send(render_draft(f'{second_at_s}-first'))
        await anyio.sleep(second_at_s)
        await connection.send(render_draft(f'{second_at_s}-second'))
        try:
            while await connection.receive():
                pass
        except (anyio.EndOfStream, anyio.BrokenResourceError) as error:
            ends[second_at_s] = type(error).__name__
        await connection.aclose()

    async with anyio.create_task_group() as tasks:
        for each in SECOND_AT_S:
            tasks.start_soon(send_pair, each)
        await anyio.sleep(STOP_AT_S)
        daemon.process.terminate()
    return ends


def render_draft(id_):
    """Return a request for a draft."""
    return (
        f'POST /draft/1 HTTP/1.1\r\nHost: site.example\r\n'
        f'X-Key: key-school\r\nX-Attempt-Id: {id_}\r\nX-Model: m\r\n'
        f'X-Token-Usage: 1460,80\r\nX-Deadline-Ms: 15000\r\n'
        f'Content-Length: 5\r\n\r\nbrief'
    ).encode()
