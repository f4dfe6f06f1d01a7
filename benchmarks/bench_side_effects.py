"""What calls that may not be repeated, and the journal, cost the table."""

import io
import itertools
import statistics
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable

import anyio
from mimosamux_daemon.adapters.http_object_store import HttpObjectStore
from mimosamux_daemon.adapters.http_platform import PlatformClient
from mimosamux_daemon.adapters.http_service import HttpServices
from mimosamux_daemon.adapters.http_table import HttpTable
from mimosamux_daemon.adapters.memory_object_store import MemoryObjectStore
from mimosamux_daemon.adapters.memory_service import MemoryServices
from mimosamux_daemon.adapters.memory_table import MemoryTable
from mimosamux_daemon.control.store_guard import StoreGuard
from mimosamux_daemon.domain.names import (
    AccountId,
    ClassName,
    DaemonId,
    DataCentreName,
    EndpointId,
    ModelName,
    RequestId,
    ServiceName,
    VMId,
)
from mimosamux_daemon.domain.outcomes import Answered, Outcome
from mimosamux_daemon.domain.vms import Endpoint
from mimosamux_daemon.domain.work import (
    ModelRequest,
    ServiceCall,
    WorkClass,
)
from mimosamux_daemon.logs import configure_logs
from mimosamux_daemon.metrics import Metrics
from mimosamux_daemon.ports.models.object_store import ObjectStore
from mimosamux_daemon.ports.models.service import Services
from mimosamux_daemon.ports.table import Table as TablePort
from mimosamux_daemon.serving.journal import Journal
from mimosamux_daemon.serving.side_effects import SideEffects

from benchmarks.report import Table
from tests.support.clock import run_paused

CALLS = 1000
HTTP_CALLS = 480
HTTP_CALLERS = 16
RESULT_BYTES = 200
JOURNAL_S = 60.0
STORE_DELAY_S = 0.005
"""Time that the store takes for a commit in the journal's runs."""
SLIPS = WorkClass(name=ClassName('slips'), first_token_s=1.0, repeatable=False)
DRAFTS = WorkClass(name=ClassName('drafts'), first_token_s=5.0, durable=True)

Call = Callable[[ServiceCall], Awaitable[Outcome]]


class _NobodyIsDead:
    def is_dead(self, daemon: DaemonId, incarnation: int) -> bool:
        return False


def run() -> list[Table]:
    """Measure calls in memory and over HTTP, and the journal."""
    configure_logs(io.StringIO())
    return [
        anyio.run(_measure_rows, backend_options={'use_uvloop': True}),
        anyio.run(_measure_http, backend_options={'use_uvloop': True}),
        _measure_journal(),
    ]


def _a_call(number: int) -> ServiceCall:
    return ServiceCall(
        id=RequestId(f'r{number}'),
        account=AccountId('a'),
        work_class=SLIPS,
        service=ServiceName('s'),
        method='POST',
        path='/slips',
        headers=(),
        body=b'x' * RESULT_BYTES,
        arrived=anyio.current_time(),
        idempotency_key=f'k{number}',
    )


def _build(
    table: TablePort, objects: ObjectStore, services: Services, address: str
) -> SideEffects:
    endpoint = Endpoint(
        id=EndpointId('s1'),
        vm=VMId('s1'),
        address=address,
        data_centre=DataCentreName('d'),
    )
    guard = StoreGuard(metrics=Metrics())
    return SideEffects(
        table=guard.table(table, mechanism='side_effects'),
        objects=guard.objects(objects),
        services=services,
        choose=lambda service, excluding: endpoint,
        liveness=_NobodyIsDead(),
        daemon=DaemonId('d1'),
        incarnation=1,
        wall_clock=time.time,
    )


async def _measure_rows() -> Table:
    table = MemoryTable()
    effects = _build(table, MemoryObjectStore(), MemoryServices(), '')
    rows: list[tuple[str | float, ...]] = []
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(effects.run)
        await anyio.wait_all_tasks_blocked()
        for kind in ('first call of a key', 'same key again'):
            before = (table.rows_written, table.commits, table.rows_read)
            started = time.process_time()
            for number in range(CALLS):
                outcome = await effects.call(_a_call(number))
                assert isinstance(outcome, Answered), outcome
            spent = time.process_time() - started
            after = (table.rows_written, table.commits, table.rows_read)
            rows.append(
                (
                    kind,
                    *(
                        (now - then) / CALLS
                        for now, then in zip(after, before, strict=True)
                    ),
                    1e6 * spent / CALLS,
                )
            )
        tasks.cancel_scope.cancel()
    return Table(
        title='Calls that may not be repeated: table work of one call',
        columns=('call', 'rows written', 'commits', 'rows read', 'CPU µs'),
        rows=tuple(rows),
        note=(
            'Side effects a second per row written a second: '
            f'{1 / float(rows[0][1]):.2f}; the cleaner deletes each row'
            ' once, 100 in a commit.'
        ),
    )


