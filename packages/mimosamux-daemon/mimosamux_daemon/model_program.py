"""Program of a daemon that serves models under its own caller API.

`core` calls `check` and `serve`.
"""

import pathlib
import signal

import anyio

from mimosamux_daemon.context import Environment
from mimosamux_daemon.control.configuration_models import parse_configuration
from mimosamux_daemon.daemon import Daemon, build_daemon
from mimosamux_daemon.early_listeners import SocketsByAddress
from mimosamux_daemon.early_signals import PendingSignals
from mimosamux_daemon.logs import configure_logs, get_log
from mimosamux_daemon.settings import Settings, parse_settings
from mimosamux_daemon.signal_receiver import receive_signals

log = get_log('program')

DEMO_KEY = 'demo-key'
"""API key in the example commands of an embedded daemon."""


def check(path: str) -> None:
    """Raise `InvalidInput` if the settings file is invalid."""
    read_settings(path)


def serve(
    path: str,
    env: Environment,
    listening: SocketsByAddress,
    signals: PendingSignals,
) -> None:
    """Run a daemon until SIGTERM or Ctrl-C.

    `listening` is empty: only gateways have early listeners.
    """
    assert not listening
    settings = read_settings(path)
    configure_logs(env.stderr)
    anyio.run(
        _serve, settings, env, signals, backend_options={'use_uvloop': True}
    )


def find_command(env: Environment) -> str:
    """Return a command that starts `mimosamux`, for a printed example.

    The example has to work when copied, but the programs of a virtual
    environment may not be on the reader's PATH. So the command is a
    path if `mimosamux` is in the same directory as this program.
    """
    sibling = pathlib.Path(env.program).with_name('mimosamux')
    return str(sibling) if sibling.exists() else sibling.name


def read_settings(path: str) -> Settings:
    """Return the settings of a file and validate its configuration.

    An invalid initial configuration would otherwise be rejected only after
    the start, and the daemon would wait for another one without being ready.
    """
    settings = parse_settings(pathlib.Path(path).read_text())
    if settings.configuration is not None:
        parse_configuration(settings.configuration, version=1)
    return settings


async def _serve(
    settings: Settings, env: Environment, signals: PendingSignals
) -> None:
    daemon = build_daemon(settings)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_handle_signals, daemon, signals)
        tasks.start_soon(_announce, daemon, env)
        await daemon.run()
        tasks.cancel_scope.cancel()


async def _handle_signals(daemon: Daemon, signals: PendingSignals) -> None:
    async for received in receive_signals(signals):
        log.info(
            'signal_received',
            signal=received.number.name,
            age_s=round(received.age_s(), 3),
        )
        if received.number is not signal.SIGHUP:
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
