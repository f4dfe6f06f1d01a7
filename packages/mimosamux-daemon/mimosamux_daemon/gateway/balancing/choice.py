"""Chooses the endpoint that a request is sent to.

For a model engine the choice weighs prefix cache affinity against the queue:
a prompt goes to its home, the endpoint that rendezvous hashing assigns to its
shared prefix, unless the estimated time to the first event there is too long.
For a plain service the load per slot decides, see `plain_choice.py`.
"""

import random
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass

from mimosamux_daemon.domain.gateway import PromptInfo
from mimosamux_daemon.domain.names import (
    DataCentreName,
    EndpointId,
    ServiceName,
)
from mimosamux_daemon.domain.routes import Route, ServiceEntry
from mimosamux_daemon.domain.stream_origins import StreamOrigin
from mimosamux_daemon.gateway.balancing.endpoint_record import EndpointRecord
from mimosamux_daemon.gateway.balancing.engine_candidates import (
    WIDE_SAMPLE_SIZE,
    EngineCandidates,
)
from mimosamux_daemon.gateway.balancing.engine_factors import EngineFactors
from mimosamux_daemon.gateway.balancing.engine_speed import EngineSpeed
from mimosamux_daemon.gateway.balancing.hash_order import rendezvous_hash
from mimosamux_daemon.gateway.balancing.health import MAX_EXCESS_FAILURE_RATE
from mimosamux_daemon.gateway.balancing.load_forecast import LoadForecast
from mimosamux_daemon.gateway.balancing.plain_choice import PlainChooser
from mimosamux_daemon.gateway.balancing.prefix_cache_index import (
    PrefixCacheIndex,
)
from mimosamux_daemon.gateway.rollouts import Rollouts
from mimosamux_daemon.gateway.roster import Roster

