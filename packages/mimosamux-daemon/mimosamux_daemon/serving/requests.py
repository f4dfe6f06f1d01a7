"""Accepted model requests: their answers, readers and registry."""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field

import anyio

from mimosamux_daemon.domain.names import AccountId, RequestId
from mimosamux_daemon.domain.outcomes import Answered, Outcome
from mimosamux_daemon.domain.work import ModelRequest

MAX_FINISHED_REQUESTS = 5_000
"""Finished requests kept for callers that reconnect."""
MAX_FINISHED_BYTES = 32 * 1024 * 1024
"""Bytes that prompts and answers of finished requests may take."""
FINISHED_TTL_S = 600.0
"""How long a finished request is kept, in seconds."""
MAX_HELD_BYTES = 96 * 1024 * 1024
"""Bytes that prompts and answers of all requests may take.

New requests are refused above it, less the part for finished ones.
"""
TOKEN_BYTES = 64
"""Memory of a short token of an answer as a list item."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Moved:
    """Where a request continues after a hand-over to another daemon."""

    address: str
    """`host:port` of that daemon's caller API."""
    offset: int
    """Number of answer tokens that were handed over with the request."""


@dataclass(kw_only=True, slots=True, eq=False)
class ActiveRequest:
    """An accepted request, its answer so far and its outcome.

    One task appends to the answer and any number of callers read it
    from their own offsets, so a slow reader blocks nobody else.
    """

    request: ModelRequest
    tokens: list[str] = field(default_factory=list)
    attempt: int = 0
    first_token_at: float | None = None
    """Time of the first token; None if it came at another daemon."""
    outcome: Outcome | None = None
    moved: Moved | None = None
    readers: int = 0
    unread_since: float | None = None
    """Time the last reader left; None with readers or before the first."""
    ended_at: float | None = None
    _changed: anyio.Event | None = None

    @property
    def has_ended(self) -> bool:
        """Whether the request has an outcome or continues elsewhere."""
        return self.outcome is not None or self.moved is not None

    @property
    def held_bytes(self) -> int:
        """Estimated memory of the prompt and the answer."""
        return len(self.request.prompt) + TOKEN_BYTES * len(self.tokens)

    def extend(self, tokens: tuple[str, ...]) -> None:
        """Append tokens to the answer and notify the readers."""
        if not self.tokens and tokens:
            self.first_token_at = anyio.current_time()
        self.tokens.extend(tokens)
        self._notify_readers()

    def end(self, outcome: Outcome) -> None:
        """Set the outcome unless the request has ended; notify readers."""
        if not self.has_ended:
            self.outcome = outcome
            self.ended_at = anyio.current_time()
        self._notify_readers()

    def move(self, moved: Moved) -> None:
        """Redirect the readers to another daemon, unless it has ended."""
        if not self.has_ended:
            self.moved = moved
            self.ended_at = anyio.current_time()
        self._notify_readers()

    def add_reader(self) -> None:
        """Count a caller that starts to read the answer."""
        self.readers += 1
        self.unread_since = None

    def remove_reader(self) -> None:
        """Count a caller that leaves; set `unread_since` after the last."""
        self.readers -= 1
        if self.readers == 0:
            self.unread_since = anyio.current_time()

    async def wait_for_tokens(self, offset: int) -> None:
        """Wait for a token at `offset` or for the end."""
        while len(self.tokens) <= offset and not self.has_ended:
            if self._changed is None:
                self._changed = anyio.Event()
            await self._changed.wait()

    async def wait_ended(self) -> None:
        """Wait until the request has ended here."""
        while not self.has_ended:
            await self.wait_for_tokens(len(self.tokens))

    def _notify_readers(self) -> None:
        if self._changed is not None:
            changed, self._changed = self._changed, None
            changed.set()


def has_same_body(one: ModelRequest, other: ModelRequest) -> bool:
    """Whether two requests ask for the same work."""
    return (
        one.model == other.model
        and one.prompt == other.prompt
        and one.max_tokens == other.max_tokens
        and one.work_class.name == other.work_class.name
        and dict(one.parameters) == dict(other.parameters)
    )


@dataclass(kw_only=True, slots=True)
class RequestRegistry:
    """Accepted requests by id and by idempotency key.

    Finished requests are kept for callers that reconnect, limited in
    number, bytes and time so that memory stays bounded.
    """

    by_id: dict[RequestId, ActiveRequest] = field(default_factory=dict)
    by_key: dict[tuple[AccountId, str], ActiveRequest] = field(
        default_factory=dict
    )
    open_by_id: dict[RequestId, ActiveRequest] = field(default_factory=dict)
    _finished: OrderedDict[RequestId, int] = field(default_factory=OrderedDict)
    """Bytes held by each finished request, oldest first."""
    _finished_bytes: int = 0

    def add(self, active: ActiveRequest) -> None:
        """Add an accepted request."""
        request = active.request
        self.by_id[request.id] = active
        self.open_by_id[request.id] = active
        if request.idempotency_key is not None:
            key = (request.account, request.idempotency_key)
            self.by_key[key] = active

    def note_ended(self, active: ActiveRequest) -> None:
        """Mark a request as finished and evict the oldest finished ones."""
        request = active.request
        self.open_by_id.pop(request.id, None)
        if self.by_id.get(request.id) is not active:
            return
        if request.id in self._finished:
            self._finished_bytes -= self._finished.pop(request.id)
        self._finished[request.id] = active.held_bytes
        self._finished_bytes += active.held_bytes
        self._evict_finished()

    def find(
        self, request: RequestId, account: AccountId
    ) -> ActiveRequest | None:
        """Return a request of an account, None if it has no such one."""
        self._evict_finished()
        active = self.by_id.get(request)
        if active is None or active.request.account != account:
            return None
        return active

    def find_by_key(
        self, account: AccountId, key: str
    ) -> ActiveRequest | None:
        """Return the request of an account with an idempotency key."""
        self._evict_finished()
        return self.by_key.get((account, key))

    def forget(self, active: ActiveRequest) -> None:
        """Remove a request."""
        request = active.request
        self.open_by_id.pop(request.id, None)
        self._finished_bytes -= self._finished.pop(request.id, 0)
        if self.by_id.get(request.id) is active:
            del self.by_id[request.id]
        if request.idempotency_key is not None:
            key = (request.account, request.idempotency_key)
            if self.by_key.get(key) is active:
                del self.by_key[key]

    def open_requests(self) -> Iterator[ActiveRequest]:
        """Return the requests that have not ended."""
        return (
            active
            for active in tuple(self.open_by_id.values())
            if not active.has_ended
        )

    @property
    def is_full(self) -> bool:
        """Whether open requests use all memory reserved for them."""
        held = sum(active.held_bytes for active in self.open_by_id.values())
        return held >= MAX_HELD_BYTES - MAX_FINISHED_BYTES

    def _evict_finished(self) -> None:
        expired_before = anyio.current_time() - FINISHED_TTL_S
        while self._finished:
            active = self.by_id[next(iter(self._finished))]
            is_expired = (
                active.ended_at is None or active.ended_at < expired_before
            )
            if not (
                is_expired
                or len(self._finished) > MAX_FINISHED_REQUESTS
                or self._finished_bytes > MAX_FINISHED_BYTES
            ):
                return
            self.forget(active)


def was_answered(active: ActiveRequest) -> bool:
    """Whether the request has a complete answer."""
    return isinstance(active.outcome, Answered)
