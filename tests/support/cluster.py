"""Daemons' shared part in one process, over a network in memory."""

import contextlib

import anyio
from mimosamux_daemon.adapters.memory_peers import MemoryNetwork
from mimosamux_daemon.control.configuration import (
    ConfigurationInForce,
    ConfigurationReplica,
)
from mimosamux_daemon.control.configuration_acceptor import (
    ConfigurationAcceptor,
)
from mimosamux_daemon.control.configuration_log import ConfigurationLog
from mimosamux_daemon.control.configuration_sync import ConfigurationSync
from mimosamux_daemon.control.membership import Membership
from mimosamux_daemon.control.proposals import (
    Accepted,
    ApplyDocument,
    SetValue,
)
from mimosamux_daemon.settings import PeerAddress

from tests.support.configuration import DOCUMENT, Store


class Node:
    """What a daemon shares with others, and the versions it had."""

    def __init__(self, cluster, name, data_centre):
        self.name = name
        self.data_centre = data_centre
        self.cluster = cluster
        self.scope = anyio.CancelScope()
        self.is_ready = False
        self.peers = cluster.network.join(name)
        self.in_force = cluster.make_in_force()
        self.replica = ConfigurationReplica(in_force=self.in_force)
        self.log = cluster.log_class(
            table=cluster.store.table, objects=cluster.store.objects
        )
        self.membership = cluster.membership_class(
            daemon=name,
            data_centre=data_centre,
            address=lambda: f'{name}:7000',
            caller_address=lambda: f'{name}:8080',
            peers=self.peers,
            seeds=lambda: cluster.seeds,
            version=lambda: self.replica.version,
            wall_clock=cluster.wall_clock,
            sleep=self.peers.sleep,
        )
        self.sync = cluster.sync_class(
            replica=self.replica,
            log=self.log,
            peers=self.peers,
            membership=self.membership,
            sleep=self.peers.sleep,
        )
        self.version_seen = 0
        self.acceptor = cluster.acceptor_class(
            replica=self.replica,
            log=self.log,
            broadcast=self.sync.broadcast,
            wall_clock=cluster.wall_clock,
        )

    async def run(self):
        with self.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.membership.run)
                tasks.start_soon(self.acceptor.run)
                await self.sync.start(self._propose_first)
                self.is_ready = True
                self.membership.become_ready()
                tasks.start_soon(self.sync.run)

    async def _propose_first(self):
        await self.acceptor.propose(
            ApplyDocument(
                operation='first',
                who='settings',
                document=DOCUMENT,
                expected_version=0,
            )
        )

    async def set(self, operation, path, value, expected=None):
        return await self.acceptor.propose(
            SetValue(
                operation=operation,
                who=self.name,
                path=tuple(path.split('.')),
                value=value,
                expected_version=expected,
            )
        )


class Cluster:
    """Daemons of several data centres over one store."""

    def __init__(
        self,
        sizes,
        *,
        in_force=ConfigurationInForce,
        sync=ConfigurationSync,
        acceptor=ConfigurationAcceptor,
        membership=Membership,
        log=ConfigurationLog,
    ):
        self.store = Store()
        self.network = MemoryNetwork()
        self.network.faults.delay_s = 0.001
        self.sizes = sizes
        self.sync_class = sync
        self.acceptor_class = acceptor
        self.membership_class = membership
        self.log_class = log
        self.nodes_by_name = {}
        self.accepted = {}
        self.tasks = None
        self.make_in_force = in_force
        self.started = 0
        self.seeds = [
            PeerAddress(id=f'{centre}-1', address=f'{centre}-1:7000')
            for centre in sizes
        ]

    @property
    def nodes(self):
        return list(self.nodes_by_name.values())

    def wall_clock(self):
        self.started += 1
        return 1_700_000_000 + anyio.current_time() + self.started / 1000

    @contextlib.asynccontextmanager
    async def running(self):
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            tasks.start_soon(self.network.run)
            for centre, size in self.sizes.items():
                for number in range(1, size + 1):
                    self.start(f'{centre}-{number}', centre)
            await self.wait_until(
                lambda: all(node.is_ready for node in self.nodes), 20
            )
            await self.wait_until(self.is_acquainted, 30)
            yield self
            tasks.cancel_scope.cancel()

    def is_acquainted(self):
        """Tell whether every daemon sees every other one as ready."""
        return all(
            len(node.membership.members(centre)) == size
            for node in self.nodes
            for centre, size in self.sizes.items()
        )

    def start(self, name, data_centre):
        node = Node(self, name, data_centre)
        self.nodes_by_name[name] = node
        self.tasks.start_soon(node.run)
        return node

    def kill(self, name):
        node = self.nodes_by_name.pop(name)
        node.scope.cancel()
        self.network.leave(name)

    def replace(self, name):
        centre = self.nodes_by_name[name].data_centre
        self.kill(name)
        return self.start(name, centre)

    async def accept(self, node, operation, value):
        """Set the drafts' target through a node and note the outcome."""
        decision = await node.set(
            operation, 'classes.draft.first_token_s', value
        )
        if isinstance(decision, Accepted):
            self.accepted[operation] = decision.version
        return decision

    async def wait_until(self, holds, seconds):
        """Wait for a condition; return how long it took."""
        start = anyio.current_time()
        while not holds():
            elapsed = anyio.current_time() - start
            if elapsed > seconds:
                raise AssertionError(f'not so after {elapsed:.1f} s')
            await anyio.sleep(0.05)
        return anyio.current_time() - start

    async def wait_in_force(self, version, seconds, nodes=None):
        nodes = self.nodes if nodes is None else nodes
        return await self.wait_until(
            lambda: all(
                node.in_force.current.version >= version for node in nodes
            ),
            seconds,
        )

    async def watch_versions(self):
        """Fail as soon as a version goes down on a daemon."""
        while True:
            for node in self.nodes:
                version = node.in_force.current.version
                seen = node.version_seen
                if version < seen:
                    raise AssertionError(
                        f'{node.name} went from {seen} to {version}'
                    )
                node.version_seen = version
            await anyio.sleep(0.05)
