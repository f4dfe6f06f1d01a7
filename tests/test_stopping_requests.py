"""Requests at a model daemon that is stopping, through real processes."""

import socket
import threading
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

import httpx

from tests.support.processes import processes
from tests.support.site import KEY, RealSite

HEADERS = {'Authorization': f'Bearer {KEY}', 'X-Mimosamux-Attempt': '1'}
TIMEOUT_S = 40.0
TTL_S = 1.0
DRAINED_S = TTL_S + 5.0
"""From SIGTERM until no caller is directed to the daemon."""
GRACE_S = 0.5
CHAT_BODY = (
    '{"model": "demo", "max_tokens": %d,'
    ' "messages": [{"role": "user", "content": "plan a trip"}]}'
)
CLOSE_S = 5.0
"""Time for answers between the last look and the end of the process."""


class StoppingSite:
    """Two daemons, of which `a1` is stopped, and their endpoints."""

    grace_s = GRACE_S

    def setUp(self):
        started = processes()
        self.site = RealSite(
            processes=started.__enter__(), daemons={'a': 1, 'b': 1}
        )
        self.addCleanup(started.__exit__, None, None, None)
        self.service = self.site.processes.start_standin('service')
        self.site.list_vm(
            'mail-a', address=self.service.address, service='mail'
        )
        self.site.start_engines('a', 'b')
        self.site.start(address_ttl_s=TTL_S, stop_grace_s=self.grace_s)
        self.daemon = self.site.daemons['a1']
        self.reader = threading.Thread(
            target=lambda: list(self.daemon.popen.stdout)
        )
        self.reader.start()
        self.addCleanup(self.reader.join)
        self.addCleanup(self.daemon.end)
        self.client = httpx.Client(
            base_url=f'http://{self.daemon.address}',
            headers=HEADERS,
            timeout=TIMEOUT_S,
        )
        self.addCleanup(self.client.close)
        self.pool = ThreadPoolExecutor(max_workers=4)
        self.addCleanup(self.pool.shutdown)
        self.wait_for_endpoints()
        self.site.wait_for_peer('a1', timeout_s=TIMEOUT_S)

    def wait_for_endpoints(self):
        deadline = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline:
            answers = (
                self.call('draft', 'ready'),
                self.complete('draft', tokens=1),
            )
            if all(answer.status_code == 200 for answer in answers):
                return
            time.sleep(0.1)
        raise AssertionError('the daemon has no endpoints')

    def call(self, work_class, key, **content):
        return self.client.post(
            '/v1/services/mail/send',
            headers={'X-Mimosamux-Class': work_class, 'Idempotency-Key': key},
            **content,
        )

    def complete(self, work_class, *, tokens):
        return self.client.post(
            '/v1/chat/completions',
            headers={'X-Mimosamux-Class': work_class},
            json={
                'model': 'demo',
                'max_tokens': tokens,
                'messages': [{'role': 'user', 'content': 'plan a trip'}],
            },
        )

    def cut_lines(self, reason, work_class=''):
        """Return how many log lines name a request as cut."""
        lines = self.daemon.log.read_text().splitlines()
        return sum(
            f'reason={reason} ' in line
            and (not work_class or f'work_class={work_class}' in line)
            for line in lines
            if 'event=request_cut' in line
        )

    def set_service(self, **faults):
        httpx.post(f'http://{self.service.address}/control', json=faults)

    def start_call(self, work_class, key):
        """Send a call that the service has received on return."""
        future = self.pool.submit(self.call, work_class, key)
        deadline = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline:
            runs = httpx.get(f'http://{self.service.address}/control/runs')
            if any(run['key'] == key for run in runs.json()['runs']):
                return future
        raise AssertionError('the call did not reach the service')

    def wait_until_stopping(self):
        while self.client.get('/readyz').text != 'stopping\n':
            time.sleep(0.05)


