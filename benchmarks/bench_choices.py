"""Time that the choice of an engine takes, by the number of endpoints."""

import random
import time

from mimosamux_daemon.domain.gateway import PromptInfo, PromptPart
from mimosamux_daemon.domain.names import EndpointId, ServiceName
from mimosamux_daemon.domain.routes import EngineCapabilities, ServiceEntry

from benchmarks.report import Table
from tests.support.stale_reports import STREAM, ChoosingDaemon, listed

SIZES = (15, 30, 64, 300, 3000, 12000)
PEERS = 72
PREFIXES = 16
CHOICES = 2000
COLD_CHOICES = 20
LLM = ServiceName('llm')
SERVICE = ServiceEntry(
    name=LLM,
    engine=EngineCapabilities(
        slots=12, cache_tokens=400_000, bytes_per_token=1e5, link_mbps=1e4
    ),
)


def run() -> list[Table]:
    """Measure choices among the endpoints of services of several sizes."""
    rows = tuple(_measure(size) for size in SIZES)
    return [
        Table(
            title=f'choice of an engine, {PEERS} peers with reports',
            columns=(
                'endpoints',
                'ms',
                'ms, none fast enough',
                'ms, new prefix',
            ),
            rows=rows,
            note='mean of one process; the last column is the first use of '
            'a prefix at a daemon',
        )
    ]


def _measure(size: int) -> tuple[str | float, ...]:
    daemon = _make_daemon(size)
    prompts = [_make_prompt(f'p{n}') for n in range(PREFIXES)]
    for number, prompt in enumerate(prompts):
        daemon.chooser.prefix_index.note_read(
            EndpointId(f'i-{number % size}'), prompt
        )
    usual = _time_choices(daemon, prompts, CHOICES)
    new = _time_choices(
        daemon, [_make_prompt(f'n{n}') for n in range(COLD_CHOICES)], 0
    )
    for record in daemon.endpoints.records(LLM):
        record.load.begin(1e6)
    busy = _time_choices(daemon, prompts, CHOICES // 10)
    return str(size), usual, busy, new


def _time_choices(
    daemon: ChoosingDaemon, prompts: list[PromptInfo], choices: int
) -> float:
    """Return the milliseconds of a choice, after one for each prompt.

    With no further choices, it is the time of these first ones.
    """
    first = time.perf_counter()
    for prompt in prompts:
        daemon.choose(SERVICE, prompt, STREAM)
    begun = time.perf_counter()
    for number in range(choices):
        daemon.choose(SERVICE, prompts[number % len(prompts)], STREAM)
    took_s = time.perf_counter() - begun
    if choices:
        return 1000 * took_s / choices
    return 1000 * (begun - first) / len(prompts)


def _make_daemon(size: int) -> ChoosingDaemon:
    """Return a daemon that has reports of its peers on all endpoints."""
    rng = random.Random(1)
    daemon = ChoosingDaemon(clock=lambda: 1.0, rng=rng)
    daemon.list(*(listed(n, service=LLM, slots=12) for n in range(size)))
    for number in range(size):
        for peer in rng.sample(range(PEERS), 3):
            daemon.report(number, peer, 1, 0.5, unread_tokens=500.0)
    return daemon


def _make_prompt(prefix: str) -> PromptInfo:
    return PromptInfo(
        model='m',
        prompt_tokens=2368,
        max_answer_tokens=100,
        parts=(
            PromptPart(id=prefix, tokens=568),
            PromptPart(id='own', tokens=1800),
        ),
    )
