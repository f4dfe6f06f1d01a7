"""Admission when clients ask for twice what the engines can do."""

import itertools
import random
import statistics
from dataclasses import dataclass
from typing import Any

import anyio
import anyio.abc
from mimosamux_daemon.domain.names import ClassName, RequestId
from mimosamux_daemon.domain.work import ModelRequest, WorkClass
from mimosamux_daemon.serving.admission import AdmissionPolicy

from benchmarks.fleet_model import (
    MODEL,
    Cluster,
    make_account,
    make_cluster,
)
from benchmarks.plain_policies import least_reported
from benchmarks.report import Table
from tests.support.clock import run_paused

ENDPOINTS = 33
PROMPT_BYTES = 8_000
CAPACITY_PER_S = ENDPOINTS * 10_000 / (PROMPT_BYTES / 4)
"""Requests a second: prompts are what the engines are busy with."""
SMALL = ('small-1', 'small-2', 'small-3', 'small-4')
SMALL_SHARE = 0.05
"""Part of the capacity that each small account asks for."""
WARM_UP_S = 8.0
SECONDS = 10.0
WORK_CLASS = WorkClass(name=ClassName('lookup'), first_token_s=1.0)
NO_ADMISSION = AdmissionPolicy(full_share=1e9, over_share=1e9)
_ids = itertools.count()


@dataclass(frozen=True, kw_only=True)
class Demand:
    """Requests a second by account, as parts of the capacity."""

    large: float
    small: float = SMALL_SHARE


@dataclass(frozen=True, kw_only=True)
class Seen:
    """What one run showed."""

    goodput: float
    """Answers in time a second, as a part of the capacity."""
    small_served: float
    small_p95_s: float
    large_p95_s: float
    late: float
    """Part of the admitted requests whose first token was late."""


def run_demand(demand: Demand, *, seed: int = 1, **fields: Any) -> Seen:
    """Send a demand to a cluster and return what it showed."""
    cluster = make_cluster(endpoints=ENDPOINTS, seed=seed, **fields)

    async def load(_: Cluster, tasks: anyio.abc.TaskGroup) -> None:
        for name in ('large', *SMALL):
            part = demand.large if name == 'large' else demand.small
            if part:
                tasks.start_soon(_send, cluster, name, part, seed, tasks)

    run_paused(cluster.run, load)
    start = min(result.request.arrived for result in cluster.results)
    results = [
        result
        for result in cluster.results
        if result.request.arrived - start >= WARM_UP_S
    ]
    small = [each for each in results if each.request.account in SMALL]
    large = [each for each in results if each.request.account not in SMALL]
    admitted = [each for each in results if each.job is not None]
    in_time = sum(each.is_in_time for each in results)
    return Seen(
        goodput=in_time / SECONDS / CAPACITY_PER_S,
        small_served=_share(each.is_in_time for each in small),
        small_p95_s=_p95(each.first_token_s for each in small if each.job),
        large_p95_s=_p95(each.first_token_s for each in large if each.job),
        late=1 - in_time / max(len(admitted), 1),
    )


async def _send(
    cluster: Cluster,
    name: str,
    part: float,
    seed: int,
    tasks: anyio.abc.TaskGroup,
) -> None:
    rng = random.Random(f'{seed}/{name}')
    account = make_account(name)
    until = anyio.current_time() + WARM_UP_S + SECONDS
    while (now := anyio.current_time()) < until:
        number = next(_ids)
        request = ModelRequest(
            id=RequestId(str(number)),
            account=account.id,
            work_class=WORK_CLASS,
            model=MODEL,
            prompt=f'{number:>8}' * (PROMPT_BYTES // 8),
            max_tokens=40,
            arrived=now,
        )
        cluster.offer(rng.choice(cluster.daemons), account, request, tasks)
        await anyio.sleep(rng.expovariate(part * CAPACITY_PER_S))


def _share(flags: Any) -> float:
    values = list(flags)
    return sum(values) / len(values) if values else 1.0


def _p95(values: Any) -> float:
    known = list(values)
    if len(known) < 2:
        return 0.0
    return statistics.quantiles(known, n=20)[18]


def run() -> list[Table]:
    """Return goodput and the small accounts' times, by demand."""
    at_capacity = Demand(large=0.8)
    flood = Demand(large=1.8)
    lone = Demand(large=2.0, small=0.0)
    cases: list[tuple[str, Demand, dict[str, Any]]] = [
        ('ours, at capacity', at_capacity, {}),
        ('ours, twice, large floods', flood, {}),
        ('ours, twice, lone account', lone, {}),
        (
            'least reported load, at capacity',
            at_capacity,
            {'chooser': least_reported, 'admission': NO_ADMISSION},
        ),
        (
            'least reported load, twice',
            flood,
            {'chooser': least_reported, 'admission': NO_ADMISSION},
        ),
        (
            'no room kept, twice',
            flood,
            {'admission': AdmissionPolicy(over_share=1.0)},
        ),
    ]
    rows = []
    for name, demand, fields in cases:
        seen = run_demand(demand, **fields)
        rows.append(
            (
                name,
                round(seen.goodput, 3),
                round(seen.small_served, 3),
                round(seen.small_p95_s, 3),
                round(seen.large_p95_s, 3),
                round(seen.late, 3),
            )
        )
    return [
        Table(
            title='Overload: 11 daemons, 33 engines, target 1 s',
            columns=(
                'case',
                'goodput / capacity',
                'small in time',
                'small p95 s',
                'large p95 s',
                'late of admitted',
            ),
            rows=tuple(rows),
            note='small: four accounts, each 5% of the capacity',
        )
    ]
