"""The endpoints that this daemon knows, and what it sent to them."""

from collections.abc import Iterable
from dataclasses import dataclass, field

import anyio

from mimosamux_daemon.domain.engine import LoadReport
from mimosamux_daemon.domain.names import (
    EndpointId,
    ModelName,
    RequestId,
    ServiceName,
)
from mimosamux_daemon.domain.vms import Endpoint


@dataclass(kw_only=True, slots=True)
class EndpointState:
    """What is known of one endpoint."""

    endpoint: Endpoint
    leaving: anyio.Event = field(default_factory=anyio.Event)
    """Set for good once the endpoint is known to go away."""
    leaves_at: float | None = None
    """Time of `anyio.current_time` at which it is taken away."""
    report: LoadReport | None = None
    open_by_request: dict[RequestId, int] = field(default_factory=dict)
    """Attempt number of each request that runs there from here."""

    @property
    def is_leaving(self) -> bool:
        """Whether no new work may be sent there."""
        return self.leaving.is_set()


@dataclass(kw_only=True, slots=True)
class Fleet:
    """Endpoints by id, by model and by service."""

    by_id: dict[EndpointId, EndpointState] = field(default_factory=dict)

    def add(self, endpoint: Endpoint) -> EndpointState:
        """Add an endpoint; one that is known keeps its state."""
        state = self.by_id.get(endpoint.id)
        if state is None:
            state = EndpointState(endpoint=endpoint)
            self.by_id[endpoint.id] = state
        return state

    def remove(self, endpoint: EndpointId) -> None:
        """Forget an endpoint that is gone; its streams see it leave."""
        state = self.by_id.pop(endpoint, None)
        if state is not None:
            state.leaving.set()

    def mark_leaving(
        self, endpoint: EndpointId, *, seconds_left: float
    ) -> None:
        """Take an endpoint out of every choice from now on."""
        state = self.by_id.get(endpoint)
        if state is None:
            return
        state.leaves_at = anyio.current_time() + seconds_left
        state.leaving.set()

    def serving_model(self, model: ModelName) -> Iterable[EndpointState]:
        """Return the endpoints of a model that take new work."""
        return (
            state
            for state in self.by_id.values()
            if state.endpoint.model == model and not state.is_leaving
        )

    def serving_service(self, service: ServiceName) -> Iterable[EndpointState]:
        """Return the endpoints of a service that take new work."""
        return (
            state
            for state in self.by_id.values()
            if state.endpoint.service == service and not state.is_leaving
        )

    def note_sent(
        self, endpoint: EndpointId, request: RequestId, attempt: int
    ) -> None:
        """Count an attempt that is about to be sent."""
        if endpoint in self.by_id:
            self.by_id[endpoint].open_by_request[request] = attempt

    def note_finished(self, endpoint: EndpointId, request: RequestId) -> None:
        """Stop counting an attempt."""
        if endpoint in self.by_id:
            self.by_id[endpoint].open_by_request.pop(request, None)
