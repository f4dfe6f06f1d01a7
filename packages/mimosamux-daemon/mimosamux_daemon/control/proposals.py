"""Configuration changes that operators propose, and the decisions on them."""

from dataclasses import dataclass
from typing import Any

from mimosamux_daemon.control.configuration_changes import (
    Change,
    Document,
    Path,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class ApplyDocument:
    """Replaces the whole document if its version is the expected one."""

    operation: str
    who: str
    document: Document
    expected_version: int
    why: str = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class SetValue:
    """Sets or removes the value at one path and leaves other paths alone."""

    operation: str
    who: str
    path: Path
    value: Any = None
    is_removal: bool = False
    expected_version: int | None = None
    """Version that the operator saw; None skips the conflict check."""
    why: str = ''


Proposal = ApplyDocument | SetValue


@dataclass(frozen=True, kw_only=True, slots=True)
class Accepted:
    """The change is committed in this version."""

    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class VersionConflict:
    """Other operators changed the same values after the expected version."""

    version: int
    changes: tuple[Change, ...]
    """Changes that conflict; empty if this daemon does not hold them."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Invalid:
    """The changed document would be invalid at a path."""

    path: str
    problem: str


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreUnavailable:
    """The platform's table is down: the change was not made."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Undecided:
    """The change may have been committed.

    Proposing it again under the same operation id is safe and returns the
    outcome.
    """

    operation: str


Decision = Accepted | VersionConflict | Invalid | StoreUnavailable | Undecided
