"""Endpoints that a daemon knows, and what it sent to them."""

from collections.abc import Iterable, Iterator, Mapping, Sequence

import anyio
import xxhash

from mimosamux_daemon.domain.engine import CacheEvent, LoadReport
from mimosamux_daemon.domain.names import (
    EndpointId,
    ModelName,
    RequestId,
    ServiceName,
)
from mimosamux_daemon.domain.vms import Endpoint
from mimosamux_daemon.serving.endpoint_state import (
    STATE_NAMES,
    SUSPECT_AFTER,
    EndpointState,
    PromptWork,
    RecentWork,
    Started,
)
from mimosamux_daemon.serving.load import Sent
from mimosamux_daemon.serving.prefix_cache import PrefixCache
from mimosamux_daemon.serving.prices import Place, place_of
from mimosamux_daemon.serving.service_times import (
    ServiceTimes,
)

__all__ = [
    'STATE_NAMES',
    'SUSPECT_AFTER',
    'EndpointState',
    'Fleet',
    'PromptWork',
    'RecentWork',
    'key_of',
]

FIRST_PROBE_S = 0.5
LAST_PROBE_S = 30.0


StatesByPlace = Mapping[Place, Sequence[EndpointState]]
NO_STATES: StatesByPlace = {}


class Fleet:
    """Endpoints by id, by model and by service.

    The lists by model and by service hold only endpoints that take new
    work, so that no choice has to pass over the others.
    """

    def __init__(self, *, cache: PrefixCache | None = None) -> None:
        self.by_id: dict[EndpointId, EndpointState] = {}
        self.cache = PrefixCache() if cache is None else cache
        self.service_times = ServiceTimes()
        self.changed = anyio.Event()
        """Set, and replaced by a new one, when endpoints come or go."""
        self._own_by_model: dict[ModelName, list[EndpointState]] = {}
        self.by_key: dict[int, EndpointState] = {}
        """Endpoints by the number that stands for their id in digests."""
        self._recent_by_id: dict[EndpointId, RecentWork] = {}
        self._by_model: dict[ModelName, dict[Place, list[EndpointState]]] = {}
        self._by_service: dict[ServiceName, list[EndpointState]] = {}

    def add(self, endpoint: Endpoint) -> EndpointState:
        """Add an endpoint; one that is known keeps its state."""
        state = self.by_id.get(endpoint.id)
        if state is not None:
            return state
        state = EndpointState(endpoint=endpoint, place=place_of(endpoint))
        self.by_id[endpoint.id] = state
        self.by_key[key_of(endpoint.id)] = state
        if endpoint.model is not None:
            places = self._by_model.setdefault(endpoint.model, {})
            places.setdefault(state.place, []).append(state)
        if endpoint.service is not None:
            self._by_service.setdefault(endpoint.service, []).append(state)
        self._wake()
        return state

    def remove(self, endpoint: EndpointId) -> None:
        """Forget an endpoint that is gone; its streams see it leave."""
        state = self.by_id.pop(endpoint, None)
        if state is None:
            return
        self._take_out(state)
        state.leaving.set()
        self.by_key.pop(key_of(endpoint), None)
        self._recent_by_id.pop(endpoint, None)
        self.cache.drop(endpoint)
        self._wake()

    def mark_leaving(
        self, endpoint: EndpointId, *, seconds_left: float
    ) -> None:
        """Take an endpoint out of every choice from now on."""
        state = self.by_id.get(endpoint)
        if state is None:
            return
        leaves_at = anyio.current_time() + seconds_left
        if state.leaves_at is None or leaves_at < state.leaves_at:
            state.leaves_at = leaves_at
        if not state.is_leaving:
            self._take_out(state)
            state.leaving.set()
            self._wake()

    def serving_model(self, model: ModelName) -> Iterator[EndpointState]:
        """Return the endpoints of a model that take new work."""
        for states in self.places_of(model).values():
            yield from states

    def places_of(self, model: ModelName) -> StatesByPlace:
        """Return the endpoints of a model that take new work, by place."""
        return self._by_model.get(model, NO_STATES)

    def own_of(self, model: ModelName) -> Sequence[EndpointState]:
        """Return this daemon's own endpoints of a model, see `set_own`."""
        return self._own_by_model.get(model, ())

    def set_own(self, endpoint: EndpointId, *, is_own: bool) -> None:
        """Note whether this daemon watches the endpoint.

        Its reports come straight from there and this daemon sends most
        of its work, so its estimate is the surest.
        """
        state = self.by_id.get(endpoint)
        if state is None or state.is_own == is_own:
            return
        state.is_own = is_own
        model = state.endpoint.model
        if model is None or state.is_leaving:
            return
        own = self._own_by_model.setdefault(model, [])
        if is_own:
            own.append(state)
        elif state in own:
            own.remove(state)

    def serving_service(self, service: ServiceName) -> Iterable[EndpointState]:
        """Return the endpoints of a service that take new work."""
        return self._by_service.get(service, ())

    def note_sent(
        self,
        endpoint: EndpointId,
        request: RequestId,
        attempt: int,
        *,
        work: PromptWork | None = None,
    ) -> None:
        """Count an attempt that is about to be sent."""
        state = self.by_id.get(endpoint)
        if state is None:
            return
        work = PromptWork() if work is None else work
        now = anyio.current_time()
        state.open_by_request[request] = attempt
        started_at = now + work.wait_s
        state.started_by_request[request] = Started(
            kind=work.kind, at=started_at, ends_at=started_at + work.service_s
        )
        state.load.note(Sent(at=now, tokens=work.tokens))
        recent = self._recent_by_id.setdefault(endpoint, RecentWork())
        recent.tokens += work.tokens
        recent.requests += 1
        if work.blocks:
            self.cache.add(endpoint, work.blocks)

    def note_finished(self, endpoint: EndpointId, request: RequestId) -> None:
        """Stop counting an attempt."""
        state = self.by_id.get(endpoint)
        if state is None or state.open_by_request.pop(request, None) is None:
            return
        now = anyio.current_time()
        state.load.note(Sent(at=now, tokens=0.0, requests=0, ended=1))
        self._recent_by_id.setdefault(endpoint, RecentWork()).ended += 1
        started = state.started_by_request.pop(request)
        # An attempt without a connection held no slot; learnt as a short
        # time, it would promise slots that are far from free.
        was_sent = state.failed_connects == 0
        if started.kind is not None and was_sent and now > started.at:
            self.service_times.note(started.kind, now - started.at)

    def note_connect(self, endpoint: EndpointId, *, failed: bool) -> None:
        """Note how a connect went; repeated failures bring suspicion.

        An endpoint that died without a notice stays in the platform's
        lagging list for a while, and every request sent to it would lose
        time on a connect that cannot come about.
        """
        state = self.by_id.get(endpoint)
        if state is None:
            return
        if not failed:
            state.failed_connects = 0
            return
        state.failed_connects += 1
        doublings = min(max(state.failed_connects - SUSPECT_AFTER, 0), 10)
        pause = min(FIRST_PROBE_S * 2**doublings, LAST_PROBE_S)
        state.probe_at = anyio.current_time() + pause

    def take_report(self, report: LoadReport) -> bool:
        """Take a load report; False if a later one was known."""
        state = self.by_id.get(report.endpoint)
        if state is None:
            return False
        return state.load.take_report(report, now=anyio.current_time())

    def take_cache_event(self, event: CacheEvent) -> None:
        """Take a cache event of an endpoint that is known."""
        if event.endpoint in self.by_id:
            self.cache.take(event)

    def take_recent(self) -> dict[EndpointId, RecentWork]:
        """Return what was sent since the last call, by endpoint."""
        recent, self._recent_by_id = self._recent_by_id, {}
        return recent

    def _take_out(self, state: EndpointState) -> None:
        endpoint = state.endpoint
        if endpoint.model is not None:
            places = self._by_model.get(endpoint.model, {})
            states = places.get(state.place, [])
            if state in states:
                states.remove(state)
            if not states:
                places.pop(state.place, None)
            own = self._own_by_model.get(endpoint.model, [])
            if state in own:
                own.remove(state)
        if endpoint.service is not None:
            services = self._by_service.get(endpoint.service, [])
            if state in services:
                services.remove(state)

    def _wake(self) -> None:
        changed, self.changed = self.changed, anyio.Event()
        changed.set()


def key_of(endpoint: EndpointId) -> int:
    """Return the signed 32-bit number for an endpoint in digests."""
    number = xxhash.xxh32_intdigest(endpoint.encode())
    return number - (1 << 32) if number >> 31 else number
