"""Lifecycle of a daemon: ordered start-up and graceful stop."""

import socket
import ssl
import time
from collections.abc import Callable

import anyio
import anyio.abc
from starlette.applications import Starlette

from mimosamux_daemon.adapters.http_connections import CallerConnections
from mimosamux_daemon.adapters.http_server import listen, serve_http
from mimosamux_daemon.adapters.tls import ReloadingCertificate
from mimosamux_daemon.api.answers import REQUEST_HEADER
from mimosamux_daemon.api.app import (
    ReplaceableApp,
    build_app,
    build_starting_app,
)
from mimosamux_daemon.api.caller_gate import CallerGate
from mimosamux_daemon.api.exchanges import Exchange, ExchangeCounter
from mimosamux_daemon.callers import (
    MODEL_DAEMON_OWN_BYTES,
    CallerAccount,
    build_account,
)
from mimosamux_daemon.control.configuration import ConfigurationInForce
from mimosamux_daemon.control_parts import ControlParts, build_control
from mimosamux_daemon.domain.names import RequestId
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.metrics import Metrics
from mimosamux_daemon.parts import DaemonParts
from mimosamux_daemon.planning_parts import (
    build_planning,
    build_planning_view,
)
from mimosamux_daemon.platform import Platform, open_platform
from mimosamux_daemon.serving_parts import build_serving
from mimosamux_daemon.settings import Settings
from mimosamux_daemon.stopping import (
    StopCallbacks,
    StopSequence,
    find_close_grace,
    find_end,
    wait_for_notice,
)

log = get_log('daemon')


