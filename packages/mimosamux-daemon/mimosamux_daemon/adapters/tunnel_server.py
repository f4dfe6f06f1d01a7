"""Passes connections of peers on to endpoints that only this daemon reaches.

A peer sends an HTTP/1.1 CONNECT request; behind the answer, its bytes are
passed on unchanged, and those of the endpoint in frames if the peer asks for
them. A tunnel never leads through another one.
"""

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from http import HTTPStatus

import anyio
import anyio.abc
import h11

from mimosamux_daemon.adapters.tunnel_frames import (
    END_FRAME,
    FRAMING_HEADER,
    LENGTH_PREFIXED,
    render_frame,
)
from mimosamux_daemon.callers import Newcomers
from mimosamux_daemon.domain.http_messages import find_value
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.network import Connection, Network

log = get_log('tunnels')

HEAD_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.2
MAX_TUNNELS = 512
"""Each takes two descriptors."""
PART_BYTES = 64 * 1024

BROKEN = (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError)


@dataclass(frozen=True, kw_only=True, slots=True)
class _TunnelRequest:
    """What a peer asks for."""

    address: str
    is_framed: bool
    """Whether the endpoint's bytes are to be sent in frames."""


@dataclass(kw_only=True, slots=True, eq=False)
class _Tunnel:
    """One tunnel that is open."""

    scope: anyio.CancelScope
    address: str
    opened_at: float = field(default_factory=anyio.current_time)
    has_ended: bool = False
    """Whether one of its sides has ended it."""


@dataclass(kw_only=True, slots=True)
class TunnelServer:
    """Serves the tunnels that peers open."""

    network: Network
    is_endpoint: Callable[[str], bool]
    """Whether an address is that of a listed endpoint; no other is served."""
    note_end: Callable[[str], None]
    """Called with the outcome of each request for a tunnel."""
    newcomers: Newcomers = field(default_factory=Newcomers)
    _draining_since: float | None = None
    _open: set[_Tunnel] = field(default_factory=set)

    @property
    def open_tunnels(self) -> int:
        """Return the number of open tunnels."""
        return len(self._open)

    def drain(self) -> None:
        """Open no further tunnels."""
        self._draining_since = anyio.current_time()

    async def serve(self, connection: Connection) -> None:
        """Serve one connection of a peer until it ends."""
        request = None
        try:
            with self.newcomers.admit():
                request = await self._receive_request(connection)
            if request is not None:
                await self._serve_tunnel(connection, request)
        finally:
            with anyio.CancelScope(shield=True):
                await connection.aclose()

    async def _receive_request(
        self, connection: Connection
    ) -> _TunnelRequest | None:
        """Return what is asked for, None if there is no valid request."""
        parser = h11.Connection(h11.SERVER)
        try:
            with anyio.fail_after(HEAD_TIMEOUT_S):
                while (event := parser.next_event()) is h11.NEED_DATA:
                    parser.receive_data(await connection.receive())
        except (*BROKEN, anyio.EndOfStream, h11.ProtocolError):
            return None
        if not isinstance(event, h11.Request) or event.method != b'CONNECT':
            return None
        framing = find_value(tuple(event.headers), FRAMING_HEADER)
        return _TunnelRequest(
            address=event.target.decode('latin-1'),
            is_framed=framing == LENGTH_PREFIXED,
        )

    async def _serve_tunnel(
        self, connection: Connection, request: _TunnelRequest
    ) -> None:
        endpoint = await self._connect(request.address)
        if isinstance(endpoint, HTTPStatus):
            self.note_end(endpoint.name.lower())
            await _answer(connection, endpoint)
            return
        self.note_end('opened')
        try:
            if await _answer(
                connection, HTTPStatus.OK, is_framed=request.is_framed
            ):
                await self._pass_on(connection, endpoint, request)
        finally:
            with anyio.CancelScope(shield=True):
                await endpoint.aclose()

    async def _connect(self, address: str) -> Connection | HTTPStatus:
        """Connect to an endpoint, or return the status of the refusal."""
        if not self.is_endpoint(address):
            return HTTPStatus.FORBIDDEN
        if self._draining_since is not None or len(self._open) >= MAX_TUNNELS:
            return HTTPStatus.SERVICE_UNAVAILABLE
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                return await self.network.connect(address)
        except ConnectionRefusedError:
            return HTTPStatus.BAD_GATEWAY
        except OSError:
            return HTTPStatus.GATEWAY_TIMEOUT

    async def _pass_on(
        self,
        peer: Connection,
        endpoint: Connection,
        request: _TunnelRequest,
    ) -> None:
        """Pass bytes on in both directions until one side ends.

        If this daemon ends first, both get a reset: taken for an end, it
        would make an answer without a length look complete.
        """
        scope = anyio.CancelScope()
        tunnel = _Tunnel(scope=scope, address=request.address)
        self._open.add(tunnel)
        try:
            with scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._copy, peer, endpoint, tunnel)
                    await self._copy(
                        endpoint, peer, tunnel, is_framed=request.is_framed
                    )
        finally:
            self._open.discard(tunnel)
            if not tunnel.has_ended:
                peer.abort()
                endpoint.abort()
                self._note_cut(tunnel)

    def _note_cut(self, tunnel: _Tunnel) -> None:
        self.note_end('cut')
        now, since = anyio.current_time(), self._draining_since
        log.warning(
            'tunnel_cut',
            address=tunnel.address,
            open_s=round(now - tunnel.opened_at, 3),
            behind_s=None if since is None else round(now - since, 3),
        )

    async def _copy(
        self,
        source: Connection,
        target: Connection,
        tunnel: _Tunnel,
        *,
        is_framed: bool = False,
    ) -> None:
        """Pass bytes on in one direction, and end the tunnel with it.

        A reset of either side is passed on as one: taken for an end, it would
        make an answer without a length look complete.
        """
        try:
            while True:
                part = await source.receive(PART_BYTES)
                await target.send(render_frame(part) if is_framed else part)
        except anyio.EndOfStream:
            if is_framed:
                await _send_end(target)
        except BROKEN:
            source.abort()
            target.abort()
        tunnel.has_ended = True
        tunnel.scope.cancel()


async def _send_end(peer: Connection) -> None:
    """Tell a peer that the endpoint has ended the connection."""
    with suppress(*BROKEN):
        await peer.send(END_FRAME)


async def _answer(
    connection: Connection, status: HTTPStatus, *, is_framed: bool = False
) -> bool:
    """Answer a request for a tunnel; False if the peer is gone."""
    line = f'HTTP/1.1 {status.value} {status.phrase}\r\n'.encode()
    field = b'' if status is HTTPStatus.OK else b'Content-Length: 0\r\n'
    if is_framed:
        field = FRAMING_HEADER + b': ' + LENGTH_PREFIXED + b'\r\n'
    try:
        await connection.send(line + field + b'\r\n')
    except BROKEN:
        return False
    return True
