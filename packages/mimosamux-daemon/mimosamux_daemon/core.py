"""Command line of `mimosamuxd`.

The fields of the settings file select one of two kinds of daemon: one that
serves models under its own caller API, or a gateway.
"""

import importlib
import pathlib
from collections.abc import Sequence
from typing import Protocol

import fire
import yaml

from mimosamux_daemon.context import Environment
from mimosamux_daemon.early_listeners import (
    SocketsByAddress,
    open_early_listeners,
)
from mimosamux_daemon.early_signals import PendingSignals, record_signals
from mimosamux_daemon.errors import InvalidInput
from mimosamux_daemon.status import ExitStatus

MODEL_PROGRAM = 'mimosamux_daemon.model_program'
GATEWAY_PROGRAM = 'mimosamux_daemon.gateway.program'
GATEWAY_FIELD = 'adapter'
"""Top-level field that only the settings of a gateway have."""
EARLY_LISTEN_FIELDS = ('entry', 'discovery', 'readiness', 'peers')
"""Fields under `listen` of a gateway: its early listeners' addresses."""


class DaemonProgram(Protocol):
    """Module of one of the two kinds of daemon."""

    def check(self, path: str) -> None:
        """Raise `InvalidInput` if the settings file is invalid."""

    def serve(
        self,
        path: str,
        env: Environment,
        listening: SocketsByAddress,
        signals: PendingSignals,
    ) -> None:
        """Run a daemon until it is stopped.

        `listening` holds the listening sockets that are already open for
        its addresses, `signals` those that the process has received.
        """


def main(args: Sequence[str], env: Environment) -> ExitStatus:
    """Run the program and return its exit status."""
    program = Program(env=env)
    try:
        fire.Fire(program, command=list(args), name='mimosamuxd')
    except InvalidInput as error:
        print(f'mimosamuxd: {error}', file=env.stderr)
        return ExitStatus.INVALID_INPUT
    except OSError as error:
        print(f'mimosamuxd: {error}', file=env.stderr)
        return ExitStatus.ERROR
    except fire.core.FireExit as error:
        return ExitStatus.USAGE if error.code else ExitStatus.SUCCESS
    return program.status


class Program:
    """Commands of `mimosamuxd`."""

    def __init__(self, *, env: Environment) -> None:
        self._env = env
        self.status = ExitStatus.SUCCESS

    def serve(self, settings: str) -> None:
        """Run a daemon with the settings file until SIGTERM or Ctrl-C."""
        with record_signals() as signals:
            fields = read_fields(settings)
            listening = open_early_listeners(find_early_addresses(fields))
            program = load_program(fields)
            program.serve(settings, self._env, listening, signals)

    def check(self, settings: str) -> None:
        """Check a settings file and say what is wrong with it."""
        load_program(read_fields(settings)).check(settings)
        print(f'{settings}: valid', file=self._env.stdout)


def read_fields(path: str) -> dict[str, object]:
    """Return the fields of a settings file; none if it is malformed.

    The later check of the settings reports what is wrong with the file.
    """
    try:
        fields = yaml.safe_load(pathlib.Path(path).read_text())
    except yaml.YAMLError:
        return {}
    return fields if isinstance(fields, dict) else {}


def find_early_addresses(fields: dict[str, object]) -> list[object]:
    """Return the addresses that a gateway listens on before it is loaded.

    The values are unchecked. Settings of another daemon give none.
    """
    listen = fields.get('listen')
    if GATEWAY_FIELD not in fields or not isinstance(listen, dict):
        return []
    return [listen.get(name) for name in EARLY_LISTEN_FIELDS]


def load_program(fields: dict[str, object]) -> DaemonProgram:
    """Import and return the module of the daemon that the settings are for.

    The modules of the other kind, with their libraries, are not loaded: they
    would cost 25 MB of memory on a small VM and delay each start.
    """
    is_gateway = GATEWAY_FIELD in fields
    program: DaemonProgram = importlib.import_module(
        GATEWAY_PROGRAM if is_gateway else MODEL_PROGRAM
    )
    return program
