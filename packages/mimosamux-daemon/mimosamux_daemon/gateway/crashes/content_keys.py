"""Keys of what may crash an endpoint: contents, and parts of prompts.

A caller that repeats a request does so under a new request id. The content
that an endpoint works on, and the account, stay the same. Other requests share
parts of its prompt, and nothing else.
"""

import hashlib

from mimosamux_daemon.domain.gateway import GatewayRequest, PromptInfo
from mimosamux_daemon.domain.names import AccountId, ContentKey

KEY_BYTES = 16
"""Digest size, large enough to make collisions infeasible to find."""
LENGTH_PREFIX_BYTES = 8
PART_PREFIX = 'part-'
MAX_PARTS = 256
"""Shared parts of a prompt that are told apart, the first ones; more do not
fit into a request head of the usual size."""


def find_content_key(
    request: GatewayRequest, account: AccountId | None
) -> ContentKey:
    """Return the key of a request's method, host, path, account and body.

    Each part is prefixed by its length, so that a caller cannot make other
    parts hash alike by moving the boundary between two of them.
    """
    return _hash(
        request.head.method,
        request.host.encode(),
        request.head.target,
        b'' if account is None else account.encode(),
        request.body,
    )


def find_part_keys(prompt: PromptInfo | None) -> dict[ContentKey, str]:
    """Return the ids of a prompt's shared parts by their keys.

    Without the last part, which no other request has. Each part has two keys:
    one for all models, under which crashes of different models add up, and one
    for its model alone, as what crashes one may be harmless to another.
    """
    if prompt is None:
        return {}
    model = prompt.model.encode()
    ids_by_key = {}
    for part in prompt.parts[:-1][:MAX_PARTS]:
        id_ = part.id.encode()
        ids_by_key[ContentKey(PART_PREFIX + _hash(id_))] = part.id
        ids_by_key[ContentKey(PART_PREFIX + _hash(model, id_))] = part.id
    return ids_by_key


def _hash(*parts: bytes) -> ContentKey:
    """Return the hash of byte strings, each prefixed by its length."""
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(LENGTH_PREFIX_BYTES, 'big'))
        digest.update(part)
    return ContentKey(digest.hexdigest())
