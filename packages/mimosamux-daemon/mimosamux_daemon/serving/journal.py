"""Journal of the accepted requests of durable classes.

A daemon can die at any moment, and its VM keeps nothing. A request that
was accepted would be lost with it, so it is recorded in the platform's
table before it counts as accepted. Another daemon claims what a dead one
left, in one transaction, so that only one of them goes on with it.
"""

import uuid
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field, replace

import anyio

from mimosamux_daemon.domain.names import DaemonId, RequestId
from mimosamux_daemon.domain.store import (
    Check,
    Committed,
    Conflict,
    Row,
    Unavailable,
    Write,
)
from mimosamux_daemon.domain.work import ModelRequest
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.table import Table
from mimosamux_daemon.serving.commit_budget import CommitBudget
from mimosamux_daemon.serving.journal_batches import OpenBatches
from mimosamux_daemon.serving.journal_rows import (
    EMPTY_BATCH,
    BatchPlace,
    BatchRow,
    JournalEntry,
    daemon_prefix,
    encode_batch,
    open_entries,
    parse_batch,
    parse_place,
    place_key,
)
from mimosamux_daemon.serving.side_effect_orphans import Liveness

log = get_log('journal')

FORGET_PAUSE_S = 2.0
"""Ended requests wait so long for a commit of new ones."""
RECORD_S = 3.0
"""Time after which a record that the store did not take fails."""
RETRY_PAUSE_S = 0.1
MOST_ENTRIES = 500
"""Requests of one commit."""
MOST_PROMPT_LENGTH = 256 * 1024
"""Characters of the prompts of one commit, if it has several."""
NOT_TRIED = Unavailable(reason='not tried', may_have_landed=False)
CLAIM_PAGE_ROWS = 100
CLAIM_TRIES = 3


@dataclass(kw_only=True, slots=True)
class _Pending:
    """A request that waits for its commit."""

    entry: JournalEntry
    done: anyio.Event = field(default_factory=anyio.Event)
    failed: Unavailable | None = None
    is_unwanted: bool = False
    """The one who waited was cancelled: nobody will forget the entry."""


