"""What lies unread in a connection to a service."""

import contextlib
import unittest
from dataclasses import replace
from unittest import mock

import anyio
import anyio.abc
from mimosamux_daemon.adapters import http_service
from mimosamux_daemon.adapters.http_service import HttpServices
from mimosamux_daemon.ports.models import ServiceUnanswered

from tests.support.crowds import list_connections
from tests.test_platform_http import a_call, an_endpoint

MIB = 1024 * 1024
READ_BYTES = 16 * MIB
"""Bytes of an answer for which there is room; buffers grow meanwhile."""
PART = b'x' * 64 * 1024
MOST_UNREAD = 128 * 1024
"""The kernel doubles what it is asked for."""


def count_unread(port):
    """Return the bytes that lie unread in the connection to a port."""
    return max(
        int(row[4].split(':')[1], 16)
        for row in list_connections()
        if row[2].endswith(f':{port:04X}')
    )


async def answer_without_end(stream):
    """Answer a request with as many bytes as are taken."""
    async with stream:
        await stream.receive()
        await stream.send(b'HTTP/1.1 200 OK\r\n\r\n')
        with contextlib.suppress(anyio.BrokenResourceError):
            while True:
                await stream.send(PART)


class TestUnread(unittest.TestCase):
    # Guards against buffers that have grown and fill while callers hold much.
    def test_little_lies_unread_of_an_answer_without_room(self):
        unread = []

        async def check():
            listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
            port = listener.extra(anyio.abc.SocketAttribute.local_port)

            def hold(size):
                if size > READ_BYTES:
                    unread.append(count_unread(port))
                return size <= READ_BYTES

            services = HttpServices()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, answer_without_end)
                answer = await services.call(
                    an_endpoint(f'127.0.0.1:{port}'),
                    replace(a_call('/long'), ask_room=hold),
                )
                tasks.cancel_scope.cancel()
            await listener.aclose()
            await services.close()
            self.assertIsInstance(answer, ServiceUnanswered)

        with mock.patch.object(http_service, 'ROOM_WAIT_S', 0.5):
            anyio.run(check)
        self.assertLessEqual(max(unread), MOST_UNREAD)
