"""The configuration in force at a daemon, and the replica behind it.

A replica holds the committed configuration document. It moves forward by
version records, or by a snapshot when records are missing.
"""

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum, auto

import anyio
import orjson

from mimosamux_daemon.control.configuration_changes import (
    Document,
    VersionRecord,
    apply_edits,
    digest_after,
    digest_of,
)
from mimosamux_daemon.control.configuration_models import (
    parse_committed,
    update_configuration,
)
from mimosamux_daemon.domain.configuration import Configuration
from mimosamux_daemon.errors import InvalidConfiguration
from mimosamux_daemon.logs import get_log

log = get_log('configuration')

KEPT_OPERATIONS = 2048
"""Recent operations that a replica remembers, to recognise repeats: half an
hour of changes at 1.15 changes per second."""
KEPT_RECORDS = 256
"""Version records kept in memory for peers that missed them."""


class ConfigurationInForce:
    """Holds the newest configuration; its version never decreases."""

    def __init__(self) -> None:
        self.current = Configuration()
        self._changed = anyio.Event()

    def update(self, configuration: Configuration) -> bool:
        """Put a newer configuration in force; False if it is not newer."""
        if configuration.version <= self.current.version:
            return False
        self.current = configuration
        self._changed.set()
        self._changed = anyio.Event()
        return True

    async def wait_for(self, version: int) -> None:
        """Wait until this version or a later one is in force."""
        while self.current.version < version:
            await self._changed.wait()


class AdvanceResult(Enum):
    """Outcome of applying a version record to a replica."""

    APPLIED = auto()
    ALREADY_APPLIED = auto()
    GAP = auto()
    """Versions before the record are missing."""
    CORRUPT = auto()
    """The resulting document differs from the committed one or is invalid."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Snapshot:
    """The whole configuration document at one version."""

    version: int
    digest: int
    document: Document
    operations: tuple[tuple[str, int], ...]
    """Recent operation ids with the version of each, oldest first."""

    def as_bytes(self) -> bytes:
        """Return the serialised form that is stored and sent to peers."""
        return orjson.dumps(
            {
                'version': self.version,
                'digest': str(self.digest),
                'document': self.document,
                'operations': self.operations,
            }
        )


def parse_snapshot(data: bytes) -> Snapshot | None:
    """Return the snapshot, or None if the bytes are invalid or corrupt."""
    try:
        fields = orjson.loads(data)
        snapshot = Snapshot(
            version=int(fields['version']),
            digest=int(fields['digest']),
            document=fields['document'],
            operations=tuple(
                (str(operation), int(version))
                for operation, version in fields['operations']
            ),
        )
        is_intact = digest_of(snapshot.document) == snapshot.digest
    except (ValueError, KeyError, TypeError, AttributeError):
        return None
    return snapshot if is_intact else None


class ConfigurationReplica:
    """The committed document at this daemon, with recent version records.

    It holds only versions that are known to be committed, so that peers
    may copy it without asking the store.
    """

    def __init__(self, *, in_force: ConfigurationInForce) -> None:
        self.in_force = in_force
        self.version = 0
        self.document: Document = {}
        self.digest = 0
        self._version_by_operation: OrderedDict[str, int] = OrderedDict()
        self._record_by_version: OrderedDict[int, VersionRecord] = (
            OrderedDict()
        )

    def advance(self, record: VersionRecord) -> AdvanceResult:
        """Apply the record if it is the next version."""
        if record.version <= self.version:
            return AdvanceResult.ALREADY_APPLIED
        if record.version > self.version + 1:
            return AdvanceResult.GAP
        edits = tuple(record.edits)
        document = apply_edits(self.document, edits)
        digest = digest_after(self.digest, self.document, document, edits)
        if digest != record.digest:
            log.error('record_corrupt', version=record.version)
            return AdvanceResult.CORRUPT
        try:
            configuration = update_configuration(
                self.in_force.current, document, edits, version=record.version
            )
        except InvalidConfiguration as error:
            log.error(
                'record_unreadable', version=record.version, problem=str(error)
            )
            return AdvanceResult.CORRUPT
        self._install(record.version, document, digest, configuration)
        for change in record.changes:
            self._remember_operation(change.operation, record.version)
        self._record_by_version[record.version] = record
        if len(self._record_by_version) > KEPT_RECORDS:
            self._record_by_version.popitem(last=False)
        return AdvanceResult.APPLIED

    def replace(self, snapshot: Snapshot) -> bool:
        """Replace the document by a newer snapshot.

        Return False if the snapshot is not newer or is unreadable.
        """
        if snapshot.version <= self.version:
            return False
        try:
            configuration = parse_committed(
                snapshot.document, version=snapshot.version
            )
        except InvalidConfiguration as error:
            log.error('snapshot_unreadable', problem=str(error))
            return False
        self._install(
            snapshot.version,
            snapshot.document,
            snapshot.digest,
            configuration,
        )
        self._record_by_version.clear()
        self._version_by_operation.clear()
        for operation, version in snapshot.operations:
            self._remember_operation(operation, version)
        return True

    def snapshot(self) -> Snapshot:
        """Return a snapshot of the current document."""
        return Snapshot(
            version=self.version,
            digest=self.digest,
            document=self.document,
            operations=tuple(self._version_by_operation.items()),
        )

    def version_of(self, operation: str) -> int | None:
        """Return the version that an operation was committed in.

        None if the operation is unknown or was too long ago.
        """
        return self._version_by_operation.get(operation)

    def records_after(self, version: int) -> tuple[VersionRecord, ...] | None:
        """Return all records after a version, or None if some are missing."""
        missing = range(version + 1, self.version + 1)
        if any(number not in self._record_by_version for number in missing):
            return None
        return tuple(self._record_by_version[number] for number in missing)

    def _install(
        self,
        version: int,
        document: Document,
        digest: int,
        configuration: Configuration,
    ) -> None:
        self.version = version
        self.document = document
        self.digest = digest
        self.in_force.update(configuration)

    def _remember_operation(self, operation: str, version: int) -> None:
        self._version_by_operation[operation] = version
        if len(self._version_by_operation) > KEPT_OPERATIONS:
            self._version_by_operation.popitem(last=False)
