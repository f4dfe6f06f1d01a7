"""Composition root of a gateway daemon: builds its parts and connects them.

`GatewayDaemon` adds the listeners, the start and the stop.
"""

import random
from collections.abc import Callable, Coroutine
from typing import Any

from mimosamux_wire import TableNews

from mimosamux_daemon.adapters.link_security import LinkSecurity
from mimosamux_daemon.adapters.thrift_peers import ThriftPeers
from mimosamux_daemon.domain.names import DaemonId
from mimosamux_daemon.gateway.admission.admission import (
    Admission,
    ConfirmationLimits,
)
from mimosamux_daemon.gateway.admission.answer_statistics import (
    AnswerStatistics,
)
from mimosamux_daemon.gateway.admission.endpoint_wait import EndpointWait
from mimosamux_daemon.gateway.admission.load_shedding import (
    WINDOW_S,
    LoadShedding,
)
from mimosamux_daemon.gateway.admission.request_dispatcher import (
    RequestDispatcher,
)
from mimosamux_daemon.gateway.admission.retry_times import RetryTimes
from mimosamux_daemon.gateway.answers.process_proofs import ProcessProofs
from mimosamux_daemon.gateway.attempts import AttemptRecorder
from mimosamux_daemon.gateway.balancing.choice import Chooser
from mimosamux_daemon.gateway.balancing.endpoint_record import EndpointRecord
from mimosamux_daemon.gateway.balancing.engine_candidates import (
    EngineCandidates,
)
from mimosamux_daemon.gateway.balancing.estimate_gauges import EstimateGauges
from mimosamux_daemon.gateway.balancing.load_forecast import LoadForecast
from mimosamux_daemon.gateway.balancing.prefix_cache_index import (
    PrefixCacheIndex,
)
from mimosamux_daemon.gateway.balancing.service_endpoints import (
    ServiceEndpoints,
)
from mimosamux_daemon.gateway.configuration import ConfirmedConfiguration
from mimosamux_daemon.gateway.crashes.detector import CrashDetector
from mimosamux_daemon.gateway.crashes.exchange import CrashExchange
from mimosamux_daemon.gateway.crashes.probes import CrashProbes
from mimosamux_daemon.gateway.crashes.quarantine import CrashQuarantine
from mimosamux_daemon.gateway.crashes.rows import CrashRows
from mimosamux_daemon.gateway.crashes.suspects import CrashSuspects
from mimosamux_daemon.gateway.daemon_rows import DaemonRows
from mimosamux_daemon.gateway.demand import Demand
from mimosamux_daemon.gateway.duties.duties import Duties, lease_policy
from mimosamux_daemon.gateway.endpoint_reach import EndpointReach
from mimosamux_daemon.gateway.exchange.endpoint_usage_exchange import (
    EndpointUsageExchange,
)
from mimosamux_daemon.gateway.exchange.peer_states import PeerStates
from mimosamux_daemon.gateway.feed_reader import FeedReader
from mimosamux_daemon.gateway.finalized_windows import FinalizedWindows
from mimosamux_daemon.gateway.forwarding import Forwarder
from mimosamux_daemon.gateway.leaving_exchange import LeavingExchange
from mimosamux_daemon.gateway.limits.brittle_services import BrittleServices
from mimosamux_daemon.gateway.limits.cap_loans import CapLoans
from mimosamux_daemon.gateway.limits.cap_record import CapRecord
from mimosamux_daemon.gateway.limits.caps import UsageCaps
from mimosamux_daemon.gateway.limits.endpoint_limits import EndpointLimits
from mimosamux_daemon.gateway.limits.retry_budget import RetryBudget
from mimosamux_daemon.gateway.list_age import ListFreshness
from mimosamux_daemon.gateway.loop_lag import LoopLag
from mimosamux_daemon.gateway.metrics import GatewayMetrics
from mimosamux_daemon.gateway.operator_items import OperatorItems
from mimosamux_daemon.gateway.outcome_log import OutcomeLog
from mimosamux_daemon.gateway.request_counts import RequestCounts
from mimosamux_daemon.gateway.rollout_clearing import RolloutClearing
from mimosamux_daemon.gateway.rollout_exchange import RolloutExchange
from mimosamux_daemon.gateway.rollout_rows import RolloutRows
from mimosamux_daemon.gateway.rollouts import Rollouts
from mimosamux_daemon.gateway.roster import Roster
from mimosamux_daemon.gateway.settings import GatewaySettings
from mimosamux_daemon.gateway.shared_time import SharedTime
from mimosamux_daemon.gateway.stopping.answer_times import AnswerTimes
from mimosamux_daemon.gateway.stopping.open_requests import OpenRequests
from mimosamux_daemon.gateway.stopping.stop_admission import StopAdmission
from mimosamux_daemon.gateway.store_health import StoreHealth
from mimosamux_daemon.gateway.streams.continuation import StreamContinuation
from mimosamux_daemon.gateway.streams.evacuation import Evacuation
from mimosamux_daemon.gateway.streams.inquiry import StreamInquiry
from mimosamux_daemon.gateway.streams.origin_exchange import OriginExchange
from mimosamux_daemon.gateway.streams.origin_record import OriginRecord
from mimosamux_daemon.gateway.streams.origins import StreamOrigins
from mimosamux_daemon.gateway.streams.resumption import StreamResumption
from mimosamux_daemon.gateway.streams.stream_moves import StreamMoves
from mimosamux_daemon.gateway.streams.version_users import VersionUsers
from mimosamux_daemon.gateway.streams.versions import SoftwareVersions
from mimosamux_daemon.gateway.table_sharing import TableSharing
from mimosamux_daemon.gateway.trial_tallies import TrialTallies
from mimosamux_daemon.gateway.vouching import Vouching
from mimosamux_daemon.ports.gateway_platform import GatewayPlatform
from mimosamux_daemon.ports.network import Network
from mimosamux_daemon.serving.fair_shares import FairShares
from mimosamux_daemon.stop_window import StopWindow

