"""Signals that reach a daemon's process before it can act on them."""

import os
import pathlib
import signal
import socket
import threading
import time
import unittest

import anyio
import yaml
from mimosamux_daemon.adapters.tcp_network import TcpNetwork, split_address
from mimosamux_daemon.early_signals import record_signals
from mimosamux_daemon.signal_receiver import receive_signals
from mimosamux_daemon.standstill import StandstillWatch
from mimosamux_standins.site import StandInCaller

from tests.support.platform_processes import HOST, PROMPT, platform_processes
from tests.support.processes import ROOT, processes
from tests.support.stops import GRACE_S, PROMISES

BUSY_S = 0.3
CALLERS = 20
FROZEN_S = 4.0
PATIENCE_S = 15.0
POLL_S = 0.01
TOLD_LINES = 20


class Start:
    """A gateway's process that starts, and the callers who wait for it."""

    def __init__(self, platform, **options):
        self.daemon = platform.launch_daemon(**options)
        self.answers = []
        self.log = []
        popen = self.daemon.process.popen
        # A pipe that nobody reads is full before the daemon has stopped.
        reader = threading.Thread(target=lambda: self.log.extend(popen.stdout))
        callers = threading.Thread(target=anyio.run, args=(self._call,))
        self._threads = (reader, callers)
        for thread in self._threads:
            thread.start()

    def wait_for_port(self):
        """Return once callers can connect."""
        while True:
            try:
                address = split_address(self.daemon.entry)
                socket.create_connection(address).close()
                return
            except ConnectionRefusedError:
                time.sleep(POLL_S)

    def wait_for_log(self, text):
        while not any(text in line for line in self.log):
            time.sleep(POLL_S)

    def find_time(self, text, name):
        """Return a field of the first line of the log with a text."""
        line = next(line for line in self.log if text in line)
        return float(dict(each.split('=', 1) for each in line.split())[name])

    def stop(self, frozen_s=0.0):
        """Stop it; return the exit status and the time from the signal.

        The process may be frozen before the signal, and for a time behind it.
        """
        process = self.daemon.process
        if frozen_s:
            process.freeze()
        signalled_at = time.monotonic()
        process.terminate()
        if frozen_s:
            time.sleep(frozen_s)
            process.thaw()
        status = process.wait()
        took_s = time.monotonic() - signalled_at
        for thread in self._threads:
            thread.join()
        return status, took_s

    async def _call(self):
        await anyio.to_thread.run_sync(self.wait_for_port)
        async with anyio.create_task_group() as tasks:
            for number in range(CALLERS):
                tasks.start_soon(self._send, f'/draft/{number}')

    async def _send(self, target):
        caller = StandInCaller(
            network=TcpNetwork(), key='key-school', patience_s=PATIENCE_S
        )
        self.answers.append(
            await caller.send(
                self.daemon.entry, target, body=b'brief', headers=PROMPT
            )
        )
        await caller.channels.close()


