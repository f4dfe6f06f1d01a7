"""The configuration in force at this daemon, and its document."""

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
"""Repeats of an operation are known for so many changes (half an hour at
1.15 changes a second)."""
KEPT_RECORDS = 256
"""Versions kept in memory for peers that missed them."""


class ConfigurationInForce:
    """Holds the newest configuration; its version only goes up."""

    def __init__(self) -> None:
        self.current = Configuration()
        self._changed = anyio.Event()

    def take(self, configuration: Configuration) -> bool:
        """Put a newer version in force; an older one changes nothing."""
        if configuration.version <= self.current.version:
            return False
        self.current = configuration
        self._changed.set()
        self._changed = anyio.Event()
        return True

    async def wait_for(self, version: int) -> None:
        """Return once a version is in force that is at least this one."""
        while self.current.version < version:
            await self._changed.wait()


class Advance(Enum):
    """What became of a record that was offered to a replica."""

    TAKEN = auto()
    KNOWN = auto()
    GAP = auto()
    """Versions between are missing."""
    CORRUPT = auto()
    """The result is not the document that was committed."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Snapshot:
    """The whole document as of one version."""

    version: int
    digest: int
    document: Document
    operations: tuple[tuple[str, int], ...]
    """Recent operations and the versions they led to, oldest first."""

    def as_bytes(self) -> bytes:
        """Return the snapshot as objects and messages hold it."""
        return orjson.dumps(
            {
                'version': self.version,
                'digest': str(self.digest),
                'document': self.document,
                'operations': self.operations,
            }
        )


def parse_snapshot(data: bytes) -> Snapshot | None:
    """Return the snapshot, None if the bytes are none or were spoilt."""
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
        is_whole = digest_of(snapshot.document) == snapshot.digest
    except (ValueError, KeyError, TypeError, AttributeError):
        return None
    return snapshot if is_whole else None


class ConfigurationReplica:
    """The committed document at this daemon, and its recent past.

    Only what is known to be committed is ever put in, so that a peer may
    take all of it as accepted.
    """

    def __init__(self, *, in_force: ConfigurationInForce) -> None:
        self.in_force = in_force
        self.version = 0
        self.document: Document = {}
        self.digest = 0
        self._operations: OrderedDict[str, int] = OrderedDict()
        self._records: OrderedDict[int, VersionRecord] = OrderedDict()

    def advance(self, record: VersionRecord) -> Advance:
        """Take the next version."""
        if record.version <= self.version:
            return Advance.KNOWN
        if record.version > self.version + 1:
            return Advance.GAP
        edits = tuple(record.edits)
        document = apply_edits(self.document, edits)
        digest = digest_after(self.digest, self.document, document, edits)
        if digest != record.digest:
            log.error('record_corrupt', version=record.version)
            return Advance.CORRUPT
        try:
            configuration = update_configuration(
                self.in_force.current, document, edits, version=record.version
            )
        except InvalidConfiguration as error:
            log.error(
                'record_unreadable', version=record.version, problem=str(error)
            )
            return Advance.CORRUPT
        self._hold(record.version, document, digest, configuration)
        for change in record.changes:
            self._note(change.operation, record.version)
        self._records[record.version] = record
        if len(self._records) > KEPT_RECORDS:
            self._records.popitem(last=False)
        return Advance.TAKEN

    def replace(self, snapshot: Snapshot) -> bool:
        """Take a whole snapshot; an older one changes nothing."""
        if snapshot.version <= self.version:
            return False
        try:
            configuration = parse_committed(
                snapshot.document, version=snapshot.version
            )
        except InvalidConfiguration as error:
            log.error('snapshot_unreadable', problem=str(error))
            return False
        self._hold(
            snapshot.version,
            snapshot.document,
            snapshot.digest,
            configuration,
        )
        self._records.clear()
        self._operations.clear()
        for operation, version in snapshot.operations:
            self._note(operation, version)
        return True

    def snapshot(self) -> Snapshot:
        """Return the document as it is held now."""
        return Snapshot(
            version=self.version,
            digest=self.digest,
            document=self.document,
            operations=tuple(self._operations.items()),
        )

    def version_of(self, operation: str) -> int | None:
        """Return the version that an operation led to, if it is known."""
        return self._operations.get(operation)

    def records_after(self, version: int) -> tuple[VersionRecord, ...] | None:
        """Return all later records, None if some are not held."""
        missing = range(version + 1, self.version + 1)
        if any(number not in self._records for number in missing):
            return None
        return tuple(self._records[number] for number in missing)

    def _hold(
        self,
        version: int,
        document: Document,
        digest: int,
        configuration: Configuration,
    ) -> None:
        self.version = version
        self.document = document
        self.digest = digest
        self.in_force.take(configuration)

    def _note(self, operation: str, version: int) -> None:
        self._operations[operation] = version
        if len(self._operations) > KEPT_OPERATIONS:
            self._operations.popitem(last=False)
