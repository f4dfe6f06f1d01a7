"""A small site for the scripts of the second review.

Store and cloud are the project's stand-ins, in this process. The daemons are
processes of their own, started with the command of the deploy file.
"""

import asyncio
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
import anyio.abc
import yaml
from mimosamux_daemon.adapters.http1_server import Http1Server
from mimosamux_daemon.adapters.tcp_network import TcpNetwork
from mimosamux_daemon.domain.routes import TrafficLimits
from mimosamux_standins.site import SiteDocument, StandInCloud, StandInStore

HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = '127.0.0.1'
ZONES = ('north', 'middle', 'south')
MEMORY_MB = 300
DESCRIPTORS = 4100
READY_S = 20.0
PORTS = 6
MAX_SEEDS = 3
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
"""Whether the script brings about the disruption."""


class CannotRunError(Exception):
    """Something that the script needs did not come up."""


def free_addresses(count: int) -> list[str]:
    """Return addresses on loopback that nobody listens on."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for each in sockets:
            each.bind((HOST, 0))
        return [f'{HOST}:{each.getsockname()[1]}' for each in sockets]
    finally:
        for each in sockets:
            each.close()


def split_address(address: str) -> tuple[str, int]:
    """Return host and port."""
    host, _, port = address.rpartition(':')
    return host, int(port)


@dataclass(kw_only=True)
class Daemon:
    """A daemon's process and where it listens."""

    name: str
    settings: dict
    process: subprocess.Popen

    @property
    def entry(self) -> tuple[str, int]:
        """Return host and port for clients."""
        return split_address(self.settings['listen']['entry'])

    @property
    def readiness(self) -> tuple[str, int]:
        """Return host and port of the readiness check."""
        return split_address(self.settings['listen']['readiness'])

    def processor_s(self) -> float:
        """Return the processor time that the process has used."""
        stat = pathlib.Path(f'/proc/{self.process.pid}/stat').read_text()
        fields = stat.rpartition(')')[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf('SC_CLK_TCK')

    def memory_mb(self) -> float:
        """Return the resident memory in MiB, 0 if the process has ended."""
        try:
            status = pathlib.Path(f'/proc/{self.process.pid}/status')
            for line in status.read_text().splitlines():
                if line.startswith('VmRSS:'):
                    return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0


@dataclass(kw_only=True)
class Record:
    """What was sent, answered and run, as lines of record.txt."""

    path: pathlib.Path
    began_at: float = field(default_factory=time.monotonic)
    lines: list[str] = field(default_factory=list)

    def add(self, text: str) -> None:
        """Add a line with the time since the script's begin."""
        self.lines.append(f'{time.monotonic() - self.began_at:8.3f} {text}')

    def write(self) -> None:
        """Write all lines."""
        self.path.write_text('\n'.join([*self.lines, '']))


@dataclass(kw_only=True)
class Site:
    """Store, cloud, daemons, and the configuration."""

    tasks: anyio.abc.TaskGroup
    folder: pathlib.Path
    record: Record
    document: SiteDocument = field(default_factory=SiteDocument)
    store: StandInStore = field(default_factory=StandInStore)
    cloud: StandInCloud = field(default_factory=StandInCloud)
    daemons: list[Daemon] = field(default_factory=list)
    store_address: str = ''
    cloud_address: str = ''

    async def start(self) -> None:
        """Start store and cloud, and write the configuration."""
        self.store_address = await self.serve(self.store.handle)
        self.cloud_address = await self.serve(self.cloud.handle)
        self.store.put('op', 'config', self.document.render())

    async def serve(self, handler: Callable[..., Awaitable[None]]) -> str:
        """Serve requests on a free port, and return its address."""
        server = Http1Server(handler=handler, limits=TrafficLimits)
        listener = await TcpNetwork().listen(f'{HOST}:0')
        self.tasks.start_soon(listener.serve, server.serve, self.tasks)
        return listener.address

    def list_replica(
        self, id_: str, service: str, address: str, **fields: object
    ) -> None:
        """Write the entry of a replica."""
        self.store.put(
            'servers',
            id_,
            {
                'service': service,
                'address': address,
                'zone': ZONES[0],
                'version': 'v1',
                'slots': 6,
                'state': 'ready',
                'sequence': 1,
                'coldRemainingMs': 0,
            }
            | fields,
        )

    async def start_daemons(self, count: int) -> None:
        """Start daemons, and wait until they are ready."""
        free = free_addresses(PORTS * count)
        all_ports = [
            free[first : first + PORTS] for first in range(0, len(free), PORTS)
        ]
        seeds = [ports[1] for ports in all_ports[:MAX_SEEDS]]
        for number, ports in enumerate(all_ports):
            self._start_daemon(number, ports, seeds)
        end = time.monotonic() + READY_S
        for daemon in self.daemons:
            while not await is_ready(daemon):
                if time.monotonic() > end:
                    raise CannotRunError(f'{daemon.name} is not ready')
                await anyio.sleep(0.1)

    def _start_daemon(
        self, number: int, ports: list[str], seeds: list[str]
    ) -> None:
        name = f'edge-{number + 1}'
        settings = self._settings(name, ZONES[number % 3], ports, seeds)
        path = self.folder / f'{name}.yaml'
        path.write_text(yaml.safe_dump(settings))
        self.daemons.append(
            Daemon(name=name, settings=settings, process=self._launch(name))
        )

    def restart(self, daemon: Daemon) -> None:
        """Start a daemon again that has ended."""
        daemon.process = self._launch(daemon.name)

    def _launch(self, name: str) -> subprocess.Popen:
        command = [sys.executable, '-S', '-m', 'mimosamux_daemon', 'serve']
        path = self.folder / f'{name}.yaml'
        with (self.folder / f'{name}.log').open('a') as log:
            return subprocess.Popen(
                [*command, '--settings', str(path)],
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def _settings(
        self, name: str, zone: str, ports: list[str], seeds: list[str]
    ) -> dict:
        """Return what deploy/settings.yaml gives on a small machine."""
        names = ('entry', 'peers', 'discovery', 'readiness', 'metrics')
        return {
            'adapter': 'mimosamux_platform',
            'daemon': name,
            'data_centre': zone,
            'region': 'land',
            'link_mbps': 1000.0,
            'memory_mb': MEMORY_MB,
            'descriptors': DESCRIPTORS,
            'listen': {
                **dict(zip(names, ports, strict=False)),
                'tunnels': ports[5],
            },
            'seeds': seeds,
            'first_start': True,
            'platform': {
                'store': self.store_address,
                'cloud': self.cloud_address,
                'checks_fencing': True,
            },
            'bounds': {
                'revocation_s': 5.0,
                'drain_s': 2.0,
                'stop_grace_s': 8,
                'lease_s': 3.0,
                'usage_window_s': 5,
                'usage_lateness_s': 10,
                'address_ttl_s': 5,
            },
            'retries': {'share': 0.2, 'window_s': 10, 'extra': 58},
            'caps': {'window_s': 8, 'overage': 0.1, 'tolerance': 140000},
        }

    def stop(self) -> None:
        """End the daemons that were started."""
        for daemon in self.daemons:
            daemon.process.kill()
            daemon.process.wait()


@dataclass(frozen=True, kw_only=True)
class Answer:
    """What a client has got; status 0: no whole answer."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer with a length or chunks."""
    try:
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        first, *lines = head.rstrip('\r\n').split('\r\n')
        pairs = [line.partition(':') for line in lines]
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        body = b''
        if 'content-length' in headers:
            body = await reader.readexactly(int(headers['content-length']))
        elif headers.get('transfer-encoding') == 'chunked':
            while size := int(await reader.readline(), 16):
                body += await reader.readexactly(size)
                await reader.readline()
            await reader.readline()
        return Answer(status=int(first.split()[1]), headers=headers, body=body)
    except (OSError, asyncio.IncompleteReadError, ValueError, IndexError):
        return Answer(status=0)


async def send_request(
    address: tuple[str, int], data: bytes, *, patience_s: float = 5.0
) -> Answer:
    """Send a request on a new channel, and return its answer."""
    try:
        async with asyncio.timeout(patience_s):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(data)
                return await read_answer(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return Answer(status=0)


async def is_ready(daemon: Daemon) -> bool:
    """Whether a daemon says that it is ready."""
    request = b'GET /api/readyz HTTP/1.1\r\nHost: platform\r\n\r\n'
    answer = await send_request(daemon.readiness, request)
    return answer.status == 200


def run_case(
    case: Callable[[Site], Awaitable[bool]], folder: pathlib.Path
) -> int:
    """Run a case that returns whether the rule held; return the exit code."""
    record = Record(path=folder / 'record.txt')

    async def run(temporary: pathlib.Path) -> bool:
        async with anyio.create_task_group() as tasks:
            site = Site(tasks=tasks, folder=temporary, record=record)
            try:
                return await case(site)
            finally:
                site.stop()
                tasks.cancel_scope.cancel()

    code = NOT_RUN
    with tempfile.TemporaryDirectory(prefix='review-') as temporary:
        try:
            held = anyio.run(run, pathlib.Path(temporary))
            code = HELD if held else BROKEN
        except Exception as error:
            record.add(f'could not run: {error!r}')
    record.add(f'trouble {int(TROUBLE)}, exit {code}')
    record.write()
    print(record.lines[-1])
    return code
