"""Stand-in of a replica: a queue, slots, answers, and faults."""

import hashlib
import urllib.parse
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field, replace
from enum import Enum, auto

import anyio
import orjson
from mimosamux_daemon.adapters.http1_channel import BROKEN
from mimosamux_daemon.adapters.http1_exchange import IncomingRequest, Reply
from mimosamux_daemon.domain.http_messages import RawHeaders, find_value

EVENT_BYTES = 24
KV_HANDLE = '/api/kv-handle/'
COPY_TTL_S = 10.0
ENDLESS_PART = b'x' * 16 * 1024
ENDLESS_PAUSE_S = 0.001
TINY_CHUNKS = b'1\r\nx\r\n' * 2730
ID = b'{id}'


class Fault(Enum):
    """What is wrong with a replica."""

    NONE = auto()
    ERROR = auto()
    """Runs requests and answers 500."""
    HANG = auto()
    """Runs requests and never answers."""
    LOST = auto()
    """Runs requests and ends the connection in place of an answer."""
    CUT = auto()
    """Ends the connection in the middle of an answer."""
    EXTRA = auto()
    """Sends a second answer behind each."""
    SHED = auto()
    """Turns requests down, as if it were full."""


class Framing(Enum):
    """How a replica marks the end of its answers."""

    USUAL = auto()
    UNFRAMED = auto()
    """With neither a length nor chunks, by the end of the connection."""
    ENDLESS_HEAD = auto()
    ENDLESS_BODY = auto()
    ENDLESS_EVENT = auto()
    """An event that does not end follows the first ones."""
    TINY_CHUNKS = auto()
    """Chunks of one byte without end, in answer to the request."""
    ENDLESS_LENGTH = auto()
    """A body of a length beyond all bounds."""


ENDLESS_HEADS = {
    Framing.ENDLESS_HEAD: b'HTTP/1.1 200 OK\r\nX-Rest: ',
    Framing.ENDLESS_BODY: b'HTTP/1.1 200 OK\r\n\r\n',
    Framing.TINY_CHUNKS: b'HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n',
    Framing.ENDLESS_LENGTH: b'HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\n'
    b'Content-Length: 1000000000000\r\n\r\n',
}
"""Heads of answers that do not end; `ID` stands for that of the request."""


