"""Time from acceptance of a change to in force on all daemons."""

import random

import anyio
import numpy as np
from mimosamux_daemon.control.proposals import (
    Accepted,
)

from benchmarks.daemons import BenchCluster
from benchmarks.report import Table

SIZES = (3, 11)
CENTRES = 3
CLEAN_CHANGES = 40
CUT_CHANGES = 8
SETTLE_S = 2.0


def run() -> list[Table]:
    """Measure 9 and 33 daemons, clean and with a cut link."""
    rows: list[tuple[str | float, ...]] = []
    for size in SIZES:
        rows.extend(
            anyio.run(_measure, size, backend_options={'use_uvloop': True})
        )
    return [
        Table(
            title='Acceptance to in force on all daemons, ms',
            columns=('daemons', 'links', 'changes', 'p50', 'p99', 'worst'),
            rows=tuple(rows),
            note=(
                'Three data centres in one process, thrift links over'
                ' loopback, table in memory. Cut: none of the links between'
                ' the first and the second data centre works and changes'
                ' are accepted in the first. No push: versions spread by'
                ' heartbeats and fetches alone. Bound: 7,000.'
            ),
        )
    ]


async def _measure(size: int) -> list[tuple[str | float, ...]]:
    cluster = BenchCluster(sizes=(size,) * CENTRES)
    rng = random.Random(1)
    async with cluster.running(SETTLE_S):
        clean = await _play(cluster, rng, CLEAN_CHANGES, 0.05, size * CENTRES)
        _stop_pushing(cluster, True)
        repaired = await _play(cluster, rng, CUT_CHANGES, 0.3, size * CENTRES)
        _stop_pushing(cluster, False)
        _cut(cluster, size)
        await anyio.sleep(1)
        cut = await _play(cluster, rng, CUT_CHANGES, 0.3, size)
    label = str(size * CENTRES)
    return [
        (label, 'clean', CLEAN_CHANGES, *clean),
        (label, 'clean, no push', CUT_CHANGES, *repaired),
        (label, 'cut', CUT_CHANGES, *cut),
    ]


def _stop_pushing(cluster: BenchCluster, is_stopped: bool) -> None:
    for daemon in cluster.daemons:
        daemon.is_mute = is_stopped


def _cut(cluster: BenchCluster, size: int) -> None:
    one = cluster.daemons[:size]
    two = cluster.daemons[size : 2 * size]
    for some, others in ((one, two), (two, one)):
        names = frozenset(daemon.name for daemon in others)
        for daemon in some:
            daemon.peers.cut_off(names)


async def _play(
    cluster: BenchCluster,
    rng: random.Random,
    changes: int,
    pause_s: float,
    acceptors: int,
) -> tuple[float, float, float]:
    accepted_at: dict[int, float] = {}
    for _ in range(changes):
        daemon = cluster.daemons[rng.randrange(acceptors)]
        decision = await daemon.set(rng.randrange(10**8))
        if not isinstance(decision, Accepted):
            raise RuntimeError(f'not accepted: {decision}')
        accepted_at[decision.version] = anyio.current_time()
        await anyio.sleep(pause_s * rng.uniform(0.5, 1.5))
    newest = max(accepted_at)
    with anyio.fail_after(20):
        for daemon in cluster.daemons:
            await daemon.in_force.wait_for(newest)
    times = [
        max(
            daemon.in_force.taken_at_by_version[version]
            for daemon in cluster.daemons
        )
        - at
        for version, at in accepted_at.items()
    ]
    p50, p99, worst = np.percentile(times, [50, 99, 100]) * 1000
    return float(p50), float(p99), float(worst)
