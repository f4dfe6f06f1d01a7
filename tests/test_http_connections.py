"""Connections of the caller API that yield."""

import asyncio
import socket
import unittest

from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config
from mimosamux_daemon.adapters.http_connections import (
    CallerConnections,
    CallerListener,
)
from mimosamux_daemon.callers import (
    CallerAccount,
    CallerLimits,
    CallerRecord,
    LossCause,
)

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
