"""Runs a gateway daemon from a settings file, and handles its signals.

SIGTERM and SIGINT stop the daemon; SIGHUP reloads the settings.
"""

import gc
import importlib
import pathlib
import signal
import time
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from typing import Protocol

import anyio

from mimosamux_daemon.adapters.tcp_network import TcpNetwork
from mimosamux_daemon.context import Environment
from mimosamux_daemon.early_listeners import SocketsByAddress
from mimosamux_daemon.early_signals import PendingSignals
from mimosamux_daemon.errors import InvalidInput, InvalidSettings
from mimosamux_daemon.gateway.clock import steady_time
from mimosamux_daemon.gateway.daemon import GatewayDaemon
from mimosamux_daemon.gateway.settings import (
    GatewaySettings,
    read_gateway_settings,
)
from mimosamux_daemon.gateway.shared_time import SharedTime
from mimosamux_daemon.logs import configure_logs, get_log
from mimosamux_daemon.ports.gateway_platform import GatewayPlatform
from mimosamux_daemon.ports.network import Network
from mimosamux_daemon.signal_receiver import receive_signals

log = get_log('program')

SETTINGS_POLL_S = 1.0
"""Interval of checks for a changed settings file, as it may change without a
signal."""


class Adapter(Protocol):
    """Interface of an adapter package, which connects to one platform."""

    def open_platform(
        self,
        settings: GatewaySettings,
        note_store_time: Callable[[float], float],
        network: Network,
        clock: Callable[[], float],
    ) -> AbstractAsyncContextManager[GatewayPlatform]:
        """Provide the platform's ports until the context exits."""


def find_adapter(settings: GatewaySettings) -> Adapter:
    """Import the adapter package that the settings name."""
    try:
        module = importlib.import_module(settings.adapter)
    except ImportError as error:
        raise InvalidSettings(path='adapter', problem=str(error)) from error
    if not hasattr(module, 'open_platform'):
        raise InvalidSettings(
            path='adapter', problem=f'{settings.adapter} is no adapter'
        )
    adapter: Adapter = module
    return adapter


def check(path: str) -> None:
    """Raise `InvalidInput` if a settings file is invalid."""
    find_adapter(read_gateway_settings(path))


def serve(
    path: str,
    env: Environment,
    listening: SocketsByAddress,
    signals: PendingSignals,
) -> None:
    """Run a daemon in a new event loop until a signal stops it."""
    configure_logs(env.stdout)
    anyio.run(
        run_gateway,
        path,
        listening,
        signals,
        backend_options={'use_uvloop': True},
    )
    # The end of the process frees all of it: a last collection takes a tenth
    # of a second of the grace period, and longer on a busy VM.
    gc.freeze()


async def run_gateway(
    path: str, listening: SocketsByAddress, signals: PendingSignals
) -> None:
    """Run a daemon with a settings file until a signal stops it."""
    log.info('starting', settings=path, listening=len(listening))
    settings = read_gateway_settings(path)
    shared_time = SharedTime(clock=steady_time, wall_clock=time.time)
    adapter = find_adapter(settings)
    network = TcpNetwork(opened=listening)
    async with adapter.open_platform(
        settings, shared_time.note_store_time, network, steady_time
    ) as platform:
        daemon = GatewayDaemon(
            settings=settings,
            platform=platform,
            shared_time=shared_time,
            network=network,
        )
        # One timer serves both: a thread would wake up as often again.
        daemon.parts.lag.on_tick.append(signals.watch.note_running)
        signals.watch.end_run()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_handle_signals, daemon, path, signals)
            tasks.start_soon(_watch_settings, daemon, path)
            await daemon.run()
            tasks.cancel_scope.cancel()


async def _handle_signals(
    daemon: GatewayDaemon, path: str, signals: PendingSignals
) -> None:
    async for received in receive_signals(signals):
        log.info(
            'signal_received',
            signal=received.number.name,
            age_s=round(received.age_s(), 3),
        )
        if received.number is signal.SIGHUP:
            _reload(daemon, path)
        else:
            daemon.stop(signalled_s_ago=received.age_s())


async def _watch_settings(daemon: GatewayDaemon, path: str) -> None:
    last_text = _read_text(path)
    while True:
        await anyio.sleep(SETTINGS_POLL_S)
        try:
            text = _read_text(path)
        except OSError as error:
            log.warning('settings_unreadable', path=path, problem=str(error))
            continue
        if text != last_text:
            last_text = text
            _reload(daemon, path)


def _read_text(path: str) -> str:
    """Read a small file in the event loop's thread.

    A worker thread for each read costs more processor time than the read.
    """
    return pathlib.Path(path).read_text()


def _reload(daemon: GatewayDaemon, path: str) -> None:
    try:
        daemon.reload(read_gateway_settings(path))
    except (InvalidInput, OSError) as error:
        # The last valid settings stay in force: a file that is half written
        # must not end a running daemon.
        log.error('settings_unreadable', path=path, problem=str(error))
