"""The `Engines` port over HTTP; docs/PROTOCOLS.md has the format."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from typing import TypeVar

import httpx
import orjson
import pydantic

from mimosamux_daemon.adapters.engine_clients import (
    CONNECT_TIMEOUT_S,
    EngineClients,
)
from mimosamux_daemon.adapters.http_engine_models import (
    ExportModel,
    ImportModel,
    RefusalModel,
)
from mimosamux_daemon.adapters.http_engine_streams import (
    HttpEngineStream,
    HttpReportStream,
    describe,
)
from mimosamux_daemon.domain.engine import (
    ConnectFailed,
    EngineCall,
    EngineOrder,
    EngineRefused,
    KvExport,
    KvImported,
    KvUnavailable,
    OrderDone,
    OrderRefused,
    OrderUnanswered,
    StreamBroken,
)
from mimosamux_daemon.domain.names import RequestId
from mimosamux_daemon.domain.vms import Endpoint
from mimosamux_daemon.pace import Pace
from mimosamux_daemon.ports.models.engine import EngineStream, ReportStream

CANCEL_TIMEOUT_S = 1.0
EXPORT_TIMEOUT_S = 10.0
IMPORT_TIMEOUT_S = 60.0
ORDER_TIMEOUT_S = 30.0
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
ModelT = TypeVar('ModelT', bound=pydantic.BaseModel)


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
