"""Port to the links with other daemons."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol, TypeVar

from mimosamux_wire import Message

from mimosamux_daemon.domain.names import DaemonId

MessageT = TypeVar('MessageT', bound=Message)


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerUnavailable:
    """The peer did not answer; it may have processed the message."""

    daemon: DaemonId
    reason: str


Handler = Callable[[DaemonId, MessageT], Awaitable[Message | None]]
"""Processes a message from the given sender and returns its answer, if any."""


class Peers(Protocol):
    """Authenticated links to other daemons."""

    async def call(
        self, daemon: DaemonId, message: Message, *, timeout_s: float = 2.0
    ) -> Message | PeerUnavailable:
        """Send a message and return the peer's answer to it."""

    async def notify(self, daemon: DaemonId, message: Message) -> None:
        """Send a message without an answer; it may be lost."""

    def handle(self, kind: type[MessageT], handler: Handler[MessageT]) -> None:
        """Register the handler for incoming messages of type `kind`."""


class PeerLinks(Peers, Protocol):
    """Links to peers that join and leave."""

    def set_address(self, daemon: DaemonId, address: str) -> None:
        """Set a peer's address; a link to another address is closed."""

    def forget(self, daemon: DaemonId) -> None:
        """Close the link to a daemon that has left."""
