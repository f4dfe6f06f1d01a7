"""What is wrong with input that a pydantic model has turned down."""

import pydantic

from mimosamux_daemon.problems import WHOLE_INPUT, Problem


def first_problem(
    error: pydantic.ValidationError, *, below: tuple[str, ...] = ()
) -> Problem:
    """Return the first problem; `below` are the keys above the input."""
    first = error.errors()[0]
    keys = (*below, *first['loc'])
    path = '.'.join(str(key) for key in keys) or WHOLE_INPUT
    return Problem(path=path, message=first['msg'])
