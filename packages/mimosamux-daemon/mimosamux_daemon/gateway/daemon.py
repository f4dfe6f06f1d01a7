"""A gateway daemon: its listeners, start, readiness and stop."""

import random
import time
from collections.abc import Callable

import anyio
import anyio.abc

from mimosamux_daemon.adapters.http1_exchange import Handler
from mimosamux_daemon.adapters.http1_requests import Screen
from mimosamux_daemon.adapters.http1_server import Http1Server
from mimosamux_daemon.adapters.tcp_network import TcpNetwork
from mimosamux_daemon.adapters.tunnel_server import TunnelServer
from mimosamux_daemon.callers import (
    GATEWAY_OWN_BYTES,
    Newcomers,
    ParseTurns,
    build_account,
)
from mimosamux_daemon.control.members import MemberState
from mimosamux_daemon.gateway.clock import steady_time
from mimosamux_daemon.gateway.discovery import Discovery
from mimosamux_daemon.gateway.duties.parts import DutyParts
from mimosamux_daemon.gateway.monitor import Monitor
from mimosamux_daemon.gateway.parts import GatewayParts
from mimosamux_daemon.gateway.settings import GatewaySettings
from mimosamux_daemon.gateway.shared_time import SharedTime
from mimosamux_daemon.gateway.stopping.acceptor import Acceptor
from mimosamux_daemon.gateway.stopping.graceful_stop import (
    GracefulStop,
    begin_stop,
)
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.gateway_platform import GatewayPlatform
from mimosamux_daemon.ports.network import Network

log = get_log('daemon')

FIRST_READ_TIMEOUT_S = 0.5
"""Longest wait for the first read of the tables before the daemon listens.
They arrive within 20 ms of the start. Without them, requests that wait to be
accepted would be refused, to be retried 0.5 s later."""


