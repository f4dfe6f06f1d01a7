"""A stand-in's process is stopped while it works on a call."""

import socket
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

import httpx

from tests.support.processes import processes

WORK_S = 0.6
WAIT_S = 5.0
POLL_S = 0.01


def wait_for(condition):
    end = time.monotonic() + WAIT_S
    while not condition():
        if time.monotonic() > end:
            raise AssertionError('it did not happen in time')
        time.sleep(POLL_S)


def is_refused(address):
    host, port = address.split(':')
    with socket.socket() as connecting:
        return connecting.connect_ex((host, int(port))) != 0


class TestStandInStop(unittest.TestCase):
    # Guards against a second signal that ends a stop and cuts its calls.
    def test_second_signal_does_not_cut_a_call(self):
        with (
            processes() as started,
            ThreadPoolExecutor(1) as pool,
            httpx.Client(trust_env=False) as client,
        ):
            service = started.start_standin('service')
            url = f'http://{service.address}'
            client.post(f'{url}/control', json={'delay_s': WORK_S})
            call = pool.submit(httpx.post, f'{url}/slips', trust_env=False)
            wait_for(lambda: client.get(f'{url}/control/runs').json()['runs'])
            service.terminate()
            wait_for(lambda: is_refused(service.address))
            service.terminate()
            self.assertEqual(call.result().status_code, 200)
            self.assertEqual(service.wait(), 0)
