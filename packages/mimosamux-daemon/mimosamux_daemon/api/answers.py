"""HTTP responses to model requests, streamed or complete."""

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
CLIENT_CLOSED_REQUEST = 499
"""Status that servers log when the client disconnects early."""


def stream_response(
    active: ActiveRequest, offset: int, pace: Pace
) -> Response:
    """Stream the answer as server-sent events from token `offset` on."""
    return StreamingResponse(
        stream_events(active, offset, pace=pace),
        media_type=EVENT_STREAM,
        headers={
            REQUEST_HEADER: active.request.id,
            'Cache-Control': 'no-store',
        },
    )


async def wait_for_response(
    request: Request, active: ActiveRequest
) -> Response:
    """Wait until the request ends, then return the complete answer."""
    active.add_reader()
    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                _cancel_on_disconnect, request, tasks.cancel_scope
            )
            await active.wait_ended()
            tasks.cancel_scope.cancel()
    finally:
        active.remove_reader()
    if not active.has_ended:
        return Response(status_code=CLIENT_CLOSED_REQUEST)
    return ended_response(request, active)


async def _cancel_on_disconnect(
    request: Request, scope: anyio.CancelScope
) -> None:
    """Cancel the scope when the caller disconnects.

    Otherwise the caller counts as a reader until the request ends, and
    a request without real readers is never cancelled.
    """
    while (await request.receive())['type'] != 'http.disconnect':
        pass
    scope.cancel()


def ended_response(request: Request, active: ActiveRequest) -> Response:
    """Return the response for a request that has ended on this daemon."""
    if active.moved is not None:
        return moved_response(request, active, active.moved)
    response = final_response(active.outcome, active)
    response.headers[REQUEST_HEADER] = active.request.id
    return response


@singledispatch
def final_response(outcome: object, active: ActiveRequest) -> Response:
    """Return the HTTP response for the outcome of a model request."""
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
    """Return the state and partial text of a running request."""
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
    """Redirect a waiting caller to the daemon that continues its request."""
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


def unknown_request_response(request_id: str) -> Response:
    """Return a 404 for a request that this daemon does not know.

    The request may still have run on another daemon.
    """
    return JSONResponse(
        {
            'error': {
                'message': f'request {request_id[:64]!r} is not known here',
                'type': 'unknown',
                'code': 'unknown_request',
            },
            'outcome': 'unknown',
            'not_run': False,
        },
        status_code=int(HTTPStatus.NOT_FOUND),
    )
