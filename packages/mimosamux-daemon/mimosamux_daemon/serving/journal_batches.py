"""What a daemon knows of its own rows in the journal."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from mimosamux_daemon.domain.names import RequestId
from mimosamux_daemon.domain.store import Write
from mimosamux_daemon.serving.journal_rows import (
    DONE_NAME,
    EMPTY_BATCH,
    DoneRow,
    encode_done,
)

DONE_PAUSE_S = 10.0
"""Least time between two writes of the row of ended requests.

A daemon that claims this one's rows runs again what ended since. That
costs tokens and no more, and the row would be a third of all writes.
"""


@dataclass(kw_only=True, slots=True)
class _Batch:
    open: set[RequestId]
    ended: set[RequestId] = field(default_factory=set)
    is_doubtful: bool = False
    """A write of the row may land a second time."""


@dataclass(frozen=True, kw_only=True, slots=True)
class EndedWrites:
    """Writes for what has ended, and what they settle once committed."""

    writes: tuple[Write, ...] = ()
    empty: tuple[str, ...] = ()
    """Batches of which every request has ended."""
    lists_done: bool = False
    ended_count: int = 0


class OpenBatches:
    """The rows of this daemon that stand, by name."""

    def __init__(self, *, key_of: Callable[[str], str]) -> None:
        self._key_of = key_of
        self._by_name: dict[str, _Batch] = {}
        self._names_by_request: dict[RequestId, list[str]] = {}
        """A request can stand in two rows: recorded here after a hand-over,
        and claimed from the daemon that handed it over."""
        self._ended_count = self._listed_count = 0
        self._has_done_row = False
        self._done_due = 0.0

    def note(
        self, name: str, requests: Iterable[RequestId], *, is_doubtful: bool
    ) -> None:
        """Note a row that was written."""
        ids = set(requests)
        self._by_name[name] = _Batch(open=ids, is_doubtful=is_doubtful)
        for request in ids:
            self._names_by_request.setdefault(request, []).append(name)

    def end(self, request: RequestId) -> None:
        """Note that a request has its outcome."""
        for name in self._names_by_request.pop(request, ()):
            batch = self._by_name[name]
            batch.open.discard(request)
            batch.ended.add(request)
            self._ended_count += 1

    def ended_writes(self, now: float) -> EndedWrites:
        """Return the writes for what has ended, none if there are none."""
        empty = tuple(
            name for name, batch in self._by_name.items() if not batch.open
        )
        writes = [self._end_batch(name) for name in empty]
        lists_done = now >= self._done_due and (
            self._ended_count > self._listed_count
            or (self._has_done_row and not self._by_name)
        )
        if lists_done:
            writes.append(self._list_done())
        return EndedWrites(
            writes=tuple(writes),
            empty=empty,
            lists_done=lists_done,
            ended_count=self._ended_count,
        )

    def confirm(self, ended: EndedWrites, now: float) -> None:
        """Note that the writes were committed."""
        for name in ended.empty:
            del self._by_name[name]
        if ended.lists_done:
            self._done_due = now + DONE_PAUSE_S
            self._listed_count = ended.ended_count
            self._has_done_row = any(
                batch.ended for batch in self._by_name.values()
            )

    def _end_batch(self, name: str) -> Write:
        # Where a row was deleted, a write that is still on its way could
        # land once more, and its requests would be run again.
        doubtful = self._by_name[name].is_doubtful
        value = EMPTY_BATCH if doubtful else None
        return Write(key=self._key_of(name), value=value)

    def _list_done(self) -> Write:
        ended = [
            request
            for batch in self._by_name.values()
            if batch.open
            for request in sorted(batch.ended)
        ]
        done = encode_done(DoneRow(requests=tuple(ended))) if ended else None
        return Write(key=self._key_of(DONE_NAME), value=done)
