"""One daemon that passes requests on: its parts, start and stop."""

import random
import time
from collections.abc import Callable

import anyio
import anyio.abc
from mimosamux_wire import EndpointsLeave

from mimosamux_daemon.adapters.http1_server import Handler, Http1Server
from mimosamux_daemon.adapters.link_security import LinkSecurity
from mimosamux_daemon.adapters.tcp_network import TcpNetwork
from mimosamux_daemon.adapters.thrift_peers import ThriftPeers
from mimosamux_daemon.control.members import MemberState
from mimosamux_daemon.gateway.admission import Admission, ConfirmationLimits
from mimosamux_daemon.gateway.begun_counts import BegunCounts
from mimosamux_daemon.gateway.cap_record import CapRecord
from mimosamux_daemon.gateway.caps import UsageCaps
from mimosamux_daemon.gateway.choice import Chooser
from mimosamux_daemon.gateway.clock import steady_time
from mimosamux_daemon.gateway.configuration import (
    ConfigurationItems,
    ConfirmedConfiguration,
)
from mimosamux_daemon.gateway.daemon_rows import DaemonRows
from mimosamux_daemon.gateway.demand import Demand
from mimosamux_daemon.gateway.discovery import Discovery
from mimosamux_daemon.gateway.duties import Duties, lease_policy
from mimosamux_daemon.gateway.evacuation import Evacuation
from mimosamux_daemon.gateway.feed_reader import FeedReader
from mimosamux_daemon.gateway.forwarding import Forwarder
from mimosamux_daemon.gateway.metering import Metering
from mimosamux_daemon.gateway.metrics import GatewayMetrics
from mimosamux_daemon.gateway.monitor import Monitor
from mimosamux_daemon.gateway.outcome_log import OutcomeLog
from mimosamux_daemon.gateway.overload import WINDOW_S, Overload
from mimosamux_daemon.gateway.peer_states import PeerStates
from mimosamux_daemon.gateway.retry_budget import RetryBudget
from mimosamux_daemon.gateway.roster import EndpointRecord, Roster
from mimosamux_daemon.gateway.scaling import Scaling
from mimosamux_daemon.gateway.sends import SendNotes
from mimosamux_daemon.gateway.settings import GatewaySettings
from mimosamux_daemon.gateway.shared_time import SharedTime
from mimosamux_daemon.gateway.stop import GatewayStop
from mimosamux_daemon.gateway.store_health import StoreHealth
from mimosamux_daemon.gateway.vouching import Vouching
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.gateway_platform import GatewayPlatform
from mimosamux_daemon.ports.network import Network
from mimosamux_daemon.serving.fair_shares import FairShares

log = get_log('daemon')

CONFIGURATION_WAIT_S = 1.3
"""Time after which the platform says that nothing has changed. Twice this
is the age that the confirmation of a key can reach in calm."""
ENDPOINTS_WAIT_S = 10.0
KEY_SLACK_S = 0.5
"""Part of the revocation bound for a request's way to the daemon and for
clocks that run differently."""
ABSENCE_S = 3.0


