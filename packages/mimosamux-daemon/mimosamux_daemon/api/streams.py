"""Server-sent events of a model request."""

from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass

import anyio
import orjson

from mimosamux_daemon.api.errors import outcome_body
from mimosamux_daemon.domain.names import RequestId
from mimosamux_daemon.domain.outcomes import Answered
from mimosamux_daemon.pace import Pace
from mimosamux_daemon.serving.requests import ActiveRequest

DONE = b'data: [DONE]\n\n'
KEEP_ALIVE_S = 10.0
"""Longest silence of a stream whose daemon lives. A caller tells by it a
daemon that stands still from a request that waits for its first token."""
KEEP_ALIVE = b': waiting\n\n'
MAX_OFFSET_DIGITS = 9


@dataclass(frozen=True, kw_only=True, slots=True)
class EventId:
    """The event of a request's answer that ends at `offset` tokens."""

    request: RequestId
    offset: int


def event_id(active: ActiveRequest, offset: int) -> str:
    """Return the id of the event that ends at `offset` tokens."""
    return f'{active.request.id}:{offset}'


def parse_event_id(text: str) -> EventId | None:
    """Return the parts of an event id, None if it is malformed."""
    request, colon, offset = text.rpartition(':')
    if not (colon and request and offset.isascii() and offset.isdecimal()):
        return None
    if len(offset) > MAX_OFFSET_DIGITS:
        return None
    return EventId(request=RequestId(request), offset=int(offset))


def chunk(
    active: ActiveRequest, text: str, finish_reason: str | None
) -> dict[str, object]:
    """Return one chunk in the form that callers know."""
    return {
        'id': active.request.id,
        'object': 'chat.completion.chunk',
        'model': active.request.model,
        'choices': [
            {
                'index': 0,
                'delta': {'content': text} if text else {},
                'text': text,
                'finish_reason': finish_reason,
            }
        ],
    }


async def stream_events(
    active: ActiveRequest, offset: int, *, pace: Pace | None = None
) -> AsyncIterator[bytes]:
    """Yield events from `offset` on, with all that is ready in each.

    The first one comes at once, and those after it at the pace.
    """
    pace = Pace() if pace is None else pace
    pace.streams += 1
    active.add_reader()
    has_begun = False
    try:
        while True:
            with anyio.move_on_after(KEEP_ALIVE_S) as waiting:
                await active.wait_for_tokens(offset)
            if waiting.cancelled_caught:
                yield KEEP_ALIVE
            elif len(active.tokens) > offset:
                text = ''.join(active.tokens[offset:])
                offset = len(active.tokens)
                yield _event(
                    event_id(active, offset), chunk(active, text, None)
                )
                if has_begun and pace.gap_s and not active.has_ended:
                    await anyio.sleep(pace.gap_s)
                has_begun = True
            if active.has_ended and len(active.tokens) <= offset:
                break
    finally:
        active.remove_reader()
        pace.streams -= 1
    for last in _last_events(active, offset):
        yield last


def _last_events(active: ActiveRequest, offset: int) -> list[bytes]:
    identity = event_id(active, offset)
    if active.moved is not None:
        body = {'address': active.moved.address, 'last_event_id': identity}
        return [_event(identity, body, name='moved')]
    if isinstance(active.outcome, Answered):
        final = chunk(active, '', active.outcome.finish_reason)
        return [_event(identity, final), DONE]
    return [_event(identity, outcome_body(active.outcome), name='error')]


def _event(
    identity: str, body: Mapping[str, object], *, name: str | None = None
) -> bytes:
    head = f'event: {name}\n' if name else ''
    return f'{head}id: {identity}\ndata: '.encode() + (
        orjson.dumps(body) + b'\n\n'
    )
