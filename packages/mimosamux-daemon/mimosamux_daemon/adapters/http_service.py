"""Plain services over HTTP."""

import socket
from dataclasses import dataclass, field
from urllib.parse import quote

import anyio
import httpx

from mimosamux_daemon.adapters.http_framing import is_unframed
from mimosamux_daemon.adapters.http_platform import NOT_SENT
from mimosamux_daemon.callers import SMALL_BYTES
from mimosamux_daemon.domain.engine import ConnectFailed
from mimosamux_daemon.domain.http_headers import end_to_end_headers
from mimosamux_daemon.domain.vms import Endpoint
from mimosamux_daemon.domain.work import ServiceCall
from mimosamux_daemon.ports.models.service import (
    ServiceAnswer,
    ServiceUnanswered,
)
from mimosamux_daemon.ports.network import UNREAD_ANSWER_BYTES

CONNECT_TIMEOUT_S = 2.0
MAX_CONNECTIONS = 256
MAX_ANSWER_BYTES = 32 * 1024 * 1024
"""An answer that is larger counts as none."""
ROOM_BYTES = 1024 * 1024
"""Bytes for which room is asked beyond those that have come, where nothing
tells the length of an answer."""
ROOM_WAIT_S = 5.0
"""Longest wait for room; beyond it, the answer counts as none."""
ROOM_POLL_S = 0.05

UNREAD_OPTION = (socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_ANSWER_BYTES)

KEY_HEADER = 'idempotency-key'
REQUEST_HEADER = 'x-mimosamux-request'
OWN_HEADERS = frozenset({'host', 'content-length', KEY_HEADER, REQUEST_HEADER})
"""Headers that the adapter sets anew for the connection it uses."""


def _new_client(idle_connections: int) -> httpx.AsyncClient:
    return httpx.AsyncClient(
        timeout=httpx.Timeout(
            None, connect=CONNECT_TIMEOUT_S, pool=CONNECT_TIMEOUT_S
        ),
        transport=httpx.AsyncHTTPTransport(
            limits=httpx.Limits(
                max_connections=MAX_CONNECTIONS,
                max_keepalive_connections=idle_connections,
            ),
            trust_env=False,
            socket_options=[UNREAD_OPTION],
        ),
    )


def _new_repeatable() -> httpx.AsyncClient:
    return _new_client(MAX_CONNECTIONS)


def _new_once() -> httpx.AsyncClient:
    return _new_client(0)


@dataclass(frozen=True, kw_only=True, slots=True)
class HttpServices:
    """The `Services` port over HTTP.

    A call that may not be repeated gets a connection of its own. On one
    that was idle, the service may hang up just as the call is sent, and
    nobody could tell whether it ran.
    """

    repeatable: httpx.AsyncClient = field(default_factory=_new_repeatable)
    once: httpx.AsyncClient = field(default_factory=_new_once)

    async def call(
        self, endpoint: Endpoint, call: ServiceCall
    ) -> ServiceAnswer | ConnectFailed | ServiceUnanswered:
        """Send one call; `ConnectFailed` means no byte was sent."""
        is_repeatable = call.work_class.repeatable
        http = self.repeatable if is_repeatable else self.once
        try:
            request = http.build_request(
                call.method,
                f'http://{endpoint.address}/{quote_path(call.path)}',
                headers=_headers(call),
                content=call.body,
            )
        except (httpx.InvalidURL, ValueError) as error:
            return ConnectFailed(reason=f'not a request: {error}')
        try:
            response = await http.send(request, stream=True)
        except NOT_SENT as error:
            return ConnectFailed(reason=f'{type(error).__name__} {error}')
        except httpx.HTTPError as error:
            return ServiceUnanswered(reason=f'{type(error).__name__} {error}')
        return await _read_answer(response, call)

    async def close(self) -> None:
        """Close every connection."""
        await self.repeatable.aclose()
        await self.once.aclose()


async def _read_answer(
    response: httpx.Response, call: ServiceCall
) -> ServiceAnswer | ServiceUnanswered:
    body = bytearray()
    room = 0
    try:
        async for part in response.aiter_raw():
            body += part
            if len(body) > MAX_ANSWER_BYTES:
                return ServiceUnanswered(reason='the answer is too large')
            if len(body) > max(room, SMALL_BYTES):
                room = max(len(body) + ROOM_BYTES, _stated_length(response))
                if not await _wait_for_room(call, room):
                    return ServiceUnanswered(reason='no room for the answer')
    except httpx.HTTPError as error:
        return ServiceUnanswered(reason=f'{type(error).__name__} {error}')
    finally:
        await response.aclose()
    if is_unframed(response):
        return ServiceUnanswered(reason='only its connection ended')
    headers = tuple(response.headers.multi_items())
    return ServiceAnswer(
        status=response.status_code,
        headers=end_to_end_headers(
            headers, without=frozenset({'content-length', 'date', 'server'})
        ),
        body=bytes(body),
    )


def _stated_length(response: httpx.Response) -> int:
    """Return the length of an answer in bytes, 0 if it is not known."""
    text = response.headers.get('content-length', '')
    return min(int(text), MAX_ANSWER_BYTES) if text.isdecimal() else 0


async def _wait_for_room(call: ServiceCall, size: int) -> bool:
    """Return whether so many bytes of an answer may be kept.

    The service waits meanwhile, as its bytes are not read.
    """
    give_up_at = anyio.current_time() + ROOM_WAIT_S
    while not call.ask_room(size):
        if anyio.current_time() > give_up_at:
            return False
        await anyio.sleep(ROOM_POLL_S)
    return True


def quote_path(path: str) -> str:
    """Return a path and query that are safe in a request line."""
    path, mark, query = path.lstrip('/').partition('?')
    return quote(path, safe="/%:@!$&'()*+,;=~-._") + mark + query


def _headers(call: ServiceCall) -> list[tuple[str, str]]:
    headers = list(end_to_end_headers(call.headers, without=OWN_HEADERS))
    if not any(name.lower() == 'accept-encoding' for name, _ in headers):
        headers.append(('accept-encoding', 'identity'))
    headers.append((REQUEST_HEADER, call.id))
    if call.idempotency_key is not None:
        headers.append((KEY_HEADER, call.idempotency_key))
    return headers
