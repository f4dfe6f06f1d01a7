"""Callers of a soak that misuse the listeners of its daemons.

They open a few connections at once, as a crowd of `crowds` does, leave them
open for a while whatever happens to the daemon, and come back elsewhere.
"""

import contextlib
import pathlib
import random
from dataclasses import dataclass

import anyio
import anyio.lowlevel
from mimosamux_daemon.adapters.tcp_network import TcpNetwork

from tests.support import crowds
from tests.support.soak_callers import CallersInThread

CROWD_CALLERS = 24
LARGEST_BODY = 4 * crowds.MIB
VM_MEMORY_MB = 200
"""Memory of the smallest entry VM."""
LONGEST_STAY_S = 3.0
PARTS = (
    crowds.send_whole,
    crowds.send_in_pieces,
    crowds.stop_short,
    crowds.send_large_chunks,
    crowds.send_small_chunks,
    crowds.stop_short_of_last_chunk,
    crowds.announce_far_over,
    crowds.send_far_over,
    crowds.open_and_stop_short,
    crowds.wait_to_go_on,
    crowds.ask_and_read_nothing,
)
ANSWER_BYTES = crowds.MIB
"""Size of the answers that nobody reads."""
ID = 'crowd-'
"""Start of the ids of their requests, which any daemon may refuse."""


@dataclass(kw_only=True)
class CrowdCallers(CallersInThread):
    """Callers that misbehave; their requests may end in any way."""

    addresses: list
    """Listeners of the daemons."""

    async def _run(self):
        async with anyio.create_task_group() as tasks:
            for number in range(CROWD_CALLERS):
                rng = random.Random(self.rng.getrandbits(64))
                tasks.start_soon(self._misbehave, rng, number)
            await anyio.to_thread.run_sync(self._stopping.wait)
            tasks.cancel_scope.cancel()

    async def _misbehave(self, rng, number):
        while True:
            stays_s = rng.uniform(0.1, LONGEST_STAY_S)
            with contextlib.suppress(*crowds.BROKEN):
                async with await TcpNetwork().connect(
                    rng.choice(self.addresses)
                ) as connection:
                    with anyio.move_on_after(stays_s):
                        await self._send(connection, rng, number)
                        await anyio.sleep_forever()
            await anyio.sleep(rng.uniform(0.0, 0.2))

    async def _send(self, connection, rng, number):
        parts = rng.choice(PARTS)
        path = '/list/1'
        if parts is crowds.ask_and_read_nothing:
            path = f'/list/1?answer_bytes={ANSWER_BYTES}'

        def head(framing):
            return (
                f'POST {path} HTTP/1.1\r\nHost: site.example\r\n'
                f'X-Key: key-school\r\nX-Attempt-Id: {ID}{number}\r\n'
                f'{framing}\r\n'
            ).encode()

        with contextlib.suppress(*crowds.BROKEN):
            for part in parts(head, LARGEST_BODY, rng.randrange(100)):
                await connection.send(part)
                await anyio.lowlevel.checkpoint()


def read_peak_bytes(pid):
    """Return the most memory that a process had; 0 if it has ended."""
    try:
        status = pathlib.Path(f'/proc/{pid}/status').read_text()
    except FileNotFoundError:
        return 0
    for line in status.splitlines():
        if line.startswith('VmHWM:'):
            return int(line.split()[1]) * crowds.KIB
    return 0
