"""Daemons with the real routing and admission over modelled engines.

The clock is paused, so that seconds of load pass in moments. An engine
computes prompts one after the other, runs as many requests side by side
as it has slots, and reports late.
"""

import heapq
import random
from collections import deque
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import anyio
import anyio.abc
from mimosamux_daemon.control.ownership import Ownership
from mimosamux_daemon.domain.configuration import Configuration
from mimosamux_daemon.domain.engine import CacheEvent, LoadReport
from mimosamux_daemon.domain.names import (
    AccountId,
    DaemonId,
    DataCentreName,
    EndpointId,
    ModelName,
    VMId,
)
from mimosamux_daemon.domain.outcomes import Refused
from mimosamux_daemon.domain.vms import Endpoint
from mimosamux_daemon.domain.work import Account, ModelRequest
from mimosamux_daemon.serving.admission import Admission, AdmissionPolicy
from mimosamux_daemon.serving.fleet import Fleet
from mimosamux_daemon.serving.prefix_cache import hash_prompt
from mimosamux_daemon.serving.routing import Choice, Router, RoutingPolicy

from tests.support.peers import FakeMembers, Network

HERE = DataCentreName('here')
MODEL = ModelName('model')
REPORT_INTERVAL_S = 0.5
REPORT_LAG_S = 0.5


@dataclass(kw_only=True, slots=True)
class Job:
    """A request at an engine, with its times."""

    arrived: float
    started: float
    first_token: float
    ended: float
    uncached_tokens: float
    cached_tokens: float


class ModelledEngine:
    """One engine; what it does is settled when a request arrives."""

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        slots: int = 16,
        prefill_tokens_per_s: float = 10_000.0,
        decode_interval_s: float = 0.03,
        cache_blocks: int = 4_000,
    ) -> None:
        self.endpoint = endpoint
        self.slots = slots
        self.prefill_tokens_per_s = prefill_tokens_per_s
        self.decode_interval_s = decode_interval_s
        self.cache_blocks = cache_blocks
        self.jobs: deque[Job] = deque()
        self.count = 0
        self._slot_ends: list[float] = []
        self._prefill_free = 0.0
        self._cache: dict[int, None] = {}
        self._stored: list[int] = []
        self._evicted: list[int] = []
        self._sequence = 0

    def submit(self, request: ModelRequest) -> Job:
        """Take a request; its end is known at once."""
        now = anyio.current_time()
        prompt = request.prompt.encode()
        blocks = hash_prompt(prompt)
        cached = self._touch(blocks) * 64.0
        uncached = max(len(prompt) / 4 - cached, 1.0)
        started = max(now, self._prefill_free)
        if len(self._slot_ends) >= self.slots:
            started = max(started, heapq.heappop(self._slot_ends))
        self._prefill_free = started + uncached / self.prefill_tokens_per_s
        first_token = self._prefill_free + self.decode_interval_s
        rest_s = (request.max_tokens - 1) * self.decode_interval_s
        job = Job(
            arrived=now,
            started=started,
            first_token=first_token,
            ended=first_token + rest_s,
            uncached_tokens=uncached,
            cached_tokens=cached,
        )
        heapq.heappush(self._slot_ends, job.ended)
        self.jobs.append(job)
        self.count += 1
        return job

    def report(self) -> LoadReport:
        """Return the load as of some time ago."""
        as_of = anyio.current_time() - REPORT_LAG_S
        while self.jobs and self.jobs[0].ended < as_of:
            self.jobs.popleft()
        known = [job for job in self.jobs if job.arrived <= as_of]
        self._sequence += 1
        return LoadReport(
            endpoint=self.endpoint.id,
            sequence=self._sequence,
            age_s=REPORT_LAG_S,
            queued_prefill_tokens=int(
                sum(self._left(job, as_of) for job in known)
            ),
            running=sum(job.started <= as_of < job.ended for job in known),
            waiting=sum(job.started > as_of for job in known),
            slots=self.slots,
            prefill_tokens_per_s=self.prefill_tokens_per_s,
            decode_interval_s=self.decode_interval_s,
        )

    def cache_event(self, *, snapshot: bool = False) -> CacheEvent:
        """Return what changed in the prefix cache since the last one."""
        self._sequence += 1
        event = CacheEvent(
            endpoint=self.endpoint.id,
            sequence=self._sequence,
            stored=tuple(self._cache if snapshot else self._stored),
            evicted=() if snapshot else tuple(self._evicted),
            snapshot=snapshot,
        )
        self._stored.clear()
        self._evicted.clear()
        return event

    def _left(self, job: Job, as_of: float) -> float:
        if job.started >= as_of:
            return job.uncached_tokens
        done = (as_of - job.started) * self.prefill_tokens_per_s
        return max(job.uncached_tokens - done, 0.0)

    def _touch(self, blocks: tuple[int, ...]) -> int:
        """Return how many leading blocks were cached; cache them all."""
        cached = 0
        while cached < len(blocks) and blocks[cached] in self._cache:
            cached += 1
        for block in reversed(blocks):
            if block in self._cache:
                del self._cache[block]
            else:
                self._stored.append(block)
            self._cache[block] = None
        while len(self._cache) > self.cache_blocks:
            oldest = next(iter(self._cache))
            del self._cache[oldest]
            self._evicted.append(oldest)
        return cached


