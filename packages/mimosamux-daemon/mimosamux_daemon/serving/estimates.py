"""Estimates of time to first token and cost for candidate endpoints."""

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
    PrefixMatch,
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
    """Inputs of an estimate that all endpoints of a pool share."""

    round_trip_s: float
    """Network round trip to the pool's data centre."""
    is_near: bool
    price_weight: float
    """Cost of a second of engine time."""
    recompute_weight: float
    """Cost of a prompt token to compute; a class's weight multiplies it."""


@dataclass(slots=True)
class Candidate:
    """An endpoint and its estimates; each decision creates many."""

    state: EndpointState
    first_token_s: float
    cost: float
    """Weighted sum of wait, engine time at its price and recomputation."""
    wait_s: float
    cached_tokens: float
    is_near: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class MatchedPrompt:
    """Size of a prompt and its matches in prefix caches."""

    tokens: float
    blocks: tuple[int, ...]
    matches: tuple[PrefixMatch, ...]


class Estimator:
    """Estimates the candidate endpoints of a request.

    The three weights are described in `RoutingPolicy`.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        prices: PriceBook,
        distances: Distances,
        configuration: Callable[[], Configuration],
        unreported_weight: float,
        reserved_slots: float,
        wait_weight: float,
    ) -> None:
        self._fleet = fleet
        self._prices = prices
        self._distances = distances
        self._configuration = configuration
        self._unreported_weight = unreported_weight
        self._reserved_slots = reserved_slots
        self._wait_weight = wait_weight

    def match_prompt(
        self, request: ModelRequest, answer_tokens: int
    ) -> MatchedPrompt:
        """Return the size of a prompt and the endpoints that hold prefixes."""
        data = request.prompt.encode()
        blocks = hash_prompt(data)
        return MatchedPrompt(
            tokens=len(data) / BYTES_PER_TOKEN + answer_tokens,
            blocks=blocks,
            matches=self._fleet.cache.match(blocks),
        )

    def estimate(
        self,
        states: Iterable[EndpointState],
        request: ModelRequest,
        prompt: MatchedPrompt,
    ) -> list[Candidate]:
        """Return a candidate with its estimates for each endpoint."""
        now = anyio.current_time()
        service_s = self._fleet.service_times.mean_of_model(
            request.model,
            default_s=request.max_tokens * DEFAULT_DECODE_INTERVAL_S,
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
            price_weight=weights.cost_weight * self._prices.relative(pool),
            recompute_weight=weights.recompute_weight / 1000,
        )

    def estimate_work(
        self,
        candidate: Candidate,
        request: ModelRequest,
        prompt: MatchedPrompt,
    ) -> PromptWork:
        """Return the work of the request at the candidate's endpoint."""
        load = candidate.state.load
        uncached = max(prompt.tokens - candidate.cached_tokens, 1.0)
        prefill_s = uncached / load.prefill_tokens_per_s
        longest_s = prefill_s + request.max_tokens * load.decode_interval_s
        kind = WorkKind(request.model, request.work_class.name)
        service_s = self._fleet.service_times.mean_of_kind(
            kind, max_s=longest_s
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
        prompt: MatchedPrompt,
        now: float,
        service_s: float,
        costs: PoolCosts,
    ) -> Candidate:
        load = state.load
        cached = self._fleet.cache.cached_tokens(
            state.endpoint.id, prompt.matches
        )
        uncached = max(prompt.tokens - cached, 1.0)
        prefill_s = uncached / load.prefill_tokens_per_s
        load_now = load.estimate(now)
        unreported = self._unreported_weight * math.sqrt(
            load_now.unreported_requests
        )
        unreported_s = unreported * prefill_s
        occupied = load_now.occupied + unreported
        if not state.is_own:
            occupied += self._reserved_slots * load.slots
        wait_s = load_now.backlog_s
        if occupied > load.slots - 1:
            slot_s = state.slot_wait_s(now, service_s, occupied=occupied)
            wait_s = max(wait_s, slot_s)
        decode_s = request.max_tokens * load.decode_interval_s / load.slots
        recompute = request.work_class.recompute_weight * uncached
        first_token_s = (
            costs.round_trip_s
            + wait_s
            + unreported_s
            + prefill_s
            + load.decode_interval_s
        )
        cost = (
            self._wait_weight * (wait_s + unreported_s)
            + costs.price_weight * (prefill_s + decode_s)
            + costs.recompute_weight * recompute
        )
        return Candidate(
            state, first_token_s, cost, wait_s, cached, costs.is_near
        )
