"""Stand-in of the platform's store: rows, transactions and a feed."""

import base64
import random
from collections import deque
from dataclasses import dataclass, field
from enum import Enum, auto
from urllib.parse import parse_qs, urlsplit

import anyio
import orjson
from mimosamux_daemon.adapters.http1_exchange import IncomingRequest, Reply
from mimosamux_daemon.domain.http_messages import RawHeaders

JSON = (b'Content-Type', b'application/json')
MAX_ROWS = 500
COPY_RETENTION_S = 60.0
"""Time for which the store can go back to a copy of itself."""
REWRITTEN_TABLES = frozenset({'op', 'servers'})
"""Tables of the operator and the replicas, who write again what is lost."""
RowName = tuple[str, str, str]
"""Table, part and key."""


class StoreTrouble(Enum):
    """How the store treats calls while it is in trouble."""

    NONE = auto()
    BUSY = auto()
    """Answers 503: nothing was done."""
    SILENT = auto()
    """Takes calls and never answers; nothing is done."""
    RESET = auto()
    """Ends connections; nothing is done."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _Row:
    value: bytes | None
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class _Change:
    name: RowName
    value: bytes | None
    version: int
    at: float
    previous: _Row | None
    """The row before this change, None if there was none."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LostWrites:
    """What the operator and the replicas wrote since the copy was made."""

    newest_by_name: dict[RowName, bytes | None]
    restored_version: int
    """Version of the store as it came back."""


