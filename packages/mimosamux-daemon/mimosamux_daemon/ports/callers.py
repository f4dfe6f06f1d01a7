"""Port to the caller of a request, as the forwarder needs it."""

from typing import Protocol

import anyio

from mimosamux_daemon.domain.http_messages import RawHeaders


class Caller(Protocol):
    """The client that waits for an answer."""

    def cancel_on_disconnect(self, scope: anyio.CancelScope) -> None:
        """Cancel a scope as soon as the caller disconnects."""

    def has_disconnected(self) -> bool:
        """Return whether the caller's connection has ended by now."""


class AnswerSink(Protocol):
    """Sends the answer; each method returns False if the caller is gone."""

    is_started: bool
    """Whether the head of the answer was sent."""

    def hold(self, size: int) -> bool:
        """Note how much of the answer is kept; False if it should be sent."""

    async def answer(
        self, status: int, headers: RawHeaders, body: bytes = b''
    ) -> bool:
        """Send a complete answer."""

    async def start(
        self, status: int, headers: RawHeaders, first: bytes = b''
    ) -> bool:
        """Send the head and the first part of the body."""

    async def write(self, data: bytes) -> bool:
        """Send a part of the body."""

    async def finish(self) -> bool:
        """End the answer, which marks it as complete."""
