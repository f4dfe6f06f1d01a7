"""Stand-in of the platform: its metadata store and its cloud API.

Started as a process: `platform_site.py STORE_PORT CLOUD_PORT LOG`. Rows are
put by the test with `POST /control/put`, as the operator and replicas do.
"""

import asyncio
import base64
import json
import sys
import time
from contextlib import suppress
from urllib.parse import parse_qs, urlsplit

from wire import read_body, read_head, render

HISTORY_S = 20.0
ERA = {'Store-Era': '1'}
"""Header of all answers of the store; this one never goes back."""
PROTECTED = ('op', 'servers')
"""Tables that the system may not write to."""


class Store:
    """Rows with versions from one counter, and their history."""

    def __init__(self):
        self.version = 0
        self.rows = {}
        self.changes = []
        self.changed = asyncio.Event()
        self.trouble = ''
        self.slow_s = 0.004

    def apply(self, changes):
        """Apply a transaction."""
        self.version += 1
        for name, value in changes:
            self.rows[name] = (value, self.version)
            self.changes.append((time.monotonic(), self.version, name, value))
        while self.changes[0][0] < time.monotonic() - HISTORY_S:
            self.changes.pop(0)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def render(self, name, value, version):
        """Return a row as it is sent."""
        table, part, key = name
        row = {'tableName': table, 'part': part, 'key': key}
        row['rowVersion'] = version
        if value is None:
            return row | {'deleted': True}
        return row | {'value': base64.b64encode(value).decode()}

    def answer(self, rows, **fields):
        """Return an answer with rows."""
        return 200, {
            'rows': rows,
            'rowVersion': self.version,
            'nowMs': time.monotonic() * 1000,
            **fields,
        }

    def get(self, query):
        """Return the rows of a table."""
        table, part = query['tableName'], query.get('part', '')
        start, end = query.get('from', ''), query.get('to')
        limit = min(int(query.get('maxResults', 500)), 500)
        names = sorted(
            name
            for name, (value, _) in self.rows.items()
            if name[:2] == (table, part)
            and value is not None
            and name[2] >= start
            and (end is None or name[2] < end)
        )
        rows = [self.render(name, *self.rows[name]) for name in names[:limit]]
        return self.answer(rows, hasMore=len(names) > limit)

    async def feed(self, query):
        """Return what has changed, after a wait if need be."""
        after = int(query['after'])
        oldest = self.changes[0][1] if self.changes else self.version + 1
        if after < oldest - 1:
            return 410, {}
        until = time.monotonic() + int(query.get('waitTimeoutMs', 0)) / 1000
        while True:
            found = [
                self.render(name, value, version)
                for _, version, name, value in self.changes
                if version > after and name[0] == query['tableName']
            ]
            left = until - time.monotonic()
            if found or left <= 0:
                return self.answer(found)
            with suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)

    def commit(self, body):
        """Carry out a transaction if its conditions hold."""

        def name_of(row):
            return row['tableName'], row.get('part', ''), row['key']

        changed = [*body.get('write', []), *body.get('delete', [])]
        if any(row['tableName'] in PROTECTED for row in changed):
            return 403, {}
        failed = False
        for row in body.get('expectedRevision', []):
            value, version = self.rows.get(name_of(row), (None, 0))
            failed |= row['rowVersion'] != (0 if value is None else version)
        if failed:
            rows = [
                self.render(name_of(row), *self.rows[name_of(row)])
                for row in body['expectedRevision']
                if self.rows.get(name_of(row), (None, 0))[0] is not None
            ]
            return 412, self.answer(rows)[1]
        changes = [
            (name_of(row), base64.b64decode(row['value']))
            for row in body.get('write', [])
        ]
        changes += [(name_of(row), None) for row in body.get('delete', [])]
        self.apply(changes)
        return self.answer([])


class Site:
    """Both interfaces, and the log of what the cloud API was sent."""

    def __init__(self, log):
        self.store = Store()
        self.fences = {}
        self.log = log

    async def serve_store(self, reader, writer):
        """Serve a channel of the store."""
        await self.serve(reader, writer, self.answer_store, ERA)

    async def serve_cloud(self, reader, writer):
        """Serve a channel of the cloud API."""
        await self.serve(reader, writer, self.answer_cloud)

    async def serve(self, reader, writer, handler, more=None):
        """Serve one channel until it ends."""
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head.headers)
                status, fields = await handler(head, body)
                data = json.dumps(fields).encode()
                headers = {
                    'Content-Type': 'application/json',
                    'Content-Length': str(len(data)),
                    **(more or {}),
                }
                writer.write(render(f'HTTP/1.1 {status} X', headers, data))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer_store(self, head, body):
        """Answer one call to the store."""
        parts = urlsplit(head.path)
        query = parse_qs(parts.query, keep_blank_values=True)
        query = {name: values[0] for name, values in query.items()}
        if parts.path == '/control/put':
            self.put(json.loads(body))
            return 200, {}
        await asyncio.sleep(self.store.slow_s)
        if parts.path == '/api/rows-get':
            return self.store.get(query)
        if parts.path == '/api/rows-feed':
            return await self.store.feed(query)
        if parts.path == '/api/rows-tx':
            return self.store.commit(json.loads(body))
        return 404, {}

    def put(self, row):
        """Write a row as the operator or a replica does."""
        value = row['value']
        if isinstance(value, str):
            data = base64.b64decode(value)
        else:
            data = None if value is None else json.dumps(value).encode()
        self.store.apply([((row['table'], '', row['key']), data)])

    async def answer_cloud(self, head, body):
        """Answer one call to the cloud API, and log it."""
        holder = head.headers.get('x-duty-holder', '')
        fence = int(head.headers.get('x-fencing-token', 0))
        fields = json.loads(body)
        subject = (head.path, fields.get('service'), fields.get('zone'))
        taken = fence >= self.fences.get(subject, 0)
        if taken:
            self.fences[subject] = fence
        entry = {
            'at': time.time(),
            'path': head.path,
            'holder': holder,
            'fence': fence,
            'body': fields,
            'taken': taken,
        }
        print(json.dumps(entry), file=self.log, flush=True)
        return (200 if taken else 409), {}


async def main(store_port, cloud_port, log):
    """Serve until the process is ended."""
    with open(log, 'a') as file:  # noqa: ASYNC230
        site = Site(file)
        store = await asyncio.start_server(
            site.serve_store, '127.0.0.1', store_port
        )
        cloud = await asyncio.start_server(
            site.serve_cloud, '127.0.0.1', cloud_port
        )
        async with store, cloud:
            print('listening', flush=True)
            await asyncio.gather(store.serve_forever(), cloud.serve_forever())


if __name__ == '__main__':
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2]), sys.argv[3]))
