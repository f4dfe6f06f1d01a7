"""Crowds of callers that misuse a listener, and what its process holds.

Each caller opens a connection, sends what its crowd sends, reads nothing and
stays open. The crowds don't depend on what the process does with them: it may
refuse a caller or close its connection at any time.
"""

import contextlib
import os
import pathlib
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass

import anyio
import anyio.lowlevel
from mimosamux_daemon.adapters.tcp_network import TcpConnection, TcpNetwork

KIB = 1024
MIB = 1024 * KIB
PIECE_BYTES = 16 * KIB
LARGE_CHUNK_BYTES = 256 * KIB
SMALL_BLOCK = 2 * KIB
"""Chunks of one byte that are sent together."""
CROWD_BYTES = 256 * MIB
SMALL_CHUNKED = 64
"""Callers whose chunks are very small."""
DESCRIPTORS = 256
"""Most descriptors of the process."""
MANY = 320
"""More connections than the process may have descriptors."""
FAR_OVER = 256
"""Times the largest body that an announced one is long."""
SENT_OVER = 4
"""Times the largest body that is sent of one that is over the limit."""
WHOLE_IN = 8
"""Of so many callers that stop just short of their end, one sends it."""
UNREAD_ANSWERS = 192
"""Callers that don't read their answers."""
HALF_READ_ANSWERS = 96
"""Callers that read a part of their answer."""
READ_BYTES = 4 * MIB
"""Bytes of an answer that a caller reads before it stops."""
REQUESTS_AHEAD = 2000
"""Requests that a caller sends without waiting for an answer."""
SENT_AHEAD = 64
"""Callers that do so."""
QUIET_S = 2.0
"""A crowd of which nobody could send for so long has sent what it can."""
CROWD_S = 240.0
"""Longest time that a crowd gets; it bounds a hanging test."""
SAMPLE_S = 0.05
HELD_STATES = {'01', '04', '08', '09'}
"""States of a connection, in /proc/net/tcp, in which it can hold bytes."""

BROKEN = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
)

Head = Callable[[str], bytes]
"""Returns the head of a request with a header that tells its length."""


Talk = Callable[
    [TcpConnection, Head, int, Callable[[], None]], Awaitable[None]
]
"""Sends on a connection: head, largest body, called for each part."""


@dataclass(frozen=True, kw_only=True)
class Crowd:
    """Callers that all send alike."""

    parts: Callable[[Head, int, int], Iterator[bytes]] = lambda *_: iter(())
    """Gives what a caller sends: head, largest body, number of the caller."""
    callers: int | None = None
    """None: as many as it takes to send `CROWD_BYTES` in largest bodies."""
    is_awaited: bool = True
    """Whether the ordinary request comes behind what all of them send."""
    talk: Talk | None = None
    """Sends in place of `parts`, and reads what it has to for that."""


def length(size):
    return f'Content-Length: {size}\r\n'


CHUNKED = 'Transfer-Encoding: chunked\r\n'


def pieces(size, piece):
    """Give pieces of that many bytes, which add up to a size."""
    block = b'x' * min(piece, size)
    while size > 0:
        yield block[:size]
        size -= len(block)


def render_chunk(data):
    return b'%x\r\n%s\r\n' % (len(data), data)


def send_whole(head, largest, number):
    yield head(length(largest)) + b'x' * largest


def send_in_pieces(head, largest, number):
    yield head(length(largest))
    yield from pieces(largest, PIECE_BYTES)


def stop_short(head, largest, number):
    yield head(length(largest))
    is_whole = number % WHOLE_IN == 0
    yield from pieces(largest if is_whole else largest - 1, PIECE_BYTES)


def send_large_chunks(head, largest, number):
    yield head(CHUNKED)
    for piece in pieces(largest, LARGE_CHUNK_BYTES):
        yield render_chunk(piece)
    yield b'0\r\n\r\n'


