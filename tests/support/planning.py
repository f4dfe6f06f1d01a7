"""Planners of three data centres over a platform in memory."""

import random
from dataclasses import dataclass, field

import anyio
from mimosamux_daemon.adapters.memory_cloud import MemoryCloud
from mimosamux_daemon.adapters.memory_engine import MemoryEngines
from mimosamux_daemon.adapters.memory_peers import MemoryNetwork
from mimosamux_daemon.adapters.memory_table import MemoryTable
from mimosamux_daemon.adapters.memory_weight_store import MemoryWeightStore
from mimosamux_daemon.control.build_planner import (
    PlannerPolicies,
    PlannerPorts,
    PlannerSite,
    build_planner,
)
from mimosamux_daemon.control.ceilings import Ceilings
from mimosamux_daemon.control.configuration_models import parse_configuration
from mimosamux_daemon.control.leases import LeasePolicy
from mimosamux_daemon.control.planner import Planner, PlannerPolicy
from mimosamux_daemon.control.planning_exchange import PlanningView
from mimosamux_daemon.domain.names import DaemonId, EndpointId
from mimosamux_daemon.domain.plan import ClassDemand, ServiceRate
from mimosamux_daemon.domain.vms import VM, Endpoint, Market, Price

from tests.support.leases import TroubledTable

DATA_CENTRES = ('north', 'east', 'west')
RATE = ServiceRate(
    prefill_tokens_per_s=10_000.0, decode_interval_s=0.03, slots=16
)
SPOT, FIXED = Market.RECLAIMABLE, Market.ON_DEMAND


def configure(
    *,
    version=1,
    model_version='1',
    ceilings=(None, None),
    checks_fencing=False,
):
    lookup = {'first_token_s': 1.4, 'priority': 10}
    draft = {'first_token_s': 20.0}
    for fields, ceiling in ((lookup, ceilings[0]), (draft, ceilings[1])):
        if ceiling is not None:
            fields['cost_ceiling_per_hour'] = ceiling
    return parse_configuration(
        {
            'classes': {'lookup': lookup, 'draft': draft},
            'models': {
                'itinerary': {
                    'version': model_version,
                    'checks_fencing': checks_fencing,
                }
            },
            'data_centres': list(DATA_CENTRES),
        },
        version=version,
    )


def demand(work_class, per_s, *, prompt=500.0, answer=100.0):
    return ClassDemand(
        model='itinerary',
        work_class=work_class,
        requests_per_s=per_s,
        prompt_tokens=prompt,
        answer_tokens=answer,
    )


CALM = PlannerPolicies(
    lease=LeasePolicy(duration_s=40.0, renew_interval_s=12.0),
    planner=PlannerPolicy(interval_s=15.0, notice_poll_s=7.5),
)
"""Looks seldom, so that hours pass fast in tests of slow changes."""
USUAL = (demand('lookup', 2.0), demand('draft', 1.0, answer=800.0))


@dataclass
class FixedMeter:
    """Stands in for a daemon's meter: a load that the test sets."""

    demands: tuple = ()
    noise: float = 0.0
    randomness: random.Random = field(default_factory=lambda: random.Random(1))

    def current(self):
        return tuple(
            item.scaled(1 + self.noise * self.randomness.uniform(-1, 1))
            for item in self.demands
        )


@dataclass(kw_only=True)
class WatchedCloud(MemoryCloud):
    """Notes a stop of a VM that has work on it."""

    work_until: dict = field(default_factory=dict)
    stopped_at_work: list = field(default_factory=list)

    async def stop_vm(self, vm):
        if self.work_until.get(vm, 0.0) > anyio.current_time():
            self.stopped_at_work.append(vm)
        return await super().stop_vm(vm)


@dataclass(kw_only=True)
class WorkDrains:
    """Drains that wait for the work which the test put on endpoints."""

    cloud: WatchedCloud
    leaving: set = field(default_factory=set)

    async def drain(self, endpoint):
        self.leaving.add(endpoint)
        await anyio.sleep_until(self.cloud.work_until.get(endpoint, 0.0))


@dataclass(kw_only=True)
class Node:
    """One daemon that may become the planner of its data centre."""

    data_centre: str
    way: TroubledTable
    planning_view: PlanningView
    meter: FixedMeter
    planner: Planner
    scope: anyio.CancelScope | None = None


