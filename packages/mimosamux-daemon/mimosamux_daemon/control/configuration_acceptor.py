"""Accepts changes that operators propose, and answers with a value."""

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
    Offer,
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
from mimosamux_daemon.errors import InvariantBroken
from mimosamux_daemon.logs import get_log

log = get_log('configuration')

DECIDE_WITHIN_S = 5.0
"""After this time the operator hears that the change is in doubt."""
RETRY_S = 0.1
MAX_BATCH = 64
MAX_AUDITED_CHARACTERS = 4000


@dataclass(kw_only=True, slots=True)
class _Doubt:
    """Whether a commit without an answer may still be made.

    It is decided as soon as the log holds that version: either it is
    ours, or the check on the head keeps ours out for good.
    """

    version: int = 0
    reason: str = 'no answer in time'

    @property
    def is_open(self) -> bool:
        return self.version > 0

    def decision_on(self, proposal: Proposal) -> Decision:
        if self.is_open:
            return Undecided(operation=proposal.operation)
        return StoreUnavailable(reason=self.reason)


class ConfigurationAcceptor:
    """Commits proposals; those that wait together share one version."""

    def __init__(
        self,
        *,
        replica: ConfigurationReplica,
        log: ConfigurationLog,
        spread: Callable[[Sequence[VersionRecord]], None],
        wall_clock: Callable[[], float] = time.time,
        check: FeasibilityCheck | None = None,
        request_probe: Callable[[], None] | None = None,
    ) -> None:
        self._replica = replica
        self._log = log
        self._spread = spread
        self._drafter = Drafter(
            replica=replica, wall_clock=wall_clock, check=check
        )
        self._request_probe = request_probe or (lambda: None)
        """Has the table tried although it counts as down."""
        self._waiting: list[Offer] = []
        self._deciding = anyio.Lock()
        self._wants_snapshot = anyio.Event()

    async def propose(self, proposal: Proposal) -> Decision:
        """Return what became of a proposal, within some seconds."""
        offer = Offer(proposal=proposal)
        self._waiting.append(offer)
        # An operator who hangs up must not leave the others of the same
        # version without an answer, so the work goes on to its end.
        with anyio.CancelScope(shield=True):
            async with self._deciding:
                while offer.decision is None:
                    offers = self._waiting[:MAX_BATCH]
                    del self._waiting[:MAX_BATCH]
                    if not offers:
                        raise InvariantBroken('an offer was left undecided')
                    await self._decide(offers)
        assert offer.decision is not None
        return offer.decision

    async def run(self) -> None:
        """Write a snapshot every so many versions."""
        while True:
            await self._wants_snapshot.wait()
            self._wants_snapshot = anyio.Event()
            await self._log.compact(self._replica)

    async def _decide(self, offers: list[Offer]) -> None:
        doubt = _Doubt()
        self._request_probe()
        with anyio.move_on_after(DECIDE_WITHIN_S):
            await self._catch_up_to(offers)
            while True:
                draft = self._drafter.draft(offers)
                if not draft.offers:
                    return
                outcome = await self._commit(draft, doubt)
                if isinstance(outcome, Committed):
                    continue
                if isinstance(outcome, Unavailable):
                    doubt.reason = outcome.reason
                    if not doubt.is_open:
                        break
                    await anyio.sleep(RETRY_S)
                # Whether ours was the one that landed shows in the log:
                # the draft is made again on top of it.
                await self._catch_up(doubt)
        for offer in offers:
            if offer.decision is None:
                offer.decision = doubt.decision_on(offer.proposal)

    async def _catch_up_to(self, offers: list[Offer]) -> None:
        expected = [offer.proposal.expected_version or 0 for offer in offers]
        if max(expected) > self._replica.version:
            await self._catch_up(_Doubt())

    async def _catch_up(self, doubt: _Doubt) -> None:
        caught_up = await self._log.catch_up(self._replica)
        if isinstance(caught_up, Unavailable):
            doubt.reason = caught_up.reason
            return
        self._publish(caught_up.records)
        if self._replica.version >= doubt.version:
            doubt.version = 0

    async def _commit(
        self, draft: Draft, doubt: _Doubt
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
            self._as_entry(change, record.version) for change in draft.changes
        ]
        doubt.version = record.version
        outcome = await self._log.append(record, entries)
        may_land = isinstance(outcome, Unavailable) and outcome.may_have_landed
        if not may_land and not was_in_doubt:
            doubt.version = 0
        if isinstance(outcome, Committed):
            doubt.version = 0
            replica.advance(record)
            self._publish((record,))
            for offer in draft.offers:
                offer.decision = Accepted(version=record.version)
        return outcome

    def _publish(self, records: Sequence[VersionRecord]) -> None:
        if not records:
            return
        self._spread(records)
        if any(record.version % SNAPSHOT_EVERY == 0 for record in records):
            self._wants_snapshot.set()

    def _as_entry(self, change: Change, version: int) -> AuditEntry:
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
            before=_as_text(change.edits, before),
            after=_as_text(change.edits, after),
            version=version,
        )


def _as_text(edits: Sequence[Edit], values: Sequence[Any]) -> str:
    by_path = {
        '.'.join(edit.path): value
        for edit, value in zip(edits, values, strict=True)
    }
    return orjson.dumps(by_path).decode()[:MAX_AUDITED_CHARACTERS]
