"""All components of a running daemon."""

from dataclasses import dataclass

from mimosamux_daemon.control_parts import ControlParts
from mimosamux_daemon.planning_parts import PlanningParts
from mimosamux_daemon.serving_parts import ServingParts


@dataclass(kw_only=True)
class DaemonParts:
    """Control, serving and planning components of one daemon."""

    control: ControlParts
    serving: ServingParts
    planning: PlanningParts
