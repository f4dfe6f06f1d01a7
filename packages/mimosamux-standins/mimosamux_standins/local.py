"""A whole small site on loopback, for development: `make local`.

Starts a stand-in platform, engines, services and daemons as processes of
their own, and stops each of them by its id in the end.
"""

import pathlib
import sys
import tempfile
from collections.abc import Iterable, Sequence
from functools import partial

import anyio
import httpx
import pydantic
import yaml
from mimosamux_daemon.domain.names import (
    DataCentreName,
    ModelName,
    ServiceName,
    VMId,
)
from mimosamux_daemon.domain.vms import VM, Market, Price, VMRole, VMState

from mimosamux_standins.platform import PlatformFile
from mimosamux_standins.processes import (
    HOST,
    NotStarted,
    Program,
    Site,
    free_addresses,
)
from mimosamux_standins.program import wait_for_signal

DEFAULT_FILE = 'examples/local.yaml'
STOP_GRACE_S = 3.0
DEMO_KEY = 'demo-key'
OPERATOR_TOKEN = 'operator-demo'


class _Strict(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid')


class DaemonItem(_Strict):
    """A daemon to start."""

    id: str
    data_centre: str


class EngineItem(_Strict):
    """An engine to start."""

    id: str
    data_centre: str
    model: str


class ServiceItem(_Strict):
    """A plain service to start."""

    id: str
    data_centre: str
    service: str


class LocalFile(_Strict):
    """What to start, read from YAML."""

    daemons: tuple[DaemonItem, ...]
    engines: tuple[EngineItem, ...] = ()
    services: tuple[ServiceItem, ...] = ()
    prices: tuple[Price, ...] = ()
    peer_secret: str = ''
    operator_tokens: dict[str, str] = {}
    configuration: dict[str, object]


def serve(file: str = DEFAULT_FILE) -> None:
    """Start the site that a YAML file describes, until Ctrl-C."""
    content = LocalFile.model_validate(
        yaml.safe_load(pathlib.Path(file).read_text())
    )
    with tempfile.TemporaryDirectory(prefix='mimosamux-') as folder:
        if not anyio.run(partial(_serve, content, pathlib.Path(folder))):
            sys.exit(1)


async def _serve(content: LocalFile, folder: pathlib.Path) -> bool:
    """Return whether every program came up."""
    stopping = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(wait_for_signal, stopping.set)
        site = Site(folder=folder, tasks=tasks)
        try:
            daemons = await start_site(site, content)
            print(describe(site, daemons), flush=True)
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


async def start_site(site: Site, content: LocalFile) -> list[Program]:
    """Start everything; return the daemons."""
    vms = [await _start_engine(site, item) for item in content.engines]
    vms += [await _start_service(site, item) for item in content.services]
    shown = PlatformFile(vms=tuple(vms), prices=content.prices)
    path = site.folder / 'platform.yaml'
    path.write_text(yaml.safe_dump(shown.model_dump(mode='json')))
    platform = await site.start(
        'platform', 'mimosamux_standins', 'platform', '--file', str(path)
    )
    peers = dict(
        zip(
            (item.id for item in content.daemons),
            free_addresses(len(content.daemons)),
            strict=True,
        )
    )
    daemons = []
    for item in content.daemons:
        path = site.folder / f'{item.id}.yaml'
        settings = local_settings(item, content, platform.address, peers)
        path.write_text(yaml.safe_dump(settings))
        daemon = await site.start(
            item.id, 'mimosamux_daemon', 'serve', '--settings', str(path)
        )
        await _list_vm(platform, _entry_vm(item, daemon.address))
        daemons.append(daemon)
    return daemons


async def _start_engine(site: Site, item: EngineItem) -> VM:
    program = await site.start(
        item.id,
        'mimosamux_standins',
        'engine',
        '--identity',
        item.id,
        '--model',
        item.model,
        '--data_centre',
        item.data_centre,
    )
    return _endpoint_vm(item, program.address, model=ModelName(item.model))


async def _start_service(site: Site, item: ServiceItem) -> VM:
    program = await site.start(item.id, 'mimosamux_standins', 'service')
    return _endpoint_vm(
        item, program.address, service=ServiceName(item.service)
    )


def _endpoint_vm(
    item: EngineItem | ServiceItem,
    address: str,
    *,
    model: ModelName | None = None,
    service: ServiceName | None = None,
) -> VM:
    return VM(
        id=VMId(item.id),
        data_centre=DataCentreName(item.data_centre),
        machine_class='standard',
        market=Market.RECLAIMABLE,
        role=VMRole.ENDPOINT,
        state=VMState.LIVE,
        address=address,
        model=model,
        service=service,
    )


def _entry_vm(item: DaemonItem, address: str) -> VM:
    return VM(
        id=VMId(item.id),
        data_centre=DataCentreName(item.data_centre),
        machine_class='standard',
        market=Market.ON_DEMAND,
        role=VMRole.ENTRY,
        state=VMState.LIVE,
        address=address,
    )


async def _list_vm(platform: Program, vm: VM) -> None:
    body = pydantic.TypeAdapter(VM).dump_python(vm, mode='json')
    async with httpx.AsyncClient(trust_env=False) as client:
        await client.post(
            f'http://{platform.address}/control/vms', json={'vm': body}
        )


def local_settings(
    item: DaemonItem,
    content: LocalFile,
    platform_address: str,
    peers: dict[str, str],
) -> dict[str, object]:
    """Return the settings file of one daemon."""
    return {
        'daemon': item.id,
        'data_centre': item.data_centre,
        'host': HOST,
        'port': 0,
        'peer_port': int(peers[item.id].rpartition(':')[2]),
        'peers': [
            {'id': name, 'address': address}
            for name, address in peers.items()
            if name != item.id
        ],
        'peer_secret': content.peer_secret,
        'operator_tokens': content.operator_tokens,
        'platform_url': f'http://{platform_address}',
        'stop_grace_s': STOP_GRACE_S,
        'configuration': content.configuration,
    }


def describe(site: Site, daemons: Sequence[Program]) -> str:
    """Return the addresses, and commands that work as printed."""
    address = daemons[0].address
    body = (
        '{"model": "demo", "stream": true, "max_tokens": 20, "messages":'
        ' [{"role": "user", "content": "plan a trip"}]}'
    )
    lines = [
        *_rows(site.programs),
        f'logs and settings: {site.folder}',
        'Try:',
        f'  curl -N http://{address}/v1/chat/completions'
        f" -H 'Authorization: Bearer {DEMO_KEY}'"
        f" -H 'X-Mimosamux-Class: draft' -d '{body}'",
        f'  curl http://{address}/v1/services/mail/slips'
        f" -H 'Authorization: Bearer {DEMO_KEY}'"
        " -H 'Idempotency-Key: slip-1' -d 'consent slip'",
        f'operator token: {OPERATOR_TOKEN}',
        'Ctrl-C stops all of it.',
    ]
    return '\n'.join(lines)


def _rows(programs: Iterable[Program]) -> list[str]:
    return [
        f'{program.name:14} {program.address:22} process {program.process.pid}'
        for program in programs
    ]
