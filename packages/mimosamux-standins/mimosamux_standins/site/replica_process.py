"""What others see of a replica's process: a listener and its connections."""

from dataclasses import dataclass, field

import anyio
import anyio.abc
from mimosamux_daemon.adapters.http1_exchange import IncomingRequest, Reply
from mimosamux_daemon.adapters.http1_server import Http1Server
from mimosamux_daemon.adapters.tcp_network import TcpListener
from mimosamux_daemon.domain.routes import TrafficLimits
from mimosamux_daemon.ports.network import Connection

from mimosamux_standins.site.replica import StandInReplica


@dataclass(kw_only=True, slots=True)
class ReplicaProcess:
    """Serves a replica until it is ended."""

    replica: StandInReplica
    """Who answers at its address; a successor may hold the listener on."""
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    """Ends its listener and all connections."""
    _is_hanging: bool = False
    _connections: set[anyio.CancelScope] = field(default_factory=set)

    async def run(self, listener: TcpListener) -> None:
        """Serve until it is ended."""
        server = Http1Server(handler=self._handle, limits=TrafficLimits)

        async def serve(connection: Connection) -> None:
            with anyio.CancelScope() as scope:
                self._connections.add(scope)
                await server.serve(connection)
            self._connections.discard(scope)

        with self.scope:
            async with anyio.create_task_group() as tasks:
                await listener.serve(serve, tasks)

    async def _handle(self, incoming: IncomingRequest, reply: Reply) -> None:
        if self._is_hanging:
            await anyio.sleep_forever()
        await self.replica.handle(incoming, reply)

    def end_connections(self) -> None:
        """End its connections in order; the listener goes on accepting."""
        for scope in self._connections:
            scope.cancel()

    def hang(self) -> None:
        """End its connections; accept others, and answer nothing on them."""
        self._is_hanging = True
        self.end_connections()