CONFIGURATION_POLL_S = 1.3
"""Longest long poll of the configuration. In normal operation, the
confirmation of a key is never older than twice this time."""
ENDPOINTS_POLL_S = 1.0
"""Upper bound of the long poll of the list of endpoints."""
ENDPOINTS_POLL_SHARE = 0.5
"""Longest long poll of the list, as a part of the time for which an endpoint
continues to serve after it was listed as leaving."""
REVOCATION_SLACK_S = 0.5
"""Part of the revocation bound that is reserved for the transit time of a
request to the daemon and for clock drift."""
ABSENCE_MAX_AGE_S = 3.0
"""Greatest age of the configuration at which an unknown route or key is
refused as nonexistent; beyond it, the item may have been added since."""


class GatewayParts:
    """All parts of a daemon except its listeners.

    The builders run in the order of their dependencies.
    """

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        platform: GatewayPlatform,
        shared_time: SharedTime,
        network: Network,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.metrics = GatewayMetrics()
        self._platform = platform
        self._clock = clock
        self._rng = rng
        self._build_states(network)
        self.health = StoreHealth(clock=self._clock)
        platform.store_era.on_risen.append(self.health.note_restored)
        self.roster = Roster(
            clock=self._clock,
            time_of_day=shared_time.now,
            health=self.health,
        )
        self._build_rollouts(shared_time)
        self._build_configuration(shared_time)
        self._build_endpoints(shared_time)
        self._build_usage(shared_time)
        self._build_duties(wall_clock)
        self._build_crashes(shared_time)
        self._build_reach()
        self._build_dispatcher()
        self._build_forwarding()
        self.states.on_silence.append(platform.discard_idle_connections)
        self.states.parts = [
            self.vouching,
            self.endpoint_reader.sharing,
            self.endpoint_usage,
            # It adds to the entries that `endpoint_usage` writes.
            self.chooser.engine_factors,
            self.limits,
            self.brittle,
            self.caps,
            shared_time,
            self.request_counts,
            self.demand,
            self.chooser.prefix_index,
            self.duties,
            self.trials,
            self.reach,
        ]

    def background_tasks(
        self,
    ) -> tuple[Callable[[], Coroutine[Any, Any, None]], ...]:
        """Return the functions to run for the lifetime of the daemon."""
        return (
            self.states.run,
            self.rows.run,
            self.configuration_reader.run,
            self.endpoint_reader.run,
            self.endpoint_reader.run_refreshes,
            self.vouching.run,
            self.cap_record.run,
            self.cap_loans.run,
            self.lag.run,
            self.dispatcher.run,
            self.evacuation.run,
            self.limits.run,
            self.brittle.run,
            self.crash_detector.run,
            self.crash_rows.run,
            self.origins.run,
            self.origin_record.run,
            self.stream_inquiry.run,
            self.rollout_rows.run,
            self.reach.run,
        )

    async def wait_for_first_read(self) -> None:
        """Wait until each table that requests depend on was read once."""
        await self.configuration_reader.first_read.wait()
        await self.endpoint_reader.first_read.wait()
        await self.crash_rows.first_read.wait()
        await self.origin_record.first_read.wait()
        await self.rollout_rows.first_read.wait()

    def _build_states(self, network: Network) -> None:
        settings, rng = self.settings, self._rng
        host, _, port = settings.place.id.rpartition(':')
        self.peers = ThriftPeers(
            daemon=settings.place.id,
            host=host,
            port=int(port),
            # The platform's network is isolated, and its settings have no
            # shared secret for the daemons.
            security=LinkSecurity(secret=b''),
            metrics=self.metrics,
            network=network,
            descriptors=settings.descriptors,
        )
        self.states = PeerStates(
            place=settings.place,
            incarnation=rng.getrandbits(62),
            peers=self.peers,
            clock=self._clock,
            rng=rng,
        )

    def _build_rollouts(self, shared_time: SharedTime) -> None:
        self.rollouts = Rollouts(
            limits=self.settings.rollouts,
            serving=self.roster.serving,
            is_isolated=self.states.is_alone,
            clock=self._clock,
        )
        self.rollout_rows = RolloutRows(
            table=self._platform.table,
            rollouts=self.rollouts,
            render_status=self._platform.render_rollout_status,
            orders_read=lambda: self.configuration_reader.first_read,
        )
        self.rollout_exchange = RolloutExchange(
            rollouts=self.rollouts,
            states=self.states,
            peers=self.peers,
        )
        self.trials = TrialTallies(rollouts=self.rollouts, roster=self.roster)
        self.states.on_forgotten.append(self.trials.forget_peer)
        clearing = RolloutClearing(roster=self.roster)
        self.rollouts.on_changed.append(clearing.note_step)
        self.store_time = shared_time.store_now

    def _build_configuration(self, shared_time: SharedTime) -> None:
        self.configuration = ConfirmedConfiguration(clock=self._clock)
        self.configuration_reader = FeedReader(
            name='configuration',
            sharing=self._build_sharing('configuration', shared_time),
            feed=self._platform.operators,
            consumer=OperatorItems(
                configuration=self.configuration,
                configuration_key=self._platform.configuration_key,
                rollouts=self.rollouts,
                table_era=self._platform.store_era,
            ),
            health=self.health,
            wait_s=CONFIGURATION_POLL_S,
            away_after_s=self.settings.drain_s,
            clock=self._clock,
            rng=self._rng,
        )
        self.vouching = Vouching(
            configuration=self.configuration,
            states=self.states,
            peers=self.peers,
            parse=self._platform.parse_configuration,
            can_read_platform=lambda: self.health.is_answering,
            clock=self._clock,
            rng=self._rng,
        )

    def _build_sharing(
        self,
        table: str,
        shared_time: SharedTime,
        *,
        includes_rows: bool = False,
    ) -> TableSharing:
        return TableSharing(
            table=table,
            includes_rows=includes_rows,
            states=self.states,
            shared_time=shared_time,
            health=self.health,
            clock=self._clock,
        )

    def _build_endpoints(self, shared_time: SharedTime) -> None:
        leaving = LeavingExchange(
            roster=self.roster, states=self.states, peers=self.peers
        )
        self.endpoint_usage = EndpointUsageExchange(
            roster=self.roster, clock=self._clock
        )
        self.states.on_forgotten.append(self.endpoint_usage.forget_peer)
        self.limits = EndpointLimits(
            roster=self.roster,
            states=self.states,
            shared_time=shared_time,
            clock=self._clock,
        )
        self.roster.on_forgotten.append(self.limits.forget)
        self.brittle = BrittleServices(
            roster=self.roster,
            states=self.states,
            shared_time=shared_time,
            metrics=self.metrics,
            clock=self._clock,
        )
        self.endpoint_reader = FeedReader(
            name='endpoints',
            sharing=self._build_sharing(
                'endpoints', shared_time, includes_rows=True
            ),
            feed=self._platform.endpoints,
            consumer=self.roster,
            health=self.health,
            wait_s=min(
                ENDPOINTS_POLL_S, ENDPOINTS_POLL_SHARE * self.settings.drain_s
            ),
            away_after_s=self.settings.drain_s,
            clock=self._clock,
            rng=self._rng,
        )
        self.peers.handle(TableNews, self._receive_table_update)
        self.evacuation = Evacuation(
            moves=self._platform.moves,
            stream_moves=StreamMoves(
                roster=self.roster,
                rollouts=self.rollouts,
                moves=self._platform.moves,
                clock=self._clock,
                rng=self._rng,
                metrics=self.metrics,
            ),
            drain_s=self.settings.drain_s,
            clock=self._clock,
            notify_peers=leaving.announce,
        )
        self.roster.on_leaving.append(self.evacuation.note_leaving)
        self.versions = SoftwareVersions(roster=self.roster, clock=self._clock)
        self.origins = OriginExchange(
            origins=StreamOrigins(clock=self._clock),
            versions=self.versions,
            states=self.states,
            peers=self.peers,
            clock=self._clock,
        )
        self.version_users = VersionUsers(
            table=self._platform.table,
            versions=self.versions,
            roster=self.roster,
            states=self.states,
            clock=self._clock,
        )
        self.stream_inquiry = StreamInquiry(
            users=self.version_users,
            versions=self.versions,
            origins=self.origins.origins,
            states=self.states,
            peers=self.peers,
            clock=self._clock,
        )
        self.origin_record = OriginRecord(
            table=self._platform.table,
            exchange=self.origins,
            versions=self.versions,
            users=self.version_users,
            states=self.states,
            clock=self._clock,
            store_time=shared_time.store_now,
        )
        self._platform.store_era.on_risen.append(
            lambda era: self.origin_record.write_again()
        )
        endpoints = ServiceEndpoints()
        self.roster.on_listed.append(endpoints.add)
        self.roster.on_leaving.append(endpoints.discard)
        self.chooser = Chooser(
            prefix_index=PrefixCacheIndex(is_current=self.roster.is_current),
            roster=self.roster,
            rollouts=self.rollouts,
            forecast=LoadForecast(
                is_relayed=lambda: not self.states.is_flat,
                endpoints=endpoints.records,
            ),
            candidates=EngineCandidates(endpoints=endpoints, rng=self._rng),
            daemons=self.states.max_serving,
            data_centre=self.settings.place.data_centre,
            clock=self._clock,
            rng=self._rng,
        )
        gauges = EstimateGauges(
            chooser=self.chooser,
            versions=self.versions,
            configuration=self.configuration,
            metrics=self.metrics,
        )
        self.metrics.collectors.append(gauges.collect)
        factors = self.chooser.engine_factors
        self.states.on_forgotten.append(factors.forget_peer)
        self.roster.on_forgotten.append(self.chooser.prefix_index.forget)
        self.roster.on_restarted.append(self._forget_previous_incarnation)

    def _build_usage(self, shared_time: SharedTime) -> None:
        self.caps = UsageCaps(
            states=self.states,
            rules=self.settings.caps,
            clock=self._clock,
        )
        self.cap_loans = CapLoans(
            caps=self.caps,
            states=self.states,
            peers=self.peers,
            clock=self._clock,
            rng=self._rng,
        )
        self.cap_record = CapRecord(
            table=self._platform.table,
            table_era=self._platform.store_era,
            caps=self.caps,
            states=self.states,
            store_time=shared_time.store_now,
        )
        self.request_counts = RequestCounts(
            window_s=self.settings.usage_window_s, now=shared_time.now
        )
        self.finalized_windows = FinalizedWindows(
            states=self.states, peers=self.peers
        )
        self.demand = Demand(clock=self._clock)
        self.rows = DaemonRows(
            table=self._platform.table,
            table_era=self._platform.store_era,
            states=self.states,
            rng=self._rng,
        )

    def _build_duties(self, wall_clock: Callable[[], float]) -> None:
        self.duties = Duties(
            table=self._platform.table,
            table_era=self._platform.store_era,
            states=self.states,
            policy=lease_policy(self.settings.lease_s),
            checks_fencing=self.settings.checks_fencing,
            clock=self._clock,
            wall_clock=wall_clock,
            rng=self._rng,
        )

    def _build_crashes(self, shared_time: SharedTime) -> None:
        suspects = CrashSuspects(clock=self._clock)
        exchange = CrashExchange(
            suspects=suspects,
            states=self.states,
            peers=self.peers,
            clock=self._clock,
        )
        exchange.on_crashed.append(self.roster.note_crash)
        self.quarantine = CrashQuarantine(
            suspects=suspects,
            probes=CrashProbes(states=self.states, clock=self._clock),
            exchange=exchange,
        )
        self.process_proofs = ProcessProofs(
            calls=self._platform.calls,
            configuration=self.configuration,
            clock=self._clock,
        )
        self.crash_detector = CrashDetector(
            exchange=exchange,
            proofs=self.process_proofs,
            metrics=self.metrics,
            clock=self._clock,
            on_whole_run=self.quarantine.note_completion,
        )
        self.crash_rows = CrashRows(
            table=self._platform.table,
            exchange=exchange,
            states=self.states,
            clock=self._clock,
            store_time=shared_time.store_now,
        )
        self._platform.store_era.on_risen.append(
            lambda era: self.crash_rows.write_again()
        )

    def _build_reach(self) -> None:
        self.reach = EndpointReach(
            roster=self.roster,
            states=self.states,
            probe=self._platform.probe_endpoint,
            discard_connections_to=self._platform.discard_connections_to,
            metrics=self.metrics,
            clock=self._clock,
            rng=self._rng,
        )
        self._platform.use_routes(self.reach)

    def _build_dispatcher(self) -> None:
        self.load_shedding = LoadShedding(
            shares=FairShares(window_s=WINDOW_S), clock=self._clock
        )
        self.list_freshness = ListFreshness(
            reader=self.endpoint_reader,
            roster=self.roster,
            drain_s=self.settings.drain_s,
            is_told_by_peers=lambda: (
                self.states.is_flat
                and any(peer.reads_tables for peer in self.states.ready())
            ),
            clock=self._clock,
        )
        answers = AnswerStatistics(roster=self.roster, clock=self._clock)
        self.dispatcher = RequestDispatcher(
            shedding=self.load_shedding,
            retry_times=RetryTimes(
                site_rate_per_s=answers.site_rate_per_s,
                daemons=self.states.max_serving,
                clock=self._clock,
                rng=self._rng,
            ),
            answers=answers,
            chooser=self.chooser,
            is_flat=lambda: self.states.is_flat,
            daemons=self.states.max_serving,
            wait_until_fresh=self.list_freshness.wait_until_fresh,
            digest_age_s=self.states.oldest_digest_age_s,
            metrics=self.metrics,
            clock=self._clock,
        )

        self.endpoint_wait = EndpointWait(
            is_enabled=lambda: not self.states.is_flat,
            has_endpoints=lambda service: bool(self.roster.serving(service)),
            metrics=self.metrics,
            clock=self._clock,
        )
        self.roster.on_listed.append(
            lambda record: self.endpoint_wait.note_change()
        )

    def _build_forwarding(self) -> None:
        self.admission = Admission(
            configuration=self.configuration,
            caps=self.caps,
            loans=self.cap_loans,
            limits=ConfirmationLimits(
                key_max_age_s=self.settings.revocation_s - REVOCATION_SLACK_S,
                absence_max_age_s=ABSENCE_MAX_AGE_S,
            ),
            find_origin=self.origins.origins.find,
            clock=self._clock,
            rng=self._rng,
        )
        self.lag = LoopLag(clock=self._clock)
        self.stop_window = StopWindow()
        self.open_requests = OpenRequests()
        budget = RetryBudget(
            limits=self.settings.retries,
            daemons=self.states.max_serving,
            clock=self._clock,
        )
        self.forwarder = Forwarder(
            lag=self.lag,
            admission=self.admission,
            roster=self.roster,
            chooser=self.chooser,
            list_freshness=self.list_freshness,
            calls=self._platform.calls,
            budget=budget,
            recorder=AttemptRecorder(
                roster=self.roster,
                chooser=self.chooser,
                request_counts=self.request_counts,
                crash_detector=self.crash_detector,
                process_proofs=self.process_proofs,
                origins=self.origins,
                limits=self.limits,
                brittle=self.brittle,
                trials=self.trials,
                dispatcher=self.dispatcher,
                metrics=self.metrics,
                digest_age_s=self.states.oldest_digest_age_s,
                list_age_s=lambda: self.endpoint_reader.age_s,
                clock=self._clock,
            ),
            demand=self.demand,
            load_shedding=self.load_shedding,
            dispatcher=self.dispatcher,
            endpoint_wait=self.endpoint_wait,
            evacuation=self.evacuation,
            reach=self.reach,
            brittle=self.brittle,
            quarantine=self.quarantine,
            resumption=StreamResumption(
                origins=self.origins.origins,
                versions=self.versions,
                inquiry=self.stream_inquiry,
                roster=self.roster,
                metrics=self.metrics,
                list_age_s=lambda: self.endpoint_reader.age_s,
                peers_heard=lambda: len(self.states.fresh()),
                clock=self._clock,
            ),
            version_users=self.version_users,
            continuation=StreamContinuation(budget=budget),
            outcomes=OutcomeLog(
                metrics=self.metrics,
                configuration=self.configuration,
                clock=self._clock,
            ),
            open_requests=self.open_requests,
            stop_admission=StopAdmission(
                window=self.stop_window,
                answer_times=AnswerTimes(),
                clock=self._clock,
            ),
            clock=self._clock,
        )

    async def _receive_table_update(
        self, sender: DaemonId, update: TableNews
    ) -> None:
        for reader in (self.configuration_reader, self.endpoint_reader):
            reader.receive_update(update)

    def _forget_previous_incarnation(self, old: EndpointRecord) -> None:
        """Drop cache index, limits and connections of a restarted endpoint."""
        self.limits.forget(old.id)
        self.chooser.prefix_index.forget(old.id)
        self._platform.discard_connections_to(old.listed.address)
