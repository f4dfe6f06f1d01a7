"""A TCP proxy that injects faults, as a class and as a program."""

import contextlib
from collections.abc import Iterator
from dataclasses import asdict, dataclass, field
from functools import partial

import anyio
import anyio.abc
import orjson
import pydantic
from anyio.abc import SocketStream, TaskStatus
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from mimosamux_standins.program import announce, serve_app

CHUNK_BYTES = 65_536
BROKEN = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    OSError,
)


@dataclass(kw_only=True, slots=True)
class ProxyFaults:
    """What goes wrong at present; tests change it while running."""

    delay_s: float = 0.0
    """Each piece of data is held back for so long, in each direction."""
    refuse: bool = False
    """New connections are closed at once."""
    blackhole: bool = False
    """Connections stay open, and nothing gets through either way."""
    half_open: bool = False
    """Requests get through, and no answer comes back."""
    drop_answers: int = 0
    """So many times, an answer is dropped and its connection cut."""


@dataclass(kw_only=True, slots=True)
class FaultProxy:
    """Forwards connections to `target`, a `host:port`."""

    target: str
    host: str = '127.0.0.1'
    port: int = 0
    faults: ProxyFaults = field(default_factory=ProxyFaults)
    address: str = ''
    """Where it listens, once `run` has started."""
    accepted: int = 0
    _open: set[SocketStream] = field(default_factory=set)

    async def run(
        self, *, task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Forward until it is cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=self.host, local_port=self.port
        )
        async with listener:
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            self.address = f'{self.host}:{port}'
            task_status.started(self.address)
            await listener.serve(self._forward)

    async def cut(self) -> None:
        """Cut every open connection."""
        for stream in tuple(self._open):
            await anyio.aclose_forcefully(stream)

    async def _forward(self, client: SocketStream) -> None:
        self.accepted += 1
        async with client:
            if self.faults.refuse:
                return
            host, _, port = self.target.rpartition(':')
            try:
                server = await anyio.connect_tcp(host, int(port))
            except OSError:
                return
            async with server:
                with self._tracked(client), self._tracked(server):
                    await self._pump_both(client, server)

    @contextlib.contextmanager
    def _tracked(self, stream: SocketStream) -> Iterator[None]:
        self._open.add(stream)
        try:
            yield
        finally:
            self._open.discard(stream)

    async def _pump_both(
        self, client: SocketStream, server: SocketStream
    ) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._pump_requests, client, server)
            await self._pump_answers(server, client)
            tasks.cancel_scope.cancel()

    async def _pump_requests(
        self, client: SocketStream, server: SocketStream
    ) -> None:
        with contextlib.suppress(*BROKEN):
            while True:
                data = await client.receive(CHUNK_BYTES)
                await anyio.sleep(self.faults.delay_s)
                if not self.faults.blackhole:
                    await server.send(data)
        with contextlib.suppress(*BROKEN):
            await server.send_eof()

    async def _pump_answers(
        self, server: SocketStream, client: SocketStream
    ) -> None:
        with contextlib.suppress(*BROKEN):
            while True:
                data = await server.receive(CHUNK_BYTES)
                await anyio.sleep(self.faults.delay_s)
                if self.faults.drop_answers > 0:
                    self.faults.drop_answers -= 1
                    return
                if not (self.faults.blackhole or self.faults.half_open):
                    await client.send(data)


@dataclass(frozen=True, kw_only=True, slots=True)
class ProxyControl:
    """HTTP routes that change what goes wrong."""

    proxy: FaultProxy

    def app(self) -> Starlette:
        """Return the application."""
        return Starlette(
            routes=[
                Route('/control', self.show),
                Route('/control', self.set_faults, methods=['POST']),
                Route('/control/cut', self.cut, methods=['POST']),
            ]
        )

    async def show(self, request: Request) -> Response:
        """Return the faults and the number of connections so far."""
        content = {
            **asdict(self.proxy.faults),
            'accepted': self.proxy.accepted,
        }
        return Response(orjson.dumps(content))

    async def set_faults(self, request: Request) -> Response:
        """Take the faults; those left out end."""
        body = await request.body()
        faults = pydantic.TypeAdapter(ProxyFaults).validate_json(body)
        self.proxy.faults = faults
        return Response(status_code=204)

    async def cut(self, request: Request) -> Response:
        """Cut every open connection."""
        await self.proxy.cut()
        return Response(status_code=204)


def serve(
    target: str, host: str = '127.0.0.1', port: int = 0, control_port: int = 0
) -> None:
    """Forward to TARGET; prints its address, then the control address."""
    proxy = FaultProxy(target=target, host=host, port=port)
    anyio.run(partial(_serve, proxy, control_port=control_port))


async def _serve(proxy: FaultProxy, *, control_port: int) -> None:
    async with anyio.create_task_group() as tasks:
        announce('listening', await tasks.start(proxy.run))
        app = ProxyControl(proxy=proxy).app()
        await serve_app(
            app, host=proxy.host, port=control_port, name='control'
        )
        tasks.cancel_scope.cancel()
