"""A daemon's serving over emulated engines, for tests and benchmarks."""

import random
from contextlib import asynccontextmanager
from dataclasses import dataclass

import anyio
import anyio.abc
from mimosamux_daemon.adapters.memory_engine import (
    EngineSpeed,
    MemoryEngine,
    MemoryEngines,
)
from mimosamux_daemon.domain.configuration import Configuration
from mimosamux_daemon.domain.names import (
    AccountId,
    ClassName,
    DataCentreName,
    EndpointId,
    ModelName,
    RequestId,
    VMId,
)
from mimosamux_daemon.domain.outcomes import Answered
from mimosamux_daemon.domain.vms import Endpoint
from mimosamux_daemon.domain.work import Account, ModelRequest, WorkClass
from mimosamux_daemon.metrics import Metrics
from mimosamux_daemon.serving.admission import Admission
from mimosamux_daemon.serving.fleet import Fleet
from mimosamux_daemon.serving.intake import Intake
from mimosamux_daemon.serving.model_serving import ModelServing
from mimosamux_daemon.serving.requests import ActiveRequest, RequestRegistry
from mimosamux_daemon.serving.routing import Router

MODEL = ModelName('demo')
ACCOUNT = AccountId('school')
DRAFT = WorkClass(
    name=ClassName('draft'), first_token_s=5.0, deadline_s=1800.0
)
SPEED = EngineSpeed(decode_interval_s=0.03, prefill_tokens_per_s=5_000.0)


def make_endpoint(number: int, data_centre: str = 'east') -> Endpoint:
    """Return an endpoint that serves the demo model."""
    return Endpoint(
        id=EndpointId(f'e{number}'),
        vm=VMId(f'vm{number}'),
        address='in memory',
        data_centre=DataCentreName(data_centre),
        model=MODEL,
    )


@dataclass(kw_only=True)
class Site:
    """One daemon's serving and the engines behind it."""

    tasks: anyio.abc.TaskGroup
    engines: MemoryEngines
    fleet: Fleet
    registry: RequestRegistry
    metrics: Metrics
    serving: ModelServing
    configuration: Configuration
    intake: Intake

    def add_engine(
        self,
        number: int,
        *,
        data_centre: str = 'east',
        speed: EngineSpeed | None = None,
    ) -> MemoryEngine:
        """Start an engine and make it known to the daemon."""
        endpoint = make_endpoint(number, data_centre)
        self.fleet.add(endpoint)
        return self.engines.add(endpoint, speed=speed or SPEED)

    async def offer(self, prompt: str, **fields) -> ActiveRequest:
        """Send a request that has to be accepted."""
        request = make_request(prompt, **fields)
        active = await self.serving.offer(request, self.configuration)
        assert isinstance(active, ActiveRequest), active
        return active

    def value(self, metric: str, **labels: str) -> float:
        """Return a counter's value."""
        return getattr(self.metrics, metric).values.get(labels) or 0


def make_request(
    prompt: str,
    *,
    max_tokens: int = 50,
    work_class: WorkClass = DRAFT,
    key: str | None = None,
    identity: str | None = None,
) -> ModelRequest:
    """Return a request that arrives now."""
    return ModelRequest(
        id=RequestId(identity or f'r-{prompt[:40]}'),
        account=ACCOUNT,
        work_class=work_class,
        model=MODEL,
        prompt=prompt,
        max_tokens=max_tokens,
        arrived=anyio.current_time(),
        idempotency_key=key,
    )


@asynccontextmanager
async def open_site(engines: int = 0, **parts):
    """Run a daemon's serving until the block ends."""
    fleet = Fleet()
    registry = RequestRegistry()
    metrics = Metrics()
    ports = MemoryEngines()
    intake = Intake()
    async with anyio.create_task_group() as tasks:
        site = Site(
            tasks=tasks,
            engines=ports,
            fleet=fleet,
            registry=registry,
            metrics=metrics,
            serving=ModelServing(
                engines=parts.pop('engine_port', lambda port: port)(ports),
                fleet=fleet,
                router=Router(fleet=fleet, rng=random.Random(1)),
                admission=Admission(rng=random.Random(1)),
                registry=registry,
                tasks=tasks,
                metrics=metrics,
                intake=intake,
                **parts,
            ),
            intake=intake,
            configuration=Configuration(
                version=1,
                accounts={
                    ACCOUNT: Account(
                        id=ACCOUNT, key_digests=(), max_open=100_000
                    )
                },
                classes={DRAFT.name: DRAFT},
            ),
        )
        for number in range(1, engines + 1):
            site.add_engine(number)
        yield site
        tasks.cancel_scope.cancel()


def expected_answer(active: ActiveRequest) -> str:
    """Return the answer that the request has to end with."""
    request = active.request
    words = request.prompt.split()
    return ''.join(
        f'{words[offset % len(words)]}/{offset} '
        for offset in range(request.max_tokens)
    )


def is_whole(active: ActiveRequest) -> bool:
    """Whether the answer is whole and belongs to the request."""
    expected = expected_answer(active)
    return (
        isinstance(active.outcome, Answered)
        and active.outcome.text == expected
        and ''.join(active.tokens) == expected
    )
