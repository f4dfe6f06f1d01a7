"""What callers of a daemon's own API get of a stream that a stop cuts."""

import unittest

import anyio
import h2.config
import h2.connection
import h2.events
from mimosamux_daemon.adapters.http_server import listen, serve_http
from starlette.applications import Starlette
from starlette.responses import StreamingResponse
from starlette.routing import Route

EVENT = b'data: 1\n\n'
LAST_CHUNK = b'0\r\n\r\n'
PATIENCE_S = 5.0


async def stream(request):
    async def events():
        yield EVENT
        await anyio.sleep_forever()

    return StreamingResponse(events(), media_type='text/event-stream')


async def receive_to_end(connection, stop):
    """Stop the server behind the first event; return all bytes."""
    received = b''
    with anyio.fail_after(PATIENCE_S):
        try:
            while True:
                received += await connection.receive()
                if EVENT in received:
                    stop.set()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return received


class TestCutStreams(unittest.TestCase):
    # Guards against a stream that a stop cuts and that looks whole.

    def cut(self, request):
        async def check():
            listener = listen('127.0.0.1', 0)
            host, port = listener.getsockname()
            stop = anyio.Event()
            app = Starlette(routes=[Route('/', stream)])
            async with anyio.create_task_group() as tasks:

                async def serve():
                    await serve_http(
                        app, listener, shutdown=stop.wait, grace_s=0.1
                    )

                tasks.start_soon(serve)
                async with await anyio.connect_tcp(host, port) as connection:
                    await connection.send(request)
                    return await receive_to_end(connection, stop)

        return anyio.run(check)

    def test_http_1_1_caller_gets_no_last_chunk(self):
        received = self.cut(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
        self.assertIn(b'chunked', received.lower())
        self.assertNotIn(LAST_CHUNK, received)

    def test_http_2_caller_gets_no_end_of_the_stream(self):
        client = h2.connection.H2Connection(h2.config.H2Configuration())
        client.initiate_connection()
        fields = ((':method', 'GET'), (':path', '/'), (':scheme', 'http'))
        client.send_headers(1, [*fields, (':authority', 'x')], end_stream=True)
        received = self.cut(client.data_to_send())
        kinds = [type(event) for event in client.receive_data(received)]
        self.assertIn(h2.events.DataReceived, kinds)
        self.assertNotIn(h2.events.StreamEnded, kinds)


if __name__ == '__main__':
    unittest.main()
