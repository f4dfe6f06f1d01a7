"""Choice of an endpoint for a request.

Each decision looks at a sample of the endpoints and at those that hold
a prefix of the prompt, so its work does not grow with the fleet.
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
from mimosamux_daemon.serving.estimates import Candidate, Estimator, Prompt
from mimosamux_daemon.serving.fleet import (
    EndpointState,
    Fleet,
    PromptWork,
)
from mimosamux_daemon.serving.prefix_cache import pick_holders
from mimosamux_daemon.serving.prices import CapacityPool, Distances, PriceBook

ItemT = TypeVar('ItemT')

NO_ENDPOINT_RETRY_S = 5.0
"""When to come again if no endpoint serves the model at all."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RoutingPolicy:
    """Constants of the choice; docs/DECISIONS.md has the sweeps."""

    sample: int = 4
    """Endpoints looked at, and as many that this daemon watches."""
    wide_sample: int = 48
    """Endpoints looked at before a request is refused."""
    holders: int = 4
    """Endpoints with the longest cached prefix that are looked at."""
    pools: int = 6
    """Places that a sample is spread over, nearest and cheapest first."""
    target_share: float = 0.5
    """Share of the target up to which the cheapest endpoint is taken."""
    miss_allowed: float = 1.0
    """Multiple of the target beyond which a request is refused."""
    wait_weight: float = 0.5
    """How much a second of wait within the target counts as cost."""
    unsure: float = 0.5
    """Weight of what peers may have sent unseen to their endpoints."""
    kept_slots: float = 0.25
    """Share of the slots left to those daemons that watch the endpoint."""
    own_share: float = 0.75
    """Share of the target that a request's own prompt may take; what
    goes beyond it does not count as lateness."""
    own_first: bool = True
    """Prefer the endpoints that this daemon watches among equals."""
    near_equal: float = 0.1
    """Difference in cost, as a share, that counts as none."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Choice:
    """An endpoint and what was estimated for it."""

    endpoint: Endpoint
    first_token_s: float
    unavoidable_s: float = 0.0
    """Part of it that even an idle endpoint takes beyond the target."""
    cached_tokens: int = 0
    is_own: bool = True
    """Whether the estimate is of an endpoint that this daemon watches."""
    work: PromptWork = field(default_factory=PromptWork)
    """To be passed to `Fleet.note_sent`."""


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
            unsure=self._policy.unsure,
            kept_slots=self._policy.kept_slots,
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
        """Return the endpoint to send to.

        `answer_tokens` have already been produced and count as prompt.
        An accepted request is never refused for being late: it goes
        where its answer comes earliest.
        """
        prompt = self._estimator.read(request, answer_tokens)
        size = self._policy.sample
        candidates = self._find_candidates(request, prompt, size, excluding)
        target_s = request.work_class.first_token_s
        limit_s = target_s * self._policy.miss_allowed
        best = self._pick(candidates, target_s)
        if best is None or best.first_token_s > limit_s:
            size = self._policy.wide_sample
            candidates = self._find_candidates(
                request, prompt, size, excluding
            )
            best = self._pick(candidates, target_s)
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
            work=self._estimator.work_of(best, request, prompt),
        )

    def _find_unavoidable(self, best: Candidate, target_s: float) -> float:
        """Return the time by which a prompt is too long for its target.

        A prompt that takes longer than the target on an idle endpoint
        would be refused however often it came again, and be told each
        time to come again. It is served late: that costs less.
        """
        alone_s = best.first_token_s - best.wait_s
        return max(0.0, alone_s - self._policy.own_share * target_s)

    def choose_service(
        self,
        service: ServiceName,
        *,
        excluding: frozenset[EndpointId] = frozenset(),
    ) -> Endpoint | Refused:
        """Return the endpoint of a service for one call."""
        states = self._fleet.serving_service(service)
        now = anyio.current_time()
        usable = [
            state
            for state in self._sample(list(states), self._policy.sample)
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
        drawn_from = near or usable
        pair = self._rng.sample(drawn_from, min(len(drawn_from), 2))
        return min(pair, key=_open_requests).endpoint

    def _find_candidates(
        self,
        request: ModelRequest,
        prompt: Prompt,
        size: int,
        excluding: frozenset[EndpointId],
    ) -> list[Candidate]:
        now = anyio.current_time()
        by_id = {
            state.endpoint.id: state
            for state in self._sample_pools(request.model, size)
        }
        for state in self._sample(
            self._fleet.own_endpoints(request.model), size
        ):
            by_id[state.endpoint.id] = state
        limit = self._policy.holders
        for holder in pick_holders(prompt.levels, limit, self._rng):
            state = self._fleet.by_id[holder]
            if state.endpoint.model == request.model and not state.is_leaving:
                by_id[holder] = state
        states = [
            state
            for id_, state in by_id.items()
            if id_ not in excluding and not state.is_suspected(now)
        ]
        return self._estimator.estimate(states, request, prompt)

    def _pick(
        self, candidates: list[Candidate], target_s: float
    ) -> Candidate | None:
        """Return the cheapest that is early enough, else the earliest.

        Among those that cost about the same, two are drawn and the
        earlier one is taken. Daemons with the same view would otherwise
        all send to the same endpoint until the next reports.
        """
        if not candidates:
            return None
        limit_s = target_s * self._policy.target_share
        early = [each for each in candidates if each.first_token_s <= limit_s]
        if early:
            return self._draw(early, _cost_of)
        limit_s = target_s * self._policy.miss_allowed
        sure = [
            each
            for each in candidates
            if each.state.is_own and each.first_token_s <= limit_s
        ]
        return self._draw(sure or candidates, _first_token_of)

    def _draw(
        self,
        candidates: list[Candidate],
        measure: Callable[[Candidate], float],
    ) -> Candidate:
        bound = min(map(measure, candidates)) * (1 + self._policy.near_equal)
        equal = [each for each in candidates if measure(each) <= bound]
        near = [each for each in equal if each.is_near] or equal
        if self._policy.own_first:
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
        self, model: ModelName, size: int
    ) -> Iterator[EndpointState]:
        pools = self._fleet.pools_of(model)
        if not pools:
            return
        chosen = list(pools)
        if len(chosen) > self._policy.pools:
            chosen = sorted(chosen, key=self._rank)[: self._policy.pools]
        share = max(size // len(chosen), 1)
        for pool in chosen:
            yield from self._sample(pools[pool], share)

    def _rank(self, pool: CapacityPool) -> tuple[float, float]:
        away_s = self._distances.one_way_s(pool.data_centre)
        return away_s, self._prices.relative(pool)

    def _sample(self, items: Sequence[ItemT], size: int) -> Sequence[ItemT]:
        if len(items) <= size:
            return items
        return self._rng.sample(items, size)


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
