"""The choice of an endpoint: its time, spread, cache hits and bytes."""

import itertools
import random
import statistics
import time
import tracemalloc
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import anyio
import anyio.abc
from mimosamux_daemon.control.account_digests import write_accounts
from mimosamux_daemon.control.digests import DigestWriter
from mimosamux_daemon.domain.engine import CacheEvent, LoadReport
from mimosamux_daemon.domain.names import (
    AccountId,
    ClassName,
    EndpointId,
    RequestId,
)
from mimosamux_daemon.domain.work import ModelRequest, WorkClass
from mimosamux_daemon.serving.admission import AdmissionPolicy
from mimosamux_daemon.serving.fair_shares import FairShares
from mimosamux_daemon.serving.fleet import Fleet
from mimosamux_daemon.serving.prefix_cache import PrefixCacheIndex, hash_prompt
from mimosamux_daemon.serving.routing import Router
from thrift.TSerialization import serialize

from benchmarks.fleet_model import (
    MODEL,
    Chooser,
    Cluster,
    make_account,
    make_cluster,
    make_endpoint,
)
from benchmarks.plain_policies import least_reported, round_robin
from benchmarks.report import Table
from tests.support.clock import run_paused
from tests.support.peers import FACTORY

DECISIONS = 1_500
SIZES = (12, 35, 375, 1_500, 3_000)
SHARED_BYTES = 2_048
BLOCKS = 32
ACCOUNTS = 8
NO_ADMISSION = AdmissionPolicy(
    admit_fraction=1e9, over_fair_fraction=1e9, unowned_fraction=1e9
)
PATIENT = WorkClass(name=ClassName('draft'), first_token_s=5.0)
_ids = itertools.count()


def make_request(prompt: str, arrived: float = 0.0) -> ModelRequest:
    """Return a request of a patient class."""
    return ModelRequest(
        id=RequestId(str(next(_ids))),
        account=AccountId('account'),
        work_class=PATIENT,
        model=MODEL,
        prompt=prompt,
        max_tokens=100,
        arrived=arrived,
    )


def measure_decisions(size: int, prompt_bytes: int) -> tuple[float, ...]:
    """Return the median and p99 time of a decision, in microseconds."""
    return anyio.run(_measure_decisions, size, prompt_bytes)


