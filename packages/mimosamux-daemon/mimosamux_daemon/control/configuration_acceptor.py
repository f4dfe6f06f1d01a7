"""Commits the configuration changes that operators propose.

Proposals that arrive while another commit is in progress are committed in
batches, one version per batch.
"""

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

import anyio
import orjson

from mimosamux_daemon.control.configuration import ConfigurationReplica
from mimosamux_daemon.control.configuration_changes import (
    Change,
    Edit,
    VersionRecord,
    digest_after,
    value_at,
)
from mimosamux_daemon.control.configuration_drafts import (
    Draft,
    Drafter,
    FeasibilityCheck,
    PendingProposal,
)
from mimosamux_daemon.control.configuration_log import (
    SNAPSHOT_EVERY,
    ConfigurationLog,
)
from mimosamux_daemon.control.proposals import (
    Accepted,
    Decision,
    Proposal,
    StoreUnavailable,
    Undecided,
)
from mimosamux_daemon.domain.audit import AuditEntry, AuditKind
from mimosamux_daemon.domain.store import Committed, Conflict, Unavailable
from mimosamux_daemon.errors import InvariantViolation
from mimosamux_daemon.logs import get_log

log = get_log('configuration')

DECISION_TIMEOUT_S = 5.0
"""Time limit for a batch. Proposals without a decision are then answered
with `Undecided` or `StoreUnavailable`."""
RETRY_INTERVAL_S = 0.1
MAX_BATCH = 64
MAX_AUDIT_VALUE_CHARACTERS = 4000


@dataclass(kw_only=True, slots=True)
class _CommitInDoubt:
    """Tracks a commit whose outcome is unknown.

    The outcome is known once the log holds that version: either it is
    this daemon's own commit, or the check on the head row makes sure that
    its commit can never succeed.
    """

    version: int = 0
    """Version of the commit in doubt; 0 if there is none."""
    reason: str = 'no answer in time'

    @property
    def is_open(self) -> bool:
        return self.version > 0

    def decision_on(self, proposal: Proposal) -> Decision:
        if self.is_open:
            return Undecided(operation=proposal.operation)
        return StoreUnavailable(reason=self.reason)


class ConfigurationAcceptor:
    """Commits proposals; those of one batch share a version."""

    def __init__(
        self,
        *,
        replica: ConfigurationReplica,
        log: ConfigurationLog,
        broadcast: Callable[[Sequence[VersionRecord]], None],
        wall_clock: Callable[[], float] = time.time,
        check: FeasibilityCheck | None = None,
        request_probe: Callable[[], None] | None = None,
    ) -> None:
        self._replica = replica
        self._log = log
        self._broadcast = broadcast
        self._drafter = Drafter(
            replica=replica, wall_clock=wall_clock, check=check
        )
        self._request_probe = request_probe or (lambda: None)
        """Requests a call to the table although its circuit is open."""
        self._pending: list[PendingProposal] = []
        self._decision_lock = anyio.Lock()
        self._snapshot_due = anyio.Event()

    async def propose(self, proposal: Proposal) -> Decision:
        """Commit a proposal and return the decision on it.

        Each batch that is ahead, and its own, takes at most
        `DECISION_TIMEOUT_S`.
        """
        pending = PendingProposal(proposal=proposal)
        self._pending.append(pending)
        # If an operator disconnects, the other operators of the batch must
        # still get their answers, so the work is shielded.
        with anyio.CancelScope(shield=True):
            async with self._decision_lock:
                while pending.decision is None:
                    batch = self._pending[:MAX_BATCH]
                    del self._pending[:MAX_BATCH]
                    if not batch:
                        raise InvariantViolation(
                            'a pending proposal was left undecided'
                        )
                    await self._decide(batch)
        assert pending.decision is not None
        return pending.decision

    async def run(self) -> None:
        """Write a snapshot every `SNAPSHOT_EVERY` versions."""
        while True:
            await self._snapshot_due.wait()
            self._snapshot_due = anyio.Event()
            await self._log.compact(self._replica)

    async def _decide(self, batch: list[PendingProposal]) -> None:
        doubt = _CommitInDoubt()
        self._request_probe()
        with anyio.move_on_after(DECISION_TIMEOUT_S):
            await self._catch_up_to_expected(batch)
            while True:
                draft = self._drafter.draft(batch)
                if not draft.pending:
                    return
                outcome = await self._commit(draft, doubt)
                if isinstance(outcome, Committed):
                    continue
                if isinstance(outcome, Unavailable):
                    doubt.reason = outcome.reason
                    if not doubt.is_open:
                        break
                    await anyio.sleep(RETRY_INTERVAL_S)
                # The log shows whether this daemon's commit succeeded;
                # the next draft builds on it.
                await self._catch_up(doubt)
        for pending in batch:
            if pending.decision is None:
                pending.decision = doubt.decision_on(pending.proposal)

    async def _catch_up_to_expected(
        self, batch: list[PendingProposal]
    ) -> None:
        expected = [
            pending.proposal.expected_version or 0 for pending in batch
        ]
        if max(expected) > self._replica.version:
            await self._catch_up(_CommitInDoubt())

    async def _catch_up(self, doubt: _CommitInDoubt) -> None:
        caught_up = await self._log.catch_up(self._replica)
        if isinstance(caught_up, Unavailable):
            doubt.reason = caught_up.reason
            return
        self._publish(caught_up.records)
        if self._replica.version >= doubt.version:
            doubt.version = 0

    async def _commit(
        self, draft: Draft, doubt: _CommitInDoubt
    ) -> Committed | Conflict | Unavailable:
        replica = self._replica
        was_in_doubt = doubt.is_open
        record = VersionRecord(
            version=replica.version + 1,
            digest=digest_after(
                replica.digest, replica.document, draft.document, draft.edits
            ),
            changes=tuple(draft.changes),
        )
        entries = [
            self._build_audit_entry(change, record.version)
            for change in draft.changes
        ]
        doubt.version = record.version
        outcome = await self._log.append(record, entries)
        may_have_taken_effect = (
            isinstance(outcome, Unavailable) and outcome.may_have_taken_effect
        )
        if not may_have_taken_effect and not was_in_doubt:
            doubt.version = 0
        if isinstance(outcome, Committed):
            doubt.version = 0
            replica.advance(record)
            self._publish((record,))
            for pending in draft.pending:
                pending.decision = Accepted(version=record.version)
        return outcome

    def _publish(self, records: Sequence[VersionRecord]) -> None:
        if not records:
            return
        self._broadcast(records)
        if any(record.version % SNAPSHOT_EVERY == 0 for record in records):
            self._snapshot_due.set()

    def _build_audit_entry(self, change: Change, version: int) -> AuditEntry:
        before = [
            value_at(self._replica.document, e.path) for e in change.edits
        ]
        after = [edit.value for edit in change.edits]
        log.info(
            'change_proposed',
            version=version,
            who=change.who,
            what=change.what,
        )
        return AuditEntry(
            id=change.operation,
            kind=AuditKind.CONFIGURATION,
            at=change.at,
            who=change.who,
            what=change.what,
            why=change.why,
            before=_serialise_values(change.edits, before),
            after=_serialise_values(change.edits, after),
            version=version,
        )


def _serialise_values(edits: Sequence[Edit], values: Sequence[Any]) -> str:
    by_path = {
        '.'.join(edit.path): value
        for edit, value in zip(edits, values, strict=True)
    }
    return orjson.dumps(by_path).decode()[:MAX_AUDIT_VALUE_CHARACTERS]
