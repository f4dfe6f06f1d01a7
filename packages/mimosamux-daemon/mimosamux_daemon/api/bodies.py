"""Reads request bodies within limits of size and time."""

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
"""Time that a caller has to send its body."""


@dataclass(frozen=True, kw_only=True, slots=True)
class BodyRefused:
    """The body was not read; nothing ran."""

    status: HTTPStatus
    message: str

    def as_response(self) -> Response:
        """Return the HTTP answer."""
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
BROKE_OFF = BodyRefused(
    status=HTTPStatus.BAD_REQUEST, message='body: broke off'
)


async def read_body(request: Request) -> bytes | BodyRefused:
    """Return the whole body, unless it is too large or too slow.

    Without the limits a few callers could fill the memory of a small VM
    with bodies that never end.
    """
    announced = request.headers.get('content-length', '')
    if announced.isdecimal() and int(announced) > MAX_BODY_BYTES:
        return TOO_LARGE
    with anyio.move_on_after(BODY_TIMEOUT_S):
        return await _read_within_limit(request)
    return TOO_SLOW


async def _read_within_limit(request: Request) -> bytes | BodyRefused:
    parts = []
    size = 0
    try:
        async for part in request.stream():
            parts.append(part)
            size += len(part)
            if size > MAX_BODY_BYTES:
                return TOO_LARGE
    except ClientDisconnect:
        return BROKE_OFF
    return b''.join(parts)
