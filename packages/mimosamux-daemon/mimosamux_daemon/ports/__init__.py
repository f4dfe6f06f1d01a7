"""Ports: protocol classes for what the daemon's logic depends on.

Adapters implement them for the network, the platform and peer daemons.
"""

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
