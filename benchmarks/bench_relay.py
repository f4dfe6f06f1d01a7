"""Relay over real sockets: tokens a second, added time, memory.

Engine stand-ins, the daemon's serving and the callers run in processes
of their own; the processor time is that of the daemon's process.
"""

from contextlib import ExitStack

import anyio

from benchmarks.processes import Program, run_program
from benchmarks.relay_load import Probes, StreamCount, probe, read_stream
from benchmarks.report import Table

STREAMS = 250
TOKENS_PER_S = 7_650.0
ENGINES = 5
INTERVAL_S = STREAMS / TOKENS_PER_S
SETTLE_S = 3.0
REPORTS_S = 2.0
"""Time until the daemon has a load report of each engine."""
WINDOW_S = 8.0
PROBE_RATE = 20.0


def run() -> list[Table]:
    """Measure and return the tables."""
    with ExitStack() as stack:
        engines = [
            stack.enter_context(
                run_program(
                    'mimosamux_standins.engine',
                    f'--identity=e{number}',
                    f'--decode_interval_s={INTERVAL_S}',
                    '--slots=500',
                    '--prefill_tokens_per_s=1e7',
                )
            )
            for number in range(ENGINES)
        ]
        prober = stack.enter_context(
            run_program(
                'mimosamux_standins.engine',
                '--identity=probe',
                '--decode_interval_s=0.001',
                '--slots=500',
                '--prefill_tokens_per_s=1e6',
            )
        )
        daemon = stack.enter_context(
            run_program(
                'benchmarks.relay_daemon',
                prober.address,
                *(engine.address for engine in engines),
            )
        )
        return anyio.run(_measure, daemon, prober)


async def _measure(daemon: Program, prober: Program) -> list[Table]:
    seen = StreamCount()
    await anyio.sleep(REPORTS_S)
    await probe(daemon.address, prober.address, 10.0, 1.0)
    idle = await probe(daemon.address, prober.address, PROBE_RATE, 3.0)
    memory = daemon.resident_bytes
    async with anyio.create_task_group() as tasks:
        for _ in range(STREAMS):
            tasks.start_soon(read_stream, daemon.address, 60_000, seen)
            await anyio.sleep(SETTLE_S / STREAMS)
        await anyio.sleep(SETTLE_S)
        events, tokens, cpu_s = seen.events, seen.tokens, daemon.cpu_s
        begun = anyio.current_time()
        await anyio.sleep(WINDOW_S)
        passed = anyio.current_time() - begun
        events, tokens = seen.events - events, seen.tokens - tokens
        cpu_s = daemon.cpu_s - cpu_s
        memory = daemon.resident_bytes - memory
        loaded = await probe(daemon.address, prober.address, PROBE_RATE, 8.0)
        tasks.cancel_scope.cancel()
    rate = tokens / passed
    share = cpu_s / passed
    return [
        Table(
            title=f'Relay of {STREAMS} streams through one daemon',
            columns=(
                'engines',
                'tokens/s to callers',
                'tokens/chunk',
                'cores',
                'us/token',
                'KiB/stream',
            ),
            rows=(
                (
                    ENGINES,
                    rate,
                    tokens / events,
                    share,
                    1e6 * share / rate,
                    memory / 1024 / STREAMS,
                ),
            ),
            note=f'engines give {TOKENS_PER_S:.0f} tokens/s, one a frame',
        ),
        _first_token_table(idle, loaded),
    ]


def _first_token_table(idle: Probes, loaded: Probes) -> Table:
    rows = []
    for name, probes in (
        ('no other streams', idle),
        (f'{STREAMS} streams', loaded),
    ):
        via, direct = sorted(probes.via_daemon), sorted(probes.direct)
        for share in (0.5, 0.95):
            one = via[int(share * len(via))] * 1000
            other = direct[int(share * len(direct))] * 1000
            rows.append((name, f'p{share:.0%}', one, other, one - other))
    return Table(
        title=f'First token at {PROBE_RATE:.0f} requests/s, in ms',
        columns=('load', 'quantile', 'via daemon', 'direct', 'added'),
        rows=tuple(rows),
    )
