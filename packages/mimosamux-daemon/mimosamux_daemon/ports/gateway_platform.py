"""All ports of a gateway daemon, as one adapter package provides them."""

from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from mimosamux_daemon.adapters.http1_exchange import Handler
from mimosamux_daemon.domain.gateway import ListedEndpoint
from mimosamux_daemon.domain.rollouts import Rollout, RolloutOrder
from mimosamux_daemon.domain.routes import ConfigurationDocument
from mimosamux_daemon.domain.store import Write
from mimosamux_daemon.domain.store_eras import StoreEra
from mimosamux_daemon.ports.duty_calls import DutyCalls
from mimosamux_daemon.ports.endpoint_calls import EndpointCalls
from mimosamux_daemon.ports.endpoint_routes import EndpointRoutes
from mimosamux_daemon.ports.feeds import Feed
from mimosamux_daemon.ports.gateway import (
    DaemonDirectory,
    RequestForwarder,
    RequestHandler,
)
from mimosamux_daemon.ports.run_moves import RunMoves
from mimosamux_daemon.ports.table import Table


@dataclass(frozen=True, kw_only=True, slots=True)
class GatewayPlatform:
    """Ports and factories that connect a gateway daemon to a platform."""

    operators: Feed[ConfigurationDocument | RolloutOrder]
    """Configuration and roll-out orders that operators have written."""
    configuration_key: str
    """Row key of the configuration in its table."""
    parse_configuration: Callable[[bytes], ConfigurationDocument]
    render_rollout_status: Callable[[Rollout], Write]
    """Encodes the status row of a roll-out for operators."""
    endpoints: Feed[ListedEndpoint]
    calls: EndpointCalls
    moves: RunMoves
    table: Table
    store_era: StoreEra
    duties: DutyCalls | None
    """None: the daemon reports no usage and orders no endpoints."""
    create_request_handler: Callable[[RequestForwarder], RequestHandler]
    """Creates the handler for callers' requests."""
    create_discovery_handler: Callable[
        [DaemonDirectory, Callable[[], bool]], Handler
    ]
    """Creates the handler for service discovery and readiness."""
    discard_idle_connections: Callable[[], None]
    """Discards all idle connections from connection pools."""
    discard_connections_to: Callable[[str], None]
    """Discards the idle connections to an endpoint's address."""
    use_routes: Callable[[EndpointRoutes], None]
    """Has connections to endpoints go through peers where need be."""
    probe_endpoint: Callable[[str], Coroutine[Any, Any, None]]
    """Attempts a direct connection to an endpoint's address."""
    run: Callable[[], Coroutine[Any, Any, None]]
    """Maintains the connection pools until cancelled."""
