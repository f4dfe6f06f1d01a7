"""Exit statuses of the command-line programs."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """Exit status of `mimosamuxd` and `mimosamux`."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    INVALID_INPUT = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    REFUSED = 6
    UNKNOWN_OUTCOME = 7
    INTERRUPTED = 130
