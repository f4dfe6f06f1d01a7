"""Passes connections of peers on to endpoints that only this daemon reaches.

A peer sends an HTTP/1.1 CONNECT request; behind the answer, bytes are passed
on unchanged. A tunnel never leads through another one.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

import anyio
import anyio.abc
import h11

from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.network import Connection, Network

log = get_log('tunnels')

HEAD_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.2
MAX_TUNNELS = 512
"""Each takes two descriptors."""
PART_BYTES = 64 * 1024

BROKEN = (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError)


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
        try:
            address = await self._receive_target(connection)
            if address is not None:
                await self._serve_tunnel(connection, address)
        finally:
            with anyio.CancelScope(shield=True):
                await connection.aclose()

    async def _receive_target(self, connection: Connection) -> str | None:
        """Return the requested address, None if there is no valid request."""
        parser = h11.Connection(h11.SERVER)
        try:
            with anyio.fail_after(HEAD_TIMEOUT_S):
                while (event := parser.next_event()) is h11.NEED_DATA:
                    parser.receive_data(await connection.receive())
        except (*BROKEN, anyio.EndOfStream, h11.ProtocolError):
            return None
        if not isinstance(event, h11.Request) or event.method != b'CONNECT':
            return None
        return event.target.decode('latin-1')

    async def _serve_tunnel(
        self, connection: Connection, address: str
    ) -> None:
        endpoint = await self._connect(address)
        if isinstance(endpoint, HTTPStatus):
            self.note_end(endpoint.name.lower())
            await _answer(connection, endpoint)
            return
        self.note_end('opened')
        try:
            if await _answer(connection, HTTPStatus.OK):
                await self._pass_on(connection, endpoint, address)
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
        self, peer: Connection, endpoint: Connection, address: str
    ) -> None:
        """Pass bytes on in both directions until one side ends.

        If this daemon ends first, both get a reset: taken for an end, it
        would make an answer without a length look complete.
        """
        scope = anyio.CancelScope()
        tunnel = _Tunnel(scope=scope, address=address)
        self._open.add(tunnel)
        try:
            with scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._copy, peer, endpoint, tunnel)
                    await self._copy(endpoint, peer, tunnel)
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
    ) -> None:
        """Pass bytes on in one direction, and end the tunnel with it.

        A reset is passed on as one: taken for an end, it would make an answer
        without a length look complete.
        """
        try:
            while True:
                part = await source.receive(PART_BYTES)
                await target.send(part)
        except anyio.EndOfStream:
            pass
        except BROKEN:
            target.abort()
        tunnel.has_ended = True
        tunnel.scope.cancel()


async def _answer(connection: Connection, status: HTTPStatus) -> bool:
    """Answer a request for a tunnel; False if the peer is gone."""
    line = f'HTTP/1.1 {status.value} {status.phrase}\r\n'
    length = '' if status is HTTPStatus.OK else 'Content-Length: 0\r\n'
    try:
        await connection.send(f'{line}{length}\r\n'.encode())
    except BROKEN:
        return False
    return True
