"""The whole stand-in platform in one process, on loopback ports."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

import anyio
import anyio.abc
import orjson
from mimosamux_daemon.adapters.http1_exchange import (
    Handler,
    IncomingRequest,
    Reply,
)
from mimosamux_daemon.adapters.http1_server import Http1Server
from mimosamux_daemon.adapters.tcp_network import TcpNetwork
from mimosamux_daemon.domain.routes import TrafficLimits

from mimosamux_standins.program import announce, wait_for_signal
from mimosamux_standins.site.cloud import StandInCloud
from mimosamux_standins.site.documents import (
    SiteDocument,
    engine_fields,
    scaling_fields,
)
from mimosamux_standins.site.replica import (
    Fault,
    Framing,
    ReplicaSpeed,
    Run,
    StandInReplica,
)
from mimosamux_standins.site.replica_process import ReplicaProcess
from mimosamux_standins.site.store import (
    LostWrites,
    StandInStore,
    StoreTrouble,
)

ANY_PORT = '127.0.0.1:0'
ZONES = ('north', 'middle', 'south')
BOOT_S = 4.0
REWRITE_S = 0.2
"""Time after a restore in which the operator and the replicas write again."""
RESTART_S = 2.0
"""Time after which another engine serves in place of one that crashed."""
EXPIRY_S = 3.6
"""Silence after which the entry of a crashed engine is removed."""
RELEASED_S = 3.0
"""Time for which an engine that is replaced serves on."""
MS_PER_S = 1000


def demo_document(engine_slots: int = 8) -> SiteDocument:
    """Return a configuration with each kind of route, and two accounts."""
    document = SiteDocument()
    document.add_service(
        'llm',
        **engine_fields(engine_slots),
        **scaling_fields(dict.fromkeys(ZONES, 1.0)),
    )
    document.add_service('app')
    stream = {'stickySessions': True, 'gapTargetMs': 250}
    document.add_route(
        '/draft/',
        'llm',
        'streaming',
        timeoutMs=15000,
        targetLatencyMs=1000,
        maxAttempts=1,
        **stream,
    )
    document.add_route(
        '/question/', 'llm', 'streaming', streamResume=True, **stream
    )
    document.add_route('/slip/', 'app', 'non_idempotent', maxAttempts=1)
    document.add_route('/list/', 'app', 'idempotent')
    document.add_tenant('school', 'key-school')
    document.add_tenant('office', 'key-office')
    return document


@dataclass(kw_only=True, slots=True)
class SiteHost:
    """Store, cloud and replicas, and a port to spoil them through."""

    tasks: anyio.abc.TaskGroup
    speed: ReplicaSpeed
    engine_slots: int = 8
    engine_factors: Sequence[float] = (1.0,)
    """Factors on the times of engines, which take them in turn."""
    engine_framings: Sequence[Framing] = (Framing.USUAL,)
    """How engines end their answers; they take them in turn."""
    store: StandInStore = field(default_factory=StandInStore)
    cloud: StandInCloud = field(default_factory=StandInCloud)
    document: SiteDocument = field(default_factory=demo_document)
    replicas_by_id: dict[str, StandInReplica] = field(default_factory=dict)
    by_address: dict[str, StandInReplica] = field(default_factory=dict)
    crash_parts: set[str] = field(default_factory=set)
    """Prompt parts that end each engine that writes an answer on them."""
    crashes: list[tuple[float, str]] = field(default_factory=list)
    """Time and engine of each end by a prompt part."""
    hung_ids: list[str] = field(default_factory=list)
    """Replicas whose connections ended before their processes."""
    _process_by_id: dict[str, ReplicaProcess] = field(default_factory=dict)
    _leaves_at_by_id: dict[str, float] = field(default_factory=dict)
    _started: int = 0
    _engines: int = 0

    async def start(self, *, engines: int, apps: int) -> tuple[str, str, str]:
        """Start everything; return where store, cloud and control are."""
        self.cloud.on_order = self._take_order
        store = await self._serve(self.store.handle)
        cloud = await self._serve(self.cloud.handle)
        control = await self._serve(self._control)
        self.store.put('op', 'config', self.document.render())
        for number in range(engines):
            await self._add_engine(ZONES[number % 3])
        for number in range(apps):
            await self.add_replica('app', ZONES[number % 3])
        return store, cloud, control

    async def _add_engine(
        self, zone: str, *, service: str = 'llm', is_reclaimable: bool = False
    ) -> None:
        number = self._engines
        factor = self.engine_factors[number % len(self.engine_factors)]
        framing = self.engine_framings[number % len(self.engine_framings)]
        self._engines += 1
        await self.add_replica(
            service,
            zone,
            slots=self.engine_slots,
            is_reclaimable=is_reclaimable,
            speed=self.speed.slowed(factor),
            framing=framing,
        )

    async def add_replica(
        self,
        service: str,
        zone: str,
        *,
        slots: int = 6,
        is_reclaimable: bool = False,
        speed: ReplicaSpeed | None = None,
        version: str = 'v1',
        framing: Framing = Framing.USUAL,
    ) -> StandInReplica:
        """Start a replica and list it."""
        self._started += 1
        replica = StandInReplica(
            id=f'i-{self._started:04d}',
            service=service,
            zone=zone,
            address='',
            slots=slots,
            speed=speed or self.speed,
            is_reclaimable=is_reclaimable,
            version=version,
            framing=framing,
            by_address=self.by_address,
            crash_parts=self.crash_parts,
            on_crash=self._crash,
        )
        process = ReplicaProcess(replica=replica)
        listener = await TcpNetwork().listen(ANY_PORT)
        self.tasks.start_soon(process.run, listener)
        replica.address = listener.address
        self.replicas_by_id[replica.id] = replica
        self.by_address[replica.address] = replica
        self._process_by_id[replica.id] = process
        self.store.put('servers', replica.id, replica.entry())
        return replica

    async def _serve(self, handler: Handler) -> str:
        server = Http1Server(handler=handler, limits=TrafficLimits)
        listener = await TcpNetwork().listen(ANY_PORT)
        self.tasks.start_soon(listener.serve, server.serve, self.tasks)
        return listener.address

    def _take_order(
        self, service: str, zone: str, is_reclaimable: bool, count: int
    ) -> None:
        there = [
            replica
            for replica in self.replicas_by_id.values()
            if (replica.service, replica.zone, replica.is_reclaimable)
            == (service, zone, is_reclaimable)
            and replica.state == 'ready'
        ]
        for replica in there[count:]:
            replica.state = 'draining'
            self.store.put('servers', replica.id, replica.entry())
        for _ in range(count - len(there)):
            self.tasks.start_soon(self._boot, service, zone, is_reclaimable)

    async def _boot(
        self, service: str, zone: str, is_reclaimable: bool
    ) -> None:
        await anyio.sleep(BOOT_S)
        await self._add_engine(
            zone, service=service, is_reclaimable=is_reclaimable
        )

    async def _control(self, incoming: IncomingRequest, reply: Reply) -> None:
        """Spoil something, or tell what was seen."""
        target = incoming.head.target.decode()
        body = orjson.loads(incoming.body or b'{}')
        commands: dict[str, Callable[[dict[str, object]], object]] = {
            '/store': self._set_store,
            '/store/restore': self._restore_store,
            '/replica': self._set_replica,
            '/replica/hang': self._hang,
            '/replica/succeed': self._succeed,
            '/release': self._begin_release,
            '/revoke': self._revoke,
            '/crash-parts': self._set_crash_parts,
            '/seen': self._tell_seen,
        }
        command = commands.get(target)
        if command is None:
            await reply.answer(404, ())
            return
        await reply.answer(200, (), orjson.dumps(command(body)))

    def _set_store(self, body: dict[str, object]) -> object:
        self.store.trouble = StoreTrouble[str(body['trouble'])]
        return {}

    def _restore_store(self, body: dict[str, object]) -> object:
        lost = self.store.restore(float(str(body['copy_age_s'])))
        self.tasks.start_soon(self._write_again, lost)
        return {'era': self.store.era}

    async def _write_again(self, lost: LostWrites) -> None:
        await anyio.sleep(REWRITE_S)
        self.store.write_again(lost)

    def _set_replica(self, body: dict[str, object]) -> object:
        replica = self.replicas_by_id[str(body['id'])]
        if 'fault' in body:
            replica.fault = Fault[str(body['fault'])]
        if 'framing' in body:
            replica.framing = Framing[str(body['framing'])]
        if 'silent_s' in body:
            silent_s = float(str(body['silent_s']))
            replica.silent_until = anyio.current_time() + silent_s
        if 'brittle_per_s' in body:
            per_s = float(str(body['brittle_per_s']))
            replica.brittle_per_s = per_s or None
        if 'leaves_ms' in body:
            replica.leaves_ms = float(str(body['leaves_ms']))
            left_s = replica.leaves_ms / MS_PER_S
            self._leaves_at_by_id[replica.id] = anyio.current_time() + left_s
        if 'version' in body:
            replica.version = str(body['version'])
        if 'state' in body:
            replica.state = str(body['state'])
        if 'state' in body or 'version' in body:
            self.store.put('servers', replica.id, replica.entry())
        if body.get('crash'):
            replica.state = 'dead'
            self._process_by_id[replica.id].scope.cancel()
        return {}

    def _hang(self, body: dict[str, object]) -> object:
        """End a replica's connections, and its process a while later.

        Another one comes in its place.
        """
        process = self._process_by_id[str(body['id'])]
        process.replica.state = 'dead'
        self.hung_ids.append(process.replica.id)
        process.hang()
        self.tasks.start_soon(
            self._end_later, process, float(str(body['exit_s']))
        )
        return {}

    async def _end_later(self, process: ReplicaProcess, exit_s: float) -> None:
        await anyio.sleep(exit_s)
        process.scope.cancel()
        await self._replace(process.replica)

    def _succeed(self, body: dict[str, object]) -> object:
        """Have another replica hold a listener on; it is not listed."""
        process = self._process_by_id[str(body['id'])]
        before = process.replica
        before.state = 'dead'
        self._started += 1
        successor = StandInReplica(
            id=f'i-{self._started:04d}',
            service=before.service,
            zone=before.zone,
            address=before.address,
            slots=before.slots,
            speed=before.speed,
            framing=before.framing,
            by_address=self.by_address,
        )
        process.replica = successor
        self.replicas_by_id[successor.id] = successor
        self.by_address[successor.address] = successor
        self._process_by_id[successor.id] = process
        process.end_connections()
        return {'id': successor.id}

    def _begin_release(self, body: dict[str, object]) -> object:
        """Start engines of a version, and take those before out of service.

        They say that they leave, or lose their entry without a word.
        """
        is_announced = bool(body['is_announced'])
        engines = [
            replica
            for replica in self.replicas_by_id.values()
            if replica.service == 'llm' and replica.state == 'ready'
        ]
        for engine in engines:
            engine.state = 'draining'
            entry = engine.entry() if is_announced else None
            self.tasks.start_soon(
                self._release, engine, str(body['version']), entry
            )
        return {'engines': len(engines)}

    async def _release(
        self,
        before: StandInReplica,
        version: str,
        entry: dict[str, object] | None,
    ) -> None:
        """Start an engine in the place of another, and end that one later."""
        framings = (Framing.USUAL, Framing.UNFRAMED)
        await self.add_replica(
            'llm',
            before.zone,
            slots=before.slots,
            speed=before.speed,
            version=version,
            framing=framings[self._started % len(framings)],
        )
        self.store.put('servers', before.id, entry)
        await anyio.sleep(RELEASED_S)
        self._process_by_id[before.id].scope.cancel()
        before.state = 'dead'
        self.store.put('servers', before.id, None)

    def _set_crash_parts(self, body: dict[str, object]) -> object:
        """Have prompt parts end each engine that writes an answer on them."""
        parts = body['parts']
        assert isinstance(parts, list)
        self.crash_parts = {str(part) for part in parts}
        for replica in self.replicas_by_id.values():
            replica.crash_parts = self.crash_parts
        return {}

    def _crash(self, replica: StandInReplica, _: Run) -> None:
        """End a replica at once; another one comes in its place."""
        replica.state = 'dead'
        self.crashes.append((anyio.current_time(), replica.id))
        self._process_by_id[replica.id].scope.cancel()
        self.tasks.start_soon(self._replace, replica)

    async def _replace(self, replica: StandInReplica) -> None:
        await anyio.sleep(RESTART_S)
        await self.add_replica(
            replica.service,
            replica.zone,
            slots=replica.slots,
            is_reclaimable=replica.is_reclaimable,
            speed=replica.speed,
            framing=replica.framing,
        )
        await anyio.sleep(EXPIRY_S - RESTART_S)
        self.store.put('servers', replica.id, None)

    def _revoke(self, body: dict[str, object]) -> object:
        for tenant in self.document.tenants:
            keys = tenant['apiKeys']
            assert isinstance(keys, list)
            tenant['apiKeys'] = [key for key in keys if key != body['key']]
        self.document.version += 1
        self.store.put('op', 'config', self.document.render())
        return {'version': self.document.version}

    def _tell_seen(self, body: dict[str, object]) -> object:
        return {
            'now': anyio.current_time(),
            'runs': [
                {
                    'id': run.id,
                    'target': run.target,
                    'tenant': run.tenant,
                    'replica': run.replica,
                    'is_moved': bool(run.kv_source),
                    'version': run.version,
                    'resumes': run.resumes,
                    'resumed_behind': run.resumed_behind,
                    'began_at': run.began_at,
                    'ended_at': run.ended_at,
                    'events': run.events,
                }
                for replica in self.replicas_by_id.values()
                for run in replica.runs
            ],
            'replicas': [
                {
                    'id': replica.id,
                    'service': replica.service,
                    'state': replica.state,
                    'leaves_at': self._leaves_at_by_id.get(replica.id),
                    'is_reclaimable': replica.is_reclaimable,
                    'open': sum(run.ended_at is None for run in replica.runs),
                }
                for replica in self.replicas_by_id.values()
            ],
            'arrivals': [
                {
                    'id': id_,
                    'replica': replica.id,
                    'at': at,
                    'is_accepted': id_ in replica.accepted_ids,
                }
                for replica in self.replicas_by_id.values()
                for at, id_ in replica.arrivals
            ],
            'crashes': [
                {'at': at, 'replica': id_} for at, id_ in self.crashes
            ],
            'hung': self.hung_ids,
            'duty_calls': [
                {
                    'path': call.path,
                    'holder': call.holder,
                    'fencing': call.fencing,
                    'body': call.body,
                    'is_taken': call.is_taken,
                }
                for call in self.cloud.calls
            ],
            'store_calls': self.store.calls,
        }


def serve(
    engines: int = 3,
    apps: int = 3,
    events: int = 12,
    events_by_prefix: Mapping[str, int] | None = None,
    event_s: float = 0.05,
    work_s: float = 0.03,
    token_s: float = 1e-5,
    engine_slots: int = 8,
    engine_factors: Sequence[float] = (1.0,),
    engine_framings: Sequence[str] = (Framing.USUAL.name,),
) -> None:
    """Run the stand-in platform until SIGTERM or Ctrl-C."""
    speed = ReplicaSpeed(
        events=events,
        events_by_prefix=events_by_prefix or {},
        event_s=event_s,
        work_s=work_s,
        token_s=token_s,
    )
    anyio.run(
        _serve,
        engines,
        apps,
        speed,
        engine_slots,
        engine_factors,
        [Framing[name] for name in engine_framings],
    )


async def _serve(
    engines: int,
    apps: int,
    speed: ReplicaSpeed,
    engine_slots: int,
    engine_factors: Sequence[float],
    engine_framings: Sequence[Framing],
) -> None:
    async with anyio.create_task_group() as tasks:
        host = SiteHost(
            tasks=tasks,
            speed=speed,
            engine_slots=engine_slots,
            engine_factors=engine_factors,
            engine_framings=engine_framings,
            document=demo_document(engine_slots),
        )
        store, cloud, control = await host.start(engines=engines, apps=apps)
        announce(f'listening {store} {cloud}', control)
        await wait_for_signal(tasks.cancel_scope.cancel)
