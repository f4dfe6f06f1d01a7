"""The little HTTP/1.1 that the stand-ins and clients of the review need."""

import asyncio
from dataclasses import dataclass, field


@dataclass(kw_only=True)
class Head:
    """Start of a request or an answer: its first line and its headers."""

    first: list[str]
    headers: dict[str, str]

    @property
    def path(self):
        """Return the path of a request."""
        return self.first[1]

    @property
    def status(self):
        """Return the status of an answer."""
        return int(self.first[1])


@dataclass(kw_only=True)
class Answer:
    """What a client received, and whether it looks complete."""

    id: str
    status: int | None = None
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''
    is_complete: bool = False
    problem: str = ''


async def read_head(reader):
    """Return the next head, None at the end of the connection."""
    lines = []
    while True:
        line = await reader.readline()
        if not line.endswith(b'\n'):
            return None
        text = line.decode('latin-1').rstrip('\r\n')
        if not text:
            break
        lines.append(text)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return Head(first=lines[0].split(' ', 2), headers=headers)


async def read_body(reader, headers):
    """Return the body of a request."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        parts = []
        while True:
            size = int(await reader.readline(), 16)
            parts.append(await reader.readexactly(size))
            await reader.readline()
            if not size:
                return b''.join(parts)
    return await reader.readexactly(int(headers.get('content-length', 0)))


def render(first, headers, body=b''):
    """Return a head and a body as bytes."""
    lines = [first, *(f'{name}: {value}' for name, value in headers.items())]
    return '\r\n'.join((*lines, '', '')).encode('latin-1') + body


async def exchange(address, method, path, headers, body=b'', *, wait_s=10.0):
    """Send one request on a new connection; return all that came."""
    answer = Answer(id=headers.get('X-Attempt-Id', ''))
    host, port = address.split(':')
    try:
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                sent = {**headers, 'Content-Length': str(len(body))}
                writer.write(render(f'{method} {path} HTTP/1.1', sent, body))
                await receive(reader, answer)
            finally:
                writer.close()
    except TimeoutError:
        answer.problem = answer.problem or 'no answer in time'
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        answer.problem = f'{type(error).__name__} {error}'
    return answer


async def receive(reader, answer):
    """Read one answer; it is complete only if its framing says so."""
    head = await read_head(reader)
    if head is None:
        answer.problem = 'closed with no answer'
        return
    answer.status, answer.headers = head.status, head.headers
    if head.headers.get('transfer-encoding', '').lower() == 'chunked':
        while True:
            line = await reader.readline()
            if not line.endswith(b'\n'):
                answer.problem = 'closed within the answer'
                return
            size = int(line, 16)
            answer.body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                answer.is_complete = True
                return
    length = head.headers.get('content-length')
    if length is not None:
        left = int(length)
        while left:
            part = await reader.read(left)
            if not part:
                answer.problem = 'closed within the answer'
                return
            answer.body += part
            left -= len(part)
        answer.is_complete = True
        return
    answer.body = await reader.read()
    answer.is_complete = True
