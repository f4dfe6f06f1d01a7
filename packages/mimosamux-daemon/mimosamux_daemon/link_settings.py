"""How links between daemons are authenticated, from the settings."""

import secrets

from mimosamux_daemon.adapters.link_security import LinkSecurity
from mimosamux_daemon.errors import InvalidSettings
from mimosamux_daemon.settings import Settings

SECRET_BYTES = 32


def security_of(settings: Settings) -> LinkSecurity:
    """Return the security that the settings ask for."""
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
    # Without a secret of its own a lone daemon would take an empty one,
    # which every process that reaches its port knows as well.
    secret = settings.peer_secret.encode() or secrets.token_bytes(SECRET_BYTES)
    return LinkSecurity(secret=secret, tls=settings.peer_tls)
