"""Relay of one attempt: only frames of this attempt, in sequence."""

from dataclasses import dataclass
from enum import StrEnum

from mimosamux_daemon.domain.engine import (
    EngineCall,
    StreamBroken,
    StreamEnd,
    TokenFrame,
)
from mimosamux_daemon.ports.engine import EngineStream
from mimosamux_daemon.serving.requests import ActiveRequest


class FrameFault(StrEnum):
    """Why a frame was dropped."""

    FOREIGN = 'foreign'
    OLD_ATTEMPT = 'old_attempt'
    REPEATED = 'repeated'
    GAP = 'gap'


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptBroken:
    """The attempt gave no whole answer; tokens so far are kept."""

    reason: str


async def relay_attempt(
    stream: EngineStream, call: EngineCall, active: ActiveRequest
) -> StreamEnd | AttemptBroken:
    """Append the tokens of an attempt until its end marker."""
    while True:
        event = await stream.receive()
        if isinstance(event, StreamBroken):
            return AttemptBroken(reason=event.reason)
        fault = find_fault(event, call, len(active.tokens))
        if fault is FrameFault.GAP:
            return AttemptBroken(reason='gap in the stream')
        if fault is not None:
            continue
        if isinstance(event, StreamEnd):
            return event
        active.extend(event.tokens)


def find_fault(
    event: TokenFrame | StreamEnd, call: EngineCall, received: int
) -> FrameFault | None:
    """Return why a frame must not reach the caller, if it must not."""
    if event.request != call.request:
        return FrameFault.FOREIGN
    if event.attempt != call.attempt:
        return FrameFault.OLD_ATTEMPT
    offset = event.total if isinstance(event, StreamEnd) else event.offset
    if offset < received:
        return FrameFault.REPEATED
    if offset > received:
        return FrameFault.GAP
    return None
