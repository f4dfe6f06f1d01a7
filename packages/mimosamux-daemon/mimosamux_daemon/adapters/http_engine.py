"""The `Engines` port over HTTP; docs/PROTOCOLS.md has the format."""

from collections import deque
from collections.abc import AsyncIterator, Iterable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from typing import TypeVar

import anyio
import httpx
import orjson
import pydantic

from mimosamux_daemon.adapters.engine_clients import (
    CONNECT_TIMEOUT_S,
    EngineClients,
    Pace,
)
from mimosamux_daemon.adapters.http_engine_models import (
    ExportModel,
    FrameModel,
    ImportModel,
    RefusalModel,
    ReportModel,
)
from mimosamux_daemon.domain.engine import (
    ConnectFailed,
    EngineCall,
    EngineEvent,
    EngineOrder,
    EngineRefused,
    EngineReport,
    KvExport,
    KvImported,
    KvUnavailable,
    OrderDone,
    OrderRefused,
    OrderUnanswered,
    StreamBroken,
    StreamEnd,
    TokenFrame,
)
from mimosamux_daemon.domain.names import RequestId
from mimosamux_daemon.domain.vms import Endpoint
from mimosamux_daemon.errors import InvariantBroken
from mimosamux_daemon.ports.engine import EngineStream, ReportStream

CANCEL_TIMEOUT_S = 1.0
EXPORT_TIMEOUT_S = 10.0
IMPORT_TIMEOUT_S = 60.0
ORDER_TIMEOUT_S = 30.0
FINISH_TIMEOUT_S = 0.1
MAX_EVENT_BYTES = 1024 * 1024
MAX_REFUSAL_BYTES = 64 * 1024
REFUSALS = frozenset({400, 404, 409, 413, 422, 429, 503})
"""Statuses with which an engine says that it does not take a call."""
NOT_SENT = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
    httpx.UnsupportedProtocol,
    httpx.InvalidURL,
)
"""Errors that come before the first byte of a call is sent."""
BUFFERED_S = 0.0005
"""A read that takes no longer came from a buffer, which may hold more."""
EVENT_END = b'\n\n'
DATA = b'data:'
ModelT = TypeVar('ModelT', bound=pydantic.BaseModel)


class EventReader:
    """Server-sent events of a response, as the bytes of their data."""

    def __init__(self, response: httpx.Response) -> None:
        # The raw stream: `aiter_raw` adds two layers to each event.
        self._chunks = aiter(as_byte_stream(response))
        self._rest = b''
        self.waited_at: float | None = None
        """When the last read ended, if it had to wait for the engine."""

    async def receive(self) -> list[bytes] | None:
        """Return all events that are ready, None at the end."""
        while True:
            begun = anyio.current_time()
            chunk = await anext(self._chunks, None)
            now = anyio.current_time()
            self.waited_at = now if now - begun > BUFFERED_S else None
            if chunk is None:
                return None
            *whole, self._rest = (self._rest + chunk).split(EVENT_END)
            if len(self._rest) > MAX_EVENT_BYTES:
                return None
            events = [data for event in whole if (data := data_of(event))]
            if events:
                return events


def as_byte_stream(response: httpx.Response) -> httpx.AsyncByteStream:
    """Return the body of a response as it comes."""
    if not isinstance(response.stream, httpx.AsyncByteStream):
        raise InvariantBroken('a response without an asynchronous body')
    return response.stream


def data_of(event: bytes) -> bytes:
    """Return the data of one event, empty for a comment."""
    if event.startswith(DATA) and b'\n' not in event:
        return event[len(DATA) :]
    lines = event.splitlines()
    return b'\n'.join(
        line[len(DATA) :].strip() for line in lines if line.startswith(DATA)
    )


class HttpEngineStream:
    """An answer that comes as server-sent events."""

    def __init__(self, response: httpx.Response, pace: Pace) -> None:
        self._reader = EventReader(response)
        self._pace = pace
        self._has_begun = False
        self._ready: deque[EngineEvent] = deque()
        self._has_end = False

    async def finish(self) -> None:
        """Read to the end of the body, so that the connection is kept.

        Without this, every call would open a new connection, which
        takes several passes of a busy event loop.
        """
        if self._has_end:
            with anyio.move_on_after(FINISH_TIMEOUT_S):
                while await self._reader.receive() is not None:
                    pass

    async def receive(self) -> EngineEvent:
        """Return the next event, with frames that are ready joined."""
        while not self._ready:
            await self._pause()
            try:
                events = await self._reader.receive()
                if events is None:
                    return StreamBroken(reason='ended without its end marker')
                self._ready.extend(join_frames(parse_events(events)))
            except httpx.HTTPError as error:
                return StreamBroken(reason=describe(error))
            except pydantic.ValidationError:
                return StreamBroken(reason='malformed event')
        event = self._ready.popleft()
        self._has_end = isinstance(event, StreamEnd)
        return event

    async def _pause(self) -> None:
        """Let tokens gather before the next read, under load.

        The first token is never put off, and what was read already is
        passed on before any pause.
        """
        waited_at = self._reader.waited_at
        if waited_at is None:
            return
        if not self._has_begun:
            self._has_begun = True
            return
        gap_s = self._pace.gap_s
        if gap_s:
            await anyio.sleep(waited_at + gap_s - anyio.current_time())


