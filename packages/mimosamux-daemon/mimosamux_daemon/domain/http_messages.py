"""HTTP/1.1 requests and answers as bytes, passed on without decoding."""

from dataclasses import dataclass

RawHeaders = tuple[tuple[bytes, bytes], ...]
"""Names as they were sent, and values."""

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
"""Headers that concern one connection only; all in lower case."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestHead:
    """Start of a request: everything before its body."""

    method: bytes
    target: bytes
    """Path and query as they stood in the request line."""
    headers: RawHeaders

    @property
    def path(self) -> bytes:
        """Return the target without its query."""
        return self.target.partition(b'?')[0]


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerHead:
    """Start of an answer: status and headers."""

    status: int
    headers: RawHeaders


def find_values(headers: RawHeaders, name: bytes) -> list[bytes]:
    """Return the values of every header with a name in lower case."""
    return [value for key, value in headers if key.lower() == name]


def find_value(headers: RawHeaders, name: bytes) -> bytes | None:
    """Return the first value of a header, None without one."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def end_to_end(
    headers: RawHeaders, *, without: frozenset[bytes] = frozenset()
) -> RawHeaders:
    """Return the headers that go on to the other side, in order.

    `without` names more that stay behind, in lower case. So do those that
    a `Connection` header names: passed on, one of them would take effect
    on a connection for which it was never meant.
    """
    dropped = HOP_BY_HOP | without
    named = find_values(headers, b'connection')
    if named:
        parts = b','.join(named).split(b',')
        dropped |= {part.strip().lower() for part in parts}
    return tuple(item for item in headers if item[0].lower() not in dropped)
