"""Entries of the audit trail and the rows that keep them."""

from dataclasses import asdict, dataclass
from enum import StrEnum

import orjson

from mimosamux_daemon.domain.store import Write

AUDIT_PREFIX = 'audit/'


class AuditKind(StrEnum):
    """What sort of change an entry records."""

    CONFIGURATION = 'configuration'
    LEASE = 'lease'
    ORDER = 'order'
    VM = 'vm'


@dataclass(frozen=True, kw_only=True, slots=True)
class AuditEntry:
    """Who changed what and why, with the state before and after."""

    id: str
    """Operation id: a repeated write of the same change is one entry."""
    kind: AuditKind
    at: float
    """Wall time in seconds since 1970, only for people to read."""
    who: str
    what: str
    why: str = ''
    before: str = ''
    after: str = ''
    version: int = 0

    @property
    def key(self) -> str:
        """Row key; keys of one kind sort by time."""
        return f'{AUDIT_PREFIX}{self.kind}/{self.at:017.6f}/{self.id}'

    def as_write(self) -> Write:
        """Return the write that belongs into the change's transaction."""
        return Write(key=self.key, value=orjson.dumps(asdict(self)))


def parse_entry(value: bytes) -> AuditEntry:
    """Return the entry that a row of the trail holds."""
    fields = orjson.loads(value)
    return AuditEntry(**{**fields, 'kind': AuditKind(fields['kind'])})
