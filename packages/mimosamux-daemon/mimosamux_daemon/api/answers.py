"""HTTP answers to model requests, as a stream or as a whole."""

from functools import singledispatch
from http import HTTPStatus

import anyio
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse

from mimosamux_daemon.api.errors import outcome_response
from mimosamux_daemon.api.streams import event_id, stream_events
from mimosamux_daemon.domain.outcomes import Answered
from mimosamux_daemon.pace import Pace
from mimosamux_daemon.serving.requests import ActiveRequest, Moved

REQUEST_HEADER = 'X-Mimosamux-Request'
EVENT_STREAM = 'text/event-stream'
CALLER_LEFT = 499
"""Status of an answer that nobody reads, as other servers log it."""


def stream_response(
    active: ActiveRequest, offset: int, pace: Pace
) -> Response:
    """Return the answer as server-sent events from `offset` on."""
    return StreamingResponse(
        stream_events(active, offset, pace=pace),
        media_type=EVENT_STREAM,
        headers={
            REQUEST_HEADER: active.request.id,
            'Cache-Control': 'no-store',
        },
    )


async def whole_response(request: Request, active: ActiveRequest) -> Response:
    """Return the whole answer once it is there."""
    active.add_reader()
    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_when_gone, request, tasks.cancel_scope)
            await active.wait_ended()
            tasks.cancel_scope.cancel()
    finally:
        active.remove_reader()
    if not active.has_ended:
        return Response(status_code=CALLER_LEFT)
    return ended_response(request, active)


async def _cancel_when_gone(
    request: Request, scope: anyio.CancelScope
) -> None:
    """Stop waiting once the caller has hung up.

    Otherwise the caller would count as a reader to the end, and work
    that nobody waits for would never be cancelled.
    """
    while (await request.receive())['type'] != 'http.disconnect':
        pass
    scope.cancel()


def ended_response(request: Request, active: ActiveRequest) -> Response:
    """Return the answer of a request that has ended here."""
    if active.moved is not None:
        return moved_response(request, active, active.moved)
    response = final_response(active.outcome, active)
    response.headers[REQUEST_HEADER] = active.request.id
    return response


@singledispatch
def final_response(outcome: object, active: ActiveRequest) -> Response:
    """Return the HTTP answer for the outcome of a model request."""
    return outcome_response(outcome)


@final_response.register
def _(outcome: Answered, active: ActiveRequest) -> Response:
    return JSONResponse(
        {
            'id': outcome.request,
            'object': 'chat.completion',
            'model': active.request.model,
            'state': 'answered',
            'choices': [
                {
                    'index': 0,
                    'message': {'role': 'assistant', 'content': outcome.text},
                    'text': outcome.text,
                    'finish_reason': outcome.finish_reason,
                }
            ],
            'usage': {'completion_tokens': outcome.tokens},
        }
    )


def running_response(active: ActiveRequest) -> Response:
    """Return how far a request is that has not ended."""
    return JSONResponse(
        {
            'id': active.request.id,
            'object': 'chat.completion',
            'model': active.request.model,
            'state': 'running',
            'text': ''.join(active.tokens),
            'usage': {'completion_tokens': len(active.tokens)},
        },
        headers={REQUEST_HEADER: active.request.id},
    )


def moved_response(
    request: Request, active: ActiveRequest, moved: Moved
) -> Response:
    """Send a caller that waits for a whole answer to where it goes on."""
    path = f'/v1/requests/{active.request.id}?wait=true'
    return JSONResponse(
        {
            'state': 'moved',
            'address': moved.address,
            'last_event_id': event_id(active, moved.offset),
        },
        status_code=int(HTTPStatus.SEE_OTHER),
        headers={
            'Location': f'{request.url.scheme}://{moved.address}{path}',
            REQUEST_HEADER: active.request.id,
        },
    )


def unknown_request_response(identity: str) -> Response:
    """Say that a request is not known here, without saying it never ran."""
    return JSONResponse(
        {
            'error': {
                'message': f'request {identity[:64]!r} is not known here',
                'type': 'unknown',
                'code': 'unknown_request',
            },
            'outcome': 'unknown',
            'not_run': False,
        },
        status_code=int(HTTPStatus.NOT_FOUND),
    )
