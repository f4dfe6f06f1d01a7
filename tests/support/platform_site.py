"""Daemons on the stand-in platform, in memory and on a paused clock."""

import math
import random
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from enum import Enum, auto

import anyio
import anyio.lowlevel
from mimosamux_daemon.adapters.http1_server import Http1Server
from mimosamux_daemon.domain.names import DaemonId, DataCentreName
from mimosamux_daemon.domain.routes import TrafficLimits
from mimosamux_daemon.gateway.daemon import GatewayDaemon
from mimosamux_daemon.gateway.exchange.peer_states import DaemonPlace
from mimosamux_daemon.gateway.limits.caps import CapRules
from mimosamux_daemon.gateway.limits.retry_budget import RetryLimits
from mimosamux_daemon.gateway.settings import GatewaySettings
from mimosamux_daemon.gateway.shared_time import SharedTime
from mimosamux_platform import open_platform
from mimosamux_standins.site import (
    SiteDocument,
    StandInCaller,
    StandInCloud,
    StandInReplica,
    StandInStore,
)
from mimosamux_standins.site.documents import engine_fields, scaling_fields
from mimosamux_standins.site.store import StoreTrouble

from tests.support.memory_network import MemoryNetwork, machine_of

ZONES = ('north', 'middle', 'south')
STORE = '10.200.0.1:8361'
CLOUD = '10.200.0.2:8361'
WALL_START = 1_790_000_000.0
EXIT_S = 0.01
"""Time that a process which is killed takes to end."""


class Partition(Enum):
    """What becomes of the connections of a daemon that is cut off."""

    HANGS = auto()
    """They deliver nothing, and new ones are not answered."""
    RESETS = auto()
    """They are reset, and new ones are refused."""
    LIVES_ON = auto()
    """They live on, and new ones are refused."""


def steady():
    return anyio.current_time()


def wall_ms():
    """Return the true time of day, in whole milliseconds."""
    return int((WALL_START + anyio.current_time()) * 1000)


@dataclass(kw_only=True)
class DaemonHandle:
    """A daemon that runs, or ran."""

    daemon: GatewayDaemon
    scope: anyio.CancelScope
    ended: anyio.Event = field(default_factory=anyio.Event)
    wall_offset_s: float = 0.0

    @property
    def entry(self):
        return self.daemon.settings.entry

    @property
    def machine(self):
        return machine_of(self.entry)


def default_document(*, is_scaled=False):
    """Return the operator's document; scaled, daemons order engines."""
    document = SiteDocument()
    scaling = scaling_fields(dict.fromkeys(ZONES, 1.0))
    document.add_service(
        'llm', **engine_fields(), **(scaling if is_scaled else {})
    )
    document.add_service('app')
    document.add_route(
        '/draft/',
        'llm',
        'streaming',
        timeoutMs=15000,
        targetLatencyMs=1000,
        maxAttempts=1,
        stickySessions=True,
        gapTargetMs=250,
    )
    document.add_route(
        '/question/',
        'llm',
        'streaming',
        streamResume=True,
        stickySessions=True,
        gapTargetMs=250,
    )
    document.add_route('/slip/', 'app', 'non_idempotent', maxAttempts=1)
    document.add_route('/list/', 'app', 'idempotent')
    document.add_tenant('school', 'key-school')
    document.add_tenant('office', 'key-office')
    return document


