"""Daemons that pause and die around one table and one service."""

import itertools
import random
from dataclasses import dataclass, field

import anyio
from mimosamux_daemon.adapters.memory_object_store import MemoryObjectStore
from mimosamux_daemon.adapters.memory_service import MemoryServices
from mimosamux_daemon.adapters.memory_table import MemoryTable
from mimosamux_daemon.control.store_guard import StoreGuard
from mimosamux_daemon.domain.names import EndpointId, RequestId
from mimosamux_daemon.domain.outcomes import (
    Answered,
    InDoubt,
    Outcome,
    Reason,
    Refused,
    Unknown,
)
from mimosamux_daemon.domain.vms import Endpoint
from mimosamux_daemon.domain.work import ServiceCall, WorkClass
from mimosamux_daemon.metrics import Metrics
from mimosamux_daemon.serving.side_effects import SideEffects

TIME_TO_TAKE_FOR_DEAD_S = 3.0
ENDPOINTS = tuple(
    Endpoint(id=f's{n}', vm=f's{n}', address='', data_centre='d', service='s')
    for n in (1, 2)
)
SIDE_EFFECT = WorkClass(
    name='slips', first_token_s=1.0, deadline_s=20.0, repeatable=False
)


def choose(service, excluding: frozenset[EndpointId]) -> Endpoint | Refused:
    for endpoint in ENDPOINTS:
        if endpoint.id not in excluding:
            return endpoint
    return Refused(reason=Reason.NO_ENDPOINT, message='none left')


@dataclass(kw_only=True)
class Gate:
    """Everything that a paused process does waits here."""

    paused_since: float = 0.0
    paused_until: float = 0.0

    async def wait(self):
        while anyio.current_time() < self.paused_until:  # noqa: ASYNC110
            await anyio.sleep_until(self.paused_until)


@dataclass(kw_only=True)
class Gated:
    """A port whose calls stop at the gate, before and after."""

    port: object
    gate: Gate

    def __getattr__(self, name):
        method = getattr(self.port, name)

        async def call(*args, **kwargs):
            await self.gate.wait()
            result = await method(*args, **kwargs)
            await self.gate.wait()
            return result

        return call


@dataclass(kw_only=True)
class Asked:
    """One call of a client and what became of it."""

    call: ServiceCall
    at: float
    outcome: Outcome | None = None
    ended_at: float = float('inf')
    ended: anyio.Event = field(default_factory=anyio.Event)


@dataclass(kw_only=True)
class Process:
    """One process of a daemon."""

    incarnation: int
    gate: Gate = field(default_factory=Gate)
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    tasks: anyio.abc.TaskGroup | None = None
    effects: SideEffects | None = None


