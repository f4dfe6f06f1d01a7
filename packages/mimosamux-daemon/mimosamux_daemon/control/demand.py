"""Demand by model and class: measured here, forecast, and shared.

Each daemon measures what is offered to it, refused or not. The planner of
a data centre sums up what the daemons there tell, forecasts it and tells
the sum to the other data centres.
"""

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

import anyio

from mimosamux_daemon.domain.names import ClassName, ModelName
from mimosamux_daemon.domain.plan import ClassDemand
from mimosamux_daemon.domain.work import ModelRequest
from mimosamux_daemon.serving.prefix_cache import BYTES_PER_TOKEN

DemandKey = tuple[ModelName, ClassName]


@dataclass(frozen=True, kw_only=True, slots=True)
class DemandPolicy:
    """Time constants in seconds."""

    window_s: float = 60.0
    """Time over which arrivals are averaged."""
    rise_s: float = 20.0
    """Time in which the forecast follows a higher rate."""
    hold_s: float = 600.0
    """Time for which the rate has to be lower before the forecast falls."""
    spare_share: float = 0.15
    """Share by which it has to be lower."""
    mean_weight: float = 0.05
    """Weight of the newest request in the mean sizes."""


@dataclass(kw_only=True, slots=True)
class _Flow:
    """What one class asks of one model, as averages."""

    per_s: float = 0.0
    """Decayed count of arrivals over the window."""
    at: float = 0.0
    began_at: float = 0.0
    prompt_tokens: float = 0.0
    answer_tokens: float = 0.0

    def decay(self, now: float, window_s: float) -> None:
        self.per_s *= math.exp((self.at - now) / window_s)
        self.at = now


class DemandMeter:
    """Measures the requests that are offered to this daemon."""

    def __init__(self, *, policy: DemandPolicy | None = None) -> None:
        self._policy = policy or DemandPolicy()
        self._flows_by_key: dict[DemandKey, _Flow] = {}

    def note_offered(
        self, request: ModelRequest, *, cached_tokens: int = 0
    ) -> None:
        """Count a request, also one that is refused.

        A class that is refused for its ceiling must go on being measured,
        or nobody would see what it would cost to serve it.
        """
        now = anyio.current_time()
        tokens = len(request.prompt.encode()) / BYTES_PER_TOKEN
        computed = max(tokens - cached_tokens, 1.0)
        key = (request.model, request.work_class.name)
        flow = self._flows_by_key.get(key)
        if flow is None:
            flow = _Flow(
                at=now,
                began_at=now,
                prompt_tokens=computed,
                answer_tokens=request.max_tokens,
            )
            self._flows_by_key[key] = flow
        flow.decay(now, self._policy.window_s)
        flow.per_s += 1.0 / self._policy.window_s
        weight = self._policy.mean_weight
        flow.prompt_tokens += weight * (computed - flow.prompt_tokens)

    def note_answered(self, request: ModelRequest, tokens: int) -> None:
        """Learn how long the answers of a class are."""
        key = (request.model, request.work_class.name)
        flow = self._flows_by_key.get(key)
        if flow is not None:
            weight = self._policy.mean_weight
            flow.answer_tokens += weight * (tokens - flow.answer_tokens)

    def current(self) -> tuple[ClassDemand, ...]:
        """Return the demand at this daemon now."""
        now = anyio.current_time()
        return tuple(
            self._as_demand(key, flow, now)
            for key, flow in self._flows_by_key.items()
        )

    def _as_demand(
        self, key: DemandKey, flow: _Flow, now: float
    ) -> ClassDemand:
        flow.decay(now, self._policy.window_s)
        # A daemon that has just started has seen only part of a window;
        # its rate would be told too low by that part.
        seen = 1.0 - math.exp(
            -max(now - flow.began_at, 5.0) / self._policy.window_s
        )
        return ClassDemand(
            model=key[0],
            work_class=key[1],
            requests_per_s=flow.per_s / seen,
            prompt_tokens=flow.prompt_tokens,
            answer_tokens=flow.answer_tokens,
        )


@dataclass(kw_only=True, slots=True)
class _Level:
    """Forecast of one rate, and the highest rates seen lately."""

    rate: float
    peaks: deque[tuple[float, float]] = field(default_factory=deque)
    """Times and rates; each rate is higher than those after it."""

    def note(self, rate: float, now: float, hold_s: float) -> float:
        """Note a rate and return the highest one of the hold time."""
        while self.peaks and self.peaks[-1][1] <= rate:
            self.peaks.pop()
        self.peaks.append((now, rate))
        while self.peaks[0][0] < now - hold_s:
            self.peaks.popleft()
        return self.peaks[0][1]


class Forecast:
    """Follows a rate up fast, and down only when it stays clearly lower.

    Under a steady load the measured rate wavers. A plan that followed it
    would start and stop the same VM again and again, and lose its prefix
    cache each time.
    """

    def __init__(self, *, policy: DemandPolicy | None = None) -> None:
        self._policy = policy or DemandPolicy()
        self._levels_by_key: dict[DemandKey, _Level] = {}
        self._at: float | None = None

    def seed(self, demands: Iterable[ClassDemand]) -> None:
        """Go on from the forecast of an earlier planner."""
        now = anyio.current_time()
        for item in demands:
            level = _Level(rate=item.requests_per_s)
            level.note(item.requests_per_s, now, self._policy.hold_s)
            self._levels_by_key[item.model, item.work_class] = level

    def update(
        self, demands: Iterable[ClassDemand]
    ) -> tuple[ClassDemand, ...]:
        """Return the demands with the rates that are planned for."""
        now = anyio.current_time()
        passed = 0.0 if self._at is None else now - self._at
        self._at = now
        return tuple(
            replace(item, requests_per_s=self._follow(item, now, passed))
            for item in demands
        )

    def _follow(self, item: ClassDemand, now: float, passed: float) -> float:
        key = (item.model, item.work_class)
        level = self._levels_by_key.get(key)
        if level is None:
            level = _Level(rate=item.requests_per_s)
            self._levels_by_key[key] = level
        highest = level.note(item.requests_per_s, now, self._policy.hold_s)
        if item.requests_per_s > level.rate:
            share = 1.0 - math.exp(-passed / self._policy.rise_s)
            level.rate += share * (item.requests_per_s - level.rate)
        elif highest * (1.0 + self._policy.spare_share) < level.rate:
            level.rate = highest
        return level.rate


def sum_demands(
    demands: Iterable[ClassDemand],
) -> tuple[ClassDemand, ...]:
    """Return one demand for each model and class."""
    by_key: dict[DemandKey, list[ClassDemand]] = {}
    for demand in demands:
        key = (demand.model, demand.work_class)
        by_key.setdefault(key, []).append(demand)
    return tuple(_join(key, items) for key, items in sorted(by_key.items()))


def _join(key: DemandKey, items: list[ClassDemand]) -> ClassDemand:
    total = sum(item.requests_per_s for item in items)
    weights = [
        item.requests_per_s / total if total else 1.0 / len(items)
        for item in items
    ]
    pairs = list(zip(weights, items, strict=True))
    return ClassDemand(
        model=key[0],
        work_class=key[1],
        requests_per_s=total,
        prompt_tokens=sum(w * item.prompt_tokens for w, item in pairs),
        answer_tokens=sum(w * item.answer_tokens for w, item in pairs),
    )