class PlannedSite:
    """Three data centres, each with a few daemons."""

    def __init__(
        self,
        *,
        seed=1,
        nodes_each=1,
        demands=USUAL,
        configuration=None,
        noise=0.0,
        policies=None,
        cloud=None,
        drains=None,
    ):
        self.randomness = random.Random(seed)
        self.configuration = configuration or configure()
        self.cloud = cloud or WatchedCloud()
        self.engines = MemoryEngines()
        self.table = MemoryTable()
        self.network = MemoryNetwork()
        self.weights = MemoryWeightStore()
        self.drains = drains or WorkDrains(cloud=self.cloud)
        self.policies = policies or CALM
        self.nodes = {}
        for data_centre in DATA_CENTRES:
            for number in range(nodes_each):
                share = 1 / (nodes_each * len(DATA_CENTRES))
                meter = FixedMeter(
                    demands=tuple(item.scaled(share) for item in demands),
                    noise=noise,
                    randomness=random.Random(seed),
                )
                self.add_node(data_centre, number, meter)

    def add_node(self, data_centre, number, meter, incarnation=1):
        daemon = DaemonId(f'{data_centre}-{number}')
        peers = self.network.join(daemon)
        way = TroubledTable(table=self.table)
        planning_view = PlanningView(
            data_centre=data_centre,
            meter=meter,
            ceilings=Ceilings(randomness=self.randomness),
            peers=peers,
        )
        planner = build_planner(
            site=PlannerSite(
                daemon=daemon,
                data_centre=data_centre,
                incarnation=incarnation,
                own_daemons=lambda: self.daemons_of(data_centre),
                other_daemons=lambda: {
                    name: self.daemons_of(name)
                    for name in DATA_CENTRES
                    if name != data_centre
                },
            ),
            ports=PlannerPorts(
                table=way,
                cloud=self.cloud,
                engines=self.engines,
                weights=self.weights,
                peers=peers,
            ),
            planning_view=planning_view,
            drains=self.drains,
            configuration=lambda: self.configuration,
            wall_clock=lambda: 0.0,
            randomness=random.Random(self.randomness.random()),
            load_reports=self.report,
            policies=self.policies,
        )
        node = Node(
            data_centre=data_centre,
            way=way,
            planning_view=planning_view,
            meter=meter,
            planner=planner,
        )
        self.nodes[daemon] = node
        return node

    def daemons_of(self, data_centre):
        return tuple(
            name
            for name, node in self.nodes.items()
            if node.data_centre == data_centre
        )

    def holder(self, data_centre):
        """Return the node that plans for a data centre now, if any."""
        for name in self.daemons_of(data_centre):
            if self.nodes[name].planner.lease is not None:
                return self.nodes[name]
        return None

    def any_holder(self):
        """Return a node that plans now; all make the same plan."""
        holders = (self.holder(name) for name in DATA_CENTRES)
        return next((node for node in holders if node is not None), None)

    def report(self):
        return [
            (engine.endpoint, engine.load_report(1))
            for engine in self.engines.by_id.values()
        ]

    def set_prices(self, *, spot=(1.0, 1.0, 1.0), fixed=3.0):
        for name, per_hour in zip(DATA_CENTRES, spot, strict=True):
            self.set_price(name, SPOT, per_hour)
            self.set_price(name, FIXED, fixed)

    def set_price(self, data_centre, market, per_hour):
        self.cloud.set_price(
            Price(
                data_centre=data_centre,
                machine_class='standard',
                market=market,
                per_hour=per_hour,
            )
        )

    async def run(self):
        """Run every daemon, and engines on the VMs, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.network.run)
            tasks.start_soon(self.run_engines)
            for node in list(self.nodes.values()):
                node.way.thawed.set()
                tasks.start_soon(self.run_node, node)
            await anyio.sleep_forever()

    async def run_node(self, node):
        with anyio.CancelScope() as node.scope:
            await node.planner.run()

    async def run_engines(self):
        while True:
            now = anyio.current_time()
            for vm, record in self.cloud.by_id.items():
                self.sync_engine(vm, record, now)
            await anyio.sleep(3.0)

    def sync_engine(self, vm, record, now):
        is_live = record.live_at <= now < record.gone_at
        engine = self.engines.by_id.get(EndpointId(vm))
        if engine is None and is_live:
            checks = self.configuration.models['itinerary'].checks_fencing
            engine = self.engines.add(as_endpoint(record.vm, checks))
            engine.speed.prefill_tokens_per_s = RATE.prefill_tokens_per_s
            engine.speed.decode_interval_s = RATE.decode_interval_s
            engine.speed.slots = RATE.slots
        elif engine is not None and not is_live:
            engine.die()

    def standing(self):
        """Return the VMs that exist and are not being taken back."""
        return [
            vm
            for vm in self.cloud.live_now()
            if not self.cloud.by_id[vm.id].was_reclaimed
        ]

    def per_hour(self):
        """Return the money an hour that is spent now."""
        return sum(
            self.cloud.prices_by_offer[
                vm.data_centre, vm.machine_class, vm.market
            ][-1].per_hour
            for vm in self.standing()
        )


def as_endpoint(vm: VM, checks_fencing: bool) -> Endpoint:
    return Endpoint(
        id=EndpointId(vm.id),
        vm=vm.id,
        address=vm.address,
        data_centre=vm.data_centre,
        machine_class=vm.machine_class,
        market=vm.market,
        model=vm.model,
        checks_fencing=checks_fencing,
    )


async def play(site, script, **prices):
    """Run a site beside a script, which ends it."""
    site.set_prices(**prices)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(site.run)
        result = await script(site)
        holder = site.any_holder()
        site.last_plan = holder.planner.plan if holder else None
        tasks.cancel_scope.cancel()
    return result
