"""Models that validate bodies and queries of the operator API."""

from typing import Any, TypeVar

import pydantic

from mimosamux_daemon.errors import InvalidRequest
from mimosamux_daemon.validation import first_problem

MAX_WHY_LENGTH = 1000


class _OperatorBody(pydantic.BaseModel):
    """Fields of every proposed configuration change."""

    model_config = pydantic.ConfigDict(extra='forbid')

    operation: str = pydantic.Field(min_length=8, max_length=64)
    """Idempotency key from the operator: a repeat has no further effect."""
    why: str = pydantic.Field(default='', max_length=MAX_WHY_LENGTH)


class ApplyBody(_OperatorBody):
    """Body of `POST /v1/operator/configuration/apply`."""

    document: dict[str, Any]
    expected_version: int = pydantic.Field(ge=0)


class SetBody(_OperatorBody):
    """Body of `POST /v1/operator/configuration/set`."""

    path: str | tuple[str, ...]
    """Path of the value: its keys, or one text with dots between them."""
    value: Any = None
    remove: bool = False
    expected_version: int | None = pydantic.Field(default=None, ge=0)

    @property
    def keys(self) -> tuple[str, ...]:
        """The path, split into keys."""
        if isinstance(self.path, str):
            return tuple(self.path.split('.'))
        return self.path


class AuditQuery(pydantic.BaseModel):
    """Query of `GET /v1/operator/audit`."""

    model_config = pydantic.ConfigDict(extra='forbid')

    kind: str | None = None
    who: str | None = None
    since: float = pydantic.Field(default=0.0, ge=0, lt=1e10)
    """Unix time: seconds since 1970."""
    after: str = pydantic.Field(default='', max_length=200)
    """`next` of the previous page; empty for the first page."""
    limit: int = pydantic.Field(default=100, ge=1, le=500)


class WaitQuery(pydantic.BaseModel):
    """Query of `GET /v1/operator/configuration/wait`."""

    model_config = pydantic.ConfigDict(extra='forbid')

    version: int = pydantic.Field(ge=1)
    timeout_s: float = pydantic.Field(default=15.0, gt=0, le=300)


class HistoryQuery(pydantic.BaseModel):
    """Query of `GET /v1/operator/configuration/history`."""

    model_config = pydantic.ConfigDict(extra='forbid')

    after: int | None = pydantic.Field(default=None, ge=0)
    limit: int = pydantic.Field(default=50, ge=1, le=500)


ModelT = TypeVar('ModelT', bound=pydantic.BaseModel)


def parse_json(model_type: type[ModelT], data: bytes) -> ModelT:
    """Validate a body; raise `InvalidRequest` with the invalid field."""
    try:
        return model_type.model_validate_json(data)
    except pydantic.ValidationError as error:
        raise _to_invalid_request(error) from error


def parse_query(model_type: type[ModelT], query: dict[str, str]) -> ModelT:
    """Validate a query; raise `InvalidRequest` with the invalid field."""
    try:
        return model_type.model_validate(query)
    except pydantic.ValidationError as error:
        raise _to_invalid_request(error) from error


def _to_invalid_request(error: pydantic.ValidationError) -> InvalidRequest:
    problem = first_problem(error)
    return InvalidRequest(path=problem.path, problem=problem.message)
