"""Models that validate the bodies of model requests."""

from typing import Any, TypeVar

import orjson
import pydantic

from mimosamux_daemon.errors import InvalidRequest
from mimosamux_daemon.validation import first_problem

DEFAULT_MAX_TOKENS = 256
MAX_TOKENS_LIMIT = 65_536


class ChatMessage(pydantic.BaseModel):
    """One message of a conversation."""

    role: str = pydantic.Field(min_length=1, max_length=32)
    content: str


class _GenerationBody(pydantic.BaseModel):
    """Fields that chat and text completions share."""

    model_config = pydantic.ConfigDict(extra='allow')

    model: str = pydantic.Field(min_length=1)
    max_tokens: int = pydantic.Field(
        default=DEFAULT_MAX_TOKENS, ge=1, le=MAX_TOKENS_LIMIT
    )
    stream: bool = False

    @property
    def parameters(self) -> dict[str, Any]:
        """Other fields, which are forwarded to the engine unchanged."""
        return dict(self.model_extra or {})


class ChatBody(_GenerationBody):
    """Body of `POST /v1/chat/completions`."""

    messages: tuple[ChatMessage, ...] = pydantic.Field(min_length=1)

    @property
    def prompt(self) -> str:
        """The messages as one text, a `role: content` entry for each."""
        return '\n'.join(
            f'{message.role}: {message.content}' for message in self.messages
        )


class CompletionBody(_GenerationBody):
    """Body of `POST /v1/completions`."""

    prompt: str = pydantic.Field(min_length=1)


BodyT = TypeVar('BodyT', ChatBody, CompletionBody)


def parse_body(body_type: type[BodyT], data: bytes) -> BodyT:
    """Validate a body; raise `InvalidRequest` with the invalid field."""
    try:
        body = body_type.model_validate_json(data)
    except pydantic.ValidationError as error:
        problem = first_problem(error)
        raise InvalidRequest(
            path=problem.path, problem=problem.message
        ) from error
    _check_text('model', body.model)
    _check_text('prompt', body.prompt)
    for name, value in body.parameters.items():
        _check_parameter(name, value)
    return body


def _check_text(path: str, text: str) -> None:
    """Refuse text with lone surrogates, which UTF-8 cannot encode."""
    try:
        text.encode()
    except UnicodeEncodeError as error:
        raise InvalidRequest(
            path=path, problem='holds half a character'
        ) from error


def _check_parameter(name: str, value: object) -> None:
    """Refuse a parameter that cannot be encoded as JSON for an engine.

    The body parser accepts numbers of any size and hundreds of nesting
    levels. Without this check, they would fail only when the call is sent,
    after the request was accepted.
    """
    try:
        orjson.dumps({name: value})
    except (TypeError, orjson.JSONEncodeError) as error:
        path = ascii(name)[1:-1]
        raise InvalidRequest(path=path, problem=str(error)) from error
