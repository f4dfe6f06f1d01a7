"""The model requests that this daemon has accepted."""

from collections.abc import Iterator
from dataclasses import dataclass, field

import anyio

from mimosamux_daemon.domain.names import AccountId, RequestId
from mimosamux_daemon.domain.outcomes import Outcome
from mimosamux_daemon.domain.work import ModelRequest


@dataclass(frozen=True, kw_only=True, slots=True)
class Moved:
    """The request goes on at another daemon."""

    address: str
    """`host:port` of the caller API there."""
    offset: int
    """Tokens of the answer that went there with the request."""


@dataclass(kw_only=True, slots=True)
class ActiveRequest:
    """An accepted request, the answer so far, and how it ended.

    One task writes the answer; any number of callers read it, each at
    its own pace, so a slow reader holds up neither engine nor others.
    """

    request: ModelRequest
    tokens: list[str] = field(default_factory=list)
    attempt: int = 0
    outcome: Outcome | None = None
    moved: Moved | None = None
    readers: int = 0
    _changed: anyio.Event = field(default_factory=anyio.Event)

    @property
    def has_ended(self) -> bool:
        """Whether nothing more is added here."""
        return self.outcome is not None or self.moved is not None

    def extend(self, tokens: tuple[str, ...]) -> None:
        """Add tokens to the answer and wake the readers."""
        self.tokens.extend(tokens)
        self._wake()

    def end(self, outcome: Outcome) -> None:
        """Set the outcome, once, and wake the readers."""
        if self.outcome is None:
            self.outcome = outcome
        self._wake()

    def move(self, moved: Moved) -> None:
        """Send the readers to another daemon."""
        self.moved = moved
        self._wake()

    async def wait_beyond(self, offset: int) -> None:
        """Return when there are tokens from `offset` on, or the end."""
        while len(self.tokens) <= offset and not self.has_ended:
            await self._changed.wait()

    def _wake(self) -> None:
        changed, self._changed = self._changed, anyio.Event()
        changed.set()


@dataclass(kw_only=True, slots=True)
class RequestRegistry:
    """Accepted requests by id and by idempotency key."""

    by_id: dict[RequestId, ActiveRequest] = field(default_factory=dict)
    by_key: dict[tuple[AccountId, str], ActiveRequest] = field(
        default_factory=dict
    )

    def add(self, active: ActiveRequest) -> None:
        """Keep an accepted request."""
        request = active.request
        self.by_id[request.id] = active
        if request.idempotency_key is not None:
            key = (request.account, request.idempotency_key)
            self.by_key[key] = active

    def open_requests(self) -> Iterator[ActiveRequest]:
        """Return the requests that have not ended."""
        return (
            active for active in self.by_id.values() if not active.has_ended
        )