class _Reports:
    def __init__(self, engine: ModelledEngine, rng: random.Random) -> None:
        self._engine = engine
        self._pause_s = REPORT_INTERVAL_S * rng.random()
        self._ready: list[Any] = [engine.cache_event(snapshot=True)]

    async def receive(self) -> Any:
        if not self._ready:
            await anyio.sleep(self._pause_s)
            self._pause_s = REPORT_INTERVAL_S
            engine = self._engine
            self._ready = [engine.cache_event(), engine.report()]
        return self._ready.pop()


class ModelledEngines:
    """The part of the `Engines` port that streams reports."""

    def __init__(
        self, engines: list[ModelledEngine], rng: random.Random
    ) -> None:
        self.by_id = {engine.endpoint.id: engine for engine in engines}
        self._rng = rng

    @asynccontextmanager
    async def watch(self, endpoint: Endpoint) -> AsyncIterator[Any]:
        """Open the stream of an engine's reports."""
        yield _Reports(self.by_id[endpoint.id], self._rng)


Chooser = Callable[[ModelRequest], Choice | Refused]


@dataclass(kw_only=True)
class ModelledDaemon:
    """The parts of one daemon that choose and admit."""

    fleet: Fleet
    admission: Admission
    ownership: Ownership
    choose: Chooser


@dataclass(kw_only=True, slots=True)
class Result:
    """What became of one request."""

    request: ModelRequest
    choice: Choice | None
    job: Job | None

    @property
    def first_token_s(self) -> float:
        """Time from arrival to the first token."""
        if self.job is None:
            return float('inf')
        return self.job.first_token - self.request.arrived

    @property
    def is_in_time(self) -> bool:
        """Whether the first token met the target of the class."""
        return self.first_token_s <= self.request.work_class.first_token_s


