"""HTTP exchanges in progress, which a stop has to let finish."""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from starlette.types import ASGIApp, Message, Receive, Scope, Send

CLOSE_HEADER = (b'connection', b'close')
HTTP_1 = ('1.0', '1.1')
"""Versions in which a header closes the connection."""


@dataclass(kw_only=True, slots=True, eq=False)
class Exchange:
    """A request whose answer has not been sent completely."""

    path: str
    began_at: float
    """Time of the request, by `anyio.current_time`."""
    headers: tuple[tuple[bytes, bytes], ...] | None = None
    """Headers of the answer; None until it begins."""


@dataclass(kw_only=True, slots=True)
class ExchangeCounter:
    """ASGI middleware that knows the answers in progress.

    While the daemon stops, answers tell callers to leave the connection.
    """

    app: ASGIApp
    is_stopping: Callable[[], bool]
    exchanges: set[Exchange] = field(default_factory=set)

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Run the application and note the progress of its answer."""
        if scope['type'] != 'http':
            await self.app(scope, receive, send)
            return
        exchange = Exchange(path=scope['path'], began_at=anyio.current_time())
        can_close = scope['http_version'] in HTTP_1

        async def send_noted(message: Message) -> None:
            if message['type'] == 'http.response.start':
                headers = list(message.get('headers', ()))
                if can_close and self.is_stopping():
                    headers.append(CLOSE_HEADER)
                exchange.headers = tuple(headers)
                message = {**message, 'headers': headers}
            await send(message)

        self.exchanges.add(exchange)
        try:
            await self.app(scope, receive, send_noted)
        finally:
            self.exchanges.discard(exchange)

    def count_answers(self) -> int:
        """Return the number of answers that have begun and not ended."""
        return sum(exchange.headers is not None for exchange in self.exchanges)
