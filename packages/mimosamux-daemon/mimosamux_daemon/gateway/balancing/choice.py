"""Chooses the endpoint that a request is sent to.

For a model engine the choice weighs prefix cache affinity against the queue:
a prompt goes to its home, the endpoint that rendezvous hashing assigns to its
shared prefix, unless the estimated time to the first event there is too long.
For a plain service it is the least loaded endpoint.
"""

import random
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass

import xxhash

from mimosamux_daemon.domain.gateway import PromptInfo
from mimosamux_daemon.domain.names import (
    DataCentreName,
    EndpointId,
    ServiceName,
)
from mimosamux_daemon.domain.routes import Route, ServiceEntry
from mimosamux_daemon.gateway.balancing.endpoint_record import EndpointRecord
from mimosamux_daemon.gateway.balancing.engine_factors import EngineFactors
from mimosamux_daemon.gateway.balancing.engine_speed import EngineSpeed
from mimosamux_daemon.gateway.balancing.health import MAX_EXCESS_FAILURE_RATE
from mimosamux_daemon.gateway.balancing.prefix_cache_index import (
    PrefixCacheIndex,
)
from mimosamux_daemon.gateway.rollouts import Rollouts
from mimosamux_daemon.gateway.roster import Roster

HOME_TARGET_SHARE = 0.4
"""Share of the latency target up to which a request may wait at the home of
its shared prefix, even if other endpoints are idle."""
REMOTE_PENALTY_REQUESTS = 0.5
"""In-flight requests that the distance to another data centre counts as."""
OWN_PREFILL_S = 0.1
"""Prefill time of a request's own prompt that counts as part of its wait."""
OUTPUT_ESTIMATE_SHARE = 0.5
"""Estimated length of an answer as a share of the longest one allowed, where
the caller gives no estimate."""
ENGINE_S_PER_OUTPUT_TOKEN = 0.0001
"""Engine time per output token; it is short because an engine decodes many
requests in one batch."""
SPREAD_SAMPLE_SIZE = 2
"""Endpoints drawn at random for a spread request, before the usual choice."""
MIN_FETCH_TOKENS = 256
"""Least number of tokens worth copying from another engine's KV cache. A copy
takes 2 ms to start, in which an engine computes about as many tokens."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Choice:
    """A chosen endpoint, with the estimated work and delay of the request."""

    record: EndpointRecord
    unread_tokens: float = 0.0
    """Estimated prompt tokens to prefill: those not in the KV cache."""
    first_event_s: float = 0.0
    """Estimated time to the first event of the answer."""
    own_prefill_excess_s: float = 0.0
    """Part of that time which the request's own prefill takes beyond
    `OWN_PREFILL_S`, and which is therefore not due to queueing."""
    time_factor: float = 1.0
    """Time factor of the engine, which the estimates include."""
    queued_tokens: float = 0.0
    """Tokens of other prompts that are queued there for prefill."""
    fetch_from: EndpointRecord | None = None
    """Endpoint from whose KV cache the shared prefix is to be copied."""


class Chooser:
    """Chooses endpoints of model engines and of plain services."""

    def __init__(
        self,
        *,
        prefix_index: PrefixCacheIndex,
        roster: Roster,
        rollouts: Rollouts,
        data_centre: DataCentreName,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.prefix_index = prefix_index
        self._roster = roster
        self._rollouts = rollouts
        self._data_centre = data_centre
        self._clock = clock
        self._rng = rng
        self._speed_by_service: dict[ServiceName, EngineSpeed] = {}
        self.engine_factors = EngineFactors(roster=roster, clock=clock)

    def speed_of(self, service: ServiceName) -> EngineSpeed:
        """Return the speed estimate for the engines of a service."""
        return self._speed_by_service.setdefault(service, EngineSpeed())

    def note_first_event(self, choice: Choice, took_s: float) -> None:
        """Learn from the time to a first event without queued prompts.

        The service's line is that of an engine with factor 1.
        """
        record, unread_tokens = choice.record, choice.unread_tokens
        speed = self.speed_of(record.listed.service)
        expected_s = speed.constant_s + speed.prefill_s(unread_tokens)
        if choice.fetch_from is None and unread_tokens >= 1:
            self.engine_factors.note_first_event(record, took_s, expected_s)
        speed.add_sample(unread_tokens, took_s / record.time_factor)

    def choose(
        self,
        service: ServiceEntry,
        route: Route,
        prompt: PromptInfo | None,
        *,
        request_id: str = '',
        trial_weight: float = 1.0,
        excluding: Collection[EndpointId] = (),
        is_spread: bool = False,
    ) -> Choice | None:
        """Return the endpoint for one attempt, None if none takes requests.

        With `is_spread` the choice is limited to a random sample. This is
        for requests that were at an endpoint which crashed: prefix affinity
        would send all of them to the same next endpoint, together with the
        request that caused the crash.
        """
        now = self._clock()
        records = self.find_candidates(
            service.name,
            request_id=request_id,
            trial_weight=trial_weight,
            excluding=excluding,
        )
        records = _exclude_unhealthy(records, now)
        if not records:
            return None
        if service.engine is not None and prompt is not None:
            if is_spread:
                records = self._rng.sample(
                    records, min(SPREAD_SAMPLE_SIZE, len(records))
                )
            return self._choose_engine(records, service, route, prompt, now)
        return Choice(record=self._choose_plain(records, now))

    def find_candidates(
        self,
        service: ServiceName,
        *,
        request_id: str,
        excluding: Collection[EndpointId],
        trial_weight: float = 1.0,
    ) -> list[EndpointRecord]:
        """Return the endpoints that a request may be sent to.

        A repeated request is not sent to software versions on trial: a
        faulty version must not fail it twice.
        """
        records = [
            record
            for record in self._roster.accepting(service)
            if record.id not in excluding
        ]
        return self._rollouts.filter_endpoints(
            service,
            records,
            request_id=request_id,
            allow_trial=not excluding,
            weight=trial_weight,
        )

    def estimate_engine_s(
        self, service: ServiceName, prompt: PromptInfo
    ) -> float:
        """Return the estimated engine time of a request."""
        output_tokens = prompt.expected_answer_tokens
        if output_tokens is None:
            output_tokens = int(
                prompt.max_answer_tokens * OUTPUT_ESTIMATE_SHARE
            )
        prefill_s = self.speed_of(service).prefill_s(prompt.unshared_tokens)
        return prefill_s + output_tokens * ENGINE_S_PER_OUTPUT_TOKEN

    def _choose_engine(
        self,
        records: Sequence[EndpointRecord],
        service: ServiceEntry,
        route: Route,
        prompt: PromptInfo,
        now: float,
    ) -> Choice:
        """Return the first endpoint in hash order that is fast enough.

        The limit is `HOME_TARGET_SHARE` of the latency target, or the least
        estimate if no endpoint is within that.
        """
        holder = self._find_holder(service, prompt)
        choices = [
            self._estimate(record, service, prompt, holder, now)
            for record in records
        ]
        prefix_key = prompt.shared_prefix_id
        choices.sort(
            key=lambda choice: _rendezvous_hash(choice.record.id, prefix_key)
        )
        min_estimate_s = min(choice.first_event_s for choice in choices)
        limit = max(HOME_TARGET_SHARE * route.latency_target_s, min_estimate_s)
        return next(
            choice for choice in choices if choice.first_event_s <= limit
        )

    def _find_holder(
        self, service: ServiceEntry, prompt: PromptInfo
    ) -> EndpointRecord | None:
        """Return the endpoint that caches most of a prompt's shared prefix.

        It may be leaving: its KV cache can be copied until it is gone, which
        saves computing the prefix again elsewhere. An endpoint that cannot
        be connected to is left out, as the request would wait for its copy
        in vain.
        """
        now = self._clock()
        max_cached, holder = MIN_FETCH_TOKENS - 1, None
        for record in self._roster.of_service(service.name):
            is_gone = record.leaves_at is not None and record.leaves_at < now
            if is_gone or record.is_unreachable(now):
                continue
            tokens = self.prefix_index.cached_tokens(record.id, prompt)
            if tokens > max_cached:
                max_cached, holder = tokens, record
        return holder

    def _estimate(
        self,
        record: EndpointRecord,
        service: ServiceEntry,
        prompt: PromptInfo,
        holder: EndpointRecord | None,
        now: float,
    ) -> Choice:
        """Estimate the prefill work and the delay at one endpoint."""
        speed = self.speed_of(service.name)
        factor = self.engine_factors.factor(record)
        load = record.load.total(now)
        cached = self.prefix_index.cached_tokens(record.id, prompt)
        fetch_from = None
        if holder is not None and holder is not record:
            held_tokens = self.prefix_index.cached_tokens(holder.id, prompt)
            if held_tokens - cached >= MIN_FETCH_TOKENS:
                fetch_from, cached = holder, held_tokens
        unread_tokens = max(prompt.prompt_tokens - cached, 1.0)
        first_event_s = speed.constant_s + speed.prefill_s(
            load.unread_tokens + unread_tokens
        )
        if load.requests >= record.listed.slots:
            # Without a free slot the request waits until an answer ends.
            first_event_s += 1.0 + load.requests / record.listed.slots
        return Choice(
            record=record,
            unread_tokens=unread_tokens,
            first_event_s=first_event_s * factor,
            own_prefill_excess_s=max(
                0.0, speed.prefill_s(unread_tokens) * factor - OWN_PREFILL_S
            ),
            time_factor=factor,
            queued_tokens=load.unread_tokens,
            fetch_from=fetch_from,
        )

    def _choose_plain(
        self, records: Sequence[EndpointRecord], now: float
    ) -> EndpointRecord:
        """Return the endpoint with the least load per slot."""

        def cost(record: EndpointRecord) -> float:
            load = record.load.total(now)
            is_remote = record.listed.data_centre != self._data_centre
            penalty = REMOTE_PENALTY_REQUESTS if is_remote else 0.0
            return (load.requests + penalty) / record.listed.slots

        shuffled = self._rng.sample(list(records), len(records))
        return min(shuffled, key=cost)


def _exclude_unhealthy(
    records: list[EndpointRecord], now: float
) -> list[EndpointRecord]:
    """Return the healthy endpoints, or all of them if none is healthy.

    An endpoint is left out if connections to it fail, if it has just turned
    requests down, or if its failure share exceeds the best one by
    `MAX_EXCESS_FAILURE_RATE`.
    """
    available = [each for each in records if not each.is_deprioritised(now)]
    available = available or records
    share_by_id = {
        record.id: record.health.failure_rate(now) for record in available
    }
    known = [share for share in share_by_id.values() if share is not None]
    if not known:
        return available
    limit = min(known) + MAX_EXCESS_FAILURE_RATE
    healthy = [
        record
        for record in available
        if (share_by_id[record.id] or 0.0) < limit
    ]
    return healthy or available


def _rendezvous_hash(endpoint: EndpointId, key: str) -> int:
    """Return the rendezvous hash of an endpoint, the same at each daemon."""
    return xxhash.xxh3_64_intdigest(f'{endpoint} {key}'.encode())
