"""The platform's object store over HTTP."""

from dataclasses import dataclass
from http import HTTPStatus
from urllib.parse import quote

import pydantic

from mimosamux_daemon.adapters.http_platform import (
    PlatformClient,
    PlatformModel,
    Reply,
    refusal,
)
from mimosamux_daemon.domain.store import Unavailable


class MissingObject(PlatformModel):
    """Body of the 404 that says that there is no such object."""

    missing_object: str


@dataclass(frozen=True, kw_only=True, slots=True)
class HttpObjectStore:
    """The `ObjectStore` port over HTTP."""

    client: PlatformClient

    async def put(self, key: str, data: bytes) -> None | Unavailable:
        """Store the object, replacing an earlier one."""
        reply = await self.client.send('PUT', _path(key), body=data)
        if isinstance(reply, Unavailable):
            return reply
        if reply.status != HTTPStatus.NO_CONTENT:
            return refusal(reply)
        return None

    async def get(self, key: str) -> bytes | None | Unavailable:
        """Return the object, None where there is none."""
        reply = await self.client.send('GET', _path(key))
        if isinstance(reply, Unavailable):
            return reply
        if reply.status == HTTPStatus.OK:
            return reply.body
        return None if _is_missing(reply, key) else refusal(reply)


def _path(key: str) -> str:
    return f'/objects/{quote(key)}'


def _is_missing(reply: Reply, key: str) -> bool:
    # A 404 of a wrong address would otherwise pass for an answer.
    if reply.status != HTTPStatus.NOT_FOUND:
        return False
    try:
        body = MissingObject.model_validate_json(reply.body)
    except pydantic.ValidationError:
        return False
    return body.missing_object == key
