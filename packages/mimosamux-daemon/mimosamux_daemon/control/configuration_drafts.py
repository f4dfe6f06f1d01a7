"""Drafts the next configuration version from a batch of pending proposals."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import singledispatchmethod
from typing import Any

import orjson

from mimosamux_daemon.control.configuration import ConfigurationReplica
from mimosamux_daemon.control.configuration_changes import (
    Change,
    Document,
    Edit,
    apply_edits,
    find_differences,
    overlaps_edit,
)
from mimosamux_daemon.control.configuration_models import parse_configuration
from mimosamux_daemon.control.proposals import (
    Accepted,
    ApplyDocument,
    Decision,
    Invalid,
    Proposal,
    SetValue,
    VersionConflict,
)
from mimosamux_daemon.domain.configuration import Configuration
from mimosamux_daemon.errors import InvalidConfiguration

MAX_DOCUMENT_BYTES = 1024 * 1024

FeasibilityCheck = Callable[[Configuration], Invalid | None]
"""Returns the path and problem of a target that cannot be met, or None."""


@dataclass(kw_only=True, slots=True)
class PendingProposal:
    """A proposal, and the decision on it once it is made."""

    proposal: Proposal
    decision: Decision | None = None


@dataclass(kw_only=True, slots=True)
class Draft:
    """An uncommitted version that combines compatible proposals."""

    document: Document
    changes: list[Change] = field(default_factory=list)
    pending: list[PendingProposal] = field(default_factory=list)

    @property
    def edits(self) -> list[Edit]:
        """All edits of all changes, in order."""
        return [edit for change in self.changes for edit in change.edits]


class Drafter:
    """Checks proposals against the replica's current document."""

    def __init__(
        self,
        *,
        replica: ConfigurationReplica,
        wall_clock: Callable[[], float],
        check: FeasibilityCheck | None = None,
    ) -> None:
        self._replica = replica
        self._wall_clock = wall_clock
        self._check = check

    def draft(self, batch: list[PendingProposal]) -> Draft:
        """Return a draft of the undecided proposals that are compatible.

        Proposals that are committed already, invalid or in conflict with
        a committed version get their decision here.
        """
        # A proposal that conflicts with an earlier one in the draft waits
        # for the next version. The first undecided proposal never waits,
        # so each round makes progress.
        draft = Draft(document=self._replica.document)
        for item in batch:
            if item.decision is not None:
                continue
            committed_version = self._replica.version_of(
                item.proposal.operation
            )
            if committed_version is not None:
                item.decision = Accepted(version=committed_version)
                continue
            edits = self._edits_of(item.proposal, draft)
            if edits is None:
                continue
            if not isinstance(edits, tuple):
                item.decision = edits
                continue
            self._add(draft, item, edits)
        return draft

    def _add(
        self, draft: Draft, item: PendingProposal, edits: tuple[Edit, ...]
    ) -> None:
        """Add a proposal to the draft, or decide one without effect."""
        document = apply_edits(draft.document, edits)
        if not find_differences(draft.document, document):
            item.decision = Accepted(version=self._replica.version)
            return
        problem = self._find_problem(document)
        if problem is not None:
            item.decision = problem
            return
        proposal = item.proposal
        draft.document = document
        draft.pending.append(item)
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
        self, proposal: Any, draft: Draft
    ) -> tuple[Edit, ...] | Decision | None:
        """Return the edits of a proposal, or the decision that rejects it.

        None if the proposal has to wait for the next version.
        """
        raise TypeError(f'not a proposal: {type(proposal).__name__}')

    @_edits_of.register
    def _(
        self, proposal: ApplyDocument, draft: Draft
    ) -> tuple[Edit, ...] | Decision | None:
        changes = self._changes_since(proposal.expected_version, draft)
        if changes is None or changes:
            return self._conflict(changes, draft)
        return find_differences(draft.document, proposal.document)

    @_edits_of.register
    def _(
        self, proposal: SetValue, draft: Draft
    ) -> tuple[Edit, ...] | Decision | None:
        if not proposal.path or not all(proposal.path):
            return Invalid(path='path', problem='names no field')
        if proposal.expected_version is not None:
            changes = self._changes_since(proposal.expected_version, draft)
            if changes is None:
                return self._conflict(None, draft)
            overlapping = [
                change
                for change in changes
                if overlaps_edit(proposal.path, change.edits)
            ]
            if overlapping:
                return self._conflict(overlapping, draft)
        return (
            Edit(
                path=proposal.path,
                value=proposal.value,
                is_removal=proposal.is_removal,
            ),
        )

    def _changes_since(
        self, version: int, draft: Draft
    ) -> list[Change] | None:
        """Return committed and drafted changes after a version.

        None if the replica does not hold all of them.
        """
        if version > self._replica.version:
            return None
        records = self._replica.records_after(version)
        if records is None:
            return None
        changes = [change for record in records for change in record.changes]
        return changes + draft.changes

    def _conflict(
        self, changes: Sequence[Change] | None, draft: Draft
    ) -> VersionConflict | None:
        """Return the conflict; None if it may vanish with the next version."""
        if changes and any(change in draft.changes for change in changes):
            # The conflict is with an uncommitted change that may still fail.
            return None
        return VersionConflict(
            version=self._replica.version, changes=tuple(changes or ())
        )


def _describe(proposal: Proposal, edits: Sequence[Edit]) -> str:
    paths = ', '.join('.'.join(edit.path) for edit in edits[:5])
    more = f' and {len(edits) - 5} more' if len(edits) > 5 else ''
    verb = 'apply' if isinstance(proposal, ApplyDocument) else 'set'
    return f'{verb} {paths}{more}'
