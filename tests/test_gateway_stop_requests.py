"""Requests that are read while a gateway daemon stops."""

import logging
import unittest
from contextlib import asynccontextmanager, contextmanager
from unittest import mock

import anyio
import structlog
from hypothesis import given, settings
from hypothesis import strategies as st
from mimosamux_daemon.gateway.admission.admission import Admission
from mimosamux_daemon.gateway.answers.answer_relay import FailoverWait
from mimosamux_daemon.gateway.stopping.answer_times import AnswerTimes
from mimosamux_daemon.gateway.stopping.graceful_stop import (
    GracefulStop,
    begin_stop,
)
from mimosamux_daemon.gateway.stopping.open_requests import OpenRequests
from mimosamux_daemon.stop_window import StopWindow
from mimosamux_standins.site import ReplicaSpeed
from structlog.testing import capture_logs

from tests.support.clock import run_paused
from tests.support.platform_site import open_site
from tests.test_gateway_caps import open_capped_site

GRACE_S = 8.0
BODY = b'brief'
STREAM = b'X-Model: m\r\nX-Token-Usage: 1460,80\r\n'


def render_head(id_, target='/slip/1', *, limit_ms=2500, headers=b''):
    return (
        (
            f'POST {target} HTTP/1.1\r\nHost: site.example\r\n'
            f'X-Key: key-school\r\nX-Attempt-Id: {id_}\r\n'
            f'X-Deadline-Ms: {limit_ms}\r\nContent-Length: {len(BODY)}\r\n'
        ).encode()
        + headers
        + b'\r\n'
    )


async def read_answers(connection, seconds=20.0):
    """Return what arrives until the connection ends."""
    data = b''
    with anyio.move_on_after(seconds):
        try:
            while True:
                data += await connection.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            pass
    return data


def statuses_of(data):
    return [
        int(part.split()[0]) for part in data.split(b'HTTP/1.1 ')[1:] if part
    ]


class Stopping:
    """A site whose first daemon a test stops, and connections to it."""

    def __init__(self, site):
        self.site = site
        self.handle = site.daemons[0]

    async def connect(self):
        network = self.site.network.at('10.250.0.1')
        return await network.connect(self.handle.entry)

    def set_speed(self, **fields):
        for replica in self.site.replicas_by_id.values():
            replica.speed = ReplicaSpeed(**fields)

    def ran(self):
        return [run.id for run in self.site.runs()]


@asynccontextmanager
async def stopping_site(**fields):
    async with open_site(daemons=2, **fields) as site:
        yield Stopping(site)


