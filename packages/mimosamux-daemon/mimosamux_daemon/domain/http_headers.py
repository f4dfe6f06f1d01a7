"""Headers that belong to one connection and are not passed on."""

HOP_BY_HOP = frozenset(
    {
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)

Headers = tuple[tuple[str, str], ...]


def end_to_end_headers(
    headers: Headers, *, without: frozenset[str] = frozenset()
) -> Headers:
    """Return the headers that go on to the other side.

    `without` names more that stay behind, in lower case; so do those
    that a `Connection` header names.
    """
    named = {
        part.strip().lower()
        for name, value in headers
        if name.lower() == 'connection'
        for part in value.split(',')
    }
    dropped = HOP_BY_HOP | named | without
    return tuple(
        (name, value) for name, value in headers if name.lower() not in dropped
    )
