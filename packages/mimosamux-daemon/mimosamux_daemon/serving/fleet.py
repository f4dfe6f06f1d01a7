"""Registry of the known endpoints, their load and the work sent to them."""

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
    SlotUse,
    UnreportedWork,
)
from mimosamux_daemon.serving.load import SentWork
from mimosamux_daemon.serving.prefix_cache import PrefixCacheIndex
from mimosamux_daemon.serving.prices import CapacityPool, pool_of
from mimosamux_daemon.serving.service_times import (
    ServiceTimes,
)

__all__ = [
    'STATE_NAMES',
    'SUSPECT_AFTER',
    'EndpointState',
    'Fleet',
    'PromptWork',
    'UnreportedWork',
    'hash_endpoint_id',
]

MIN_PROBE_INTERVAL_S = 0.5
MAX_PROBE_INTERVAL_S = 30.0
"""The time to the next probe of a suspected endpoint doubles up to this."""


StatesByPool = Mapping[CapacityPool, Sequence[EndpointState]]
NO_STATES: StatesByPool = {}


class Fleet:
    """Endpoints by id, by model and by service.

    The lists by model and by service hold only endpoints that accept new
    work, so routing does not have to skip the others.
    """

    def __init__(self, *, cache: PrefixCacheIndex | None = None) -> None:
        self.by_id: dict[EndpointId, EndpointState] = {}
        self.cache = PrefixCacheIndex() if cache is None else cache
        self.service_times = ServiceTimes()
        self.changed = anyio.Event()
        """Set, and replaced by a new event, when endpoints come or go."""
        self._own_by_model: dict[ModelName, list[EndpointState]] = {}
        self.by_key: dict[int, EndpointState] = {}
        """Endpoints by the hash of their id, which digests carry."""
        self._unreported_by_id: dict[EndpointId, UnreportedWork] = {}
        self._by_model: dict[
            ModelName, dict[CapacityPool, list[EndpointState]]
        ] = {}
        self._by_service: dict[ServiceName, list[EndpointState]] = {}

    def add(self, endpoint: Endpoint) -> EndpointState:
        """Add an endpoint and return its state; keep a known one's state."""
        state = self.by_id.get(endpoint.id)
        if state is not None:
            return state
        state = EndpointState(endpoint=endpoint, pool=pool_of(endpoint))
        self.by_id[endpoint.id] = state
        self.by_key[hash_endpoint_id(endpoint.id)] = state
        if endpoint.model is not None:
            pools = self._by_model.setdefault(endpoint.model, {})
            pools.setdefault(state.pool, []).append(state)
        if endpoint.service is not None:
            self._by_service.setdefault(endpoint.service, []).append(state)
        self._notify_changed()
        return state

    def remove(self, endpoint: EndpointId) -> None:
        """Remove an endpoint that is gone; its streams see `leaving` set."""
        state = self.by_id.pop(endpoint, None)
        if state is None:
            return
        self._remove_from_lists(state)
        state.leaving.set()
        self.by_key.pop(hash_endpoint_id(endpoint), None)
        self._unreported_by_id.pop(endpoint, None)
        self.cache.drop(endpoint)
        self._notify_changed()

    def mark_leaving(
        self, endpoint: EndpointId, *, seconds_left: float
    ) -> None:
        """Send an endpoint no new work; it is gone in `seconds_left`."""
        state = self.by_id.get(endpoint)
        if state is None:
            return
        leaves_at = anyio.current_time() + seconds_left
        if state.leaves_at is None or leaves_at < state.leaves_at:
            state.leaves_at = leaves_at
        if not state.is_leaving:
            self._remove_from_lists(state)
            state.leaving.set()
            self._notify_changed()

    def serving_model(self, model: ModelName) -> Iterator[EndpointState]:
        """Return the endpoints of a model that accept new work."""
        for states in self.pools_of(model).values():
            yield from states

    def pools_of(self, model: ModelName) -> StatesByPool:
        """Return the endpoints of a model that accept new work, by pool."""
        return self._by_model.get(model, NO_STATES)

    def own_endpoints(self, model: ModelName) -> Sequence[EndpointState]:
        """Return the endpoints of a model that this daemon owns."""
        return self._own_by_model.get(model, ())

    def set_own(self, endpoint: EndpointId, *, is_own: bool) -> None:
        """Set whether this daemon owns the endpoint.

        The owner receives the endpoint's reports directly and sends most
        of its work, so it has the most accurate load estimate.
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
        """Return the endpoints of a service that accept new work."""
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
        state.slot_use_by_request[request] = SlotUse(
            kind=work.kind,
            starts_at=started_at,
            ends_at=started_at + work.service_s,
        )
        state.load.note_own(SentWork(at=now, tokens=work.tokens))
        unreported = self._unreported_by_id.setdefault(
            endpoint, UnreportedWork()
        )
        unreported.tokens += work.tokens
        unreported.requests += 1
        if work.blocks:
            self.cache.add(endpoint, work.blocks)

    def note_finished(self, endpoint: EndpointId, request: RequestId) -> None:
        """Count an attempt as ended."""
        state = self.by_id.get(endpoint)
        if state is None or state.open_by_request.pop(request, None) is None:
            return
        now = anyio.current_time()
        state.load.note_own(SentWork(at=now, tokens=0.0, requests=0, ended=1))
        self._unreported_by_id.setdefault(
            endpoint, UnreportedWork()
        ).ended += 1
        slot_use = state.slot_use_by_request.pop(request)
        # An attempt that did not connect held no slot. Counted as a short
        # service time, it would bias the estimated slot waits downwards.
        has_connected = state.failed_connects == 0
        if (
            slot_use.kind is not None
            and has_connected
            and now > slot_use.starts_at
        ):
            self.service_times.add_sample(
                slot_use.kind, now - slot_use.starts_at
            )

    def note_connect(self, endpoint: EndpointId, *, failed: bool) -> None:
        """Count a connect; repeated failures make the endpoint suspected.

        The platform's list lags, so it still names an endpoint for a
        while after it died without notice. Without suspicion, every
        request sent there would wait for a connect that must fail.
        """
        state = self.by_id.get(endpoint)
        if state is None:
            return
        if not failed:
            state.failed_connects = 0
            return
        state.failed_connects += 1
        doublings = min(max(state.failed_connects - SUSPECT_AFTER, 0), 10)
        delay_s = min(
            MIN_PROBE_INTERVAL_S * 2**doublings, MAX_PROBE_INTERVAL_S
        )
        state.next_probe_at = anyio.current_time() + delay_s

    def apply_report(self, report: LoadReport) -> bool:
        """Apply a load report; return False if a newer one is known."""
        state = self.by_id.get(report.endpoint)
        if state is None:
            return False
        return state.load.apply_report(report, now=anyio.current_time())

    def apply_cache_event(self, event: CacheEvent) -> None:
        """Apply a cache event; ignore those of unknown endpoints."""
        if event.endpoint in self.by_id:
            self.cache.apply(event)

    def take_unreported(self) -> dict[EndpointId, UnreportedWork]:
        """Return and reset the work sent since the last call."""
        unreported, self._unreported_by_id = self._unreported_by_id, {}
        return unreported

    def _remove_from_lists(self, state: EndpointState) -> None:
        endpoint = state.endpoint
        if endpoint.model is not None:
            pools = self._by_model.get(endpoint.model, {})
            states = pools.get(state.pool, [])
            if state in states:
                states.remove(state)
            if not states:
                pools.pop(state.pool, None)
            own = self._own_by_model.get(endpoint.model, [])
            if state in own:
                own.remove(state)
        if endpoint.service is not None:
            services = self._by_service.get(endpoint.service, [])
            if state in services:
                services.remove(state)

    def _notify_changed(self) -> None:
        changed, self.changed = self.changed, anyio.Event()
        changed.set()


def hash_endpoint_id(endpoint: EndpointId) -> int:
    """Return the signed 32-bit hash of an endpoint id in digests."""
    number = xxhash.xxh32_intdigest(endpoint.encode())
    return number - (1 << 32) if number >> 31 else number
