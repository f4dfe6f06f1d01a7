"""Tells the other daemons where streams of this one began.

Only on routes whose endpoints run several software versions, or ran until
recently: elsewhere a stream may go on at any endpoint.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

import anyio
from mimosamux_wire import StreamsBegan

from mimosamux_daemon.domain.names import DaemonId, ServiceName
from mimosamux_daemon.domain.stream_origins import StreamOrigin
from mimosamux_daemon.gateway.exchange.peer_states import PeerStates
from mimosamux_daemon.gateway.jobs import Job
from mimosamux_daemon.gateway.streams.origins import (
    OWN,
    RETENTION_S,
    KnownOrigin,
    StreamOrigins,
    hash_request,
)
from mimosamux_daemon.gateway.streams.versions import SoftwareVersions
from mimosamux_daemon.ports import PeerLinks

MS_PER_S = 1000
KEY_BYTES = 8
"""Size of a request's hash in messages."""
BATCH_S = 0.01
"""Time for which origins are collected for one message. The first event comes
later than that: the prompt is prefilled before."""
MAX_KEEP_S = 3600.0
"""Longest time for which a peer can have an origin kept."""
MAX_KEYS = 4096
"""Largest number of requests in one message."""

Origins = Iterable[tuple[int, KnownOrigin]]


@dataclass(kw_only=True, slots=True)
class OriginExchange:
    """Keeps the origins of all daemons' streams at each of them."""

    origins: StreamOrigins
    versions: SoftwareVersions
    states: PeerStates
    peers: PeerLinks
    clock: Callable[[], float]
    on_shared: list[Callable[[], None]] = field(default_factory=list)
    """Called when an origin is shared with the peers, or comes from one."""
    _untold: dict[int, KnownOrigin] = field(default_factory=dict)
    """Origins of own streams that the peers were not told."""
    _has_untold: anyio.Event = field(default_factory=anyio.Event)

    def __post_init__(self) -> None:
        self.peers.handle(StreamsBegan, self._receive)
        self.states.on_joined.append(self._send_all)
        self.versions.on_several.append(self._tell_again)

    def note_send(self, job: Job, origin: StreamOrigin) -> None:
        """Note where a stream is about to begin, or goes on.

        The peers are told before its first event: if this daemon is killed
        right after that, they know. A stream that goes on keeps the origin of
        the request that began it, by which its caller goes on naming it.
        """
        if not (job.is_stream and job.route.is_resumable):
            return
        self._note(job, job.request.id, origin)
        if job.request.last_event_id and job.request.resumes:
            self._note(job, job.request.resumes, origin)

    def _note(self, job: Job, request_id: str, origin: StreamOrigin) -> None:
        request = hash_request(request_id)
        kept = self.origins.by_request.get(request)
        if kept is not None and kept.origin == origin:
            return
        now = self.clock()
        known = KnownOrigin(
            origin=origin,
            attempt=1 if kept is None else kept.attempt + 1,
            expires_at=now + job.left_s(now) + RETENTION_S,
            at=now,
            source=OWN,
            is_shared=self.versions.are_several(job.route),
        )
        self.origins.add(request, known)
        if known.is_shared:
            self._untold[request] = known
            self._has_untold.set()
            self._note_shared()

    async def run(self) -> None:
        """Tell the peers until cancelled."""
        while True:
            await self._has_untold.wait()
            self._has_untold = anyio.Event()
            await anyio.sleep(BATCH_S)
            untold, self._untold = self._untold, {}
            for message in render_origins(untold.items(), self.clock()):
                self.states.queue(message)

    def shared(self) -> Origins:
        """Return the origins that all daemons have to know."""
        return [
            (request, known)
            for request, known in self.origins.current()
            if known.is_shared
        ]

    def _note_shared(self) -> None:
        for listener in self.on_shared:
            listener()

    def _tell_again(self, service: ServiceName) -> None:
        """Tell the origins of a service that gets a second version.

        Streams that began while it had one were not told.
        """
        for request, known in tuple(self.origins.current()):
            if known.origin.service == service and not known.is_shared:
                shared = replace(known, is_shared=True)
                self.origins.by_request[request] = shared
                self._untold[request] = shared
        self._has_untold.set()
        self._note_shared()

    async def _send_all(self, id_: DaemonId) -> None:
        """Send the shared origins to a daemon that has just started."""
        for message in render_origins(self.shared(), self.clock()):
            await self.peers.notify(id_, message)

    async def _receive(self, sender: DaemonId, message: StreamsBegan) -> None:
        new = {
            request: known
            for request, known in parse_origins(message, sender, self.clock())
            if self.origins.add(request, known)
        }
        if new:
            self._note_shared()
        if new and self.states.forwards_messages:
            for forwarded in render_origins(new.items(), self.clock()):
                self.states.queue(forwarded)


def render_origins(origins: Origins, now: float) -> Iterable[StreamsBegan]:
    """Return the messages that tell origins."""
    grouped = defaultdict[
        tuple[StreamOrigin, int], list[tuple[int, KnownOrigin]]
    ](list)
    for request, known in origins:
        grouped[known.origin, known.attempt].append((request, known))
    for (origin, attempt), group in grouped.items():
        for start in range(0, len(group), MAX_KEYS):
            part = group[start : start + MAX_KEYS]
            keep_s = max(known.expires_at for _, known in part) - now
            yield StreamsBegan(
                service=origin.service,
                software=origin.software,
                attempt=attempt,
                keep_ms=int(keep_s * MS_PER_S),
                requests=b''.join(
                    request.to_bytes(KEY_BYTES, 'big') for request, _ in part
                ),
            )


def parse_origins(message: StreamsBegan, source: str, now: float) -> Origins:
    """Yield the origins that a message tells."""
    keep_s = min(message.keep_ms / MS_PER_S, MAX_KEEP_S)
    known = KnownOrigin(
        origin=StreamOrigin(
            service=ServiceName(message.service), software=message.software
        ),
        attempt=message.attempt,
        expires_at=now + keep_s,
        at=now,
        source=source,
    )
    keys = message.requests
    for start in range(0, len(keys) - KEY_BYTES + 1, KEY_BYTES):
        key = keys[start : start + KEY_BYTES]
        yield int.from_bytes(key, 'big'), known
