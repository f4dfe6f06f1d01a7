"""Connections to endpoints, through a peer where the direct way is cut.

A peer's tunnel takes an HTTP/1.1 CONNECT request and then passes on bytes.
"""

from dataclasses import dataclass
from http import HTTPStatus

import anyio
import h11

from mimosamux_daemon.adapters.tunnel_frames import (
    FRAMING_HEADER,
    LENGTH_PREFIXED,
    FramedConnection,
)
from mimosamux_daemon.domain.http_messages import find_value
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.endpoint_routes import EndpointRoutes
from mimosamux_daemon.ports.network import Connection, Listener, Network

log = get_log('tunnels')

TUNNEL_TIMEOUT_S = 0.3
"""Time-out of a connection through a peer, its own connect included."""
READ_BYTES = 4096


@dataclass(frozen=True, kw_only=True, slots=True)
class TunnelReply:
    """A peer's answer to the request for a tunnel."""

    status: int | None
    """None without an answer that can be used."""
    rest: bytes = b''
    """Bytes that came behind the answer."""


NO_REPLY = TunnelReply(status=None)


class TunnelNetwork:
    """The `Network` port for endpoints: direct connections or tunnels."""

    def __init__(self, *, network: Network, connect_timeout_s: float) -> None:
        self.routes: EndpointRoutes | None = None
        """None: every connection is direct."""
        self._network = network
        self._connect_timeout_s = connect_timeout_s

    async def connect(self, address: str) -> Connection:
        """Return a new connection to an endpoint, or raise `OSError`."""
        routes = self.routes
        if routes is None or not routes.is_cut_off(address):
            try:
                return await self._connect_directly(address)
            except OSError:
                if routes is None or not routes.is_cut_off(address):
                    raise
        for tunnel in routes.tunnels_to(address):
            connection = await self._open_tunnel(routes, tunnel, address)
            if connection is not None:
                connection.via = tunnel
                return connection
        try:
            return await self._connect_directly(address)
        except ConnectionRefusedError as error:
            if not routes.do_peers_reach(address):
                raise
            # What cuts this daemon off may refuse in the endpoint's place.
            raise ConnectionError(f'cut off: {error}') from error

    async def listen(self, address: str) -> Listener:
        """Listen at an address; port 0 selects a free port."""
        return await self._network.listen(address)

    async def probe(self, address: str) -> None:
        """Try a direct connection, whose outcome the routes are told."""
        try:
            connection = await self._connect_directly(address)
        except OSError:
            return
        await connection.aclose()

    async def _connect_directly(self, address: str) -> Connection:
        try:
            with anyio.fail_after(self._connect_timeout_s):
                connection = await self._network.connect(address)
        except OSError:
            self._note(address, failed=True)
            raise
        self._note(address, failed=False)
        return connection

    def _note(self, address: str, *, failed: bool) -> None:
        if self.routes is not None:
            self.routes.note_connect(address, failed=failed)

    async def _open_tunnel(
        self, routes: EndpointRoutes, tunnel: str, address: str
    ) -> Connection | None:
        """Return a connection through a peer, None if that peer gives none.

        Raise `ConnectionRefusedError` if no process listens at the endpoint.
        """
        reply = NO_REPLY
        with anyio.move_on_after(TUNNEL_TIMEOUT_S):
            try:
                connection = await self._network.connect(tunnel)
            except OSError:
                routes.note_tunnel(tunnel, status=None)
                return None
            try:
                reply = await _request_tunnel(connection, address)
            finally:
                if reply.status != HTTPStatus.OK:
                    with anyio.CancelScope(shield=True):
                        await connection.aclose()
        status = reply.status
        routes.note_tunnel(tunnel, status=status)
        log.info('tunnel_asked', tunnel=tunnel, address=address, status=status)
        if status == HTTPStatus.BAD_GATEWAY:
            raise ConnectionRefusedError(address)
        if status != HTTPStatus.OK:
            return None
        return FramedConnection(connection=connection, received=reply.rest)


async def _request_tunnel(connection: Connection, address: str) -> TunnelReply:
    """Ask for a tunnel that passes on frames, and return the answer."""
    parser = h11.Connection(h11.CLIENT)
    request = h11.Request(
        method=b'CONNECT',
        target=address.encode(),
        headers=[
            (b'Host', address.encode()),
            (FRAMING_HEADER, LENGTH_PREFIXED),
        ],
    )
    try:
        await connection.send(parser.send(request) or b'')
        while True:
            event = parser.next_event()
            if isinstance(event, h11.Response):
                return _parse_reply(event, parser.trailing_data[0])
            if event is not h11.NEED_DATA:
                return NO_REPLY
            parser.receive_data(await connection.receive(READ_BYTES))
    except (
        OSError,
        anyio.BrokenResourceError,
        anyio.ClosedResourceError,
        anyio.EndOfStream,
        h11.ProtocolError,
    ):
        return NO_REPLY


def _parse_reply(response: h11.Response, rest: bytes) -> TunnelReply:
    """Return an answer; a tunnel without frames is none.

    It could not tell the end of an endpoint from that of the peer.
    """
    status = response.status_code
    framing = find_value(tuple(response.headers), FRAMING_HEADER)
    if status == HTTPStatus.OK and framing != LENGTH_PREFIXED:
        log.info('tunnel_without_frames')
        return NO_REPLY
    return TunnelReply(status=status, rest=rest)
