"""Random troubles on a site under steady work, and a log of what was sent."""

import random
from contextlib import suppress
from dataclasses import dataclass, field

import anyio
from hypothesis import strategies as st
from mimosamux_daemon.gateway.limits.caps import CapRules
from mimosamux_standins.site import Fault, Framing, ReplicaSpeed
from mimosamux_standins.site.caller import last_event_id
from mimosamux_standins.site.store import StoreTrouble

from tests.support.memory_network import machine_of
from tests.support.platform_site import (
    CLOUD,
    STORE,
    ZONES,
    Partition,
    default_document,
    open_site,
)

EVENTS = 6
STREAM_HEADERS = (
    (b'X-Model', b'm'),
    (b'X-Token-Usage', b'400,80'),
)
TARGETS = ('/slip/%d', '/list/%d', '/draft/%d', '/question/%d')
FRAMINGS = (
    Framing.USUAL,
    Framing.UNFRAMED,
    Framing.ENDLESS_HEAD,
    Framing.ENDLESS_BODY,
    Framing.ENDLESS_EVENT,
)
"""Framings that seeds draw from; a further one would change what they draw."""
MOST_TAKE_UPS = 4
"""Of one stream that goes on each time and breaks off again."""
CAP = 30.0


@dataclass(frozen=True, kw_only=True)
class Sent:
    """A request as its caller sent it."""

    at: float
    method: str
    target: str
    body: bytes
    key: str
    events: int = EVENTS
    behind: int = 0
    """Events that an earlier attempt brought."""

    @property
    def is_stream(self):
        return self.target.startswith(('/draft/', '/question/'))

    @property
    def service(self):
        return 'llm' if self.is_stream else 'app'


@dataclass(kw_only=True)
class ScheduleLog:
    """What was sent and done, for the checks."""

    sent_by_id: dict = field(default_factory=dict)
    callers: list = field(default_factory=list)
    account_by_key: dict = field(default_factory=dict)
    revoked_at_by_key: dict = field(default_factory=dict)
    drained_at_by_id: dict = field(default_factory=dict)
    troubled: list = field(default_factory=list)
    """Beginning and end of each time of trouble with network or store."""
    reverted: list = field(default_factory=list)

    def answers(self):
        return [
            answer
            for caller in self.callers
            for answer in caller.answers
            if answer.id in self.sent_by_id
        ]

    def is_calm(self, at, seconds):
        return not any(
            start <= at and (end is None or end > at - seconds)
            for start, end in self.troubled
        )


def seed_for(fault, service, *, spares):
    """Return the number with which `spoil_service` does just this."""
    for number in range(10_000):
        rng = random.Random(number)
        drawn = rng.choice(list(Fault)), rng.choice(['app', 'llm'])
        if drawn == (fault, service) and rng.randrange(2) == spares:
            return number
    raise LookupError(fault)


@st.composite
def schedules(draw):
    """Return a list of pauses and troubles."""
    count = draw(st.integers(4, 14))
    return [
        (
            draw(st.sampled_from([0.0, 0.05, 0.3, 1.0, 2.5])),
            draw(st.sampled_from(sorted(ACTIONS))),
            draw(st.integers(0, 2**16)),
        )
        for _ in range(count)
    ]


