"""Puts the parts of a daemon together and runs them."""

import socket
import ssl
from dataclasses import dataclass, field

import anyio
import anyio.abc
from starlette.applications import Starlette

from mimosamux_daemon.adapters.http_server import listen, serve_http
from mimosamux_daemon.adapters.tls import ReloadingCertificate
from mimosamux_daemon.api.callers import CallerRoutes
from mimosamux_daemon.api.monitoring import MonitoringRoutes
from mimosamux_daemon.control.configuration import ConfigurationInForce
from mimosamux_daemon.control.configuration_models import parse_configuration
from mimosamux_daemon.embedded import EmbeddedPlatform
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports import Engines
from mimosamux_daemon.serving.admission import Admission
from mimosamux_daemon.serving.fleet import Fleet
from mimosamux_daemon.serving.model_serving import ModelServing
from mimosamux_daemon.serving.requests import RequestRegistry
from mimosamux_daemon.serving.routing import Router
from mimosamux_daemon.settings import Settings

log = get_log('daemon')


@dataclass(kw_only=True)
class Daemon:
    """One daemon; `run` returns after `stop` was asked for."""

    settings: Settings
    engines: Engines
    fleet: Fleet = field(default_factory=Fleet)
    in_force: ConfigurationInForce = field(
        default_factory=ConfigurationInForce
    )
    registry: RequestRegistry = field(default_factory=RequestRegistry)
    started: anyio.Event = field(default_factory=anyio.Event)
    stopping: anyio.Event = field(default_factory=anyio.Event)
    address: str = ''

    def stop(self) -> None:
        """Ask for a graceful stop."""
        self.stopping.set()

    async def run(self) -> None:
        """Serve until the stop, and finish what is open by then."""
        listener = listen(self.settings.host, self.settings.port)
        self.address = _address_of(listener)
        async with anyio.create_task_group() as tasks:
            context = self._start_tls(tasks)
            app = self._build_app(tasks)
            log.info(
                'listening',
                daemon=self.settings.daemon,
                address=self.address,
            )
            self.started.set()
            await serve_http(
                app,
                listener,
                shutdown=self.stopping.wait,
                grace_s=self.settings.stop_grace_s,
                context=context,
            )
            tasks.cancel_scope.cancel()
        log.info('stopped', daemon=self.settings.daemon)

    def _start_tls(self, tasks: anyio.abc.TaskGroup) -> ssl.SSLContext | None:
        if self.settings.tls is None:
            return None
        certificate = ReloadingCertificate(files=self.settings.tls)
        tasks.start_soon(certificate.run)
        return certificate.context

    def _build_app(self, tasks: anyio.abc.TaskGroup) -> Starlette:
        serving = ModelServing(
            engines=self.engines,
            fleet=self.fleet,
            router=Router(fleet=self.fleet),
            admission=Admission(),
            registry=self.registry,
            tasks=tasks,
        )
        callers = CallerRoutes(in_force=self.in_force, serving=serving)
        monitoring = MonitoringRoutes(in_force=self.in_force)
        return Starlette(routes=[*callers.routes(), *monitoring.routes()])


def build_daemon(settings: Settings) -> Daemon:
    """Return a daemon with the adapters that its settings ask for."""
    platform = EmbeddedPlatform(data_centre=settings.data_centre)
    daemon = Daemon(settings=settings, engines=platform.engines)
    for endpoint in platform.endpoints():
        daemon.fleet.add(endpoint)
    if settings.configuration is not None:
        daemon.in_force.take(
            parse_configuration(settings.configuration, version=1)
        )
    return daemon


def _address_of(listener: socket.socket) -> str:
    host, port = listener.getsockname()[:2]
    return f'{host}:{port}'
