"""Process environment of a program: streams, variables and clocks."""

import os
import sys
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import TextIO


def _stdout() -> TextIO:
    return sys.stdout


def _stderr() -> TextIO:
    return sys.stderr


def _variables() -> Mapping[str, str]:
    return os.environ


@dataclass(kw_only=True, slots=True)
class Environment:
    """Everything that a program takes from its process; tests replace it."""

    stdout: TextIO = field(default_factory=_stdout)
    stderr: TextIO = field(default_factory=_stderr)
    program: str = field(default_factory=lambda: sys.argv[0])
    """Path with which the program was started."""
    variables: Mapping[str, str] = field(default_factory=_variables)
    wall_clock: Callable[[], float] = time.time
    """Unix time in seconds, for display; decisions use anyio's clock."""
    sleep: Callable[[float], None] = time.sleep
    """Sleep that the command line uses between retries, in seconds."""
