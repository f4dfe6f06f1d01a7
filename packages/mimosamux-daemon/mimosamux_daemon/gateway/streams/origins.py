"""Remembers where recent streams began, by the request that began them.

A caller whose stream broke off takes it up with a new request, at any daemon.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import anyio
import xxhash

from mimosamux_daemon.domain.stream_origins import StreamOrigin

RETENTION_S = 10.0
"""Time beyond the deadline of a request for which its origin is kept. The
deadline of a request that takes the stream up may be later."""
MAX_ORIGINS = 65_536
"""Largest number of origins kept: ten seconds of streams of a large site."""
OWN = 'own'


@dataclass(frozen=True, kw_only=True, slots=True)
class KnownOrigin:
    """The origin of one stream."""

    origin: StreamOrigin
    attempt: int
    """Number of the attempt that it comes from; a later attempt, at another
    version, replaces an earlier one without an event."""
    expires_at: float
    """Times are of the steady clock."""
    at: float
    """When this daemon learned it."""
    source: str
    """Daemon that told it, or `OWN`."""
    is_shared: bool = True
    """Whether the other daemons have to know it."""


def hash_request(request_id: str) -> int:
    """Return the 64-bit key under which a request's origin is kept."""
    return xxhash.xxh3_64_intdigest(request_id.encode())


@dataclass(kw_only=True, slots=True)
class StreamOrigins:
    """Origins by the hash of the request, bounded in number and time."""

    clock: Callable[[], float]
    by_request: OrderedDict[int, KnownOrigin] = field(
        default_factory=OrderedDict
    )
    """The oldest first."""
    _changed: anyio.Event = field(default_factory=anyio.Event)
    """Set, and replaced by a new one, with each addition."""

    def add(self, request: int, known: KnownOrigin) -> bool:
        """Add an origin; False if it is not newer than the one kept."""
        kept = self.by_request.get(request)
        if kept is not None and kept.attempt >= known.attempt:
            return False
        self.by_request.pop(request, None)
        self.by_request[request] = known
        self._evict()
        self._changed.set()
        self._changed = anyio.Event()
        return True

    def find(self, request_id: str) -> StreamOrigin | None:
        """Return where the stream of a request began, None: not known."""
        known = self.find_known(request_id)
        return None if known is None else known.origin

    def find_known(self, request_id: str) -> KnownOrigin | None:
        """Return the same, and how and when it became known."""
        return self.find_by_hash(hash_request(request_id))

    def find_by_hash(self, request: int) -> KnownOrigin | None:
        """Return the same, by the hash of the request."""
        known = self.by_request.get(request)
        if known is None or known.expires_at <= self.clock():
            return None
        return known

    async def wait_for(
        self, request_id: str, timeout_s: float
    ) -> KnownOrigin | None:
        """Return where a stream began; wait if this is not known yet.

        The caller of a stream that broke off may be back before the message
        of the daemon that served it.
        """
        with anyio.move_on_after(timeout_s):
            while (known := self.find_known(request_id)) is None:
                await self._changed.wait()
            return known
        return None

    def current(self) -> Iterator[tuple[int, KnownOrigin]]:
        """Yield the origins that have not expired."""
        now = self.clock()
        for request, known in self.by_request.items():
            if known.expires_at > now:
                yield request, known

    def _evict(self) -> None:
        """Drop expired origins from the oldest on, and those beyond the bound.

        One with a distant deadline may keep expired ones behind it; the bound
        holds all the same.
        """
        now = self.clock()
        while self.by_request:
            oldest = next(iter(self.by_request.values()))
            is_expired = oldest.expires_at <= now
            if not is_expired and len(self.by_request) <= MAX_ORIGINS:
                return
            self.by_request.popitem(last=False)