@dataclass(kw_only=True)
class PlatformSite:
    """Store, cloud, replicas, daemons and callers."""

    tasks: anyio.abc.TaskGroup
    network: MemoryNetwork = field(default_factory=MemoryNetwork)
    store: StandInStore = field(default_factory=StandInStore)
    cloud: StandInCloud = field(default_factory=StandInCloud)
    document: SiteDocument = field(default_factory=default_document)
    replicas_by_id: dict = field(default_factory=dict)
    replicas_by_address: dict = field(default_factory=dict)
    scope_by_replica: dict = field(default_factory=dict)
    daemons: list = field(default_factory=list)
    rng: random.Random = field(default_factory=lambda: random.Random(7))
    boot_s: float = 4.0
    checks_fencing: bool = True
    drain_s: float = 2.0
    caps: CapRules = CapRules(window_s=8.0, overage=0.1, tolerance=140_000.0)
    _started: int = 0

    async def start_platform(self):
        self.cloud.on_order = self.apply_order
        await self.serve(STORE, self.store.handle)
        await self.serve(CLOUD, self.cloud.handle)
        self.write_configuration()

    def write_configuration(self):
        """Write the document as it stands; return its version."""
        self.store.put('op', 'config', self.document.render())
        return self.document.version

    def change_configuration(self):
        self.document.version += 3
        return self.write_configuration()

    async def serve(self, address, handler, scope=None):
        server = Http1Server(handler=handler, limits=TrafficLimits)
        listener = await self.network.at(machine_of(address)).listen(address)

        async def run():
            with scope or anyio.CancelScope():
                async with anyio.create_task_group() as tasks:
                    await listener.serve(server.serve, tasks)

        self.tasks.start_soon(run)

    async def add_replica(self, service, zone, **fields):
        """Start a replica and list it."""
        self._started += 1
        number = self._started
        replica = StandInReplica(
            id=f'i-{number:04d}',
            service=service,
            zone=zone,
            address=f'10.{64 + number}.0.1:8087',
            **fields,
        )
        replica.by_address = self.replicas_by_address
        self.replicas_by_address[replica.address] = replica
        scope = anyio.CancelScope()
        self.replicas_by_id[replica.id] = replica
        self.scope_by_replica[replica.id] = scope
        await self.serve(replica.address, replica.handle, scope)
        self.list_replica(replica)
        return replica

    def list_replica(self, replica):
        self.store.put('servers', replica.id, replica.entry())

    def drain_replica(self, replica):
        replica.state = 'draining'
        self.list_replica(replica)

    def unlist_replica(self, replica):
        self.store.put('servers', replica.id, None)

    async def restart_replica(self, replica):
        """Start a replica anew, under its id, behind a cut.

        Whoever had a connection to the old process sees no reset.
        """
        machine = machine_of(replica.address)
        self.network.silence(lambda each: machine in (each.here, each.there))
        self.scope_by_replica[replica.id].cancel()
        await anyio.sleep(0.01)
        self.network.listeners.pop(replica.address, None)
        heir = StandInReplica(
            id=replica.id,
            service=replica.service,
            zone=replica.zone,
            address=replica.address,
            slots=replica.slots,
            speed=replica.speed,
            born_ms=wall_ms(),
        )
        heir.by_address = self.replicas_by_address
        self.replicas_by_address[heir.address] = heir
        self.replicas_by_id[heir.id] = heir
        scope = anyio.CancelScope()
        self.scope_by_replica[heir.id] = scope
        await self.serve(heir.address, heir.handle, scope)
        self.list_replica(heir)
        return heir

    def crash_replica(self, replica, *, in_order=False, exit_s=EXIT_S):
        """End a replica at once; the list shows it for a while.

        In order, its connections end first; until `exit_s` is over it accepts
        new ones and answers nothing.
        """
        replica.state = 'gone'
        if in_order:
            replica.silent_until = math.inf
            self.network.end_connections(machine_of(replica.address))
            self.tasks.start_soon(self._end_late, replica, exit_s)
            return
        self.network.kill(machine_of(replica.address))
        self.scope_by_replica[replica.id].cancel()

    async def _end_late(self, replica, exit_s):
        """End what accepts connections, behind those that it had.

        A kernel closes what a process has opened last before the rest.
        """
        await anyio.sleep(exit_s)
        self.network.kill(machine_of(replica.address))
        self.scope_by_replica[replica.id].cancel()

    def apply_order(self, service, zone, is_reclaimable, count):
        there = [
            replica
            for replica in self.replicas_by_id.values()
            if replica.service == service
            and replica.zone == zone
            and replica.is_reclaimable == is_reclaimable
            and replica.state == 'ready'
        ]
        for replica in there[count:]:
            self.drain_replica(replica)
        for _ in range(count - len(there)):
            self.tasks.start_soon(
                self._boot, service, zone, is_reclaimable, count
            )

    async def _boot(self, service, zone, is_reclaimable, count):
        await anyio.sleep(self.boot_s)
        await self.add_replica(
            service, zone, is_reclaimable=is_reclaimable, slots=8
        )

    async def restore_store(
        self,
        *,
        copy_age_s,
        away_s=1.0,
        rewritten_after_s=0.2,
        trouble=StoreTrouble.RESET,
    ):
        """Have the store go away and come back from a copy.

        The copy was made `copy_age_s` before the store went.
        """
        self.store.trouble = trouble
        await anyio.sleep(away_s)
        lost = self.store.restore(copy_age_s + away_s)
        self.store.trouble = StoreTrouble.NONE
        await anyio.sleep(rewritten_after_s)
        self.store.write_again(lost)

    def settings_of(self, number, zone):
        host = f'10.{number + 1}.0.1'
        return GatewaySettings(
            adapter='mimosamux_platform',
            daemon=f'edge-{zone}-{number}',
            place=DaemonPlace(
                id=DaemonId(f'{host}:8367'),
                data_centre=DataCentreName(zone),
                region='land',
                entry_address=f'{host}:8360',
                tunnel=f'{host}:7500',
            ),
            entry=f'{host}:8360',
            discovery=f'{host}:8364',
            readiness=f'{host}:8365',
            metrics=f'{host}:9464',
            seeds=(DaemonId('10.1.0.1:8367'),),
            first_start=False,
            store=STORE,
            cloud=CLOUD,
            checks_fencing=self.checks_fencing,
            revocation_s=5.0,
            drain_s=self.drain_s,
            stop_grace_s=8.0,
            lease_s=3.0,
            usage_window_s=5.0,
            usage_lateness_s=10.0,
            address_ttl_s=5.0,
            retries=RetryLimits(share=0.2, window_s=10.0, extra=58.0),
            caps=self.caps,
        )

    def start_daemon(self, number=None, *, wall_offset_s=0.0):
        """Start a daemon, at the machine of an earlier one by its number."""
        number = len(self.daemons) if number is None else number
        box = []
        built = anyio.Event()
        self.tasks.start_soon(
            self._run_daemon, number, wall_offset_s, box, built
        )
        return built

    async def _run_daemon(self, number, wall_offset_s, box, built):
        settings = self.settings_of(number, ZONES[number % len(ZONES)])

        def wall_clock():
            handle = box[0] if box else None
            offset_s = handle.wall_offset_s if handle else wall_offset_s
            return WALL_START + anyio.current_time() + offset_s

        shared_time = SharedTime(clock=steady, wall_clock=wall_clock)
        network = self.network.at(machine_of(settings.entry))
        with anyio.CancelScope() as scope:
            async with open_platform(
                settings, shared_time.note_store_time, network, steady
            ) as platform:
                daemon = GatewayDaemon(
                    settings=settings,
                    platform=platform,
                    shared_time=shared_time,
                    network=network,
                    clock=steady,
                    wall_clock=wall_clock,
                    rng=random.Random(self.rng.getrandbits(32)),
                )
                handle = DaemonHandle(
                    daemon=daemon, scope=scope, wall_offset_s=wall_offset_s
                )
                box.append(handle)
                while len(self.daemons) <= number:
                    self.daemons.append(None)
                self.daemons[number] = handle
                built.set()
                await daemon.run()
        handle.ended.set()

    def kill_daemon(self, number, *, in_order=False):
        """End a daemon as SIGKILL does: nothing is said or finished."""
        handle = self.daemons[number]
        self.network.kill(handle.machine, in_order=in_order)
        handle.scope.cancel()

    def partition_from_endpoints(self, number, partition):
        """Cut a daemon from all endpoints, and from nothing else."""
        alone = self.daemons[number].machine
        there = {machine_of(each) for each in self.replicas_by_address}
        if partition is Partition.HANGS:
            for machine in there:
                self.network.cut(alone, machine)
            return
        self.network.refused |= {(alone, machine) for machine in there}
        if partition is Partition.RESETS:
            self.network.reset(
                lambda each: each.here == alone and each.there in there
            )

    def cut_from_peers(self, number):
        """Cut a daemon from all others, and from nothing else."""
        alone = self.daemons[number].machine
        for handle in self.daemons:
            if handle.machine != alone:
                self.network.cut(alone, handle.machine)

    async def start_daemons(self, count):
        events = [self.start_daemon(number) for number in range(count)]
        for number, built in enumerate(events):
            await built.wait()
            await self.daemons[number].daemon.started.wait()
        await anyio.sleep(1.5)

    def caller(self, key='key-school', **fields):
        return StandInCaller(
            network=self.network.at('10.250.0.1'),
            key=key,
            rng=random.Random(self.rng.getrandbits(32)),
            **fields,
        )

    def runs(self):
        """Return the runs of every replica, in the order they began."""
        runs = [
            run
            for replica in self.replicas_by_id.values()
            for run in replica.runs
        ]
        return sorted(runs, key=lambda run: run.began_at)


@asynccontextmanager
async def open_site(*, daemons=3, engines=3, apps=3, **fields):
    """Give a site with replicas spread over the zones."""
    async with anyio.create_task_group() as tasks:
        site = PlatformSite(tasks=tasks, **fields)
        await site.start_platform()
        for number in range(engines):
            await site.add_replica('llm', ZONES[number % 3], slots=8)
        for number in range(apps):
            await site.add_replica('app', ZONES[number % 3])
        await site.start_daemons(daemons)
        yield site
        tasks.cancel_scope.cancel()
