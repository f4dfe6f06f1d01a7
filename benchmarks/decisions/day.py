"""One day of one user under one way: real serving over fakes."""

import random
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace

import anyio
import anyio.abc
from mimosamux_daemon.adapters.memory_cloud import CloudFaults, MemoryCloud
from mimosamux_daemon.adapters.memory_engine import (
    EngineSpeed,
    MemoryEngine,
    MemoryEngines,
)
from mimosamux_daemon.adapters.memory_peers import MemoryNetwork
from mimosamux_daemon.adapters.memory_table import MemoryTable
from mimosamux_daemon.adapters.memory_weight_store import MemoryWeightStore
from mimosamux_daemon.control.build_planner import (
    PlannerPolicies,
    PlannerPorts,
    PlannerSite,
    build_planner,
)
from mimosamux_daemon.control.capacity import CapacityPolicy
from mimosamux_daemon.control.ceilings import Ceilings
from mimosamux_daemon.control.demand import DemandMeter, DemandPolicy
from mimosamux_daemon.control.endpoints import EndpointPoller, PollPolicy
from mimosamux_daemon.control.planner import PlannerPolicy
from mimosamux_daemon.control.planning import PlanningPolicy
from mimosamux_daemon.control.planning_exchange import PlanningView
from mimosamux_daemon.domain.engine import LoadReport
from mimosamux_daemon.domain.names import (
    AccountId,
    ClassName,
    DaemonId,
    DataCentreName,
    EndpointId,
    ModelName,
    RequestId,
)
from mimosamux_daemon.domain.outcomes import Answered
from mimosamux_daemon.domain.vms import Endpoint, Market, Price
from mimosamux_daemon.domain.work import ModelRequest
from mimosamux_daemon.serving.admission import Admission
from mimosamux_daemon.serving.fleet import Fleet
from mimosamux_daemon.serving.model_serving import ModelServing
from mimosamux_daemon.serving.prices import PriceBook
from mimosamux_daemon.serving.requests import ActiveRequest, RequestRegistry
from mimosamux_daemon.serving.routing import Router

from benchmarks.decisions.users import (
    DATA_CENTRES,
    DAY_S,
    Event,
    Flow,
    User,
    arrivals,
    platform_events,
)
from benchmarks.decisions.ways import ROUTERS, Way, keep_fixed_fleet

WARM_UP_S = 60.0
NOTICE_S = 6.0
ON_DEMAND_PER_HOUR = 1.0
SAMPLE_S = 15.0
WAVE_S = 60.0
"""Time after the start of a wave that counts as in it."""
SPEED = EngineSpeed(
    prefill_tokens_per_s=8_000.0,
    decode_interval_s=0.03,
    slots=4,
    tokens_per_frame=64,
    cache_capacity_blocks=1024,
)


@dataclass(frozen=True, kw_only=True)
class Tuning:
    """Constants of our policy that a sweep changes."""

    demand: DemandPolicy = field(
        default_factory=lambda: DemandPolicy(
            window_s=15.0, rise_s=5.0, hold_s=30.0
        )
    )
    """A day is played 120 times as fast; these times are shorter too."""
    planning: PlanningPolicy = field(default_factory=PlanningPolicy)


@dataclass(frozen=True, kw_only=True)
class Sample:
    """State at one time of the day, for the curves."""

    at: float
    vms: int
    spent: float


@dataclass(kw_only=True)
class DayResult:
    """What a day came to."""

    offered: Counter[str] = field(default_factory=Counter)
    in_target: Counter[str] = field(default_factory=Counter)
    offered_in_wave: Counter[str] = field(default_factory=Counter)
    in_target_in_wave: Counter[str] = field(default_factory=Counter)
    refused: int = 0
    lost: int = 0
    cost: float = 0.0
    recomputed: int = 0
    vm_starts: int = 0
    samples: list[Sample] = field(default_factory=list)

    @property
    def share_in_target(self) -> float:
        """Return the share of all requests that met their target."""
        return sum(self.in_target.values()) / sum(self.offered.values())

    def class_share(self, work_class: str) -> float:
        """Return the share of a class that met its target."""
        return self.in_target[work_class] / max(1, self.offered[work_class])

    def wave_share(self, work_class: str) -> float:
        """Return the same for requests that came during a wave."""
        offered = self.offered_in_wave[work_class]
        return self.in_target_in_wave[work_class] / offered if offered else 1.0


