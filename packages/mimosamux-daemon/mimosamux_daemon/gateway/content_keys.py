"""Content keys: hashes that identify requests with the same content.

A caller that repeats a request does so under a new request id. The content
that an endpoint works on, and the account, stay the same.
"""

import hashlib

from mimosamux_daemon.domain.gateway import GatewayRequest
from mimosamux_daemon.domain.names import AccountId, ContentKey

KEY_BYTES = 16
"""Digest size, large enough to make collisions infeasible to find."""
LENGTH_PREFIX_BYTES = 8


def find_content_key(
    request: GatewayRequest, account: AccountId | None
) -> ContentKey:
    """Return the key of a request's method, host, path, account and body.

    Each part is prefixed by its length, so that a caller cannot make other
    parts hash alike by moving the boundary between two of them.
    """
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    for part in (
        request.head.method,
        request.host.encode(),
        request.head.target,
        b'' if account is None else account.encode(),
        request.body,
    ):
        digest.update(len(part).to_bytes(LENGTH_PREFIX_BYTES, 'big'))
        digest.update(part)
    return ContentKey(digest.hexdigest())
