"""Connections of the caller API that yield, or end."""

import asyncio
import socket
import unittest

import anyio
import httpx
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config
from mimosamux_daemon.adapters.http_connections import (
    CallerConnections,
    CallerListener,
)
from mimosamux_daemon.adapters.http_server import listen, serve_http
from mimosamux_daemon.callers import (
    CallerAccount,
    CallerLimits,
    CallerRecord,
    LossCause,
)

ENDED = 128
"""More connections than may be open, with those that are accepted ahead."""
PATIENCE_S = 10.0
POLLS = 200
POLL_S = 0.02
LIMITS = CallerLimits(request_bytes=1000, connections=1, descriptors=8)


class TestListener(unittest.IsolatedAsyncioTestCase):
    # Guards against connections that count for ever, until none is accepted.
    async def test_connection_that_yields_before_it_is_served_is_closed(self):
        account = CallerAccount(limits=LIMITS, record=CallerRecord())
        with socket.create_server(('127.0.0.1', 0)) as listening:
            listener = CallerListener(
                listening=listening,
                app=None,
                config=Config(),
                context=WorkerContext(None),
                connections=CallerConnections(account=account),
            )
            callers = [
                socket.create_connection(listening.getsockname())
                for _ in range(2)
            ]
            accepted = [listening.accept()[0] for _ in callers]
            for each in accepted:
                listener.begin(each)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            self.assertEqual(account.record.counts, {LossCause.DESCRIPTORS: 1})
            self.assertEqual(account.sockets, 1)
            self.assertEqual(accepted[0].fileno(), -1)
            for caller in callers:
                caller.close()
            await listener.finish(0.0)
        self.assertEqual((account.sockets, account.connections), (0, 0))


async def answer_empty(scope, receive, send):
    """Answer each request with nothing."""
    await send({'type': 'http.response.start', 'status': 204, 'headers': []})
    await send({'type': 'http.response.body'})


class TestEndedConnections(unittest.TestCase):
    """Callers that end their connections, and one more caller."""

    def play(self, use):
        """Have many callers use a connection each, then one ask."""
        account = CallerAccount(
            limits=CallerLimits(
                request_bytes=1000, connections=ENDED, descriptors=32
            ),
            record=CallerRecord(),
        )

        async def run():
            listener = listen('127.0.0.1', 0)
            host, port = listener.getsockname()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.serve, listener, account)
                for _ in range(ENDED):
                    async with await anyio.connect_tcp(host, port) as caller:
                        await use(caller)
                async with httpx.AsyncClient(timeout=PATIENCE_S) as client:
                    answer = await client.get(f'http://{host}:{port}/')
                self.assertEqual(answer.status_code, 204)
                await self.wait_until_closed(account)
                tasks.cancel_scope.cancel()

        anyio.run(run)
        self.assertEqual((account.sockets, account.connections), (0, 0))
        self.assertEqual(account.record.counts, {})

    async def wait_until_closed(self, account):
        for _ in range(POLLS):
            if not account.sockets:
                return
            await anyio.sleep(POLL_S)

    async def serve(self, listener, account):
        await serve_http(
            answer_empty,
            listener,
            shutdown=anyio.sleep_forever,
            grace_s=0.1,
            connections=CallerConnections(account=account),
        )

    # Guards against connections that count until their idle time is over.
    def test_connections_without_a_request(self):
        async def use(caller):
            await anyio.sleep(0.005)

        self.play(use)

    def test_connections_behind_an_answer(self):
        async def use(caller):
            await caller.send(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
            await caller.receive()

        self.play(use)

    def test_connections_that_end_before_their_answer(self):
        async def use(caller):
            await caller.send(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')

        self.play(use)