async def _measure_decisions(size: int, prompt_bytes: int) -> Any:
    rng = random.Random(size)
    fleet = Fleet()
    for number in range(size):
        endpoint = make_endpoint(number)
        fleet.add(endpoint)
        fleet.set_own(endpoint.id, is_own=number % 11 == 0)
    router = Router(fleet=fleet, rng=rng)
    shared = 's' * SHARED_BYTES
    shared_blocks = hash_prompt(shared.encode())
    for id_ in fleet.by_id:
        fleet.cache.add(id_, shared_blocks)
    times = []
    for number in range(DECISIONS):
        if number % (size // 2) == 0:
            _report_all(fleet, rng)
        own = f'{number:>8}' * ((prompt_bytes - SHARED_BYTES) // 8)
        request = make_request(shared + own)
        start = time.perf_counter()
        choice: Any = router.choose(request)
        times.append((time.perf_counter() - start) * 1e6)
        id_ = choice.endpoint.id
        fleet.note_sent(id_, request.id, 1, work=choice.work)
        fleet.note_finished(id_, request.id)
    cut = statistics.quantiles(times, n=100)
    return statistics.median(times), cut[98]


def _report_all(fleet: Fleet, rng: random.Random) -> None:
    for endpoint in fleet.by_id:
        fleet.apply_report(make_report(endpoint, rng))


def make_report(endpoint: EndpointId, rng: random.Random) -> LoadReport:
    """Return a report of some load."""
    return LoadReport(
        endpoint=endpoint,
        sequence=1,
        age_s=0.0,
        queued_prefill_tokens=rng.randrange(4_000),
        running=rng.randrange(16),
        waiting=0,
        slots=16,
        prefill_tokens_per_s=10_000.0,
        decode_interval_s=rng.uniform(0.028, 0.032),
    )


def show_decision_time() -> Table:
    """Return the time of a decision by fleet and prompt."""
    rows = []
    for size in SIZES:
        short = measure_decisions(size, 4_096)
        long = measure_decisions(size, 32_768)
        rows.append((size, *(round(each, 1) for each in (*short, *long))))
    return Table(
        title='Time of one decision, in microseconds (aim: 200 at 375)',
        columns=(
            'endpoints',
            '4 KB p50',
            '4 KB p99',
            '32 KB p50',
            '32 KB p99',
        ),
        rows=tuple(rows),
        note='every endpoint holds the first 2 KB of each prompt',
    )


@dataclass(frozen=True, kw_only=True)
class Talk:
    """What a run of conversations showed."""

    hit_share: float
    recomputed: float
    first_token_p95_s: float
    spread: float
    """Largest number of requests at one engine over the mean."""


Policy = Callable[[Fleet, Router], Chooser] | None


def run_talks(
    policy: Policy,
    *,
    talks: int,
    seconds: float = 20.0,
    turns: int = 6,
    seed: int = 1,
    **fields: Any,
) -> Talk:
    """Run conversations whose prompts grow by each turn."""
    cluster = make_cluster(
        chooser=policy, admission=NO_ADMISSION, seed=seed, **fields
    )

    async def load(_: Cluster, tasks: anyio.abc.TaskGroup) -> None:
        rng = random.Random(seed)
        for number in range(talks):
            start_s = rng.uniform(0, seconds / 2)
            tasks.start_soon(_talk, cluster, number, start_s, turns, tasks)

    run_paused(cluster.run, load)
    jobs = [result.job for result in cluster.results if result.job]
    cached = sum(job.cached_tokens for job in jobs)
    uncached = sum(job.uncached_tokens for job in jobs)
    counts = [engine.count for engine in cluster.engines.by_id.values()]
    return Talk(
        hit_share=cached / (cached + uncached),
        recomputed=uncached / len(jobs),
        first_token_p95_s=statistics.quantiles(
            [result.first_token_s for result in cluster.results], n=20
        )[18],
        spread=max(counts) / statistics.mean(counts),
    )


async def _talk(
    cluster: Cluster,
    number: int,
    start_s: float,
    turns: int,
    tasks: anyio.abc.TaskGroup,
) -> None:
    """Hold one conversation; every second turn is at another daemon."""
    rng = random.Random(number)
    account = make_account(f'account-{number % 5}')
    prompt = f'{number % 5}' * SHARED_BYTES
    await anyio.sleep(start_s)
    daemon = rng.choice(cluster.daemons)
    for turn in range(turns):
        if rng.random() < 0.5:
            daemon = rng.choice(cluster.daemons)
        prompt += f'{number:>6}{turn:>2}' * 384
        request = make_request(prompt, anyio.current_time())
        result = cluster.offer(daemon, account, request, tasks)
        if result.job is None:
            return
        answered_s = result.job.ended - anyio.current_time()
        await anyio.sleep(answered_s + rng.expovariate(0.5))


def show_talks() -> Table:
    """Return cache hits and waits by policy."""
    policies: list[tuple[str, Policy]] = [
        ('ours', None),
        ('least reported load', least_reported),
        ('round robin', round_robin),
    ]
    rows = []
    for name, policy in policies:
        seen = run_talks(policy, talks=220)
        rows.append(
            (
                name,
                round(seen.hit_share, 3),
                round(seen.recomputed),
                round(seen.first_token_p95_s, 3),
                round(seen.spread, 2),
            )
        )
    return Table(
        title='Conversations of 6 turns, 11 daemons, 33 engines',
        columns=(
            'policy',
            'prompt tokens cached',
            'computed a request',
            'first token p95 s',
            'max/mean requests',
        ),
        rows=tuple(rows),
        note='prompts grow by 3 KB a turn; half of the turns change daemon',
    )


async def _write_digests(daemons: int, owned: int) -> list[int]:
    """Return the bytes of ten digests of a daemon that sends 20/s."""
    rng = random.Random(1)
    fleet = Fleet()
    for number in range(daemons * owned):
        fleet.add(make_endpoint(number))
    ids = list(fleet.by_id)
    writer = DigestWriter(fleet=fleet)
    shares = FairShares(window_s=5.0)
    sizes = []
    for second in range(11):
        await anyio.sleep(1)
        for id_ in ids[:owned]:
            report = make_report(id_, rng)
            fleet.apply_report(report)
            writer.note(report)
        for number in range(20):
            blocks = [rng.getrandbits(64) for _ in range(2 * BLOCKS)]
            writer.note(
                CacheEvent(
                    endpoint=ids[number % owned],
                    sequence=second,
                    stored=tuple(blocks[:BLOCKS]),
                    evicted=tuple(blocks[BLOCKS:]),
                )
            )
            request = RequestId(f'{second}/{number}')
            id_ = rng.choice(ids)
            fleet.note_sent(id_, request, 1)
            fleet.note_finished(id_, request)
        for number in range(ACCOUNTS):
            account = AccountId(f'account-{number}')
            shares.note_offered(
                account, share=1.0, tokens=2_000.0 + number, now=second
            )
            shares.note_admitted(account, tokens=1_900.0)
        digest = writer.write(
            peers=daemons - 1, accounts=write_accounts(shares)
        )
        sizes.append(len(serialize(digest, FACTORY)))
    return sizes[1:]


def show_digests() -> Table:
    """Return the bytes that a daemon sends, by size of the system."""
    rows = []
    for daemons, owned in ((3, 2), (9, 6), (11, 12), (11, 35)):
        sizes = run_paused(_write_digests, daemons, owned)
        mean = statistics.mean(sizes)
        sent = mean * (daemons - 1)
        rows.append(
            (
                f'{daemons} x {owned}',
                round(mean),
                max(sizes),
                round(sent),
                round(2 * sent),
            )
        )
    return Table(
        title='Digests (budget: 26,000 bytes a second for all control)',
        columns=(
            'daemons x endpoints each',
            'bytes a digest',
            'largest',
            'sent B/s',
            'sent and received B/s',
        ),
        rows=tuple(rows),
        note='20 requests/s a daemon, each with 32 new and 32 evicted blocks;'
        ' 8 accounts; thrift compact, without framing',
    )


def show_spread() -> Table:
    """Return how one view of an idle fleet is used by many daemons."""
    rows = []
    for daemons in (2, 11):
        counts = Counter(anyio.run(_send_with_one_view, daemons, True))
        naive = Counter(anyio.run(_send_with_one_view, daemons, False))
        mean = daemons * 20 / 35
        rows.append(
            (
                daemons,
                round(max(counts.values()) / mean, 2),
                round(max(naive.values()) / mean, 2),
            )
        )
    return Table(
        title='Herding: 20 requests a daemon between two reports, 35 idle',
        columns=('daemons', 'ours max/mean', 'least reported max/mean'),
        rows=tuple(rows),
    )


async def _send_with_one_view(daemons: int, is_ours: bool) -> list[EndpointId]:
    sent = []
    for daemon in range(daemons):
        fleet = Fleet()
        for number in range(35):
            fleet.add(make_endpoint(number))
        router = Router(fleet=fleet, rng=random.Random(daemon))
        choose = router.choose if is_ours else least_reported(fleet, router)
        for number in range(20):
            request = make_request(f'{daemon}/{number}/' * 200)
            choice: Any = choose(request)
            sent.append(choice.endpoint.id)
            fleet.note_sent(
                choice.endpoint.id, request.id, 1, work=choice.work
            )
    return sent


def show_memory() -> Table:
    """Return the memory of the known prefix-cache blocks."""
    rows = []
    for entries in (50_000, 200_000):
        tracemalloc.start()
        cache = PrefixCacheIndex(max_entries=entries)
        rng = random.Random(1)
        for number in range(375):
            blocks = [rng.getrandbits(64) for _ in range(entries // 375)]
            cache.add(EndpointId(f'vm-{number}'), blocks)
        size, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        rows.append((cache.entries, round(size / 1e6, 1)))
    return Table(
        title='Memory of the prefix-cache index, 375 endpoints',
        columns=('entries', 'MB'),
        rows=tuple(rows),
    )


def run() -> list[Table]:
    """Return every table of the choice."""
    return [
        show_decision_time(),
        show_spread(),
        show_talks(),
        show_digests(),
        show_memory(),
    ]
