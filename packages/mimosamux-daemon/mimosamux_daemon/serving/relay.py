"""Relay of an engine's token stream into the answer of a request.

Only frames of the current attempt, in sequence, reach the answer.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from mimosamux_daemon.domain.engine import (
    EngineCall,
    StreamBroken,
    StreamEnd,
    TokenFrame,
)
from mimosamux_daemon.ports.models.engine import EngineStream
from mimosamux_daemon.serving.requests import ActiveRequest


class FrameFault(StrEnum):
    """Why a frame was dropped."""

    FOREIGN = 'foreign'
    """It belongs to another request."""
    OLD_ATTEMPT = 'old_attempt'
    REPEATED = 'repeated'
    """All its tokens were received before."""
    GAP = 'gap'
    """Tokens before it are missing."""
    WRONG_TOTAL = 'wrong_total'
    """The end marker's total differs from the number of tokens received."""


class BreakCause(StrEnum):
    """Why an attempt did not complete its answer."""

    CONNECT = 'connect'
    REFUSED = 'refused'
    STREAM = 'stream'
    FRAMES = 'frames'
    """A frame was missing or the end marker's total was wrong."""
    SILENT = 'silent'
    """The engine sent no event within its timeout."""
    RECLAIM = 'reclaim'
    """The endpoint left while the attempt ran there."""
    LEAVING = 'leaving'
    """The endpoint was leaving before the call was sent."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptBroken:
    """The attempt did not complete the answer; its tokens so far are kept."""

    cause: BreakCause
    reason: str
    retry_after_s: float | None = None


@dataclass(kw_only=True, slots=True)
class Progress:
    """Activity of an attempt's stream, for the detection of stalls."""

    started_at: float
    last_event_at: float
    has_event: bool = False
    """Set by each event; the watch resets it and records the time."""
    tokens: int = 0
    """Tokens that this attempt added to the answer."""


FrameDropHandler = Callable[[FrameFault], None]


async def relay_attempt(
    stream: EngineStream,
    call: EngineCall,
    active: ActiveRequest,
    *,
    progress: Progress,
    on_dropped: FrameDropHandler,
) -> StreamEnd | AttemptBroken:
    """Append the tokens of an attempt to the answer until its end marker."""
    while True:
        event = await stream.receive()
        if isinstance(event, StreamBroken):
            return AttemptBroken(cause=BreakCause.STREAM, reason=event.reason)
        received = len(active.tokens)
        fault = find_fault(event, call, received)
        if fault is not None:
            on_dropped(fault)
            if fault in (FrameFault.GAP, FrameFault.WRONG_TOTAL):
                return AttemptBroken(cause=BreakCause.FRAMES, reason=fault)
            continue
        progress.has_event = True
        if isinstance(event, StreamEnd):
            return event
        new_tokens = event.tokens[received - event.offset :]
        progress.tokens += len(new_tokens)
        active.extend(new_tokens)


def find_fault(
    event: TokenFrame | StreamEnd, call: EngineCall, received: int
) -> FrameFault | None:
    """Return why a frame must not reach the caller, None if it may.

    A frame may overlap the tokens received before; only its new tokens
    are used. The total of an end marker has to equal the number of
    received tokens, or the caller would accept a truncated answer as
    complete.
    """
    if event.request != call.request:
        return FrameFault.FOREIGN
    if event.attempt != call.attempt:
        return FrameFault.OLD_ATTEMPT
    if isinstance(event, StreamEnd):
        return None if event.total == received else FrameFault.WRONG_TOTAL
    if event.offset > received:
        return FrameFault.GAP
    if event.offset + len(event.tokens) <= received:
        return FrameFault.REPEATED
    return None
