"""The configuration log in the platform's table.

The head row holds the newest version number; each version has a row with
its changes. A snapshot in the object store, referenced by another row,
replaces the versions up to it, so that their rows can be deleted.
"""

from collections.abc import Awaitable, Sequence
from dataclasses import dataclass
from typing import TypeVar

import anyio
import orjson

from mimosamux_daemon.control.configuration import (
    AdvanceResult,
    ConfigurationReplica,
    parse_snapshot,
)
from mimosamux_daemon.control.configuration_changes import (
    VersionRecord,
    parse_record,
)
from mimosamux_daemon.domain.audit import AuditEntry
from mimosamux_daemon.domain.store import (
    Check,
    CommitOutcome,
    Row,
    Unavailable,
    Write,
)
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.metrics import Metrics
from mimosamux_daemon.ports import Table
from mimosamux_daemon.ports.models import ObjectStore

log = get_log('configuration')

HEAD_KEY = 'configuration/head'
CHANGE_PREFIX = 'configuration/change/'
SNAPSHOT_KEY = 'configuration/snapshot'
SNAPSHOT_EVERY = 256
"""Interval between snapshots, in versions."""
KEPT_ROWS = 512
"""Version rows that are kept as history after a snapshot."""
SNAPSHOT_RETENTION = 16 * SNAPSHOT_EVERY
"""Age in versions at which a snapshot object is overwritten with an empty
one, so that old snapshots do not fill the object store."""
DELETE_BATCH = 100
SCAN_ROWS = 500
CALL_TIMEOUT_S = 2.0

ResultT = TypeVar('ResultT')


@dataclass(frozen=True, kw_only=True, slots=True)
class CaughtUp:
    """The replica is at the head of the log, after applying these records."""

    records: tuple[VersionRecord, ...]


def change_key(version: int) -> str:
    """Return the key of a version's row; keys sort in version order."""
    return f'{CHANGE_PREFIX}{version:012d}'