def parse_events(events: list[bytes]) -> Iterable[EngineEvent]:
    """Return the checked events of an answer."""
    for data in events:
        yield FrameModel.model_validate_json(data).as_event()


def join_frames(events: Iterable[EngineEvent]) -> list[EngineEvent]:
    """Return the events with adjoining frames made one."""
    joined: list[EngineEvent] = []
    for event in events:
        last = joined[-1] if joined else None
        if (
            isinstance(event, TokenFrame)
            and isinstance(last, TokenFrame)
            and event.request == last.request
            and event.attempt == last.attempt
            and event.offset == last.offset + len(last.tokens)
        ):
            joined[-1] = TokenFrame(
                request=last.request,
                attempt=last.attempt,
                offset=last.offset,
                tokens=last.tokens + event.tokens,
            )
        else:
            joined.append(event)
    return joined


class HttpReportStream:
    """Reports that come as server-sent events."""

    def __init__(self, response: httpx.Response, endpoint: Endpoint) -> None:
        self._reader = EventReader(response)
        self._endpoint = endpoint
        self._ready: deque[EngineReport] = deque()

    async def receive(self) -> EngineReport | None:
        """Return the next report, None when the stream has ended."""
        while not self._ready:
            try:
                events = await self._reader.receive()
                if events is None:
                    return None
                for data in events:
                    model = ReportModel.model_validate_json(data)
                    report = model.as_report(self._endpoint.id)
                    if report is not None:
                        self._ready.append(report)
            except (httpx.HTTPError, pydantic.ValidationError):
                return None
        return self._ready.popleft()


