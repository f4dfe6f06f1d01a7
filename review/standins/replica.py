"""Stand-in of a replica, one process for each.

Started as `replica.py ID PORT LOG OPTIONS`, with OPTIONS in JSON:
`unframed` (answers end with their channel), `events`, `gap_s` (time between
two events), `short_prefix` (streams below it have five events), `work_s` (time
of a request without a stream), `stray_every` (so many requests on used
channels until bytes that belong to no request come behind an answer, when the
next one is due), `version`, `slots`. It runs as many requests at once as it
has slots, and queues as many more.

SIGUSR1 tells it that it leaves: from then on it says so in all its answers,
is ill by its liveness check, and closes each channel behind an answer.
"""

import asyncio
import hashlib
import json
import signal
import sys
import time
from contextlib import suppress

from wire import exchange, read_body, read_head, render

DEFAULT_SLOTS = 6
SHORT_EVENTS = 5
"""Events of a stream below `short_prefix`, as trip-question has them."""
STRAY = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
"""Bytes behind a complete answer; they belong to no request."""


def event(request, number):
    """Return one event of a stream; no other request has the same."""
    text = hashlib.sha256(f'{request} {number}'.encode()).hexdigest()[:24]
    return f'id: {number}\ndata: {text}\n\n'.encode()


def plain_body(request):
    """Return the body of an answer that is no stream."""
    return hashlib.sha256(request.encode()).hexdigest().encode() * 12