@dataclass(kw_only=True, slots=True)
class StandInStore:
    """Rows by name, and their history for the feed and for copies."""

    latency_s: float = 0.004
    trouble: StoreTrouble = StoreTrouble.NONE
    lost_answers: float = 0.0
    """Share of the writes that are done and not answered."""
    late_s: float = 0.0
    """Time after which a write without an answer is done."""
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    calls: int = 0
    version: int = 0
    era: int = 1
    """Rises by one each time the store comes back from a copy."""
    states_era: bool = True
    """Whether answers state the era."""
    rows_by_name: dict[RowName, _Row] = field(default_factory=dict)
    _changes: deque[_Change] = field(default_factory=deque)
    """History that feeds are served from."""
    _recent: deque[_Change] = field(default_factory=deque)
    """Changes that a copy may lack."""
    _forgotten: int = 0
    """Version up to which the history is lost."""
    _changed: anyio.Event = field(default_factory=anyio.Event)

    def put(self, table: str, key: str, value: object | None) -> int:
        """Write a row as the operator or a replica does."""
        data = None if value is None else orjson.dumps(value)
        return self.put_bytes(table, key, data)

    def put_bytes(self, table: str, key: str, data: bytes | None) -> int:
        """Write a row that may hold anything."""
        self._apply([((table, '', key), data)])
        return self.version

    def get(self, table: str, key: str) -> bytes | None:
        """Return the value of a row."""
        row = self.rows_by_name.get((table, '', key))
        return row.value if row else None

    def forget_history(self) -> None:
        """Lose the history: feeds have to begin anew."""
        self._changes.clear()
        self._forgotten = self.version
        self._wake()

    def restore(self, copy_age_s: float) -> LostWrites:
        """Come back from a copy of some seconds ago, in the next era."""
        oldest = anyio.current_time() - copy_age_s
        newest_by_name: dict[RowName, bytes | None] = {}
        while self._recent and self._recent[-1].at > oldest:
            change = self._recent.pop()
            self.version = change.version - 1
            if change.previous is None:
                del self.rows_by_name[change.name]
            else:
                self.rows_by_name[change.name] = change.previous
            if change.name[0] in REWRITTEN_TABLES:
                newest_by_name.setdefault(change.name, change.value)
        while self._changes and self._changes[-1].version > self.version:
            self._changes.pop()
        self._forgotten = min(self._forgotten, self.version)
        self.era += 1
        self._wake()
        return LostWrites(
            newest_by_name=newest_by_name, restored_version=self.version
        )

    def write_again(self, lost: LostWrites) -> None:
        """Write lost rows again, unless they were written since."""
        for name, value in reversed(lost.newest_by_name.items()):
            row = self.rows_by_name.get(name)
            if row is None or row.version <= lost.restored_version:
                self._apply([(name, value)])

    async def handle(self, incoming: IncomingRequest, reply: Reply) -> None:
        """Answer one call."""
        self.calls += 1
        if self.trouble is StoreTrouble.SILENT:
            await anyio.sleep_forever()
        if self.trouble is StoreTrouble.RESET:
            return
        if self.trouble is StoreTrouble.BUSY:
            await reply.answer(503, self._headers())
            return
        await anyio.sleep(self.latency_s)
        parts = urlsplit(incoming.head.target.decode('latin-1'))
        query = {
            name: values[0]
            for name, values in parse_qs(
                parts.query, keep_blank_values=True
            ).items()
        }
        if parts.path == '/api/rows-get':
            await self._send(reply, 200, self._read(query))
        elif parts.path == '/api/rows-feed':
            await self._feed(query, reply)
        elif parts.path == '/api/rows-tx':
            await self._commit(orjson.loads(incoming.body), reply)
        else:
            await reply.answer(404, self._headers())

    def _read(self, query: dict[str, str]) -> list[dict[str, object]]:
        table, part = query['tableName'], query.get('part', '')
        start, end = query.get('from', ''), query.get('to')
        limit = min(int(query.get('maxResults', MAX_ROWS)), MAX_ROWS)
        names = sorted(
            name
            for name, row in self.rows_by_name.items()
            if name[:2] == (table, part)
            and row.value is not None
            and name[2] >= start
            and (end is None or name[2] < end)
        )
        return [
            _render(name, self.rows_by_name[name]) for name in names[:limit]
        ]

    async def _feed(self, query: dict[str, str], reply: Reply) -> None:
        after = int(query['after'])
        wait_s = int(query.get('waitTimeoutMs', 0)) / 1000
        era = self.era
        with anyio.move_on_after(wait_s):
            while not self._find_changes(query['tableName'], after):
                if not self._has_history(after):
                    break
                await self._changed.wait()
        if era != self.era:
            # The store was away meanwhile: the connection ends.
            return
        if not self._has_history(after):
            await reply.answer(410, self._headers())
            return
        changes = self._find_changes(query['tableName'], after)
        rows = [
            _render(
                change.name, _Row(value=change.value, version=change.version)
            )
            for change in changes
        ]
        await self._send(reply, 200, rows)

    def _has_history(self, after: int) -> bool:
        return self._forgotten <= after <= self.version

    def _find_changes(self, table: str, after: int) -> list[_Change]:
        return [
            change
            for change in self._changes
            if change.version > after and change.name[0] == table
        ]

    async def _commit(self, body: dict[str, list], reply: Reply) -> None:  # type: ignore[type-arg]
        if self.lost_answers and self.rng.random() < self.lost_answers:
            if self.late_s:
                await anyio.sleep(self.rng.uniform(0, self.late_s))
            self._try_commit(body)
            # The connection stays open and nothing comes.
            await anyio.sleep_forever()
        failed = self._try_commit(body)
        if failed:
            rows = [
                _render(name, self.rows_by_name[name])
                for name in failed
                if name in self.rows_by_name
            ]
            await self._send(reply, 412, rows)
            return
        await self._send(reply, 200, [])

    def _try_commit(self, body: dict[str, list]) -> list[RowName]:  # type: ignore[type-arg]
        """Apply a transaction; return the rows that it expected else."""
        expected = body.get('expectedRevision', [])
        for check in expected:
            row = self.rows_by_name.get(_name(check))
            version = row.version if row and row.value is not None else 0
            if version != check['rowVersion']:
                return [_name(each) for each in expected]
        changes: list[tuple[RowName, bytes | None]] = [
            (_name(write), base64.b64decode(write['value']))
            for write in body.get('write', [])
        ]
        changes += [(_name(drop), None) for drop in body.get('delete', [])]
        self._apply(changes)
        return []

    def _apply(self, changes: list[tuple[RowName, bytes | None]]) -> None:
        self.version += 1
        now = anyio.current_time()
        for name, value in changes:
            change = _Change(
                name=name,
                value=value,
                version=self.version,
                at=now,
                previous=self.rows_by_name.get(name),
            )
            self.rows_by_name[name] = _Row(value=value, version=self.version)
            self._changes.append(change)
            self._recent.append(change)
        while self._recent[0].at < now - COPY_RETENTION_S:
            self._recent.popleft()
        self._wake()

    def _headers(self) -> RawHeaders:
        if not self.states_era:
            return (JSON,)
        return (JSON, (b'Store-Era', b'%d' % self.era))

    def _wake(self) -> None:
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

    async def _send(
        self, reply: Reply, status: int, rows: list[dict[str, object]]
    ) -> None:
        body = {
            'rows': rows,
            'hasMore': False,
            'rowVersion': self.version,
            'nowMs': anyio.current_time() * 1000,
        }
        await reply.answer(status, self._headers(), orjson.dumps(body))


def _name(entry: dict[str, str]) -> RowName:
    return entry['tableName'], entry.get('part', ''), entry['key']


def _render(name: RowName, row: _Row) -> dict[str, object]:
    rendered: dict[str, object] = {
        'tableName': name[0],
        'part': name[1],
        'key': name[2],
        'rowVersion': row.version,
    }
    if row.value is None:
        rendered['deleted'] = True
    else:
        rendered['value'] = base64.b64encode(row.value).decode()
    return rendered
