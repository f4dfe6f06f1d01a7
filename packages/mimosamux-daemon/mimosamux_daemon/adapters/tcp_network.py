"""The `Network` port over TCP."""

import contextlib
import ipaddress
import os
import re
import select
import socket
import struct
from collections.abc import Callable, Mapping
from typing import Any

import anyio
import anyio.abc

from mimosamux_daemon.adapters.accepting import Accepting
from mimosamux_daemon.early_listeners import (
    SocketsByAddress,
    limit_buffers,
    open_listener,
)
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.network import (
    UNREAD_ANSWER_BYTES,
    Connection,
    ConnectionHandler,
)

log = get_log('tcp_network')

SENT_DATA_TIMEOUT_MS = 5000
"""Sent data that is not acknowledged for so long ends a connection: a
machine without power answers nothing, not even with a reset, and the
kernel would go on sending for a quarter of an hour."""
ABORTIVE_CLOSE = struct.pack('ii', 1, 0)
"""Value of SO_LINGER with which closing a socket sends a reset."""
ORDERLY_CLOSE = struct.pack('ii', 0, 0)
PORT_PATTERN = re.compile(r'[0-9]{1,5}')
MAX_PORT = 65_535
MAX_SHOWN = 80
"""Most characters of an invalid address that a message quotes."""


