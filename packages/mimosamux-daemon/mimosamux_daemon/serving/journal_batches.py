"""Bookkeeping of a daemon's own journal rows.

The journal deletes a batch row once all its requests have ended. Ended
requests of other rows are listed in the daemon's row of ended requests.
"""

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

DONE_ROW_INTERVAL_S = 10.0
"""Shortest time between two writes of the row of ended requests.

A daemon that claims this one's rows repeats the requests that ended
since the last write. That costs only tokens, while a write at each commit
would make this row a third of all writes.
"""


@dataclass(kw_only=True, slots=True)
class _Batch:
    """A row of this daemon: its open and its ended requests."""

    open: set[RequestId]
    ended: set[RequestId] = field(default_factory=set)
    may_land_twice: bool = False
    """A retried write of the row may take effect a second time."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CleanupWrites:
    """Writes that remove ended requests, and their effect once committed."""

    writes: tuple[Write, ...] = ()
    ended_batches: tuple[str, ...] = ()
    """Names of the batches whose requests have all ended."""
    writes_done_row: bool = False
    """Whether the writes include the row of ended requests."""
    ended_count: int = 0
    """Requests that had ended when the writes were built."""


class OpenBatches:
    """Batch rows of this daemon that are still in the table, by name."""

    def __init__(self, *, key_of: Callable[[str], str]) -> None:
        self._key_of = key_of
        self._by_name: dict[str, _Batch] = {}
        self._names_by_request: dict[RequestId, list[str]] = {}
        """A request can be in two rows: one recorded here after a hand-over,
        one claimed from the daemon that handed the request over."""
        self._ended_count = self._listed_count = 0
        self._has_done_row = False
        self._done_row_due = 0.0

    def add(
        self, name: str, requests: Iterable[RequestId], *, may_land_twice: bool
    ) -> None:
        """Add a row that was written."""
        ids = set(requests)
        self._by_name[name] = _Batch(open=ids, may_land_twice=may_land_twice)
        for request in ids:
            self._names_by_request.setdefault(request, []).append(name)

    def mark_ended(self, request: RequestId) -> None:
        """Mark a request as ended in all its rows."""
        for name in self._names_by_request.pop(request, ()):
            batch = self._by_name[name]
            batch.open.discard(request)
            batch.ended.add(request)
            self._ended_count += 1

    def cleanup_writes(self, now: float) -> CleanupWrites:
        """Return the writes that remove ended requests, if any are due."""
        ended_batches = tuple(
            name for name, batch in self._by_name.items() if not batch.open
        )
        writes = [self._batch_removal(name) for name in ended_batches]
        writes_done_row = now >= self._done_row_due and (
            self._ended_count > self._listed_count
            or (self._has_done_row and not self._by_name)
        )
        if writes_done_row:
            writes.append(self._done_row_write())
        return CleanupWrites(
            writes=tuple(writes),
            ended_batches=ended_batches,
            writes_done_row=writes_done_row,
            ended_count=self._ended_count,
        )

    def apply_committed(self, cleanup: CleanupWrites, now: float) -> None:
        """Apply writes that were committed."""
        for name in cleanup.ended_batches:
            del self._by_name[name]
        if cleanup.writes_done_row:
            self._done_row_due = now + DONE_ROW_INTERVAL_S
            self._listed_count = cleanup.ended_count
            self._has_done_row = any(
                batch.ended for batch in self._by_name.values()
            )

    def _batch_removal(self, name: str) -> Write:
        # After a deletion, a delayed write could recreate the row, and its
        # requests would run again. An empty row makes it conflict.
        may_reappear = self._by_name[name].may_land_twice
        value = EMPTY_BATCH if may_reappear else None
        return Write(key=self._key_of(name), value=value)

    def _done_row_write(self) -> Write:
        ended_requests = [
            request
            for batch in self._by_name.values()
            if batch.open
            for request in sorted(batch.ended)
        ]
        done = (
            encode_done(DoneRow(requests=tuple(ended_requests)))
            if ended_requests
            else None
        )
        return Write(key=self._key_of(DONE_NAME), value=done)
