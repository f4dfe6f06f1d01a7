"""The environment of a program: streams, and time for people."""

import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TextIO


def _stdout() -> TextIO:
    return sys.stdout


def _stderr() -> TextIO:
    return sys.stderr


@dataclass(kw_only=True, slots=True)
class Environment:
    """What a program meets outside itself; tests pass their own."""

    stdout: TextIO = field(default_factory=_stdout)
    stderr: TextIO = field(default_factory=_stderr)
    wall_clock: Callable[[], float] = time.time
    """Seconds since 1970, for people; decisions use anyio's clock."""
