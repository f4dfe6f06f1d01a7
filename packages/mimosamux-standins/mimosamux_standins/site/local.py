"""Three daemons on the stand-in platform, on loopback: `make platform`.

Starts the stand-in platform and the daemons as processes of their own, and
stops each of them by its id in the end.
"""

import pathlib
import sys
import tempfile

import anyio
import yaml

from mimosamux_standins.processes import (
    NotStarted,
    Program,
    Site,
    free_addresses,
)
from mimosamux_standins.program import wait_for_signal
from mimosamux_standins.site.host import ZONES

KEY = 'key-school'
PORTS_PER_DAEMON = 5
READY = 'event=ready'
"""What a daemon logs once it serves."""


def gateway_settings(
    name: str, zone: str, *, store: str, cloud: str, ports: list[str]
) -> dict[str, object]:
    """Return the settings of one daemon, as its YAML holds them."""
    entry, peers, discovery, readiness, metrics = ports
    return {
        'adapter': 'mimosamux_platform',
        'daemon': name,
        'data_centre': zone,
        'region': 'land',
        'listen': {
            'entry': entry,
            'peers': peers,
            'discovery': discovery,
            'readiness': readiness,
            'metrics': metrics,
        },
        'seeds': [],
        'platform': {'store': store, 'cloud': cloud, 'checks_fencing': True},
        'bounds': {
            'revocation_s': 5.0,
            'drain_s': 2.0,
            'stop_grace_s': 8.0,
            'lease_s': 3.0,
            'usage_window_s': 5.0,
            'usage_lateness_s': 10.0,
            'address_ttl_s': 5.0,
        },
        'retries': {'share': 0.2, 'window_s': 10.0, 'extra': 58.0},
        'caps': {'window_s': 8.0, 'overage': 0.1, 'tolerance': 140000},
    }


def serve(daemons: int = 3) -> None:
    """Start the platform and daemons until Ctrl-C."""
    with tempfile.TemporaryDirectory(prefix='mimosamux-') as folder:
        if not anyio.run(_serve, daemons, pathlib.Path(folder)):
            sys.exit(1)


async def _serve(count: int, folder: pathlib.Path) -> bool:
    """Return whether every program came up."""
    stopping = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(wait_for_signal, stopping.set)
        site = Site(folder=folder, tasks=tasks)
        try:
            print(await _start(site, count), flush=True)
            await stopping.wait()
            has_started = True
        except NotStarted as error:
            print(error, file=sys.stderr)
            has_started = False
        finally:
            with anyio.CancelScope(shield=True):
                await site.stop()
        tasks.cancel_scope.cancel()
    return has_started


async def _start(site: Site, count: int) -> str:
    """Start everything; return what to print."""
    platform = await site.start('platform', 'mimosamux_standins', 'site')
    _, store, cloud, _ = platform.line.split()
    settings = []
    for number in range(count):
        ports = free_addresses(PORTS_PER_DAEMON)
        name = f'edge-{number + 1}'
        fields = gateway_settings(
            name, ZONES[number % 3], store=store, cloud=cloud, ports=ports
        )
        path = site.folder / f'{name}.yaml'
        path.write_text(yaml.safe_dump(fields))
        await site.start(
            name,
            'mimosamux_daemon',
            'serve',
            '--settings',
            str(path),
            until=READY,
        )
        settings.append(fields)
    return _describe(site, settings)


def _describe(site: Site, settings: list[dict[str, object]]) -> str:
    listen = settings[0]['listen']
    assert isinstance(listen, dict)
    entry, discovery = listen['entry'], listen['discovery']
    return '\n'.join(
        [
            *(_row(program) for program in site.programs),
            f'logs and settings: {site.folder}',
            'Try:',
            f'  curl -N http://{entry}/question/1 -H "Host: site.example"'
            f' -H "X-Key: {KEY}" -H "X-Attempt-Id: try-1" -H "X-Model: m"'
            ' -H "X-Token-Usage: 1460,80" -d "what time does the bus leave"',
            f'  curl http://{entry}/slip/1 -H "Host: site.example"'
            f' -H "X-Key: {KEY}" -H "X-Attempt-Id: try-2" -d "consent slip"',
            f'  curl "http://{discovery}/api/resolution?name=site.example"',
            'Ctrl-C stops all of it.',
        ]
    )


def _row(program: Program) -> str:
    return f'{program.name:14} process {program.process.pid}'
