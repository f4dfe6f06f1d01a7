"""Authentication of links between daemons, derived from the settings."""

import secrets

from mimosamux_daemon.adapters.link_security import LinkSecurity
from mimosamux_daemon.errors import InvalidSettings
from mimosamux_daemon.settings import Settings

SECRET_BYTES = 32


def build_link_security(settings: Settings) -> LinkSecurity:
    """Return the link security for the settings.

    Raises `InvalidSettings` if links to peers would be unauthenticated.
    """
    if settings.peers and not settings.peer_secret and not settings.peer_tls:
        raise InvalidSettings(
            path='peer_secret',
            problem='needed with `peers`, unless `peer_tls` is set',
        )
    if settings.peer_tls is not None and settings.peer_tls.authority is None:
        raise InvalidSettings(
            path='peer_tls.authority',
            problem='needed to check the certificates of peers',
        )
    # A daemon without peers needs no shared secret. A random one keeps out
    # other processes that reach its port; an empty one would not.
    secret = settings.peer_secret.encode() or secrets.token_bytes(SECRET_BYTES)
    return LinkSecurity(secret=secret, tls=settings.peer_tls)
