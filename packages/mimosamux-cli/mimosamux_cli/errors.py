"""Why a command ends without success, with its exit status."""

from mimosamux_daemon.errors import MimosamuxError
from mimosamux_daemon.status import ExitStatus


class CommandError(MimosamuxError):
    """A command that ends with a message and this exit status."""

    status = ExitStatus.ERROR


class UsageError(CommandError):
    """The command was called wrongly."""

    status = ExitStatus.USAGE


class InvalidFile(CommandError):
    """A file that was passed is not valid."""

    status = ExitStatus.INVALID_INPUT


class NotFoundError(CommandError):
    """What was asked for is not in the files that were named."""


class ConflictError(CommandError):
    """Somebody else changed the same thing first."""

    status = ExitStatus.CONFLICT


class UnavailableError(CommandError):
    """No daemon could be reached, or the platform's service is down."""

    status = ExitStatus.UNAVAILABLE


class RefusedError(CommandError):
    """The request was refused and has not run."""

    status = ExitStatus.REFUSED


class UnknownOutcomeError(CommandError):
    """Nobody can tell whether the call ran."""

    status = ExitStatus.UNKNOWN_OUTCOME
