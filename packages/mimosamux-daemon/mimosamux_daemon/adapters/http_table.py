"""The platform's table over HTTP."""

from collections.abc import Sequence
from dataclasses import dataclass
from http import HTTPStatus

from mimosamux_daemon.adapters.http_platform import (
    PlatformClient,
    PlatformModel,
    parse_reply,
)
from mimosamux_daemon.domain.store import (
    Check,
    CommitOutcome,
    Committed,
    Conflict,
    Row,
    Unavailable,
    Write,
)


class RowReply(PlatformModel):
    """Answer to a read."""

    row: Row | None


class ScanReply(PlatformModel):
    """Answer to a scan."""

    rows: tuple[Row, ...]


class CommitBody(PlatformModel):
    """A transaction."""

    checks: tuple[Check, ...] = ()
    writes: tuple[Write, ...] = ()


class CommitReply(PlatformModel):
    """Answer to a transaction that was carried out."""

    versions: dict[str, int]


class ConflictReply(PlatformModel):
    """Answer to a transaction of which a check failed."""

    key: str
    found: Row | None


@dataclass(frozen=True, kw_only=True, slots=True)
class HttpTable:
    """The `Table` port over HTTP."""

    client: PlatformClient

    async def read(self, key: str) -> Row | None | Unavailable:
        """Return the row, None where there is none."""
        reply = await self.client.send(
            'GET', '/table/rows', params={'key': key}
        )
        if isinstance(reply, Unavailable):
            return reply
        parsed = parse_reply(RowReply, reply)
        return parsed if isinstance(parsed, Unavailable) else parsed.row

    async def scan(
        self, prefix: str, *, after: str = '', limit: int = 1000
    ) -> tuple[Row, ...] | Unavailable:
        """Return rows whose key starts with `prefix`, sorted by key."""
        reply = await self.client.send(
            'GET',
            '/table/scan',
            params={'prefix': prefix, 'after': after, 'limit': str(limit)},
        )
        if isinstance(reply, Unavailable):
            return reply
        parsed = parse_reply(ScanReply, reply)
        return parsed if isinstance(parsed, Unavailable) else parsed.rows

    async def commit(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> CommitOutcome:
        """Write all rows together if every check holds."""
        body = CommitBody(checks=tuple(checks), writes=tuple(writes))
        reply = await self.client.send(
            'POST', '/table/commit', body=body.model_dump_json().encode()
        )
        if isinstance(reply, Unavailable):
            return reply
        if reply.status == HTTPStatus.CONFLICT:
            conflict = parse_reply(
                ConflictReply, reply, status=HTTPStatus.CONFLICT
            )
            if isinstance(conflict, Unavailable):
                return conflict
            return Conflict(key=conflict.key, found=conflict.found)
        parsed = parse_reply(CommitReply, reply)
        if isinstance(parsed, Unavailable):
            return parsed
        if {write.key for write in writes} - parsed.versions.keys():
            return Unavailable(
                reason='malformed answer: versions: a key is missing',
                may_have_taken_effect=True,
            )
        return Committed(versions=parsed.versions)
