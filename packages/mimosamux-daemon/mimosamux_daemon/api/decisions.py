"""HTTP responses for decisions on proposed configuration changes."""

from functools import singledispatch
from http import HTTPStatus
from typing import Any

from starlette.responses import JSONResponse, Response

from mimosamux_daemon.control.configuration_changes import (
    Change,
    VersionRecord,
)
from mimosamux_daemon.control.proposals import (
    Accepted,
    Invalid,
    StoreUnavailable,
    Undecided,
    VersionConflict,
)

RETRY_AFTER_S = 5


@singledispatch
def decision_response(decision: object) -> Response:
    """Return the HTTP response for a decision."""
    raise TypeError(f'not a decision: {type(decision).__name__}')


@decision_response.register
def _(decision: Accepted) -> Response:
    return JSONResponse({'outcome': 'accepted', 'version': decision.version})


@decision_response.register
def _(decision: VersionConflict) -> Response:
    who = ', '.join(sorted({change.who for change in decision.changes}))
    return error_response(
        HTTPStatus.CONFLICT,
        'conflict',
        f'changed by {who or "others"} since the expected version',
        version=decision.version,
        changes=[describe_change(change) for change in decision.changes],
    )


@decision_response.register
def _(decision: Invalid) -> Response:
    return error_response(
        HTTPStatus.UNPROCESSABLE_ENTITY,
        'invalid',
        f'{decision.path}: {decision.problem}',
        path=decision.path,
    )


@decision_response.register
def _(decision: StoreUnavailable) -> Response:
    return error_response(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'not_made',
        f'the table is not available ({decision.reason}); not changed',
        retry_after_s=RETRY_AFTER_S,
    )


@decision_response.register
def _(decision: Undecided) -> Response:
    return error_response(
        HTTPStatus.GATEWAY_TIMEOUT,
        'undecided',
        'the change may have been made; send the same operation again',
        operation=decision.operation,
        retry_after_s=RETRY_AFTER_S,
    )


def error_response(
    status: HTTPStatus,
    outcome: str,
    message: str,
    *,
    retry_after_s: int | None = None,
    **fields: Any,
) -> Response:
    """Return an error in the format of the caller API."""
    response = JSONResponse(
        {
            'error': {'message': message, 'type': outcome, 'code': outcome},
            'outcome': outcome,
            **fields,
        },
        status_code=status,
    )
    if retry_after_s is not None:
        response.headers['Retry-After'] = str(retry_after_s)
    return response


def describe_change(change: Change) -> dict[str, Any]:
    """Return the JSON object that describes a change."""
    return {
        'operation': change.operation,
        'who': change.who,
        'what': change.what,
        'why': change.why,
        'at': change.at,
        'paths': ['.'.join(edit.path) for edit in change.edits],
    }


def describe_version(record: VersionRecord) -> dict[str, Any]:
    """Return the JSON object that describes a version."""
    return {
        'version': record.version,
        'changes': [describe_change(change) for change in record.changes],
    }
