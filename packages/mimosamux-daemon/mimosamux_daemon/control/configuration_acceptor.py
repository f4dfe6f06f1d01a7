"""Accepts changes that operators propose, and answers with a value."""

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import singledispatchmethod
from typing import Any

import anyio
import orjson

from mimosamux_daemon.control.configuration import (
    Advance,
    ConfigurationReplica,
)
from mimosamux_daemon.control.configuration_changes import (
    Change,
    Document,
    Edit,
    Path,
    VersionRecord,
    apply_edits,
    digest_after,
    find_differences,
    is_touched,
    value_at,
)
from mimosamux_daemon.control.configuration_log import (
    SNAPSHOT_EVERY,
    ConfigurationLog,
)
from mimosamux_daemon.control.configuration_models import parse_configuration
from mimosamux_daemon.domain.audit import AuditEntry, AuditKind
from mimosamux_daemon.domain.configuration import Configuration
from mimosamux_daemon.domain.store import Committed, Conflict, Unavailable
from mimosamux_daemon.errors import InvalidConfiguration, InvariantBroken
from mimosamux_daemon.logs import get_log

log = get_log('configuration')

DECIDE_WITHIN_S = 5.0
RETRY_S = 0.1
MAX_BATCH = 64
MAX_DOCUMENT_BYTES = 1024 * 1024
MAX_AUDITED_CHARACTERS = 4000


@dataclass(frozen=True, kw_only=True, slots=True)
class ApplyDocument:
    """Puts a whole document in place of the one of a version."""

    operation: str
    who: str
    document: Document
    expected_version: int
    why: str = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class SetValue:
    """Changes one path, on top of changes that others made elsewhere."""

    operation: str
    who: str
    path: Path
    value: Any = None
    is_removal: bool = False
    expected_version: int | None = None
    """Version that the operator saw; None: whatever is there."""
    why: str = ''


Proposal = ApplyDocument | SetValue


@dataclass(frozen=True, kw_only=True, slots=True)
class Accepted:
    """The change is committed as part of this version."""

    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ConflictWith:
    """Others changed the same since the version that was expected."""

    version: int
    changes: tuple[Change, ...]
    """Empty if they are so long ago that only the audit has them."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Invalid:
    """The result would be wrong at a path."""

    path: str
    problem: str


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreUnavailable:
    """The platform's table is down: the change was not made."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Undecided:
    """The change may have been made; the same operation id tells."""

    operation: str


Decision = Accepted | ConflictWith | Invalid | StoreUnavailable | Undecided

FeasibilityCheck = Callable[[Configuration], Invalid | None]
"""Tells of a target that cannot be met, with the path of its field."""


@dataclass(kw_only=True, slots=True)
class _Offer:
    proposal: Proposal
    decision: Decision | None = None


