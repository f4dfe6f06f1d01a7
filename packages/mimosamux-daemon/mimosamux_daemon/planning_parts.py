"""Composition root of the planning of endpoint VMs at one daemon."""

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from mimosamux_daemon.control.build_planner import (
    PlannerPorts,
    PlannerSite,
    build_planner,
)
from mimosamux_daemon.control.ceilings import Ceilings
from mimosamux_daemon.control.demand import DemandMeter
from mimosamux_daemon.control.drains import FleetDrainer
from mimosamux_daemon.control.planner import Planner
from mimosamux_daemon.control.planning_exchange import PlanningView
from mimosamux_daemon.control_parts import ControlParts, guard_table
from mimosamux_daemon.domain.engine import LoadReport
from mimosamux_daemon.domain.names import DaemonId, DataCentreName
from mimosamux_daemon.domain.vms import Endpoint
from mimosamux_daemon.platform import Platform
from mimosamux_daemon.serving_parts import ServingParts
from mimosamux_daemon.settings import Settings


@dataclass(kw_only=True)
class PlanningParts:
    """Planning view of a daemon, and its planner if it plans VMs."""

    planning_view: PlanningView
    planner: Planner | None


def build_planning_view(
    settings: Settings, control: ControlParts
) -> PlanningView:
    """Return an empty planning view for this daemon."""
    return PlanningView(
        data_centre=settings.data_centre,
        meter=DemandMeter(),
        ceilings=Ceilings(randomness=random.Random()),
        peers=control.peers,
    )


def build_planning(
    *,
    settings: Settings,
    platform: Platform,
    control: ControlParts,
    serving: ServingParts,
    planning_view: PlanningView,
    wall_clock: Callable[[], float],
) -> PlanningParts:
    """Build the planner, if the settings let this daemon plan VMs.

    The planner stays idle until it acquires the lease of its data centre.
    """
    if not settings.plans_vms:
        return PlanningParts(planning_view=planning_view, planner=None)
    membership = control.membership
    here = settings.data_centre

    def other_daemons() -> Mapping[DataCentreName, tuple[DaemonId, ...]]:
        return {
            name: membership.members(name)
            for name in membership.data_centres()
            if name != here
        }

    def load_reports() -> Sequence[tuple[Endpoint, LoadReport | None]]:
        return [
            (state.endpoint, state.report)
            for state in serving.fleet.by_id.values()
        ]

    planner = build_planner(
        site=PlannerSite(
            daemon=settings.daemon,
            data_centre=here,
            incarnation=membership.incarnation,
            own_daemons=lambda: membership.members(here),
            other_daemons=other_daemons,
        ),
        ports=PlannerPorts(
            table=guard_table(control.guard, platform, 'planner'),
            cloud=platform.cloud,
            engines=platform.engines,
            weights=platform.weights,
            peers=control.peers,
        ),
        planning_view=planning_view,
        drains=FleetDrainer(
            fleet=serving.fleet,
            announce=serving.endpoint_poller.announce_leaving,
        ),
        configuration=lambda: control.in_force.current,
        wall_clock=wall_clock,
        randomness=random.Random(),
        load_reports=load_reports,
    )
    return PlanningParts(planning_view=planning_view, planner=planner)
