"""Software versions of the endpoints of each service."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from mimosamux_daemon.domain.names import EndpointId, ServiceName
from mimosamux_daemon.domain.routes import Route
from mimosamux_daemon.domain.stream_origins import StreamOrigin
from mimosamux_daemon.gateway.balancing.endpoint_record import EndpointRecord
from mimosamux_daemon.gateway.roster import Roster

RETENTION_S = 30.0
"""Time for which the version of the last endpoint that ran it counts on: a
stream that began there may still be taken up."""

Listener = Callable[[ServiceName], None]


@dataclass(kw_only=True, slots=True)
class SoftwareVersions:
    """Knows which services run several versions side by side."""

    roster: Roster
    clock: Callable[[], float]
    on_several: list[Listener] = field(default_factory=list)
    """Called with each service whose endpoints ran one version so far."""
    _origin_by_endpoint: dict[EndpointId, StreamOrigin] = field(
        default_factory=dict
    )
    _endpoints: Counter[StreamOrigin] = field(default_factory=Counter)
    """Number of endpoints that run each version of a service."""
    _gone_at: dict[StreamOrigin, float] = field(default_factory=dict)
    """When the last endpoint of a version was removed."""

    def __post_init__(self) -> None:
        self.roster.on_listed.append(self._add)
        self.roster.on_forgotten.append(self._remove)

    def of(self, *services: ServiceName) -> set[StreamOrigin]:
        """Return what services run, or ran until recently."""
        oldest = self.clock() - RETENTION_S
        recent = [each for each, at in self._gone_at.items() if at > oldest]
        return {
            each
            for each in (*self._endpoints, *recent)
            if each.service in services
        }

    def are_several(self, route: Route) -> bool:
        """Whether streams of a route may have begun at different software."""
        return len(self.of(*(split.service for split in route.splits))) > 1

    def _add(self, record: EndpointRecord) -> None:
        origin = StreamOrigin.of(record.listed)
        if self._origin_by_endpoint.get(record.id) == origin:
            return
        were_several = len(self.of(origin.service)) > 1
        self._remove(record.id)
        self._origin_by_endpoint[record.id] = origin
        self._endpoints[origin] += 1
        if not were_several and len(self.of(origin.service)) > 1:
            for listener in self.on_several:
                listener(origin.service)

    def _remove(self, id_: EndpointId) -> None:
        origin = self._origin_by_endpoint.pop(id_, None)
        if origin is None:
            return
        self._endpoints[origin] -= 1
        if not self._endpoints[origin]:
            del self._endpoints[origin]
            self._gone_at[origin] = self.clock()
