"""Journal of the accepted requests of durable classes.

A daemon can die at any moment, and its VM has no durable storage. So that
accepted requests survive, each is recorded in the platform's table
before it counts as accepted. After a daemon's death another daemon
claims its rows in one transaction, so only one daemon continues the
requests.
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
    BatchKey,
    BatchRow,
    JournalEntry,
    daemon_prefix,
    encode_batch,
    format_batch_key,
    open_entries,
    parse_batch,
    parse_batch_key,
)
from mimosamux_daemon.serving.side_effect_orphans import Liveness

log = get_log('journal')

FORGET_DELAY_S = 2.0
"""Time that ended requests wait to share a commit with new ones."""
DRAIN_POLL_S = 0.1
"""Interval between checks for ended requests at a stop."""
RECORD_TIMEOUT_S = 3.0
"""Time for which the write of a batch is retried."""
RETRY_PAUSE_S = 0.1
MAX_BATCH_ENTRIES = 500
"""Most requests in one commit."""
MAX_BATCH_PROMPT_LENGTH = 256 * 1024
"""Most characters of all prompts in a commit of several requests."""
NOT_ATTEMPTED = Unavailable(reason='not tried', may_have_taken_effect=False)
CLAIM_PAGE_ROWS = 100
MAX_CLAIM_ATTEMPTS = 3


@dataclass(kw_only=True, slots=True)
class _Pending:
    """A request that waits to be committed."""

    entry: JournalEntry
    done: anyio.Event = field(default_factory=anyio.Event)
    failed: Unavailable | None = None
    is_cancelled: bool = False
    """The caller of `record` was cancelled, so it will not call `forget`."""


class Journal:
    """Records, forgets and claims requests; `run` commits the changes."""

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
        self._failed_batches: set[str] = set()
        """Failed batches whose writes may still take effect."""
        self._unconfirmed_claims: set[str] = set()

    async def record(self, request: ModelRequest) -> None | Unavailable:
        """Record a request before it counts as accepted.

        If a failed write may have taken effect, the entry is revoked in
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
            pending.is_cancelled = not pending.done.is_set()
        return pending.failed

    async def forget(self, request: RequestId) -> None:
        """Remove an ended request in a later commit."""
        self._batches.mark_ended(request)

    async def drain(self) -> None:
        """Wait until the table has no request that has ended.

        Another daemon would run such a request again after this one.
        """
        while self._batches.cleanup_writes(anyio.current_time()).writes:  # noqa: ASYNC110
            await anyio.sleep(DRAIN_POLL_S)

    async def run(self) -> None:
        """Group-commit recorded and forgotten requests until cancelled."""
        while True:
            with anyio.move_on_after(FORGET_DELAY_S):
                await self._added.wait()
            if self._pending:
                await self._budget.wait()
                await self._commit_pending()
            elif self._batches.cleanup_writes(anyio.current_time()).writes:
                await self._budget.wait()
                await self._commit_ended()
            await self._revoke_failed_batches()

    async def claim(
        self, dead: DaemonId
    ) -> tuple[ModelRequest, ...] | Unavailable:
        """Take over the open requests of dead incarnations of a daemon.

        One transaction moves the rows under this daemon's key prefix, so
        of two concurrent claims one conflicts. After `Unavailable`, call
        again: the claim may have taken effect.
        """
        recovered = await self._recover_claims()
        if recovered:
            return self._rebase(recovered)
        for _ in range(MAX_CLAIM_ATTEMPTS):
            rows = await self._scan(daemon_prefix(dead))
            if isinstance(rows, Unavailable):
                return rows
            claimable = [row for row in rows if self._is_claimable(row)]
            if not claimable:
                break
            entries = open_entries(claimable)
            outcome = await self._move_rows(claimable, entries)
            if isinstance(outcome, Unavailable):
                return outcome
            if isinstance(outcome, Committed):
                log.info('journal_claimed', dead=dead, requests=len(entries))
                return self._rebase(entries)
        return ()

    async def _move_rows(
        self, rows: Sequence[Row], entries: tuple[JournalEntry, ...]
    ) -> Committed | Conflict | Unavailable:
        name = _new_name()
        result = await self._write_batch(
            name,
            entries,
            checks=[Check(key=row.key, version=row.version) for row in rows],
            writes=[Write(key=row.key, value=None) for row in rows],
        )
        if isinstance(result.outcome, Committed):
            self._add_batch(name, entries, result)
        elif result.may_have_taken_effect:
            self._unconfirmed_claims.add(name)
        return result.outcome

    async def _recover_claims(self) -> tuple[JournalEntry, ...]:
        """Return entries of claims that took effect without an answer."""
        entries: tuple[JournalEntry, ...] = ()
        for name in sorted(self._unconfirmed_claims):
            row = await self._table.read(self._key(name))
            batch = parse_batch(row.value) if isinstance(row, Row) else None
            if batch is not None:
                self._unconfirmed_claims.discard(name)
                result = _WriteResult(may_have_taken_effect=True)
                self._add_batch(name, batch.entries, result)
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

    def _is_claimable(self, row: Row) -> bool:
        batch_key = parse_batch_key(row.key)
        if batch_key is None:
            return False
        if batch_key.daemon == self._daemon:
            return batch_key.incarnation != self._incarnation
        return self._liveness.is_dead(batch_key.daemon, batch_key.incarnation)

    async def _commit_pending(self) -> None:
        group = self._next_group()
        entries = tuple(pending.entry for pending in group)
        name = _new_name()
        cleanup = self._batches.cleanup_writes(anyio.current_time())
        result = await self._write_batch(
            name, entries, checks=(), writes=cleanup.writes
        )
        failed = _as_failure(result)
        if failed is None:
            self._batches.apply_committed(cleanup, anyio.current_time())
            self._add_batch(name, entries, result)
        elif result.may_have_taken_effect:
            self._failed_batches.add(name)
        for pending in group:
            if pending.is_cancelled:
                self._batches.mark_ended(pending.entry.request.id)
            pending.failed = failed
            pending.done.set()

    def _next_group(self) -> list[_Pending]:
        count = length = 0
        for pending in self._pending[:MAX_BATCH_ENTRIES]:
            length += len(pending.entry.request.prompt)
            if count and length > MAX_BATCH_PROMPT_LENGTH:
                break
            count += 1
        group = self._pending[:count]
        del self._pending[:count]
        if not self._pending:
            self._added = anyio.Event()
        return group

    async def _commit_ended(self) -> None:
        cleanup = self._batches.cleanup_writes(anyio.current_time())
        outcome = await self._table.commit([], cleanup.writes)
        if isinstance(outcome, Committed):
            self._batches.apply_committed(cleanup, anyio.current_time())

    def _add_batch(
        self,
        name: str,
        entries: Iterable[JournalEntry],
        result: '_WriteResult',
    ) -> None:
        self._batches.add(
            name,
            (entry.request.id for entry in entries),
            may_land_twice=result.may_have_taken_effect,
        )

    async def _write_batch(
        self,
        name: str,
        entries: tuple[JournalEntry, ...],
        *,
        checks: Sequence[Check],
        writes: Sequence[Write],
    ) -> '_WriteResult':
        """Write a batch; retry it if the answer is lost."""
        key = self._key(name)
        value = encode_batch(BatchRow(entries=entries))
        all_checks = [Check(key=key, version=0), *checks]
        all_writes = [Write(key=key, value=value), *writes]
        give_up_at = anyio.current_time() + RECORD_TIMEOUT_S
        result = _WriteResult()
        while True:
            result.outcome = await self._table.commit(all_checks, all_writes)
            if isinstance(result.outcome, Conflict):
                result.outcome = await self._find_own_commit(
                    key, result.outcome
                )
            if not isinstance(result.outcome, Unavailable):
                return result
            result.may_have_taken_effect |= (
                result.outcome.may_have_taken_effect
            )
            if anyio.current_time() >= give_up_at:
                return result
            await anyio.sleep(RETRY_PAUSE_S)

    async def _find_own_commit(
        self, key: str, conflict: Conflict
    ) -> Committed | Conflict | Unavailable:
        """Return the commit of an earlier attempt, else the conflict."""
        row = await self._table.read(key)
        if isinstance(row, Row):
            return Committed(versions={key: row.version})
        return conflict if row is None else row

    async def _revoke_failed_batches(self) -> None:
        """Write empty rows under the keys of failed batches.

        Their requests were not accepted. If such a write took effect, or
        did so late, another daemon would run the requests after this
        daemon's death.
        """
        for name in sorted(self._failed_batches):
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
                self._failed_batches.discard(name)

    def _rebase(
        self, entries: Iterable[JournalEntry]
    ) -> tuple[ModelRequest, ...]:
        now = anyio.current_time()
        return tuple(entry.rebase(now) for entry in entries)

    def _key(self, name: str) -> str:
        return format_batch_key(
            BatchKey(
                daemon=self._daemon,
                incarnation=self._incarnation,
                name=name,
            )
        )


@dataclass(kw_only=True, slots=True)
class _WriteResult:
    """Result of the write of a batch."""

    outcome: Committed | Conflict | Unavailable = NOT_ATTEMPTED
    may_have_taken_effect: bool = False
    """An attempt may have taken effect or may still do so."""


def _new_name() -> str:
    return uuid.uuid4().hex


def _as_failure(result: _WriteResult) -> Unavailable | None:
    if isinstance(result.outcome, Conflict):
        # Batch names are unique: no other writer can have this key.
        return Unavailable(
            reason='journal row taken', may_have_taken_effect=False
        )
    if isinstance(result.outcome, Unavailable):
        return replace(
            result.outcome, may_have_taken_effect=result.may_have_taken_effect
        )
    return None