async def _measure_http() -> Table:
    programs = [_start(name) for name in ('platform', 'service')]
    try:
        platform, service = [address for _, address in programs]
        client = PlatformClient(base_url=f'http://{platform}')
        services = HttpServices()
        effects = _build(
            HttpTable(client=client),
            HttpObjectStore(client=client),
            services,
            service,
        )
        rows = await _compare(effects, services, service)
        await client.close()
        await services.close()
    finally:
        for process, _ in programs:
            process.terminate()
            process.wait()
    return Table(
        title=f'Calls over HTTP, {HTTP_CALLERS} callers, stand-ins beside',
        columns=('path', 'calls/s', 'p50 ms', 'p99 ms', 'CPU ms a call'),
        rows=tuple(rows),
        note='The stand-in platform is one process and its own limit.',
    )


async def _compare(
    effects: SideEffects, services: HttpServices, address: str
) -> list[tuple[str | float, ...]]:
    endpoint = Endpoint(
        id=EndpointId('s1'),
        vm=VMId('s1'),
        address=address,
        data_centre=DataCentreName('d'),
    )
    rows: list[tuple[str | float, ...]] = []
    numbers = itertools.count()

    async def direct(number: int) -> None:
        await services.call(endpoint, _a_call(number))

    async def guarded(number: int) -> None:
        outcome = await effects.call(_a_call(number))
        assert isinstance(outcome, Answered), outcome

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(effects.run)
        await anyio.wait_all_tasks_blocked()
        for name, call in (('direct', direct), ('at most once', guarded)):
            rows.append((name, *await _drive(call, numbers)))
        tasks.cancel_scope.cancel()
    return rows


async def _drive(
    call: Callable[[int], Awaitable[None]], numbers: 'itertools.count[int]'
) -> tuple[float, ...]:
    times: list[float] = []

    async def caller() -> None:
        for _ in range(HTTP_CALLS // HTTP_CALLERS):
            started = time.perf_counter()
            await call(next(numbers))
            times.append(time.perf_counter() - started)

    started, cpu = time.perf_counter(), time.process_time()
    async with anyio.create_task_group() as tasks:
        for _ in range(HTTP_CALLERS):
            tasks.start_soon(caller)
    spent, cpu = time.perf_counter() - started, time.process_time() - cpu
    cuts = statistics.quantiles(times, n=100)
    return (
        len(times) / spent,
        1e3 * cuts[49],
        1e3 * cuts[98],
        1e3 * cpu / len(times),
    )


def _start(name: str) -> tuple['subprocess.Popen[str]', str]:
    process = subprocess.Popen(
        [sys.executable, '-m', 'mimosamux_standins', name],
        stdout=subprocess.PIPE,
        text=True,
    )
    assert process.stdout is not None
    return process, process.stdout.readline().split()[1]


def _measure_journal() -> Table:
    cases = [(9, 2.0), (9, 20.0), (9, 200.0), (340, 6.0), (340, 20.0)]
    return Table(
        title='Journal: durable requests at one daemon, paused clock',
        columns=(
            'daemons',
            'requests/s here',
            'requests a commit',
            'rows a request',
            'wait p50 ms',
            'wait p99 ms',
            'fleet commits/s',
            'fleet rows/s',
        ),
        rows=tuple(run_paused(_drive_journal, *case) for case in cases),
        note=(
            f'{JOURNAL_S:.0f} s each, every request ends after 12 s, the'
            f' store takes {1e3 * STORE_DELAY_S:.0f} ms; fleet: times the'
            ' daemons.'
        ),
    )


async def _drive_journal(
    daemons: int, requests_per_s: float
) -> tuple[float, ...]:
    table = MemoryTable()
    table.faults.delay_s = STORE_DELAY_S
    journal = Journal(
        table=table,
        liveness=_NobodyIsDead(),
        daemon=DaemonId('d1'),
        incarnation=1,
        daemons=lambda: daemons,
    )
    waits: list[float] = []

    async def serve(number: int) -> None:
        request = _a_request(number)
        await journal.record(request)
        waits.append(anyio.current_time() - request.arrived)
        await anyio.sleep(12)
        await journal.forget(request.id)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(journal.run)
        for number in range(int(JOURNAL_S * requests_per_s)):
            tasks.start_soon(serve, number)
            await anyio.sleep(1 / requests_per_s)
        tasks.cancel_scope.cancel()
    cuts = statistics.quantiles(waits, n=100)
    return (
        daemons,
        requests_per_s,
        len(waits) / table.commits,
        table.rows_written / len(waits),
        1e3 * cuts[49],
        1e3 * cuts[98],
        daemons * table.commits / JOURNAL_S,
        daemons * table.rows_written / JOURNAL_S,
    )


def _a_request(number: int) -> ModelRequest:
    return ModelRequest(
        id=RequestId(f'r{number}'),
        account=AccountId('a'),
        work_class=DRAFTS,
        model=ModelName('m'),
        prompt='plan a trip',
        max_tokens=400,
        arrived=anyio.current_time(),
    )
