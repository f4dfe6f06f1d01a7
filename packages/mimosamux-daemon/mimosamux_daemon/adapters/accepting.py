"""Accepts the connections that wait at a listening socket."""

import socket
from collections.abc import Callable
from dataclasses import dataclass

import anyio

from mimosamux_daemon.early_listeners import BACKLOG
from mimosamux_daemon.logs import get_log

log = get_log('accepting')

ACCEPTS_AT_ONCE = 32
"""Connections accepted in one pass of the event loop; requests that are
under way come to their turn before the next."""
ACCEPT_PAUSE_S = 0.1
"""Pause after connections could not be accepted, for some to end."""
ROOM_PAUSE_S = 0.01
"""Pause while as many connections are open as may be."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Accepting:
    """Gives each connection to a listening socket to its server."""

    listening: socket.socket
    """It does not block."""
    may_accept: Callable[[], bool]
    """Whether one more connection may be open."""
    begin: Callable[[socket.socket], None]
    """Takes an accepted connection over, without waiting."""

    async def run(self) -> None:
        """Accept connections until cancelled."""
        while True:
            await anyio.wait_readable(self.listening)
            if not self.may_accept():
                # Others have yielded and are about to be closed.
                await anyio.sleep(ROOM_PAUSE_S)
                continue
            if not self.accept_waiting(ACCEPTS_AT_ONCE):
                # Without descriptors the socket stays readable: tried again
                # at once, it would take the time of the requests whose end
                # gives descriptors back.
                await anyio.sleep(ACCEPT_PAUSE_S)

    def accept_waiting(self, at_most: int = BACKLOG) -> bool:
        """Accept connections that wait; False if that failed.

        Taken one in a few passes of the event loop, they wait for as many
        passes as there are connections before them: after a restart that is
        longer than callers do, while no timer of the daemon is late.
        """
        for _ in range(at_most):
            if not self.may_accept():
                break
            try:
                accepted, _ = self.listening.accept()
            except BlockingIOError:
                break
            except ConnectionAbortedError:
                continue
            except OSError as error:
                log.warning('accept_failed', reason=str(error))
                return False
            self.begin(accepted)
        return True