@dataclass(kw_only=True)
class Site:
    """Daemons that share a table; `asked` is what clients saw."""

    timers_run_first: bool = True
    """A process that wakes sees its timeouts first, or else answers."""
    table: MemoryTable = field(default_factory=MemoryTable)
    services: MemoryServices = field(default_factory=MemoryServices)
    objects: MemoryObjectStore = field(default_factory=MemoryObjectStore)
    processes: dict[str, Process] = field(default_factory=dict)
    cleans: bool = False
    dead: set[tuple[str, int]] = field(default_factory=set)
    asked: list[Asked] = field(default_factory=list)
    numbers: itertools.count = field(default_factory=itertools.count)

    def is_dead(self, daemon, incarnation) -> bool:
        if (daemon, incarnation) in self.dead:
            return True
        process = self.processes[daemon]
        gate, now = process.gate, anyio.current_time()
        return (
            process.incarnation == incarnation
            and now < gate.paused_until
            and now > gate.paused_since + TIME_TO_TAKE_FOR_DEAD_S
        )

    async def start(self, tasks, daemon: str) -> Process:
        process = Process(incarnation=next(self.numbers) + 1)
        self.processes[daemon] = process
        guard = StoreGuard(metrics=Metrics(), rng=random.Random(1))
        process.effects = SideEffects(
            table=self._gated_table(guard, process.gate),
            objects=guard.objects(self.objects),
            services=Gated(port=self.services, gate=process.gate),
            choose=choose,
            liveness=self,
            daemon=daemon,
            incarnation=process.incarnation,
            wall_clock=anyio.current_time,
            may_clean=lambda: self.cleans,
            rng=random.Random(2),
        )
        await tasks.start(self._run, process)
        return process

    def _gated_table(self, guard: StoreGuard, gate: Gate):
        if self.timers_run_first:
            return guard.table(Gated(port=self.table, gate=gate), mechanism='')
        return Gated(port=guard.table(self.table, mechanism=''), gate=gate)

    async def _run(self, process: Process, *, task_status) -> None:
        with process.scope:
            async with anyio.create_task_group() as tasks:
                process.tasks = tasks
                tasks.start_soon(process.effects.run)
                await anyio.wait_all_tasks_blocked()
                task_status.started()
                await anyio.sleep_forever()

    def kill(self, daemon: str) -> None:
        process = self.processes[daemon]
        process.scope.cancel()
        self.dead.add((daemon, process.incarnation))

    def pause(self, daemon: str, seconds: float) -> None:
        gate = self.processes[daemon].gate
        gate.paused_since = anyio.current_time()
        gate.paused_until = gate.paused_since + seconds

    def ask(self, daemon: str, key: str, body: bytes = b'') -> Asked:
        asked = Asked(
            call=ServiceCall(
                id=RequestId(f'r{next(self.numbers)}'),
                account='a',
                work_class=SIDE_EFFECT,
                service='s',
                method='POST',
                path='/slips',
                headers=(),
                body=body,
                arrived=anyio.current_time(),
                idempotency_key=key,
                is_first=all(
                    key != each.call.idempotency_key for each in self.asked
                ),
            ),
            at=anyio.current_time(),
        )
        self.asked.append(asked)
        process = self.processes[daemon]
        process.tasks.start_soon(self._ask, process, asked)
        return asked

    async def _ask(self, process: Process, asked: Asked) -> None:
        asked.outcome = await process.effects.call(asked.call)
        asked.ended_at = anyio.current_time()
        asked.ended.set()

    async def ask_now(self, daemon: str, key: str, body=b'') -> Outcome:
        asked = self.ask(daemon, key, body)
        await asked.ended.wait()
        return asked.outcome

    def faults(self) -> list[str]:
        """Return what clients saw that the service's record belies."""
        return [
            *self._doubled(),
            *self._ran_though_refused(),
            *self._refused_though_it_ran(),
            *self._answers_that_differ(),
            *self._answered_after_unknown(),
        ]

    def _doubled(self):
        keys = [run.call.idempotency_key for run in self.services.runs]
        return [f'{key} ran twice' for key in {*keys} if keys.count(key) > 1]

    def _ran_though_refused(self):
        ran = {run.call.id for run in self.services.runs}
        return [
            f'{each.call.id} was refused and ran'
            for each in self.asked
            if isinstance(each.outcome, Refused) and each.call.id in ran
        ]

    def _refused_though_it_ran(self):
        return [
            f'{each.call.idempotency_key} had run, then was refused'
            for each in self.asked
            for run in self.services.runs
            if isinstance(each.outcome, Refused)
            and each.outcome.reason is not Reason.CONFLICT
            and run.call.idempotency_key == each.call.idempotency_key
            and run.at < each.at
        ]

    def _answers_that_differ(self):
        answers = {}
        for each in self.asked:
            if isinstance(each.outcome, Answered):
                key = each.call.idempotency_key
                answers.setdefault(key, set()).add(each.outcome.body)
        return [
            f'{key} differs' for key, all in answers.items() if len(all) > 1
        ]

    def _answered_after_unknown(self):
        return [
            f'{later.call.idempotency_key} was unknown, then answered'
            for each in self.asked
            for later in self.asked
            if isinstance(each.outcome, Unknown)
            and isinstance(later.outcome, Answered)
            and each.call.idempotency_key == later.call.idempotency_key
            and later.at > each.ended_at
        ]


async def settle_all(site: Site, daemon: str, keys) -> list[str]:
    """Return the keys that are in doubt long after the last fault."""
    await anyio.sleep(100)
    open_keys = []
    for key in keys:
        outcome = await site.ask_now(daemon, key)
        if isinstance(outcome, InDoubt):
            open_keys.append(f'{key} is still in doubt')
    return open_keys
