"""Estimates of the first token and of the cost, for each candidate."""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import anyio

from mimosamux_daemon.domain.configuration import Configuration
from mimosamux_daemon.domain.work import ModelRequest
from mimosamux_daemon.serving.fleet import (
    EndpointState,
    Fleet,
    PromptWork,
)
from mimosamux_daemon.serving.load import DEFAULT_DECODE_INTERVAL_S
from mimosamux_daemon.serving.prefix_cache import (
    BYTES_PER_TOKEN,
    Level,
    hash_prompt,
)
from mimosamux_daemon.serving.prices import (
    CapacityPool,
    Distances,
    PriceBook,
)
from mimosamux_daemon.serving.service_times import WorkKind


@dataclass(frozen=True, kw_only=True, slots=True)
class PoolCosts:
    """What the place of an endpoint adds to its estimates."""

    round_trip_s: float
    is_near: bool
    money_weight: float
    recompute_weight: float


@dataclass(slots=True)
class Candidate:
    """An endpoint with its estimate; made many times a decision."""

    state: EndpointState
    first_token_s: float
    cost: float
    wait_s: float
    cached_tokens: float
    is_near: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class Prompt:
    """A prompt as the choice sees it."""

    tokens: float
    blocks: tuple[int, ...]
    levels: tuple[Level, ...]


class Estimator:
    """Estimates candidates for one request after another."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        prices: PriceBook,
        distances: Distances,
        configuration: Callable[[], Configuration],
        unsure: float,
        kept_slots: float,
        wait_weight: float,
    ) -> None:
        self._fleet = fleet
        self._prices = prices
        self._distances = distances
        self._configuration = configuration
        self._unsure = unsure
        self._kept_slots = kept_slots
        self._wait_weight = wait_weight

    def read(self, request: ModelRequest, answer_tokens: int) -> Prompt:
        """Return the prompt with what is known of it in caches."""
        data = request.prompt.encode()
        blocks = hash_prompt(data)
        return Prompt(
            tokens=len(data) / BYTES_PER_TOKEN + answer_tokens,
            blocks=blocks,
            levels=self._fleet.cache.match(blocks),
        )

    def estimate(
        self,
        states: Iterable[EndpointState],
        request: ModelRequest,
        prompt: Prompt,
    ) -> list[Candidate]:
        """Return a candidate for each endpoint."""
        now = anyio.current_time()
        service_s = self._fleet.service_times.of_model(
            request.model,
            unseen_s=request.max_tokens * DEFAULT_DECODE_INTERVAL_S,
        )
        costs_by_pool: dict[CapacityPool, PoolCosts] = {}
        candidates = []
        for state in states:
            costs = costs_by_pool.get(state.pool)
            if costs is None:
                costs = self._pool_costs(state.pool)
                costs_by_pool[state.pool] = costs
            candidates.append(
                self._estimate(state, request, prompt, now, service_s, costs)
            )
        return candidates

    def _pool_costs(self, pool: CapacityPool) -> PoolCosts:
        weights = self._configuration()
        one_way_s = self._distances.one_way_s(pool.data_centre)
        return PoolCosts(
            round_trip_s=2 * one_way_s,
            is_near=self._distances.is_near(pool.data_centre),
            money_weight=weights.cost_weight * self._prices.relative(pool),
            recompute_weight=weights.recompute_weight / 1000,
        )

    def work_of(
        self, candidate: Candidate, request: ModelRequest, prompt: Prompt
    ) -> PromptWork:
        """Return what the request gives the endpoint to do."""
        load = candidate.state.load
        uncached = max(prompt.tokens - candidate.cached_tokens, 1.0)
        prefill_s = uncached / load.prefill_tokens_per_s
        longest_s = prefill_s + request.max_tokens * load.decode_interval_s
        kind = WorkKind(request.model, request.work_class.name)
        service_s = self._fleet.service_times.of_kind(
            kind, at_most_s=longest_s
        )
        return PromptWork(
            tokens=uncached,
            blocks=prompt.blocks,
            kind=kind,
            wait_s=candidate.wait_s,
            service_s=service_s,
        )

    def _estimate(
        self,
        state: EndpointState,
        request: ModelRequest,
        prompt: Prompt,
        now: float,
        service_s: float,
        costs: PoolCosts,
    ) -> Candidate:
        load = state.load
        cached = self._fleet.cache.cached_tokens(
            state.endpoint.id, prompt.levels
        )
        uncached = max(prompt.tokens - cached, 1.0)
        prefill_s = uncached / load.prefill_tokens_per_s
        seen = load.estimate(now)
        unreported = self._unsure * math.sqrt(seen.unreported_requests)
        unsure_s = unreported * prefill_s
        occupied = seen.occupied + unreported
        if not state.is_own:
            occupied += self._kept_slots * load.slots
        wait_s = seen.backlog_s
        if occupied > load.slots - 1:
            slot_s = state.slot_wait_s(now, service_s, occupied=occupied)
            wait_s = max(wait_s, slot_s)
        decode_s = request.max_tokens * load.decode_interval_s / load.slots
        recompute = request.work_class.recompute_weight * uncached
        first_token_s = (
            costs.round_trip_s
            + wait_s
            + unsure_s
            + prefill_s
            + load.decode_interval_s
        )
        cost = (
            self._wait_weight * (wait_s + unsure_s)
            + costs.money_weight * (prefill_s + decode_s)
            + costs.recompute_weight * recompute
        )
        return Candidate(
            state, first_token_s, cost, wait_s, cached, costs.is_near
        )