class SiteRun:
    """One site under work and troubles."""

    def __init__(self, site, seed):
        self.site = site
        self.log = ScheduleLog()
        self.rng = random.Random(seed)
        self.versions = {}
        for tenant in site.document.tenants:
            for key in tenant['apiKeys']:
                self.log.account_by_key[key] = tenant['name']

    async def work(self, pause_s):
        """Send requests of every kind, with the retries that are allowed."""
        async with anyio.create_task_group() as tasks:
            number = 0
            while True:
                number += 1
                tasks.start_soon(self.send, number)
                await anyio.sleep(pause_s * self.rng.uniform(0.5, 1.5))

    async def send(self, number):
        target = self.rng.choice(TARGETS) % number
        key = self.rng.choice(['key-school', 'key-office'])
        caller = self.site.caller(key)
        if self.rng.random() < 0.1:
            caller.leaves_after_s = self.rng.uniform(0.01, 0.5)
        self.log.callers.append(caller)
        for _ in range(2):
            answer = await self.send_once(caller, target, key)
            if answer.status == 200 and target.startswith('/question/'):
                await self.take_up(caller, target, key, answer)
            if answer.status is None or answer.status < 500:
                return
            if answer.status == 503 and answer.retry_after_s is not None:
                await anyio.sleep(min(answer.retry_after_s, 1.0))
            elif not target.startswith('/list/'):
                return

    async def take_up(self, caller, target, key, broken):
        """Take a stream up at any daemon behind each break."""
        answer, behind = broken, int(last_event_id(broken.body) or 0)
        for _ in range(MOST_TAKE_UPS):
            if answer.is_whole or answer.status != 200 or not behind:
                return
            taken_up = (
                (b'Last-Event-Id', b'%d' % behind),
                (b'Resumes', broken.id.encode()),
            )
            answer = await self.send_once(
                caller, target, key, taken_up, behind=behind
            )
            if answer.status == 200:
                behind = int(last_event_id(answer.body) or behind)

    async def send_once(self, caller, target, key, added=(), **fields):
        daemon = self.rng.choice(self.site.daemons)
        id_ = f'{self.rng.getrandbits(60):015x}'
        method = 'GET' if target.startswith('/list/') else 'POST'
        body = b'' if method == 'GET' else b'body of ' + target.encode()
        sent = Sent(
            at=anyio.current_time(),
            method=method,
            target=target,
            body=body,
            key=key,
            **fields,
        )
        self.log.sent_by_id[id_] = sent
        parts = f'aa{self.rng.randrange(3)}:200,bb{id_}:200'
        prompt = (b'X-Prompt-Prefix', parts.encode())
        headers = (*STREAM_HEADERS, prompt, *added)
        return await caller.send(
            daemon.entry,
            target,
            method=method,
            body=body,
            headers=headers if sent.is_stream else (),
            id_=id_,
        )

    async def watch(self):
        """Note a version that comes back within one life of a daemon."""
        while True:
            await anyio.sleep(0.05)
            for handle in self.site.daemons:
                version = handle.daemon.parts.configuration.current.version
                lifetime = handle.daemon.parts.states.incarnation
                before = self.versions.get(lifetime, 0)
                if version < before:
                    self.log.reverted.append(f'{before} became {version}')
                self.versions[lifetime] = max(before, version)

    async def act(self, name, number):
        """Bring about one trouble, or an operator's change."""
        await ACTIONS[name](self, random.Random(number))

    def begin_trouble(self):
        self.log.troubled.append((anyio.current_time(), None))

    def end_troubles(self):
        now = anyio.current_time()
        self.log.troubled = [
            (start, now if end is None else end)
            for start, end in self.log.troubled
        ]

    def pick_daemon(self, rng):
        return rng.randrange(len(self.site.daemons))

    def pick_replica(self, rng):
        return rng.choice(
            [
                replica
                for replica in self.site.replicas_by_id.values()
                if replica.state == 'ready'
            ]
        )


async def cut_store(run, rng):
    run.begin_trouble()
    machine = run.site.daemons[run.pick_daemon(rng)].machine
    is_one_way = rng.random() < 0.3
    run.site.network.cut(machine, machine_of(STORE), one_way=is_one_way)


async def cut_daemons(run, rng):
    run.begin_trouble()
    first, second = run.pick_daemon(rng), run.pick_daemon(rng)
    if first != second:
        machines = [run.site.daemons[n].machine for n in (first, second)]
        run.site.network.cut(*machines)


async def cut_replica(run, rng):
    run.begin_trouble()
    machine = run.site.daemons[run.pick_daemon(rng)].machine
    run.site.network.cut(machine, machine_of(run.pick_replica(rng).address))


async def partition_from_endpoints(run, rng):
    """Cut a daemon from all endpoints there are, and from nothing else."""
    run.begin_trouble()
    partition = rng.choice(list(Partition))
    run.site.partition_from_endpoints(run.pick_daemon(rng), partition)


async def make_brittle(run, rng):
    """Have a service say that its endpoints are brittle, or no more."""
    service, per_s = rng.choice(['app', 'llm']), rng.choice([None, 2.0, 5.0])
    for replica in run.site.replicas_by_id.values():
        if replica.service == service:
            replica.brittle_per_s = per_s


async def silence_replica(run, rng):
    """Have a replica stand still for a second or so."""
    silent_s = rng.choice([0.6, 1.0, 1.5])
    replica = run.pick_replica(rng)
    replica.silent_until = anyio.current_time() + silent_s


async def isolate(run, rng):
    run.begin_trouble()
    number = run.pick_daemon(rng)
    alone = run.site.daemons[number].machine
    run.site.network.cut(alone, machine_of(STORE))
    run.site.network.cut(alone, machine_of(CLOUD))
    run.site.cut_from_peers(number)


async def heal(run, rng):
    run.site.network.heal()
    run.site.store.trouble = StoreTrouble.NONE
    run.site.store.lost_answers = 0.0
    run.site.cloud.is_silent = False
    run.end_troubles()


