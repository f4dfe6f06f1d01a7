"""Crowds that speak HTTP/2, with many bodies at once on each connection."""

from functools import partial

import anyio
import anyio.lowlevel
import h2.config
import h2.connection
import h2.events
import h2.exceptions

from tests.support import crowds

CALLERS = 20
STREAMS = 16
"""Bodies at once on a connection, as many as the server allows."""
GONE = (
    h2.events.StreamReset,
    h2.events.StreamEnded,
    h2.events.ConnectionTerminated,
)


def to_headers(head):
    """Return the headers of HTTP/2 for a head of HTTP/1.1."""
    first, *lines = head('').decode().strip().split('\r\n')
    method, path, _ = first.split(' ')
    fields = [line.split(': ', 1) for line in lines]
    names = {name.lower(): value for name, value in fields}
    return [
        (':method', method),
        (':scheme', 'http'),
        (':path', path),
        (':authority', names.pop('host')),
        *names.items(),
    ]


class Client:
    """One connection that sends bodies side by side."""

    def __init__(self, *, connection, note):
        self._connection = connection
        self._note = note
        self._state = h2.connection.H2Connection(
            h2.config.H2Configuration(client_side=True)
        )
        self._left = {}
        """Bytes that are still to be sent, by stream."""

    async def send(self, headers, *, size, piece):
        """Send bodies without their end, in pieces of some bytes."""
        self._state.initiate_connection()
        for _ in range(STREAMS):
            stream = self._state.get_next_available_stream_id()
            self._state.send_headers(stream, headers)
            self._left[stream] = size
        await self._flush()
        while self._left:
            if not await self._send_pieces(piece):
                await self._read()

    async def _send_pieces(self, piece):
        """Send a piece of each body; return whether there was room."""
        has_sent = False
        for stream, left in tuple(self._left.items()):
            try:
                room = self._state.local_flow_control_window(stream)
            except h2.exceptions.ProtocolError:
                del self._left[stream]
                continue
            size = min(room, left, piece, self._state.max_outbound_frame_size)
            if size > 0:
                self._state.send_data(stream, b'x' * size)
                self._left[stream] -= size
                has_sent = True
            if not self._left[stream]:
                del self._left[stream]
        await self._flush()
        return has_sent

    async def _flush(self):
        await self._connection.send(self._state.data_to_send())
        self._note()
        await anyio.lowlevel.checkpoint()

    async def _read(self):
        """Wait for room, and drop the bodies that are not taken."""
        received = await self._connection.receive()
        for event in self._state.receive_data(received):
            if isinstance(event, h2.events.ConnectionTerminated):
                self._left.clear()
            elif isinstance(event, GONE):
                self._left.pop(event.stream_id, None)


async def talk(connection, head, largest, note, *, times, piece):
    client = Client(connection=connection, note=note)
    await client.send(to_headers(head), size=int(times * largest), piece=piece)


def crowd(*, times=1.0, piece=crowds.PIECE_BYTES, is_awaited=True):
    """Return a crowd whose bodies are some times the largest, without end."""
    return crowds.Crowd(
        callers=CALLERS,
        is_awaited=is_awaited,
        talk=partial(talk, times=times, piece=piece),
    )


SHORT = crowd()
SMALL_FRAMES = crowd(piece=1, is_awaited=False)
OVER = crowd(times=crowds.SENT_OVER)
