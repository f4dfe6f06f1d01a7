"""Rows of the daemons that begin streams beside several versions.

A daemon has its row in the table from before the first of these streams. One
without a row began its streams at the one version that ran before.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
import orjson
import xxhash

from mimosamux_daemon.decoding import decode_json
from mimosamux_daemon.domain.names import DaemonId, ServiceName
from mimosamux_daemon.domain.store import Row, Unavailable, Write
from mimosamux_daemon.domain.stream_origins import StreamOrigin
from mimosamux_daemon.errors import InvalidConfiguration
from mimosamux_daemon.gateway.exchange.peer_states import PeerStates
from mimosamux_daemon.gateway.jobs import Job
from mimosamux_daemon.gateway.records.scans import scan_all
from mimosamux_daemon.gateway.roster import Roster
from mimosamux_daemon.gateway.streams.versions import SoftwareVersions
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports import Table

log = get_log('version_users')

PREFIX = 'stream_users/'
GATE_S = 3.0
"""Time for which a version without a row waits even if no endpoint of the one
before takes requests."""
CHECK_ROWS_S = 15.0
"""Pause between two checks that this daemon's rows are still there."""
MAX_DELETIONS = 40
"""Most rows that are deleted in one transaction."""
KEEP_ROWS_S = 60.0
"""Time for which the row of an ended daemon is kept: its streams may still be
taken up. Also the time for which a restored table may lack some."""


@dataclass(frozen=True, kw_only=True, slots=True)
class VersionUser:
    """A daemon that begins streams beside several versions of a service."""

    key: str
    service: ServiceName
    daemon: DaemonId
    incarnation: int
    software_before: str | None
    """The one version that ran before, None if the daemon does not know."""


class _UserRow(msgspec.Struct, frozen=True, kw_only=True):
    """Row of a user."""

    service: str
    daemon: str
    incarnation: int
    before: str | None
    """Software version that ran before, None: not known."""


