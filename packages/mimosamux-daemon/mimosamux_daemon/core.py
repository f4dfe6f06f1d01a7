"""The program `mimosamuxd`."""

import importlib
import pathlib
from collections.abc import Sequence
from typing import Protocol

import fire
import yaml

from mimosamux_daemon.context import Environment
from mimosamux_daemon.early_listeners import SocketsByAddress, open_early
from mimosamux_daemon.errors import InvalidInput
from mimosamux_daemon.status import ExitStatus

MODELS = 'mimosamux_daemon.model_program'
GATEWAY = 'mimosamux_daemon.gateway.program'
GATEWAY_FIELD = 'adapter'
"""Field that only the settings of a gateway have."""
EARLY = ('entry', 'discovery', 'readiness', 'peers')
"""Addresses of a gateway that others may connect to at any time."""


class Face(Protocol):
    """One of the two kinds of daemon that the program can run as."""

    def check(self, path: str) -> None:
        """Raise `InvalidInput` for a settings file that is wrong."""

    def serve(
        self, path: str, env: Environment, listening: SocketsByAddress
    ) -> None:
        """Run a daemon until it is stopped.

        `listening` are sockets that may be open for its addresses.
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
        fields = read_fields(settings)
        listening = open_early(find_early_addresses(fields))
        find_face(fields).serve(settings, self._env, listening)

    def check(self, settings: str) -> None:
        """Check a settings file and say what is wrong with it."""
        find_face(read_fields(settings)).check(settings)
        print(f'{settings}: valid', file=self._env.stdout)


def read_fields(path: str) -> dict[str, object]:
    """Return the fields of a settings file, none where it is unreadable.

    What is wrong with it is said where it is checked.
    """
    try:
        fields = yaml.safe_load(pathlib.Path(path).read_text())
    except yaml.YAMLError:
        return {}
    return fields if isinstance(fields, dict) else {}


def find_early_addresses(fields: dict[str, object]) -> list[object]:
    """Return where a gateway with these settings will listen."""
    listen = fields.get('listen')
    if GATEWAY_FIELD not in fields or not isinstance(listen, dict):
        return []
    return [listen.get(name) for name in EARLY]


def find_face(fields: dict[str, object]) -> Face:
    """Return the kind of daemon that settings are for.

    Only its modules are loaded: those of the other kind, with their
    libraries, would cost 25 MB of a small VM and delay each start.
    """
    is_gateway = GATEWAY_FIELD in fields
    face: Face = importlib.import_module(GATEWAY if is_gateway else MODELS)
    return face