async def reset_connections(run, rng):
    machine = run.site.daemons[run.pick_daemon(rng)].machine
    run.site.network.reset(
        lambda each: each.here == machine and rng.random() < 0.5
    )


async def kill(run, rng):
    run.begin_trouble()
    number = run.pick_daemon(rng)
    run.site.kill_daemon(number, in_order=rng.random() < 0.5)


async def kill_all(run, rng):
    run.begin_trouble()
    for number in range(len(run.site.daemons)):
        run.site.kill_daemon(number, in_order=rng.random() < 0.5)


async def kill_holder(run, rng):
    """Kill the daemon that holds the duties."""
    for number, handle in enumerate(run.site.daemons):
        if handle.daemon.parts.duties.held is not None:
            run.begin_trouble()
            run.site.kill_daemon(number)
            return


async def cut_holder_from_peers(run, rng):
    """Cut the holder of the duties from all daemons, and from nothing else."""
    run.begin_trouble()
    for number, handle in enumerate(run.site.daemons):
        if handle.daemon.parts.duties.held is not None:
            run.site.cut_from_peers(number)


async def restart(run, rng):
    for number, handle in enumerate(run.site.daemons):
        if handle.ended.is_set():
            await run.site.start_daemon(number).wait()


async def stop(run, rng):
    run.begin_trouble()
    run.site.daemons[run.pick_daemon(rng)].daemon.stop()


async def trouble_store(run, rng):
    run.begin_trouble()
    run.site.store.trouble = rng.choice(
        [StoreTrouble.BUSY, StoreTrouble.SILENT, StoreTrouble.RESET]
    )


async def lose_store_answers(run, rng):
    run.begin_trouble()
    run.site.store.lost_answers = 0.4
    run.site.store.late_s = rng.choice([0.0, 3.0])


async def forget_history(run, rng):
    run.site.store.forget_history()


async def restore_store(run, rng):
    """Have the store come back from a copy that is some seconds old."""
    started_at = anyio.current_time()
    index = len(run.log.troubled)
    run.begin_trouble()
    await run.site.restore_store(
        copy_age_s=rng.choice([0.5, 2.0, 6.0]),
        away_s=rng.choice([0.2, 1.0, 2.5]),
        trouble=rng.choice([StoreTrouble.RESET, StoreTrouble.SILENT]),
    )
    run.log.troubled[index] = (started_at, anyio.current_time())


async def silence_cloud(run, rng):
    run.site.cloud.is_silent = True


async def spoil_replica(run, rng):
    run.pick_replica(rng).fault = rng.choice(list(Fault))


async def spoil_service(run, rng):
    """Spoil all replicas of a service but one in the same way."""
    fault, service = rng.choice(list(Fault)), rng.choice(['app', 'llm'])
    replicas = [
        replica
        for replica in run.site.replicas_by_id.values()
        if replica.service == service
    ]
    for replica in replicas[rng.randrange(2) :]:
        replica.fault = fault


async def slow_replica(run, rng):
    run.pick_replica(rng).speed = ReplicaSpeed(
        work_s=rng.choice([0.3, 1.0, 4.0]), event_s=rng.choice([0.1, 0.6])
    )


async def crash_replica(run, rng):
    replica = run.pick_replica(rng)
    replica.state = 'dead'
    run.site.crash_replica(replica, in_order=rng.random() < 0.5)
    run.site.tasks.start_soon(unlist_later, run, replica)
    await run.site.add_replica(replica.service, replica.zone)


async def crash_by_part(run, rng):
    """Have a prompt part, which a third of the streams share, crash engines.

    What crashes is replaced.
    """
    part = f'aa{rng.randrange(3)}'

    def crash(replica, _):
        run.site.crash_replica(replica)
        run.site.tasks.start_soon(replace, replica)

    async def replace(replica):
        await anyio.sleep(2.0)
        arm(await run.site.add_replica(replica.service, replica.zone))
        await unlist_later(run, replica)

    def arm(replica):
        replica.crash_parts, replica.on_crash = {part}, crash

    for replica in tuple(run.site.replicas_by_id.values()):
        arm(replica)


async def change_framing(run, rng):
    """Have a replica end its answers in another way, or not at all."""
    run.pick_replica(rng).framing = rng.choice(FRAMINGS)


async def bring_in_version(run, rng):
    """Start engines of another software version beside the others."""
    for _ in range(rng.choice([1, 2])):
        version = rng.choice(['v1', 'v2', 'v3'])
        zone = rng.choice(ZONES)
        await run.site.add_replica('llm', zone, slots=8, version=version)


