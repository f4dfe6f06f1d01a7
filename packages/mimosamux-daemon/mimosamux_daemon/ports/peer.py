"""Port to the other daemons."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol, TypeVar

from mimosamux_wire import Message

from mimosamux_daemon.domain.names import DaemonId

MessageT = TypeVar('MessageT', bound=Message)


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerUnavailable:
    """The peer gave no answer; it may have taken the message."""

    daemon: DaemonId
    reason: str


Handler = Callable[[DaemonId, MessageT], Awaitable[Message | None]]
"""Takes the sender and its message; the result is the answer, if any."""


class Peers(Protocol):
    """Authenticated links to other daemons."""

    async def call(
        self, daemon: DaemonId, message: Message, *, timeout_s: float = 2.0
    ) -> Message | PeerUnavailable:
        """Send a message and return the peer's answer to it."""

    async def notify(self, daemon: DaemonId, message: Message) -> None:
        """Send a message that has no answer; it may be lost."""

    def handle(self, kind: type[MessageT], handler: Handler[MessageT]) -> None:
        """Have messages of `kind` that come in given to `handler`."""


class PeerLinks(Peers, Protocol):
    """Links whose far ends come and go."""

    def set_address(self, daemon: DaemonId, address: str) -> None:
        """Say where a peer listens; a link to elsewhere is dropped."""

    def forget(self, daemon: DaemonId) -> None:
        """Drop the link to a daemon that is gone."""
