"""Port to the network: byte streams between addresses."""

from abc import abstractmethod
from collections.abc import Awaitable, Callable
from typing import Protocol

import anyio.abc


class Connection(anyio.abc.ByteStream):
    """A byte stream to another process.

    `receive` raises `EndOfStream` at the other side's orderly end, and
    `BrokenResourceError` after a reset.
    """

    @abstractmethod
    def has_input(self) -> bool:
        """Whether bytes, or the end, have arrived and were not read."""

    @abstractmethod
    def has_ended(self) -> bool:
        """Whether the other side has ended it, read or not."""


ConnectionHandler = Callable[[Connection], Awaitable[None]]


class Listener(Protocol):
    """A place where connections come in."""

    address: str
    """Where it listens, with the port that was given to it."""

    async def serve(
        self, handler: ConnectionHandler, tasks: anyio.abc.TaskGroup
    ) -> None:
        """Give each connection to a task of its own, until cancelled.

        The tasks go on when accepting ends.
        """


class Network(Protocol):
    """Connects addresses of the form `host:port`."""

    async def connect(self, address: str) -> Connection:
        """Return a new connection; raises `OSError` if there is none."""

    async def listen(self, address: str) -> Listener:
        """Take connections to an address; port 0 takes a free one."""
