"""Software versions of the endpoints of each service."""

from collections import Counter
from collections.abc import Callable, Collection
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
    is_record_read: bool = False
    """Whether the versions that ran before the start of this daemon are known.
    Until then a service may run several, whatever the list shows."""
    recorded: set[StreamOrigin] = field(default_factory=set)
    """Versions of which the table is known to have a row."""
    on_several: list[Listener] = field(default_factory=list)
    """Called with each service whose endpoints ran one version so far."""
    on_listed: list[Listener] = field(default_factory=list)
    """Called with each service that gets a further version."""
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

    def of_route(self, route: Route) -> set[StreamOrigin]:
        """Return what the services of a route run, or ran until recently."""
        return self.of(*(split.service for split in route.splits))

    def are_several(self, route: Route) -> bool:
        """Whether streams of a route may have begun at different software."""
        return not self.is_record_read or len(self.of_route(route)) > 1

    def services_with_several(self) -> set[ServiceName]:
        """Return the services that run several, or ran until recently."""
        counts = Counter(each.service for each in self.recent())
        return {service for service, count in counts.items() if count > 1}

    def recent(self) -> set[StreamOrigin]:
        """Return what all services run, or ran until recently."""
        return self.of(
            *(each.service for each in (*self._endpoints, *self._gone_at))
        )

    def note_recorded(self, origins: Collection[StreamOrigin]) -> None:
        """Take over what ran before the start of this daemon.

        What is not listed counts as removed just now.
        """
        self.recorded |= set(origins)
        services = {each.service for each in origins}
        alone = {each for each in services if len(self.of(each)) < 2}
        for origin in origins:
            if origin not in self._endpoints:
                self._gone_at[origin] = self.clock()
        self.is_record_read = True
        for service in sorted(alone):
            self._note_several(service)

    def _note_several(self, service: ServiceName) -> None:
        if len(self.of(service)) > 1:
            for listener in self.on_several:
                listener(service)

    def _add(self, record: EndpointRecord) -> None:
        origin = StreamOrigin.of(record.listed)
        if self._origin_by_endpoint.get(record.id) == origin:
            return
        known = self.of(origin.service)
        self._remove(record.id)
        self._origin_by_endpoint[record.id] = origin
        self._endpoints[origin] += 1
        if len(known) < 2:
            self._note_several(origin.service)
        if origin not in known:
            for listener in self.on_listed:
                listener(origin.service)

    def _remove(self, id_: EndpointId) -> None:
        origin = self._origin_by_endpoint.pop(id_, None)
        if origin is None:
            return
        self._endpoints[origin] -= 1
        if not self._endpoints[origin]:
            del self._endpoints[origin]
            self._gone_at[origin] = self.clock()
