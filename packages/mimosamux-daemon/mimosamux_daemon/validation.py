"""Validation problems of input that a pydantic model rejects."""

import pydantic

from mimosamux_daemon.problems import ROOT_PATH, Problem


def first_problem(
    error: pydantic.ValidationError, *, below: tuple[str, ...] = ()
) -> Problem:
    """Return the first problem of a validation error.

    `below` gives the path of the validated value within the whole input.
    """
    first = error.errors()[0]
    keys = (*below, *first['loc'])
    path = '.'.join(str(key) for key in keys) or ROOT_PATH
    return Problem(path=path, message=first['msg'])
