"""A stream is taken on at engines that run other weights."""

import asyncio
import pathlib
import sys
from collections import Counter
from dataclasses import dataclass, field

from mimosamux_standins.site import StandInReplica
from mimosamux_standins.site.documents import engine_fields
from small_site import TROUBLE, Site, run_case, send_request

STREAM = 'question'
EVENTS = 100
EVENT_S = 0.05
SLOTS = 64
EXPIRY_S = 3.6
"""Three heartbeat intervals of 1.2 s."""
PLAIN = 3
OLD, NEW = 1, 2
REQUESTS = 2400
"""Of each kind of request."""
PAUSE_S = 0.02
CRASH_BEHIND = 230
LEAST_SHARE = 0.25
"""Of the share of all requests that are served."""


@dataclass(kw_only=True)
class Engine:
    """A replica that generates events with one version of the weights."""

    id: str
    weights: int
    site: Site
    runs: list[str] = field(default_factory=list)
    misdirected: int = 0
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    server: asyncio.Server | None = None
    slots: asyncio.Semaphore = field(
        default_factory=lambda: asyncio.Semaphore(SLOTS)
    )

    async def start(self) -> None:
        """Listen, and be listed."""
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        self.site.list_replica(
            self.id,
            'llm',
            f'127.0.0.1:{port}',
            slots=SLOTS,
            phase='unified',
            models=[{'name': 'm', 'version': self.weights, 'adapters': []}],
        )

    async def crash(self) -> None:
        """End listener and channels; the entry goes three heartbeats later."""
        self.site.record.add(f'{self.id} crashes')
        assert self.server is not None
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()
        await asyncio.sleep(EXPIRY_S)
        self.site.store.put('servers', self.id, None)
        self.site.record.add(f'the entry of {self.id} is removed')

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a channel until it ends."""
        self.writers.add(writer)
        try:
            while True:
                await self._answer(*await self._read(reader), writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _read(
        self, reader: asyncio.StreamReader
    ) -> tuple[str, dict[str, str]]:
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        first, *lines = head.rstrip('\r\n').split('\r\n')
        pairs = [line.partition(':') for line in lines]
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        await reader.readexactly(int(headers.get('content-length', '0')))
        return first.split()[1], headers

    async def _answer(
        self,
        path: str,
        headers: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> None:
        if path in ('/api/report', '/healthz'):
            report = b'{"phase":"unified","busy":false,"sequence":1}'
            head = f'X-Replica-Id: {self.id}\r\nContent-Length: {len(report)}'
            writer.write(b'HTTP/1.1 200 OK\r\n' + head.encode())
            writer.write(b'\r\n\r\n' + report)
            return
        id_ = headers.get('x-attempt-id', '')
        if not id_:
            # No run is moved here: the service says that none can be.
            self.site.record.add(f'{self.id}: 400 to {path}')
            writer.write(
                b'HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\n'
                b'Content-Length: 0\r\n\r\n'
            )
            return
        expected = headers.get('x-expected-version')
        if headers.get('x-expected-replica', self.id) != self.id or (
            expected not in (None, str(self.weights))
        ):
            self.misdirected += 1
            self.site.record.add(
                f'{self.id}, weights {self.weights}: 421 to {id_}, '
                f'which expects weights {expected}'
            )
            writer.write(
                f'HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: {id_}\r\n'
                f'X-Replica-Id: {self.id}\r\nX-Not-Executed: 1\r\n'
                'Content-Length: 0\r\n\r\n'.encode()
            )
            return
        async with self.slots:
            behind = int(headers.get('last-event-id', '0'))
            await self._stream(id_, behind, writer)

    async def _stream(
        self, id_: str, behind: int, writer: asyncio.StreamWriter
    ) -> None:
        self.runs.append(id_)
        writer.write(
            f'HTTP/1.1 200 OK\r\nX-Attempt-Id: {id_}\r\n'
            f'X-Replica-Signature: s.{id_}\r\n'
            f'X-Weight-Versions: {self.weights}\r\n'
            'Content-Type: text/event-stream\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'.encode()
        )
        for number in range(behind + 1, EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            event = f'id: {number}\ndata: {id_}\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
        writer.write(b'0\r\n\r\n')


def render(path: str, id_: str) -> bytes:
    """Return a client's request."""
    prompt = 'X-Model: m\r\nX-Token-Usage: 100,50\r\n'
    return (
        f'POST /{path}/1 HTTP/1.1\r\nHost: site.example\r\n'
        f'X-Attempt-Id: {id_}\r\n{prompt if path == STREAM else ""}'
        f'X-Deadline-Ms: 8000\r\nX-Key: key-school\r\n'
        f'Content-Length: 4\r\n\r\nask?'
    ).encode()