class TcpConnection(Connection):
    """A TCP connection."""

    def __init__(self, *, stream: anyio.abc.SocketStream) -> None:
        self._stream = stream
        self._socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        self._is_closed = False
        self._may_hold_back = False
        """Whether bytes of an earlier `send` may wait in the stream."""
        self._has_failed = False
        """Whether a `send` found the connection broken."""
        self._socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SENT_DATA_TIMEOUT_MS
        )

    @property
    def extra_attributes(self) -> Mapping[Any, Callable[[], Any]]:
        """Return those of the stream."""
        return self._stream.extra_attributes

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Return the next bytes; behind a failed `send` there is no end.

        The kernel reports a reset once, to a write as well as to a read, and
        whoever reads behind that gets what it gets at an orderly end.
        """
        try:
            return await self._stream.receive(max_bytes)
        except anyio.EndOfStream:
            if self._has_failed:
                raise anyio.BrokenResourceError from None
            raise

    async def send(self, item: bytes) -> None:
        """Send bytes; it waits while the other side does not read.

        Usually the kernel takes all of them at once, and a task switch for
        each send would cost more than the send. Then it does not yield.
        """
        rest = self.send_now(item)
        if not rest:
            return
        try:
            # Cancelled here, the stream keeps bytes that are still to be
            # sent: from then on, all others have to go behind them.
            self._may_hold_back = True
            await self._stream.send(rest)
            self._may_hold_back = False
        except anyio.BrokenResourceError:
            self._has_failed = True
            raise

    def send_now(self, item: bytes) -> bytes:
        """Send what the kernel takes at once; return the rest."""
        if self._is_closed:
            raise anyio.ClosedResourceError
        if self._may_hold_back:
            return item
        try:
            return item[os.write(self._socket.fileno(), item) :]
        except BlockingIOError:
            return item
        except OSError as error:
            self._has_failed = True
            raise anyio.BrokenResourceError from error

    def limit_unread(self) -> None:
        """Bound what lies unread in it."""
        if self._socket.fileno() >= 0:
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_ANSWER_BYTES
            )

    async def send_eof(self) -> None:
        """Say that nothing more will be sent."""
        await self._stream.send_eof()

    async def aclose(self) -> None:
        """Close both directions at once."""
        self._is_closed = True
        await anyio.aclose_forcefully(self._stream)

    def abort(self) -> None:
        """Have the kernel reset it when it is closed."""
        self.reset_on_close(True)

    def reset_on_close(self, resets: bool) -> None:
        """Tell the kernel how to close it, also if this process is killed."""
        if self._socket.fileno() >= 0:
            self._socket.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_LINGER,
                ABORTIVE_CLOSE if resets else ORDERLY_CLOSE,
            )

    def has_input(self) -> bool:
        """Whether bytes, or the end, have arrived and were not read."""
        return self._holds_bytes() or self._poll(
            select.POLLIN | select.POLLHUP
        )

    def _holds_bytes(self) -> bool:
        """Whether the event loop has read bytes that nobody received.

        anyio has no public way to look at them without waiting.
        """
        protocol = getattr(self._stream, '_protocol', None)
        return bool(getattr(protocol, 'read_queue', ()))

    def has_ended(self) -> bool:
        """Whether the other side has ended it, read or not."""
        return self._poll(select.POLLRDHUP | select.POLLHUP)

    async def wait_ended(self) -> None:
        """Wait until the other side has ended it; bytes stay unread.

        The event loop tells only that there is something to read, which a
        further request is as well.
        """
        if self.has_ended():
            return
        with contextlib.ExitStack() as opened:
            try:
                ended = opened.enter_context(select.epoll())
                ended.register(self._socket, select.EPOLLRDHUP)
            except OSError:
                # No descriptor is left.
                await super().wait_ended()
                return
            await anyio.wait_readable(ended)

    def _poll(self, events: int) -> bool:
        # The event loop may have closed it after a reset.
        return self._socket.fileno() < 0 or has_event(self._socket, events)


class TcpListener:
    """A listening TCP socket."""

    def __init__(self, *, listening: socket.socket) -> None:
        self._listening = listening
        self.opening = 0
        self.may_accept: Callable[[int], bool] = lambda opening: True
        """Whether one more connection may be open beside those that open."""
        host, port = listening.getsockname()[:2]
        self.address = f'{host}:{port}'

    def limit_buffers(self) -> None:
        """Bound what lies in each connection."""
        limit_buffers(self._listening)

    async def serve(
        self, handler: ConnectionHandler, tasks: anyio.abc.TaskGroup
    ) -> None:
        """Give each connection to a task of its own, until cancelled."""

        def begin(accepted: socket.socket) -> None:
            self.opening += 1
            tasks.start_soon(self._handle, accepted, handler)

        accepting = Accepting(
            listening=self._listening,
            may_accept=lambda: self.may_accept(self.opening),
            begin=begin,
        )
        with self._listening:
            try:
                await accepting.run()
            finally:
                # Closing the socket resets the connections in its backlog.
                accepting.accept_waiting()

    async def _handle(
        self, accepted: socket.socket, handler: ConnectionHandler
    ) -> None:
        try:
            connection = await _open(accepted)
        finally:
            self.opening -= 1
        if connection is not None:
            await handler(connection)


async def _open(accepted: socket.socket) -> Connection | None:
    try:
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = await anyio.abc.SocketStream.from_socket(accepted)
    except (OSError, ValueError):
        # Reset before it was looked at.
        accepted.close()
        return None
    _stop_reading_ahead(stream)
    return TcpConnection(stream=stream)


def _stop_reading_ahead(stream: anyio.abc.SocketStream) -> None:
    """Have bytes read from the kernel only within `receive`.

    anyio pauses a stream behind each `receive` that had to wait; until the
    first, the event loop reads all that comes. A request that was read that
    way is lost with the process, and its caller can't tell that it never ran.
    """
    transport = getattr(stream, '_transport', None)
    if transport is not None:
        transport.pause_reading()


class TcpNetwork:
    """TCP by IP addresses."""

    def __init__(self, *, opened: SocketsByAddress | None = None) -> None:
        self._opened = {} if opened is None else opened
        """Sockets that listen already, by address; each is taken once."""

    async def connect(self, address: str) -> Connection:
        """Return a new connection; raises `OSError` if there is none."""
        host, port = split_address(address)
        if _is_ip_address(host):
            return TcpConnection(stream=await _connect_ip(host, port))
        try:
            stream = await anyio.connect_tcp(host, port)
        except OSError as error:
            # anyio hides the kind of error, which says whether the VM is
            # there and only the process is not.
            if isinstance(error.__cause__, OSError):
                raise error.__cause__ from error
            raise
        return TcpConnection(stream=stream)

    async def listen(self, address: str) -> TcpListener:
        """Take connections to an address; port 0 takes a free one."""
        listening = self._opened.pop(address, None)
        if listening is None:
            listening = open_listener(*split_address(address))
        return TcpListener(listening=listening)


async def _connect_ip(host: str, port: int) -> anyio.abc.SocketStream:
    """Return a stream to an IP address; raises `OSError` if there is none.

    `anyio.connect_tcp` takes 2.6 times the processor time: it starts tasks
    and timers to race several addresses of a name.
    """
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    connecting = socket.socket(family, socket.SOCK_STREAM)
    try:
        connecting.setblocking(False)
        try:
            connecting.connect((host, port))
        except BlockingIOError:
            await anyio.wait_writable(connecting)
            code = connecting.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                raise OSError(code, os.strerror(code)) from None
        return await anyio.abc.SocketStream.from_socket(connecting)
    except ValueError as error:
        # Reset before it was looked at.
        connecting.close()
        raise ConnectionResetError(str(error)) from error
    except BaseException:
        connecting.close()
        raise


def _is_ip_address(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def has_event(connection: socket.socket, events: int) -> bool:
    """Whether an open socket has one of the events, those of `select.poll`."""
    poller = select.poll()
    poller.register(connection, events)
    return bool(poller.poll(0))


def split_address(address: str) -> tuple[str, int]:
    """Return host and port; raises `OSError` unless it is HOST:PORT.

    Addresses come from tables and from peers. The socket module raises
    errors of other kinds for ports and hosts that cannot be.
    """
    host, _, port = address.rpartition(':')
    is_host = host.isascii() and host.isprintable() and host != ''
    if not is_host or not PORT_PATTERN.fullmatch(port) or int(port) > MAX_PORT:
        raise OSError(f'not an address: {address[:MAX_SHOWN]!r}')
    return host, int(port)
