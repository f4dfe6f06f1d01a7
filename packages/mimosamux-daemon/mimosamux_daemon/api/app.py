"""The HTTP application of a daemon."""

from collections.abc import Callable

from starlette.applications import Starlette

from mimosamux_daemon.api.callers import CallerRoutes
from mimosamux_daemon.api.discovery import DiscoveryRoutes
from mimosamux_daemon.api.monitoring import MonitoringRoutes, Readiness
from mimosamux_daemon.api.operators import OperatorRoutes
from mimosamux_daemon.api.services import ServiceRoutes
from mimosamux_daemon.control.audit_trail import AuditTrail
from mimosamux_daemon.metrics import Metrics
from mimosamux_daemon.parts import DaemonParts
from mimosamux_daemon.settings import Settings
from mimosamux_daemon.status_parts import StatusParts


def build_app(
    *,
    settings: Settings,
    parts: DaemonParts,
    metrics: Metrics,
    why_not_ready: Readiness,
    drain: Callable[[], None],
) -> Starlette:
    """Return every route of a daemon."""
    in_force = parts.control.in_force
    callers = CallerRoutes(in_force=in_force, serving=parts.serving.models)
    services = ServiceRoutes(in_force=in_force, calls=parts.serving.services)
    discovery = DiscoveryRoutes(
        in_force=in_force, discovery=parts.control.discovery
    )
    monitoring = MonitoringRoutes(
        in_force=in_force, metrics=metrics, readiness=(why_not_ready,)
    )
    return Starlette(
        routes=[
            *callers.routes(),
            *services.routes(),
            *discovery.routes(),
            *build_operators(settings, parts, drain).routes(),
            *monitoring.routes(),
        ]
    )


def build_operators(
    settings: Settings, parts: DaemonParts, drain: Callable[[], None]
) -> OperatorRoutes:
    """Return the routes for operators."""
    control = parts.control
    status = StatusParts(
        serving=parts.serving,
        planning=parts.planning,
        first_tokens=parts.serving.models.first_tokens,
        configuration=lambda: control.in_force.current,
    )
    return OperatorRoutes(
        roles_by_digest=settings.operator_tokens,
        replica=control.replica,
        acceptor=control.acceptor,
        log=control.log,
        membership=control.membership,
        audit=AuditTrail(table=control.audit_table),
        drain=drain,
        endpoints=status.endpoints,
        classes=status.classes,
    )
