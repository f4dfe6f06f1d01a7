"""Recognises client accounts by their bearer keys."""

import hashlib

from starlette.requests import Request

from mimosamux_daemon.domain.configuration import Configuration
from mimosamux_daemon.domain.outcomes import Reason, Refused
from mimosamux_daemon.domain.work import Account

BEARER = 'bearer '


def digest_key(key: str) -> str:
    """Return the form in which a key is kept."""
    return hashlib.sha256(key.encode()).hexdigest()


def bearer_token(request: Request) -> str | None:
    """Return the bearer token of a request, None without one."""
    header = request.headers.get('authorization', '')
    if not header.lower().startswith(BEARER):
        return None
    return header[len(BEARER) :].strip()


def find_account(
    request: Request, configuration: Configuration
) -> Account | Refused:
    """Return the account whose key the request bears."""
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
