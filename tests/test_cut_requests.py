"""Requests of the own API whose body is cut."""

import socket
import unittest

import httpx
from mimosamux_daemon.settings import parse_settings

from tests.support.examples import EMBEDDED_SETTINGS
from tests.support.running import running_daemon

PATH = '/v1/services/echo/slips'
FIELDS = {'Authorization': 'Bearer demo-key', 'Idempotency-Key': 'k'}
HEAD = ''.join(
    f'{line}\r\n'
    for line in (
        f'POST {PATH} HTTP/1.1',
        'Host: x',
        *(f'{name}: {value}' for name, value in FIELDS.items()),
    )
).encode()
BODIES = (
    b'Content-Length: 12\r\n\r\nconsent',
    b'Transfer-Encoding: chunked\r\n\r\n7\r\nconsent\r\n',
    b'Transfer-Encoding: chunked\r\n\r\n7\r\nconsent\r\n0\r\n',
)
PATIENCE_S = 5.0


def send_cut(address, data):
    """Send bytes and end the connection; wait for the other side's end."""
    host, _, port = address.rpartition(':')
    with socket.create_connection((host, int(port)), PATIENCE_S) as caller:
        caller.sendall(data)
        caller.shutdown(socket.SHUT_WR)
        while caller.recv(1024):
            pass


class TestCutRequests(unittest.TestCase):
    def test_call_whose_body_is_cut_is_not_run(self):
        # Guards against a part of a body that is taken as the whole.
        with running_daemon(parse_settings(EMBEDDED_SETTINGS)) as daemon:
            for body in BODIES:
                send_cut(daemon.address, HEAD + body)
            whole = httpx.post(
                f'http://{daemon.address}{PATH}',
                headers=FIELDS,
                content=b'consent slip',
            )
        self.assertEqual(whole.text, 'run 1: consent slip')


if __name__ == '__main__':
    unittest.main()
