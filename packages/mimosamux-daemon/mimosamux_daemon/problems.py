"""Validation problem of rejected input."""

from dataclasses import dataclass

ROOT_PATH = '$'
"""Path of a problem that concerns the input as a whole."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Problem:
    """The first validation problem and the path of its field.

    The keys of the path are separated by dots.
    """

    path: str
    message: str
