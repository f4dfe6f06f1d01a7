"""What forwarding needs of the connection of a caller."""

from typing import Protocol

import anyio

from mimosamux_daemon.domain.http_messages import RawHeaders


class Caller(Protocol):
    """Who waits for an answer."""

    def cancel_when_gone(self, scope: anyio.CancelScope) -> None:
        """Have a scope cancelled once the caller is gone."""

    def has_left(self) -> bool:
        """Whether the caller is gone, as its connection tells right now."""


class AnswerSink(Protocol):
    """Where an answer goes; each call is False if the caller is gone."""

    is_started: bool

    async def answer(
        self, status: int, headers: RawHeaders, body: bytes = b''
    ) -> bool:
        """Send a whole answer."""

    async def start(
        self, status: int, headers: RawHeaders, first: bytes = b''
    ) -> bool:
        """Send the head and the first part."""

    async def write(self, data: bytes) -> bool:
        """Send a part of the body."""

    async def finish(self) -> bool:
        """End the answer, so that it counts as whole."""
