"""A server that sends given bytes and then closes in order."""

import contextlib

import anyio


class RawAnswers:
    """Answers each request with the same bytes, and counts them."""

    def __init__(self, data):
        self.data = data
        self.requests = 0

    async def serve(self, connection):
        """Answer one request and end the connection."""
        async with connection:
            with contextlib.suppress(anyio.EndOfStream):
                await connection.receive()
                self.requests += 1
                await connection.send(self.data)
                await connection.send_eof()


@contextlib.asynccontextmanager
async def answering(data):
    """Yield the `host:port` at which all requests get these bytes."""
    answers = RawAnswers(data)
    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    host, port = listener.listeners[0].extra(
        anyio.abc.SocketAttribute.local_address
    )
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, answers.serve)
        yield f'{host}:{port}', answers
        tasks.cancel_scope.cancel()