class MoveFault(Enum):
    """What becomes of one call that copies or moves a run."""

    NONE = auto()
    UNSEEN = auto()
    """Nothing is done, and no answer comes."""
    LOST = auto()
    """It is carried out; the connection ends in place of an answer."""
    SILENT = auto()
    """It is carried out, and no answer comes."""
    NONSENSE = auto()
    """Nothing is done, and the answer is not what it should be."""
    RESET = auto()
    """Nothing is done, and the connection ends."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ReplicaSpeed:
    """How long things take, in seconds."""

    work_s: float = 0.03
    token_s: float = 1e-5
    """Time to read one token of a prompt."""
    event_s: float = 0.02
    events: int = 6
    events_by_prefix: Mapping[str, int] = field(default_factory=dict)
    """Events of streams by the prefix of their path; the longest counts."""
    move_s: float = 0.01

    def events_of(self, target: str) -> int:
        """Return how many events the stream of a path has."""
        prefixes = [
            prefix
            for prefix in self.events_by_prefix
            if target.startswith(prefix)
        ]
        if not prefixes:
            return self.events
        return self.events_by_prefix[max(prefixes, key=len)]

    def slowed(self, factor: float) -> 'ReplicaSpeed':
        """Return the speed of a replica that takes `factor` times as long."""
        return replace(
            self,
            work_s=self.work_s * factor,
            token_s=self.token_s * factor,
            event_s=self.event_s * factor,
        )


@dataclass(kw_only=True, slots=True)
class Run:
    """A request that the replica has begun to work on."""

    id: str
    replica: str
    method: str
    target: str
    body: bytes
    tenant: str | None
    began_at: float
    ended_at: float | None = None
    events: int = 0
    resumed_behind: int = 0
    """Events that an earlier run of the request had made."""
    kv_source: str = ''
    """Copy of an earlier run that it goes on from."""
    version: str = ''
    """Software version of its replica."""
    resumes: str = ''
    """Request whose stream its caller takes up."""
    fetched_from: str = ''
    """Address of the replica whose cache it was told to copy."""
    rank: int | None = None
    """Rank that the system gave it, if any."""
    read_tokens: int = 0
    """Prompt tokens that were not held in the cache."""
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)


@dataclass(kw_only=True, slots=True)
class StandInReplica:
    """One lifetime of a replica."""

    id: str
    service: str
    address: str
    zone: str
    slots: int = 6
    queue: int = 24
    speed: ReplicaSpeed = field(default_factory=ReplicaSpeed)
    fault: Fault = Fault.NONE
    framing: Framing = Framing.USUAL
    is_reclaimable: bool = False
    version: str = 'v1'
    cold_ms: int = 0
    """For how long it is slow still, as its entry tells."""
    born_ms: int | None = None
    """Start of its process in ms since 1970; some replicas tell none."""
    state: str = 'ready'
    leaves_ms: float | None = None
    runs: list[Run] = field(default_factory=list)
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    """Time and id of each request that reached it, run or not."""
    accepted_ids: set[str] = field(default_factory=set)
    """Requests that it took into its queue or a slot."""
    misdirected: list[tuple[float, str]] = field(default_factory=list)
    """The same for requests that were for another replica."""
    _slots: anyio.Semaphore | None = None
    _waiting: int = 0
    _run_by_id: dict[str, Run] = field(default_factory=dict)
    by_address: dict[str, 'StandInReplica'] = field(default_factory=dict)
    """Every replica, for copies of memory from one to the other."""
    held_parts: set[str] = field(default_factory=set)
    _reading: anyio.Lock = field(default_factory=anyio.Lock)
    _run_by_handle: dict[str, str] = field(default_factory=dict)
    _copy_until: dict[str, float] = field(default_factory=dict)
    """Until when a slot is kept for the copy of a run."""
    """Requests whose memory is held, by the name of the copy."""
    move_faults: list[MoveFault] = field(default_factory=list)
    """What becomes of the next calls that move a run, in their order."""
    silent_reports: int = 0
    """How many of the next questions for its report get no answer."""
    crash_targets: set[str] = field(default_factory=set)
    """Paths of requests that end its process once it runs them."""
    crash_after_s: float = 0.0
    """How long such a request runs before that."""
    crash_parts: set[str] = field(default_factory=set)
    """Prompt parts that end its process once it begins to write an answer."""
    crash_events: int = 0
    """Whole events that it writes before a prompt part ends it."""
    exit_s: float = 0.001
    """Time from the end of its connections to that of its listener."""
    on_crash: Callable[['StandInReplica', Run], None] = lambda *_: None
    """Ends the process."""
    says_leaving: bool = False
    """Whether its answers say that it leaves, whatever the list shows."""
    limit_per_s: float | None = None
    """Requests a second that it takes from all, as its answers say."""
    brittle_per_s: float | None = None
    """Requests that it can turn down in a second without falling over, as its
    answers say."""
    turned_down_at: list[float] = field(default_factory=list)
    """When it turned requests down for want of room."""
    on_fall: Callable[['StandInReplica'], None] = lambda _: None
    """Ends the process after it has turned down too many."""
    begins_anew: bool = False
    """Whether it sends streams from their beginning, taken up or not."""
    heir_status: int | None = None
    """Status with which what holds its listener answers in its place."""
    silent_until: float = 0.0
    """Until when its process stands still; connections to it stay open."""
    shed_retry_after_s: float | None = None
    """For how long it wants nothing, as it says when it is full."""
    is_end_listed: bool = False
    """Whether its entry in the list tells when it leaves."""

    @property
    def copies(self) -> int:
        """Return how many copies it holds that nothing has gone on from."""
        return len(self._run_by_handle)

    def entry(self) -> dict[str, object]:
        """Return its entry in the list."""
        entry: dict[str, object] = {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': self.version,
            'slots': self.slots,
            'state': self.state,
            'sequence': 1,
            'coldRemainingMs': self.cold_ms,
        }
        if self.is_reclaimable:
            entry['spotInstances'] = True
        if self.born_ms is not None:
            entry['born'] = self.born_ms
        if self.is_end_listed and self.leaves_ms is not None:
            entry['leaves_ms'] = self.leaves_ms
        return entry

    async def handle(self, incoming: IncomingRequest, reply: Reply) -> None:
        """Answer one request."""
        await self._stand_still()
        target = incoming.head.target.decode('latin-1')
        if self.heir_status is not None:
            await reply.answer(self.heir_status, ())
        elif self.framing in ENDLESS_HEADS:
            id_ = find_value(incoming.head.headers, b'x-attempt-id') or b''
            head = ENDLESS_HEADS[self.framing].replace(ID, id_)
            is_tiny = self.framing is Framing.TINY_CHUNKS
            part = TINY_CHUNKS if is_tiny else ENDLESS_PART
            await _send_endless(reply, head, part)
        elif not self._is_meant(incoming):
            await reply.answer(421, self._own_id())
        elif target == '/healthz':
            is_well = self.state == 'ready'
            await reply.answer(200 if is_well else 503, self._own_id())
        elif target == '/api/report':
            await self._answer_report(reply)
        elif target == '/api/kv-move':
            await self._move(orjson.loads(incoming.body), reply)
        elif target.startswith(KV_HANDLE):
            self._release(target.removeprefix(KV_HANDLE))
            await reply.answer(200, ())
        else:
            await self._answer(incoming, reply)

    def _is_meant(self, incoming: IncomingRequest) -> bool:
        """Whether a question without an id is for this replica."""
        headers = incoming.head.headers
        if find_value(headers, b'x-attempt-id') is not None:
            return True
        expected = find_value(headers, b'x-expected-replica')
        return expected in (None, self.id.encode())

    def _own_id(self) -> RawHeaders:
        return ((b'X-Replica-Id', self.id.encode()),)

    async def _answer_report(self, reply: Reply) -> None:
        if self.silent_reports:
            self.silent_reports -= 1
            await anyio.sleep_forever()
        await reply.answer(200, (), orjson.dumps(self._report()))

    async def _answer(self, incoming: IncomingRequest, reply: Reply) -> None:
        headers = incoming.head.headers
        id_ = (find_value(headers, b'x-attempt-id') or b'').decode()
        arrival = (anyio.current_time(), id_)
        expected = find_value(headers, b'x-expected-replica')
        if expected is not None and expected.decode() != self.id:
            self.misdirected.append(arrival)
            await reply.answer(421, self._own_id())
            return
        self.arrivals.append(arrival)
        source = find_value(headers, b'kv-from') or b''
        handle = source.decode().rpartition('/')[2]
        if source and self._run_by_handle.get(handle) != id_:
            await reply.answer(503, ((b'X-Not-Executed', b'1'),))
            return
        is_full = not source and self._waiting >= self.queue + self.slots
        if not id_ or is_full or self.fault is Fault.SHED:
            if is_full:
                self._note_turned_down()
            await reply.answer(400 if not id_ else 503, self._shed_headers())
            return
        if source:
            del self._run_by_handle[handle]
            self._free_copy(id_)
        self.accepted_ids.add(id_)
        with anyio.CancelScope() as scope:
            incoming.cancel_on_disconnect(scope)
            async with self._slot():
                await self._run(incoming, reply, id_)

    def _note_turned_down(self) -> None:
        now = anyio.current_time()
        self.turned_down_at.append(now)
        recent = sum(at > now - 1.0 for at in self.turned_down_at)
        if self.brittle_per_s is not None and recent > self.brittle_per_s:
            self.on_fall(self)

    @asynccontextmanager
    async def _slot(self) -> AsyncIterator[None]:
        if self._slots is None:
            self._slots = anyio.Semaphore(self.slots)
        self._waiting += 1
        try:
            async with self._slots:
                yield
        finally:
            self._waiting -= 1

    async def _run(
        self, incoming: IncomingRequest, reply: Reply, id_: str
    ) -> None:
        headers = incoming.head.headers
        last = find_value(headers, b'last-event-id')
        tenant = find_value(headers, b'x-tenant')
        rank = find_value(headers, b'x-request-priority')
        run = Run(
            id=id_,
            replica=self.id,
            method=incoming.head.method.decode(),
            target=incoming.head.target.decode('latin-1'),
            body=incoming.body,
            tenant=None if tenant is None else tenant.decode(),
            began_at=anyio.current_time(),
            rank=None if rank is None else int(rank),
            resumed_behind=0 if self.begins_anew else int(last or b'0'),
            kv_source=(find_value(headers, b'kv-from') or b'').decode(),
            version=self.version,
            resumes=(find_value(headers, b'resumes') or b'').decode(),
        )
        self.runs.append(run)
        self._run_by_id[id_] = run
        try:
            async with self._crashing(run):
                if find_value(headers, b'x-model') is not None:
                    await self._stream(incoming, reply, run)
                else:
                    await self._work(reply, run)
        finally:
            run.ended_at = anyio.current_time()

    @asynccontextmanager
    async def _crashing(self, run: Run) -> AsyncIterator[None]:
        """Run the block; a request of `crash_targets` ends the process."""
        if run.target not in self.crash_targets:
            with run.scope:
                yield
            return
        with run.scope, anyio.move_on_after(self.crash_after_s):
            yield
            await anyio.sleep_forever()
        if not run.scope.cancel_called:
            self.on_crash(self, run)
            await anyio.sleep_forever()

    async def _stand_still(self) -> None:
        """Wait until the process goes on."""
        await anyio.sleep(max(self.silent_until - anyio.current_time(), 0.0))

    async def _work(self, reply: Reply, run: Run) -> None:
        await anyio.sleep(self.speed.work_s)
        await self._stand_still()
        if self.fault is Fault.HANG:
            await anyio.sleep_forever()
        if self.fault is Fault.LOST:
            return
        body = f'done {run.id} by {self.id}'.encode() * 8
        body = body.ljust(read_answer_bytes(run.target))
        if self.fault is Fault.CUT:
            await reply.start(
                200,
                (
                    *self._headers(run, body),
                    (b'Content-Length', b'%d' % len(body)),
                ),
                body[: len(body) // 2],
            )
            return
        status = 500 if self.fault is Fault.ERROR else 200
        if self.framing is Framing.UNFRAMED:
            head = _render_unframed(self._headers(run, body))
            await reply.connection.send(head + body)
            await reply.connection.aclose()
            return
        await reply.answer(status, self._headers(run, body), body)
        if self.fault is Fault.EXTRA:
            await reply.connection.send(
                b'HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n'
                b'Content-Length: 5\r\n\r\nextra'
            )

    async def _stream(
        self, incoming: IncomingRequest, reply: Reply, run: Run
    ) -> None:
        await self._read_prompt(incoming, run)
        if self.fault is Fault.HANG:
            await anyio.sleep_forever()
        if self.fault is Fault.LOST:
            return
        if self.fault is Fault.ERROR:
            await reply.answer(500, self._headers(run, b''))
            return
        headers = (
            *self._headers(run, b''),
            (b'Content-Type', b'text/event-stream'),
            (b'X-Weight-Versions', b'1'),
        )
        is_crashing = bool(
            self.crash_parts.intersection(_shared_parts(incoming))
        )
        if self.framing is Framing.UNFRAMED:
            # Its own end of the connection does not keep it from crashing.
            with anyio.CancelScope(shield=is_crashing):
                await self._send_unframed_stream(
                    reply, run, headers, is_crashing=is_crashing
                )
        else:
            await reply.start(200, headers)
            if is_crashing:
                for number in range(1, self.crash_events + 1):
                    await reply.write(render_event(run.id, number))
            else:
                await self._send_events(reply, run)
        if is_crashing:
            self.on_crash(self, run)
            await anyio.sleep_forever()

    async def _send_unframed_stream(
        self,
        reply: Reply,
        run: Run,
        headers: RawHeaders,
        *,
        is_crashing: bool,
    ) -> None:
        await reply.connection.send(_render_unframed(headers))
        events = self.speed.events_of(run.target)
        if is_crashing:
            events = run.resumed_behind + self.crash_events
        for number in range(run.resumed_behind + 1, events + 1):
            await anyio.sleep(self.speed.event_s)
            run.events = number
            await reply.connection.send(render_event(run.id, number))
        await reply.connection.aclose()
        if is_crashing:
            await anyio.sleep(self.exit_s)

    async def _send_events(self, reply: Reply, run: Run) -> None:
        events = self.speed.events_of(run.target)
        for number in range(run.resumed_behind + 1, events + 1):
            await anyio.sleep(self.speed.event_s)
            await self._stand_still()
            if self.framing is Framing.ENDLESS_EVENT and number > 2:
                await _write_endless(reply)
                return
            run.events = number
            event = render_event(run.id, number)
            if self.fault is Fault.CUT and number > events // 2:
                await reply.write(event[: len(event) // 2])
                return
            if not await reply.write(event):
                return
        await reply.finish()

    async def _read_prompt(self, incoming: IncomingRequest, run: Run) -> None:
        """Read what is not in the cache, one prompt after the other."""
        if run.kv_source:
            return
        headers = incoming.head.headers
        usage = find_value(headers, b'x-token-usage') or b'0'
        tokens = int(usage.partition(b',')[0])
        parts = (find_value(headers, b'x-prompt-prefix') or b'').decode()
        source = find_value(headers, b'kv-fetch') or b''
        run.fetched_from = source.decode()
        self._fetch_parts(run.fetched_from)
        for entry in filter(None, parts.split(',')):
            id_, _, count = entry.partition(':')
            if id_ not in self.held_parts:
                break
            tokens -= int(count)
        run.read_tokens = tokens
        async with self._reading:
            await anyio.sleep(tokens * self.speed.token_s)
        self.held_parts |= {
            entry.partition(':')[0] for entry in filter(None, parts.split(','))
        }

    def _fetch_parts(self, address: str) -> None:
        """Copy what another replica holds in its cache, if it is there."""
        source = self.by_address.get(address)
        if source is not None:
            self.held_parts |= source.held_parts

    async def _move(self, body: dict[str, object], reply: Reply) -> None:
        """Copy a run's memory to another replica; `final` stops it first."""
        fault = self.move_faults.pop(0) if self.move_faults else MoveFault.NONE
        if fault is MoveFault.NONSENSE:
            await reply.answer(200, (), b'["no", "copy"]')
        if fault is MoveFault.UNSEEN:
            await anyio.sleep_forever()
        if fault in (MoveFault.NONSENSE, MoveFault.RESET):
            return
        status, answer = await self._copy(body)
        if fault is MoveFault.SILENT:
            await anyio.sleep_forever()
        if fault is not MoveFault.LOST:
            await reply.answer(status, (), answer)

    async def _copy(self, body: dict[str, object]) -> tuple[int, bytes]:
        run = self._run_by_id.get(str(body['id']))
        target = self.by_address.get(str(body['to']))
        if run is None or run.ended_at is not None:
            return 404, b''
        await anyio.sleep(self.speed.move_s)
        if body.get('final'):
            run.scope.cancel()
        handle = f'kv-{run.id}-{run.events}'
        has_room = target is not None and target._keep_copy(run.id)
        holder = target if has_room and target is not None else self
        holder._run_by_handle[handle] = run.id
        answer = {'kvHandle': handle, 'createdRevision': run.events}
        return 503 if holder is self else 200, orjson.dumps(answer)

    def _keep_copy(self, run_id: str) -> bool:
        """Reserve a slot for a copy; False if there is none.

        A slot is taken from the first call until the copy is used or freed.
        """
        if self.state != 'ready':
            return False
        now = anyio.current_time()
        for each, until in tuple(self._copy_until.items()):
            if until <= now:
                self._free_copy(each)
        if run_id not in self._copy_until:
            if self._waiting >= self.slots:
                return False
            self._waiting += 1
        self._copy_until[run_id] = now + COPY_TTL_S
        return True

    def _free_copy(self, run_id: str) -> None:
        if self._copy_until.pop(run_id, None) is not None:
            self._waiting -= 1

    def _release(self, handle: str) -> None:
        for replica in self.by_address.values():
            run_id = replica._run_by_handle.pop(handle, None)
            if run_id is not None:
                replica._free_copy(run_id)

    def _shed_headers(self) -> RawHeaders:
        headers: RawHeaders = (
            (b'X-Not-Executed', b'1'),
            *self._words(),
        )
        if self.shed_retry_after_s is None:
            return headers
        return (*headers, (b'Retry-After', b'%g' % self.shed_retry_after_s))

    def _words(self) -> RawHeaders:
        """Return what it says of itself in each answer."""
        words: list[tuple[bytes, bytes]] = []
        if self.says_leaving:
            words.append((b'Server-Leaving', b'1'))
        if self.state == 'draining':
            words.append((b'Connection', b'close'))
        if self.brittle_per_s is not None:
            words.append((b'Server-Brittle', b'%g' % self.brittle_per_s))
        if self.limit_per_s is not None:
            words.append((b'Server-Limit', b'%g' % self.limit_per_s))
        return tuple(words)

    def _headers(self, run: Run, body: bytes) -> RawHeaders:
        return (
            *self._words(),
            (b'X-Attempt-Id', run.id.encode()),
            (b'X-Replica-Signature', sign(self.id, run.id, body)),
        )

    def _report(self) -> dict[str, object]:
        report: dict[str, object] = {
            'phase': 'unified',
            'state': self.state,
            'queuedRequests': max(0, self._waiting - self.slots),
            'activeRequests': min(self._waiting, self.slots),
        }
        if self.leaves_ms is not None:
            report['leaves_ms'] = self.leaves_ms
        if self.born_ms is not None:
            report['born'] = self.born_ms
        return report


