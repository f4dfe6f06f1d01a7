"""What operators propose, and what can become of it."""

from dataclasses import dataclass
from typing import Any

from mimosamux_daemon.control.configuration_changes import (
    Change,
    Document,
    Path,
)


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
