"""Composition root of the control plane of one daemon."""

import uuid
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from mimosamux_daemon.adapters.thrift_peers import ThriftPeers
from mimosamux_daemon.control.configuration import (
    ConfigurationInForce,
    ConfigurationReplica,
)
from mimosamux_daemon.control.configuration_acceptor import (
    ConfigurationAcceptor,
)
from mimosamux_daemon.control.configuration_changes import VersionRecord
from mimosamux_daemon.control.configuration_log import ConfigurationLog
from mimosamux_daemon.control.configuration_sync import ConfigurationSync
from mimosamux_daemon.control.discovery import Discovery
from mimosamux_daemon.control.feasibility import TargetCheck
from mimosamux_daemon.control.liveness import MembershipLiveness
from mimosamux_daemon.control.membership import Membership
from mimosamux_daemon.control.platform_seeds import PlatformSeeds
from mimosamux_daemon.control.proposals import (
    Accepted,
    ApplyDocument,
)
from mimosamux_daemon.control.store_guard import (
    GuardedObjectStore,
    GuardedTable,
    StoreGuard,
)
from mimosamux_daemon.link_settings import build_link_security
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.metrics import Metrics
from mimosamux_daemon.platform import Platform
from mimosamux_daemon.ports import Table
from mimosamux_daemon.serving.fleet import Fleet
from mimosamux_daemon.serving.prices import PriceBook
from mimosamux_daemon.settings import Settings

log = get_log('control')

SETTINGS_AUTHOR = 'settings'
"""Author in the record of an initial configuration from the settings."""
FULL_LOAD_STREAMS = 200
"""Open streams that a daemon carries well, reported as full load: 250
streams use 0.92 to 1.0 of a core (`python -m benchmarks relay`)."""


@dataclass(kw_only=True)
class ControlParts:
    """Control components of one daemon.

    They keep the membership and the replicated configuration, and guard the
    access to the table and the object store.
    """

    settings: Settings
    guard: StoreGuard
    peers: ThriftPeers
    seeds: PlatformSeeds
    membership: Membership
    liveness: MembershipLiveness
    in_force: ConfigurationInForce
    replica: ConfigurationReplica
    log: ConfigurationLog
    acceptor: ConfigurationAcceptor
    sync: ConfigurationSync
    fleet: Fleet
    prices: PriceBook
    discovery: Discovery
    audit_table: Table

    async def start(self) -> None:
        """Return once the newest configuration is in force at this daemon."""
        await self.membership.joined.wait()
        await self.sync.start(self._propose_initial)

    async def _propose_initial(self) -> None:
        document = self.settings.configuration
        if document is None:
            return
        decision = await self.acceptor.propose(
            ApplyDocument(
                operation=uuid.uuid4().hex,
                who=SETTINGS_AUTHOR,
                document=document,
                expected_version=0,
                why='first configuration',
            )
        )
        if not isinstance(decision, Accepted):
            log.warning('first_configuration', decision=str(decision))


def build_control(
    *,
    settings: Settings,
    platform: Platform,
    metrics: Metrics,
    in_force: ConfigurationInForce,
    caller_address: Callable[[], str],
    wall_clock: Callable[[], float],
) -> ControlParts:
    """Build the control components on the ports of `platform`."""
    guard = StoreGuard(metrics=metrics)
    fleet = Fleet()
    prices = PriceBook()
    peers = ThriftPeers(
        daemon=settings.daemon,
        host=settings.host,
        port=settings.peer_port,
        security=build_link_security(settings),
        metrics=metrics,
        descriptors=settings.descriptors,
    )
    seeds = PlatformSeeds(
        cloud=platform.cloud,
        data_centre=settings.data_centre,
        configured=settings.peers,
    )
    membership = Membership(
        daemon=settings.daemon,
        data_centre=settings.data_centre,
        address=lambda: settings.peer_address or peers.address,
        caller_address=caller_address,
        peers=peers,
        seeds=seeds.current,
        version=lambda: in_force.current.version,
        load=lambda: compute_load(fleet),
        wall_clock=wall_clock,
    )
    replica = ConfigurationReplica(in_force=in_force)
    changes = ConfigurationLog(
        table=guard_table(guard, platform, 'configuration'),
        objects=GuardedObjectStore(guard=guard, objects=platform.objects),
    )
    sync = ConfigurationSync(
        replica=replica, log=changes, peers=peers, membership=membership
    )

    def broadcast(records: Sequence[VersionRecord]) -> None:
        sync.broadcast(records)

    return ControlParts(
        settings=settings,
        guard=guard,
        peers=peers,
        seeds=seeds,
        membership=membership,
        liveness=MembershipLiveness(membership=membership),
        in_force=in_force,
        replica=replica,
        log=changes,
        acceptor=ConfigurationAcceptor(
            replica=replica,
            log=changes,
            broadcast=broadcast,
            wall_clock=wall_clock,
            request_probe=guard.table_calls.breaker.request_probe,
            check=TargetCheck(
                prices=prices,
                fleet=fleet,
                in_force=lambda: in_force.current,
            ),
        ),
        sync=sync,
        fleet=fleet,
        prices=prices,
        discovery=Discovery(
            membership=membership, ttl_s=settings.address_ttl_s
        ),
        audit_table=guard_table(guard, platform, 'audit'),
    )


def compute_load(fleet: Fleet) -> int:
    """Return the open streams in thousandths of capacity, at most 1000."""
    streams = sum(len(state.open_by_request) for state in fleet.by_id.values())
    return min(1000, 1000 * streams // FULL_LOAD_STREAMS)


def guard_table(
    guard: StoreGuard, platform: Platform, mechanism: str
) -> GuardedTable:
    """Return the table with deadlines and a circuit breaker.

    Its metrics count the rows under `mechanism`.
    """
    return GuardedTable(guard=guard, table=platform.table, mechanism=mechanism)