class GatewayDaemon:
    """One daemon; `run` returns after `stop` was asked for."""

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
        self.metrics = GatewayMetrics()
        self._platform = platform
        self._network = TcpNetwork() if network is None else network
        self._clock = clock
        self._rng = random.Random() if rng is None else rng
        self._stopping = anyio.Event()
        self._duties_scope = anyio.CancelScope()
        self._entry_scope = anyio.CancelScope()
        self._build(shared_time, wall_clock)

    def stop(self) -> None:
        """Ask for a graceful stop."""
        self._stopping.set()

    def reload(self, settings: GatewaySettings) -> None:
        """Take what may change while the daemon runs."""
        log.info('settings_reloaded', seeds=len(settings.seeds))
        self.states.introduce(settings.seeds)

    async def run(self) -> None:
        """Serve until the stop, and finish what is under way by then."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._platform.run)
            tasks.start_soon(self.peers.run)
            await self.peers.listening.wait()
            self.states.introduce(self.settings.seeds)
            for loop in (
                self.states.run,
                self.rows.run,
                self.configuration_reader.run,
                self.endpoint_reader.run,
                self.vouching.run,
                self.cap_record.run,
                self.evacuation.run,
            ):
                tasks.start_soon(loop)
            await self._listen(tasks)
            tasks.start_soon(self._become_ready)
            tasks.start_soon(self._run_duties)
            await self._stopping.wait()
            await self._stop()
            tasks.cancel_scope.cancel()
        log.info('stopped', daemon=self.settings.daemon)

    def is_ready(self) -> bool:
        """Whether callers may be sent here."""
        return self.states.state is MemberState.READY

    def _build(
        self, shared_time: SharedTime, wall_clock: Callable[[], float]
    ) -> None:
        settings, clock, rng = self.settings, self._clock, self._rng
        host, _, port = settings.place.id.rpartition(':')
        self.peers = ThriftPeers(
            daemon=settings.place.id,
            host=host,
            port=int(port),
            # The platform's network is closed, and its settings hold no
            # secret that the daemons could share.
            security=LinkSecurity(secret=b''),
            network=self._network,
        )
        self.states = PeerStates(
            place=settings.place,
            lifetime=rng.getrandbits(62),
            peers=self.peers,
            clock=clock,
            rng=rng,
        )
        self.configuration = ConfirmedConfiguration(clock=clock)
        self.health = StoreHealth(clock=clock)
        self.configuration_reader = FeedReader(
            name='configuration',
            feed=self._platform.configurations,
            items=ConfigurationItems(
                configuration=self.configuration,
                key=self._platform.configuration_key,
            ),
            health=self.health,
            wait_s=CONFIGURATION_WAIT_S,
            clock=clock,
            rng=rng,
        )
        self.vouching = Vouching(
            configuration=self.configuration,
            states=self.states,
            peers=self.peers,
            parse=self._platform.parse_configuration,
            clock=clock,
            rng=rng,
        )
        self._build_endpoints()
        self._build_counts(shared_time)
        self._build_duties(wall_clock)
        self._build_forwarding()
        self.states.parts = [
            self.vouching,
            self.roster,
            self.caps,
            shared_time,
            self.begun,
            self.demand,
            self.chooser.parts,
            self.duties,
        ]

    def _build_endpoints(self) -> None:
        self.roster = Roster(clock=self._clock, health=self.health)
        self.roster.on_learned.append(self._tell_leaving)
        self.endpoint_reader = FeedReader(
            name='endpoints',
            feed=self._platform.endpoints,
            items=self.roster,
            health=self.health,
            wait_s=ENDPOINTS_WAIT_S,
            clock=self._clock,
            rng=self._rng,
        )
        self.peers.handle(EndpointsLeave, self.roster.take_leaving)
        self.evacuation = Evacuation(
            roster=self.roster,
            moves=self._platform.moves,
            drain_s=self.settings.drain_s,
            clock=self._clock,
            rng=self._rng,
            tell=self._tell_leaving,
            metrics=self.metrics,
        )
        self.roster.on_leaving.append(self.evacuation.note_leaving)
        self.chooser = Chooser(
            roster=self.roster,
            data_centre=self.settings.place.data_centre,
            clock=self._clock,
            rng=self._rng,
        )
        self.roster.on_forgotten.append(self.chooser.parts.forget)

    def _build_counts(self, shared_time: SharedTime) -> None:
        self.caps = UsageCaps(
            states=self.states,
            rules=self.settings.caps,
            clock=self._clock,
        )
        self.cap_record = CapRecord(
            table=self._platform.table,
            caps=self.caps,
            states=self.states,
            store_time=shared_time.store_now,
        )
        self.begun = BegunCounts(
            window_s=self.settings.usage_window_s, now=shared_time.now
        )
        self.demand = Demand(clock=self._clock)
        self.rows = DaemonRows(
            table=self._platform.table, states=self.states, rng=self._rng
        )

    def _build_duties(self, wall_clock: Callable[[], float]) -> None:
        self.duties = Duties(
            table=self._platform.table,
            states=self.states,
            policy=lease_policy(self.settings.lease_s),
            checks_fencing=self.settings.checks_fencing,
            clock=self._clock,
            wall_clock=wall_clock,
            rng=self._rng,
        )

    def _build_forwarding(self) -> None:
        self.admission = Admission(
            configuration=self.configuration,
            caps=self.caps,
            limits=ConfirmationLimits(
                keys_s=self.settings.revocation_s - KEY_SLACK_S,
                absence_s=ABSENCE_S,
            ),
            rng=self._rng,
        )
        self.forwarder = Forwarder(
            admission=self.admission,
            roster=self.roster,
            chooser=self.chooser,
            calls=self._platform.calls,
            budget=RetryBudget(
                limits=self.settings.retries,
                daemons=self.states.expected,
                clock=self._clock,
            ),
            notes=SendNotes(
                roster=self.roster,
                chooser=self.chooser,
                begun=self.begun,
                metrics=self.metrics,
                news_age_s=self.states.news_age_s,
                clock=self._clock,
            ),
            demand=self.demand,
            overload=Overload(
                shares=FairShares(window_s=WINDOW_S), clock=self._clock
            ),
            evacuation=self.evacuation,
            outcomes=OutcomeLog(
                metrics=self.metrics,
                configuration=self.configuration,
                clock=self._clock,
            ),
            clock=self._clock,
        )
        self.server = self._build_server(
            self._platform.handle_requests(self.forwarder)
        )

    def _build_server(self, handler: Handler) -> Http1Server:
        return Http1Server(
            handler=handler,
            limits=lambda: self.configuration.current.limits,
        )

    async def _listen(self, tasks: anyio.abc.TaskGroup) -> None:
        questions = self._build_server(
            self._platform.handle_questions(
                Discovery(states=self.states, clock=self._clock), self.is_ready
            )
        )
        for address in {self.settings.discovery, self.settings.readiness}:
            await self._serve(tasks, address, questions, anyio.CancelScope())
        if self.settings.metrics:
            monitor = self._build_server(self._build_monitor().handle)
            await self._serve(
                tasks, self.settings.metrics, monitor, anyio.CancelScope()
            )
        await self._serve(
            tasks, self.settings.entry, self.server, self._entry_scope
        )
        log.info(
            'listening',
            daemon=self.settings.daemon,
            entry=self.settings.entry,
            peers=self.settings.place.id,
        )

    def _build_monitor(self) -> Monitor:
        return Monitor(
            daemon=self.settings.daemon,
            metrics=self.metrics,
            configuration=self.configuration,
            roster=self.roster,
            states=self.states,
            duties=self.duties,
            open_requests=lambda: self.server.open_requests,
            clock=self._clock,
        )

    async def _serve(
        self,
        tasks: anyio.abc.TaskGroup,
        address: str,
        server: Http1Server,
        scope: anyio.CancelScope,
    ) -> None:
        listener = await self._network.listen(address)

        async def accept() -> None:
            # Connections belong to the daemon's tasks: they outlive the
            # end of accepting.
            with scope:
                await listener.serve(server.serve, tasks)

        tasks.start_soon(accept)

    async def _become_ready(self) -> None:
        while self.configuration.current.version == 0:
            await self.configuration.changed.wait()
        if self.states.state is MemberState.JOINING:
            self.states.state = MemberState.READY
            await self.states.tell()
        log.info('ready', daemon=self.settings.daemon)
        self.started.set()

    async def _run_duties(self) -> None:
        calls = self._platform.duties
        if calls is None:
            return
        metering = Metering(
            table=self._platform.table,
            calls=calls,
            begun=self.begun,
            lateness_s=self.settings.usage_lateness_s,
            metrics=self.metrics,
            lose_lease=lambda lease: lease.end(),
        )
        scaling = Scaling(
            calls=calls,
            roster=self.roster,
            demand=self.demand,
            configuration=lambda: self.configuration.current,
            clock=self._clock,
            metrics=self.metrics,
            lose_lease=lambda lease: lease.end(),
        )
        self.roster.on_leaving.append(scaling.note_leaving)
        with self._duties_scope:
            await self.duties.run(metering=metering, scaling=scaling)

    def _tell_leaving(self, record: EndpointRecord) -> None:
        left_s = (
            None
            if record.leaves_at is None
            else record.leaves_at - self._clock()
        )
        left_ms = -1 if left_s is None else int(max(left_s, 0.0) * 1000)
        self.states.queue(
            EndpointsLeave(endpoints=[record.id], leave_in_ms=[left_ms])
        )

    async def _stop(self) -> None:
        self.states.state = MemberState.LEAVING
        self.duties.is_stopping = True
        self._duties_scope.cancel()
        await GatewayStop(
            server=self.server,
            tell_peers=self.states.tell,
            stop_accepting=self._entry_scope.cancel,
            grace_s=self.settings.stop_grace_s,
        ).run()
        await self.rows.withdraw()
