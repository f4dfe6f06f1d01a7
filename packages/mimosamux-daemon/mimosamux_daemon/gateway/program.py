"""Runs a daemon that passes requests on, as settings and signals ask."""

import importlib
import signal
import time
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from typing import Protocol

import anyio

from mimosamux_daemon.adapters.tcp_network import TcpNetwork
from mimosamux_daemon.context import Environment
from mimosamux_daemon.early_listeners import SocketsByAddress
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

log = get_log('program')

LOOK_S = 1.0
"""Time between two looks whether the settings file has changed: it may
change without a signal."""


class Adapter(Protocol):
    """What an adapter package offers."""

    def open_platform(
        self,
        settings: GatewaySettings,
        note_store_time: Callable[[float], float],
        network: Network,
        clock: Callable[[], float],
    ) -> AbstractAsyncContextManager[GatewayPlatform]:
        """Give the ports until the block ends."""


def find_adapter(settings: GatewaySettings) -> Adapter:
    """Return the adapter package that the settings name."""
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
    """Raise `InvalidInput` for a settings file that is wrong."""
    find_adapter(read_gateway_settings(path))


def serve(path: str, env: Environment, listening: SocketsByAddress) -> None:
    """Run a daemon until it is asked to stop."""
    configure_logs(env.stdout)
    anyio.run(
        run_gateway, path, listening, backend_options={'use_uvloop': True}
    )


async def run_gateway(path: str, listening: SocketsByAddress) -> None:
    """Run a daemon with a settings file until it is asked to stop."""
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
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_obey_signals, daemon, path)
            tasks.start_soon(_follow_settings, daemon, path)
            await daemon.run()
            tasks.cancel_scope.cancel()


async def _obey_signals(daemon: GatewayDaemon, path: str) -> None:
    with anyio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as signals:
        async for number in signals:
            if number is signal.SIGHUP:
                _reload(daemon, path)
            else:
                daemon.stop()


async def _follow_settings(daemon: GatewayDaemon, path: str) -> None:
    file = anyio.Path(path)
    seen = await file.read_text()
    while True:
        await anyio.sleep(LOOK_S)
        try:
            text = await file.read_text()
        except OSError as error:
            log.warning('settings_unreadable', path=path, problem=str(error))
            continue
        if text != seen:
            seen = text
            _reload(daemon, path)


def _reload(daemon: GatewayDaemon, path: str) -> None:
    try:
        daemon.reload(read_gateway_settings(path))
    except (InvalidInput, OSError) as error:
        # The last good settings stay: a daemon that serves must not end
        # over a file that is half written.
        log.error('settings_unreadable', path=path, problem=str(error))
