"""Errors that end a command, each with its exit status."""

from mimosamux_daemon.errors import MimosamuxError
from mimosamux_daemon.status import ExitStatus


class CommandError(MimosamuxError):
    """Base class of errors; the message is printed to standard error."""

    status = ExitStatus.ERROR


class UsageError(CommandError):
    """The command-line arguments are invalid."""

    status = ExitStatus.USAGE


class InvalidFile(CommandError):
    """A file is malformed, or a daemon rejected the data as invalid."""

    status = ExitStatus.INVALID_INPUT


class NotFoundError(CommandError):
    """The given files contain nothing about the requested item."""


class ConflictError(CommandError):
    """A concurrent change was accepted first."""

    status = ExitStatus.CONFLICT


class UnavailableError(CommandError):
    """No daemon, or no service of the platform, could be reached."""

    status = ExitStatus.UNAVAILABLE


class RefusedError(CommandError):
    """The request was refused and has not run."""

    status = ExitStatus.REFUSED


class UnknownOutcomeError(CommandError):
    """It cannot be determined whether the call ran."""

    status = ExitStatus.UNKNOWN_OUTCOME
