"""How many replicas a model needs for its classes' latency targets.

A replica is a server with `slots` places and one prefill unit. Waits are
estimated with Sakasegawa's approximation for several servers, and for
priorities with Cobham's formula for queues that do not interrupt work.
"""

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from mimosamux_daemon.domain.names import ClassName
from mimosamux_daemon.domain.plan import ClassDemand, Need, ServiceRate
from mimosamux_daemon.domain.work import WorkClass

MAX_REPLICAS = 100_000
PREFILL_TAIL = 3.0
"""95 in 100 wait for prefill at most so many times the mean."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CapacityPolicy:
    """Constants of the estimate."""

    max_utilisation: float = 0.8
    """Share of slots and of prefill that is planned to be in use."""
    late_share: float = 0.03
    """Share of requests that may be late by the estimate; targets hold
    for 95 in 100, and the rest is for what the estimate leaves out."""
    late_share_after_loss: float = 0.05
    prompt_first_token_s: float = 3.0
    """Classes with a target up to this are kept through a loss; others
    may be late then, but are answered."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _Flow:
    """One class's load: rates in a second, times in seconds."""

    rate: float
    prefill_s: float
    slot_s: float
    target_s: float
    priority: int
    holds_through_loss: bool


def find_need(
    demands: Sequence[ClassDemand],
    classes: Mapping[ClassName, WorkClass],
    rate: ServiceRate,
    policy: CapacityPolicy,
) -> Need:
    """Return the replicas needed at all times, and after a loss."""
    flows = [
        _as_flow(demand, classes[demand.work_class], rate, policy)
        for demand in demands
        if demand.work_class in classes and demand.requests_per_s > 0
    ]
    if not flows:
        return Need(normal=1.0, after_loss=1.0)
    return Need(
        normal=_find_least(flows, rate, policy, is_after_loss=False),
        after_loss=_find_least(flows, rate, policy, is_after_loss=True),
    )


def find_load(demand: ClassDemand, rate: ServiceRate) -> float:
    """Return the replicas that a demand keeps busy, for sharing cost."""
    prefill = demand.prompt_tokens / rate.prefill_tokens_per_s
    slots = demand.answer_tokens / rate.answer_tokens_per_s
    return demand.requests_per_s * (prefill + slots)


def _as_flow(
    demand: ClassDemand,
    work_class: WorkClass,
    rate: ServiceRate,
    policy: CapacityPolicy,
) -> _Flow:
    prefill_s = demand.prompt_tokens / rate.prefill_tokens_per_s
    return _Flow(
        rate=demand.requests_per_s,
        prefill_s=prefill_s,
        slot_s=prefill_s + demand.answer_tokens * rate.decode_interval_s,
        target_s=work_class.first_token_s,
        priority=work_class.priority,
        holds_through_loss=(
            work_class.first_token_s <= policy.prompt_first_token_s
        ),
    )


def _find_least(
    flows: list[_Flow],
    rate: ServiceRate,
    policy: CapacityPolicy,
    *,
    is_after_loss: bool,
) -> float:
    low, high = 0, 1
    while high < MAX_REPLICAS and not _suffices(
        high, flows, rate, policy, is_after_loss
    ):
        low, high = high, high * 2
    while high - low > 1:
        middle = (low + high) // 2
        if _suffices(middle, flows, rate, policy, is_after_loss):
            high = middle
        else:
            low = middle
    return float(high)


def _suffices(
    replicas: int,
    flows: list[_Flow],
    rate: ServiceRate,
    policy: CapacityPolicy,
    is_after_loss: bool,
) -> bool:
    places = replicas * rate.slots
    busy_slots = sum(flow.rate * flow.slot_s for flow in flows) / places
    busy_prefill = sum(flow.rate * flow.prefill_s for flow in flows) / replicas
    bound = 1.0 if is_after_loss else policy.max_utilisation
    if busy_prefill >= bound:
        return False
    if busy_slots >= bound and not is_after_loss:
        return False
    prefill_wait = _mean_wait(
        replicas, busy_prefill, _mean(flows, lambda flow: flow.prefill_s)
    )
    late_share = (
        policy.late_share_after_loss if is_after_loss else policy.late_share
    )
    return all(
        _late_share(flow, flows, places, prefill_wait) <= late_share
        for flow in flows
        if flow.holds_through_loss or not is_after_loss
    )


def _late_share(
    flow: _Flow, flows: list[_Flow], places: int, prefill_wait: float
) -> float:
    """Return the share of a class that gets its first token too late.

    Most requests find a free slot and do not wait at all; those that wait
    do so for long, behind answers of many seconds. A mean wait says
    little here, so the share beyond the target is estimated itself.
    """
    above = _share(flows, places, lambda item: item.priority > flow.priority)
    with_equal = _share(
        flows, places, lambda item: item.priority >= flow.priority
    )
    if with_equal >= 1.0:
        return 1.0
    everything = min(1.0, _share(flows, places, lambda _: True))
    waits = everything ** _exponent(places)
    slot_s = _mean(flows, lambda item: item.slot_s)
    mean_wait = slot_s / places / ((1.0 - above) * (1.0 - with_equal))
    # A target below the time that computing the prompt takes cannot be
    # met by more replicas; only the wait can be kept small.
    room = max(flow.target_s - flow.prefill_s, 0.1 * flow.target_s)
    room = max(0.0, room - PREFILL_TAIL * prefill_wait)
    return float(waits * math.exp(-room / mean_wait))


def _share(
    flows: list[_Flow], places: int, is_counted: Callable[[_Flow], bool]
) -> float:
    busy = sum(flow.rate * flow.slot_s for flow in flows if is_counted(flow))
    return busy / places


def _mean(flows: list[_Flow], value: Callable[[_Flow], float]) -> float:
    total = sum(flow.rate for flow in flows)
    return sum(flow.rate * value(flow) for flow in flows) / total


def _mean_wait(servers: int, busy: float, service_s: float) -> float:
    waits = busy ** _exponent(servers)
    return float(waits) * service_s / servers / (1.0 - busy)


def _exponent(servers: int) -> float:
    return math.sqrt(2.0 * (servers + 1)) - 1.0
