"""Keys that tell whether two attempts ask for the same thing.

A caller that asks again does so under a new id. What stays the same is what
an endpoint is given to work on, and for whom.
"""

import hashlib

from mimosamux_daemon.domain.gateway import GatewayRequest
from mimosamux_daemon.domain.names import AccountId, ContentKey

KEY_BYTES = 16
"""Long enough that nobody finds a second content with the same key."""
LENGTH_BYTES = 8


def find_content_key(
    request: GatewayRequest, account: AccountId | None
) -> ContentKey:
    """Return the key of a request's method, host, path, account and body.

    Each is hashed behind its length: where one ends and the next begins is
    not for a caller to choose.
    """
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    for part in (
        request.head.method,
        request.host.encode(),
        request.head.target,
        b'' if account is None else account.encode(),
        request.body,
    ):
        digest.update(len(part).to_bytes(LENGTH_BYTES, 'big'))
        digest.update(part)
    return ContentKey(digest.hexdigest())
