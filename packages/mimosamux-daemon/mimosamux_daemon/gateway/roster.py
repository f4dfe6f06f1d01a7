"""The endpoints that the platform lists, and which of them serve."""

from collections.abc import Iterable, Mapping

from mimosamux_daemon.domain.gateway import EndpointState, ListedEndpoint
from mimosamux_daemon.domain.names import EndpointId, ServiceName
from mimosamux_daemon.logs import get_log

log = get_log('roster')


class Roster:
    """Endpoints by id; those that leave get nothing new."""

    def __init__(self) -> None:
        self.by_id: dict[EndpointId, ListedEndpoint] = {}

    def replace(self, items: Mapping[str, ListedEndpoint]) -> None:
        """Take the whole list as it is now."""
        self.by_id = {EndpointId(key): item for key, item in items.items()}

    def apply(
        self, changes: Iterable[tuple[str, ListedEndpoint | None]]
    ) -> None:
        """Take changes of the list in their order."""
        for key, item in changes:
            log.info('endpoint', id=key, item=repr(item))
            if item is None:
                self.by_id.pop(EndpointId(key), None)
            else:
                self.by_id[EndpointId(key)] = item

    def serving(self, service: ServiceName) -> list[ListedEndpoint]:
        """Return the endpoints of a service that take new requests."""
        return [
            endpoint
            for endpoint in self.by_id.values()
            if endpoint.service == service
            and endpoint.state is EndpointState.READY
        ]
