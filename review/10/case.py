"""Streams of a machine that went dark are refused until their time is over."""

import asyncio
import pathlib
import signal
import sys
import time
from dataclasses import dataclass, field

from mimosamux_standins.site.documents import engine_fields
from small_site import TROUBLE, Daemon, Site, run_case

DAEMONS = 14
ENGINES = 3
SLOTS = 64
EVENTS = 90
EVENT_S = 0.1
STREAMS = 16
NEW_STREAMS = 30
NEW_PAUSE_S = 0.3
PATIENCE_S = 2.0
"""Gap in a stream behind which a client gives it up."""
CONNECT_S = 1.0
LIMIT_S = 15.0
RETRY_S = 0.2
SETTLE_S = 3.0
DARK_BEHIND_S = 2.5
LISTED_BEHIND_S = 1.0
DARK_S = 3.5


@dataclass(kw_only=True)
class Engine:
    """A replica of one software version; all have the same weights."""

    id: str
    version: str
    site: Site

    async def start(self) -> None:
        """Listen, and be listed."""
        server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        self.site.list_replica(
            self.id,
            'llm',
            f'127.0.0.1:{port}',
            slots=SLOTS,
            version=self.version,
            phase='unified',
            models=[{'name': 'm', 'version': 1, 'adapters': []}],
        )

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a channel until it ends."""
        try:
            while True:
                await self._answer(await self._read(reader), writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _read(self, reader: asyncio.StreamReader) -> dict[str, str]:
        headers = await read_head(reader)
        await reader.readexactly(int(headers.get('content-length', '0')))
        return headers

    async def _answer(
        self, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        id_ = headers.get('x-attempt-id')
        if id_ is None:
            report = b'{"phase":"unified","busy":false,"sequence":1}'
            head = f'X-Replica-Id: {self.id}\r\nContent-Length: {len(report)}'
            writer.write(b'HTTP/1.1 200 OK\r\n' + head.encode())
            writer.write(b'\r\n\r\n' + report)
            return
        if headers.get('x-expected-replica', self.id) != self.id:
            writer.write(
                f'HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: {id_}\r\n'
                'X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'.encode()
            )
            return
        writer.write(
            f'HTTP/1.1 200 OK\r\nX-Attempt-Id: {id_}\r\n'
            f'X-Replica-Signature: s.{id_}\r\nX-Weight-Versions: 1\r\n'
            'Content-Type: text/event-stream\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'.encode()
        )
        behind = int(headers.get('last-event-id', '0'))
        for number in range(behind + 1, EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            event = f'id: {number}\ndata: {self.version}\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
        writer.write(b'0\r\n\r\n')


async def read_head(reader: asyncio.StreamReader) -> dict[str, str]:
    """Return the headers of a message; its first line is under ''."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.rstrip('\r\n').split('\r\n')
    pairs = [line.partition(':') for line in lines]
    return {'': first} | {
        name.lower(): value.strip() for name, _, value in pairs
    }


