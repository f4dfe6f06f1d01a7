"""Daemons' share in the configuration, without the daemons."""

import hashlib
from dataclasses import dataclass, field

from mimosamux_daemon.adapters.memory_object_store import MemoryObjectStore
from mimosamux_daemon.adapters.memory_table import MemoryTable
from mimosamux_daemon.control.configuration import (
    ConfigurationInForce,
    ConfigurationReplica,
)
from mimosamux_daemon.control.configuration_acceptor import (
    ConfigurationAcceptor,
)
from mimosamux_daemon.control.configuration_log import ConfigurationLog
from mimosamux_daemon.control.proposals import (
    SetValue,
)
from mimosamux_daemon.control.store_guard import StoreGuard
from mimosamux_daemon.domain.audit import AUDIT_PREFIX, parse_entry

DOCUMENT = {
    'classes': {
        'draft': {'first_token_s': 5.0},
        'lookup': {'first_token_s': 0.5},
    },
    'models': {'itinerary': {'version': '1'}},
    'accounts': {
        'school': {'key_digests': [hashlib.sha256(b'school-key').hexdigest()]}
    },
    'data_centres': ['one', 'two'],
}


@dataclass(kw_only=True)
class Store:
    """The platform's table and object store."""

    table: MemoryTable = field(default_factory=MemoryTable)
    objects: MemoryObjectStore = field(default_factory=MemoryObjectStore)

    def audited_ids(self):
        return [
            parse_entry(row.value).id
            for key, row in sorted(self.table.rows_by_key.items())
            if key.startswith(AUDIT_PREFIX)
        ]


@dataclass(kw_only=True)
class Participant:
    """A replica with an acceptor over the store; keeps what it spread."""

    store: Store
    name: str = 'anna'
    spread: list = field(default_factory=list)
    guard: StoreGuard | None = None
    """What its calls to the table go through, if anything."""

    def __post_init__(self):
        self.replica = ConfigurationReplica(in_force=ConfigurationInForce())
        table, invite = self.store.table, None
        if self.guard is not None:
            table = self.guard.table(table, mechanism='test')
            invite = self.guard.table_calls.breaker.request_probe
        self.log = ConfigurationLog(table=table, objects=self.store.objects)
        self.acceptor = ConfigurationAcceptor(
            replica=self.replica,
            log=self.log,
            broadcast=self.spread.extend,
            wall_clock=lambda: 1_700_000_000.0,
            request_probe=invite,
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