@dataclass(kw_only=True, slots=True)
class _Draft:
    """A version in the making: the proposals that fit together."""

    document: Document
    changes: list[Change] = field(default_factory=list)
    offers: list[_Offer] = field(default_factory=list)

    @property
    def edits(self) -> list[Edit]:
        return [edit for change in self.changes for edit in change.edits]


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
    ) -> None:
        self._replica = replica
        self._log = log
        self._spread = spread
        self._wall_clock = wall_clock
        self._check = check
        self._waiting: list[_Offer] = []
        self._deciding = anyio.Lock()
        self._wants_snapshot = anyio.Event()

    async def propose(self, proposal: Proposal) -> Decision:
        """Return what became of a proposal, within some seconds."""
        offer = _Offer(proposal=proposal)
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

    async def _decide(self, offers: list[_Offer]) -> None:
        doubt = _Doubt()
        with anyio.move_on_after(DECIDE_WITHIN_S):
            await self._catch_up_to(offers)
            while True:
                draft = self._draft(offers)
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

    async def _catch_up_to(self, offers: list[_Offer]) -> None:
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
        self, draft: _Draft, doubt: _Doubt
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

    def _draft(self, offers: list[_Offer]) -> _Draft:
        # A proposal that clashes with one before it is left for the next
        # version; the first one always fits, so each round settles one.
        draft = _Draft(document=self._replica.document)
        for offer in offers:
            if offer.decision is not None:
                continue
            known = self._replica.version_of(offer.proposal.operation)
            if known is not None:
                offer.decision = Accepted(version=known)
                continue
            edits = self._edits_of(offer.proposal, draft)
            if edits is None:
                continue
            if not isinstance(edits, tuple):
                offer.decision = edits
                continue
            self._add(draft, offer, edits)
        return draft

    def _add(
        self, draft: _Draft, offer: _Offer, edits: tuple[Edit, ...]
    ) -> None:
        document = apply_edits(draft.document, edits)
        if not find_differences(draft.document, document):
            offer.decision = Accepted(version=self._replica.version)
            return
        problem = self._find_problem(document)
        if problem is not None:
            offer.decision = problem
            return
        proposal = offer.proposal
        draft.document = document
        draft.offers.append(offer)
        draft.changes.append(
            Change(
                operation=proposal.operation,
                who=proposal.who,
                what=_describe(proposal, edits),
                why=proposal.why,
                at=self._wall_clock(),
                edits=edits,
            )
        )

    def _find_problem(self, document: Document) -> Invalid | None:
        try:
            if len(orjson.dumps(document)) > MAX_DOCUMENT_BYTES:
                return Invalid(
                    path='$', problem=f'above {MAX_DOCUMENT_BYTES} bytes'
                )
            configuration = parse_configuration(
                document, version=self._replica.version + 1
            )
        except InvalidConfiguration as error:
            return Invalid(path=error.path, problem=error.problem)
        except TypeError as error:
            return Invalid(path='$', problem=str(error))
        return self._check(configuration) if self._check else None

    @singledispatchmethod
    def _edits_of(
        self, proposal: Any, draft: _Draft
    ) -> tuple[Edit, ...] | Decision | None:
        raise TypeError(f'not a proposal: {type(proposal).__name__}')

    @_edits_of.register
    def _(
        self, proposal: ApplyDocument, draft: _Draft
    ) -> tuple[Edit, ...] | Decision | None:
        changes = self._changes_since(proposal.expected_version, draft)
        if changes is None or changes:
            return self._conflict(changes, draft)
        return find_differences(draft.document, proposal.document)

    @_edits_of.register
    def _(
        self, proposal: SetValue, draft: _Draft
    ) -> tuple[Edit, ...] | Decision | None:
        if not proposal.path or not all(proposal.path):
            return Invalid(path='path', problem='names no field')
        if proposal.expected_version is not None:
            changes = self._changes_since(proposal.expected_version, draft)
            if changes is None:
                return self._conflict(None, draft)
            touching = [
                change
                for change in changes
                if is_touched(proposal.path, change.edits)
            ]
            if touching:
                return self._conflict(touching, draft)
        return (
            Edit(
                path=proposal.path,
                value=proposal.value,
                is_removal=proposal.is_removal,
            ),
        )

    def _changes_since(
        self, version: int, draft: _Draft
    ) -> list[Change] | None:
        """Return the changes after a version; None if not known."""
        if version > self._replica.version:
            return None
        records = self._replica.records_after(version)
        if records is None:
            return None
        changes = [change for record in records for change in record.changes]
        return changes + draft.changes

    def _conflict(
        self, changes: Sequence[Change] | None, draft: _Draft
    ) -> ConflictWith | None:
        if changes and any(change in draft.changes for change in changes):
            # It races with one that is not committed yet and may fail.
            return None
        return ConflictWith(
            version=self._replica.version, changes=tuple(changes or ())
        )

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


def _describe(proposal: Proposal, edits: Sequence[Edit]) -> str:
    paths = ', '.join('.'.join(edit.path) for edit in edits[:5])
    more = f' and {len(edits) - 5} more' if len(edits) > 5 else ''
    verb = 'apply' if isinstance(proposal, ApplyDocument) else 'set'
    return f'{verb} {paths}{more}'


def _as_text(edits: Sequence[Edit], values: Sequence[Any]) -> str:
    by_path = {
        '.'.join(edit.path): value
        for edit, value in zip(edits, values, strict=True)
    }
    return orjson.dumps(by_path).decode()[:MAX_AUDITED_CHARACTERS]


__all__ = [
    'Accepted',
    'Advance',
    'ApplyDocument',
    'ConfigurationAcceptor',
    'ConflictWith',
    'Decision',
    'Invalid',
    'Proposal',
    'SetValue',
    'StoreUnavailable',
    'Undecided',
]
