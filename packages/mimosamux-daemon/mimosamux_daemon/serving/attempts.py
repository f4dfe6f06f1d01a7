"""One attempt of a request on an endpoint, while it runs."""

from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass, field

import anyio

from mimosamux_daemon.domain.engine import (
    ConnectFailed,
    EngineCall,
    EngineRefused,
    StreamBroken,
    StreamEnd,
)
from mimosamux_daemon.domain.vms import Endpoint
from mimosamux_daemon.ports.models.engine import EngineStream
from mimosamux_daemon.serving.fleet import EndpointState
from mimosamux_daemon.serving.prefix_cache import BYTES_PER_TOKEN
from mimosamux_daemon.serving.relay import (
    AttemptBroken,
    BreakCause,
    FrameDropHandler,
    Progress,
    relay_attempt,
)
from mimosamux_daemon.serving.requests import ActiveRequest
from mimosamux_daemon.serving.routing import Choice


@dataclass(frozen=True, kw_only=True, slots=True)
class Transferred:
    """The KV cache of the request stands ready at another endpoint."""

    choice: Choice
    handle: str
    tokens: int


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerGone:
    """Nobody reads the answer, and the class says to stop then."""


Interruption = AttemptBroken | Transferred | CallerGone
AttemptResult = StreamEnd | Interruption
OpenedStream = AbstractAsyncContextManager[
    EngineStream | ConnectFailed | EngineRefused | StreamBroken
]


@dataclass(kw_only=True, slots=True, eq=False)
class Attempt:
    """A running attempt; others may interrupt it with a reason."""

    active: ActiveRequest
    call: EngineCall
    endpoint: Endpoint
    state: EndpointState | None
    estimate_s: float
    """Time to the first token that the choice was made with."""
    patience: float
    """Factor on the usual patience with a silent engine."""
    progress: Progress
    on_dropped: FrameDropHandler
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    interruption: Interruption | None = None
    moving: anyio.Event | None = None
    """Set once the move of its KV cache has succeeded or failed."""

    @property
    def context_tokens(self) -> int:
        """Tokens of prompt and answer, estimated for the prompt."""
        return count_tokens(self.call.prompt) + len(self.active.tokens)

    @property
    def is_leaving(self) -> bool:
        """Whether its endpoint goes away."""
        return self.state is not None and self.state.is_leaving

    def interrupt(self, why: Interruption) -> None:
        """Stop the attempt; the first reason counts."""
        if self.interruption is None:
            self.interruption = why
            self.scope.cancel()

    async def run(self, opened: OpenedStream) -> AttemptResult:
        """Relay the answer until its end, a break or an interruption."""
        result: AttemptResult | None = None
        with self.scope:
            async with opened as stream:
                result = await self._relay(stream)
        if isinstance(result, AttemptBroken) and self.moving is not None:
            # An export stops the stream, which looks like a break: the
            # move that asked for it decides how the request goes on.
            await self.moving.wait()
            return self.interruption or AttemptBroken(
                cause=BreakCause.RECLAIM, reason=result.reason
            )
        if result is not None:
            return result
        return self.interruption or AttemptBroken(
            cause=BreakCause.STREAM, reason='hung up'
        )

    async def _relay(
        self,
        stream: EngineStream | ConnectFailed | EngineRefused | StreamBroken,
    ) -> StreamEnd | AttemptBroken:
        if isinstance(stream, ConnectFailed):
            return AttemptBroken(
                cause=BreakCause.CONNECT, reason=stream.reason
            )
        if isinstance(stream, EngineRefused):
            return AttemptBroken(
                cause=BreakCause.REFUSED,
                reason=stream.reason,
                retry_after_s=stream.retry_after_s,
            )
        if isinstance(stream, StreamBroken):
            return AttemptBroken(cause=BreakCause.STREAM, reason=stream.reason)
        return await relay_attempt(
            stream,
            self.call,
            self.active,
            progress=self.progress,
            on_dropped=self.on_dropped,
        )


def count_tokens(prompt: str) -> int:
    """Return about how many tokens a prompt has."""
    return max(1, len(prompt) // BYTES_PER_TOKEN)
