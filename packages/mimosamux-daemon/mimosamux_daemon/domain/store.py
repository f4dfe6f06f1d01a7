"""Rows, transactions and commit outcomes of the platform's table."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """A row as read; `version` starts at 1, increases with each write."""

    key: str
    value: bytes
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Check:
    """Precondition of a transaction: the row has this version."""

    key: str
    version: int
    """0: the row does not exist."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Write:
    """One write of a transaction; the value None deletes the row."""

    key: str
    value: bytes | None


@dataclass(frozen=True, kw_only=True, slots=True)
class Committed:
    """All writes took effect atomically; `versions` by row key."""

    versions: dict[str, int]


@dataclass(frozen=True, kw_only=True, slots=True)
class Conflict:
    """A precondition failed and nothing was written.

    `found` is the row at `key`; None: absent, or not stated.
    """

    key: str
    found: Row | None


@dataclass(frozen=True, kw_only=True, slots=True)
class Unavailable:
    """The platform sent no valid answer.

    With `may_have_taken_effect` False, the call certainly had no effect.
    """

    reason: str
    may_have_taken_effect: bool
    is_timeout: bool = False
    """Whether nothing answered in time: the platform may only be slow, or
    this daemon."""


CommitOutcome = Committed | Conflict | Unavailable
