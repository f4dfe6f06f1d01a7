"""Authentication of client accounts by bearer keys."""

import hashlib

from starlette.requests import Request

from mimosamux_daemon.domain.configuration import Configuration
from mimosamux_daemon.domain.outcomes import Reason, Refused
from mimosamux_daemon.domain.work import Account

BEARER_PREFIX = 'bearer '


def digest_key(key: str) -> str:
    """Return the SHA-256 digest under which a key or token is stored."""
    return hashlib.sha256(key.encode()).hexdigest()


def bearer_token(request: Request) -> str | None:
    """Return the bearer token of a request, or None."""
    header = request.headers.get('authorization', '')
    if not header.lower().startswith(BEARER_PREFIX):
        return None
    return header[len(BEARER_PREFIX) :].strip()


def find_account(
    request: Request, configuration: Configuration
) -> Account | Refused:
    """Return the account that the bearer key belongs to."""
    token = bearer_token(request)
    if token is not None:
        digest = digest_key(token)
        for account in configuration.accounts.values():
            if digest in account.key_digests:
                return account
    return Refused(
        reason=Reason.NOT_AUTHORISED,
        message='send a known account key as `Authorization: Bearer KEY`',
    )
