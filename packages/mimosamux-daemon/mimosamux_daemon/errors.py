"""The exception tree: only broken invariants and bad input raise."""


class MimosamuxError(Exception):
    """Base of every exception that this project raises."""


class InvariantBroken(MimosamuxError):
    """The program is wrong about itself; the process has to stop."""


class InvalidInput(MimosamuxError):
    """Input at the border is wrong; `path` names the field."""

    def __init__(self, *, path: str, problem: str) -> None:
        super().__init__(f'{path}: {problem}')
        self.path = path
        self.problem = problem


class InvalidSettings(InvalidInput):
    """The settings file is wrong."""


class InvalidConfiguration(InvalidInput):
    """A configuration that an operator offers is wrong."""


class InvalidRequest(InvalidInput):
    """A caller's request is malformed."""