@dataclass(kw_only=True)
class Stream:
    """One stream of a client, over its attempts."""

    site: Site
    id: str
    events: int = 0
    versions: set[str] = field(default_factory=set)
    is_complete: bool = False
    tries: int = 0
    has_begun_at_first: bool = False
    is_taken_up: bool = False
    has_gone_on: bool = False
    began_as: str = ''
    """Attempt that brought the first event."""

    async def run(self, daemons: list[Daemon]) -> None:
        """Ask for the stream; take it up at other daemons if it breaks."""
        until = time.monotonic() + LIMIT_S
        while not self.is_complete and time.monotonic() < until - RETRY_S:
            daemon = daemons[self.tries % len(daemons)]
            self.is_taken_up = self.is_taken_up or self.events > 0
            status, wait_s = await self._try(daemon, until)
            self.site.record.add(
                f'{self.id} try {self.tries} at {daemon.name}: '
                f'{status}, {self.events} events'
            )
            if not self.is_complete:
                await asyncio.sleep(wait_s)

    async def _try(self, daemon: Daemon, until: float) -> tuple[str, float]:
        """Make one attempt; return its end and the time to wait."""
        self.tries += 1
        try:
            async with asyncio.timeout(CONNECT_S):
                reader, writer = await asyncio.open_connection(*daemon.entry)
        except (OSError, TimeoutError):
            return 'no channel', RETRY_S
        try:
            writer.write(self._render(until))
            async with asyncio.timeout(PATIENCE_S):
                headers = await read_head(reader)
            if ' 200' not in headers['']:
                wait_s = headers.get('retry-after', str(RETRY_S))
                return headers[''], float(wait_s)
            await self._read_events(reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 'broken off', 0.0
        finally:
            writer.close()
        return 'whole', 0.0

    def _attempt_id(self) -> str:
        return f'{self.id}-{self.tries}'

    def _render(self, until: float) -> bytes:
        left_ms = int((until - time.monotonic()) * 1000)
        goes_on = (
            f'Last-Event-Id: {self.events}\r\nResumes: {self.began_as}\r\n'
        )
        return (
            'POST /question/1 HTTP/1.1\r\nHost: site.example\r\n'
            f'X-Attempt-Id: {self._attempt_id()}\r\n'
            'X-Model: m\r\nX-Token-Usage: 100,90\r\n'
            f'X-Deadline-Ms: {left_ms}\r\nX-Key: key-school\r\n'
            f'{goes_on if self.events else ""}'
            'Content-Length: 4\r\n\r\nask?'
        ).encode()

    async def _read_events(self, reader: asyncio.StreamReader) -> None:
        """Read events to the end of the stream."""
        while True:
            async with asyncio.timeout(PATIENCE_S):
                size = int(await reader.readline() or b'0', 16)
                data = await reader.readexactly(size)
                await reader.readline()
            if not size:
                self.is_complete = self.events == EVENTS
                return
            for event in filter(None, data.split(b'\n\n')):
                self._take(event)

    def _take(self, event: bytes) -> None:
        self.events = int(event.split(b'\n')[0].removeprefix(b'id: '))
        self.versions.add(event.split()[-1].decode())
        self.began_as = self.began_as or self._attempt_id()
        self.has_begun_at_first = self.has_begun_at_first or self.tries == 1
        self.has_gone_on = self.is_taken_up


def configure(site: Site) -> None:
    """Describe the service, its route and a client account."""
    fields = engine_fields(SLOTS)
    fields['inferenceEngine'] |= {'migrations': False, 'backups': False}
    site.document.add_service('llm', **fields)
    site.document.add_route(
        '/question/',
        'llm',
        'streaming',
        timeoutMs=int(LIMIT_S * 1000),
        streamResume=True,
        stickySessions=True,
        gapTargetMs=250,
        maxAttempts=2,
    )
    site.document.add_tenant('school', 'key-school')


async def lose_power(site: Site, daemon: Daemon) -> None:
    """Have a machine dark for a while; its process starts anew then."""
    site.record.add(f'{daemon.name} is dark')
    daemon.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(DARK_S)
    daemon.process.kill()
    daemon.process.wait()
    site.restart(daemon)
    site.record.add(f'{daemon.name} starts again')


async def begin_streams(site: Site, daemons: list[Daemon]) -> list[Stream]:
    """Have clients ask for new streams; return these, ended or not."""
    streams = []
    async with asyncio.TaskGroup() as tasks:
        for number in range(NEW_STREAMS):
            stream = Stream(site=site, id=f'new{number}')
            streams.append(stream)
            first = number % len(daemons)
            order = [*daemons[first:], *daemons[:first]]
            tasks.create_task(stream.run(order))
            await asyncio.sleep(NEW_PAUSE_S)
    return streams


async def play(site: Site) -> tuple[list[Stream], list[Stream]]:
    """Return the streams of the machine that goes dark, and the new ones."""
    *others, dark = site.daemons
    streams = [Stream(site=site, id=f'old{n}') for n in range(STREAMS)]
    async with asyncio.TaskGroup() as tasks:
        for number, stream in enumerate(streams):
            first = number % len(others)
            order = [dark, *others[first:], *others[:first]]
            tasks.create_task(stream.run(order))
        await asyncio.sleep(DARK_BEHIND_S)
        if TROUBLE:
            tasks.create_task(lose_power(site, dark))
        await asyncio.sleep(LISTED_BEHIND_S)
        await Engine(id='i-new', version='v2', site=site).start()
        site.record.add('a replica of version v2 is listed')
        new = await begin_streams(site, others)
    return streams, new


async def case(site: Site) -> bool:
    """Return whether streams go on that clients take up again."""
    configure(site)
    await site.start()
    for number in range(ENGINES):
        await Engine(id=f'i-{number}', version='v1', site=site).start()
    await site.start_daemons(DAEMONS)
    await asyncio.sleep(SETTLE_S)
    streams, new = await play(site)
    taken_up = [stream for stream in streams if stream.is_taken_up]
    gone_on = sum(stream.has_gone_on for stream in taken_up)
    begun = sum(stream.has_begun_at_first for stream in new)
    joined = sum(len(stream.versions) > 1 for stream in [*streams, *new])
    site.record.add(
        f'{len(taken_up)} streams taken up, {gone_on} went on; '
        f'{begun} of {len(new)} new streams began; {joined} joined; '
        f'{sum(stream.is_complete for stream in streams)} of '
        f'{len(streams)} old streams whole'
    )
    share = begun / len(new)
    return len(taken_up) < 12 or gone_on / len(taken_up) >= share / 2


if __name__ == '__main__':
    sys.exit(run_case(case, pathlib.Path(__file__).parent))
