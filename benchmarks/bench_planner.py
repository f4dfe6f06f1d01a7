"""Time of a plan and size of a summary, from a small site to 12,000 VMs."""

import random
import time

from mimosamux_daemon.control.configuration_models import parse_configuration
from mimosamux_daemon.control.order_rows import OrderState, VMOrder
from mimosamux_daemon.control.planning import (
    PlanInput,
    PlanningPolicy,
    make_plan,
)
from mimosamux_daemon.control.planning_exchange import make_summary
from mimosamux_daemon.control.steps import ObservedState, compute_steps
from mimosamux_daemon.domain.names import (
    ClassName,
    DataCentreName,
    ModelName,
    VMId,
)
from mimosamux_daemon.domain.plan import (
    ClassDemand,
    Offer,
    OfferCount,
    Plan,
    ServiceRate,
)
from mimosamux_daemon.domain.vms import Market
from mimosamux_wire import EnvelopeType, encode

from benchmarks.report import Table

SIZES = ((3, 4), (3, 40), (8, 375), (32, 375))
"""Data centres, and VMs in each."""
ROUNDS = 10
INTERVAL_S = 5.0
MACHINE_CLASSES = ('standard', 'large')
MODEL = ModelName('model')
RATE = ServiceRate(
    prefill_tokens_per_s=10_000.0, decode_interval_s=0.03, slots=16
)


def run() -> list[Table]:
    """Measure each size."""
    return [
        Table(
            title='Planner: one look of one data centre',
            columns=(
                'data centres',
                'VMs',
                'VMs planned',
                'plan, ms',
                'steps, ms',
                'core at one look in 5 s, %',
                'summary, bytes',
            ),
            rows=tuple(_measure(*size) for size in SIZES),
            note='plan and steps: mean of 10 rounds with new prices in each',
        )
    ]


def _measure(
    data_centres: int, vms_each: int
) -> tuple[int, int, int, float, float, float, int]:
    randomness = random.Random(1)
    names = [DataCentreName(f'dc{number}') for number in range(data_centres)]
    configuration = parse_configuration(
        {
            'classes': {
                'draft': {'first_token_s': 20.0},
                'lookup': {'first_token_s': 1.4, 'priority': 10},
            },
            'models': {
                'model': {
                    'version': '1',
                    'machine_classes': list(MACHINE_CLASSES),
                }
            },
            'data_centres': names,
        },
        version=1,
    )
    demands = _make_demand(data_centres * vms_each)
    plan = Plan()
    plan_s = steps_s = 0.0
    for _ in range(ROUNDS):
        known = PlanInput(
            configuration=configuration,
            demands=demands,
            rates={(MODEL, name): RATE for name in MACHINE_CLASSES},
            prices=_make_prices(names, randomness),
            running=plan.counts,
        )
        began = time.perf_counter()
        plan = make_plan(known, PlanningPolicy())
        planned = time.perf_counter()
        world = _make_world(names[0], plan, known)
        ready = time.perf_counter()
        compute_steps(plan, world, configuration, PlanningPolicy())
        plan_s += planned - began
        steps_s += time.perf_counter() - ready
    summary = make_summary(
        data_centre=names[0],
        fencing=1,
        sequence=1,
        demands=demands,
        rates=known.rates,
        refused=(),
        stopping=(),
        counts=[
            OfferCount(
                model=MODEL, offer=offer, running=count, live=count, paid=count
            )
            for (_, offer), count in plan.counts.items()
            if offer.data_centre == names[0]
        ],
    )
    return (
        data_centres,
        data_centres * vms_each,
        sum(plan.counts.values()),
        1000 * plan_s / ROUNDS,
        1000 * steps_s / ROUNDS,
        100 * (plan_s + steps_s) / ROUNDS / INTERVAL_S,
        len(encode(summary, EnvelopeType.ONEWAY, 1)),
    )


def _make_demand(replicas: int) -> tuple[ClassDemand, ...]:
    """Return a demand that keeps about so many replicas busy."""
    busy_slots = 0.6 * replicas * RATE.slots
    return tuple(
        ClassDemand(
            model=MODEL,
            work_class=ClassName(name),
            requests_per_s=share * busy_slots / (tokens * 0.03),
            prompt_tokens=800.0,
            answer_tokens=tokens,
        )
        for name, share, tokens in (
            ('draft', 0.7, 800.0),
            ('lookup', 0.3, 60.0),
        )
    )


def _make_prices(
    names: list[DataCentreName], randomness: random.Random
) -> dict[Offer, float]:
    prices = {}
    for name in names:
        for machine_class in MACHINE_CLASSES:
            for market, price in (
                (Market.RECLAIMABLE, randomness.uniform(0.3, 0.6)),
                (Market.ON_DEMAND, 1.0),
            ):
                offer = Offer(
                    data_centre=name,
                    machine_class=machine_class,
                    market=market,
                )
                prices[offer] = price
    return prices


def _make_world(
    data_centre: DataCentreName, plan: Plan, known: PlanInput
) -> ObservedState:
    own = tuple(
        VMOrder(
            id=f'{offer.machine_class}-{offer.market}-{number}',
            data_centre=data_centre,
            machine_class=offer.machine_class,
            market=offer.market,
            model=MODEL,
            version='1',
            state=OrderState.READY,
            fencing=1,
            vm=VMId(f'vm-{number}'),
        )
        for (_, offer), count in known.running.items()
        if offer.data_centre == data_centre
        for number in range(count)
    )
    return ObservedState(
        data_centre=data_centre,
        own=own,
        live=frozenset(order.id for order in own),
        running=known.running,
        live_counts=known.running,
        per_hour=plan.per_hour,
        prices=known.prices,
    )
