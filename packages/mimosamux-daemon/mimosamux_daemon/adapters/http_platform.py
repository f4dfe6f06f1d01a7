"""What the HTTP adapters towards the platform have in common."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TypeVar

import httpx
import pydantic

from mimosamux_daemon.adapters.http_framing import is_unframed
from mimosamux_daemon.domain.store import Unavailable
from mimosamux_daemon.validation import first_problem

CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 30.0
"""Longest silence in the middle of an answer; callers set deadlines."""
MAX_CONNECTIONS = 16
MAX_REPLY_BYTES = 64 * 1024 * 1024

NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
"""Errors after which no byte of a request can have been sent."""

ModelT = TypeVar('ModelT', bound=pydantic.BaseModel)


class PlatformModel(pydantic.BaseModel):
    """Base of what the platform sends and takes; bytes are base64."""

    model_config = pydantic.ConfigDict(
        ser_json_bytes='base64', val_json_bytes='base64'
    )


class ProblemModel(PlatformModel):
    """Body of an answer with a status from 400 on."""

    message: str = ''
    not_applied: bool = False
    """True: the platform promises that the call took no effect."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """An answer of the platform, of whatever status."""

    status: int
    body: bytes


def _new_client() -> httpx.AsyncClient:
    return httpx.AsyncClient(
        timeout=httpx.Timeout(
            IDLE_TIMEOUT_S,
            connect=CONNECT_TIMEOUT_S,
            pool=CONNECT_TIMEOUT_S,
        ),
        limits=httpx.Limits(
            max_connections=MAX_CONNECTIONS,
            max_keepalive_connections=MAX_CONNECTIONS,
        ),
        trust_env=False,
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class PlatformClient:
    """Connections to the platform."""

    base_url: str
    http: httpx.AsyncClient = field(default_factory=_new_client)

    async def send(
        self,
        method: str,
        path: str,
        *,
        params: Mapping[str, str] | None = None,
        body: bytes | None = None,
    ) -> Reply | Unavailable:
        """Send one request and return the whole answer.

        A connection that the platform had closed while it was idle looks
        like one that was cut after the request: only a failed connect
        proves that nothing has landed.
        """
        try:
            response = await self.http.request(
                method,
                self.base_url.rstrip('/') + path,
                params=params,
                content=body,
            )
        except NOT_SENT as error:
            return Unavailable(
                reason=_describe(error), may_have_taken_effect=False
            )
        except (httpx.HTTPError, httpx.InvalidURL) as error:
            return Unavailable(
                reason=_describe(error), may_have_taken_effect=True
            )
        if is_unframed(response):
            return Unavailable(
                reason='only its connection ended', may_have_taken_effect=True
            )
        return Reply(status=response.status_code, body=response.content)

    async def close(self) -> None:
        """Close every connection."""
        await self.http.aclose()


def parse_reply(
    kind: type[ModelT], reply: Reply, *, status: int = HTTPStatus.OK
) -> ModelT | Unavailable:
    """Return the checked body of an answer with the expected status."""
    if reply.status != status:
        return refusal(reply)
    try:
        return kind.model_validate_json(reply.body)
    except pydantic.ValidationError as error:
        problem = first_problem(error)
        return Unavailable(
            reason=f'malformed answer: {problem.path}: {problem.message}',
            may_have_taken_effect=True,
        )


def refusal(reply: Reply) -> Unavailable:
    """Return what an answer means that is not the expected one."""
    try:
        problem = ProblemModel.model_validate_json(reply.body)
    except pydantic.ValidationError:
        problem = ProblemModel()
    return Unavailable(
        reason=f'status {reply.status} {problem.message}'.strip(),
        may_have_taken_effect=not problem.not_applied,
    )


def _describe(error: Exception) -> str:
    return f'{type(error).__name__} {error}'.strip()
