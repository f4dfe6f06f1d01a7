"""A wave that takes a data centre: what is computed again, what is lost.

Runs on a clock that jumps over waits, with emulated engines.
"""

import random
import sys
from collections.abc import Iterator
from dataclasses import dataclass, replace

import anyio
import structlog
from mimosamux_daemon.adapters.memory_engine import (
    EngineAbilities,
    EngineSpeed,
    MemoryEngine,
)
from mimosamux_daemon.serving.requests import ActiveRequest

from benchmarks.report import Table
from tests.support.clock import run_paused
from tests.support.serving import Site, is_whole, open_site

DATA_CENTRES = ('east', 'middle', 'west')
ENGINES_EACH = 4
STREAMS = 60
SEEDS = (1, 2, 3)
NOTICES_S = (30.0, 10.0, 2.0, 0.0)
WARM_UP_S = 8.0
PATIENCE_S = 1200.0
SPEED = EngineSpeed(
    decode_interval_s=0.033,
    prefill_tokens_per_s=8_000.0,
    slots=32,
    tokens_per_frame=15,
    kv_bytes_per_s=5e9,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Policy:
    """What engines can do, and so what the daemon can make use of."""

    name: str
    moves_kv: bool
    resumes: bool


POLICIES = (
    Policy(name='move KV cache', moves_kv=True, resumes=True),
    Policy(name='prompt and tokens sent', moves_kv=False, resumes=True),
    Policy(name='from the start (baseline)', moves_kv=False, resumes=False),
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Wave:
    """What one wave came to."""

    recomputed: int
    lost: int
    longest_pause_s: float


def run() -> list[Table]:
    """Measure and return the tables."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(50)
    )
    rows = []
    for notice in NOTICES_S:
        baseline = 0.0
        for policy in reversed(POLICIES):
            waves = [
                run_paused(play_wave, policy, notice, seed) for seed in SEEDS
            ]
            tokens = [wave.recomputed for wave in waves]
            mean = sum(tokens) / len(tokens)
            baseline = baseline or mean
            rows.append(
                (
                    notice,
                    policy.name,
                    mean,
                    f'{min(tokens)}..{max(tokens)}',
                    100 * mean / baseline if baseline else 0.0,
                    max(wave.longest_pause_s for wave in waves),
                    sum(wave.lost for wave in waves),
                )
            )
    return [
        Table(
            title=f'Wave over 1 of 3 data centres, {STREAMS} streams',
            columns=(
                'notice s',
                'policy',
                'tokens again',
                'of seeds',
                '% of baseline',
                'longest pause s',
                'lost',
            ),
            rows=tuple(rows),
            note=f'{len(SEEDS)} seeds; notice 0 is a sudden death',
        )
    ]


async def play_wave(policy: Policy, notice: float, seed: int) -> Wave:
    """Play one wave and look at what the engines recorded."""
    rng = random.Random(seed)
    async with open_site() as site:
        start_engines(site, policy)
        actives = [
            await site.offer(
                make_prompt(rng, number), max_tokens=rng.randint(100, 1200)
            )
            for number in range(STREAMS)
        ]
        pauses: list[float] = []
        for active in actives:
            site.tasks.start_soon(watch_pauses, active, pauses)
        await anyio.sleep(WARM_UP_S)
        for engine in engines_of(site, DATA_CENTRES[0]):
            site.tasks.start_soon(take_away, site, engine, notice)
        with anyio.move_on_after(PATIENCE_S):
            for active in actives:
                await active.wait_ended()
        return Wave(
            recomputed=count_recomputed(site),
            lost=sum(not is_whole(active) for active in actives),
            longest_pause_s=max(pauses, default=0.0),
        )


def start_engines(site: Site, policy: Policy) -> None:
    """Start the engines of every data centre."""
    for number in range(len(DATA_CENTRES) * ENGINES_EACH):
        engine = site.add_engine(
            number,
            data_centre=DATA_CENTRES[number // ENGINES_EACH],
            speed=replace(SPEED),
        )
        engine.abilities = EngineAbilities(
            exports_kv=policy.moves_kv, resumes=policy.resumes
        )


def make_prompt(rng: random.Random, number: int) -> str:
    """Return a prompt of 500 to 6,000 tokens that shares no prefix."""
    tokens = rng.randint(500, 6_000)
    return f'{number} {rng.random()} ' + 'lake ' * (tokens * 4 // 5)


def engines_of(site: Site, data_centre: str) -> Iterator[MemoryEngine]:
    """Return the engines of a data centre."""
    for engine in site.engines.by_id.values():
        if engine.endpoint.data_centre == data_centre:
            yield engine


async def take_away(site: Site, engine: MemoryEngine, notice: float) -> None:
    """Take an engine away after its notice."""
    if notice:
        site.fleet.mark_leaving(engine.endpoint.id, seconds_left=notice)
        await anyio.sleep(notice)
    engine.die()
    await anyio.sleep(5.0)
    site.fleet.remove(engine.endpoint.id)


async def watch_pauses(active: ActiveRequest, pauses: list[float]) -> None:
    """Keep the longest time between two tokens of an answer."""
    await active.wait_for_tokens(0)
    longest = 0.0
    while not active.has_ended:
        before = anyio.current_time()
        await active.wait_for_tokens(len(active.tokens))
        longest = max(longest, anyio.current_time() - before)
    pauses.append(longest)


def count_recomputed(site: Site) -> int:
    """Return what engines computed that had been computed before."""
    total = 0
    for engine in site.engines.by_id.values():
        for run_ in engine.runs:
            if run_.call.attempt == 1:
                continue
            total += run_.computed_tokens
            if not engine.abilities.resumes:
                total += min(run_.produced, len(run_.call.answer_so_far))
    return total


if __name__ == '__main__':
    sys.exit('run `python -m benchmarks waves`')
