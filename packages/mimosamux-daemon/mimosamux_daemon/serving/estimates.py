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
    Distances,
    Place,
    PriceBook,
)
from mimosamux_daemon.serving.service_times import WorkKind


@dataclass(frozen=True, kw_only=True, slots=True)
class PlaceTerms:
    """What the place of an endpoint adds to its estimates."""

    away_s: float
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
        terms_by_place: dict[Place, PlaceTerms] = {}
        candidates = []
        for state in states:
            terms = terms_by_place.get(state.place)
            if terms is None:
                terms = self._terms_of(state.place)
                terms_by_place[state.place] = terms
            candidates.append(
                self._estimate(state, request, prompt, now, service_s, terms)
            )
        return candidates

    def _terms_of(self, place: Place) -> PlaceTerms:
        weights = self._configuration()
        one_way_s = self._distances.one_way_s(place.data_centre)
        return PlaceTerms(
            away_s=2 * one_way_s,
            is_near=self._distances.is_near(place.data_centre),
            money_weight=weights.cost_weight * self._prices.relative(place),
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
        terms: PlaceTerms,
    ) -> Candidate:
        load = state.load
        cached = self._fleet.cache.cached_tokens(
            state.endpoint.id, prompt.levels
        )
        uncached = max(prompt.tokens - cached, 1.0)
        prefill_s = uncached / load.prefill_tokens_per_s
        seen = load.look(now)
        unseen = self._unsure * math.sqrt(seen.unseen_requests)
        unsure_s = unseen * prefill_s
        occupied = seen.occupied + unseen
        if not state.is_own:
            occupied += self._kept_slots * load.slots
        wait_s = seen.backlog_s
        if occupied > load.slots - 1:
            slot_s = state.slot_wait_s(now, service_s, occupied=occupied)
            wait_s = max(wait_s, slot_s)
        decode_s = request.max_tokens * load.decode_interval_s / load.slots
        recompute = request.work_class.recompute_weight * uncached
        first_token_s = (
            terms.away_s
            + wait_s
            + unsure_s
            + prefill_s
            + load.decode_interval_s
        )
        cost = (
            self._wait_weight * (wait_s + unsure_s)
            + terms.money_weight * (prefill_s + decode_s)
            + terms.recompute_weight * recompute
        )
        return Candidate(
            state, first_token_s, cost, wait_s, cached, terms.is_near
        )
