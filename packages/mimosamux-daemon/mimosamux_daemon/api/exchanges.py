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

    def answer_header(self, name: str) -> str:
        """Return a header of the answer, empty if it has none."""
        wanted = name.lower().encode()
        for found, value in self.headers or ():
            if found.lower() == wanted:
                return value.decode('latin-1')
        return ''


@dataclass(kw_only=True, slots=True)
class ExchangeCounter:
    """ASGI middleware that knows the answers in progress.

    While the daemon stops, answers tell callers to leave the connection.
    """

    app: ASGIApp
    is_stopping: Callable[[], bool]
    note_cut: Callable[[Exchange], None]
    """Gets the answers that the server did not finish sending."""
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
        except anyio.get_cancelled_exc_class():
            if self.is_stopping() and exchange.headers is not None:
                self.note_cut(exchange)
            raise
        finally:
            self.exchanges.discard(exchange)

    def count_answers(self) -> int:
        """Return the number of answers that have begun and not ended."""
        return sum(exchange.headers is not None for exchange in self.exchanges)
