"""Sockets that listen before the program is loaded.

Most of a start goes into loading modules. Callers who connect meanwhile
would be turned away with a reset; here they wait for what is left of it.
Only the standard library is used, as everything else takes time to load.
"""

import socket
from collections.abc import Iterable

BACKLOG = 1024
"""Connections that may wait to be accepted."""

SocketsByAddress = dict[str, socket.socket]


def open_early(addresses: Iterable[object]) -> SocketsByAddress:
    """Return a listening socket for each address that can be had.

    The others are left to the listener proper, which says what is wrong.
    """
    opened: SocketsByAddress = {}
    for address in addresses:
        if not isinstance(address, str) or address in opened:
            continue
        listening = _open(address)
        if listening is not None:
            opened[address] = listening
    return opened


def _open(address: str) -> socket.socket | None:
    host, _, port = address.rpartition(':')
    try:
        return open_listening(host, int(port))
    except (OSError, ValueError, OverflowError):
        return None


def open_listening(host: str, port: int) -> socket.socket:
    """Return a listening socket that never blocks; raises `OSError`."""
    listening = socket.create_server((host, port), backlog=BACKLOG)
    listening.setblocking(False)
    return listening
