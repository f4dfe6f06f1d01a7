"""Routes for monitoring."""

from dataclasses import dataclass

from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route

from mimosamux_daemon.control.configuration import ConfigurationInForce


@dataclass(frozen=True, kw_only=True, slots=True)
class MonitoringRoutes:
    """Handlers of the health routes."""

    in_force: ConfigurationInForce

    def routes(self) -> list[Route]:
        """Return the routes for the application."""
        return [
            Route('/healthz', self.healthz),
            Route('/readyz', self.readyz),
        ]

    async def healthz(self, request: Request) -> Response:
        """Answer 200 as long as the process runs."""
        return PlainTextResponse('ok\n')

    async def readyz(self, request: Request) -> Response:
        """Answer 200 once a configuration is in force."""
        if self.in_force.current.version == 0:
            return PlainTextResponse('no configuration\n', status_code=503)
        return PlainTextResponse('ready\n')
