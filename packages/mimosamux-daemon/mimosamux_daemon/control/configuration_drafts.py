"""Makes the next version out of proposals that wait together."""

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
    is_touched,
)
from mimosamux_daemon.control.configuration_models import parse_configuration
from mimosamux_daemon.control.proposals import (
    Accepted,
    ApplyDocument,
    ConflictWith,
    Decision,
    Invalid,
    Proposal,
    SetValue,
)
from mimosamux_daemon.domain.configuration import Configuration
from mimosamux_daemon.errors import InvalidConfiguration

MAX_DOCUMENT_BYTES = 1024 * 1024

FeasibilityCheck = Callable[[Configuration], Invalid | None]
"""Tells of a target that cannot be met, with the path of its field."""


@dataclass(kw_only=True, slots=True)
class Offer:
    """A proposal, and the decision on it once there is one."""

    proposal: Proposal
    decision: Decision | None = None


@dataclass(kw_only=True, slots=True)
class Draft:
    """A version in the making: the proposals that fit together."""

    document: Document
    changes: list[Change] = field(default_factory=list)
    offers: list[Offer] = field(default_factory=list)

    @property
    def edits(self) -> list[Edit]:
        """Every edit of every change, in order."""
        return [edit for change in self.changes for edit in change.edits]


class Drafter:
    """Checks proposals against the document that is held now."""

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

    def draft(self, offers: list[Offer]) -> Draft:
        """Return a version of the undecided offers that fit together.

        Offers that are known, invalid or in conflict are decided here.
        """
        # A proposal that clashes with one before it is left for the next
        # version; the first one always fits, so each round settles one.
        draft = Draft(document=self._replica.document)
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
        self, draft: Draft, offer: Offer, edits: tuple[Edit, ...]
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
        self, proposal: Any, draft: Draft
    ) -> tuple[Edit, ...] | Decision | None:
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
        self, version: int, draft: Draft
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
        self, changes: Sequence[Change] | None, draft: Draft
    ) -> ConflictWith | None:
        if changes and any(change in draft.changes for change in changes):
            # It races with one that is not committed yet and may fail.
            return None
        return ConflictWith(
            version=self._replica.version, changes=tuple(changes or ())
        )


def _describe(proposal: Proposal, edits: Sequence[Edit]) -> str:
    paths = ', '.join('.'.join(edit.path) for edit in edits[:5])
    more = f' and {len(edits) - 5} more' if len(edits) > 5 else ''
    verb = 'apply' if isinstance(proposal, ApplyDocument) else 'set'
    return f'{verb} {paths}{more}'
