"""Persists crash suspects in the platform's table.

Daemons primarily send suspects to each other. The rows serve daemons that
start when no daemon is left that knows the suspects, and daemons that cannot
reach each other.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Annotated

import anyio
import msgspec
import orjson

from mimosamux_daemon.decoding import decode_json
from mimosamux_daemon.domain.names import ContentKey
from mimosamux_daemon.domain.store import (
    Check,
    Conflict,
    Row,
    Unavailable,
    Write,
)
from mimosamux_daemon.errors import InvalidConfiguration
from mimosamux_daemon.gateway.crashes.exchange import CrashExchange
from mimosamux_daemon.gateway.crashes.suspects import (
    Suspect,
    parse_incarnation,
)
from mimosamux_daemon.gateway.exchange.peer_states import PeerStates
from mimosamux_daemon.gateway.records.scans import scan_all
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports import Table

log = get_log('crash_rows')

PREFIX = 'crashes/'
RETRY_S = 0.5
MIN_WRITTEN_CRASHES = 2
"""Crashes from which on a suspect is written. Most suspects are bystanders of
a single crash, and a call to the table for each of them would be wasted."""
MAX_WRITE_ATTEMPTS = 3
"""Attempts to write one suspect; each conflict reads the row that another
daemon wrote in between."""
ORPHAN_AGE_S = 7200.0
"""Age from which on the rows of expired suspects are deleted. Each daemon
does so only at its start."""


class _SuspectRow(msgspec.Struct, frozen=True, kw_only=True):
    """Row of a suspect."""

    endpoints: list[str]
    """Incarnations that crashed running it."""
    at: Annotated[float, msgspec.Meta(ge=0)]
    """Time of the last crash, in the store's time in seconds."""


@dataclass(kw_only=True, slots=True)
class CrashRows:
    """Reads the rows at the start and writes changes afterwards."""

    table: Table
    exchange: CrashExchange
    states: PeerStates
    clock: Callable[[], float]
    store_time: Callable[[], float | None]
    """Returns the store's time in seconds, None while it is unknown."""
    first_read: anyio.Event = field(default_factory=anyio.Event)
    """Set once all rows were read."""
    _version_by_content: dict[ContentKey, int] = field(default_factory=dict)
    """Row versions that were last read or written."""
    _changed: dict[ContentKey, None] = field(default_factory=dict)
    """Contents whose row has to be written, in order."""
    _cleared: dict[ContentKey, None] = field(default_factory=dict)
    """Contents whose row has to be deleted, in order."""
    _has_work: anyio.Event = field(default_factory=anyio.Event)

    def __post_init__(self) -> None:
        self.exchange.on_suspected.append(self._queue_write)
        self.exchange.on_cleared.append(self._queue_delete)

    async def run(self) -> None:
        """Read all rows once, then write changes until cancelled."""
        await self._read_until_done()
        self.first_read.set()
        while True:
            await self._has_work.wait()
            self._has_work = anyio.Event()
            if not await self._write_all():
                await anyio.sleep(RETRY_S)
                self._has_work.set()

    def write_again(self) -> None:
        """Write the suspects that a restored table may lack.

        Only one daemon does: all of them know the same suspects.
        """
        if not self.states.has_lowest_id:
            return
        for content in self.exchange.suspects.by_content:
            self._queue_write(content)

    async def _read_until_done(self) -> None:
        while True:
            if await self._read_all():
                return
            await anyio.sleep(RETRY_S)

    def _queue_write(self, content: ContentKey) -> None:
        crashes = self.exchange.suspects.crashes(content)
        all_peers_reachable = len(self.states.fresh()) == len(
            self.states.by_id
        )
        has_row = content in self._version_by_content
        if (
            crashes >= MIN_WRITTEN_CRASHES
            or has_row
            or not all_peers_reachable
        ):
            self._changed[content] = None
            self._cleared.pop(content, None)
            self._has_work.set()

    def _queue_delete(self, content: ContentKey) -> None:
        self._changed.pop(content, None)
        self._cleared[content] = None
        self._has_work.set()

    async def _read_all(self) -> bool:
        rows = await scan_all(self.table, PREFIX)
        if isinstance(rows, Unavailable):
            return False
        for row in rows:
            self._apply_row(row)
        return True

    def _apply_row(self, row: Row) -> None:
        content = ContentKey(row.key.removeprefix(PREFIX))
        self._version_by_content[content] = row.version
        suspect = self._parse(content, row)
        if suspect is None:
            return
        is_expired = self.exchange.suspects.is_expired(suspect)
        if is_expired and self.clock() - suspect.last_crash_at > ORPHAN_AGE_S:
            self._queue_delete(content)
        else:
            self.exchange.merge(suspect, source='the table')

    def _parse(self, content: ContentKey, row: Row) -> Suspect | None:
        try:
            fields = decode_json(row.value, _SuspectRow)
            incarnations = [
                parse_incarnation(each) for each in fields.endpoints
            ]
        except InvalidConfiguration as error:
            log.error('row_unreadable', key=row.key, problem=str(error))
            return None
        now = self.store_time()
        age_s = 0.0 if now is None else max(now - fields.at, 0.0)
        return Suspect(
            content=content,
            crashed=frozenset(
                incarnation
                for incarnation in incarnations
                if incarnation is not None
            ),
            last_crash_at=self.clock() - age_s,
        )

    async def _write_all(self) -> bool:
        """Write all changes; False if the table does not answer."""
        while self._changed or self._cleared:
            if self._cleared:
                content = next(iter(self._cleared))
                is_done = await self._delete(content)
            else:
                content = next(iter(self._changed))
                is_done = await self._write(content)
            if not is_done:
                return False
        return True

    async def _delete(self, content: ContentKey) -> bool:
        if content in self._version_by_content:
            outcome = await self.table.commit(
                [], [Write(key=PREFIX + content, value=None)]
            )
            if isinstance(outcome, Unavailable):
                return False
        self._version_by_content.pop(content, None)
        self._cleared.pop(content, None)
        return True

    async def _write(self, content: ContentKey) -> bool:
        for _ in range(MAX_WRITE_ATTEMPTS):
            value = self._render(content)
            if value is None:
                break
            key = PREFIX + content
            version = self._version_by_content.get(content, 0)
            outcome = await self.table.commit(
                [Check(key=key, version=version)],
                [Write(key=key, value=value)],
            )
            if isinstance(outcome, Unavailable):
                return False
            if not isinstance(outcome, Conflict):
                self._version_by_content[content] = outcome.versions[key]
                break
            self._version_by_content[content] = 0
            if outcome.found is not None:
                self._apply_row(outcome.found)
        self._changed.pop(content, None)
        return True

    def _render(self, content: ContentKey) -> bytes | None:
        suspect = self.exchange.suspects.by_content.get(content)
        now = self.store_time()
        if suspect is None or now is None:
            return None
        return orjson.dumps(
            {
                'endpoints': [
                    str(incarnation) for incarnation in sorted(suspect.crashed)
                ],
                'at': now - (self.clock() - suspect.last_crash_at),
            }
        )
