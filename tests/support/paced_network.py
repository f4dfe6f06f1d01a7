"""Connections of callers that send slowly and read late."""

from dataclasses import dataclass

import anyio
from mimosamux_daemon.adapters.tcp_network import TcpConnection, TcpNetwork

END_OF_HEAD = b'\r\n\r\n'


@dataclass(frozen=True, kw_only=True)
class Pace:
    """How a caller uses its connection."""

    body_after_s: float = 0.0
    """Time between the head of a request and its body."""
    reads_after_s: float = 0.0
    """Time between a request and the first read of its answer."""


class PacedConnection(TcpConnection):
    """A TCP connection that sends and reads at a pace."""

    def __init__(self, *, stream, pace):
        super().__init__(stream=stream)
        self._pace = pace
        self._has_read = True

    async def send(self, item):
        head, end, body = item.partition(END_OF_HEAD)
        await super().send(head + end)
        if body:
            await anyio.sleep(self._pace.body_after_s)
            await super().send(body)
        self._has_read = False

    async def receive(self, max_bytes=65536):
        if not self._has_read:
            self._has_read = True
            await anyio.sleep(self._pace.reads_after_s)
        return await super().receive(max_bytes)


class PacedNetwork(TcpNetwork):
    """TCP connections at a pace."""

    def __init__(self, *, pace):
        super().__init__()
        self._pace = pace

    async def connect(self, address):
        connection = await super().connect(address)
        return PacedConnection(stream=connection._stream, pace=self._pace)
