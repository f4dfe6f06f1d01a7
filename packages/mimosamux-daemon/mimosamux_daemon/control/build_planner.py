"""Assembles a planner from its ports, policies and callbacks."""

import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from mimosamux_daemon.control.backoff import Backoff
from mimosamux_daemon.control.drains import EndpointDrainer
from mimosamux_daemon.control.lease_keeper import LeaseKeeper
from mimosamux_daemon.control.leases import LeasePolicy, LeaseTable
from mimosamux_daemon.control.order_rows import VMOrder
from mimosamux_daemon.control.orders import OrderDependencies, OrderPolicy
from mimosamux_daemon.control.planner import (
    LoadReports,
    Planner,
    PlannerPolicy,
)
from mimosamux_daemon.control.planning_exchange import (
    PlanningExchange,
    PlanningView,
)
from mimosamux_daemon.control.rates import RateEstimates
from mimosamux_daemon.control.weight_queue import WeightQueue
from mimosamux_daemon.domain.configuration import Configuration
from mimosamux_daemon.domain.names import DaemonId, DataCentreName
from mimosamux_daemon.ports.models.cloud import Cloud
from mimosamux_daemon.ports.models.engine import Engines
from mimosamux_daemon.ports.models.weight_store import WeightStore
from mimosamux_daemon.ports.peer import Peers
from mimosamux_daemon.ports.table import Table


@dataclass(frozen=True, kw_only=True, slots=True)
class PlannerPorts:
    """Ports of a planner to systems outside the daemon."""

    table: Table
    cloud: Cloud
    engines: Engines
    weights: WeightStore
    peers: Peers | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class PlannerSite:
    """Identity of a planner, and the daemons that it communicates with."""

    daemon: DaemonId
    data_centre: DataCentreName
    incarnation: int
    own_daemons: Callable[[], Iterable[DaemonId]] = tuple
    """Return the daemons of the same data centre."""
    other_daemons: Callable[
        [], Mapping[DataCentreName, tuple[DaemonId, ...]]
    ] = dict
    """Return the daemons of each other data centre."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PlannerPolicies:
    """Policies of the lease, the orders and the planner."""

    lease: LeasePolicy = field(default_factory=LeasePolicy)
    orders: OrderPolicy = field(default_factory=OrderPolicy)
    planner: PlannerPolicy = field(default_factory=PlannerPolicy)


def build_planner(
    *,
    site: PlannerSite,
    ports: PlannerPorts,
    planning_view: PlanningView,
    drains: EndpointDrainer,
    configuration: Callable[[], Configuration],
    wall_clock: Callable[[], float],
    randomness: random.Random,
    load_reports: LoadReports = tuple,
    on_ready: Callable[[VMOrder], None] = lambda _: None,
    policies: PlannerPolicies | None = None,
) -> Planner:
    """Build a planner; its `run` acquires the lease and then plans."""
    policies = policies or PlannerPolicies()

    def all_check_fencing() -> bool:
        models = configuration().models.values()
        return bool(models) and all(spec.checks_fencing for spec in models)

    keeper = LeaseKeeper(
        leases=LeaseTable(
            table=ports.table,
            name=f'planner/{site.data_centre}',
            holder=site.daemon,
            incarnation=site.incarnation,
            wall_clock=wall_clock,
            policy=policies.lease,
        ),
        policy=policies.lease,
        randomness=randomness,
        fencing_is_honoured=all_check_fencing,
    )
    dependencies = OrderDependencies(
        cloud=ports.cloud,
        engines=ports.engines,
        drains=drains,
        weights=WeightQueue(
            weights=ports.weights, data_centre=site.data_centre
        ),
        backoff=Backoff(randomness=randomness),
        configuration=configuration,
        randomness=randomness,
        policy=policies.orders,
        on_ready=on_ready,
    )
    exchange = PlanningExchange(
        daemon=site.daemon,
        planning_view=planning_view,
        peers=ports.peers,
        own_daemons=site.own_daemons,
        other_daemons=site.other_daemons,
        randomness=randomness,
    )
    return Planner(
        data_centre=site.data_centre,
        daemon=site.daemon,
        keeper=keeper,
        table=ports.table,
        dependencies=dependencies,
        exchange=exchange,
        rates=RateEstimates(),
        configuration=configuration,
        wall_clock=wall_clock,
        load_reports=load_reports,
        policy=policies.planner,
    )