class TestGatewaySignals(unittest.TestCase):
    def assert_stops_in_order(self, start, statuses, **options):
        """Stop a gateway; check that each caller got a whole answer."""
        status, took_s = start.stop(**options)
        told = ''.join(start.log[-TOLD_LINES:])
        failed = [
            (each.status, each.problem)
            for each in start.answers
            if not each.is_whole or each.status not in statuses
        ]
        self.assertEqual(failed, [], told)
        self.assertEqual(len(start.answers), CALLERS)
        self.assertEqual(status, 0, told)
        self.assertLess(took_s, GRACE_S, told)
        age_s = start.find_time('signal=SIGTERM', 'age_s')
        behind_s = start.find_time('event=leaving', 'behind_s')
        self.assertGreaterEqual(behind_s, age_s, told)

    # Guards against a stop during the start that resets waiting callers.
    def test_callers_who_wait_for_the_start_are_answered(self):
        waits = {
            '0.05 s': lambda _: time.sleep(0.05),
            '0.2 s': lambda _: time.sleep(0.2),
            '0.7 s': lambda _: time.sleep(0.7),
            'starting': lambda start: start.wait_for_log('event=starting'),
        }
        with platform_processes(daemons=1) as platform:
            for name, wait in waits.items():
                with self.subTest(name):
                    start = Start(platform)
                    start.wait_for_port()
                    wait(start)
                    self.assert_stops_in_order(start, (200, *PROMISES))

    # Guards against a stop of a frozen process that outlasts its grace.
    def test_frozen_process_ends_within_the_grace_period(self):
        with platform_processes(daemons=1, events=400) as platform:
            start = Start(platform)
            start.wait_for_log('event=request_sent')
            status, took_s = start.stop(frozen_s=FROZEN_S)
        self.assertEqual(status, 0)
        self.assertLess(took_s, GRACE_S)

    # Guards against a stop that accepts nobody after a long start.
    def test_callers_of_a_process_frozen_in_its_start_are_answered(self):
        with platform_processes(daemons=1) as platform:
            start = Start(platform)
            start.wait_for_port()
            time.sleep(0.2)
            self.assert_stops_in_order(
                start, (200, *PROMISES), frozen_s=FROZEN_S
            )

    # Guards against a start without a platform that resets its callers.
    def test_callers_of_a_start_without_a_platform_are_refused(self):
        with platform_processes(daemons=0) as platform:
            store = f'{HOST}:{platform.started.reserve_port()}'
            start = Start(platform, store=store)
            start.wait_for_port()
            start.daemon.process.popen.send_signal(signal.SIGHUP)
            time.sleep(0.2)
            self.assert_stops_in_order(start, (503,))
            start.wait_for_log('event=settings_reloaded')


class TestModelDaemonSignals(unittest.TestCase):
    def wait_until_caught(self, popen, number):
        """Return once a process has a handler for a signal."""
        status = pathlib.Path(f'/proc/{popen.pid}/status')
        while popen.poll() is None:
            fields = dict(
                line.split(':\t', 1)
                for line in status.read_text().splitlines()
            )
            if int(fields['SigCgt'], 16) >> (number - 1) & 1:
                return
            time.sleep(POLL_S)

    # Guards against signals that end a model daemon while it is loaded.
    def test_early_signals_end_no_model_daemon_out_of_order(self):
        fields = yaml.safe_load((ROOT / 'examples/embedded.yaml').read_text())
        with processes() as started:
            process = started.start_daemon(**{**fields, 'port': 0})
            self.wait_until_caught(process.popen, signal.SIGTERM)
            process.popen.send_signal(signal.SIGHUP)
            process.terminate()
            self.assertEqual(process.wait(), 0)


class TestAgeOfASignal(unittest.TestCase):
    # Guards against a grace period that begins when the loop has time.
    def test_signal_to_a_busy_event_loop_keeps_its_time(self):
        taken = []

        async def take(signals):
            sent_at = time.monotonic()
            os.kill(os.getpid(), signal.SIGTERM)
            while time.monotonic() < sent_at + BUSY_S:
                pass
            async for received in receive_signals(signals):
                taken.append((received.number, received.age_s() >= BUSY_S / 2))
                break

        for use_uvloop in (False, True):
            with record_signals() as signals:
                options = {'use_uvloop': use_uvloop}
                anyio.run(take, signals, backend_options=options)
        self.assertEqual(taken, [(signal.SIGTERM, True)] * 2)

    # Guards against a thread that notes the thaw before the signal is seen.
    def test_signal_of_a_standstill_is_as_old_as_it_may_be(self):
        now_s = 0.0
        watch = StandstillWatch(clock=lambda: now_s)
        now_s = 0.1
        watch.note_running()
        self.assertEqual(watch.find_start(), 0.1)
        now_s = 4.1
        self.assertEqual(watch.find_start(), 0.1)
        watch.note_running()
        self.assertEqual(watch.find_start(), 0.1)
        now_s = 4.3
        watch.note_running()
        self.assertEqual(watch.find_start(), 4.3)