class TestStoppingRequests(StoppingSite, unittest.TestCase):
    def wait_until_engine_runs(self):
        """Return once an engine has an attempt that has not ended."""
        deadline = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline:
            runs = map(self.site.runs_at, self.site.engines)
            if any(not run['ended'] for each in runs for run in each):
                return
        raise AssertionError('no engine runs a request')

    def assert_refused(self, answer):
        self.assertEqual(answer.status_code, 503, answer.text[:200])
        self.assertEqual(answer.json()['error']['code'], 'stopping')
        self.assertTrue(answer.json()['not_run'])
        self.assertEqual(answer.headers['retry-after'], '0')
        self.assertEqual(answer.headers['connection'], 'close')

    def test_planned_stop_waits_for_a_service_call(self):
        # Guards against a stop that ends under a call that may be repeated.
        self.set_service(delay_s=DRAINED_S + GRACE_S + CLOSE_S + 2.0)
        answer = self.start_call('draft', 'slow')
        self.daemon.terminate()
        self.assertEqual(answer.result().status_code, 200)
        self.assertEqual(self.daemon.wait(), 0)

    def test_planned_stop_takes_requests_until_it_closes(self):
        # Guards against callers that stay and are cut when it closes.
        self.set_service(delay_s=DRAINED_S + GRACE_S + 2.0)
        slow = self.start_call('slip', 'slow')
        self.daemon.terminate()
        began_at = time.monotonic()
        time.sleep(1.0)
        taken = self.complete('draft', tokens=5)
        self.assertEqual(taken.status_code, 200, taken.text)
        self.assertEqual(taken.headers.get('connection'), 'close')
        time.sleep(began_at + DRAINED_S + GRACE_S + 1.0 - time.monotonic())
        for work_class in ('draft', 'slip'):
            self.assert_refused(self.complete(work_class, tokens=400))
            self.assert_refused(self.call(work_class, 'late'))
        self.assertEqual(slow.result().status_code, 200)

    def test_request_whose_body_comes_behind_the_last_look_is_refused(self):
        # Guards against work that begins while the server closes.
        body = CHAT_BODY % 900
        head = (
            'POST /v1/chat/completions HTTP/1.1\r\nHost: d\r\n'
            f'Authorization: Bearer {KEY}\r\nX-Mimosamux-Class: draft\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        host, port = self.daemon.address.split(':')
        with socket.create_connection((host, int(port)), TIMEOUT_S) as raw:
            self.daemon.terminate()
            self.wait_until_stopping()
            raw.sendall(head.encode())
            time.sleep(DRAINED_S + GRACE_S + 1.0)
            raw.sendall(body.encode())
            answer = raw.makefile('rb').read()
        self.assertTrue(answer.startswith(b'HTTP/1.1 503'), answer[:200])
        self.assertIn(b'"not_run":true', answer)

    def test_reclaim_refuses_what_it_would_cut(self):
        # Guards against work that is taken and ended with the VM.
        self.site.reclaim('a1', 9.0)
        self.wait_until_stopping()
        self.assert_refused(self.complete('slip', tokens=900))
        self.assert_refused(self.call('slip', 'late'))
        taken = self.complete('draft', tokens=5)
        self.assertEqual(taken.status_code, 200, taken.text)

    def test_reclaim_ends_the_process_before_the_vm_is_gone(self):
        # Guards against answers that are lost with the VM.
        notice_s = 9.0
        self.set_service(delay_s=20.0)
        cut = self.start_call('slip', 'cut')
        self.pool.submit(self.complete, 'slip', tokens=900)
        self.wait_until_engine_runs()
        began_at = time.monotonic()
        self.site.reclaim('a1', notice_s)
        self.assertEqual(self.daemon.wait(), 0)
        self.assertLess(time.monotonic() - began_at, notice_s)
        self.assertNotEqual(cut.result().status_code, 200)
        self.assertEqual(self.cut_lines('not_repeatable', 'slip'), 2)
