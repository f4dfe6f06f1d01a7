"""An engine that sends its events in many small chunks."""

import unittest

import anyio
import anyio.lowlevel
import httpx
from mimosamux_daemon.adapters.http_engine_streams import EventReader

from tests.support.clock import run_paused

CHUNKS = 200_000


class Chunks(httpx.AsyncByteStream):
    """Chunks of one byte that come without a wait."""

    def __init__(self):
        self.sent = 0

    async def __aiter__(self):
        while self.sent < CHUNKS:
            self.sent += 1
            yield b'x'


class TestSmallChunks(unittest.TestCase):
    # Guards against an endless event that takes all turns of the loop.
    def test_others_have_their_turn_beside_chunks_of_one_byte(self):
        async def check():
            chunks = Chunks()
            reader = EventReader(httpx.Response(200, stream=chunks))
            turns = 0

            async def count():
                nonlocal turns
                while chunks.sent < CHUNKS:
                    turns += 1
                    await anyio.lowlevel.checkpoint()

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(count)
                self.assertIsNone(await reader.receive())
                tasks.cancel_scope.cancel()
            return turns

        self.assertGreater(run_paused(check), CHUNKS // 100)


if __name__ == '__main__':
    unittest.main()