async def release_and_kill_all(run, rng):
    """Replace the engines by those of another version; kill all daemons."""
    old = [
        replica
        for replica in run.site.replicas_by_id.values()
        if replica.service == 'llm' and replica.state == 'ready'
    ]
    version = f'v{rng.randrange(4, 9)}'
    is_announced = rng.random() < 0.5
    for replica in old:
        await run.site.add_replica(
            'llm', replica.zone, slots=8, version=version
        )
        if is_announced:
            run.site.drain_replica(replica)
        else:
            replica.state = 'draining'
            run.site.unlist_replica(replica)
        run.log.drained_at_by_id[replica.id] = anyio.current_time()
    await anyio.sleep(rng.choice([0.0, 0.3, 1.5]))
    run.begin_trouble()
    for number in range(rng.randrange(2), len(run.site.daemons)):
        run.site.kill_daemon(number, in_order=rng.random() < 0.5)
    await anyio.sleep(0.4)
    await restart(run, rng)


async def drain_replica(run, rng):
    replica = run.pick_replica(rng)
    replica.leaves_ms = rng.choice([None, 2000.0, 500.0])
    await run.site.add_replica(replica.service, replica.zone)
    run.site.drain_replica(replica)
    run.log.drained_at_by_id[replica.id] = anyio.current_time()


async def reuse_address(run, rng):
    """End a replica; another service gets its address."""
    replica = run.pick_replica(rng)
    other = 'app' if replica.service == 'llm' else 'llm'
    replica.state = 'dead'
    run.site.crash_replica(replica)
    await run.site.add_replica(replica.service, replica.zone)
    heir = await run.site.add_replica(other, replica.zone)
    await run.site.serve(replica.address, heir.handle)
    run.site.tasks.start_soon(unlist_later, run, replica)


async def unlist_later(run, replica):
    """Take a dead replica's entry away, as the platform does in time."""
    await anyio.sleep(3.6)
    run.site.unlist_replica(replica)


async def add_route(run, rng):
    number = rng.randrange(10**6)
    run.site.document.add_route(f'/new{number}/', 'app', 'idempotent')
    run.site.change_configuration()


async def revoke_key(run, rng):
    key = 'key-office'
    for tenant in run.site.document.tenants:
        if key in tenant['apiKeys']:
            tenant['apiKeys'] = []
            run.site.change_configuration()
            run.log.revoked_at_by_key[key] = anyio.current_time()


async def jump_clock(run, rng):
    handle = run.site.daemons[run.pick_daemon(rng)]
    handle.wall_offset_s = rng.choice([-3.0, 2.0, 40.0])


async def flood(run, rng):
    """One account sends many times what it may."""
    run.site.tasks.start_soon(_flood, run, rng.getrandbits(32))


async def _flood(run, seed):
    rng = random.Random(seed)
    caller = run.site.caller('key-school')
    run.log.callers.append(caller)
    async with anyio.create_task_group() as tasks:
        for number in range(150):
            target = f'/slip/{rng.getrandbits(20)}{number}'
            tasks.start_soon(run.send_once, caller, target, 'key-school')
            await anyio.sleep(0.01)


ACTIONS = {
    action.__name__: action
    for action in (
        cut_store,
        cut_daemons,
        cut_replica,
        partition_from_endpoints,
        make_brittle,
        silence_replica,
        isolate,
        heal,
        reset_connections,
        kill,
        kill_all,
        kill_holder,
        cut_holder_from_peers,
        restart,
        stop,
        trouble_store,
        lose_store_answers,
        forget_history,
        restore_store,
        silence_cloud,
        spoil_replica,
        spoil_service,
        slow_replica,
        crash_replica,
        crash_by_part,
        change_framing,
        bring_in_version,
        release_and_kill_all,
        drain_replica,
        reuse_address,
        add_route,
        revoke_key,
        jump_clock,
        flood,
    )
}


async def play(schedule, *, seed=1, daemons=3, pause_s=0.05, last_s=14.0):
    """Play a schedule; return the site and its log."""
    document = default_document()
    document.tenants[0] |= {'ratePerS': CAP, 'burst': CAP}
    rules = CapRules(window_s=8.0, overage=0.1, tolerance=30.0)
    async with open_site(
        daemons=daemons, document=document, caps=rules
    ) as site:
        run = SiteRun(site, seed)
        with suppress(TimeoutError):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(run.work, pause_s)
                tasks.start_soon(run.watch)
                await anyio.sleep(2)
                for wait_s, name, number in schedule:
                    await anyio.sleep(wait_s)
                    await run.act(name, number)
                await anyio.sleep(2)
                await run.act('heal', 0)
                await run.act('restart', 0)
                await anyio.sleep(last_s)
                tasks.cancel_scope.cancel()
        await anyio.sleep(5)
        return site, run.log