class HttpEngines:
    """Every model engine, reached at its endpoint's address."""

    def __init__(self) -> None:
        self._pace = Pace()
        self._clients = EngineClients()

    async def aclose(self) -> None:
        """Close every connection."""
        await self._clients.aclose()

    def generate(
        self, endpoint: Endpoint, call: EngineCall
    ) -> AbstractAsyncContextManager[
        EngineStream | ConnectFailed | EngineRefused | StreamBroken
    ]:
        """Open the stream of one attempt; leaving it hangs up."""
        return self._generate(endpoint, call)

    @asynccontextmanager
    async def _generate(
        self, endpoint: Endpoint, call: EngineCall
    ) -> AsyncIterator[
        EngineStream | ConnectFailed | EngineRefused | StreamBroken
    ]:
        self._pace.streams += 1
        try:
            async with self._open(endpoint, call) as stream:
                yield stream
        finally:
            self._pace.streams -= 1

    @asynccontextmanager
    async def _open(
        self, endpoint: Endpoint, call: EngineCall
    ) -> AsyncIterator[
        EngineStream | ConnectFailed | EngineRefused | StreamBroken
    ]:
        client = await self._clients.get(endpoint.address)
        try:
            request = client.build_request(
                'POST',
                url_of(endpoint, '/v1/generate'),
                content=encode_call(call),
            )
            response = await client.send(request, stream=True)
        except NOT_SENT as error:
            yield ConnectFailed(reason=describe(error))
            return
        except httpx.HTTPError as error:
            yield StreamBroken(reason=describe(error))
            return
        try:
            if response.status_code == httpx.codes.OK:
                stream = HttpEngineStream(response, self._pace)
                yield stream
                await stream.finish()
            else:
                yield await _read_refusal(response)
        finally:
            await response.aclose()

    def watch(
        self, endpoint: Endpoint
    ) -> AbstractAsyncContextManager[ReportStream | ConnectFailed]:
        """Open the stream of reports, which starts with a snapshot."""
        return self._watch(endpoint)

    @asynccontextmanager
    async def _watch(
        self, endpoint: Endpoint
    ) -> AsyncIterator[ReportStream | ConnectFailed]:
        client = await self._clients.get(endpoint.address)
        try:
            request = client.build_request(
                'GET', url_of(endpoint, '/v1/reports')
            )
            response = await client.send(request, stream=True)
        except (httpx.HTTPError, httpx.InvalidURL) as error:
            yield ConnectFailed(reason=describe(error))
            return
        try:
            if response.status_code == httpx.codes.OK:
                yield HttpReportStream(response, endpoint)
            else:
                yield ConnectFailed(reason=f'status {response.status_code}')
        finally:
            await response.aclose()

    async def cancel(
        self, endpoint: Endpoint, request: RequestId, attempt: int
    ) -> None:
        """Ask the engine to drop an attempt; failing is harmless."""
        await self._post(
            endpoint,
            '/v1/cancel',
            {'request': request, 'attempt': attempt},
            timeout_s=CANCEL_TIMEOUT_S,
        )

    async def export_kv(
        self, endpoint: Endpoint, request: RequestId, attempt: int
    ) -> KvExport | KvUnavailable:
        """Stop an attempt at a token and export its KV cache."""
        answer = await self._post(
            endpoint,
            '/v1/kv/export',
            {'request': request, 'attempt': attempt},
            timeout_s=EXPORT_TIMEOUT_S,
        )
        model = parse_answer(answer, ExportModel)
        if isinstance(model, str):
            return KvUnavailable(reason=model)
        return model.as_export(endpoint)

    async def import_kv(
        self, endpoint: Endpoint, source: Endpoint, export: KvExport
    ) -> KvImported | KvUnavailable:
        """Have `endpoint` fetch exported KV cache from `source`."""
        answer = await self._post(
            endpoint,
            '/v1/kv/import',
            {
                'handle': export.handle,
                'source': source.address,
                'tokens': export.tokens,
                'size_bytes': export.size_bytes,
            },
            timeout_s=IMPORT_TIMEOUT_S,
        )
        model = parse_answer(answer, ImportModel)
        if isinstance(model, str):
            return KvUnavailable(reason=model)
        return model.as_imported()

    async def order(
        self, endpoint: Endpoint, order: EngineOrder
    ) -> OrderDone | OrderRefused | OrderUnanswered:
        """Give an order to load, unload or change role."""
        answer = await self._post(
            endpoint,
            '/v1/orders',
            {
                'id': order.id,
                'action': order.action,
                'argument': order.argument,
                'fencing': order.fencing,
            },
            timeout_s=ORDER_TIMEOUT_S,
        )
        if isinstance(answer, str):
            return OrderUnanswered(id=order.id)
        if answer.is_success:
            return OrderDone(id=order.id)
        if answer.is_client_error:
            return OrderRefused(id=order.id, reason=reason_of(answer))
        return OrderUnanswered(id=order.id)

    async def _post(
        self,
        endpoint: Endpoint,
        path: str,
        body: dict[str, object],
        *,
        timeout_s: float,
    ) -> httpx.Response | str:
        """Return the answer, or why there is none."""
        client = await self._clients.get(endpoint.address)
        try:
            return await client.post(
                url_of(endpoint, path),
                content=orjson.dumps(body),
                timeout=httpx.Timeout(timeout_s, connect=CONNECT_TIMEOUT_S),
            )
        except (httpx.HTTPError, httpx.InvalidURL) as error:
            return describe(error)


async def _read_refusal(
    response: httpx.Response,
) -> EngineRefused | StreamBroken:
    if response.status_code not in REFUSALS:
        # Another error may come after the call has begun to run.
        return StreamBroken(reason=f'status {response.status_code}')
    body = b''
    try:
        async for chunk in response.aiter_raw():
            body += chunk
            if len(body) > MAX_REFUSAL_BYTES:
                break
        model = RefusalModel.model_validate_json(body)
    except (httpx.HTTPError, pydantic.ValidationError):
        return EngineRefused(reason=f'status {response.status_code}')
    return EngineRefused(
        reason=model.reason, retry_after_s=model.retry_after_s
    )


def parse_answer(
    answer: httpx.Response | str, kind: type[ModelT]
) -> ModelT | str:
    """Return the checked body of an answer, or why there is none."""
    if isinstance(answer, str):
        return answer
    if not answer.is_success:
        return reason_of(answer)
    try:
        return kind.model_validate_json(answer.content)
    except pydantic.ValidationError:
        return 'malformed answer'


def reason_of(answer: httpx.Response) -> str:
    """Return the reason that an error answer gives."""
    try:
        return RefusalModel.model_validate_json(answer.content).reason
    except pydantic.ValidationError:
        return f'status {answer.status_code}'


def encode_call(call: EngineCall) -> bytes:
    """Return the body of a call."""
    return orjson.dumps(
        {
            'request': call.request,
            'attempt': call.attempt,
            'model': call.model,
            'prompt': call.prompt,
            'max_tokens': call.max_tokens,
            'priority': call.priority,
            'answer_so_far': call.answer_so_far,
            'kv_handle': call.kv_handle,
            'parameters': call.parameters,
        }
    )


def url_of(endpoint: Endpoint, path: str) -> str:
    """Return the URL of a path at an endpoint."""
    return f'http://{endpoint.address}{path}'


def describe(error: Exception) -> str:
    """Return a short text that names an error."""
    return f'{type(error).__name__}: {error}'
