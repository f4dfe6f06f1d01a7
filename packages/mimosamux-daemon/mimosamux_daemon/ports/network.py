"""Port to the network: byte streams between addresses."""

from abc import abstractmethod
from collections.abc import Awaitable, Callable
from typing import Protocol

import anyio
import anyio.abc

UNREAD_ANSWER_BYTES = 64 * 1024
"""Most bytes that lie unread in a connection to an endpoint."""
END_POLL_INTERVAL_S = 0.05
"""Interval at which `Connection.wait_ended` looks, unless it is told."""


class Connection(anyio.abc.ByteStream):
    """A byte stream to another process.

    `receive` raises `EndOfStream` if the other side closed the stream, and
    `BrokenResourceError` after a reset.
    """

    via: str = ''
    """Address of the peer's tunnel that it leads through, empty: none."""

    @abstractmethod
    def abort(self) -> None:
        """Reset it: the other side cannot take this for a proper end."""

    @abstractmethod
    def reset_on_close(self, resets: bool) -> None:
        """Choose whether closing it resets it, as does a killed process."""

    @abstractmethod
    def has_input(self) -> bool:
        """Return whether unread bytes or the end of stream have arrived."""

    @abstractmethod
    def has_ended(self) -> bool:
        """Return whether the other side closed, even if bytes are unread."""

    def send_now(self, item: bytes) -> bytes:
        """Send what can be sent without waiting; return the rest."""
        return item

    def limit_unread(self) -> None:
        """Bound what lies unread in it; for connections to endpoints."""

    async def wait_ended(self) -> None:
        """Wait until the other side closes; nothing is read."""
        while True:
            if self.has_ended():
                return
            await anyio.sleep(END_POLL_INTERVAL_S)


ConnectionHandler = Callable[[Connection], Awaitable[None]]


class Listener(Protocol):
    """A listening socket."""

    address: str
    """Address with the actual port, also if port 0 was requested."""
    opening: int
    """Number of accepted connections whose handler has not begun."""
    may_accept: Callable[[int], bool]
    """Whether one more connection may be open beside those that open."""

    def limit_buffers(self) -> None:
        """Bound what lies in each connection, for callers' ones."""

    async def serve(
        self, handler: ConnectionHandler, tasks: anyio.abc.TaskGroup
    ) -> None:
        """Handle each connection in its own task of `tasks`, until cancelled.

        The tasks continue after `serve` is cancelled. Connections that wait to
        be accepted at that time are handled as well; they count as `opening`
        once `serve` has ended.
        """


class Network(Protocol):
    """Opens connections and listeners; addresses are `host:port`."""

    async def connect(self, address: str) -> Connection:
        """Return a new connection, or raise `OSError`."""

    async def listen(self, address: str) -> Listener:
        """Listen at an address; port 0 selects a free port."""
