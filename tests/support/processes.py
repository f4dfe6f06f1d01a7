"""Real processes for integration tests: start, freeze, kill, stop."""

import os
import pathlib
import resource
import signal
import socket
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass

import yaml

STOP_TIMEOUT_S = 30.0
ROOT = pathlib.Path(__file__).parents[2]


@dataclass(kw_only=True)
class Process:
    """A process that this test started, and the address it printed."""

    popen: subprocess.Popen[str]
    log: pathlib.Path
    """What it wrote to its standard error."""
    _address: str = ''

    @property
    def address(self) -> str:
        """Where it listens; waits until it does."""
        if not self._address:
            line = self.wait_for_line('listening')
            self._address = line.split()[-1].removeprefix('http://')
        return self._address

    def wait_until_ready(self) -> None:
        """Return once a daemon has said that it serves."""
        _ = self.address
        self.wait_for_line('ready')

    def wait_for_line(self, start: str) -> str:
        """Return the next line of its output with that start."""
        assert self.popen.stdout is not None
        for line in self.popen.stdout:
            if line.startswith(start):
                return line
        raise AssertionError(f'{self.popen.args} ended before {start!r}')

    def wait_for_text(self, text: str) -> str:
        """Return the next line of its output that contains a text."""
        assert self.popen.stdout is not None
        for line in self.popen.stdout:
            if text in line:
                return line
        raise AssertionError(f'{self.popen.args} ended before {text!r}')

    def read_rest(self) -> str:
        """Return what a process that has ended wrote and nobody read."""
        assert self.popen.stdout is not None
        return self.popen.stdout.read()

    def freeze(self) -> None:
        """Stop it in its tracks (SIGSTOP)."""
        self.popen.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let it go on (SIGCONT)."""
        self.popen.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """End it without warning (SIGKILL)."""
        self.popen.kill()
        self.popen.wait(STOP_TIMEOUT_S)

    def terminate(self) -> None:
        """Ask it to stop gracefully (SIGTERM), without waiting."""
        self.popen.send_signal(signal.SIGTERM)

    def wait(self) -> int:
        """Return its exit status once it has ended."""
        return self.popen.wait(STOP_TIMEOUT_S)

    def end(self) -> None:
        """Make sure that it is gone."""
        if self.popen.poll() is None:
            self.popen.kill()
            self.popen.wait(STOP_TIMEOUT_S)
        if self.popen.stdout is not None:
            self.popen.stdout.close()


class Processes:
    """Starts processes and ends every one of them."""

    def __init__(self, *, folder: pathlib.Path) -> None:
        self.folder = folder
        self.descriptors: int | None = None
        """Most descriptors of each daemon; None: as many as this process."""
        self._started: list[Process] = []
        self._reserved: list[socket.socket] = []

    def start_standin(self, name: str, *args: str) -> Process:
        """Start a stand-in; its first line is `listening HOST:PORT`."""
        return self._start('mimosamux_standins', name, *args)

    def start_daemon(self, **settings: object) -> Process:
        """Start a daemon with settings, which are written as YAML."""
        path = self.folder / f'{settings["daemon"]}.yaml'
        path.write_text(yaml.safe_dump(settings))
        return self._start(
            'mimosamux_daemon',
            'serve',
            '--settings',
            str(path),
            descriptors=self.descriptors,
        )

    def reserve_port(self) -> int:
        """Return a free port that stays ours until the end.

        The bound socket does not listen, so a process of this test may
        bind the port as well, and the system gives it to nobody else.
        Tests that run side by side would otherwise take each other's.
        """
        bound = socket.socket()
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind(('127.0.0.1', 0))
        self._reserved.append(bound)
        port: int = bound.getsockname()[1]
        return port

    def end_all(self) -> None:
        """End what is left, by id."""
        for bound in self._reserved:
            bound.close()
        for process in self._started:
            process.end()

    def _start(
        self, module: str, *args: str, descriptors: int | None = None
    ) -> Process:
        log = self.folder / f'{len(self._started)}-{module}.log'
        with log.open('w') as stderr:
            popen = subprocess.Popen(
                [sys.executable, '-m', module, *args],
                stdout=subprocess.PIPE,
                stderr=stderr,
                text=True,
                cwd=ROOT,
                env={**os.environ, 'PYTHONUNBUFFERED': '1'},
                preexec_fn=lambda: _limit_descriptors(descriptors),
            )
        process = Process(popen=popen, log=log)
        self._started.append(process)
        return process


def _limit_descriptors(most: int | None) -> None:
    if most is not None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))


@contextmanager
def processes() -> Iterator[Processes]:
    """Give a starter of processes, and end all of them afterwards."""
    with ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        started = Processes(folder=pathlib.Path(folder))
        stack.callback(started.end_all)
        yield started
