"""Turns of the event loop for parsing what callers send.

A chunk of one byte costs as much to parse as one of 64 KiB, and a read holds
thousands of them: parsed in one turn, a few connections take all the time of
the event loop. A connection parses a few events at once; for more it queues,
and one of the queue goes on in each pass of the loop.
"""

import anyio
import anyio.lowlevel

EVENTS_A_TURN = 32


class ParseTurns:
    """The queue of the connections that have much to parse."""

    def __init__(self) -> None:
        self._lock = anyio.Lock()

    async def wait(self) -> None:
        """Wait for the next turn, at least until the next pass of the loop."""
        async with self._lock:
            await anyio.lowlevel.checkpoint()
