"""Reads bodies of model requests with a size limit and a time-out."""

from dataclasses import dataclass
from http import HTTPStatus

import anyio
from starlette.requests import ClientDisconnect, Request
from starlette.responses import JSONResponse, Response

from mimosamux_daemon.api.errors import outcome_body
from mimosamux_daemon.domain.outcomes import Reason, Refused

MAX_BODY_BYTES = 2 * 1024 * 1024
"""Largest body of a model request; about half a million tokens."""
BODY_TIMEOUT_S = 30.0
"""Time-out for receiving a complete body."""


@dataclass(frozen=True, kw_only=True, slots=True)
class BodyRefused:
    """A body was not accepted, so its request did not run."""

    status: HTTPStatus
    message: str

    def as_response(self) -> Response:
        """Return the HTTP error response."""
        refused = Refused(reason=Reason.BAD_REQUEST, message=self.message)
        return JSONResponse(
            outcome_body(refused), status_code=int(self.status)
        )


TOO_LARGE = BodyRefused(
    status=HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    message=f'body: larger than {MAX_BODY_BYTES} bytes',
)
TOO_SLOW = BodyRefused(
    status=HTTPStatus.REQUEST_TIMEOUT,
    message=f'body: not here within {BODY_TIMEOUT_S:.0f} s',
)
TRUNCATED = BodyRefused(
    status=HTTPStatus.BAD_REQUEST, message='body: broke off'
)


async def read_body(request: Request) -> bytes | BodyRefused:
    """Return the complete body, or why it is refused.

    Without the limits, a few callers could exhaust the memory of a small
    VM with bodies that never end.
    """
    content_length = request.headers.get('content-length', '')
    if content_length.isdecimal() and int(content_length) > MAX_BODY_BYTES:
        return TOO_LARGE
    with anyio.move_on_after(BODY_TIMEOUT_S):
        return await _read_within_limit(request)
    return TOO_SLOW


async def _read_within_limit(request: Request) -> bytes | BodyRefused:
    chunks = []
    size = 0
    try:
        async for chunk in request.stream():
            chunks.append(chunk)
            size += len(chunk)
            if size > MAX_BODY_BYTES:
                return TOO_LARGE
    except ClientDisconnect:
        return TRUNCATED
    return b''.join(chunks)
