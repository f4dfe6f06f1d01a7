"""The model requests that this daemon has accepted."""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field

import anyio

from mimosamux_daemon.domain.names import AccountId, RequestId
from mimosamux_daemon.domain.outcomes import Answered, Outcome
from mimosamux_daemon.domain.work import ModelRequest

FINISHED_REQUESTS = 5_000
"""Finished requests that are kept for callers who come back."""
FINISHED_BYTES = 32 * 1024 * 1024
"""Bytes of answers and prompts that finished requests may hold."""
FINISHED_S = 600.0
"""How long a finished request is kept, in seconds."""
HELD_BYTES = 96 * 1024 * 1024
"""Bytes that all requests together may hold before new ones wait."""
TOKEN_BYTES = 64
"""Memory that one short token of an answer takes in a list."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Moved:
    """The request goes on at another daemon."""

    address: str
    """`host:port` of the caller API there."""
    offset: int
    """Tokens of the answer that went there with the request."""


@dataclass(kw_only=True, slots=True, eq=False)
class ActiveRequest:
    """An accepted request, the answer so far, and how it ended.

    One task writes the answer; any number of callers read it, each at
    its own pace, so a slow reader holds up neither engine nor others.
    """

    request: ModelRequest
    tokens: list[str] = field(default_factory=list)
    attempt: int = 0
    first_token_at: float | None = None
    """When the first token came, if it came at this daemon."""
    outcome: Outcome | None = None
    moved: Moved | None = None
    readers: int = 0
    unread_since: float | None = None
    """When the last reader left; None: one reads, or none has yet."""
    ended_at: float | None = None
    _changed: anyio.Event | None = None

    @property
    def has_ended(self) -> bool:
        """Whether nothing more is added here."""
        return self.outcome is not None or self.moved is not None

    @property
    def held_bytes(self) -> int:
        """Memory that prompt and answer take, estimated."""
        return len(self.request.prompt) + TOKEN_BYTES * len(self.tokens)

    def extend(self, tokens: tuple[str, ...]) -> None:
        """Add tokens to the answer and wake the readers."""
        if not self.tokens and tokens:
            self.first_token_at = anyio.current_time()
        self.tokens.extend(tokens)
        self._wake()

    def end(self, outcome: Outcome) -> None:
        """Set the outcome, once, and wake the readers."""
        if not self.has_ended:
            self.outcome = outcome
            self.ended_at = anyio.current_time()
        self._wake()

    def move(self, moved: Moved) -> None:
        """Send the readers to another daemon, unless it has ended."""
        if not self.has_ended:
            self.moved = moved
            self.ended_at = anyio.current_time()
        self._wake()

    def add_reader(self) -> None:
        """Count a caller that reads the answer."""
        self.readers += 1
        self.unread_since = None

    def remove_reader(self) -> None:
        """Stop counting a caller; the last one to go leaves a time."""
        self.readers -= 1
        if self.readers == 0:
            self.unread_since = anyio.current_time()

    async def wait_beyond(self, offset: int) -> None:
        """Return when there are tokens from `offset` on, or the end."""
        while len(self.tokens) <= offset and not self.has_ended:
            if self._changed is None:
                self._changed = anyio.Event()
            await self._changed.wait()

    async def wait_ended(self) -> None:
        """Return when the request has ended here."""
        while not self.has_ended:
            await self.wait_beyond(len(self.tokens))

    def _wake(self) -> None:
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

    Finished ones stay for callers who come back, bounded in number,
    bytes and time, so that memory does not grow with all that was served.
    """

    by_id: dict[RequestId, ActiveRequest] = field(default_factory=dict)
    by_key: dict[tuple[AccountId, str], ActiveRequest] = field(
        default_factory=dict
    )
    open_by_id: dict[RequestId, ActiveRequest] = field(default_factory=dict)
    _finished: OrderedDict[RequestId, int] = field(default_factory=OrderedDict)
    _finished_bytes: int = 0

    def add(self, active: ActiveRequest) -> None:
        """Keep an accepted request."""
        request = active.request
        self.by_id[request.id] = active
        self.open_by_id[request.id] = active
        if request.idempotency_key is not None:
            key = (request.account, request.idempotency_key)
            self.by_key[key] = active

    def note_ended(self, active: ActiveRequest) -> None:
        """Keep a finished request for a while, and drop the oldest."""
        request = active.request
        self.open_by_id.pop(request.id, None)
        if self.by_id.get(request.id) is not active:
            return
        if request.id in self._finished:
            self._finished_bytes -= self._finished.pop(request.id)
        self._finished[request.id] = active.held_bytes
        self._finished_bytes += active.held_bytes
        self._drop_old()

    def find(
        self, request: RequestId, account: AccountId
    ) -> ActiveRequest | None:
        """Return an account's own request, None if it is not known."""
        self._drop_old()
        active = self.by_id.get(request)
        if active is None or active.request.account != account:
            return None
        return active

    def find_key(self, account: AccountId, key: str) -> ActiveRequest | None:
        """Return the request that an account sent under a key."""
        self._drop_old()
        return self.by_key.get((account, key))

    def forget(self, active: ActiveRequest) -> None:
        """Drop a request for good."""
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
        """Whether open requests hold all the memory there is for them."""
        held = sum(active.held_bytes for active in self.open_by_id.values())
        return held >= HELD_BYTES - FINISHED_BYTES

    def _drop_old(self) -> None:
        oldest = anyio.current_time() - FINISHED_S
        while self._finished:
            active = self.by_id[next(iter(self._finished))]
            is_old = active.ended_at is None or active.ended_at < oldest
            if not (
                is_old
                or len(self._finished) > FINISHED_REQUESTS
                or self._finished_bytes > FINISHED_BYTES
            ):
                return
            self.forget(active)


def was_answered(active: ActiveRequest) -> bool:
    """Whether the request has its full answer."""
    return isinstance(active.outcome, Answered)
