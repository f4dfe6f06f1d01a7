"""The HTTP application of a daemon."""

from collections.abc import Callable
from dataclasses import dataclass

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route
from starlette.types import ASGIApp, Receive, Scope, Send

from mimosamux_daemon.api.callers import CallerRoutes
from mimosamux_daemon.api.discovery import DiscoveryRoutes
from mimosamux_daemon.api.errors import outcome_response
from mimosamux_daemon.api.monitoring import MonitoringRoutes, Readiness
from mimosamux_daemon.api.operators import OperatorRoutes
from mimosamux_daemon.api.services import ServiceRoutes
from mimosamux_daemon.control.audit_trail import AuditTrail
from mimosamux_daemon.domain.outcomes import Reason, Refused
from mimosamux_daemon.metrics import Metrics
from mimosamux_daemon.parts import DaemonParts
from mimosamux_daemon.settings import Settings
from mimosamux_daemon.status_report import StatusReport

STARTING_RETRY_S = 1.0
ALL_METHODS = ['GET', 'POST', 'PUT', 'PATCH', 'DELETE', 'HEAD', 'OPTIONS']


@dataclass(kw_only=True, slots=True)
class SwitchedApp:
    """An application that another one takes the place of while it runs."""

    current: ASGIApp

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Have the current application answer."""
        await self.current(scope, receive, send)


def build_starting_app(why_not_ready: Readiness) -> Starlette:
    """Return the routes of a daemon that does not serve yet."""

    async def healthz(request: Request) -> Response:
        return PlainTextResponse('ok\n')

    async def readyz(request: Request) -> Response:
        return PlainTextResponse(f'{why_not_ready()}\n', status_code=503)

    async def refuse(request: Request) -> Response:
        return outcome_response(
            Refused(
                reason=Reason.NO_CONFIGURATION,
                message='this daemon is starting; use another one',
                retry_after_s=STARTING_RETRY_S,
            )
        )

    return Starlette(
        routes=[
            Route('/healthz', healthz),
            Route('/readyz', readyz),
            Route('/{path:path}', refuse, methods=ALL_METHODS),
        ]
    )


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
    status = StatusReport(
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
