"""Estimates the replicas that a model needs to meet latency targets.

A replica is modelled as a server that decodes `slots` answers at a time
and prefills one prompt at a time. Queueing delays follow Sakasegawa's
approximation for multi-server queues, and with priorities Cobham's formula
for non-preemptive queues.
"""

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from mimosamux_daemon.domain.names import ClassName
from mimosamux_daemon.domain.plan import ClassDemand, ReplicaNeed, ServiceRate
from mimosamux_daemon.domain.work import WorkClass

MAX_REPLICAS = 100_000
"""Upper limit of the search for a sufficient number of replicas."""
PREFILL_P95_FACTOR = 3.0
"""Ratio of the 95th percentile to the mean of the wait for prefill."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CapacityPolicy:
    """Constants of the estimate."""

    max_utilisation: float = 0.8
    """Maximum planned utilisation of slots and of prefill."""
    max_late_share: float = 0.03
    """Estimated share of requests that may miss their target. Targets hold
    for the 95th percentile; the difference to 0.05 is a margin for effects
    that the estimate leaves out."""
    max_late_share_after_loss: float = 0.05
    """The same share after a loss of VMs."""
    guaranteed_first_token_s: float = 3.0
    """Classes whose target is at most this keep it through a loss of VMs;
    others may miss it then, but are answered."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _Flow:
    """Load of one class: rate per second, times in seconds."""

    rate: float
    prefill_s: float
    slot_s: float
    """Time for which a request occupies a slot."""
    target_s: float
    """Target for the time to the first token."""
    priority: int
    is_guaranteed_after_loss: bool


def compute_need(
    demands: Sequence[ClassDemand],
    classes: Mapping[ClassName, WorkClass],
    rate: ServiceRate,
    policy: CapacityPolicy,
) -> ReplicaNeed:
    """Return the replicas needed normally and after a loss of VMs."""
    flows = [
        _as_flow(demand, classes[demand.work_class], rate, policy)
        for demand in demands
        if demand.work_class in classes and demand.requests_per_s > 0
    ]
    if not flows:
        return ReplicaNeed(normal=1.0, after_loss=1.0)
    return ReplicaNeed(
        normal=_find_min_replicas(flows, rate, policy, is_after_loss=False),
        after_loss=_find_min_replicas(flows, rate, policy, is_after_loss=True),
    )


def compute_offered_load(demand: ClassDemand, rate: ServiceRate) -> float:
    """Return the number of replicas that a demand keeps busy."""
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
        is_guaranteed_after_loss=(
            work_class.first_token_s <= policy.guaranteed_first_token_s
        ),
    )


def _find_min_replicas(
    flows: list[_Flow],
    rate: ServiceRate,
    policy: CapacityPolicy,
    *,
    is_after_loss: bool,
) -> float:
    """Search the smallest sufficient number by doubling and bisection."""
    low, high = 0, 1
    while high < MAX_REPLICAS and not _meets_targets(
        high, flows, rate, policy, is_after_loss
    ):
        low, high = high, high * 2
    while high - low > 1:
        middle = (low + high) // 2
        if _meets_targets(middle, flows, rate, policy, is_after_loss):
            high = middle
        else:
            low = middle
    return float(high)


def _meets_targets(
    replicas: int,
    flows: list[_Flow],
    rate: ServiceRate,
    policy: CapacityPolicy,
    is_after_loss: bool,
) -> bool:
    """Return whether a number of replicas meets the targets.

    After a loss, only the classes that keep their target then count.
    """
    slots = replicas * rate.slots
    slot_utilisation = sum(flow.rate * flow.slot_s for flow in flows) / slots
    prefill_utilisation = (
        sum(flow.rate * flow.prefill_s for flow in flows) / replicas
    )
    max_utilisation = 1.0 if is_after_loss else policy.max_utilisation
    if prefill_utilisation >= max_utilisation:
        return False
    if slot_utilisation >= max_utilisation and not is_after_loss:
        return False
    prefill_wait = _mean_wait(
        replicas,
        prefill_utilisation,
        _mean(flows, lambda flow: flow.prefill_s),
    )
    max_late_share = (
        policy.max_late_share_after_loss
        if is_after_loss
        else policy.max_late_share
    )
    return all(
        _estimate_late_share(flow, flows, slots, prefill_wait)
        <= max_late_share
        for flow in flows
        if flow.is_guaranteed_after_loss or not is_after_loss
    )


def _estimate_late_share(
    flow: _Flow, flows: list[_Flow], slots: int, prefill_wait: float
) -> float:
    """Return the share of a class that misses its first-token target.

    Most requests find a free slot and do not wait; the others wait long,
    behind answers of many seconds. A mean wait says little about such a
    distribution, so the share beyond the target is estimated directly.
    """
    higher_priority_load = _slot_utilisation(
        flows, slots, lambda item: item.priority > flow.priority
    )
    same_or_higher_load = _slot_utilisation(
        flows, slots, lambda item: item.priority >= flow.priority
    )
    if same_or_higher_load >= 1.0:
        return 1.0
    total_load = min(1.0, _slot_utilisation(flows, slots, lambda _: True))
    wait_probability = total_load ** _sakasegawa_exponent(slots)
    slot_s = _mean(flows, lambda item: item.slot_s)
    mean_wait = (
        slot_s
        / slots
        / ((1.0 - higher_priority_load) * (1.0 - same_or_higher_load))
    )
    # More replicas cannot meet a target below the prefill time; they can
    # only keep the wait short.
    max_wait_s = max(flow.target_s - flow.prefill_s, 0.1 * flow.target_s)
    max_wait_s = max(0.0, max_wait_s - PREFILL_P95_FACTOR * prefill_wait)
    return float(wait_probability * math.exp(-max_wait_s / mean_wait))


def _slot_utilisation(
    flows: list[_Flow], slots: int, includes: Callable[[_Flow], bool]
) -> float:
    busy_slots = sum(
        flow.rate * flow.slot_s for flow in flows if includes(flow)
    )
    return busy_slots / slots


def _mean(flows: list[_Flow], value: Callable[[_Flow], float]) -> float:
    total = sum(flow.rate for flow in flows)
    return sum(flow.rate * value(flow) for flow in flows) / total


def _mean_wait(servers: int, utilisation: float, service_s: float) -> float:
    wait_probability = utilisation ** _sakasegawa_exponent(servers)
    return float(wait_probability) * service_s / servers / (1.0 - utilisation)


def _sakasegawa_exponent(servers: int) -> float:
    return math.sqrt(2.0 * (servers + 1)) - 1.0
