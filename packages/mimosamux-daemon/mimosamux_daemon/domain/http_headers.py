"""Filter for hop-by-hop headers, on decoded header names and values."""

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
    """Return the headers to forward.

    Leaves out hop-by-hop headers, those that a `Connection` header names,
    and those in `without`, given in lower case.
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
