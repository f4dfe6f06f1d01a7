"""One daemon: starts its parts in order and stops them in order."""

import random
import socket
import ssl
import time
from collections.abc import Callable

import anyio
import anyio.abc
from starlette.applications import Starlette

from mimosamux_daemon.adapters.http_server import listen, serve_http
from mimosamux_daemon.adapters.tls import ReloadingCertificate
from mimosamux_daemon.api.callers import CallerRoutes
from mimosamux_daemon.api.monitoring import MonitoringRoutes
from mimosamux_daemon.api.services import ServiceRoutes
from mimosamux_daemon.control.ceilings import Ceilings
from mimosamux_daemon.control.configuration import ConfigurationInForce
from mimosamux_daemon.control_parts import ControlParts, build_control
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.metrics import Metrics
from mimosamux_daemon.platform import Platform, build_platform
from mimosamux_daemon.serving_parts import ServingParts, build_serving
from mimosamux_daemon.settings import Settings

log = get_log('daemon')


class Daemon:
    """One daemon; `run` returns after `stop` was asked for."""

    def __init__(
        self,
        *,
        settings: Settings,
        platform: Platform,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.settings = settings
        self.platform = platform
        self.address = ''
        """`host:port` of the caller API once it listens."""
        self.in_force = ConfigurationInForce()
        self.metrics = Metrics()
        self.ceilings = Ceilings(randomness=random.Random())
        self.listening = anyio.Event()
        self.started = anyio.Event()
        """Set once the daemon is ready to serve."""
        self.stopping = anyio.Event()
        self._wall_clock = wall_clock

    def stop(self) -> None:
        """Ask for a graceful stop."""
        self.stopping.set()

    async def run(self) -> None:
        """Serve until the stop, and finish what is open by then."""
        listener = listen(self.settings.host, self.settings.port)
        self.address = _address_of(listener)
        async with anyio.create_task_group() as tasks:
            control = self._build_control()
            serving = build_serving(
                settings=self.settings,
                platform=self.platform,
                control=control,
                ceilings=self.ceilings,
                metrics=self.metrics,
                wall_clock=self._wall_clock,
                tasks=tasks,
            )
            await self._start(tasks, control, serving)
            await serve_http(
                self._build_app(control, serving),
                listener,
                shutdown=self.stopping.wait,
                grace_s=self.settings.stop_grace_s,
                context=self._start_tls(tasks),
            )
            tasks.cancel_scope.cancel()
        with anyio.CancelScope(shield=True):
            await self.platform.close()
        log.info('stopped', daemon=self.settings.daemon)

    async def _start(
        self,
        tasks: anyio.abc.TaskGroup,
        control: ControlParts,
        serving: ServingParts,
    ) -> None:
        tasks.start_soon(control.peers.run)
        await control.peers.listening.wait()
        tasks.start_soon(control.membership.run)
        tasks.start_soon(control.acceptor.run)
        serving.start(tasks)
        tasks.start_soon(self._become_ready, tasks, control, serving)
        log.info(
            'listening',
            daemon=self.settings.daemon,
            address=self.address,
            peer_address=control.peers.address,
        )
        self.listening.set()

    async def _become_ready(
        self,
        tasks: anyio.abc.TaskGroup,
        control: ControlParts,
        serving: ServingParts,
    ) -> None:
        await control.start()
        tasks.start_soon(control.sync.run)
        await serving.keeper.poll_vms()
        control.membership.become_ready()
        self.started.set()
        log.info(
            'ready',
            daemon=self.settings.daemon,
            version=self.in_force.current.version,
        )

    def _build_control(self) -> ControlParts:
        return build_control(
            settings=self.settings,
            platform=self.platform,
            metrics=self.metrics,
            in_force=self.in_force,
            caller_address=lambda: self.address,
            wall_clock=self._wall_clock,
        )

    def _build_app(
        self, control: ControlParts, serving: ServingParts
    ) -> Starlette:
        callers = CallerRoutes(in_force=self.in_force, serving=serving.models)
        services = ServiceRoutes(
            in_force=self.in_force, calls=serving.services
        )
        monitoring = MonitoringRoutes(
            in_force=self.in_force,
            metrics=self.metrics,
            readiness=(self._why_not_ready,),
        )
        return Starlette(
            routes=[
                *callers.routes(),
                *services.routes(),
                *monitoring.routes(),
            ]
        )

    def _why_not_ready(self) -> str | None:
        if self.stopping.is_set():
            return 'stopping'
        return None if self.started.is_set() else 'starting'

    def _start_tls(self, tasks: anyio.abc.TaskGroup) -> ssl.SSLContext | None:
        if self.settings.tls is None:
            return None
        certificate = ReloadingCertificate(files=self.settings.tls)
        tasks.start_soon(certificate.run)
        return certificate.context


def build_daemon(settings: Settings) -> Daemon:
    """Return a daemon over the platform that its settings name."""
    return Daemon(settings=settings, platform=build_platform(settings))


def _address_of(listener: socket.socket) -> str:
    host, port = listener.getsockname()[:2]
    return f'{host}:{port}'