class Daemon:
    """One daemon process: its components, HTTP server and stop sequence.

    `run` returns after a stop requested with `stop`, by a reclaim notice or
    by a newer process with the same daemon name.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.settings = settings
        self.address = ''
        """`host:port` of the caller API; empty until the socket is open."""
        self.in_force = ConfigurationInForce()
        self.metrics = Metrics()
        self.listening = anyio.Event()
        """Set once callers and other daemons can connect."""
        self.started = anyio.Event()
        """Set once the daemon is ready to serve."""
        self.stopping = anyio.Event()
        self._closed = anyio.Event()
        self._reclaim_at: float | None = None
        """Time at which the platform reclaims this VM, if announced."""
        self._stop_scope = anyio.CancelScope()
        self._parts: DaemonParts | None = None
        """Components of the daemon once it serves."""
        self._wall_clock = wall_clock

    def stop(self) -> None:
        """Request a graceful stop."""
        self.stopping.set()

    async def run(self) -> None:
        """Serve until the stop, then finish or hand over open requests."""
        listener = listen(self.settings.host, self.settings.port)
        self.address = _address_of(listener)
        app = ReplaceableApp(current=build_starting_app(self._why_not_ready))
        connections = CallerConnections(account=self._build_account())
        exchanges = ExchangeCounter(
            app=CallerGate(
                app=app,
                account=connections.account,
                find_connection=connections.find,
                body_timeout_s=self.settings.body_timeout_s,
            ),
            is_stopping=self.stopping.is_set,
            note_cut=self._note_cut_answer,
        )
        async with (
            open_platform(self.settings) as platform,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(self._run_parts, platform, tasks, app, exchanges)
            tasks.start_soon(self._stop_on_reclaim, platform)
            await serve_http(
                exchanges,
                listener,
                shutdown=self._closed.wait,
                find_grace_s=self._find_close_grace,
                context=self._start_tls(tasks),
                connections=connections,
            )
            if self._parts is not None:
                self._parts.serving.note_cut_requests()
            tasks.cancel_scope.cancel()
        log.info('stopped', daemon=self.settings.daemon)

    async def _run_parts(
        self,
        platform: Platform,
        tasks: anyio.abc.TaskGroup,
        app: ReplaceableApp,
        exchanges: ExchangeCounter,
    ) -> None:
        control = self._build_control(platform)
        tasks.start_soon(self._stop_when_superseded, control)
        with anyio.CancelScope() as starting:
            tasks.start_soon(self._stop_early, starting)
            await self._start_control(tasks, control)
            control.membership.become_ready()
            # Table rows carry the incarnation, which is final only from
            # here on. If it changed later, this daemon's own calls and
            # records would look like those of a dead incarnation.
            parts = self._build_parts(platform, control, tasks)
            self._parts = parts
            app.current = self._build_app(parts)
            await self._start_serving(tasks, parts)
        if self.started.is_set():
            await self._stop_in_order(parts, exchanges)
        self._closed.set()

    async def _start_control(
        self, tasks: anyio.abc.TaskGroup, control: ControlParts
    ) -> None:
        tasks.start_soon(control.peers.run)
        await control.peers.listening.wait()
        await control.seeds.poll()
        tasks.start_soon(control.seeds.run)
        tasks.start_soon(control.membership.run)
        tasks.start_soon(control.acceptor.run)
        log.info(
            'listening',
            daemon=self.settings.daemon,
            address=self.address,
            peer_address=control.peers.address,
        )
        self.listening.set()
        await control.start()
        tasks.start_soon(control.sync.run)

    async def _start_serving(
        self, tasks: anyio.abc.TaskGroup, parts: DaemonParts
    ) -> None:
        await parts.serving.endpoint_poller.poll_vms()
        parts.serving.start(tasks)
        if parts.planning.planner is not None:
            tasks.start_soon(parts.planning.planner.run)
        self.started.set()
        log.info(
            'ready',
            daemon=self.settings.daemon,
            version=self.in_force.current.version,
        )

    def _build_account(self) -> CallerAccount:
        account = build_account(
            own_bytes=MODEL_DAEMON_OWN_BYTES,
            memory_mb=self.settings.memory_mb,
            descriptors=self.settings.descriptors,
            metrics=self.metrics,
        )
        self.metrics.watch_callers(account)
        return account

    def _build_control(self, platform: Platform) -> ControlParts:
        return build_control(
            settings=self.settings,
            platform=platform,
            metrics=self.metrics,
            in_force=self.in_force,
            caller_address=lambda: self.address,
            wall_clock=self._wall_clock,
        )

    def _build_parts(
        self,
        platform: Platform,
        control: ControlParts,
        tasks: anyio.abc.TaskGroup,
    ) -> DaemonParts:
        planning_view = build_planning_view(self.settings, control)
        serving = build_serving(
            settings=self.settings,
            platform=platform,
            control=control,
            planning_view=planning_view,
            metrics=self.metrics,
            wall_clock=self._wall_clock,
            tasks=tasks,
        )
        planning = build_planning(
            settings=self.settings,
            platform=platform,
            control=control,
            serving=serving,
            planning_view=planning_view,
            wall_clock=self._wall_clock,
        )
        return DaemonParts(control=control, serving=serving, planning=planning)

    def _build_app(self, parts: DaemonParts) -> Starlette:
        return build_app(
            settings=self.settings,
            parts=parts,
            metrics=self.metrics,
            why_not_ready=self._why_not_ready,
            drain=self.stop,
        )

    async def _stop_on_reclaim(self, platform: Platform) -> None:
        notice_s = await wait_for_notice(platform.cloud, self.settings.vm)
        self._reclaim_at = anyio.current_time() + notice_s
        self.stopping.set()
        # Restart a running stop without a deadline, with the deadline.
        self._stop_scope.cancel()

    async def _stop_when_superseded(self, control: ControlParts) -> None:
        """Stop when a newer process uses this daemon's name."""
        await control.membership.superseded.wait()
        self.stopping.set()

    async def _stop_early(self, starting: anyio.CancelScope) -> None:
        """Abort the start-up if a stop is requested before it completes."""
        await self.stopping.wait()
        if not self.started.is_set():
            starting.cancel()

    async def _stop_in_order(
        self, parts: DaemonParts, exchanges: ExchangeCounter
    ) -> None:
        await self.stopping.wait()
        sequence = StopSequence(
            callbacks=_build_stop_callbacks(parts, exchanges),
            grace_s=self.settings.stop_grace_s,
        )
        while not self._closed.is_set():
            with anyio.CancelScope() as self._stop_scope:
                parts.serving.intake.begin_stop(
                    ends_at=find_end(self._reclaim_at)
                )
                await sequence.run(self._reclaim_at)
                self._closed.set()

    def _note_cut_answer(self, exchange: Exchange) -> None:
        if self._parts is not None:
            self._parts.serving.note_cut_answer(
                request=RequestId(exchange.answer_header(REQUEST_HEADER)),
                path=exchange.path,
                began_at=exchange.began_at,
            )

    def _find_close_grace(self) -> float:
        return find_close_grace(self._reclaim_at, now=anyio.current_time())

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
    """Return a daemon with these settings."""
    return Daemon(settings=settings)


def _build_stop_callbacks(
    parts: DaemonParts, exchanges: ExchangeCounter
) -> StopCallbacks:
    serving = parts.serving
    return StopCallbacks(
        leave=parts.control.membership.leave,
        has_peers=serving.targets.has_targets,
        drained_at=lambda: parts.control.discovery.drained_at,
        open_requests=serving.count_open,
        open_answers=exchanges.count_answers,
        close_intake=serving.intake.close,
        hand_over=serving.handover.hand_over,
        drain_side_effects=serving.drain,
    )


def _address_of(listener: socket.socket) -> str:
    host, port = listener.getsockname()[:2]
    return f'{host}:{port}'
