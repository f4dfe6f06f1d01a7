"""Routes for health checks, readiness checks and metrics."""

from collections.abc import Callable
from dataclasses import dataclass

from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route

from mimosamux_daemon.control.configuration import ConfigurationInForce
from mimosamux_daemon.metrics import Metrics

ReadinessCheck = Callable[[], str | None]
"""Returns why the daemon is not ready, or None if it is."""


@dataclass(frozen=True, kw_only=True, slots=True)
class MonitoringRoutes:
    """Handlers of the health and metrics routes."""

    in_force: ConfigurationInForce
    metrics: Metrics | None = None
    readiness: tuple[ReadinessCheck, ...] = ()
    """ReadinessCheck checks besides that for a configuration."""

    def routes(self) -> list[Route]:
        """Return the routes for the application."""
        return [
            Route('/healthz', self.healthz),
            Route('/readyz', self.readyz),
            Route('/metrics', self.show_metrics),
        ]

    async def healthz(self, request: Request) -> Response:
        """Answer 200 as long as the process runs."""
        return PlainTextResponse('ok\n')

    async def readyz(self, request: Request) -> Response:
        """Answer 200 if the daemon is ready, else 503 with the reasons."""
        reasons = [reason for check in self.readiness if (reason := check())]
        if self.in_force.current.version == 0:
            reasons.insert(0, 'no configuration')
        if reasons:
            text = ''.join(f'{reason}\n' for reason in reasons)
            return PlainTextResponse(text, status_code=503)
        return PlainTextResponse('ready\n')

    async def show_metrics(self, request: Request) -> Response:
        """Answer with all metrics in the format that `Accept` asks for."""
        if self.metrics is None:
            return PlainTextResponse('no metrics\n', status_code=404)
        accept = request.headers.getlist('accept')
        content, headers = self.metrics.render(accept)
        return Response(content, headers=headers)