class Day:
    """The parts that a day is played with."""

    def __init__(
        self, *, user: User, way: Way, seed: int, tuning: Tuning
    ) -> None:
        self.user = user
        self.way = way
        self.tuning = tuning
        self.randomness = random.Random(seed)
        self.configuration = user.configuration()
        self.cloud = MemoryCloud(
            faults=CloudFaults(list_lag_s=2.0, start_delay_s=15.0)
        )
        self.engines = MemoryEngines()
        self.fleet = Fleet()
        self.prices = PriceBook()
        self.network = MemoryNetwork()
        self.meter = DemandMeter(policy=tuning.demand)
        self.keeper = EndpointPoller(
            cloud=self.cloud,
            fleet=self.fleet,
            prices=self.prices,
            configuration=lambda: self.configuration,
            policy=PollPolicy(notices_s=1.0, list_s=2.0, prices_s=10.0),
        )
        self.result = DayResult()
        self.waves: list[float] = []
        self._reports: dict[EndpointId, LoadReport] = {}
        self._began = 0.0

    async def run(self) -> DayResult:
        """Play the day and return what it came to."""
        self._set_prices()
        async with anyio.create_task_group() as tasks:
            for part in self._parts():
                tasks.start_soon(part)
            await anyio.sleep(WARM_UP_S)
            self._began = anyio.current_time()
            before = self.cloud.cost()
            tasks.start_soon(self._happen)
            tasks.start_soon(self._sample, before)
            serving = self._build_serving(tasks)
            async with anyio.create_task_group() as requests:
                await self._load(serving, requests)
                self.result.cost = self.cloud.cost() - before
            tasks.cancel_scope.cancel()
        self.result.vm_starts = len(self.cloud.starts)
        self.result.recomputed = sum(
            run.computed_tokens
            for engine in self.engines.by_id.values()
            for run in engine.runs
            if run.call.attempt > 1
        )
        return self.result

    def _parts(self) -> list[Callable[[], Awaitable[None]]]:
        parts: list[Callable[[], Awaitable[None]]] = [
            self.keeper.run,
            self._run_engines,
        ]
        if self.way.replicas:
            parts.append(
                lambda: keep_fixed_fleet(self.cloud, self.way.replicas)
            )
            return parts
        table = MemoryTable()
        parts.append(self.network.run)
        for name in DATA_CENTRES:
            parts.append(self._build_planner(name, table).run)
        return parts

    def _build_serving(self, tasks: anyio.abc.TaskGroup) -> ModelServing:
        return ModelServing(
            engines=self.engines,
            fleet=self.fleet,
            router=self._build_router(),
            admission=Admission(rng=random.Random(1)),
            registry=RequestRegistry(),
            tasks=tasks,
            meter=self.meter,
        )

    def _build_router(self) -> Router:
        plain = ROUTERS.get(self.way.routing)
        if plain is not None:
            return plain(self.fleet)
        return Router(
            fleet=self.fleet,
            prices=self.prices,
            configuration=lambda: self.configuration,
            rng=random.Random(2),
        )

    def _build_planner(self, name: str, table: MemoryTable):  # type: ignore[no-untyped-def]
        # One daemon meets the whole demand and tells the planners.
        is_first = name == DATA_CENTRES[0]
        peers = self.network.join(DaemonId(name))
        planning_view = PlanningView(
            data_centre=DataCentreName(name),
            meter=self.meter if is_first else DemandMeter(),
            ceilings=Ceilings(randomness=random.Random(3)),
            peers=peers,
        )
        return build_planner(
            site=PlannerSite(
                daemon=DaemonId(name),
                data_centre=DataCentreName(name),
                incarnation=1,
                other_daemons=lambda: {
                    DataCentreName(other): (DaemonId(other),)
                    for other in DATA_CENTRES
                    if other != name
                },
            ),
            ports=PlannerPorts(
                table=table,
                cloud=self.cloud,
                engines=self.engines,
                weights=MemoryWeightStore(),
                peers=peers,
            ),
            planning_view=planning_view,
            drains=self,
            configuration=lambda: self.configuration,
            wall_clock=lambda: 0.0,
            randomness=random.Random(4),
            load_reports=lambda: [
                (state.endpoint, state.report)
                for state in self.fleet.by_id.values()
            ],
            policies=PlannerPolicies(
                planner=PlannerPolicy(
                    interval_s=5.0,
                    notice_poll_s=1.0,
                    demand_collection_s=2.0,
                    demand=self.tuning.demand,
                    planning=self._planning(),
                )
            ),
        )

    def _planning(self) -> PlanningPolicy:
        if not self.way.only_on_demand:
            return self.tuning.planning
        return replace(
            self.tuning.planning,
            capacity=CapacityPolicy(
                max_late_share=self.way.late_share,
                max_late_share_after_loss=self.way.late_share,
            ),
        )

    async def drain(self, endpoint: EndpointId) -> None:
        """Drain an endpoint; one daemon has all the work on it."""
        await self.keeper.announce_leaving({endpoint: 600.0})
        engine = self.engines.by_id.get(endpoint)
        while True:
            if engine is None or not engine.open_runs:
                return
            await anyio.sleep(0.5)

    def _set_prices(self) -> None:
        for name in DATA_CENTRES:
            self._set_price(name, Market.ON_DEMAND, ON_DEMAND_PER_HOUR)
            if not self.way.only_on_demand:
                self._set_price(name, Market.RECLAIMABLE, 0.4)

    def _set_price(self, name: str, market: Market, per_hour: float) -> None:
        self.cloud.set_price(
            Price(
                data_centre=DataCentreName(name),
                machine_class='standard',
                market=market,
                per_hour=per_hour,
            )
        )

    async def _happen(self) -> None:
        for event in platform_events(self.randomness):
            await anyio.sleep_until(self._began + event.at)
            self._apply(event)

    def _apply(self, event: Event) -> None:
        name = DataCentreName(event.data_centre)
        offer = (name, 'standard', Market.RECLAIMABLE)
        match event.kind:
            case 'price':
                if not self.way.only_on_demand:
                    self._set_price(name, Market.RECLAIMABLE, event.per_hour)
            case 'refuse':
                self.cloud.faults.refused.add(offer)
            case 'give':
                self.cloud.faults.refused.discard(offer)
            case _:
                self._reclaim(event)

    def _reclaim(self, event: Event) -> None:
        standing = [
            vm
            for vm in self.cloud.live_now()
            if vm.market is Market.RECLAIMABLE
            and not self.cloud.by_id[vm.id].was_reclaimed
        ]
        if event.kind == 'wave':
            self.waves.append(anyio.current_time())
            taken = [
                vm for vm in standing if vm.data_centre == event.data_centre
            ]
        else:
            share = 0.44 if event.kind == 'share' else 1e-9
            count = min(len(standing), int(share * len(standing)) + 1)
            taken = self.randomness.sample(standing, count)
        for vm in taken:
            self.cloud.reclaim(vm.id, notice_s=NOTICE_S)

    async def _run_engines(self) -> None:
        sequence = 0
        while True:
            sequence += 1
            now = anyio.current_time()
            for vm, record in self.cloud.by_id.items():
                id_ = EndpointId(vm)
                is_live = record.live_at <= now < record.gone_at
                engine = self.engines.by_id.get(id_)
                if engine is None and is_live:
                    self._add_engine(id_)
                elif engine is not None and not is_live:
                    engine.die()
                elif engine is not None:
                    self._report(engine, sequence)
            await anyio.sleep(1.0)

    def _add_engine(self, id_: EndpointId) -> None:
        vm = self.cloud.by_id[id_].vm  # type: ignore[index]
        engine = self.engines.add(
            Endpoint(
                id=id_,
                vm=vm.id,
                address=vm.address,
                data_centre=vm.data_centre,
                market=vm.market,
                model=vm.model,
                checks_fencing=True,
            ),
            speed=replace(SPEED),
        )
        engine.abilities.exports_kv = self.way.moves_kv

    def _report(self, engine: MemoryEngine, sequence: int) -> None:
        """Pass on the report of a second ago, and the cache events."""
        id_ = engine.endpoint.id
        if id_ not in self.fleet.by_id:
            return
        late = self._reports.get(id_)
        if late is not None:
            self.fleet.apply_report(late)
            for event in engine.take_cache_events():
                self.fleet.apply_cache_event(event)
        else:
            self.fleet.apply_cache_event(engine.cache_snapshot())
        report = engine.load_report(sequence)
        self._reports[id_] = replace(report, age_s=1.0)

    async def _sample(self, before: float) -> None:
        while True:
            self.result.samples.append(
                Sample(
                    at=anyio.current_time() - self._began,
                    vms=len(self.cloud.live_now()),
                    spent=self.cloud.cost() - before,
                )
            )
            await anyio.sleep(SAMPLE_S)

    async def _load(
        self, serving: ModelServing, requests: anyio.abc.TaskGroup
    ) -> None:
        randomness = random.Random(self.randomness.random())
        for number, (at, flow) in enumerate(arrivals(self.user, randomness)):
            await anyio.sleep_until(self._began + at)
            request = self._make_request(number, flow, randomness)
            requests.start_soon(self._offer, serving, request)
        await anyio.sleep_until(self._began + DAY_S)

    def _make_request(
        self, number: int, flow: Flow, randomness: random.Random
    ) -> ModelRequest:
        prefix = f'{flow.prefix_tokens}-{randomness.randrange(flow.prefixes)} '
        size = 4 * flow.prefix_tokens
        shared = (prefix * (size // len(prefix) + 1))[:size]
        own = f'{number} ' * flow.own_tokens
        return ModelRequest(
            id=RequestId(f'r{number}'),
            account=AccountId('client'),
            work_class=self.configuration.classes[ClassName(flow.work_class)],
            model=ModelName('model'),
            prompt=shared + own[: 4 * flow.own_tokens],
            max_tokens=flow.answer_tokens,
            arrived=anyio.current_time(),
        )

    async def _offer(
        self, serving: ModelServing, request: ModelRequest
    ) -> None:
        name = request.work_class.name
        in_wave = any(
            0 <= request.arrived - wave <= WAVE_S for wave in self.waves
        )
        self.result.offered[name] += 1
        self.result.offered_in_wave[name] += in_wave
        active = await serving.offer(request, self.configuration)
        if not isinstance(active, ActiveRequest):
            self.result.refused += 1
            return
        await active.wait_ended()
        whole = (
            isinstance(active.outcome, Answered)
            and active.outcome.tokens == request.max_tokens
        )
        if not whole:
            self.result.lost += 1
            return
        met = find_first_token_s(active) <= request.work_class.first_token_s
        self.result.in_target[name] += met
        self.result.in_target_in_wave[name] += met and in_wave


def find_first_token_s(active: ActiveRequest) -> float:
    """Return the time to the first token, as without joined frames.

    Engines here send many tokens in a frame, to save events; the frame
    comes when its last token is due.
    """
    request = active.request
    joined = min(SPEED.tokens_per_frame, request.max_tokens) - 1
    came = (active.first_token_at or 0.0) - request.arrived
    return came - joined * SPEED.decode_interval_s