def _render_unframed(headers: RawHeaders) -> bytes:
    """Return the head of an answer that ends with its connection."""
    lines = [b'%s: %s' % header for header in headers]
    return b'\r\n'.join((b'HTTP/1.1 200 OK', *lines, b'', b''))


async def _write_endless(reply: Reply) -> None:
    """Write parts of a body until the other side closes the connection."""
    while True:
        if not await reply.write(ENDLESS_PART):
            return
        await anyio.sleep(ENDLESS_PAUSE_S)


async def _send_endless(reply: Reply, head: bytes, part: bytes) -> None:
    """Send bytes until the other side closes the connection."""
    with suppress(*BROKEN):
        await reply.connection.send(head)
        while True:
            await reply.connection.send(part)
            await anyio.sleep(ENDLESS_PAUSE_S)


def _shared_parts(incoming: IncomingRequest) -> list[str]:
    """Return the parts of a prompt, without the one of its own."""
    value = find_value(incoming.head.headers, b'x-prompt-prefix') or b''
    parts = value.decode().split(',')
    return [entry.partition(':')[0].strip() for entry in parts[:-1]]


def read_answer_bytes(target: str) -> int:
    """Return how long an answer has to be at least, as a request asks."""
    query = urllib.parse.urlsplit(target).query
    fields = dict(urllib.parse.parse_qsl(query))
    return int(fields.get('answer_bytes', 0))


def sign(replica: str, request: str, body: bytes) -> bytes:
    """Return the proof that a replica gave an answer to a request."""
    digest = hashlib.sha256(f'{replica} {request} '.encode() + body)
    return f'{replica}.{digest.hexdigest()[:16]}'.encode()


def render_event(request: str, number: int) -> bytes:
    """Return an event of a stream; nobody else makes the same."""
    text = hashlib.sha256(f'{request} {number}'.encode()).hexdigest()
    return f'id: {number}\ndata: {text[:EVENT_BYTES]}\n\n'.encode()
