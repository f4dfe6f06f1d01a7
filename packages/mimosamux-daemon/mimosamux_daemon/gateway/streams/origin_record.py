"""Records in the platform's table where recent streams began.

Daemons tell each other where streams begin. The rows serve those that start
when no daemon is left that knows: the versions that services run, and, while
a service runs several, the origins of its streams.
"""

from base64 import b64decode, b64encode
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import islice
from typing import Annotated

import anyio
import msgspec
import orjson
import xxhash
from mimosamux_wire import StreamsBegan

from mimosamux_daemon.decoding import decode_json
from mimosamux_daemon.domain.names import ServiceName
from mimosamux_daemon.domain.store import Check, Row, Unavailable, Write
from mimosamux_daemon.domain.stream_origins import StreamOrigin
from mimosamux_daemon.errors import InvalidConfiguration
from mimosamux_daemon.gateway.exchange.peer_states import PeerStates
from mimosamux_daemon.gateway.records.scans import scan_all
from mimosamux_daemon.gateway.streams.origin_exchange import (
    MS_PER_S,
    OriginExchange,
    parse_origins,
    render_origins,
)
from mimosamux_daemon.gateway.streams.version_users import VersionUsers
from mimosamux_daemon.gateway.streams.versions import SoftwareVersions
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports import Table

log = get_log('origin_record')

PREFIX = 'streams/'
VERSIONS_PREFIX = PREFIX + 'versions/'
ORIGINS_PREFIX = PREFIX + 'origins/'
THE_TABLE = 'the table'
"""Source of origins that were read from the rows."""
RETRY_S = 0.5
WRITE_INTERVAL_S = 0.5
"""Pause between two writes. If all daemons end, where the streams of this time
began is not known, and they cannot be taken up; a shorter one costs calls."""
ORIGIN_WRITERS = 2
"""Daemons that write the origins for all: one of them may be cut off, which
the others notice after a second or more."""
CLEANING_INTERVAL_S = 5.0
MAX_ROWS = 40
"""Most rows that are written, and as many deleted, in one transaction."""
MAX_ATTEMPT = 1_000_000
"""Bound of an attempt's number; messages have 32 bits for it."""
MAX_TIME = 2**53
"""Largest integer up to which every JSON parser is exact."""


class _VersionRow(msgspec.Struct, frozen=True, kw_only=True):
    """Row of a version that a service runs."""

    service: str
    software: str


class _OriginsRow(msgspec.Struct, frozen=True, kw_only=True):
    """Row of streams that began at one version of a service."""

    at: Annotated[float, msgspec.Meta(ge=0)]
    """When it was written, in the store's time in seconds."""
    service: str
    software: str
    attempt: Annotated[int, msgspec.Meta(ge=0, le=MAX_ATTEMPT)]
    keep_ms: Annotated[int, msgspec.Meta(ge=-MAX_TIME, le=MAX_TIME)]
    requests: str
    """Hashes of the requests, in base64."""


