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

SMALL = ('small-1', 'small-2', 'small-3', 'small-4')
SECONDS = 6.0
PREFILL_TOKENS_PER_S = 10_000
DECODE_INTERVAL_S = 0.03
SLOTS = 16
NO_ADMISSION = AdmissionPolicy(
    admit_fraction=1e9, over_fair_fraction=1e9, unowned_fraction=1e9
)
_ids = itertools.count()


@dataclass(frozen=True, kw_only=True)
class Workload:
    """Requests, and the daemons and engines that serve them."""

    daemons: int = 11
    engines: int = 33
    prompt_bytes: int = 8_000
    max_tokens: int = 40
    varies: bool = False
    """Whether answers have 0.2 to 1.8 times `max_tokens`."""
    target_s: float = 1.0
    warm_up_s: float = 5.0
    flood_at: int | None = None
    """Daemons that the large account sends to; None: to all."""
    small_at: int | None = None
    """The same for the small accounts."""

    @property
    def capacity_per_s(self) -> float:
        """Requests a second that the engines can do."""
        prefill_s = self.prompt_bytes / 4 / PREFILL_TOKENS_PER_S
        slot_s = (prefill_s + self.max_tokens * DECODE_INTERVAL_S) / SLOTS
        return self.engines / max(prefill_s, slot_s)

    @property
    def work_class(self) -> WorkClass:
        """Class of all requests."""
        return WorkClass(name=ClassName('class'), first_token_s=self.target_s)


@dataclass(frozen=True, kw_only=True)
class Demand:
    """Requests a second by account, as parts of the capacity."""

    large: float
    small: float = 0.05


AT_CAPACITY = Demand(large=0.8)
TWICE = Demand(large=1.8)
LONE_TWICE = Demand(large=2.0, small=0.0)


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


def run_demand(
    demand: Demand,
    workload: Workload | None = None,
    *,
    seed: int = 1,
    **fields: Any,
) -> Seen:
    """Send a demand to a cluster and return what it showed."""
    workload = Workload() if workload is None else workload
    cluster = make_cluster(
        daemons=workload.daemons,
        endpoints=workload.engines,
        seed=seed,
        **fields,
    )

    async def load(_: Cluster, tasks: anyio.abc.TaskGroup) -> None:
        for name in ('large', *SMALL):
            part = demand.large if name == 'large' else demand.small
            if part:
                rate = part * workload.capacity_per_s
                rng = random.Random(f'{seed}/{name}')
                sender = Sender(
                    cluster=cluster, workload=workload, name=name, rng=rng
                )
                tasks.start_soon(sender.run, rate, tasks)

    run_paused(cluster.run, load)
    return _sum_up(cluster, workload)


@dataclass(frozen=True, kw_only=True)
class Sender:
    """Sends the requests of one account."""

    cluster: Cluster
    workload: Workload
    name: str
    rng: random.Random

    async def run(self, rate: float, tasks: anyio.abc.TaskGroup) -> None:
        """Send `rate` requests a second, spaced at random."""
        workload = self.workload
        account = make_account(self.name)
        at = workload.small_at if self.name in SMALL else workload.flood_at
        daemons = self.cluster.daemons[:at]
        length_s = workload.warm_up_s + SECONDS
        until = anyio.current_time() + length_s
        while (now := anyio.current_time()) < until:
            request = self._make_request(now)
            daemon = self.rng.choice(daemons)
            self.cluster.offer(daemon, account, request, tasks)
            await anyio.sleep(self.rng.expovariate(rate))

    def _make_request(self, now: float) -> ModelRequest:
        workload = self.workload
        number = next(_ids)
        factor = self.rng.uniform(0.2, 1.8) if workload.varies else 1.0
        return ModelRequest(
            id=RequestId(str(number)),
            account=make_account(self.name).id,
            work_class=workload.work_class,
            model=MODEL,
            prompt=f'{number:>8}' * (workload.prompt_bytes // 8),
            max_tokens=int(workload.max_tokens * factor),
            arrived=now,
        )


def _sum_up(cluster: Cluster, workload: Workload) -> Seen:
    start = min(result.request.arrived for result in cluster.results)
    results = [
        result
        for result in cluster.results
        if result.request.arrived - start >= workload.warm_up_s
    ]
    small = [each for each in results if each.request.account in SMALL]
    large = [each for each in results if each.request.account not in SMALL]
    admitted = [each for each in results if each.job is not None]
    in_time = sum(each.is_in_time for each in results)
    return Seen(
        goodput=in_time / SECONDS / workload.capacity_per_s,
        small_served=_share(each.is_in_time for each in small),
        small_p95_s=_p95(each.first_token_s for each in small if each.job),
        large_p95_s=_p95(each.first_token_s for each in large if each.job),
        late=1 - in_time / max(len(admitted), 1),
    )


def _share(flags: Any) -> float:
    values = list(flags)
    return sum(values) / len(values) if values else 1.0


def _p95(values: Any) -> float:
    known = list(values)
    if len(known) < 2:
        return 0.0
    return statistics.quantiles(known, n=20)[18]


PROMPTS = Workload()
ANSWERS = Workload(prompt_bytes=800, max_tokens=100, varies=True)
EQUAL_ANSWERS = Workload(prompt_bytes=800, max_tokens=100)
FEW = Workload(daemons=9, engines=6)
FLOOD_AT_3 = Workload(flood_at=3)
SMALL_AT_1 = Workload(small_at=1)
PLAIN: dict[str, Any] = {
    'chooser': least_reported,
    'admission': NO_ADMISSION,
}
NO_ROOM: dict[str, Any] = {
    'admission': AdmissionPolicy(over_fair_fraction=1.0)
}
CASES: tuple[tuple[str, Workload, Demand, dict[str, Any]], ...] = (
    ('prompts bind, at capacity', PROMPTS, AT_CAPACITY, {}),
    ('prompts bind, twice, large floods', PROMPTS, TWICE, {}),
    ('prompts bind, twice, lone account', PROMPTS, LONE_TWICE, {}),
    ('least reported load, twice', PROMPTS, TWICE, PLAIN),
    ('no room kept, twice', PROMPTS, TWICE, NO_ROOM),
    ('slots bind, at capacity', ANSWERS, AT_CAPACITY, {}),
    ('slots bind, twice', ANSWERS, TWICE, {}),
    ('slots bind, equal answers, twice', EQUAL_ANSWERS, TWICE, {}),
    ('9 daemons, 6 engines, at capacity', FEW, AT_CAPACITY, {}),
    ('9 daemons, 6 engines, twice', FEW, TWICE, {}),
    ('twice, flood at 3 daemons', FLOOD_AT_3, TWICE, {}),
    ('twice, small ones at 1 daemon', SMALL_AT_1, TWICE, {}),
)


def run() -> list[Table]:
    """Return goodput and the small accounts' times, by demand."""
    rows = []
    for name, workload, demand, fields in CASES:
        seen = run_demand(demand, workload, **fields)
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
            note='small: four accounts, each 5% of the capacity; refused '
            'requests do not come again; one seed',
        )
    ]