def send_small_chunks(head, largest, number):
    yield head(CHUNKED)
    block = render_chunk(b'x') * SMALL_BLOCK
    for _ in range(largest // SMALL_BLOCK):
        yield block
    yield b'0\r\n\r\n'


def stop_short_of_last_chunk(head, largest, number):
    yield head(CHUNKED)
    for piece in pieces(largest, LARGE_CHUNK_BYTES):
        yield render_chunk(piece)
    if number % WHOLE_IN == 0:
        yield b'0\r\n\r\n'


def announce_far_over(head, largest, number):
    yield head(length(FAR_OVER * largest))
    yield from pieces(SENT_OVER * largest, LARGE_CHUNK_BYTES)


def send_far_over(head, largest, number):
    yield head(CHUNKED)
    for piece in pieces(SENT_OVER * largest, LARGE_CHUNK_BYTES):
        yield render_chunk(piece)


def ask_and_read_nothing(head, largest, number):
    yield head(length(2)) + b'xx'


def ask_ahead(head, largest, number):
    request = head(length(2)) + b'xx'
    for _ in range(REQUESTS_AHEAD):
        yield request


async def read_and_stop(connection, head, largest, note):
    """Read a part of an answer, at which buffers grow, and then no more."""
    await connection.send(head(length(2)) + b'xx')
    received = 0
    while received < READ_BYTES:
        received += len(await connection.receive())
        note()


def wait_to_go_on(head, largest, number):
    yield head(length(largest) + 'Expect: 100-continue\r\n')


def begin_handshake(head, largest, number):
    yield b'\x16\x03\x01'


def open_and_stop_short(head, largest, number):
    yield head(length(2)) + b'x'


@dataclass(frozen=True, kw_only=True)
class Held:
    """The most that a process held while a crowd was there."""

    memory_bytes: int
    """Resident memory, bytes that have arrived and were not read, and bytes
    that were sent and not taken."""
    descriptors: int


def list_connections():
    """Return the rows of the kernel's table of TCP connections, split."""
    table = pathlib.Path('/proc/net/tcp').read_text().splitlines()[1:]
    return [line.split() for line in table]


class Watch:
    """Looks at a process, from outside, while a crowd is there."""

    def __init__(self, *, pid, port):
        self._folder = pathlib.Path('/proc') / str(pid)
        self._port = f':{port:04X}'
        self._buffered = 0
        self._descriptors = 0

    def held(self):
        """Return the most that it held, as far as it still lives."""
        self.look()
        status = (self._folder / 'status').read_text()
        (peak,) = [
            int(line.split()[1]) * KIB
            for line in status.splitlines()
            if line.startswith('VmHWM:')
        ]
        return Held(
            memory_bytes=peak + self._buffered, descriptors=self._descriptors
        )

    async def run(self):
        while True:
            self.look()
            await anyio.sleep(SAMPLE_S)

    def look(self):
        paths = ()
        with contextlib.suppress(FileNotFoundError):
            paths = tuple((self._folder / 'fd').iterdir())
        self._descriptors = max(self._descriptors, len(paths))
        self._buffered = max(self._buffered, self._count_buffered(paths))

    def _count_buffered(self, paths):
        """Return the bytes that lie in its connections.

        Those that wait to be accepted have no descriptor, and one of `paths`
        may be closed meanwhile.
        """
        inodes = set()
        for path in paths:
            with contextlib.suppress(FileNotFoundError):
                name = os.readlink(path)
                inodes.add(name.removeprefix('socket:[').removesuffix(']'))
        return sum(
            sum(int(size, 16) for size in row[4].split(':'))
            for row in list_connections()
            if (row[1].endswith(self._port) or row[9] in inodes)
            and row[3] in HELD_STATES
        )


class CrowdRun:
    """One crowd at one listener."""

    def __init__(self, *, crowd, address, head, largest):
        self._crowd = crowd
        self._address = address
        self._head = head
        self._largest = largest
        self._callers = crowd.callers or CROWD_BYTES // largest
        self._sending = self._callers
        self._all_sent = anyio.Event()
        self._sent = 0

    async def play(self, ask):
        """Return what `ask` returns, called while the crowd is open."""
        async with anyio.create_task_group() as tasks:
            with anyio.fail_after(CROWD_S):
                for number in range(self._callers):
                    tasks.start_soon(self._send, number)
                await self._wait_sent()
                answer = await ask()
            tasks.cancel_scope.cancel()
        return answer

    async def _wait_sent(self):
        """Wait until all have sent, or the process takes no more of them."""
        if not self._crowd.is_awaited:
            await anyio.sleep(QUIET_S)
            return
        before = -1
        while self._sending and self._sent != before:
            before = self._sent
            with anyio.move_on_after(QUIET_S):
                await self._all_sent.wait()

    async def _send(self, number):
        """Send what one caller sends, and stay open."""
        try:
            connection = await TcpNetwork().connect(self._address)
        except OSError:
            self._note_sent()
            return
        async with connection:
            with contextlib.suppress(*BROKEN):
                if self._crowd.talk is not None:
                    await self._crowd.talk(
                        connection, self._head, self._largest, self._note_part
                    )
                for part in self._crowd.parts(
                    self._head, self._largest, number
                ):
                    await connection.send(part)
                    await anyio.lowlevel.checkpoint()
                    self._note_part()
            self._note_sent()
            await anyio.sleep_forever()

    def _note_part(self):
        self._sent += 1

    def _note_sent(self):
        self._sending -= 1
        if not self._sending:
            self._all_sent.set()


LARGE_WHOLE = Crowd(parts=send_whole)
LARGE_IN_PIECES = Crowd(parts=send_in_pieces)
LARGE_SHORT = Crowd(parts=stop_short)
CHUNKED_LARGE = Crowd(parts=send_large_chunks)
CHUNKED_SMALL = Crowd(
    parts=send_small_chunks, callers=SMALL_CHUNKED, is_awaited=False
)
CHUNKED_SHORT = Crowd(parts=stop_short_of_last_chunk)
OVER_ANNOUNCED = Crowd(parts=announce_far_over)
OVER_SENT = Crowd(parts=send_far_over)
MANY_OPEN = Crowd(parts=open_and_stop_short, callers=MANY)
ANSWERS_UNREAD = Crowd(
    parts=ask_and_read_nothing, callers=UNREAD_ANSWERS, is_awaited=False
)
ANSWERS_HALF_READ = Crowd(talk=read_and_stop, callers=HALF_READ_ANSWERS)
AHEAD = Crowd(parts=ask_ahead, callers=SENT_AHEAD, is_awaited=False)
WAITING_TO_GO_ON = Crowd(parts=wait_to_go_on, callers=MANY)
HANDSHAKES = Crowd(parts=begin_handshake, callers=MANY)

ALL_KINDS = (
    send_whole,
    send_in_pieces,
    stop_short,
    send_large_chunks,
    send_small_chunks,
    stop_short_of_last_chunk,
    announce_far_over,
    send_far_over,
    ask_ahead,
    wait_to_go_on,
    open_and_stop_short,
)


def send_any(head, largest, number):
    yield from ALL_KINDS[number % len(ALL_KINDS)](head, largest, number)


ALL_AT_ONCE = Crowd(parts=send_any, callers=MANY, is_awaited=False)
