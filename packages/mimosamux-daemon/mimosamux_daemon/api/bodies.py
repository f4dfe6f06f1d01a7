"""Reads the bodies of requests to the caller API, within a size and a time."""

from enum import Enum, auto
from http import HTTPStatus

import anyio
from starlette.requests import ClientDisconnect, Request
from starlette.responses import JSONResponse, Response

from mimosamux_daemon.api.caller_gate import (
    GATED_REQUEST,
    YIELDED,
    GatedRequest,
    give_up_nothing,
)
from mimosamux_daemon.api.errors import outcome_body, outcome_response
from mimosamux_daemon.callers import BODY_TIMEOUT_S, LossCause
from mimosamux_daemon.domain.outcomes import Reason, Refused

MAX_BODY_BYTES = 2 * 1024 * 1024
"""Largest body of a model request; about half a million tokens."""
SERVER_BYTES = 128 * 1024
"""Bytes of a body that arrives which the HTTP server has not given out."""
COPIES = 3
"""Copies of a body while its request is at work: as it came, as it was parsed
and as it is sent."""


class BodyProblem(Enum):
    """Why a body was not accepted; its request did not run."""

    TOO_LARGE = auto()
    TOO_SLOW = auto()
    TRUNCATED = auto()
    YIELDED = auto()
    """Too much of other callers' requests is held."""


CAUSE_BY_PROBLEM = {
    BodyProblem.TOO_LARGE: LossCause.TOO_LARGE,
    BodyProblem.TOO_SLOW: LossCause.SLOW_BODY,
}
"""Limits that a body met; the account itself counts those that yield."""


STATUS_BY_PROBLEM = {
    BodyProblem.TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    BodyProblem.TOO_SLOW: HTTPStatus.REQUEST_TIMEOUT,
    BodyProblem.TRUNCATED: HTTPStatus.BAD_REQUEST,
    BodyProblem.YIELDED: HTTPStatus.SERVICE_UNAVAILABLE,
}
TEXT_BY_PROBLEM = {
    BodyProblem.TOO_LARGE: 'larger than {limit} bytes',
    BodyProblem.TOO_SLOW: 'not here in time',
    BodyProblem.TRUNCATED: 'broke off',
    BodyProblem.YIELDED: YIELDED.message,
}


def describe_problem(problem: BodyProblem, *, limit: int) -> str:
    """Return what to tell about a body of which `limit` bytes may be sent."""
    return TEXT_BY_PROBLEM[problem].format(limit=limit)


def refuse_body(
    problem: BodyProblem, *, limit: int = MAX_BODY_BYTES
) -> Response:
    """Return the answer to a request whose body was not accepted."""
    if problem is BodyProblem.YIELDED:
        return outcome_response(YIELDED)
    refused = Refused(
        reason=Reason.BAD_REQUEST,
        message=f'body: {describe_problem(problem, limit=limit)}',
    )
    return JSONResponse(
        outcome_body(refused), status_code=STATUS_BY_PROBLEM[problem]
    )


async def read_body(
    request: Request, *, limit: int = MAX_BODY_BYTES, owner: str = ''
) -> bytes | BodyProblem:
    """Return the complete body, of at most `limit` bytes, or why not.

    `owner` is the client account that sends it.
    """
    gated: GatedRequest | None = request.scope.get(GATED_REQUEST)
    if gated is None:
        with anyio.move_on_after(BODY_TIMEOUT_S):
            return await _read_within_limit(request, limit, None)
        return BodyProblem.TOO_SLOW
    gated.holding.assign(owner)
    found: bytes | BodyProblem = BodyProblem.TOO_SLOW
    with anyio.move_on_after(gated.body_timeout_s) as scope:
        gated.give_up = scope.cancel
        found = await _read_within_limit(request, limit, gated)
    gated.give_up = give_up_nothing
    if gated.has_yielded:
        return BodyProblem.YIELDED
    if isinstance(found, BodyProblem):
        gated.holding.release()
        if found in CAUSE_BY_PROBLEM:
            gated.account.record.add(CAUSE_BY_PROBLEM[found])
        return found
    if not gated.holding.finish(COPIES * len(found)):
        return BodyProblem.YIELDED
    return found if gated.begin_work() else BodyProblem.YIELDED


async def _read_within_limit(
    request: Request, limit: int, gated: GatedRequest | None
) -> bytes | BodyProblem:
    content_length = request.headers.get('content-length', '')
    if content_length.isdecimal() and int(content_length) > limit:
        return BodyProblem.TOO_LARGE
    # Chunks of a few bytes, kept apart, would take many times their size.
    body = bytearray()
    try:
        async for chunk in request.stream():
            body += chunk
            if len(body) > limit:
                return BodyProblem.TOO_LARGE
            if gated is not None and not gated.holding.hold(
                len(body) + SERVER_BYTES
            ):
                return BodyProblem.YIELDED
    except ClientDisconnect:
        return BodyProblem.TRUNCATED
    return bytes(body)
