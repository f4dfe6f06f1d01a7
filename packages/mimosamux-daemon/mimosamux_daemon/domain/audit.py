"""Audit trail entries and their encoding as table rows."""

from dataclasses import asdict, dataclass
from enum import StrEnum

import orjson

from mimosamux_daemon.domain.store import Write

AUDIT_PREFIX = 'audit/'


class AuditKind(StrEnum):
    """Kind of change that an entry records."""

    CONFIGURATION = 'configuration'
    LEASE = 'lease'
    ORDER = 'order'
    VM = 'vm'


@dataclass(frozen=True, kw_only=True, slots=True)
class AuditEntry:
    """One change: who made it, why, and the state before and after."""

    id: str
    """Operation id; a repeated write of the same change adds no entry."""
    kind: AuditKind
    at: float
    """Wall-clock time in seconds since 1970, for display only."""
    who: str
    what: str
    why: str = ''
    before: str = ''
    after: str = ''
    version: int = 0

    @property
    def key(self) -> str:
        """Row key; the keys of one kind sort by time."""
        return f'{AUDIT_PREFIX}{self.kind}/{self.at:017.6f}/{self.id}'

    def as_write(self) -> Write:
        """Return the write to include in the transaction of the change."""
        return Write(key=self.key, value=orjson.dumps(asdict(self)))


def parse_entry(value: bytes) -> AuditEntry:
    """Decode an entry from the value of its row."""
    fields = orjson.loads(value)
    return AuditEntry(**{**fields, 'kind': AuditKind(fields['kind'])})
