"""Rows and transactions of the platform's table, and their outcomes."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """A row as read; `version` goes up with each write, from 1."""

    key: str
    value: bytes
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Check:
    """Condition of a transaction: the row has this version."""

    key: str
    version: int
    """0: the row does not exist."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Write:
    """Write of a transaction; a value of None deletes the row."""

    key: str
    value: bytes | None


@dataclass(frozen=True, kw_only=True, slots=True)
class Committed:
    """All writes took effect together; versions by key of the row."""

    versions: dict[str, int]


@dataclass(frozen=True, kw_only=True, slots=True)
class Conflict:
    """A check failed and nothing was written."""

    key: str
    found: Row | None


@dataclass(frozen=True, kw_only=True, slots=True)
class Unavailable:
    """The platform did not answer properly.

    With `may_have_landed` the call may have taken effect all the same.
    """

    reason: str
    may_have_landed: bool


CommitOutcome = Committed | Conflict | Unavailable
