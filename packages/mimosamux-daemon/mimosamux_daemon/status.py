"""Exit status of the programs."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """What the exit status of a process means."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    INVALID_INPUT = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    REFUSED = 6
    UNKNOWN_OUTCOME = 7
    INTERRUPTED = 130
