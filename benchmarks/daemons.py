"""The shared part of many daemons in one process, over real links."""

import contextlib
from collections import Counter
from collections.abc import AsyncIterator, Callable, Sequence

import anyio
import anyio.abc
from mimosamux_daemon.adapters.link_security import Link, LinkSecurity
from mimosamux_daemon.adapters.memory_object_store import MemoryObjectStore
from mimosamux_daemon.adapters.memory_table import MemoryTable
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
from mimosamux_daemon.control.membership import Membership
from mimosamux_daemon.control.proposals import (
    ApplyDocument,
    Decision,
    SetValue,
)
from mimosamux_daemon.domain.configuration import Configuration
from mimosamux_daemon.domain.names import DaemonId, DataCentreName
from mimosamux_daemon.settings import PeerAddress
from mimosamux_wire import LinkClosed

SECRET = LinkSecurity(secret=b'a secret of the benchmark')
MEET_WITHIN_S = 20.0
FRAME_OVERHEAD_BYTES = 20
"""Length and tag of each frame."""


def make_document(accounts: int) -> dict[str, object]:
    """Return a configuration with so many client accounts."""
    return {
        'classes': {
            name: {'first_token_s': 5.0} for name in ('draft', 'lookup')
        },
        'models': {'itinerary': {'version': '1'}},
        'accounts': {
            f'account-{number}': {'key_digests': [f'{number:064x}']}
            for number in range(accounts)
        },
    }


class TimedInForce(ConfigurationInForce):
    """Notes when each version came into force."""

    def __init__(self) -> None:
        super().__init__()
        self.taken_at_by_version: dict[int, float] = {}

    def update(self, configuration: Configuration) -> bool:
        """Put a newer version in force and note the time."""
        is_newer = super().update(configuration)
        if is_newer:
            now = anyio.current_time()
            self.taken_at_by_version[configuration.version] = now
        return is_newer


class CountedPeers(ThriftPeers):
    """Counts messages and bytes; links can be cut."""

    cut: frozenset[DaemonId] = frozenset()

    def cut_off(self, daemons: frozenset[DaemonId]) -> None:
        """Cut the outgoing links to these daemons."""
        self.cut = daemons
        for daemon in daemons:
            self._drop_link(daemon)

    async def _connect(self, daemon: DaemonId) -> Link | LinkClosed:
        if daemon in self.cut:
            return LinkClosed(reason='cut')
        return await super()._connect(daemon)

    def _count(self, name: str, size: int) -> None:
        if not hasattr(self, 'messages'):
            self.messages: Counter[str] = Counter()
            self.bytes: Counter[str] = Counter()
        self.messages[name] += 1
        self.bytes[name] += size + FRAME_OVERHEAD_BYTES


class BenchDaemon:
    """What one daemon shares with the others."""

    def __init__(
        self,
        *,
        name: str,
        data_centre: str,
        table: MemoryTable,
        objects: MemoryObjectStore,
        seeds: Callable[[], list[PeerAddress]],
    ) -> None:
        self.name = DaemonId(name)
        self.data_centre = DataCentreName(data_centre)
        self.in_force = TimedInForce()
        self.is_ready = anyio.Event()
        self.is_mute = False
        """True: accepted versions are not pushed."""
        self.peers = CountedPeers(
            daemon=self.name, host='127.0.0.1', port=0, security=SECRET
        )
        self.replica = ConfigurationReplica(in_force=self.in_force)
        self.log = ConfigurationLog(table=table, objects=objects)
        self.membership = Membership(
            daemon=self.name,
            data_centre=self.data_centre,
            address=lambda: self.peers.address,
            caller_address=lambda: f'10.0.0.1:{len(name)}',
            peers=self.peers,
            seeds=seeds,
            version=lambda: self.replica.version,
        )
        self.sync = ConfigurationSync(
            replica=self.replica,
            log=self.log,
            peers=self.peers,
            membership=self.membership,
        )
        self.acceptor = ConfigurationAcceptor(
            replica=self.replica, log=self.log, broadcast=self._broadcast
        )

    def _broadcast(self, records: Sequence[VersionRecord]) -> None:
        if not self.is_mute:
            self.sync.broadcast(records)

    async def run(self) -> None:
        """Run the daemon's shared part until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.peers.run)
            await self.peers.listening.wait()
            tasks.start_soon(self.membership.run)
            tasks.start_soon(self.acceptor.run)
            await self.sync.start()
            self.membership.become_ready()
            tasks.start_soon(self.sync.run)
            self.is_ready.set()

    async def set(self, number: int) -> Decision:
        """Propose the change of so high a number."""
        return await self.acceptor.propose(
            SetValue(
                operation=f'operation-{number:08d}',
                who='operator 0a1b2c3d',
                path=('accounts', f'account-{number % 7}', 'max_open'),
                value=1000 + number,
                why='more teachers this term',
            )
        )


class BenchCluster:
    """Data centres over one table in memory."""

    def __init__(self, *, sizes: Sequence[int], accounts: int = 50) -> None:
        self.table = MemoryTable()
        self.objects = MemoryObjectStore()
        self.document = make_document(accounts)
        self.daemons = [
            BenchDaemon(
                name=f'dc{centre}-entry{number}',
                data_centre=f'dc{centre}',
                table=self.table,
                objects=self.objects,
                seeds=self.seeds,
            )
            for centre, size in enumerate(sizes)
            for number in range(size)
        ]
        self.size_by_name = {
            DataCentreName(f'dc{centre}'): size
            for centre, size in enumerate(sizes)
        }

    def seeds(self) -> list[PeerAddress]:
        """Return the first daemon of each data centre."""
        return [
            PeerAddress(id=daemon.name, address=daemon.peers.address)
            for daemon in self.daemons
            if daemon.name.endswith('entry0') and daemon.peers.address
        ]

    @contextlib.asynccontextmanager
    async def running(self, settle_s: float) -> AsyncIterator[None]:
        """Run all daemons; returns once they know each other."""
        first = self.daemons[0]
        await first.acceptor.propose(
            ApplyDocument(
                operation='operation-first',
                who='benchmark',
                document=self.document,
                expected_version=0,
            )
        )
        async with anyio.create_task_group() as tasks:
            for daemon in self.daemons:
                tasks.start_soon(daemon.run)
                # One process starts them all; spread a little they are
                # not late with everything.
                await daemon.is_ready.wait()
            with anyio.fail_after(MEET_WITHIN_S):
                for daemon in self.daemons:
                    await self._wait_acquainted(daemon)
            await anyio.sleep(settle_s)
            yield
            tasks.cancel_scope.cancel()

    async def _wait_acquainted(self, daemon: BenchDaemon) -> None:
        membership = daemon.membership
        seen = 0
        while any(
            len(membership.members(name)) < size
            for name, size in self.size_by_name.items()
        ):
            seen = await membership.wait_for_change(seen)
