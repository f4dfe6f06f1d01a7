"""The program `mimosamuxd`."""

import pathlib
import signal
from collections.abc import Sequence

import anyio
import fire

from mimosamux_daemon.context import Environment
from mimosamux_daemon.control.configuration_models import parse_configuration
from mimosamux_daemon.daemon import Daemon, build_daemon
from mimosamux_daemon.errors import InvalidInput
from mimosamux_daemon.logs import configure_logs
from mimosamux_daemon.settings import Settings, parse_settings
from mimosamux_daemon.status import ExitStatus

DEMO_KEY = 'demo-key'


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
        parsed = read_settings(settings)
        configure_logs(self._env.stderr)
        anyio.run(
            _serve,
            parsed,
            self._env,
            backend_options={'use_uvloop': True},
        )

    def check(self, settings: str) -> None:
        """Check a settings file and say what is wrong with it."""
        read_settings(settings)
        print(f'{settings}: valid', file=self._env.stdout)


def find_command(env: Environment) -> str:
    """Return how to start `mimosamux`, as the line has to work as printed.

    The programs of a virtual environment are not on everybody's path.
    """
    beside = pathlib.Path(env.program).with_name('mimosamux')
    return str(beside) if beside.exists() else beside.name


def read_settings(path: str) -> Settings:
    """Return the settings of a file, its configuration checked as well.

    A wrong first configuration would be turned down only after the start,
    and the daemon would wait for another one, ready for nothing.
    """
    settings = parse_settings(pathlib.Path(path).read_text())
    if settings.configuration is not None:
        parse_configuration(settings.configuration, version=1)
    return settings


async def _serve(settings: Settings, env: Environment) -> None:
    daemon = build_daemon(settings)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_stop_on_signal, daemon)
        tasks.start_soon(_announce, daemon, env)
        await daemon.run()
        tasks.cancel_scope.cancel()


async def _stop_on_signal(daemon: Daemon) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            daemon.stop()


async def _announce(daemon: Daemon, env: Environment) -> None:
    await daemon.listening.wait()
    address = daemon.address
    print(f'listening http://{address}', file=env.stdout)
    if daemon.settings.embedded:
        body = (
            '{"model": "demo", "stream": true, "max_tokens": 20, "messages":'
            ' [{"role": "user", "content": "plan a trip"}]}'
        )
        print(
            f'Try:\n  curl -N http://{address}/v1/chat/completions'
            f" -H 'Authorization: Bearer {DEMO_KEY}'"
            f" -H 'X-Mimosamux-Class: draft' -d '{body}'\n"
            f'  MIMOSAMUX_ENTRY={address} MIMOSAMUX_KEY={DEMO_KEY}'
            f" {find_command(env)} request 'plan a trip'"
            ' --work-class draft --stream',
            file=env.stdout,
        )
    env.stdout.flush()
    await daemon.started.wait()
    print('ready', file=env.stdout, flush=True)
