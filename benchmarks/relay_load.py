"""Callers of bench_relay: open streams, and probes of the first token."""

import hashlib
from dataclasses import dataclass, field

import anyio
import anyio.abc
import httpx
import orjson

KEY = 'bench-key'
STREAM_MODEL = 'stream'
PROBE_MODEL = 'probe'
CONFIGURATION: dict[str, object] = {
    'classes': {'draft': {'first_token_s': 30.0}},
    'models': {STREAM_MODEL: {'version': '1'}, PROBE_MODEL: {'version': '1'}},
    'accounts': {
        'bench': {
            'key_digests': [hashlib.sha256(KEY.encode()).hexdigest()],
            'max_open': 10_000,
        }
    },
    'data_centres': ['local'],
}
PROMPT = 'plan a class trip to the lake with forty pupils ' * 40
HEADERS = {'Authorization': f'Bearer {KEY}', 'Accept-Encoding': 'identity'}
READ_BYTES = 65536


@dataclass(kw_only=True, slots=True)
class StreamCount:
    """What the callers of open streams have read."""

    bytes: int = 0
    tokens: float = 0
    """A token of the stand-in holds one slash and comes twice."""
    events: int = 0
    open: int = 0


async def read_stream(
    address: str, max_tokens: int, seen: StreamCount
) -> None:
    """Read one stream over a plain socket, which costs little."""
    body = orjson.dumps(
        {
            'model': STREAM_MODEL,
            'stream': True,
            'max_tokens': max_tokens,
            'messages': [{'role': 'user', 'content': PROMPT}],
        }
    )
    host, _, port = address.partition(':')
    async with await anyio.connect_tcp(host, int(port)) as stream:
        head = (
            f'POST /v1/chat/completions HTTP/1.1\r\nHost: {address}\r\n'
            f'Authorization: Bearer {KEY}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        await stream.send(head.encode() + body)
        seen.open += 1
        while True:
            data = await stream.receive(READ_BYTES)
            seen.bytes += len(data)
            seen.events += data.count(b'\ndata:')
            seen.tokens += data.count(b'/') / 2


@dataclass(kw_only=True, slots=True)
class Probes:
    """First-token times of short requests, in seconds."""

    via_daemon: list[float] = field(default_factory=list)
    direct: list[float] = field(default_factory=list)


async def probe(
    daemon: str, engine: str, rate: float, seconds: float
) -> Probes:
    """Send short requests both ways, `rate` a second each."""
    probes = Probes()
    async with (
        httpx.AsyncClient(headers=HEADERS, timeout=30) as client,
        anyio.create_task_group() as tasks,
    ):
        for number in range(int(rate * seconds)):
            tasks.start_soon(_probe_daemon, client, daemon, number, probes)
            await anyio.sleep(0.5 / rate)
            tasks.start_soon(_probe_engine, client, engine, number, probes)
            await anyio.sleep(0.5 / rate)
    return probes


async def _probe_daemon(
    client: httpx.AsyncClient, daemon: str, number: int, probes: Probes
) -> None:
    body = {
        'model': PROBE_MODEL,
        'stream': True,
        'max_tokens': 4,
        'messages': [{'role': 'user', 'content': f'{number} {PROMPT}'}],
    }
    url = f'http://{daemon}/v1/chat/completions'
    probes.via_daemon.append(await _first_event(client, url, body))


async def _probe_engine(
    client: httpx.AsyncClient, engine: str, number: int, probes: Probes
) -> None:
    body = {
        'request': f'direct-{number}',
        'attempt': 1,
        'model': PROBE_MODEL,
        'prompt': f'user: direct {number} {PROMPT}',
        'max_tokens': 4,
    }
    url = f'http://{engine}/v1/generate'
    probes.direct.append(await _first_event(client, url, body))


async def _first_event(
    client: httpx.AsyncClient, url: str, body: dict[str, object]
) -> float:
    begun = anyio.current_time()
    async with client.stream('POST', url, json=body) as answer:
        chunks = answer.aiter_raw()
        await anext(chunks)
        passed = anyio.current_time() - begun
        async for _ in chunks:
            pass
    return passed
