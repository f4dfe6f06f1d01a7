"""Processes of a site on loopback; each is stopped by its id."""

import contextlib
import pathlib
import socket
import subprocess
import sys
from dataclasses import dataclass, field

import anyio
import anyio.abc
from anyio.streams.text import TextReceiveStream

HOST = '127.0.0.1'
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0
TAIL_LINES = 20
"""Lines of a log that are shown when a program has not started."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Program:
    """A process that was started, and the address it printed."""

    name: str
    process: anyio.abc.Process
    address: str
    line: str = ''
    """The line with which it said that it had started."""


class NotStarted(Exception):
    """A program ended, or printed no address in time."""


@dataclass(kw_only=True, slots=True)
class Site:
    """Every program of the site, in the order of their start."""

    folder: pathlib.Path
    tasks: anyio.abc.TaskGroup
    programs: list[Program] = field(default_factory=list)

    async def start(
        self, name: str, *command: str, until: str = ''
    ) -> Program:
        """Start a Python module; the end of its first line is its address.

        With `until`, lines are read up to one that contains it. What it
        prints and logs goes to a file of its own in the site's folder.
        """
        log = self.folder / f'{name}.log'
        with log.open('wb') as stderr:
            process = await anyio.open_process(
                [sys.executable, '-m', *command],
                stdin=subprocess.DEVNULL,
                stderr=stderr,
                start_new_session=True,
            )
        program = Program(name=name, process=process, address='')
        self.programs.append(program)
        lines = _Lines(process=process, log=log)
        with anyio.move_on_after(START_TIMEOUT_S):
            line = await lines.read_until(until)
            if line is not None:
                program = Program(
                    name=name,
                    process=process,
                    address=line.split()[-1].removeprefix('http://'),
                    line=line,
                )
                self.programs[-1] = program
                self.tasks.start_soon(lines.drain)
                return program
        raise NotStarted(f'{name} has not started:\n{_tail(log)}')

    async def stop(self) -> None:
        """Stop every program that this site has started, newest first."""
        for program in reversed(self.programs):
            await _stop(program)


@dataclass(kw_only=True, slots=True)
class _Lines:
    """Lines that a process prints."""

    process: anyio.abc.Process
    log: pathlib.Path
    _text: str = ''

    async def read_until(self, text: str) -> str | None:
        """Return the next line that contains a text."""
        while (line := await self.read()) is not None:
            if text in line:
                return line
        return None

    async def read(self) -> str | None:
        """Return the next line, None if the process has ended."""
        assert self.process.stdout is not None
        stream = TextReceiveStream(self.process.stdout)
        while '\n' not in self._text:
            try:
                self._text += await stream.receive()
            except anyio.EndOfStream:
                return None
        line, _, self._text = self._text.partition('\n')
        with self.log.open('a') as log:
            log.write(f'{line}\n')
        return line

    async def drain(self) -> None:
        """Read on, so that the process never waits for a reader."""
        while await self.read() is not None:
            pass


def _tail(log: pathlib.Path) -> str:
    lines = log.read_text(errors='replace').splitlines()
    return '\n'.join(lines[-TAIL_LINES:])


async def _stop(program: Program) -> None:
    process = program.process
    with contextlib.suppress(ProcessLookupError):
        process.terminate()
    with anyio.move_on_after(STOP_TIMEOUT_S):
        await process.wait()
        return
    with contextlib.suppress(ProcessLookupError):
        process.kill()
    await process.wait()


def free_addresses(count: int) -> list[str]:
    """Return addresses that were free a moment ago."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for each in sockets:
            each.bind((HOST, 0))
        return [f'{HOST}:{each.getsockname()[1]}' for each in sockets]
