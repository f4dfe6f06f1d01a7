"""Endpoints that a daemon knows, and what it sent to them."""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field

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
from mimosamux_daemon.serving.load import Load, Sent
from mimosamux_daemon.serving.prefix_cache import PrefixCache
from mimosamux_daemon.serving.prices import Place, place_of
from mimosamux_daemon.serving.service_times import (
    DEFAULT_SERVICE_S,
    ServiceTimes,
    WorkKind,
)

STATE_NAMES = ('serving', 'suspected', 'leaving')
SUSPECT_AFTER = 2
"""Failed connects in a row after which an endpoint is avoided."""
FIRST_PROBE_S = 0.5
LAST_PROBE_S = 30.0


@dataclass(frozen=True, kw_only=True, slots=True)
class PromptWork:
    """What an attempt gives its endpoint to do."""

    tokens: float = 512.0
    """Prompt tokens that are likely not in the prefix cache."""
    blocks: Sequence[int] = ()
    """Hashes of the prompt's blocks, cached there afterwards."""
    kind: WorkKind | None = None
    wait_s: float = 0.0
    """Estimated wait for the prompt's turn and a slot."""
    service_s: float = DEFAULT_SERVICE_S
    """Estimated time in a slot."""


@dataclass(kw_only=True, slots=True)
class RecentWork:
    """What this daemon sent to an endpoint since its last digest."""

    tokens: float = 0.0
    requests: int = 0
    ended: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Started:
    """When an attempt likely got its slot, and when it likely ends."""

    kind: WorkKind | None
    at: float
    ends_at: float


@dataclass(kw_only=True, slots=True, eq=False)
class EndpointState:
    """What is known of one endpoint."""

    endpoint: Endpoint
    place: Place
    leaving: anyio.Event = field(default_factory=anyio.Event)
    """Set for good once the endpoint is known to go away."""
    leaves_at: float | None = None
    """Time of `anyio.current_time` at which it is taken away."""
    load: Load = field(default_factory=Load)
    is_own: bool = False
    """Whether this daemon watches it, see `Fleet.set_own`."""
    open_by_request: dict[RequestId, int] = field(default_factory=dict)
    """Attempt number of each request that runs there from here."""
    started_by_request: dict[RequestId, Started] = field(default_factory=dict)
    failed_connects: int = 0
    """Connects that failed since the last that came about."""
    probe_at: float = 0.0
    """Time before which a suspected endpoint is not tried again."""

    @property
    def is_leaving(self) -> bool:
        """Whether no new work may be sent there."""
        return self.leaving.is_set()

    @property
    def report(self) -> LoadReport | None:
        """Newest load report, None before the first."""
        return self.load.report

    def slot_wait_s(
        self, now: float, service_s: float, *, occupied: float
    ) -> float:
        """Return the wait for a slot if `occupied` requests fill them."""
        ends = [each.ends_at for each in self.started_by_request.values()]
        return self.load.slot_wait_s(now, service_s, ends, occupied=occupied)

    def is_suspected(self, now: float) -> bool:
        """Whether connects fail there and the next probe is not due."""
        return self.failed_connects >= SUSPECT_AFTER and now < self.probe_at

    def state_name(self, now: float) -> str:
        """Return one of `STATE_NAMES`."""
        if self.is_leaving:
            return 'leaving'
        return 'suspected' if self.is_suspected(now) else 'serving'


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
        if started.kind is not None and now > started.at:
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
