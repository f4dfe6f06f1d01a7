"""Connections to model engines whose reads are spaced out under load.

A read, and the write to the caller that follows it, cost about the same
for one token as for several. With 250 streams open, reading each token
as it comes takes more than a core, and every first token waits for it.
A short pause between two reads of a stream lets the kernel join what
comes meanwhile; with few streams there is no pause.
"""

import select
import ssl
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import anyio
import anyio.abc
import httpcore
import httpx

GAP_PER_STREAM_S = 0.0004
"""Pause between two reads of a stream, for each stream that is open."""
SHORTEST_GAP_S = 0.01
"""Pauses below this are left out, as they join nothing."""
LONGEST_GAP_S = 0.1
PROMPT_READS = 3
"""Reads after a request that are never put off: head and first token."""
KEEPALIVE_S = 30.0
MAX_ORIGINS = 1000
"""Engines above which pools without a connection are dropped."""


@dataclass(kw_only=True, slots=True)
class Pace:
    """Says how far apart the reads of each stream are."""

    streams: int = 0
    """Streams that are open now."""

    @property
    def gap_s(self) -> float:
        """Pause between two reads of one stream, in seconds."""
        gap = min(GAP_PER_STREAM_S * self.streams, LONGEST_GAP_S)
        return gap if gap >= SHORTEST_GAP_S else 0.0


class PacedStream(httpcore.AsyncNetworkStream):
    """One TCP connection to an engine."""

    def __init__(self, stream: anyio.abc.SocketStream, pace: Pace) -> None:
        self._stream = stream
        self._pace = pace
        self._reads = 0
        self._last_read = 0.0

    async def read(
        self, max_bytes: int, timeout: float | None = None
    ) -> bytes:
        """Return the next bytes, with what came during the pause."""
        self._reads += 1
        if self._reads > PROMPT_READS and (gap := self._pace.gap_s):
            await anyio.sleep(self._last_read + gap - anyio.current_time())
        try:
            # A scope for a timeout costs a tenth of a read, and streams
            # of answers have none.
            if timeout is None:
                data = await self._stream.receive(max_bytes)
            else:
                with anyio.fail_after(timeout):
                    data = await self._stream.receive(max_bytes)
        except anyio.EndOfStream:
            return b''
        except TimeoutError as error:
            raise httpcore.ReadTimeout(str(error)) from error
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise httpcore.ReadError(str(error)) from error
        if self._reads >= PROMPT_READS:
            self._last_read = anyio.current_time()
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send bytes of a request."""
        self._reads = 0
        if not buffer:
            return
        try:
            with anyio.fail_after(timeout):
                await self._stream.send(buffer)
        except TimeoutError as error:
            raise httpcore.WriteTimeout(str(error)) from error
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise httpcore.WriteError(str(error)) from error

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Refuse: engines are reached inside the data centres."""
        raise httpcore.UnsupportedProtocol('engines are reached without TLS')

    def get_extra_info(self, info: str) -> Any:
        """Return whether the peer has closed an idle connection."""
        if info != 'is_readable':
            return None
        sock = self._stream.extra(anyio.abc.SocketAttribute.raw_socket, None)
        return sock is None or is_socket_readable(sock.fileno())


def is_socket_readable(descriptor: int) -> bool:
    """Whether an idle connection has something to read: its end."""
    if descriptor < 0:
        return True
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))


class PacedNetwork(httpcore.AsyncNetworkBackend):
    """Opens paced connections."""

    def __init__(self, pace: Pace) -> None:
        self._pace = pace

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Return an open connection."""
        try:
            with anyio.fail_after(timeout):
                stream = await anyio.connect_tcp(host, port)
        except TimeoutError as error:
            raise httpcore.ConnectTimeout(str(error)) from error
        except OSError as error:
            raise httpcore.ConnectError(str(error)) from error
        return PacedStream(stream, self._pace)

    async def sleep(self, seconds: float) -> None:
        """Wait."""
        await anyio.sleep(seconds)


class OriginTransport(httpx.AsyncHTTPTransport):
    """The transport of httpx to one engine, over paced connections."""

    def __init__(self, pace: Pace) -> None:
        # httpx has no argument for the network of its pool, and its own
        # constructor loads certificates that nothing here needs.
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=None,
            max_keepalive_connections=None,
            keepalive_expiry=KEEPALIVE_S,
            network_backend=PacedNetwork(pace),
        )

    @property
    def is_unused(self) -> bool:
        """Whether no connection is open."""
        return not self._pool.connections


class PacedTransport(httpx.AsyncBaseTransport):
    """Paced connections, with a pool for each engine.

    A pool looks at all of its connections for each request; with one
    pool for 250 streams that would take milliseconds a request.
    """

    def __init__(self, pace: Pace) -> None:
        self._pace = pace
        self._by_origin: dict[tuple[str, int | None], OriginTransport] = {}

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Send a request to its engine."""
        origin = (request.url.host, request.url.port)
        transport = self._by_origin.get(origin)
        if transport is None:
            self._drop_unused()
            transport = OriginTransport(self._pace)
            self._by_origin[origin] = transport
        return await transport.handle_async_request(request)

    async def aclose(self) -> None:
        """Close every connection."""
        for transport in self._by_origin.values():
            await transport.aclose()

    def _drop_unused(self) -> None:
        if len(self._by_origin) < MAX_ORIGINS:
            return
        for origin, transport in tuple(self._by_origin.items()):
            if transport.is_unused:
                del self._by_origin[origin]