@dataclass(kw_only=True, slots=True)
class OriginRecord:
    """Reads the rows once at the start and writes what is new afterwards.

    Every daemon writes the versions that it sees, so that one that is cut off
    from the table keeps none out of the record. The origins, which all know,
    are written by two.
    """

    table: Table
    exchange: OriginExchange
    versions: SoftwareVersions
    users: VersionUsers
    states: PeerStates
    clock: Callable[[], float]
    store_time: Callable[[], float | None]
    """Returns the store's time in seconds, None while it is unknown."""
    first_read: anyio.Event = field(default_factory=anyio.Event)
    """Set once all rows were read."""
    _recorded_attempts: dict[int, int] = field(default_factory=dict)
    """Attempt that the rows have, by the hash of the request."""
    _expiry_by_key: dict[str, float] = field(default_factory=dict)
    """When a row of origins may be deleted, on the steady clock."""
    _written_rows: int = 0
    _has_work: anyio.Event = field(default_factory=anyio.Event)

    def __post_init__(self) -> None:
        self.versions.on_listed.append(lambda _: self._has_work.set())
        self.exchange.on_shared.append(lambda: self._has_work.set())

    async def run(self) -> None:
        """Read all rows once, then write until cancelled."""
        await self._read_until_done()
        await self._register_until_done()
        self.first_read.set()
        while True:
            with anyio.move_on_after(CLEANING_INTERVAL_S):
                await self._has_work.wait()
            self._has_work = anyio.Event()
            if not await self._write_all():
                self._has_work.set()
            await anyio.sleep(WRITE_INTERVAL_S)

    def write_again(self) -> None:
        """Write what a restored table may lack."""
        self.versions.recorded.clear()
        self._recorded_attempts.clear()
        self.users.write_again()
        self._has_work.set()

    async def _read_until_done(self) -> None:
        while True:
            if await self._read_all():
                return
            await anyio.sleep(RETRY_S)

    async def _register_until_done(self) -> None:
        while True:
            if await self.users.register():
                return
            await anyio.sleep(RETRY_S)

    async def _read_all(self) -> bool:
        """Read all rows; False if the table does not answer."""
        rows = await scan_all(self.table, PREFIX)
        if isinstance(rows, Unavailable):
            return False
        for row in rows:
            if row.key.startswith(VERSIONS_PREFIX):
                self._apply_version(row)
            else:
                self._apply_origins(row)
        self.versions.note_recorded(self.versions.recorded)
        log.info(
            'stream_record_read',
            versions=len(self.versions.recorded),
            streams=len(self._recorded_attempts),
        )
        return True

    def _apply_version(self, row: Row) -> None:
        try:
            fields = decode_json(row.value, _VersionRow)
        except InvalidConfiguration as error:
            log.error('row_unreadable', key=row.key, problem=str(error))
            return
        self.versions.recorded.add(
            StreamOrigin(
                service=ServiceName(fields.service), software=fields.software
            )
        )

    def _apply_origins(self, row: Row) -> None:
        now = self.clock()
        try:
            message = _parse_row(row, self.store_time())
        except (InvalidConfiguration, ValueError) as error:
            log.error('row_unreadable', key=row.key, problem=str(error))
            self._expiry_by_key[row.key] = now
            return
        self._expiry_by_key[row.key] = now + message.keep_ms / MS_PER_S
        for request, known in parse_origins(message, THE_TABLE, now):
            self.exchange.origins.add(request, known)
            self._recorded_attempts[request] = known.attempt

    async def _write_all(self) -> bool:
        """Write and delete what is due; False to try again.

        A daemon has its row as a user before it names a further version: it
        knows which one ran before as long as the table has no other.
        """
        if not await self.users.register():
            return False
        is_done = await self._write_versions()
        if self.states.is_among_lowest_ids(ORIGIN_WRITERS):
            is_done &= await self._write_origins()
        if self.states.has_lowest_id:
            await self.users.clean()
        return is_done

    async def _write_versions(self) -> bool:
        """Write the versions that are new; drop those that ran long ago."""
        recent = self.versions.recent()
        for origin in recent - self.versions.recorded:
            key = _key_of(origin)
            value = {'service': origin.service, 'software': origin.software}
            outcome = await self.table.commit(
                [Check(key=key, version=0)],
                [Write(key=key, value=orjson.dumps(value))],
            )
            # On a conflict, another daemon has written it.
            if isinstance(outcome, Unavailable):
                return False
            self.versions.recorded.add(origin)
        old = self.versions.recorded - recent
        self.versions.recorded -= old
        if not old or not self.states.has_lowest_id:
            return True
        deletions = [Write(key=_key_of(each), value=None) for each in old]
        outcome = await self.table.commit([], deletions[:MAX_ROWS])
        return not isinstance(outcome, Unavailable)

    async def _write_origins(self) -> bool:
        """Write the origins that no row has, and delete expired rows."""
        now, store_now = self.clock(), self.store_time()
        new = {
            request: known
            for request, known in self.exchange.shared()
            if self._recorded_attempts.get(request, 0) < known.attempt
        }
        messages = list(islice(render_origins(new.items(), now), MAX_ROWS))
        expired = [
            key for key, at in self._expiry_by_key.items() if at <= now
        ][:MAX_ROWS]
        if store_now is None or not (messages or expired):
            return True
        writes = [
            Write(key=self._next_key(), value=_render_row(each, store_now))
            for each in messages
        ]
        deletions = [Write(key=key, value=None) for key in expired]
        outcome = await self.table.commit([], [*writes, *deletions])
        for write, message in zip(writes, messages, strict=True):
            self._expiry_by_key[write.key] = now + message.keep_ms / MS_PER_S
        if isinstance(outcome, Unavailable):
            return False
        for key in expired:
            del self._expiry_by_key[key]
        self._note_recorded(messages)
        return True

    def _note_recorded(self, messages: list[StreamsBegan]) -> None:
        now = self.clock()
        current = dict(self.exchange.origins.current())
        self._recorded_attempts = {
            request: attempt
            for request, attempt in self._recorded_attempts.items()
            if request in current
        }
        for message in messages:
            for request, known in parse_origins(message, THE_TABLE, now):
                self._recorded_attempts[request] = known.attempt
        log.info(
            'streams_recorded',
            rows=len(messages),
            streams=len(self._recorded_attempts),
        )

    def _next_key(self) -> str:
        """Return a key that no row of this daemon's earlier lives has."""
        self._written_rows += 1
        place, incarnation = self.states.place, self.states.incarnation
        return (
            f'{ORIGINS_PREFIX}{place.id}/{incarnation:x}/{self._written_rows}'
        )


def _key_of(origin: StreamOrigin) -> str:
    text = f'{origin.service}\0{origin.software}'
    return VERSIONS_PREFIX + xxhash.xxh3_128_hexdigest(text.encode())


def _render_row(message: StreamsBegan, store_now: float) -> bytes:
    return orjson.dumps(
        {
            'at': store_now,
            'service': message.service,
            'software': message.software,
            'attempt': message.attempt,
            'keep_ms': message.keep_ms,
            'requests': b64encode(message.requests).decode(),
        }
    )


def _parse_row(row: Row, store_now: float | None) -> StreamsBegan:
    """Return the message in a row, as of now.

    Raises `InvalidConfiguration`, and `ValueError` for invalid hashes.
    """
    fields = decode_json(row.value, _OriginsRow)
    age_s = 0.0 if store_now is None else max(store_now - fields.at, 0.0)
    return StreamsBegan(
        service=fields.service,
        software=fields.software,
        attempt=fields.attempt,
        keep_ms=fields.keep_ms - int(age_s * MS_PER_S),
        requests=b64decode(fields.requests),
    )