HOME_TARGET_SHARE = 0.4
"""Share of the latency target up to which a request may wait at the home of
its shared prefix, even if other endpoints are idle."""
OWN_PREFILL_S = 0.1
"""Prefill time of a request's own prompt that counts as part of its wait."""
OUTPUT_ESTIMATE_SHARE = 0.5
"""Estimated length of an answer as a share of the longest one allowed, where
the caller gives no estimate."""
ENGINE_S_PER_OUTPUT_TOKEN = 0.0001
"""Engine time per output token; it is short because an engine decodes many
requests in one batch."""
FULL_ENGINE_WAIT_S = 1.0
"""Expected wait for a slot of a full engine for each request per slot there,
and once more for the one that has to end."""
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
    """Tokens of other prompts that are reported as queued there. A forecast
    is hardly ever zero, and the engine speed is learned from requests that
    found no other prompt queued."""
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
        forecast: LoadForecast,
        candidates: EngineCandidates,
        daemons: Callable[[], int],
        data_centre: DataCentreName,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.prefix_index = prefix_index
        self.forecast = forecast
        self._candidates = candidates
        self._roster = roster
        self._rollouts = rollouts
        self._plain = PlainChooser(
            forecast=forecast,
            daemons=daemons,
            data_centre=data_centre,
            rng=rng,
        )
        self._clock = clock
        self._rng = rng
        self._speed_by_service: dict[ServiceName, EngineSpeed] = {}
        self.engine_factors = EngineFactors(roster=roster, clock=clock)

    def speed_of(self, service: ServiceName) -> EngineSpeed:
        """Return the speed estimate for the engines of a service."""
        return self._speed_by_service.setdefault(service, EngineSpeed())

    def note_first_event(self, choice: Choice, took_s: float) -> None:
        """Learn from the time to a first event without queued prompts.

        The service's `EngineSpeed` is that of an engine with factor 1.
        """
        record, unread_tokens = choice.record, choice.unread_tokens
        speed = self.speed_of(record.listed.service)
        expected_s = speed.first_event_s(unread_tokens)
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
        origin: StreamOrigin | None = None,
    ) -> Choice | None:
        """Return the endpoint for one attempt, None if none takes requests.

        A stream that has begun goes on only where its `origin` allows.

        With `is_spread` the choice is limited to a random sample. This is
        for requests that were at an endpoint which crashed: prefix affinity
        would send all of them to the same next endpoint, together with the
        request that caused the crash.
        """
        now = self._clock()
        if (
            prompt is not None
            and origin is None
            and self._has_many_engines(service)
        ):
            choice = self._choose_of_many(
                service,
                route,
                prompt,
                excluding=excluding,
                is_spread=is_spread,
                now=now,
            )
            if choice is not None:
                return choice
        records = self.find_candidates(
            service.name,
            request_id=request_id,
            trial_weight=trial_weight,
            excluding=excluding,
            origin=origin,
        )
        records = _exclude_unhealthy(records, now)
        if not records:
            return None
        if service.engine is not None and prompt is not None:
            if is_spread:
                records = self._rng.sample(
                    records, min(SPREAD_SAMPLE_SIZE, len(records))
                )
            holder = self._find_holder(service, prompt)
            return self._choose_engine(
                records, service, route, prompt, holder, now
            )
        return Choice(record=self._plain.choose(records, service.name, now))

    def find_candidates(
        self,
        service: ServiceName,
        *,
        request_id: str,
        excluding: Collection[EndpointId],
        trial_weight: float = 1.0,
        origin: StreamOrigin | None = None,
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
        if origin is not None:
            return self._rollouts.filter_for_stream(origin, records)
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

    def _has_many_engines(self, service: ServiceEntry) -> bool:
        """Whether a choice compares only some engines of a service.

        During a roll-out all of them are compared, because the endpoints of
        a trial are selected among all of its version.
        """
        return (
            service.engine is not None
            and self._candidates.is_bounded(service.name)
            and not self._rollouts.is_changing(service.name)
        )

    def _choose_of_many(
        self,
        service: ServiceEntry,
        route: Route,
        prompt: PromptInfo,
        *,
        excluding: Collection[EndpointId],
        is_spread: bool,
        now: float,
    ) -> Choice | None:
        """Return the best of a bounded number of engines, None without any.

        More are drawn if none of the first is fast enough.
        """
        self._roster.remove_lapsed()
        holder = self._find_indexed_holder(service, prompt, now)

        def choose_of(records: list[EndpointRecord]) -> Choice | None:
            proven = self._rollouts.find_proven(service.name, records)
            healthy = _exclude_unhealthy(proven, now)
            if not healthy:
                return None
            return self._choose_engine(
                healthy, service, route, prompt, holder, now
            )

        def sample(count: int) -> list[EndpointRecord]:
            return self._candidates.sample(
                service.name, count, excluding=excluding, now=now
            )

        if is_spread:
            return choose_of(sample(SPREAD_SAMPLE_SIZE))
        records = self._candidates.draw(
            service.name, prompt, holder, excluding=excluding, now=now
        )
        choice = choose_of(records)
        limit_s = HOME_TARGET_SHARE * route.latency_target_s
        if choice is None or choice.first_event_s <= limit_s:
            return choice
        compared = set(records)
        others = choose_of(
            [
                record
                for record in sample(WIDE_SAMPLE_SIZE)
                if record not in compared
            ]
        )
        if others is None or choice.first_event_s <= others.first_event_s:
            return choice
        return others

    def _choose_engine(
        self,
        records: Sequence[EndpointRecord],
        service: ServiceEntry,
        route: Route,
        prompt: PromptInfo,
        holder: EndpointRecord | None,
        now: float,
    ) -> Choice:
        """Return the first endpoint in hash order that is fast enough.

        The limit is `HOME_TARGET_SHARE` of the latency target. If no endpoint
        is within that, it is the one with the least estimate.
        """
        prefix_key = prompt.shared_prefix_id
        in_hash_order = sorted(
            records, key=lambda record: rendezvous_hash(record.id, prefix_key)
        )
        limit_s = HOME_TARGET_SHARE * route.latency_target_s
        choices: list[Choice] = []
        for record in in_hash_order:
            choice = self._estimate(record, service, prompt, holder, now)
            if choice.first_event_s <= limit_s:
                return choice
            choices.append(choice)
        return min(choices, key=lambda choice: choice.first_event_s)

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
            if _is_gone(record, now) or record.is_unreachable(now):
                continue
            tokens = self.prefix_index.cached_tokens(record.id, prompt)
            if tokens > max_cached:
                max_cached, holder = tokens, record
        return holder

    def _find_indexed_holder(
        self, service: ServiceEntry, prompt: PromptInfo, now: float
    ) -> EndpointRecord | None:
        """Return the same as `_find_holder`, of the holders in the index."""
        for id_, tokens in self.prefix_index.holders(prompt):
            if tokens < MIN_FETCH_TOKENS:
                return None
            record = self._roster.by_id.get(id_)
            if record is None or record.listed.service != service.name:
                continue
            if _is_gone(record, now) or record.is_unreachable(now):
                continue
            return record
        return None

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
        load = self.forecast.load(record, now, is_engine=True)
        cached = self.prefix_index.cached_tokens(record.id, prompt)
        fetch_from = None
        if holder is not None and holder is not record:
            held_tokens = self.prefix_index.cached_tokens(holder.id, prompt)
            if held_tokens - cached >= MIN_FETCH_TOKENS:
                fetch_from, cached = holder, held_tokens
        unread_tokens = max(prompt.prompt_tokens - cached, 1.0)
        first_event_s = speed.first_event_s(load.unread_tokens + unread_tokens)
        if load.requests >= record.listed.slots:
            # Without a free slot the request waits until an answer ends.
            first_event_s += FULL_ENGINE_WAIT_S * (
                1 + load.requests / record.listed.slots
            )
        return Choice(
            record=record,
            unread_tokens=unread_tokens,
            first_event_s=first_event_s * factor,
            own_prefill_excess_s=max(
                0.0, speed.prefill_s(unread_tokens) * factor - OWN_PREFILL_S
            ),
            time_factor=factor,
            queued_tokens=load.reported_tokens,
            fetch_from=fetch_from,
        )


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


def _is_gone(record: EndpointRecord, now: float) -> bool:
    """Whether an endpoint was removed, or its time to leave has passed."""
    if record.gone_at is not None:
        return True
    return record.leaves_at is not None and record.leaves_at < now
