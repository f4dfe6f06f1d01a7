"""HTTP responses for outcomes, with errors in the OpenAI format."""

import math
from functools import singledispatch
from http import HTTPStatus

from starlette.responses import JSONResponse, Response

from mimosamux_daemon.domain.outcomes import (
    Answered,
    Failed,
    InDoubt,
    Outcome,
    Reason,
    Refused,
    Unknown,
)

STATUS_BY_REASON: dict[Reason, HTTPStatus] = {
    Reason.ACCOUNT_BUSY: HTTPStatus.TOO_MANY_REQUESTS,
    Reason.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
    Reason.CONFLICT: HTTPStatus.UNPROCESSABLE_ENTITY,
    Reason.DEADLINE: HTTPStatus.GATEWAY_TIMEOUT,
    Reason.ENDPOINT_FAILED: HTTPStatus.BAD_GATEWAY,
    Reason.NOT_AUTHORISED: HTTPStatus.UNAUTHORIZED,
    Reason.OVERLOADED: HTTPStatus.TOO_MANY_REQUESTS,
    Reason.RETRY_BUDGET: HTTPStatus.BAD_GATEWAY,
    Reason.UNKNOWN_CLASS: HTTPStatus.BAD_REQUEST,
    Reason.UNKNOWN_MODEL: HTTPStatus.NOT_FOUND,
    Reason.UNKNOWN_REQUEST: HTTPStatus.NOT_FOUND,
    Reason.UNKNOWN_SERVICE: HTTPStatus.NOT_FOUND,
}
"""HTTP status by reason.

Other reasons give 503 (service unavailable) for refused requests and 502
(bad gateway) for failed ones.
"""


@singledispatch
def outcome_body(outcome: object) -> dict[str, object]:
    """Return the error object that describes an outcome."""
    raise TypeError(f'not an outcome: {type(outcome).__name__}')


@outcome_body.register
def _(outcome: Refused) -> dict[str, object]:
    return _error('refused', outcome.reason, outcome.message, not_run=True)


@outcome_body.register
def _(outcome: Failed) -> dict[str, object]:
    return _error('failed', outcome.reason, outcome.message, not_run=False)


@outcome_body.register
def _(outcome: Unknown) -> dict[str, object]:
    return _error('unknown', 'unknown', outcome.message, not_run=False)


@outcome_body.register
def _(outcome: InDoubt) -> dict[str, object]:
    return _error('in_doubt', Reason.IN_DOUBT, outcome.message, not_run=False)


def _error(
    outcome: str, code: str, message: str, *, not_run: bool
) -> dict[str, object]:
    return {
        'error': {
            'message': message,
            'type': outcome,
            'code': str(code),
        },
        'outcome': outcome,
        'not_run': not_run,
    }


@singledispatch
def outcome_response(outcome: object) -> Response:
    """Return the HTTP response for an outcome."""
    raise TypeError(f'not an outcome: {type(outcome).__name__}')


@outcome_response.register
def _(outcome: Answered) -> Response:
    response = Response(outcome.body, status_code=outcome.status)
    for name, value in outcome.headers:
        response.headers.append(name, value)
    return response


@outcome_response.register
def _(outcome: Refused) -> Response:
    return _error_response(
        outcome,
        STATUS_BY_REASON.get(outcome.reason, HTTPStatus.SERVICE_UNAVAILABLE),
        outcome.retry_after_s,
    )


@outcome_response.register
def _(outcome: Failed) -> Response:
    return _error_response(
        outcome,
        STATUS_BY_REASON.get(outcome.reason, HTTPStatus.BAD_GATEWAY),
        None,
    )


@outcome_response.register
def _(outcome: Unknown) -> Response:
    return _error_response(outcome, HTTPStatus.BAD_GATEWAY, None)


@outcome_response.register
def _(outcome: InDoubt) -> Response:
    return _error_response(outcome, HTTPStatus.CONFLICT, outcome.retry_after_s)


def _error_response(
    outcome: Outcome, status: HTTPStatus, retry_after_s: float | None
) -> Response:
    response = JSONResponse(outcome_body(outcome), status_code=status)
    if retry_after_s is not None:
        response.headers['Retry-After'] = str(math.ceil(retry_after_s))
    return response