class ConfigurationLog:
    """Reads, appends to and compacts the configuration log."""

    def __init__(
        self,
        *,
        table: Table,
        objects: ObjectStore,
        metrics: Metrics | None = None,
    ) -> None:
        self._table = table
        self._objects = objects
        self._metrics = metrics
        self._head_offset = 0
        """Row version of the head row minus its configuration version."""

    async def catch_up(
        self, replica: ConfigurationReplica
    ) -> CaughtUp | Unavailable:
        """Advance a replica to the head of the log."""
        head = await self._with_timeout(self._table.read(HEAD_KEY))
        if isinstance(head, Unavailable):
            return head
        self._count('read', 1)
        if head is None:
            return CaughtUp(records=())
        version = self._parse_head(head)
        applied: list[VersionRecord] = []
        while replica.version < version:
            records = await self.read_records(replica.version)
            if isinstance(records, Unavailable):
                return records
            if not self._advance_replica(replica, records, applied):
                problem = await self._load_snapshot(replica)
                if problem is not None:
                    return problem
        return CaughtUp(records=tuple(applied))

    async def read_records(
        self, after: int
    ) -> tuple[VersionRecord, ...] | Unavailable:
        """Return up to `SCAN_ROWS` records after a version, oldest first."""
        rows = await self._with_timeout(
            self._table.scan(
                CHANGE_PREFIX, after=change_key(after), limit=SCAN_ROWS
            )
        )
        if isinstance(rows, Unavailable):
            return rows
        self._count('read', len(rows))
        records = [parse_record(row.value) for row in rows]
        return tuple(record for record in records if record is not None)

    async def append(
        self, record: VersionRecord, entries: Sequence[AuditEntry]
    ) -> CommitOutcome:
        """Commit a version and its audit entries in one transaction.

        If several daemons append the same version, the check on the head
        row lets only one of them succeed.
        """
        previous = record.version - 1
        row_version = previous + self._head_offset if previous else 0
        head = orjson.dumps(
            {'version': record.version, 'digest': str(record.digest)}
        )
        writes = [
            Write(key=HEAD_KEY, value=head),
            Write(key=change_key(record.version), value=record.as_bytes()),
            *(entry.as_write() for entry in entries),
        ]
        self._count('written', len(writes))
        return await self._with_timeout(
            self._table.commit(
                [Check(key=HEAD_KEY, version=row_version)], writes
            ),
            may_have_taken_effect=True,
        )

    async def compact(self, replica: ConfigurationReplica) -> None:
        """Write a snapshot and delete the rows that it replaces.

        Steps that fail are repeated with a later snapshot.
        """
        snapshot = replica.snapshot()
        pointer = await self._with_timeout(self._table.read(SNAPSHOT_KEY))
        if isinstance(pointer, Unavailable):
            return
        self._count('read', 1)
        if _snapshot_version(pointer) >= snapshot.version:
            return
        stored = await self._with_timeout(
            self._objects.put(
                _object_key(snapshot.version), snapshot.as_bytes()
            )
        )
        if isinstance(stored, Unavailable):
            return
        pointer_write = await self._with_timeout(
            self._table.commit(
                [
                    Check(
                        key=SNAPSHOT_KEY,
                        version=pointer.version if pointer else 0,
                    )
                ],
                [
                    Write(
                        key=SNAPSHOT_KEY,
                        value=orjson.dumps({'version': snapshot.version}),
                    )
                ],
            ),
            may_have_taken_effect=True,
        )
        if isinstance(pointer_write, Unavailable):
            return
        self._count('written', 1)
        await self._delete_rows(snapshot.version - KEPT_ROWS)
        if snapshot.version > SNAPSHOT_RETENTION:
            await self._with_timeout(
                self._objects.put(
                    _object_key(snapshot.version - SNAPSHOT_RETENTION), b''
                )
            )
        log.info('snapshot_written', version=snapshot.version)

    async def _delete_rows(self, last: int) -> None:
        # Only rows that a committed snapshot covers may be deleted.
        # Otherwise a daemon that starts would find a gap in the log that
        # nothing fills.
        while True:
            rows = await self._with_timeout(
                self._table.scan(CHANGE_PREFIX, limit=DELETE_BATCH)
            )
            if isinstance(rows, Unavailable):
                return
            self._count('read', len(rows))
            old = [row.key for row in rows if row.key <= change_key(last)]
            if not old:
                return
            deleted = await self._with_timeout(
                self._table.commit(
                    [], [Write(key=key, value=None) for key in old]
                ),
                may_have_taken_effect=True,
            )
            if isinstance(deleted, Unavailable):
                return
            self._count('written', len(old))
            if len(old) < DELETE_BATCH:
                return

    def _advance_replica(
        self,
        replica: ConfigurationReplica,
        records: tuple[VersionRecord, ...],
        applied: list[VersionRecord],
    ) -> bool:
        if not records:
            return False
        for record in records:
            result = replica.advance(record)
            if result is AdvanceResult.APPLIED:
                applied.append(record)
            elif result is not AdvanceResult.ALREADY_APPLIED:
                return False
        return True

    async def _load_snapshot(
        self, replica: ConfigurationReplica
    ) -> Unavailable | None:
        pointer = await self._with_timeout(self._table.read(SNAPSHOT_KEY))
        if isinstance(pointer, Unavailable):
            return pointer
        self._count('read', 1)
        key = _object_key(_snapshot_version(pointer))
        data = await self._with_timeout(self._objects.get(key))
        if isinstance(data, Unavailable):
            return data
        snapshot = parse_snapshot(data or b'')
        if snapshot is None or not replica.replace(snapshot):
            log.error('snapshot_missing', key=key, held=replica.version)
            return Unavailable(
                reason=f'{key} does not lead on from {replica.version}',
                may_have_taken_effect=False,
            )
        return None

    def _parse_head(self, head: Row) -> int:
        version: int = orjson.loads(head.value)['version']
        self._head_offset = head.version - version
        return version

    async def _with_timeout(
        self,
        call: Awaitable[ResultT],
        *,
        may_have_taken_effect: bool = False,
    ) -> ResultT | Unavailable:
        # A call that hangs would block all operators queued behind it.
        with anyio.move_on_after(CALL_TIMEOUT_S):
            return await call
        return Unavailable(
            reason='no answer in time',
            may_have_taken_effect=may_have_taken_effect,
        )

    def _count(self, kind: str, rows: int) -> None:
        if self._metrics is not None:
            labels = {'mechanism': 'configuration', 'kind': kind}
            self._metrics.table_rows.add(labels, rows)


def _snapshot_version(pointer: Row | None) -> int:
    if pointer is None:
        return 0
    version: int = orjson.loads(pointer.value)['version']
    return version


def _object_key(version: int) -> str:
    return f'{SNAPSHOT_KEY}/{version:012d}'
