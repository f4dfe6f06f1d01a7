"""ASGI applications of a daemon while it starts and while it serves."""

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
from mimosamux_daemon.api.monitoring import MonitoringRoutes, ReadinessCheck
from mimosamux_daemon.api.operators import OperatorRoutes
from mimosamux_daemon.api.services import ServiceRoutes
from mimosamux_daemon.control.audit_trail import AuditTrail
from mimosamux_daemon.domain.outcomes import Reason, Refused
from mimosamux_daemon.metrics import Metrics
from mimosamux_daemon.parts import DaemonParts
from mimosamux_daemon.settings import Settings
from mimosamux_daemon.status_report import StatusReport

STARTING_RETRY_S = 1.0
"""`Retry-After` of a daemon that is starting, in seconds."""
ALL_METHODS = ['GET', 'POST', 'PUT', 'PATCH', 'DELETE', 'HEAD', 'OPTIONS']


@dataclass(kw_only=True, slots=True)
class ReplaceableApp:
    """An ASGI application that can be replaced while the server runs."""

    current: ASGIApp

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Delegate to the current application."""
        await self.current(scope, receive, send)


def build_starting_app(why_not_ready: ReadinessCheck) -> Starlette:
    """Return the application of a daemon that is starting.

    It answers health checks and refuses every other request.
    """

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
    why_not_ready: ReadinessCheck,
    drain: Callable[[], None],
) -> Starlette:
    """Return the application with all routes of a daemon."""
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
            *build_operator_routes(settings, parts, drain).routes(),
            *monitoring.routes(),
        ]
    )


def build_operator_routes(
    settings: Settings, parts: DaemonParts, drain: Callable[[], None]
) -> OperatorRoutes:
    """Return the operator API over the parts of a daemon."""
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