class Replica:
    """Serves requests, and logs each that it begins and ends."""

    def __init__(self, id_, log, options):
        self.id = id_
        self.log = log
        self.options = options
        self.active = 0
        self.is_leaving = False
        self.slots = options.get('slots', DEFAULT_SLOTS)
        self.free_slots = asyncio.Semaphore(self.slots)
        self.requests = 0
        """Requests on channels that had carried one before."""
        self.stops = {}
        """Event that stops the run of a request, by the request's id."""
        self.made = {}
        """Events that the run of a request has made."""
        self.copies = {}
        """Requests whose memory is held, by the name of the copy."""

    def note(self, what, request, **fields):
        """Log what happens to a request."""
        entry = {'at': time.time(), 'replica': self.id, 'what': what}
        entry |= {'request': request} | fields
        print(json.dumps(entry), file=self.log, flush=True)

    def is_stray_due(self):
        """Whether stray bytes come in front of the next answer."""
        every = self.options.get('stray_every', 0)
        self.requests += 1
        return every and self.requests % every == 0

    async def serve(self, reader, writer):
        """Serve one channel until it ends."""
        try:
            answered = 0
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head.headers)
                if answered and self.is_stray_due():
                    # Bytes behind the answer before, which come late.
                    self.note('stray', head.headers.get('x-attempt-id', ''))
                    writer.write(STRAY)
                answered += 1
                if not await self.answer(head, body, writer):
                    return
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, head, body, writer):
        """Answer one request; return whether the channel stays open."""
        if head.path == '/healthz':
            headers = {'X-Replica-Id': self.id}
            status = '503 Leaving' if self.is_leaving else '200 OK'
            return self.reply(writer, status, headers)
        if head.path == '/api/report':
            report = {'phase': 'unified', 'queuedRequests': 0}
            report['activeRequests'] = self.active
            report['state'] = 'draining' if self.is_leaving else 'ready'
            headers = {'Content-Type': 'application/json'}
            data = json.dumps(report).encode()
            return self.reply(writer, '200 OK', headers, data)
        if head.path.startswith(('/api/', '/standin/')):
            return await self.answer_call(head, body, writer)
        request = head.headers.get('x-attempt-id', '')
        expected = head.headers.get('x-expected-replica', self.id)
        if expected != self.id:
            headers = {'X-Replica-Id': self.id}
            return self.reply(writer, '421 Misdirected Request', headers)
        source = head.headers.get('kv-from')
        if source is not None:
            handle = source.rpartition('/')[2]
            if self.copies.pop(handle, None) != request:
                return self.turn_down(writer)
        elif self.active >= 2 * self.slots:
            return self.turn_down(writer)
        self.active += 1
        try:
            async with self.free_slots:
                return await self.run(head, request, writer)
        finally:
            self.active -= 1

    async def answer_call(self, head, body, writer):
        """Answer a call about moves; return as `reply`."""
        if head.path == '/api/kv-move':
            return await self.move(json.loads(body), writer)
        if head.path.startswith('/api/kv-handle/'):
            self.copies.pop(head.path.rpartition('/')[2], None)
            return self.reply(writer, '200 OK')
        if head.path == '/standin/copy':
            self.copies |= json.loads(body)
            return self.reply(writer, '200 OK')
        return self.reply(writer, '404 Not Found')

    def reply(self, writer, status, headers=None, data=b''):
        """Send a whole answer; return whether the channel stays open."""
        headers = {**(headers or {}), **self.words()}
        headers['Content-Length'] = str(len(data))
        writer.write(render(f'HTTP/1.1 {status}', headers, data))
        return not self.is_leaving

    def turn_down(self, writer):
        """Answer that a request has not run; return as `reply`."""
        headers = {'X-Not-Executed': '1'}
        return self.reply(writer, '503 Service Unavailable', headers)

    def words(self):
        """Return what it says of itself in each answer."""
        if not self.is_leaving:
            return {}
        return {'Server-Leaving': '1', 'Connection': 'close'}

    def leave(self):
        """Begin to leave."""
        self.is_leaving = True

    async def move(self, body, writer):
        """Copy a run's memory to another replica; `final` stops it first."""
        request, status, answer = body['id'], 404, {}
        if request in self.stops:
            if body.get('final'):
                self.note('stop', request, events=self.made[request])
                self.stops[request].set()
            await asyncio.sleep(0.02)
            handle = f'kv-{request}-{self.made[request]}'
            copy = json.dumps({handle: request}).encode()
            await exchange(body['to'], 'POST', '/standin/copy', {}, copy)
            answer['kvHandle'] = handle
            answer['createdRevision'] = self.made[request]
            status = 200
        data = json.dumps(answer).encode()
        status = {200: '200 OK', 404: '404 Not Found'}[status]
        return self.reply(writer, status, data=data)

    async def run(self, head, request, writer):
        """Run a request; return whether the channel stays open."""
        self.active += 1
        first = int(head.headers.get('last-event-id', 0)) + 1
        self.note('run', request, path=head.path, first=first)
        try:
            if 'x-model' in head.headers:
                return await self.stream(request, head.path, first, writer)
            return await self.work(request, writer)
        finally:
            self.active -= 1

    def head(self, request, **fields):
        """Return the headers of an answer."""
        signature = hashlib.sha256(f'{self.id} {request}'.encode())
        return {
            'X-Attempt-Id': request,
            'X-Replica-Signature': signature.hexdigest()[:20],
            **self.words(),
            **fields,
        }

    async def work(self, request, writer):
        """Answer a request that is no stream."""
        await asyncio.sleep(self.options.get('work_s', 0.03))
        body = plain_body(request)
        fields = {'Content-Length': str(len(body))}
        writer.write(
            render('HTTP/1.1 200 OK', self.head(request, **fields), body)
        )
        await writer.drain()
        self.note('end', request)
        return not self.is_leaving

    def count_events(self, path):
        """Return how many events the stream of a path has."""
        short = self.options.get('short_prefix')
        if short is not None and path.startswith(short):
            return SHORT_EVENTS
        return self.options['events']

    async def stream(self, request, path, first, writer):
        """Answer with a stream, unless a move stops the run."""
        framed = not self.options.get('unframed')
        headers = self.head(request)
        headers['Content-Type'] = 'text/event-stream'
        headers['X-Weight-Versions'] = '1'
        if framed:
            headers['Transfer-Encoding'] = 'chunked'
        writer.write(render('HTTP/1.1 200 OK', headers))
        stop = self.stops[request] = asyncio.Event()
        self.made[request] = first - 1
        for number in range(first, self.count_events(path) + 1):
            with suppress(TimeoutError):
                await asyncio.wait_for(stop.wait(), self.options['gap_s'])
            if stop.is_set():
                # The stream is closed without its end.
                del self.stops[request]
                return False
            data = event(request, number)
            if framed:
                data = b'%x\r\n%s\r\n' % (len(data), data)
            writer.write(data)
            await writer.drain()
            self.made[request] = number
        del self.stops[request]
        if framed:
            writer.write(b'0\r\n\r\n')
            await writer.drain()
        self.note('end', request)
        return framed and not self.is_leaving


async def main(id_, port, log, options):
    """Serve until the process is ended."""
    with open(log, 'a') as file:  # noqa: ASYNC230
        replica = Replica(id_, file, options)
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGUSR1, replica.leave)
        server = await asyncio.start_server(replica.serve, '127.0.0.1', port)
        async with server:
            print('listening', flush=True)
            await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(
        main(
            sys.argv[1], int(sys.argv[2]), sys.argv[3], json.loads(sys.argv[4])
        )
    )
