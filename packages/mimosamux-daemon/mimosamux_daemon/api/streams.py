"""Server-sent events that stream the answer to a model request."""

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
"""Idle time after which a keep-alive comment is sent.

By these comments a caller tells a request that waits for its first token
from a daemon that hangs.
"""
KEEP_ALIVE = b': waiting\n\n'
MAX_OFFSET_DIGITS = 9
"""Longest offset that an event id may have, in decimal digits."""


@dataclass(frozen=True, kw_only=True, slots=True)
class EventId:
    """Identifies the event that ends `offset` tokens into an answer."""

    request: RequestId
    offset: int


def event_id(active: ActiveRequest, offset: int) -> str:
    """Return the text of the id `REQUEST:OFFSET` of an event."""
    return f'{active.request.id}:{offset}'


def parse_event_id(text: str) -> EventId | None:
    """Parse the id of an event; return None if it is malformed."""
    request, colon, offset = text.rpartition(':')
    if not (colon and request and offset.isascii() and offset.isdecimal()):
        return None
    if len(offset) > MAX_OFFSET_DIGITS:
        return None
    return EventId(request=RequestId(request), offset=int(offset))


def build_chunk(
    active: ActiveRequest, text: str, finish_reason: str | None
) -> dict[str, object]:
    """Return one completion chunk in the OpenAI format."""
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
    """Yield events from token `offset` on.

    Each event carries all tokens that are ready. The first event is sent
    at once; a pause follows each later one, so that tokens accumulate.
    """
    pace = Pace() if pace is None else pace
    pace.streams += 1
    active.add_reader()
    has_sent_tokens = False
    try:
        while True:
            with anyio.move_on_after(KEEP_ALIVE_S) as idle_scope:
                await active.wait_for_tokens(offset)
            if idle_scope.cancelled_caught:
                yield KEEP_ALIVE
            elif len(active.tokens) > offset:
                text = ''.join(active.tokens[offset:])
                offset = len(active.tokens)
                yield _event(
                    event_id(active, offset), build_chunk(active, text, None)
                )
                if has_sent_tokens and pace.gap_s and not active.has_ended:
                    await anyio.sleep(pace.gap_s)
                has_sent_tokens = True
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
        final = build_chunk(active, '', active.outcome.finish_reason)
        return [_event(identity, final), DONE]
    return [_event(identity, outcome_body(active.outcome), name='error')]


def _event(
    identity: str, body: Mapping[str, object], *, name: str | None = None
) -> bytes:
    head = f'event: {name}\n' if name else ''
    return f'{head}id: {identity}\ndata: '.encode() + (
        orjson.dumps(body) + b'\n\n'
    )
