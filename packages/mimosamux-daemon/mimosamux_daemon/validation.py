"""What is wrong with input that a model has turned down."""

from dataclasses import dataclass

import pydantic

WHOLE_INPUT = '$'
"""Path of a problem with the input as a whole."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Problem:
    """The first thing that is wrong, and the path of its field."""

    path: str
    message: str


def first_problem(
    error: pydantic.ValidationError, *, below: tuple[str, ...] = ()
) -> Problem:
    """Return the first problem; `below` are the keys above the input."""
    first = error.errors()[0]
    keys = (*below, *first['loc'])
    path = '.'.join(str(key) for key in keys) or WHOLE_INPUT
    return Problem(path=path, message=first['msg'])
