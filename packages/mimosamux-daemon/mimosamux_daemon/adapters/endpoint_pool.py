"""Pooled connections to endpoints, direct or through tunnels of peers."""

from mimosamux_daemon.adapters.http1_channels import Channels
from mimosamux_daemon.adapters.reset_watch import ResetWatch
from mimosamux_daemon.adapters.tunnel_network import TunnelNetwork
from mimosamux_daemon.ports.endpoint_routes import EndpointRoutes
from mimosamux_daemon.ports.network import Network

DIRECT_CONNECT_S = 0.25
"""Connect time-out for endpoints.

Connecting takes a few ms, and TCP retransmits a lost SYN only after a second.
A reclaimed endpoint does not respond at all: with a time-out of 0.4 s,
non-streaming requests that tried one first were answered late.
"""
CONNECT_S = 0.8
"""The same with up to two tunnels through peers."""


class EndpointPool:
    """The connections to endpoints, and the ways by which they are made."""

    def __init__(self, *, network: Network, resets: ResetWatch) -> None:
        self._network = TunnelNetwork(
            network=network, connect_timeout_s=DIRECT_CONNECT_S
        )
        self.channels = Channels(
            network=self._network, connect_timeout_s=CONNECT_S, resets=resets
        )

    def use_routes(self, routes: EndpointRoutes) -> None:
        """Have connections go through peers where the routes say so."""
        self._network.routes = routes
        self.channels.note_received = routes.note_received
        self.channels.note_tunnel_broken = routes.note_tunnel_broken
        self.channels.may_send_through = routes.may_send_through
        routes.on_tunnel_closing.append(self.channels.discard_tunnels)

    async def probe(self, address: str) -> None:
        """Try a direct connection, whose outcome the routes are told."""
        await self._network.probe(address)