@dataclass(kw_only=True, slots=True)
class VersionUsers:
    """Keeps this daemon's rows, and reads those of all."""

    table: Table
    versions: SoftwareVersions
    roster: Roster
    states: PeerStates
    clock: Callable[[], float]
    _before_by_service: dict[ServiceName, StreamOrigin | None] = field(
        default_factory=dict
    )
    """The version before, of each service that runs several."""
    _several_since: dict[ServiceName, float] = field(default_factory=dict)
    _registered: set[ServiceName] = field(default_factory=set)
    """Services of which this daemon's row is in the table."""
    _gone_since: dict[str, float] = field(default_factory=dict)
    """When the daemon of a row was first missing, by the key."""
    _cleaned_at: float = 0.0
    _checked_at: float = 0.0
    _is_complete_from: float = 0.0
    """Until then, a table that was restored may lack rows."""

    async def register(self) -> bool:
        """Write a row for each service that runs several versions.

        False if the table does not answer.
        """
        if not await self._find_lost_rows():
            return False
        several = self.versions.services_with_several()
        for service in several - self._before_by_service.keys():
            self._before_by_service[service] = self._find_before(service)
        over = self._before_by_service.keys() - several
        due = several - self._registered
        if not (due or over):
            return True
        self._registered -= over
        writes = [self._render(service) for service in sorted(due)]
        writes += [
            Write(key=self._key_of(service), value=None)
            for service in sorted(over)
        ]
        if isinstance(await self.table.commit([], writes), Unavailable):
            return False
        self._registered |= due
        for service in over:
            self._several_since.pop(service, None)
            del self._before_by_service[service]
        log.info(
            'version_user_registered',
            services=','.join(sorted(due)),
            ended=','.join(sorted(over)),
        )
        return True

    async def _find_lost_rows(self) -> bool:
        """Have a row written again that another daemon has deleted.

        A daemon that does not hear this one may take it for ended. False if
        the table does not answer.
        """
        now = self.clock()
        if not self._registered or now < self._checked_at + CHECK_ROWS_S:
            return True
        self._checked_at = now
        for service in sorted(self._registered):
            row = await self.table.read(self._key_of(service))
            if isinstance(row, Unavailable):
                return False
            if row is None:
                log.warning('version_user_lost', service=service)
                self._registered.discard(service)
        return True

    def write_again(self) -> None:
        """Write what a restored table may lack, and trust it only later."""
        self._registered.clear()
        self._is_complete_from = self.clock() + KEEP_ROWS_S

    def limit_begin(self, job: Job) -> StreamOrigin | None:
        """Return the only version at which a new stream may begin, if any.

        Without a row of this daemon, a stream that it began at another one
        would be taken for a stream of the version before.
        """
        service = job.service.name
        if service in self._registered or not (
            job.is_stream and job.route.is_resumable
        ):
            return None
        if len(self.versions.of(service)) < 2:
            return None
        since = self._several_since.setdefault(service, self.clock())
        before = self._before_by_service.get(service) or self._find_before(
            service
        )
        if before is None or self.clock() < since + GATE_S:
            return before
        accepting = self.roster.accepting(service)
        takes_some = any(before.allows(each.listed) for each in accepting)
        return before if takes_some else None

    def _find_before(self, service: ServiceName) -> StreamOrigin | None:
        """Return the one version that ran so far, None if that is not known.

        All others are without a row: no daemon began a stream there.
        """
        known = self.versions.of(service) & self.versions.recorded
        return next(iter(known)) if len(known) == 1 else None

    async def read(self) -> list[VersionUser] | None:
        """Return the rows of all daemons, None if they prove nothing.

        The table does not answer, a row can't be read, or the table came back
        from a copy a short while ago and may lack rows of ended daemons.
        """
        rows = await scan_all(self.table, PREFIX)
        if isinstance(rows, Unavailable):
            return None
        users = [_parse(row) for row in rows]
        if None in users or self.clock() < self._is_complete_from:
            return None
        return [each for each in users if each]

    async def clean(self) -> None:
        """Delete the rows of daemons that ended long ago."""
        if self.clock() < self._cleaned_at + KEEP_ROWS_S / 2:
            return
        self._cleaned_at = self.clock()
        users = await self.read()
        if users is None:
            return
        now, present = self.clock(), self._find_present()
        self._gone_since = {
            each.key: self._gone_since.get(each.key, now)
            for each in users
            if self._seems_ended(each, present)
        }
        old = [
            Write(key=key, value=None)
            for key, since in self._gone_since.items()
            if since <= now - KEEP_ROWS_S
        ]
        if old:
            await self.table.commit([], old[:MAX_DELETIONS])

    def _find_present(self) -> set[tuple[DaemonId, int]]:
        """Return the processes that this daemon hears, and its own."""
        present = {
            (each.place.id, each.incarnation) for each in self.states.fresh()
        }
        return present | {(self.states.place.id, self.states.incarnation)}

    def _seems_ended(
        self, user: VersionUser, present: set[tuple[DaemonId, int]]
    ) -> bool:
        """Whether the process of a row has ended, as far as is known here.

        A daemon that hears nobody knows that of its own earlier processes.
        """
        hears_nobody = len(present) == 1
        if hears_nobody and user.daemon != self.states.place.id:
            return False
        return (user.daemon, user.incarnation) not in present

    def _key_of(self, service: ServiceName) -> str:
        place, incarnation = self.states.place, self.states.incarnation
        name = xxhash.xxh3_64_hexdigest(service.encode())
        return f'{PREFIX}{place.id}/{incarnation:x}/{name}'

    def _render(self, service: ServiceName) -> Write:
        before = self._before_by_service[service]
        value = {
            'service': service,
            'daemon': self.states.place.id,
            'incarnation': self.states.incarnation,
            'before': None if before is None else before.software,
        }
        return Write(key=self._key_of(service), value=orjson.dumps(value))


def _parse(row: Row) -> VersionUser | None:
    try:
        fields = decode_json(row.value, _UserRow)
    except InvalidConfiguration as error:
        log.error('row_unreadable', key=row.key, problem=str(error))
        return None
    return VersionUser(
        key=row.key,
        service=ServiceName(fields.service),
        daemon=DaemonId(fields.daemon),
        incarnation=fields.incarnation,
        software_before=fields.before,
    )
