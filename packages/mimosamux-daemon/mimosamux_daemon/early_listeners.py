"""Listening sockets that open before the program's modules are loaded.

Most of the start-up time is spent loading modules. Connections attempted
during that time would be reset; with an early listener they wait in its
backlog until the program accepts them. This module imports only the standard
library, as other packages take time to load.
"""

import socket
from collections.abc import Iterable

BACKLOG = 1024
"""Maximum number of connections waiting to be accepted."""

RECEIVE_BUFFER_BYTES = 32 * 1024
"""Receive buffer of an accepted connection. What lies in it unread counts as
memory of the process, and the system's own buffers grow to megabytes."""
UNSENT_BYTES = 64 * 1024
"""Bytes that are kept in an accepted connection because its caller takes no
more. A send buffer of that size would slow down those who take all at once."""

SocketsByAddress = dict[str, socket.socket]
"""Listening sockets by `host:port`."""


def open_early_listeners(addresses: Iterable[object]) -> SocketsByAddress:
    """Return a listening socket for each address that can be bound.

    Invalid or unavailable addresses are skipped; the server reports the
    error when it opens its own listener.
    """
    opened: SocketsByAddress = {}
    for address in addresses:
        if not isinstance(address, str) or address in opened:
            continue
        listening = _try_open(address)
        if listening is not None:
            opened[address] = listening
    return opened


def _try_open(address: str) -> socket.socket | None:
    host, _, port = address.rpartition(':')
    try:
        return open_listener(host, int(port))
    except (OSError, ValueError, OverflowError):
        return None


def open_listener(host: str, port: int) -> socket.socket:
    """Return a non-blocking listening socket; raises `OSError`."""
    listening = socket.create_server((host, port), backlog=BACKLOG)
    listening.setblocking(False)
    return listening


def limit_buffers(listening: socket.socket) -> None:
    """Bound what lies in each connection to a listening socket.

    Accepted connections inherit it, also those that wait to be accepted.
    """
    listening.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )
    listening.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, UNSENT_BYTES
    )
