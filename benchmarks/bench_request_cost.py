"""Processor time that a daemon spends on a request, and when it is idle.

One daemon runs as a process of its own in front of the stand-in site.
"""

import contextlib
import json
import pathlib
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from dataclasses import dataclass

import anyio
from mimosamux_daemon.adapters.tcp_network import TcpNetwork
from mimosamux_standins.processes import free_addresses
from mimosamux_standins.site import StandInCaller
from mimosamux_standins.site.local import (
    KEY,
    PORTS_PER_DAEMON,
    READY,
    gateway_settings,
)

from benchmarks.processes import Program
from benchmarks.report import Table

ENGINES = 45
APPS = 3
CONCURRENT_REQUESTS = 8
WARM_UP_REQUESTS = 20
SETTLE_S = 2.0
IDLE_S = 10.0
PREFIXES = 40
"""Number of different prompts that share their first part."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestKind:
    """Requests of one kind, and the number that is measured."""

    name: str
    path: str
    count: int
    body_bytes: int
    events: int = 0
    """Events of the response, 0: a plain call."""
    tokens: int = 0
    part_tokens: tuple[int, int, int] = (0, 0, 0)

    def headers(self, number: int) -> tuple[tuple[bytes, bytes], ...]:
        """Return the headers of one request."""
        if not self.events:
            return ()
        shared, prefix, own = self.part_tokens
        parts = (
            f'aa00:{shared},bb{number % PREFIXES:04x}:{prefix},'
            f'cc{number:06x}:{own}'
        )
        return (
            (b'X-Model', b'm'),
            (b'X-Token-Usage', b'%d,385' % self.tokens),
            (b'X-Prompt-Prefix', parts.encode()),
        )


KINDS = (
    RequestKind(
        name='stream of 55 events',
        path='/draft/',
        count=400,
        body_bytes=12000,
        events=55,
        tokens=6610,
        part_tokens=(512, 4870, 1200),
    ),
    RequestKind(
        name='stream of 3 events',
        path='/question/',
        count=1000,
        body_bytes=2400,
        events=3,
        tokens=1800,
        part_tokens=(341, 227, 1200),
    ),
    RequestKind(name='plain call', path='/slip/', count=1000, body_bytes=600),
)


def run() -> list[Table]:
    """Measure each kind of request, and the idle daemon."""
    rows: list[tuple[str | float, ...]] = []
    for kind in KINDS:
        with _site(kind) as (daemon, entry):
            took_s, served = anyio.run(_measure, kind, daemon, entry)
        rows.append((kind.name, took_s / kind.count * 1000, served))
    with _site(KINDS[0]) as (daemon, _):
        start_s = daemon.cpu_s
        time.sleep(SETTLE_S)
        before = daemon.cpu_s
        time.sleep(IDLE_S)
        idle = (daemon.cpu_s - before) / IDLE_S * 1000
    rows.append(('second of an idle daemon', idle, 0))
    rows.append(('start of a daemon', start_s * 1000, 0))
    return [
        Table(
            title=f'Processor time of one daemon, {ENGINES} engines',
            columns=('per', 'ms', 'served'),
            rows=tuple(rows),
        )
    ]


async def _measure(
    kind: RequestKind, daemon: Program, entry: str
) -> tuple[float, int]:
    """Return the processor time in s of all requests, and those served."""
    caller = StandInCaller(network=TcpNetwork(), key=KEY, patience_s=15.0)
    limiter = anyio.CapacityLimiter(CONCURRENT_REQUESTS)

    async def send(number: int) -> None:
        async with limiter:
            await caller.send(
                entry,
                f'{kind.path}{number}',
                body=b'x' * kind.body_bytes,
                headers=kind.headers(number),
            )

    async def send_all(first: int, count: int) -> None:
        async with anyio.create_task_group() as tasks:
            for number in range(first, first + count):
                tasks.start_soon(send, number)

    await send_all(0, WARM_UP_REQUESTS)
    caller.answers.clear()
    before = daemon.cpu_s
    await send_all(WARM_UP_REQUESTS, kind.count)
    took_s = daemon.cpu_s - before
    return took_s, sum(answer.status == 200 for answer in caller.answers)


@contextlib.contextmanager
def _site(kind: RequestKind) -> Iterator[tuple[Program, str]]:
    """Run the stand-in site and a daemon; yields it and its entry."""
    with contextlib.ExitStack() as stack:
        folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        site = stack.enter_context(
            _program(
                ['mimosamux_standins', 'site', '--engines', str(ENGINES)]
                + ['--apps', str(APPS), '--events', str(max(kind.events, 1))]
                + ['--event_s', '0.005', '--work_s', '0.01']
                + ['--token_s', '1e-6']
            )
        )
        assert site.stdout is not None
        _, store, cloud, _ = site.stdout.readline().split()
        ports = free_addresses(PORTS_PER_DAEMON)
        settings = folder / 'daemon.yaml'
        # JSON is a part of YAML.
        settings.write_text(
            json.dumps(
                gateway_settings(
                    'edge-1', 'north', store=store, cloud=cloud, ports=ports
                )
            )
        )
        daemon = stack.enter_context(
            _program(
                ['mimosamux_daemon', 'serve', '--settings', str(settings)],
                log=folder / 'daemon.log',
            )
        )
        _wait_until_ready(folder / 'daemon.log')
        yield Program(pid=daemon.pid, address=ports[0]), ports[0]


@contextlib.contextmanager
def _program(
    args: list[str], *, log: pathlib.Path | None = None
) -> Iterator[subprocess.Popen[str]]:
    """Run a module as a process, which is ended by its id."""
    with contextlib.ExitStack() as stack:
        output = (
            subprocess.PIPE
            if log is None
            else stack.enter_context(log.open('w'))
        )
        process = subprocess.Popen(
            [sys.executable, '-m', *args], stdout=output, text=True
        )
        try:
            yield process
        finally:
            process.kill()
            process.wait()


def _wait_until_ready(log: pathlib.Path, timeout_s: float = 20.0) -> None:
    deadline = time.monotonic() + timeout_s
    while READY not in log.read_text():
        if time.monotonic() > deadline:
            raise TimeoutError(log.read_text())
        time.sleep(0.05)