@dataclass(kw_only=True)
class Cluster:
    """Daemons of one data centre before modelled engines."""

    daemons: list[ModelledDaemon]
    engines: ModelledEngines
    network: Network
    results: list[Result] = field(default_factory=list)

    async def run(
        self, load: Callable[['Cluster', anyio.abc.TaskGroup], Any]
    ) -> None:
        """Run the daemons while `load` sends requests."""
        async with anyio.create_task_group() as tasks:
            for daemon in self.daemons:
                tasks.start_soon(daemon.ownership.run)
            await anyio.sleep(2.5)
            self.network.bytes_by_sender.clear()
            async with anyio.create_task_group() as requests:
                await load(self, requests)
            tasks.cancel_scope.cancel()

    def offer(
        self,
        daemon: ModelledDaemon,
        account: Account,
        request: ModelRequest,
        tasks: anyio.abc.TaskGroup,
    ) -> Result:
        """Offer a request to a daemon, as its serving does."""
        choice = daemon.choose(request)
        if isinstance(choice, Refused):
            tokens = len(request.prompt) / 4 + request.max_tokens
            daemon.admission.note_refused(account, tokens=tokens)
            return self._keep(Result(request=request, choice=None, job=None))
        refused = daemon.admission.acquire(
            account,
            request,
            first_token_s=choice.first_token_s,
            is_own=choice.is_own,
            tokens=choice.work.tokens + request.max_tokens,
        )
        if refused is not None:
            return self._keep(Result(request=request, choice=None, job=None))
        id_ = choice.endpoint.id
        daemon.fleet.note_sent(id_, request.id, 1, work=choice.work)
        job = self.engines.by_id[id_].submit(request)
        tasks.start_soon(self._finish, daemon, id_, request, job)
        return self._keep(Result(request=request, choice=choice, job=job))

    def _keep(self, result: Result) -> Result:
        self.results.append(result)
        return result

    async def _finish(
        self,
        daemon: ModelledDaemon,
        endpoint: EndpointId,
        request: ModelRequest,
        job: Job,
    ) -> None:
        await anyio.sleep(job.ended - anyio.current_time())
        daemon.fleet.note_finished(endpoint, request.id)
        daemon.admission.release(request.id)


def make_endpoint(number: int) -> Endpoint:
    """Return an endpoint in the modelled data centre."""
    return Endpoint(
        id=EndpointId(f'vm-{number:05}'),
        vm=VMId(f'vm-{number:05}'),
        address=f'10.0.0.{number}:8000',
        data_centre=HERE,
        model=MODEL,
    )


def make_account(name: str, share: float = 1.0) -> Account:
    """Return an account without a limit of open requests."""
    return Account(
        id=AccountId(name), key_digests=(), share=share, max_open=10**6
    )


def make_cluster(
    *,
    daemons: int = 11,
    endpoints: int = 33,
    seed: int = 1,
    routing: RoutingPolicy | None = None,
    admission: AdmissionPolicy | None = None,
    chooser: Callable[[Fleet, Router], Chooser] | None = None,
    configuration: Configuration | None = None,
    **speeds: Any,
) -> Cluster:
    """Return a cluster; `chooser` puts a plain policy in our place."""
    rng = random.Random(seed)
    places = [make_endpoint(number) for number in range(endpoints)]
    engines = ModelledEngines(
        [ModelledEngine(endpoint=place, **speeds) for place in places], rng
    )
    network = Network()
    names = [f'daemon-{number}' for number in range(daemons)]
    members = FakeMembers({HERE: names})
    in_force = Configuration() if configuration is None else configuration
    built = []
    for name in names:
        fleet = Fleet()
        for place in places:
            fleet.add(place)
        router = Router(
            fleet=fleet,
            policy=routing,
            configuration=lambda: in_force,
            rng=random.Random(rng.random()),
        )
        choose = router.choose if chooser is None else chooser(fleet, router)
        gate = Admission(policy=admission, rng=random.Random(1))
        ownership = Ownership(
            daemon=DaemonId(name),
            data_centre=HERE,
            fleet=fleet,
            engines=engines,  # type: ignore[arg-type]
            peers=network.join(name),  # type: ignore[arg-type]
            members=members,
            rng=random.Random(rng.random()),
            shares=gate.shares,
        )
        built.append(
            ModelledDaemon(
                fleet=fleet,
                admission=gate,
                ownership=ownership,
                choose=choose,
            )
        )
    return Cluster(daemons=built, engines=engines, network=network)
