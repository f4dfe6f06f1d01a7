"""What membership and configuration cost a daemon."""

import gc
import random
import resource
import time
from collections import Counter

import anyio
import xxhash
from mimosamux_daemon.control.configuration import (
    ConfigurationInForce,
    ConfigurationReplica,
    Snapshot,
)
from mimosamux_daemon.control.configuration_changes import (
    Change,
    Edit,
    VersionRecord,
    apply_edits,
    digest_of,
)
from mimosamux_daemon.control.configuration_models import parse_configuration

from benchmarks.daemons import BenchCluster, make_document
from benchmarks.report import Table

SHAPES = ((1, 3), (1, 6), (1, 11), (4, 11))
"""Data centres, and daemons in each."""
MEASURED_S = 3.0
SETTLE_S = 1.0
CHANGES_PER_S = 1.15
ACCOUNTS = (10, 1_000, 5_000)
REPEATS = 20


def run() -> list[Table]:
    """Measure the slopes by daemons, data centres and accounts."""
    costs = []
    messages: Counter[str] = Counter()
    for centres, size in SHAPES:
        row, messages = anyio.run(
            _measure, centres, size, backend_options={'use_uvloop': True}
        )
        costs.append(row)
    return [
        Table(
            title='Control cost of one daemon at 1.15 changes/s',
            columns=(
                'data centres x daemons',
                'ms/s of a core',
                'bytes/s sent',
                'messages/s sent',
                'kB each',
                'rows read/s (all)',
                'rows written/s (all)',
            ),
            rows=tuple(costs),
            note=(
                'All daemons in one process; processor time of the process'
                ' divided by the daemons, links to both ends included.'
                ' Bounds: 22 ms/s, 26 kB/s, 256 MB. Bytes count frames,'
                ' not TCP headers.'
            ),
        ),
        Table(
            title='Bytes/s a daemon sends, by message (largest shape)',
            columns=('message', 'bytes/s'),
            rows=tuple(
                (name, float(size)) for name, size in messages.most_common()
            ),
        ),
        _measure_accounts(),
    ]


async def _measure(
    centres: int, size: int
) -> tuple[tuple[str | float, ...], Counter[str]]:
    gc.collect()
    before_kb = _resident_kb()
    cluster = BenchCluster(centres=centres, size=size)
    count = centres * size
    async with cluster.running(SETTLE_S):
        used_kb = (_resident_kb() - before_kb) / count
        sent = _sent(cluster)
        read, written = cluster.table.rows_read, cluster.table.rows_written
        started, cpu = time.monotonic(), time.process_time()
        await _change(cluster)
        elapsed = time.monotonic() - started
        cpu = time.process_time() - cpu
        total = _sent(cluster)
        total.subtract(sent)
    per_daemon = Counter(
        {
            name: amount / elapsed / count
            for name, amount in total.items()
            if not name.startswith('#')
        }
    )
    label = f'{centres} x {size}'
    return (
        label,
        cpu / elapsed / count * 1000,
        float(sum(per_daemon.values())),
        total['#messages'] / elapsed / count,
        float(used_kb),
        (cluster.table.rows_read - read) / elapsed,
        (cluster.table.rows_written - written) / elapsed,
    ), per_daemon


async def _change(cluster: BenchCluster) -> None:
    rng = random.Random(2)
    end = anyio.current_time() + MEASURED_S
    while anyio.current_time() < end:
        daemon = rng.choice(cluster.daemons)
        await daemon.set(rng.randrange(10**8))
        await anyio.sleep(1 / CHANGES_PER_S)


def _sent(cluster: BenchCluster) -> Counter[str]:
    total: Counter[str] = Counter()
    for daemon in cluster.daemons:
        total.update(daemon.peers.bytes)
        total['#messages'] += sum(daemon.peers.messages.values())
    return total


def _resident_kb() -> int:
    with open('/proc/self/statm') as statm:
        return int(statm.read().split()[1]) * resource.getpagesize() // 1024


def _measure_accounts() -> Table:
    rows = []
    for accounts in ACCOUNTS:
        document = make_document(accounts)
        started = time.perf_counter()
        for _ in range(REPEATS):
            parse_configuration(document, version=1)
        check_ms = (time.perf_counter() - started) / REPEATS * 1000
        started = time.perf_counter()
        records = _records(document)
        make_ms = (time.perf_counter() - started) / REPEATS * 1000
        replica = _replica(document)
        started = time.perf_counter()
        for record in records:
            replica.advance(record)
        take_ms = (time.perf_counter() - started) / REPEATS * 1000
        if replica.version != REPEATS + 1:
            raise RuntimeError('a record was not taken')
        rows.append((str(accounts), check_ms, make_ms, take_ms))
    return Table(
        title='Processor time of one change by client accounts, ms',
        columns=(
            'accounts',
            'check of the whole (acceptor)',
            'digest of the whole (reference)',
            'take a record (every daemon)',
        ),
        rows=tuple(rows),
    )


def _replica(document: dict[str, object]) -> ConfigurationReplica:
    replica = ConfigurationReplica(in_force=ConfigurationInForce())
    replica.replace(
        Snapshot(
            version=1,
            digest=digest_of(document),
            document=document,
            operations=(),
        )
    )
    return replica


def _records(document: dict[str, object]) -> list[VersionRecord]:
    records = []
    for number in range(REPEATS):
        edit = Edit(
            path=('accounts', f'account-{number % 10}', 'max_open'),
            value=100 + number,
        )
        document = apply_edits(document, [edit])
        operation = xxhash.xxh3_128_hexdigest(str(number).encode())
        change = Change(
            operation=operation,
            who='operator',
            what='set',
            why='',
            at=0.0,
            edits=(edit,),
        )
        records.append(
            VersionRecord(
                version=number + 2,
                digest=digest_of(document),
                changes=(change,),
            )
        )
    return records
