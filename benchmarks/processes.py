"""Processes that a benchmark starts, measures and ends by id."""

import os
import pathlib
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

TICKS_PER_S = os.sysconf('SC_CLK_TCK')
KIB = 1024


@dataclass(frozen=True, kw_only=True, slots=True)
class Program:
    """A running program and the address it serves on."""

    pid: int
    address: str

    @property
    def cpu_s(self) -> float:
        """Processor time used so far, in seconds."""
        text = pathlib.Path(f'/proc/{self.pid}/stat').read_text()
        fields = text.rpartition(')')[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S

    @property
    def resident_bytes(self) -> int:
        """Memory in use."""
        for line in (
            pathlib.Path(f'/proc/{self.pid}/status').read_text().splitlines()
        ):
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) * KIB
        return 0


@contextmanager
def run_program(module: str, *args: str) -> Iterator[Program]:
    """Run `python -m module`, whose first line ends with its address."""
    process = subprocess.Popen(
        [sys.executable, '-m', module, *args],
        stdout=subprocess.PIPE,
        text=True,
        cwd=pathlib.Path(__file__).parents[1],
    )
    try:
        assert process.stdout is not None
        first_line = process.stdout.readline()
        yield Program(pid=process.pid, address=first_line.split()[-1])
    finally:
        process.kill()
        process.wait()
