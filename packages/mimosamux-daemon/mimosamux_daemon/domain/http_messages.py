"""HTTP/1.1 heads as raw bytes, which are forwarded without decoding."""

import math
from dataclasses import dataclass
from enum import StrEnum
from http import HTTPStatus

RawHeaders = tuple[tuple[bytes, bytes], ...]
"""Pairs of name and value; names keep the case in which they arrived."""

HOP_BY_HOP = frozenset(
    {
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    }
)
"""Headers that apply to a single connection, in lower case."""

BODILESS_STATUSES = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
CONTENT_LENGTH = b'content-length'
TRANSFER_ENCODING = b'transfer-encoding'


class BodyFraming(StrEnum):
    """What marks the end of an answer's body (RFC 9112, section 6.3)."""

    NO_BODY = 'no_body'
    """Its request or its status allows none."""
    LENGTH = 'length'
    CHUNKS = 'chunks'
    CONNECTION = 'connection'
    """Only the end of its connection, which a crash or a proxy that closes in
    order brings about as well."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestHead:
    """Request line and headers of a request."""

    method: bytes
    target: bytes
    """Path and query exactly as in the request line."""
    headers: RawHeaders

    @property
    def path(self) -> bytes:
        """Return the target without its query."""
        return self.target.partition(b'?')[0]


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerHead:
    """Status and headers of an answer."""

    status: int
    headers: RawHeaders


def find_values(headers: RawHeaders, name: bytes) -> list[bytes]:
    """Return the values of all headers `name`, given in lower case."""
    return [value for key, value in headers if key.lower() == name]


def find_value(headers: RawHeaders, name: bytes) -> bytes | None:
    """Return the first value of header `name`, given in lower case."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def find_text(headers: RawHeaders, name: bytes) -> str | None:
    """Return the first value of a header as text, None without it."""
    value = find_value(headers, name)
    return None if value is None else value.decode('latin-1')


def parse_number(value: bytes) -> float:
    """Parse the number in a header; return NaN if there is none."""
    try:
        return float(value)
    except ValueError:
        return math.nan


def parse_count(value: bytes | None) -> float | None:
    """Return the number of a header, None unless it is one below `1e9`."""
    number = math.nan if value is None else parse_number(value)
    return number if 0 <= number < 1e9 else None


def end_to_end(
    headers: RawHeaders, *, without: frozenset[bytes] = frozenset()
) -> RawHeaders:
    """Return the headers to forward, in order.

    Leaves out hop-by-hop headers and those in `without`, given in lower
    case. Also leaves out headers that a `Connection` header names: if
    forwarded, they would apply to a connection they are not meant for.
    """
    dropped = HOP_BY_HOP | without
    named = find_values(headers, b'connection')
    if named:
        parts = b','.join(named).split(b',')
        dropped |= {part.strip().lower() for part in parts}
    return tuple(item for item in headers if item[0].lower() not in dropped)


def find_framing(method: bytes, answer: AnswerHead) -> BodyFraming:
    """Return what marks the end of the body of an answer to a request."""
    if method == b'HEAD' or answer.status in BODILESS_STATUSES:
        return BodyFraming.NO_BODY
    if find_value(answer.headers, TRANSFER_ENCODING) is not None:
        return BodyFraming.CHUNKS
    if find_value(answer.headers, CONTENT_LENGTH) is not None:
        return BodyFraming.LENGTH
    return BodyFraming.CONNECTION
