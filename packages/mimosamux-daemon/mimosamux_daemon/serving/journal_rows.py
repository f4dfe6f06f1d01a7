"""Rows of the journal of accepted requests.

A daemon writes the requests of one group commit into one row, and the
ids of those that ended meanwhile into another, so that the rows written
grow with the commits and not with the requests.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace

import pydantic

from mimosamux_daemon.domain.names import DaemonId, RequestId
from mimosamux_daemon.domain.store import Row
from mimosamux_daemon.domain.work import ModelRequest

JOURNAL_PREFIX = 'journal/'
DONE_NAME = 'done'


@dataclass(frozen=True, kw_only=True, slots=True)
class JournalEntry:
    """An accepted request, with all that is needed to run it again."""

    request: ModelRequest
    time_left_s: float
    """Time to its deadline when it was recorded."""

    def rebase(self, now: float) -> ModelRequest:
        """Return the request with its deadline by this process's clock.

        The time since the record is not known here, so it is granted
        again: an answer that is late costs less than a missing one.
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
    """Requests of rows that stand which have ended since."""

    requests: tuple[RequestId, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class BatchPlace:
    """Which batch a row's key names."""

    daemon: DaemonId
    incarnation: int
    name: str


class _BatchModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(ser_json_inf_nan='strings')

    batch: BatchRow


class _DoneModel(pydantic.BaseModel):
    done: DoneRow


def daemon_prefix(daemon: DaemonId) -> str:
    """Return the prefix of all rows of a daemon."""
    return f'{JOURNAL_PREFIX}{daemon}/'


def place_key(place: BatchPlace) -> str:
    """Return the key of a batch's row."""
    prefix = daemon_prefix(place.daemon)
    return f'{prefix}{place.incarnation}/{place.name}'


def parse_place(key: str) -> BatchPlace | None:
    """Return what a key names, None if it is no key of the journal."""
    daemon, _, rest = key.removeprefix(JOURNAL_PREFIX).rpartition('/')
    daemon, _, incarnation = daemon.rpartition('/')
    if not (key.startswith(JOURNAL_PREFIX) and daemon and rest):
        return None
    if not incarnation.lstrip('-').isdecimal():
        return None
    return BatchPlace(
        daemon=DaemonId(daemon), incarnation=int(incarnation), name=rest
    )


def encode_batch(batch: BatchRow) -> bytes:
    """Return the value of a batch's row."""
    return _BatchModel(batch=batch).model_dump_json().encode()


EMPTY_BATCH = encode_batch(BatchRow(entries=()))
"""Value of a row that holds the place of a batch and no request."""


def parse_batch(value: bytes) -> BatchRow | None:
    """Return a batch, None if this daemon cannot read it."""
    try:
        return _BatchModel.model_validate_json(value).batch
    except pydantic.ValidationError:
        return None


def encode_done(done: DoneRow) -> bytes:
    """Return the value of the row of ended requests."""
    return _DoneModel(done=done).model_dump_json().encode()


def parse_done(value: bytes) -> DoneRow:
    """Return the ended requests; an unreadable row names none."""
    try:
        return _DoneModel.model_validate_json(value).done
    except pydantic.ValidationError:
        return DoneRow(requests=())


def open_entries(rows: Iterable[Row]) -> tuple[JournalEntry, ...]:
    """Return the entries of a daemon's rows that have not ended."""
    done: set[RequestId] = set()
    entries: list[JournalEntry] = []
    for row in rows:
        place = parse_place(row.key)
        if place is not None and place.name == DONE_NAME:
            done.update(parse_done(row.value).requests)
            continue
        batch = parse_batch(row.value)
        entries.extend(batch.entries if batch else ())
    return tuple(entry for entry in entries if entry.request.id not in done)
