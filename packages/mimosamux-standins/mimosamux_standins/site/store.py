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

JSON = ((b'Content-Type', b'application/json'),)
MAX_ROWS = 500
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


@dataclass(kw_only=True, slots=True)
class StandInStore:
    """Rows by name, and their history for the feed."""

    latency_s: float = 0.004
    trouble: StoreTrouble = StoreTrouble.NONE
    lost_answers: float = 0.0
    """Share of the writes that are done and not answered."""
    late_s: float = 0.0
    """Time after which a write without an answer is done."""
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    calls: int = 0
    version: int = 0
    rows_by_name: dict[RowName, _Row] = field(default_factory=dict)
    _changes: deque[_Change] = field(default_factory=deque)
    _forgotten: int = 0
    """Version up to which the history is lost."""
    _changed: anyio.Event = field(default_factory=anyio.Event)

    def put(self, table: str, key: str, value: object | None) -> int:
        """Write a row as the operator or a replica does."""
        data = None if value is None else orjson.dumps(value)
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

    async def handle(self, incoming: IncomingRequest, reply: Reply) -> None:
        """Answer one call."""
        self.calls += 1
        if self.trouble is StoreTrouble.SILENT:
            await anyio.sleep_forever()
        if self.trouble is StoreTrouble.RESET:
            return
        if self.trouble is StoreTrouble.BUSY:
            await reply.answer(503, ())
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
            await reply.answer(404, ())

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
        with anyio.move_on_after(wait_s):
            while not self._find_changes(query['tableName'], after):
                if after < self._forgotten:
                    break
                await self._changed.wait()
        if after < self._forgotten:
            await reply.answer(410, ())
            return
        changes = self._find_changes(query['tableName'], after)
        rows = [
            _render(
                change.name, _Row(value=change.value, version=change.version)
            )
            for change in changes
        ]
        await self._send(reply, 200, rows)

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
        for name, value in changes:
            self.rows_by_name[name] = _Row(value=value, version=self.version)
            self._changes.append(
                _Change(name=name, value=value, version=self.version)
            )
        self._wake()

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
        await reply.answer(status, JSON, orjson.dumps(body))


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