class TestRequestsReadDuringTheStop(unittest.TestCase):
    def play(self, check, **fields):
        async def run():
            async with stopping_site(**fields) as stopping:
                return await check(stopping)

        return run_paused(run)

    @contextmanager
    def capture_events(self):
        """Give the events that are logged in the block."""
        before = structlog.get_config()
        wrapper = structlog.make_filtering_bound_logger(logging.INFO)
        structlog.configure(wrapper_class=wrapper)
        try:
            with capture_logs() as events:
                yield events
        finally:
            structlog.configure(**before)

    # Guards against a body that comes late being passed on and cut.
    def test_request_whose_body_ends_too_late_is_refused_as_not_run(self):
        async def check(stopping):
            stopping.set_speed(work_s=1.0)
            connection = await stopping.connect()
            await connection.send(render_head('late'))
            await anyio.sleep(0.1)
            stopping.handle.daemon.stop()
            await anyio.sleep(5.5)
            await connection.send(BODY)
            return await read_answers(connection), stopping.ran()

        answers, ran = self.play(check)
        self.assertEqual((statuses_of(answers), ran), ([503], []))
        self.assertIn(b'connection: close', answers.lower())
        self.assertIn(b'Retry-After: 0.000', answers)

    # Guards against refusals of requests that end before the stop does.
    def test_request_whose_deadline_ends_before_the_stop_is_served(self):
        async def check(stopping):
            connection = await stopping.connect()
            await connection.send(render_head('in-time'))
            await anyio.sleep(0.1)
            stopping.handle.daemon.stop()
            await anyio.sleep(4.3)
            await connection.send(BODY)
            return statuses_of(await read_answers(connection))

        self.assertEqual(self.play(check), [200])

    # Guards against a request that is read behind an answer and dropped.
    def test_request_that_is_pipelined_behind_an_answer_is_answered(self):
        async def check(stopping):
            stopping.set_speed(work_s=1.0)
            connection = await stopping.connect()
            await connection.send(render_head('first') + BODY)
            await anyio.sleep(0.5)
            stopping.handle.daemon.stop()
            await connection.send(render_head('second') + BODY)
            return await read_answers(connection), stopping.ran()

        answers, ran = self.play(check)
        self.assertEqual(statuses_of(answers), [200, 200])
        self.assertEqual(ran, ['first', 'second'])
        self.assertEqual(answers.lower().count(b'connection: close'), 1)

    # Guards against a request that is read behind an answer that is cut, and
    # dropped with it: its caller can't tell that it never ran.
    def test_request_behind_an_answer_that_the_stop_cuts_stays_unread(self):
        async def check(stopping, stops_at):
            stopping.set_speed(event_s=0.1, events=200)
            connection = await stopping.connect()
            draft = {'limit_ms': 15000, 'headers': STREAM}
            await connection.send(render_head('a', '/draft/1', **draft) + BODY)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.stop_later, stopping, stops_at)
                await anyio.sleep(1.0)
                await connection.send(render_head('b', '/draft/1') + BODY)
            answers = await read_answers(connection)
            await stopping.handle.ended.wait()
            # What the daemon has not read is still there.
            return answers, connection.other.has_input(), stopping.ran()

        for stops_at in (0.5, 1.5):
            with self.subTest(stops_at=stops_at):
                answers, is_unread, ran = self.play(
                    lambda stopping, at=stops_at: check(stopping, at)
                )
                self.assertEqual((statuses_of(answers), ran), ([200], ['a']))
                self.assertFalse(answers.endswith(b'0\r\n\r\n'))
                self.assertTrue(is_unread)

    @staticmethod
    async def stop_later(stopping, delay_s):
        await anyio.sleep(delay_s)
        stopping.handle.daemon.stop()

    # Guards against an estimate that lets a stream begin which will be cut.
    def test_stream_that_usually_takes_too_long_is_refused_at_once(self):
        async def check(stopping):
            stopping.set_speed(event_s=0.5, events=13)
            connection = await stopping.connect()
            draft = {'limit_ms': 15000, 'headers': STREAM}
            await connection.send(render_head('a', '/draft/1', **draft) + BODY)
            await anyio.sleep(7.0)
            stopping.handle.daemon.stop()
            await anyio.sleep(1.5)
            sent_at = anyio.current_time()
            await connection.send(render_head('b', '/draft/1', **draft) + BODY)
            answers = await read_answers(connection)
            return answers, anyio.current_time() - sent_at, stopping.ran()

        answers, took_s, ran = self.play(check)
        self.assertEqual((statuses_of(answers), ran), ([200, 503], ['a']))
        self.assertLess(took_s, 1.5)

    # Guards against requests that wait for a cap and end without an answer.
    def test_requests_that_wait_for_a_cap_at_the_end_are_answered(self):
        async def check():
            async with open_capped_site(daemons=3) as site:
                stopping = Stopping(site)
                await anyio.sleep(10.0)
                connections = [await stopping.connect() for _ in range(170)]
                for number, connection in enumerate(connections):
                    # The first ones take up the daemon's part of the cap.
                    limit_ms = 80 if number < 150 else 2500
                    head = render_head(f'a{number}', limit_ms=limit_ms)
                    await connection.send(head)
                stopping.handle.daemon.stop()
                await anyio.sleep(6.9)
                for other in site.daemons[1:]:
                    site.network.cut(stopping.handle.machine, other.machine)
                answers = []

                async def send_body(connection):
                    await connection.send(BODY)
                    answers.append(await read_answers(connection))

                async with anyio.create_task_group() as tasks:
                    for connection in connections:
                        tasks.start_soon(send_body, connection)
                return answers

        answers = run_paused(check)
        counts = [len(statuses_of(each)) for each in answers]
        self.assertEqual(counts, [1] * 170)

    # Guards against accepted work that is failed where a retry would end.
    def test_request_whose_endpoint_crashes_late_in_the_stop_is_retried(self):
        async def check(stopping):
            for route in stopping.site.document.routes:
                route['timeoutMs'] = 15000
            stopping.site.change_configuration()
            await anyio.sleep(1.0)
            stopping.set_speed(work_s=10.0)
            connection = await stopping.connect()
            head = render_head('a', '/list/1', limit_ms=15000)
            await connection.send(head + BODY)
            await anyio.sleep(0.2)
            stopping.set_speed(work_s=0.3)
            stopping.handle.daemon.stop()
            await anyio.sleep(3.0)
            (replica,) = (
                each
                for each in stopping.site.replicas_by_id.values()
                if each.runs
            )
            stopping.site.crash_replica(replica)
            return statuses_of(await read_answers(connection))

        with mock.patch.object(FailoverWait, 'wait', wait_for_ever):
            self.assertEqual(self.play(check), [200])

    # Guards against a request that ends by an error without a line.
    def test_request_that_ends_by_an_error_is_logged(self):
        async def check(stopping):
            connection = await stopping.connect()
            await connection.send(render_head('a') + BODY)
            return await read_answers(connection)

        with (
            self.capture_events() as events,
            mock.patch.object(Admission, 'admit', side_effect=RuntimeError),
        ):
            self.assertEqual(self.play(check), b'')
        (line,) = (
            each for each in events if each['event'] == 'request_abandoned'
        )
        self.assertEqual(
            (line['request'], line['error']), ('a', 'RuntimeError')
        )

    # Guards against idle connections that are closed into their next request.
    def test_idle_connection_is_told_to_close_in_its_next_answer(self):
        async def check(stopping):
            connection = await stopping.connect()
            await connection.send(render_head('first') + BODY)
            await anyio.sleep(0.5)
            stopping.handle.daemon.stop()
            await anyio.sleep(1.0)
            await connection.send(render_head('second') + BODY)
            return await read_answers(connection)

        answers = self.play(check)
        self.assertEqual(statuses_of(answers), [200, 200])
        self.assertIn(b'connection: close', answers.lower())

    # Guards against requests that a stop ends without an answer or a line.
    def test_request_open_at_the_end_is_answered_and_logged(self):
        with self.capture_events() as events:
            answers, took_s = self.play(stop_under_a_long_slip)
        self.assertEqual(statuses_of(answers), [502])
        self.assertLess(took_s, GRACE_S)
        (ended,) = (
            each
            for each in events
            if each['event'] == 'request_ended' and each['request'] == 'cut'
        )
        self.assertEqual(ended['log_level'], 'warning')
        self.assertEqual(ended['reason'], 'stopping')
        self.assertIn('behind the signal', ended['message'])

    # Guards against a grace period that counts from a late start of the stop.
    def test_stop_whose_signal_came_late_ends_in_its_grace_period(self):
        _, took_s = self.play(
            lambda stopping: stop_under_a_long_slip(
                stopping, signalled_s_ago=3.0
            )
        )
        self.assertLess(took_s, GRACE_S - 3.0)