async def ask(site: Site, path: str, number: int, answers: dict) -> None:
    """Send a request, once, and note how it was answered."""
    id_ = f'{path}-{number}'
    daemon = site.daemons[number % len(site.daemons)]
    answer = await send_request(
        daemon.entry, render(path, id_), patience_s=9.0
    )
    answers[path].append(answer.status)
    site.record.add(f'{id_} at {daemon.name} answered {answer.status}')


async def start_replicas(site: Site) -> list[Engine]:
    """Start plain replicas and engines; return the engines."""
    for number in range(PLAIN):
        replica = StandInReplica(
            id=f'a-{number}', service='app', zone='north', address=''
        )
        replica.address = await site.serve(replica.handle)
        site.list_replica(replica.id, 'app', replica.address)
    engines = [
        Engine(id=f'i-{number}', weights=weights, site=site)
        for number, weights in enumerate((OLD, NEW, NEW, NEW))
    ]
    for engine in engines:
        await engine.start()
    return engines


def configure(site: Site) -> None:
    """Describe services, routes and a client account."""
    fields = engine_fields(SLOTS)
    fields['inferenceEngine'] |= {'migrations': False, 'backups': False}
    site.document.add_service('llm', **fields)
    site.document.add_service('app')
    site.document.add_route(
        f'/{STREAM}/',
        'llm',
        'streaming',
        timeoutMs=8000,
        streamResume=True,
        stickySessions=True,
        gapTargetMs=250,
        maxAttempts=2,
    )
    site.document.add_route('/list/', 'app', 'idempotent')
    site.document.add_tenant('school', 'key-school')


def judge(site: Site, answers: dict[str, list[int]]) -> bool:
    """Record the shares served; return whether no kind is starved."""
    shares = {}
    for path, statuses in answers.items():
        shares[path] = statuses.count(200) / len(statuses)
        site.record.add(f'{path}: {dict(Counter(statuses))}')
    both = [status for each in answers.values() for status in each]
    share = both.count(200) / len(both)
    site.record.add(
        f'served: all {share:.3f}, {STREAM} {shares[STREAM]:.3f}; '
        f'starved below {share * LEAST_SHARE:.3f}'
    )
    return shares[STREAM] >= share * LEAST_SHARE


async def case(site: Site) -> bool:
    """Return whether streams are served beside a crash."""
    configure(site)
    await site.start()
    engines = await start_replicas(site)
    await site.start_daemons(3)
    answers: dict[str, list[int]] = {STREAM: [], 'list': []}
    async with asyncio.TaskGroup() as tasks:
        for number in range(REQUESTS):
            for path in answers:
                tasks.create_task(ask(site, path, number, answers))
            await asyncio.sleep(PAUSE_S)
            if TROUBLE and number == CRASH_BEHIND:
                tasks.create_task(engines[0].crash())
    misdirected = sum(engine.misdirected for engine in engines)
    site.record.add(f'{misdirected} times 421')
    return judge(site, answers)


if __name__ == '__main__':
    sys.exit(run_case(case, pathlib.Path(__file__).parent))
