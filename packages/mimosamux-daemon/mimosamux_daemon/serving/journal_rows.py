"""Rows of the journal of accepted requests.

A daemon writes the requests of one group commit to one row, and the ids
of requests that have ended to another. So the number of rows written
grows with the number of commits, not of requests.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace

import pydantic

from mimosamux_daemon.domain.names import DaemonId, RequestId
from mimosamux_daemon.domain.store import Row
from mimosamux_daemon.domain.work import ModelRequest

JOURNAL_PREFIX = 'journal/'
DONE_NAME = 'done'
"""Name, in place of a batch name, of the row of ended requests."""


@dataclass(frozen=True, kw_only=True, slots=True)
class JournalEntry:
    """An accepted request with everything needed to run it again."""

    request: ModelRequest
    time_left_s: float
    """Seconds to its deadline when it was recorded."""

    def rebase(self, now: float) -> ModelRequest:
        """Return the request with its deadline on this process's clock.

        The time since the request was recorded is unknown here and is not
        subtracted: a late answer costs less than a missing one.
        """
        deadline_s = self.request.work_class.deadline_s
        return replace(
            self.request, arrived=now + self.time_left_s - deadline_s
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class BatchRow:
    """Entries of one group commit."""

    entries: tuple[JournalEntry, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class DoneRow:
    """Ended requests of batch rows that are still in the table."""

    requests: tuple[RequestId, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class BatchKey:
    """Parsed key of a journal row."""

    daemon: DaemonId
    incarnation: int
    name: str


class _BatchModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(ser_json_inf_nan='strings')

    batch: BatchRow


class _DoneModel(pydantic.BaseModel):
    done: DoneRow


def daemon_prefix(daemon: DaemonId) -> str:
    """Return the key prefix of a daemon's rows."""
    return f'{JOURNAL_PREFIX}{daemon}/'


def format_batch_key(batch_key: BatchKey) -> str:
    """Return the row key of a batch."""
    prefix = daemon_prefix(batch_key.daemon)
    return f'{prefix}{batch_key.incarnation}/{batch_key.name}'


def parse_batch_key(key: str) -> BatchKey | None:
    """Parse a row key; return None if it is not a journal key."""
    daemon, _, rest = key.removeprefix(JOURNAL_PREFIX).rpartition('/')
    daemon, _, incarnation = daemon.rpartition('/')
    if not (key.startswith(JOURNAL_PREFIX) and daemon and rest):
        return None
    if not incarnation.lstrip('-').isdecimal():
        return None
    return BatchKey(
        daemon=DaemonId(daemon), incarnation=int(incarnation), name=rest
    )


def encode_batch(batch: BatchRow) -> bytes:
    """Return the row value of a batch."""
    return _BatchModel(batch=batch).model_dump_json().encode()


EMPTY_BATCH = encode_batch(BatchRow(entries=()))
"""Row value without requests; keeps the key of a batch occupied."""


def parse_batch(value: bytes) -> BatchRow | None:
    """Return the batch of a row value, None if it cannot be parsed."""
    try:
        return _BatchModel.model_validate_json(value).batch
    except pydantic.ValidationError:
        return None


def encode_done(done: DoneRow) -> bytes:
    """Return the row value for ended requests."""
    return _DoneModel(done=done).model_dump_json().encode()


def parse_done(value: bytes) -> DoneRow:
    """Return the ended requests; none if the value cannot be parsed."""
    try:
        return _DoneModel.model_validate_json(value).done
    except pydantic.ValidationError:
        return DoneRow(requests=())


def open_entries(rows: Iterable[Row]) -> tuple[JournalEntry, ...]:
    """Return the entries of a daemon's rows whose requests are open."""
    done: set[RequestId] = set()
    entries: list[JournalEntry] = []
    for row in rows:
        batch_key = parse_batch_key(row.key)
        if batch_key is not None and batch_key.name == DONE_NAME:
            done.update(parse_done(row.value).requests)
            continue
        batch = parse_batch(row.value)
        entries.extend(batch.entries if batch else ())
    return tuple(entry for entry in entries if entry.request.id not in done)