class GatewayDaemon:
    """One daemon; `run` serves until `stop` is called."""

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        platform: GatewayPlatform,
        shared_time: SharedTime,
        network: Network | None = None,
        clock: Callable[[], float] = steady_time,
        wall_clock: Callable[[], float] = time.time,
        rng: random.Random | None = None,
    ) -> None:
        self.settings = settings
        self.started = anyio.Event()
        self._platform = platform
        self._network = TcpNetwork() if network is None else network
        self._clock = clock
        self._stopping = anyio.Event()
        self._signalled_at = 0.0
        """Time of the signal that began the stop."""
        self._duties_scope = anyio.CancelScope()
        self.parts = GatewayParts(
            settings=settings,
            platform=platform,
            shared_time=shared_time,
            network=self._network,
            clock=clock,
            wall_clock=wall_clock,
            rng=random.Random() if rng is None else rng,
        )
        self._account = build_account(
            own_bytes=GATEWAY_OWN_BYTES,
            memory_mb=settings.memory_mb,
            descriptors=settings.descriptors,
            metrics=self.parts.metrics,
        )
        self._turns = ParseTurns()
        handler = platform.create_request_handler(self.parts.forwarder)
        self._server = self._build_server(
            handler.handle, takes_bodies=True, screen=handler
        )
        self._tunnels = TunnelServer(
            network=self._network,
            is_endpoint=self.parts.reach.is_endpoint,
            note_end=self._note_tunnel,
            newcomers=Newcomers(descriptors=settings.descriptors),
        )

    def stop(self, *, signalled_s_ago: float = 0.0) -> None:
        """Begin a graceful stop, whose signal came some seconds ago."""
        if not self._stopping.is_set():
            self._signalled_at = self._clock() - signalled_s_ago
            self._stopping.set()

    def reload(self, settings: GatewaySettings) -> None:
        """Apply the settings that may change at run time: the seeds."""
        log.info('settings_reloaded', seeds=len(settings.seeds))
        self.parts.states.add_daemons(settings.seeds)

    async def run(self) -> None:
        """Serve until the stop, then finish the requests in flight."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._platform.run)
            tasks.start_soon(self.parts.peers.run)
            await self.parts.peers.listening.wait()
            self.parts.states.add_daemons(self.settings.seeds)
            for task in self.parts.background_tasks():
                tasks.start_soon(task)
            with anyio.move_on_after(FIRST_READ_TIMEOUT_S):
                await self.parts.wait_for_first_read()
            await self._listen(tasks)
            tasks.start_soon(self._become_ready)
            tasks.start_soon(self._run_duties)
            await self._stopping.wait()
            await self._stop(tasks)
            tasks.cancel_scope.cancel()
        log.info(
            'stopped',
            daemon=self.settings.daemon,
            behind_s=round(self.parts.stop_window.behind_s(self._clock()), 3),
        )

    def is_ready(self) -> bool:
        """Whether discovery may direct clients to this daemon."""
        return self.parts.states.state is MemberState.READY

    def _build_server(
        self,
        handler: Handler,
        *,
        takes_bodies: bool = False,
        screen: Screen | None = None,
    ) -> Http1Server:
        return Http1Server(
            handler=handler,
            limits=lambda: self.parts.configuration.current.limits,
            account=self._account,
            turns=self._turns,
            screen=screen,
            takes_bodies=takes_bodies,
            body_timeout_s=self.settings.body_timeout_s,
        )

    async def _listen(self, tasks: anyio.abc.TaskGroup) -> None:
        discovery_server = self._build_server(
            self._platform.create_discovery_handler(
                Discovery(
                    states=self.parts.states,
                    is_cut_off=lambda: self.parts.reach.is_any_cut_off,
                    clock=self._clock,
                ),
                self.is_ready,
            )
        )
        for address in {self.settings.discovery, self.settings.readiness}:
            await self._serve(tasks, address, discovery_server)
        if self.settings.metrics:
            monitor = self._build_server(self._build_monitor().handle)
            await self._serve(tasks, self.settings.metrics, monitor)
        if self.settings.place.tunnel:
            await self._serve(
                tasks,
                self.settings.place.tunnel,
                self._tunnels,
            )
        self._entry = await self._serve(
            tasks, self.settings.entry, self._server
        )
        log.info(
            'listening',
            daemon=self.settings.daemon,
            entry=self.settings.entry,
            peers=self.settings.place.id,
        )

    def _note_tunnel(self, result: str) -> None:
        labels = {'side': 'served', 'result': result}
        self.parts.metrics.tunnels.inc(labels)

    def _build_monitor(self) -> Monitor:
        return Monitor(
            daemon=self.settings.daemon,
            metrics=self.parts.metrics,
            configuration=self.parts.configuration,
            roster=self.parts.roster,
            states=self.parts.states,
            quarantine=self.parts.quarantine,
            rollouts=self.parts.rollouts,
            trials=self.parts.trials,
            duties=self.parts.duties,
            store_era=self._platform.store_era,
            account=self._account,
            open_requests=lambda: self._server.open_requests,
            is_stopping=lambda: self.parts.stop_window.is_stopping,
            clock=self._clock,
        )

    async def _serve(
        self,
        tasks: anyio.abc.TaskGroup,
        address: str,
        server: Http1Server | TunnelServer,
    ) -> Acceptor:
        listener = await self._network.listen(address)
        if isinstance(server, Http1Server):
            listener.may_accept = self._account.may_accept
            listener.limit_buffers()
        else:
            listener.may_accept = server.newcomers.may_accept
        acceptor = Acceptor(
            listener=listener,
            handler=server.serve,
            tasks=tasks,
        )
        tasks.start_soon(acceptor.run)
        return acceptor

    async def _become_ready(self) -> None:
        """Report the daemon as ready once it has a configuration."""
        while self.parts.configuration.current.version == 0:
            await self.parts.configuration.changed.wait()
        if self.parts.states.state is MemberState.JOINING:
            self.parts.states.state = MemberState.READY
            await self.parts.states.send_digest()
        log.info('ready', daemon=self.settings.daemon)
        self.started.set()

    async def _run_duties(self) -> None:
        """Compete for the lease of the duties, if the platform has any."""
        calls = self._platform.duties
        if calls is None:
            return
        duties = DutyParts(
            parts=self.parts, platform=self._platform, clock=self._clock
        )
        with self._duties_scope:
            await duties.run(calls)

    async def _stop(self, tasks: anyio.abc.TaskGroup) -> None:
        begin_stop(
            self.parts.stop_window,
            now=self._clock(),
            signalled_at=self._signalled_at,
            grace_s=self.settings.stop_grace_s,
        )
        self.parts.states.state = MemberState.LEAVING
        self.parts.duties.is_stopping = True
        self._duties_scope.cancel()
        self.parts.dispatcher.close()
        self.parts.endpoint_wait.close()
        tasks.start_soon(self.parts.rows.withdraw)
        await GracefulStop(
            window=self.parts.stop_window,
            server=self._server,
            tunnels=self._tunnels,
            open_requests=self.parts.open_requests,
            notify_peers=self.parts.states.send_digest,
            acceptor=self._entry,
            send_last_digest=self.parts.states.send_last_digest,
            clock=self._clock,
        ).run()
