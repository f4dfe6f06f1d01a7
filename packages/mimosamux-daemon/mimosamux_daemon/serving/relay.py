"""Relay of one attempt: only frames of this attempt, in sequence."""

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
    OLD_ATTEMPT = 'old_attempt'
    REPEATED = 'repeated'
    GAP = 'gap'
    WRONG_TOTAL = 'wrong_total'


class BreakCause(StrEnum):
    """Why an attempt gave no whole answer."""

    CONNECT = 'connect'
    REFUSED = 'refused'
    STREAM = 'stream'
    FRAMES = 'frames'
    SILENT = 'silent'
    RECLAIM = 'reclaim'
    LEAVING = 'leaving'
    """The endpoint was leaving before the call was sent."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptBroken:
    """The attempt gave no whole answer; tokens so far are kept."""

    cause: BreakCause
    reason: str
    retry_after_s: float | None = None


@dataclass(kw_only=True, slots=True)
class Progress:
    """When an attempt last gave something, for the watch over silence."""

    started_at: float
    last_event_at: float
    has_event: bool = False
    """Set by each event; the watch takes the time and resets it."""
    tokens: int = 0
    """Tokens that this attempt added to the answer."""


DropFrame = Callable[[FrameFault], None]


async def relay_attempt(
    stream: EngineStream,
    call: EngineCall,
    active: ActiveRequest,
    *,
    progress: Progress,
    on_dropped: DropFrame,
) -> StreamEnd | AttemptBroken:
    """Append the tokens of an attempt until its end marker."""
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
        fresh = event.tokens[received - event.offset :]
        progress.tokens += len(fresh)
        active.extend(fresh)


def find_fault(
    event: TokenFrame | StreamEnd, call: EngineCall, received: int
) -> FrameFault | None:
    """Return why a frame must not reach the caller, if it must not.

    A frame that overlaps what was received is no fault: its new tokens
    are taken. An end marker has to agree with what was received, else
    the caller would take a truncated answer for a whole one.
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
