"""Contenders for a lease, each with its own trouble with the table."""

import random
from dataclasses import dataclass, field

import anyio
from mimosamux_daemon.adapters.memory_table import MemoryTable
from mimosamux_daemon.control.lease_keeper import LeaseKeeper
from mimosamux_daemon.control.leases import Lease, LeasePolicy, LeaseTable
from mimosamux_daemon.domain.names import DaemonId
from mimosamux_daemon.domain.store import Unavailable

POLICY = LeasePolicy()
ORDER_DELAY_S = 9.5
"""Longest time an order is under way; the policy allows for 10 s."""


@dataclass(kw_only=True)
class TroubledTable:
    """The way of one contender to the table they share."""

    table: MemoryTable
    is_cut: bool = False
    loses_answers: bool = False
    request_delay_s: float = 0.0
    answer_delay_s: float = 0.0
    thawed: anyio.Event = field(default_factory=anyio.Event)

    async def read(self, key):
        return await self._pass_on(self.table.read, key)

    async def scan(self, prefix, *, after='', limit=1000):
        return await self.table.scan(prefix, after=after, limit=limit)

    async def commit(self, checks, writes):
        return await self._pass_on(self.table.commit, checks, writes)

    async def _pass_on(self, call, *args):
        await self.thawed.wait()
        if self.is_cut:
            return Unavailable(reason='cut', may_have_taken_effect=False)
        await anyio.sleep(self.request_delay_s)
        answer = await call(*args)
        await anyio.sleep(self.answer_delay_s)
        await self.thawed.wait()
        if self.loses_answers:
            return Unavailable(reason='lost', may_have_taken_effect=True)
        return answer


@dataclass(frozen=True, kw_only=True)
class Act:
    """One order that reached an endpoint."""

    at: float
    holder: str
    fencing: int


@dataclass(kw_only=True)
class Contender:
    """A daemon that wants the lease and acts while it holds it."""

    name: str
    way: TroubledTable
    acts: list[Act]
    arrivals: list[Act]
    randomness: random.Random
    checks_lease: bool = True
    lease_table_type: type[LeaseTable] = LeaseTable
    keeper_type: type[LeaseKeeper] = LeaseKeeper
    policy: LeasePolicy = POLICY

    def build_keeper(self) -> LeaseKeeper:
        return self.keeper_type(
            leases=self.lease_table_type(
                table=self.way,
                name='planner/north',
                holder=DaemonId(self.name),
                incarnation=1,
                wall_clock=lambda: 0.0,
                policy=self.policy,
            ),
            policy=self.policy,
            randomness=self.randomness,
        )

    async def run(self) -> None:
        await self.build_keeper().run(self._act_while_held)

    async def _act_while_held(self, lease: Lease) -> None:
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.sleep(self.randomness.uniform(0.2, 3.0))
                with anyio.CancelScope(shield=True):
                    await self.way.thawed.wait()
                    if lease.is_valid() or not self.checks_lease:
                        self._act(lease, tasks)

    def _act(self, lease: Lease, tasks) -> None:
        act = Act(
            at=anyio.current_time(), holder=self.name, fencing=lease.fencing
        )
        self.acts.append(act)
        tasks.start_soon(self._arrive, act)

    async def _arrive(self, act: Act) -> None:
        with anyio.CancelScope(shield=True):
            await anyio.sleep(self.randomness.choice((0.0, ORDER_DELAY_S)))
            self.arrivals.append(act)


def find_overlap(acts: list[Act]) -> Act | None:
    """Return an act of an older holder after one of a newer holder."""
    highest = 0
    for act in acts:
        if act.fencing < highest:
            return act
        highest = max(highest, act.fencing)
    return None
