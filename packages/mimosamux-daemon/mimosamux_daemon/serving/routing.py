"""Routing: the choice of an endpoint for each attempt of a request.

A decision compares a random sample of the endpoints and those that hold a
prefix of the prompt, so its cost does not grow with the fleet. Among
endpoints that are about equal, it uses the power of two random choices.
"""

import random
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import TypeVar

import anyio

from mimosamux_daemon.domain.configuration import Configuration
from mimosamux_daemon.domain.names import EndpointId, ModelName, ServiceName
from mimosamux_daemon.domain.outcomes import Reason, Refused
from mimosamux_daemon.domain.vms import Endpoint
from mimosamux_daemon.domain.work import ModelRequest
from mimosamux_daemon.metrics import Metrics
from mimosamux_daemon.serving.estimates import (
    Candidate,
    Estimator,
    MatchedPrompt,
)
from mimosamux_daemon.serving.fleet import (
    EndpointState,
    Fleet,
    PromptWork,
)
from mimosamux_daemon.serving.prefix_cache import pick_holders
from mimosamux_daemon.serving.prices import CapacityPool, Distances, PriceBook

ItemT = TypeVar('ItemT')

NO_ENDPOINT_RETRY_S = 5.0
"""Retry-After of refusals while no endpoint serves the model."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RoutingPolicy:
    """Constants of routing; docs/DECISIONS.md has the parameter sweeps.

    The target is the first-token target of the request's class.
    """

    sample_size: int = 4
    """Endpoints sampled, and up to as many of this daemon's own."""
    wide_sample_size: int = 48
    """The same for a second try, before a request is refused."""
    max_holders: int = 4
    """Endpoints with the longest cached prefixes that are compared."""
    max_pools: int = 6
    """Capacity pools sampled, nearest and then cheapest first."""
    target_fraction: float = 0.5
    """Fraction of the target within which the cheapest endpoint wins."""
    refusal_factor: float = 1.0
    """Multiple of the target above which a request is refused."""
    wait_weight: float = 0.5
    """Cost of a second of wait within the target."""
    unreported_weight: float = 0.5
    """Safety margin for what peers may have sent since their digests.

    It is in standard deviations: the square root of the estimated number.
    """
    reserved_slots: float = 0.25
    """Fraction of an endpoint's slots reserved for its owner's requests."""
    prompt_fraction: float = 0.75
    """Fraction of the target for a request's own time on an idle endpoint.

    Time beyond it is unavoidable and does not count as lateness.
    """
    prefer_own: bool = True
    """Prefer this daemon's own endpoints among about equal ones."""
    tolerance: float = 0.1
    """Relative difference up to which endpoints count as equal."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Choice:
    """The chosen endpoint and its estimates."""

    endpoint: Endpoint
    first_token_s: float
    unavoidable_s: float = 0.0
    """Lateness even on an idle endpoint, see `prompt_fraction`."""
    cached_tokens: int = 0
    is_own: bool = True
    """Whether this daemon owns the endpoint."""
    work: PromptWork = field(default_factory=PromptWork)
    """Argument for `Fleet.note_sent`."""


class Router:
    """Chooses the endpoint of each attempt."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        prices: PriceBook | None = None,
        distances: Distances | None = None,
        configuration: Callable[[], Configuration] = Configuration,
        policy: RoutingPolicy | None = None,
        rng: random.Random | None = None,
        metrics: Metrics | None = None,
    ) -> None:
        self._metrics = metrics
        self._fleet = fleet
        self._prices = PriceBook() if prices is None else prices
        self._distances = Distances() if distances is None else distances
        self._policy = RoutingPolicy() if policy is None else policy
        self._estimator = Estimator(
            fleet=fleet,
            prices=self._prices,
            distances=self._distances,
            configuration=configuration,
            unreported_weight=self._policy.unreported_weight,
            reserved_slots=self._policy.reserved_slots,
            wait_weight=self._policy.wait_weight,
        )
        self._rng = random.Random() if rng is None else rng

    def choose(
        self,
        request: ModelRequest,
        *,
        answer_tokens: int = 0,
        excluding: frozenset[EndpointId] = frozenset(),
        accepted: bool = False,
    ) -> Choice | Refused:
        """Return the endpoint to send to, or a refusal.

        `answer_tokens` tokens of the answer exist already and count as
        prompt. An accepted request is not refused for being late: it
        goes to the endpoint with the earliest first token.
        """
        prompt = self._estimator.match_prompt(request, answer_tokens)
        sample_size = self._policy.sample_size
        candidates = self._find_candidates(
            request, prompt, sample_size, excluding
        )
        target_s = request.work_class.first_token_s
        limit_s = target_s * self._policy.refusal_factor
        best = self._select(candidates, target_s)
        if best is None or best.first_token_s > limit_s:
            sample_size = self._policy.wide_sample_size
            candidates = self._find_candidates(
                request, prompt, sample_size, excluding
            )
            best = self._select(candidates, target_s)
        if best is None:
            return _no_endpoint(f'model {request.model}')
        unavoidable_s = self._find_unavoidable(best, target_s)
        allowed_s = limit_s + unavoidable_s
        if best.first_token_s > allowed_s and not accepted:
            return self._refuse_late(best.first_token_s, allowed_s)
        if self._metrics is not None:
            near = 'yes' if best.is_near else 'no'
            cached = 'yes' if best.cached_tokens else 'no'
            self._metrics.choices.inc({'near': near, 'cached': cached})
        return Choice(
            endpoint=best.state.endpoint,
            first_token_s=best.first_token_s,
            unavoidable_s=unavoidable_s,
            cached_tokens=int(best.cached_tokens),
            is_own=best.state.is_own,
            work=self._estimator.estimate_work(best, request, prompt),
        )

    def _find_unavoidable(self, best: Candidate, target_s: float) -> float:
        """Return the time by which a request is late on an idle endpoint.

        A prompt that exceeds the target even on an idle endpoint would
        be refused on every retry, each time with advice to retry later.
        Serving it late costs less.
        """
        idle_s = best.first_token_s - best.wait_s
        return max(0.0, idle_s - self._policy.prompt_fraction * target_s)

    def choose_service(
        self,
        service: ServiceName,
        *,
        excluding: frozenset[EndpointId] = frozenset(),
    ) -> Endpoint | Refused:
        """Return an endpoint of a service for one call, or a refusal."""
        states = self._fleet.serving_service(service)
        now = anyio.current_time()
        usable = [
            state
            for state in self._sample(list(states), self._policy.sample_size)
            if state.endpoint.id not in excluding
            and not state.is_suspected(now)
        ]
        if not usable:
            return _no_endpoint(f'service {service}')
        near = [
            state
            for state in usable
            if self._distances.is_near(state.endpoint.data_centre)
        ]
        eligible = near or usable
        pair = self._rng.sample(eligible, min(len(eligible), 2))
        return min(pair, key=_open_requests).endpoint

    def _find_candidates(
        self,
        request: ModelRequest,
        prompt: MatchedPrompt,
        sample_size: int,
        excluding: frozenset[EndpointId],
    ) -> list[Candidate]:
        now = anyio.current_time()
        by_id = {
            state.endpoint.id: state
            for state in self._sample_pools(request.model, sample_size)
        }
        for state in self._sample(
            self._fleet.own_endpoints(request.model), sample_size
        ):
            by_id[state.endpoint.id] = state
        limit = self._policy.max_holders
        for holder in pick_holders(prompt.matches, limit, self._rng):
            state = self._fleet.by_id[holder]
            if state.endpoint.model == request.model and not state.is_leaving:
                by_id[holder] = state
        states = [
            state
            for id_, state in by_id.items()
            if id_ not in excluding and not state.is_suspected(now)
        ]
        return self._estimator.estimate(states, request, prompt)

    def _select(
        self, candidates: list[Candidate], target_s: float
    ) -> Candidate | None:
        """Return the cheapest early candidate, else the earliest one.

        A candidate is early within `target_fraction` of the target. Of
        about equal candidates, two are drawn at random and the earlier
        one wins. Otherwise all daemons with the same view would send to
        the same endpoint until the next load reports.
        """
        if not candidates:
            return None
        limit_s = target_s * self._policy.target_fraction
        early = [each for each in candidates if each.first_token_s <= limit_s]
        if early:
            return self._choose_of_two(early, _cost_of)
        limit_s = target_s * self._policy.refusal_factor
        own = [
            each
            for each in candidates
            if each.state.is_own and each.first_token_s <= limit_s
        ]
        return self._choose_of_two(own or candidates, _first_token_of)

    def _choose_of_two(
        self,
        candidates: list[Candidate],
        measure: Callable[[Candidate], float],
    ) -> Candidate:
        bound = min(map(measure, candidates)) * (1 + self._policy.tolerance)
        equal = [each for each in candidates if measure(each) <= bound]
        near = [each for each in equal if each.is_near] or equal
        if self._policy.prefer_own:
            near = [each for each in near if each.state.is_own] or near
        pair = self._rng.sample(near, min(len(near), 2))
        return min(pair, key=_first_token_of)

    def _refuse_late(self, first_token_s: float, limit_s: float) -> Refused:
        wait_s = max(first_token_s - limit_s, 0.1)
        return Refused(
            reason=Reason.NO_CAPACITY,
            message=f'the first token would take {first_token_s:.1f} s',
            retry_after_s=round(wait_s * self._rng.uniform(1.0, 1.5), 3),
        )

    def _sample_pools(
        self, model: ModelName, sample_size: int
    ) -> Iterator[EndpointState]:
        pools = self._fleet.pools_of(model)
        if not pools:
            return
        chosen = list(pools)
        if len(chosen) > self._policy.max_pools:
            chosen = sorted(chosen, key=self._rank)[: self._policy.max_pools]
        pool_sample = max(sample_size // len(chosen), 1)
        for pool in chosen:
            yield from self._sample(pools[pool], pool_sample)

    def _rank(self, pool: CapacityPool) -> tuple[float, float]:
        one_way_s = self._distances.one_way_s(pool.data_centre)
        return one_way_s, self._prices.relative(pool)

    def _sample(
        self, items: Sequence[ItemT], sample_size: int
    ) -> Sequence[ItemT]:
        if len(items) <= sample_size:
            return items
        return self._rng.sample(items, sample_size)


def _no_endpoint(what: str) -> Refused:
    return Refused(
        reason=Reason.NO_ENDPOINT,
        message=f'no endpoint serves {what} now',
        retry_after_s=NO_ENDPOINT_RETRY_S,
    )


def _first_token_of(candidate: Candidate) -> float:
    return candidate.first_token_s


def _cost_of(candidate: Candidate) -> float:
    return candidate.cost


def _open_requests(state: EndpointState) -> int:
    return len(state.open_by_request)
