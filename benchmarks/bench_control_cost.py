"""What membership and configuration cost a daemon."""

import gc
import random
import resource
import time
from collections import Counter
from collections.abc import Sequence

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

from benchmarks.daemons import BenchCluster, BenchDaemon, make_document
from benchmarks.report import Table

SHAPES = (
    (3,),
    (6,),
    (11,),
    (11, *(1 for _ in range(31))),
)
"""Daemons in each data centre; the last has 32 data centres."""
MEASURED_S = 3.0
SETTLE_S = 1.0
CHANGES_PER_S = 1.15
ACCOUNTS = (10, 1_000, 5_000)
REPEATS = 20


def run() -> list[Table]:
    """Measure the slopes by daemons, data centres and accounts."""
    costs = []
    # First, before the heap of many daemons slows the collector down.
    by_accounts = _measure_accounts()
    messages: Counter[str] = Counter()
    for sizes in SHAPES:
        row, messages = anyio.run(
            _measure, sizes, backend_options={'use_uvloop': True}
        )
        costs.append(row)
    return [
        Table(
            title='Control cost of one daemon at 1.15 changes/s',
            columns=(
                'daemons by data centre',
                'ms/s of a core',
                'bytes/s sent',
                'messages/s sent',
                'MB (process)',
                'rows read/s (all)',
                'rows written/s (all)',
            ),
            rows=tuple(costs),
            note=(
                'All daemons in one process; its processor time divided by'
                ' the daemons. Bytes and messages of the first data centre;'
                ' frames, without TCP headers. The last row has 31 data'
                ' centres of one daemon, each of which keeps all links of'
                ' its own. Bounds: 22 ms/s, 26,000 bytes/s, 256 MB.'
            ),
        ),
        Table(
            title='Bytes/s a daemon sends, by message (largest shape)',
            columns=('message', 'bytes/s'),
            rows=tuple(
                (name, float(size)) for name, size in messages.most_common()
            ),
        ),
        by_accounts,
    ]


async def _measure(
    sizes: tuple[int, ...],
) -> tuple[tuple[str | float, ...], Counter[str]]:
    gc.collect()
    cluster = BenchCluster(sizes=sizes)
    first = cluster.daemons[: sizes[0]]
    async with cluster.running(SETTLE_S):
        sent = _sent(first)
        read, written = cluster.table.rows_read, cluster.table.rows_written
        started, cpu = time.monotonic(), time.process_time()
        await _change(cluster)
        elapsed = time.monotonic() - started
        cpu = time.process_time() - cpu
        total = _sent(first)
        total.subtract(sent)
        resident_mb = _resident_mb()
    per_daemon = Counter(
        {
            name: amount / elapsed / len(first)
            for name, amount in total.items()
            if not name.startswith('#')
        }
    )
    return (
        '+'.join(map(str, sizes[:4])) + ('+...' if len(sizes) > 4 else ''),
        cpu / elapsed / sum(sizes) * 1000,
        float(sum(per_daemon.values())),
        total['#messages'] / elapsed / len(first),
        resident_mb,
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


def _sent(daemons: Sequence[BenchDaemon]) -> Counter[str]:
    total: Counter[str] = Counter()
    for daemon in daemons:
        total.update(daemon.peers.bytes)
        total['#messages'] += sum(daemon.peers.messages.values())
    return total


def _resident_mb() -> float:
    with open('/proc/self/statm') as statm:
        pages = int(statm.read().split()[1])
    return pages * resource.getpagesize() / 1e6


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
