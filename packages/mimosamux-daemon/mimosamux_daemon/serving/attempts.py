"""A running attempt: one call of an endpoint's engine for a request."""

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
    """The request's KV cache has been copied to another endpoint.

    `handle` names the copy there and `tokens` is its size.
    """

    choice: Choice
    handle: str
    tokens: int


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerGone:
    """All readers have left, and the class cancels such requests."""


Interruption = AttemptBroken | Transferred | CallerGone
AttemptResult = StreamEnd | Interruption
OpenedStream = AbstractAsyncContextManager[
    EngineStream | ConnectFailed | EngineRefused | StreamBroken
]


@dataclass(kw_only=True, slots=True, eq=False)
class Attempt:
    """A running attempt, which other tasks may interrupt with a reason."""

    active: ActiveRequest
    call: EngineCall
    endpoint: Endpoint
    state: EndpointState | None
    estimate_s: float
    """Time to the first token, as estimated by the router."""
    timeout_factor: float
    """Factor on the time-out for an engine that sends no events."""
    progress: Progress
    on_dropped: FrameDropHandler
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    interruption: Interruption | None = None
    transfer_done: anyio.Event | None = None
    """Set once the running KV-cache transfer has succeeded or failed.

    None while no transfer runs.
    """

    @property
    def context_tokens(self) -> int:
        """Tokens of the prompt (estimated) and of the answer so far."""
        return count_tokens(self.call.prompt) + len(self.active.tokens)

    @property
    def is_leaving(self) -> bool:
        """Whether the endpoint is about to go away."""
        return self.state is not None and self.state.is_leaving

    def interrupt(self, interruption: Interruption) -> None:
        """Stop the attempt; only the first reason counts."""
        if self.interruption is None:
            self.interruption = interruption
            self.scope.cancel()

    async def run(self, opened: OpenedStream) -> AttemptResult:
        """Relay the answer until it ends, breaks or is interrupted."""
        result: AttemptResult | None = None
        with self.scope:
            async with opened as stream:
                result = await self._relay(stream)
        if (
            isinstance(result, AttemptBroken)
            and self.transfer_done is not None
        ):
            # Exporting the KV cache ends the stream, which looks like a
            # broken attempt. The transfer decides how the request continues.
            await self.transfer_done.wait()
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
    """Return the estimated number of tokens of a prompt."""
    return max(1, len(prompt) // BYTES_PER_TOKEN)
