"""The `Network` port over TCP."""

import select
import socket
from collections.abc import Callable, Mapping
from typing import Any, cast

import anyio
import anyio.abc

from mimosamux_daemon.early_listeners import BACKLOG, SocketsByAddress
from mimosamux_daemon.ports.network import Connection, ConnectionHandler

SENT_DATA_TIMEOUT_MS = 5000
"""Sent data that is not acknowledged for so long ends a connection: a
machine without power answers nothing, not even with a reset, and the
kernel would go on sending for a quarter of an hour."""


class TcpConnection(Connection):
    """A TCP connection."""

    def __init__(self, *, stream: anyio.abc.SocketStream) -> None:
        self._stream = stream
        self._socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        self._socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SENT_DATA_TIMEOUT_MS
        )

    @property
    def extra_attributes(self) -> Mapping[Any, Callable[[], Any]]:
        """Return those of the stream."""
        return self._stream.extra_attributes

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Return the next bytes."""
        return await self._stream.receive(max_bytes)

    async def send(self, item: bytes) -> None:
        """Send bytes; it waits while the other side does not read."""
        await self._stream.send(item)

    async def send_eof(self) -> None:
        """Say that nothing more will be sent."""
        await self._stream.send_eof()

    async def aclose(self) -> None:
        """Close both directions at once."""
        await anyio.aclose_forcefully(self._stream)

    def has_input(self) -> bool:
        """Whether bytes, or the end, have arrived and were not read."""
        return self._poll(select.POLLIN | select.POLLHUP)

    def has_ended(self) -> bool:
        """Whether the other side has ended it, read or not."""
        return self._poll(select.POLLRDHUP | select.POLLHUP)

    def _poll(self, events: int) -> bool:
        poller = select.poll()
        poller.register(self._socket.fileno(), events)
        return bool(poller.poll(0))


class TcpListener:
    """A listening TCP socket."""

    def __init__(self, *, listener: anyio.abc.SocketListener) -> None:
        self._listener = listener
        local = listener.extra(anyio.abc.SocketAttribute.local_address)
        self.address = f'{local[0]}:{local[1]}'

    async def serve(
        self, handler: ConnectionHandler, tasks: anyio.abc.TaskGroup
    ) -> None:
        """Give each connection to a task of its own, until cancelled."""

        async def handle(stream: anyio.abc.SocketStream) -> None:
            try:
                connection = TcpConnection(stream=stream)
            except OSError:
                # Reset before it was looked at.
                return
            await handler(connection)

        async with self._listener:
            await self._listener.serve(handle, tasks)


class TcpNetwork:
    """TCP by IP addresses."""

    def __init__(self, *, opened: SocketsByAddress | None = None) -> None:
        self._opened = {} if opened is None else opened
        """Sockets that listen already, by address; each is taken once."""

    async def connect(self, address: str) -> Connection:
        """Return a new connection; raises `OSError` if there is none."""
        host, port = split_address(address)
        return TcpConnection(stream=await anyio.connect_tcp(host, port))

    async def listen(self, address: str) -> TcpListener:
        """Take connections to an address; port 0 takes a free one."""
        opened = self._opened.pop(address, None)
        if opened is not None:
            return TcpListener(
                listener=await anyio.abc.SocketListener.from_socket(opened)
            )
        host, port = split_address(address)
        created = await anyio.create_tcp_listener(
            local_host=host, local_port=port, backlog=BACKLOG
        )
        (listener,) = created.listeners
        return TcpListener(listener=cast(anyio.abc.SocketListener, listener))


def split_address(address: str) -> tuple[str, int]:
    """Return host and port; raises `OSError` if there is no port."""
    host, _, port = address.rpartition(':')
    if not host or not port.isdigit():
        raise OSError(f'not an address: {address!r}')
    return host, int(port)
