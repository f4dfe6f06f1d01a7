"""Everything that a daemon which passes requests on meets outside."""

from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from mimosamux_daemon.adapters.http1_exchange import Handler
from mimosamux_daemon.domain.gateway import ListedEndpoint
from mimosamux_daemon.domain.rollouts import Rollout, RolloutOrder
from mimosamux_daemon.domain.routes import ConfigurationDocument
from mimosamux_daemon.domain.store import Write
from mimosamux_daemon.ports.duty_calls import DutyCalls
from mimosamux_daemon.ports.endpoint_calls import EndpointCalls
from mimosamux_daemon.ports.feeds import Feed
from mimosamux_daemon.ports.gateway import AddressBook, RequestForwarder
from mimosamux_daemon.ports.run_moves import RunMoves
from mimosamux_daemon.ports.table import Table


@dataclass(frozen=True, kw_only=True, slots=True)
class GatewayPlatform:
    """The ports, as an adapter package fills them."""

    operators: Feed[ConfigurationDocument | RolloutOrder]
    """What operators have written."""
    configuration_key: str
    """Key of the configuration in its table."""
    parse_configuration: Callable[[bytes], ConfigurationDocument]
    render_rollout_status: Callable[[Rollout], Write]
    """Makes the row in which operators read how far a roll-out is."""
    endpoints: Feed[ListedEndpoint]
    calls: EndpointCalls
    moves: RunMoves
    table: Table
    duties: DutyCalls | None
    handle_requests: Callable[[RequestForwarder], Handler]
    """Makes the handler of callers' requests."""
    handle_questions: Callable[[AddressBook, Callable[[], bool]], Handler]
    """Makes the handler of questions for addresses and readiness."""
    distrust_connections: Callable[[], None]
    """Has no connection used again that was kept until now."""
    forget_connections: Callable[[str], None]
    """Has no kept connection to an endpoint's address used again."""
    run: Callable[[], Coroutine[Any, Any, None]]
    """Upkeep of connections, until cancelled."""
