"""Lets callers read an answer that comes before their body has.

hypercorn closes a connection behind an answer whose request has not arrived
whole: with bytes unread that resets it, and the reset overtakes the answer.
Before that it waits for room in the queue of the body's parts, which nobody
empties any more, so that the connection would never end.
"""

from dataclasses import dataclass

import anyio
from starlette.types import ASGIApp, Message, Receive, Scope, Send

from mimosamux_daemon.callers import LINGER_BYTES, LINGER_S, MAX_LINGERING


@dataclass(kw_only=True, slots=True)
class LingeringClose:
    """ASGI middleware that drops what an application leaves of a body."""

    app: ASGIApp
    _lingering: int = 0

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Run the application; read the rest of the body at its answer."""
        if scope['type'] != 'http':
            await self.app(scope, receive, send)
            return
        body = _Body(receive=receive)

        async def send_lingering(message: Message) -> None:
            is_last = message['type'] == 'http.response.body' and (
                not message.get('more_body', False)
            )
            if is_last and not body.is_whole:
                await self._send_last(message, body, send)
            else:
                await send(message)

        await self.app(scope, body.receive_part, send_lingering)

    async def _send_last(
        self, message: Message, body: '_Body', send: Send
    ) -> None:
        await send({**message, 'more_body': True})
        if self._lingering < MAX_LINGERING:
            self._lingering += 1
            try:
                with anyio.move_on_after(LINGER_S):
                    await body.drop(LINGER_BYTES)
            finally:
                self._lingering -= 1
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(body.drop)
            await send({'type': 'http.response.body', 'body': b''})
            tasks.cancel_scope.cancel()


@dataclass(kw_only=True, slots=True)
class _Body:
    """The body of a request, as far as it was received."""

    receive: Receive
    is_whole: bool = False
    """Whether it has arrived whole, or its caller is gone."""

    async def receive_part(self) -> Message:
        """Return the next message of the request."""
        message = await self.receive()
        is_part = message['type'] == 'http.request'
        self.is_whole = not (is_part and message.get('more_body', False))
        return message

    async def drop(self, limit: float = float('inf')) -> None:
        """Receive what is left, up to a number of bytes, and drop it."""
        dropped = 0
        while not self.is_whole and dropped < limit:
            message = await self.receive_part()
            dropped += len(message.get('body', b''))
