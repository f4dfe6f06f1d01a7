"""Protocol classes of everything outside the daemon's own logic."""

from mimosamux_daemon.ports.peer import (
    Handler,
    PeerLinks,
    Peers,
    PeerUnavailable,
)
from mimosamux_daemon.ports.table import Table

__all__ = [
    'Handler',
    'PeerLinks',
    'PeerUnavailable',
    'Peers',
    'Table',
]