class Journal:
    """Records, forgets and claims requests; `run` makes the commits."""

    def __init__(
        self,
        *,
        table: Table,
        liveness: Liveness,
        daemon: DaemonId,
        incarnation: int,
        daemons: Callable[[], int],
    ) -> None:
        self._table = table
        self._liveness = liveness
        self._daemon = daemon
        self._incarnation = incarnation
        self._budget = CommitBudget(daemons=daemons)
        self._pending: list[_Pending] = []
        self._added = anyio.Event()
        self._batches = OpenBatches(key_of=self._key)
        self._void: set[str] = set()
        """Batches that failed, and may land late all the same."""
        self._unsettled_claims: set[str] = set()

    async def record(self, request: ModelRequest) -> None | Unavailable:
        """Record a request before it counts as accepted.

        After a failure that may have landed, the entry is taken back in
        the background.
        """
        left_s = request.deadline - anyio.current_time()
        pending = _Pending(
            entry=JournalEntry(request=request, time_left_s=left_s)
        )
        self._pending.append(pending)
        self._added.set()
        try:
            await pending.done.wait()
        finally:
            pending.is_unwanted = not pending.done.is_set()
        return pending.failed

    async def forget(self, request: RequestId) -> None:
        """Drop a request that has its outcome, with a later commit."""
        self._batches.end(request)

    async def run(self) -> None:
        """Commit what is recorded and forgotten, in groups."""
        while True:
            with anyio.move_on_after(FORGET_PAUSE_S):
                await self._added.wait()
            if self._pending:
                await self._budget.wait()
                await self._commit_pending()
            elif self._batches.ended_writes(anyio.current_time()).writes:
                await self._budget.wait()
                await self._commit_ended()
            await self._take_back()

    async def claim(
        self, dead: DaemonId
    ) -> tuple[ModelRequest, ...] | Unavailable:
        """Take over what dead processes of a daemon left.

        The rows move under this daemon's name in one transaction: of two
        daemons that claim at once, one finds the rows changed. After
        `Unavailable`, ask again: the claim may have landed.
        """
        landed = await self._find_landed_claims()
        if landed:
            return self._rebase(landed)
        for _ in range(CLAIM_TRIES):
            rows = await self._scan(daemon_prefix(dead))
            if isinstance(rows, Unavailable):
                return rows
            left = [row for row in rows if self._is_left(row)]
            if not left:
                break
            entries = open_entries(left)
            outcome = await self._move(left, entries)
            if isinstance(outcome, Unavailable):
                return outcome
            if isinstance(outcome, Committed):
                log.info('journal_claimed', dead=dead, requests=len(entries))
                return self._rebase(entries)
        return ()

    async def _move(
        self, rows: Sequence[Row], entries: tuple[JournalEntry, ...]
    ) -> Committed | Conflict | Unavailable:
        name = _new_name()
        written = await self._write_batch(
            name,
            entries,
            checks=[Check(key=row.key, version=row.version) for row in rows],
            writes=[Write(key=row.key, value=None) for row in rows],
        )
        if isinstance(written.outcome, Committed):
            self._note_batch(name, entries, written)
        elif written.may_have_landed:
            self._unsettled_claims.add(name)
        return written.outcome

    async def _find_landed_claims(self) -> tuple[JournalEntry, ...]:
        """Return entries of claims that landed though we were not told."""
        entries: tuple[JournalEntry, ...] = ()
        for name in sorted(self._unsettled_claims):
            row = await self._table.read(self._key(name))
            batch = parse_batch(row.value) if isinstance(row, Row) else None
            if batch is not None:
                self._unsettled_claims.discard(name)
                written = _Written(may_have_landed=True)
                self._note_batch(name, batch.entries, written)
                entries += batch.entries
        return entries

    async def _scan(self, prefix: str) -> list[Row] | Unavailable:
        rows: list[Row] = []
        while True:
            after = rows[-1].key if rows else ''
            page = await self._table.scan(
                prefix, after=after, limit=CLAIM_PAGE_ROWS
            )
            if isinstance(page, Unavailable):
                return page
            rows.extend(page)
            if len(page) < CLAIM_PAGE_ROWS:
                return rows

    def _is_left(self, row: Row) -> bool:
        place = parse_place(row.key)
        if place is None:
            return False
        if place.daemon == self._daemon:
            return place.incarnation != self._incarnation
        return self._liveness.is_dead(place.daemon, place.incarnation)

    async def _commit_pending(self) -> None:
        taken = self._take_pending()
        entries = tuple(pending.entry for pending in taken)
        name = _new_name()
        ended = self._batches.ended_writes(anyio.current_time())
        written = await self._write_batch(
            name, entries, checks=(), writes=ended.writes
        )
        failed = _as_failure(written)
        if failed is None:
            self._batches.confirm(ended, anyio.current_time())
            self._note_batch(name, entries, written)
        elif written.may_have_landed:
            self._void.add(name)
        for pending in taken:
            if pending.is_unwanted:
                self._batches.end(pending.entry.request.id)
            pending.failed = failed
            pending.done.set()

    def _take_pending(self) -> list[_Pending]:
        count = length = 0
        for pending in self._pending[:MOST_ENTRIES]:
            length += len(pending.entry.request.prompt)
            if count and length > MOST_PROMPT_LENGTH:
                break
            count += 1
        taken = self._pending[:count]
        del self._pending[:count]
        if not self._pending:
            self._added = anyio.Event()
        return taken

    async def _commit_ended(self) -> None:
        ended = self._batches.ended_writes(anyio.current_time())
        outcome = await self._table.commit([], ended.writes)
        if isinstance(outcome, Committed):
            self._batches.confirm(ended, anyio.current_time())

    def _note_batch(
        self,
        name: str,
        entries: Iterable[JournalEntry],
        written: '_Written',
    ) -> None:
        self._batches.note(
            name,
            (entry.request.id for entry in entries),
            is_doubtful=written.may_have_landed,
        )

    async def _write_batch(
        self,
        name: str,
        entries: tuple[JournalEntry, ...],
        *,
        checks: Sequence[Check],
        writes: Sequence[Write],
    ) -> '_Written':
        """Write a batch; a lost answer is settled by writing it again."""
        key = self._key(name)
        value = encode_batch(BatchRow(entries=entries))
        all_checks = [Check(key=key, version=0), *checks]
        all_writes = [Write(key=key, value=value), *writes]
        give_up_at = anyio.current_time() + RECORD_S
        written = _Written()
        while True:
            written.outcome = await self._table.commit(all_checks, all_writes)
            if isinstance(written.outcome, Conflict):
                written.outcome = await self._find_own(key, written.outcome)
            if not isinstance(written.outcome, Unavailable):
                return written
            written.may_have_landed |= written.outcome.may_have_landed
            if anyio.current_time() >= give_up_at:
                return written
            await anyio.sleep(RETRY_PAUSE_S)

    async def _find_own(
        self, key: str, conflict: Conflict
    ) -> Committed | Conflict | Unavailable:
        """Return whether an earlier try of a write has landed."""
        row = await self._table.read(key)
        if isinstance(row, Row):
            return Committed(versions={key: row.version})
        return conflict if row is None else row

    async def _take_back(self) -> None:
        """Empty the rows of failed batches, or take their place.

        Their requests were not accepted. A row that landed all the same
        would have another daemon run them after this one's death.
        """
        for name in sorted(self._void):
            row = await self._table.read(self._key(name))
            if isinstance(row, Unavailable):
                return
            outcome = await self._table.commit(
                [
                    Check(
                        key=self._key(name), version=row.version if row else 0
                    )
                ],
                [Write(key=self._key(name), value=EMPTY_BATCH)],
            )
            if isinstance(outcome, Committed):
                self._void.discard(name)

    def _rebase(
        self, entries: Iterable[JournalEntry]
    ) -> tuple[ModelRequest, ...]:
        now = anyio.current_time()
        return tuple(entry.rebase(now) for entry in entries)

    def _key(self, name: str) -> str:
        return place_key(
            BatchPlace(
                daemon=self._daemon,
                incarnation=self._incarnation,
                name=name,
            )
        )


@dataclass(kw_only=True, slots=True)
class _Written:
    """How the write of a batch went."""

    outcome: Committed | Conflict | Unavailable = NOT_TRIED
    may_have_landed: bool = False
    """Some try of it may have landed, or may land yet."""


def _new_name() -> str:
    return uuid.uuid4().hex


def _as_failure(written: _Written) -> Unavailable | None:
    if isinstance(written.outcome, Conflict):
        # Names are unique, so nobody else can have written this row.
        return Unavailable(reason='journal row taken', may_have_landed=False)
    if isinstance(written.outcome, Unavailable):
        return replace(
            written.outcome, may_have_landed=written.may_have_landed
        )
    return None
