"""The log of the configuration in the platform's table.

The head row names the newest version; a row for each version holds its
changes. A snapshot in the object store, named by a row, stands for the
versions up to it, so that their rows can be deleted.
"""

from collections.abc import Awaitable, Sequence
from dataclasses import dataclass
from typing import TypeVar

import anyio
import orjson

from mimosamux_daemon.control.configuration import (
    Advance,
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
"""Versions between two snapshots."""
KEPT_ROWS = 512
"""Rows of versions that stay for the history after a snapshot."""
OLD_SNAPSHOT = 16 * SNAPSHOT_EVERY
"""A snapshot so many versions old is emptied: stores keep no junk."""
DELETED_AT_ONCE = 100
SCAN_ROWS = 500
CALL_TIMEOUT_S = 2.0

ResultT = TypeVar('ResultT')


@dataclass(frozen=True, kw_only=True, slots=True)
class CaughtUp:
    """The replica holds the head; these versions are new to it."""

    records: tuple[VersionRecord, ...]


def change_key(version: int) -> str:
    """Return the key of a version's row; keys sort by version."""
    return f'{CHANGE_PREFIX}{version:012d}'


class ConfigurationLog:
    """Reads, extends and shortens the log."""

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

    async def catch_up(
        self, replica: ConfigurationReplica
    ) -> CaughtUp | Unavailable:
        """Bring a replica up to the head of the log."""
        head = await self._guard(self._table.read(HEAD_KEY))
        if isinstance(head, Unavailable):
            return head
        self._count('read', 1)
        if head is None:
            return CaughtUp(records=())
        version = self._note_head(head)
        taken: list[VersionRecord] = []
        while replica.version < version:
            records = await self.read_records(replica.version)
            if isinstance(records, Unavailable):
                return records
            if not self._advance(replica, records, taken):
                problem = await self._take_snapshot(replica)
                if problem is not None:
                    return problem
        return CaughtUp(records=tuple(taken))

    async def read_records(
        self, after: int
    ) -> tuple[VersionRecord, ...] | Unavailable:
        """Return some versions after the given one, oldest first."""
        rows = await self._guard(
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
        """Commit a version together with its audit entries.

        The check on the head row lets one of several daemons through
        that append the same version.
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
        return await self._guard(
            self._table.commit(
                [Check(key=HEAD_KEY, version=row_version)], writes
            ),
            may_land=True,
        )

    async def compact(self, replica: ConfigurationReplica) -> None:
        """Write a snapshot and delete the rows that it stands for.

        Whatever fails here is done again at a later version.
        """
        snapshot = replica.snapshot()
        pointer = await self._guard(self._table.read(SNAPSHOT_KEY))
        if isinstance(pointer, Unavailable):
            return
        self._count('read', 1)
        if _pointed_version(pointer) >= snapshot.version:
            return
        stored = await self._guard(
            self._objects.put(
                _object_key(snapshot.version), snapshot.as_bytes()
            )
        )
        if isinstance(stored, Unavailable):
            return
        moved = await self._guard(
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
            may_land=True,
        )
        if isinstance(moved, Unavailable):
            return
        self._count('written', 1)
        await self._delete_rows(snapshot.version - KEPT_ROWS)
        if snapshot.version > OLD_SNAPSHOT:
            await self._guard(
                self._objects.put(
                    _object_key(snapshot.version - OLD_SNAPSHOT), b''
                )
            )
        log.info('snapshot_written', version=snapshot.version)

    async def _delete_rows(self, last: int) -> None:
        # Rows are deleted only up to a version that a snapshot, whose
        # row is committed, stands for. Otherwise a daemon that starts
        # now would find a gap and nothing to fill it with.
        while True:
            rows = await self._guard(
                self._table.scan(CHANGE_PREFIX, limit=DELETED_AT_ONCE)
            )
            if isinstance(rows, Unavailable):
                return
            self._count('read', len(rows))
            old = [row.key for row in rows if row.key <= change_key(last)]
            if not old:
                return
            deleted = await self._guard(
                self._table.commit(
                    [], [Write(key=key, value=None) for key in old]
                ),
                may_land=True,
            )
            if isinstance(deleted, Unavailable):
                return
            self._count('written', len(old))
            if len(old) < DELETED_AT_ONCE:
                return

    def _advance(
        self,
        replica: ConfigurationReplica,
        records: tuple[VersionRecord, ...],
        taken: list[VersionRecord],
    ) -> bool:
        if not records:
            return False
        for record in records:
            result = replica.advance(record)
            if result is Advance.TAKEN:
                taken.append(record)
            elif result is not Advance.KNOWN:
                return False
        return True

    async def _take_snapshot(
        self, replica: ConfigurationReplica
    ) -> Unavailable | None:
        pointer = await self._guard(self._table.read(SNAPSHOT_KEY))
        if isinstance(pointer, Unavailable):
            return pointer
        self._count('read', 1)
        key = _object_key(_pointed_version(pointer))
        data = await self._guard(self._objects.get(key))
        if isinstance(data, Unavailable):
            return data
        snapshot = parse_snapshot(data or b'')
        if snapshot is None or not replica.replace(snapshot):
            log.error('snapshot_missing', key=key, held=replica.version)
            return Unavailable(
                reason=f'{key} does not lead on from {replica.version}',
                may_have_landed=False,
            )
        return None

    def _note_head(self, head: Row) -> int:
        version: int = orjson.loads(head.value)['version']
        self._head_offset = head.version - version
        return version

    async def _guard(
        self,
        call: Awaitable[ResultT],
        *,
        may_land: bool = False,
    ) -> ResultT | Unavailable:
        # A call that hangs would hold up every operator behind it.
        with anyio.move_on_after(CALL_TIMEOUT_S):
            return await call
        return Unavailable(
            reason='no answer in time', may_have_landed=may_land
        )

    def _count(self, kind: str, rows: int) -> None:
        if self._metrics is not None:
            labels = {'mechanism': 'configuration', 'kind': kind}
            self._metrics.table_rows.add(labels, rows)


def _pointed_version(pointer: Row | None) -> int:
    if pointer is None:
        return 0
    version: int = orjson.loads(pointer.value)['version']
    return version


def _object_key(version: int) -> str:
    return f'{SNAPSHOT_KEY}/{version:012d}'
