"""Measurement, forecast and aggregation of demand by model and class.

Each daemon measures the requests offered to it, including those that it
refuses. The planner of a data centre sums up the demand of the daemons
there, forecasts it and sends the forecast to the other data centres.
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
    """Constants of measurement and forecast; times in seconds."""

    window_s: float = 60.0
    """Time constant of the moving average of arrivals."""
    rise_s: float = 20.0
    """Time constant with which the forecast approaches a higher rate."""
    hold_s: float = 600.0
    """Time for which the rate has to be lower before the forecast falls."""
    fall_margin: float = 0.15
    """Fraction by which the forecast has to exceed the highest rate of the
    hold time before it falls."""
    mean_weight: float = 0.05
    """Weight of the newest request in the mean prompt and answer sizes."""


@dataclass(kw_only=True, slots=True)
class _Flow:
    """Moving averages of the requests of one class for one model."""

    arrivals_per_s: float = 0.0
    """Exponentially decayed arrival rate, as of `updated_at`."""
    updated_at: float = 0.0
    began_at: float = 0.0
    """Time of the first request."""
    prompt_tokens: float = 0.0
    answer_tokens: float = 0.0

    def decay(self, now: float, window_s: float) -> None:
        """Decay the arrival rate to the present."""
        self.arrivals_per_s *= math.exp((self.updated_at - now) / window_s)
        self.updated_at = now


class DemandMeter:
    """Measures the requests that are offered to this daemon."""

    def __init__(self, *, policy: DemandPolicy | None = None) -> None:
        self._policy = policy or DemandPolicy()
        self._flows_by_key: dict[DemandKey, _Flow] = {}

    def note_offered(
        self, request: ModelRequest, *, cached_tokens: int = 0
    ) -> None:
        """Count an offered request, including one that is refused.

        A class that is refused because of its cost ceiling has to be
        measured as well, so that the planner knows what serving it would
        cost.
        """
        now = anyio.current_time()
        tokens = len(request.prompt.encode()) / BYTES_PER_TOKEN
        computed_tokens = max(tokens - cached_tokens, 1.0)
        key = (request.model, request.work_class.name)
        flow = self._flows_by_key.get(key)
        if flow is None:
            flow = _Flow(
                updated_at=now,
                began_at=now,
                prompt_tokens=computed_tokens,
                answer_tokens=request.max_tokens,
            )
            self._flows_by_key[key] = flow
        flow.decay(now, self._policy.window_s)
        flow.arrivals_per_s += 1.0 / self._policy.window_s
        weight = self._policy.mean_weight
        flow.prompt_tokens += weight * (computed_tokens - flow.prompt_tokens)

    def note_answered(self, request: ModelRequest, tokens: int) -> None:
        """Add an answer's length to the mean of its class."""
        key = (request.model, request.work_class.name)
        flow = self._flows_by_key.get(key)
        if flow is not None:
            weight = self._policy.mean_weight
            flow.answer_tokens += weight * (tokens - flow.answer_tokens)

    def current(self) -> tuple[ClassDemand, ...]:
        """Return the current demand at this daemon."""
        now = anyio.current_time()
        return tuple(
            self._as_demand(key, flow, now)
            for key, flow in self._flows_by_key.items()
        )

    def _as_demand(
        self, key: DemandKey, flow: _Flow, now: float
    ) -> ClassDemand:
        flow.decay(now, self._policy.window_s)
        # Soon after its first request, a flow covers only part of the
        # window; the decayed rate is too low by that fraction.
        window_coverage = 1.0 - math.exp(
            -max(now - flow.began_at, 5.0) / self._policy.window_s
        )
        return ClassDemand(
            model=key[0],
            work_class=key[1],
            requests_per_s=flow.arrivals_per_s / window_coverage,
            prompt_tokens=flow.prompt_tokens,
            answer_tokens=flow.answer_tokens,
        )


@dataclass(kw_only=True, slots=True)
class _RateForecast:
    """Forecast of one rate, with a sliding-window maximum."""

    rate: float
    window_maxima: deque[tuple[float, float]] = field(default_factory=deque)
    """Times and rates of the window, with strictly decreasing rates."""

    def add(self, rate: float, now: float, hold_s: float) -> float:
        """Add a rate and return the highest one of the hold time."""
        while self.window_maxima and self.window_maxima[-1][1] <= rate:
            self.window_maxima.pop()
        self.window_maxima.append((now, rate))
        while self.window_maxima[0][0] < now - hold_s:
            self.window_maxima.popleft()
        return self.window_maxima[0][1]


class Forecast:
    """Forecasts rates with a fast rise and a delayed fall (hysteresis).

    The measured rate fluctuates under steady load. A plan that followed it
    would repeatedly start and stop the same VM, and lose its prefix cache
    each time.
    """

    def __init__(self, *, policy: DemandPolicy | None = None) -> None:
        self._policy = policy or DemandPolicy()
        self._forecasts_by_key: dict[DemandKey, _RateForecast] = {}
        self._updated_at: float | None = None

    def seed(self, demands: Iterable[ClassDemand]) -> None:
        """Start from the forecast of an earlier planner."""
        now = anyio.current_time()
        for item in demands:
            forecast = _RateForecast(rate=item.requests_per_s)
            forecast.add(item.requests_per_s, now, self._policy.hold_s)
            self._forecasts_by_key[item.model, item.work_class] = forecast

    def update(
        self, demands: Iterable[ClassDemand]
    ) -> tuple[ClassDemand, ...]:
        """Return the demands with their rates replaced by forecasts."""
        now = anyio.current_time()
        elapsed_s = 0.0 if self._updated_at is None else now - self._updated_at
        self._updated_at = now
        return tuple(
            replace(
                item, requests_per_s=self._update_rate(item, now, elapsed_s)
            )
            for item in demands
        )

    def _update_rate(
        self, item: ClassDemand, now: float, elapsed_s: float
    ) -> float:
        key = (item.model, item.work_class)
        forecast = self._forecasts_by_key.get(key)
        if forecast is None:
            forecast = _RateForecast(rate=item.requests_per_s)
            self._forecasts_by_key[key] = forecast
        highest = forecast.add(item.requests_per_s, now, self._policy.hold_s)
        if item.requests_per_s > forecast.rate:
            share = 1.0 - math.exp(-elapsed_s / self._policy.rise_s)
            forecast.rate += share * (item.requests_per_s - forecast.rate)
        elif highest * (1.0 + self._policy.fall_margin) < forecast.rate:
            forecast.rate = highest
        return forecast.rate


def sum_demands(
    demands: Iterable[ClassDemand],
) -> tuple[ClassDemand, ...]:
    """Aggregate demands by model and class.

    Rates are added up; mean sizes are weighted by the rates.
    """
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