async def stop_under_a_long_slip(stopping, **fields):
    """Stop a daemon under a slip of 30 s; return its answer and the time."""
    stopping.set_speed(work_s=30.0)
    for route in stopping.site.document.routes:
        route['timeoutMs'] = 30000
    stopping.site.change_configuration()
    await anyio.sleep(1.0)
    connection = await stopping.connect()
    await connection.send(render_head('cut', limit_ms=30000) + BODY)
    await anyio.sleep(0.5)
    started_at = anyio.current_time()
    stopping.handle.daemon.stop(**fields)
    answers = await read_answers(connection)
    await stopping.handle.ended.wait()
    return answers, anyio.current_time() - started_at


async def wait_for_ever(self, receive):
    """Wait for an endpoint without failing over before it breaks off."""
    return await receive()


class TestOrderOfTheStop(unittest.TestCase):
    # Guards against a stop that resets what was accepted a moment before.
    def test_stop_waits_for_connections_that_are_being_opened(self):
        async def check():
            acceptor = mock.Mock(opening=1, stop=mock.AsyncMock())
            window = StopWindow()
            begin_stop(
                window,
                now=anyio.current_time(),
                signalled_at=anyio.current_time(),
                grace_s=GRACE_S,
            )
            stop = GracefulStop(
                window=window,
                server=mock.Mock(connections=0, open_requests=0),
                tunnels=mock.Mock(open_tunnels=0),
                open_requests=OpenRequests(),
                notify_peers=mock.AsyncMock(),
                acceptor=acceptor,
                send_last_digest=mock.AsyncMock(),
                clock=anyio.current_time,
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(stop.run)
                await anyio.sleep(5.0)
                is_early = stop.send_last_digest.called
                acceptor.opening = 0
                await anyio.sleep(0.2)
                return is_early, stop.send_last_digest.called

        self.assertEqual(run_paused(check), (False, True))


class TestStopWindow(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(st.floats(0.0, 10.0), st.floats(0.0, 20.0), st.floats(0.0, 20.0))
    def test_request_is_taken_only_if_it_can_end_before_the_stop(
        self, behind_s, limit_s, expected_s
    ):
        window = StopWindow()
        wanted = {'limit_s': limit_s, 'expected_s': expected_s}
        self.assertTrue(window.can_finish(now=50.0, **wanted))
        window.begin(at=100.0, directed_until=102.5, ends_at=107.4)
        now = 100.0 + behind_s
        is_taken = window.can_finish(now=now, **wanted)
        is_certain = now + limit_s <= 107.4 + 1e-9
        is_likely = now + expected_s <= 107.4 + 1e-9 and now <= 102.5
        self.assertLessEqual(is_taken, is_certain or is_likely)
        if now + limit_s <= 107.4 - 1e-9:
            self.assertTrue(is_taken)

    def test_second_signal_does_not_move_the_begin_of_a_stop(self):
        window = StopWindow()
        window.begin(at=100.0, ends_at=107.0)
        window.begin(at=103.0, ends_at=107.0)
        self.assertEqual(window.behind_s(104.0), 4.0)

    def test_expected_time_follows_the_answers_of_a_route(self):
        times = AnswerTimes()
        self.assertEqual(times.expected_s('r0'), 0.0)
        for _ in range(30):
            times.note('r0', 4.0)
        self.assertAlmostEqual(times.expected_s('r0'), 4.0, delta=0.01)
        for number in range(40):
            times.note('r0', 0.3 if number % 2 else 2.4)
        self.assertGreater(times.expected_s('r0'), 2.4)
