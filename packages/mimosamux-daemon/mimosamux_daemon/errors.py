"""Exception hierarchy: broken invariants and invalid input.

Expected failures, such as refusals, are return values.
"""


class MimosamuxError(Exception):
    """Base of every exception that this project raises."""


class InvariantViolation(MimosamuxError):
    """An invariant of the program is violated; the process has to stop."""


class InvalidInput(MimosamuxError):
    """Input from outside is invalid; `path` names the field."""

    def __init__(self, *, path: str, problem: str) -> None:
        super().__init__(f'{path}: {problem}')
        self.path = path
        self.problem = problem


class InvalidSettings(InvalidInput):
    """The settings file is invalid."""


class InvalidConfiguration(InvalidInput):
    """A configuration that an operator proposes is invalid."""


class InvalidRequest(InvalidInput):
    """A caller's request is malformed."""
