"""Emulated model engines in memory, for the embedded default and tests.

An engine answers a prompt with the prompt's own words, over and over,
each marked with its place, so that a check can tell from the answer
alone whether it is whole and belongs to the request.
"""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from dataclasses import dataclass, field

import anyio

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
from mimosamux_daemon.domain.names import EndpointId, RequestId
from mimosamux_daemon.domain.vms import Endpoint
from mimosamux_daemon.ports.engine import EngineStream, ReportStream


def expected_token(prompt: str, offset: int) -> str:
    """Return the token that an emulated engine gives at an offset."""
    words = prompt.split() or ['.']
    return f'{words[offset % len(words)]}/{offset} '


@dataclass(kw_only=True, slots=True)
class EngineSpeed:
    """How fast an emulated engine works."""

    prefill_tokens_per_s: float = 50_000.0
    decode_interval_s: float = 0.005


@dataclass(kw_only=True, slots=True)
class MemoryEngine:
    """One emulated engine, and what it recorded of its work."""

    endpoint: Endpoint
    speed: EngineSpeed = field(default_factory=EngineSpeed)
    dead: anyio.Event = field(default_factory=anyio.Event)
    calls: list[EngineCall] = field(default_factory=list)


class _Stream:
    def __init__(self, *, engine: MemoryEngine, call: EngineCall) -> None:
        self._engine = engine
        self._call = call
        self._offset = len(call.answer_so_far)
        self._started = False

    async def receive(self) -> EngineEvent:
        """Return the next token, or the end."""
        if not self._started:
            self._started = True
            tokens = len(self._call.prompt) / 4
            await anyio.sleep(tokens / self._engine.speed.prefill_tokens_per_s)
        if self._engine.dead.is_set():
            return StreamBroken(reason='engine died')
        call = self._call
        if self._offset >= call.max_tokens:
            return StreamEnd(
                request=call.request,
                attempt=call.attempt,
                total=self._offset,
                finish_reason='length',
                computed_tokens=len(call.prompt) // 4,
            )
        await anyio.sleep(self._engine.speed.decode_interval_s)
        token = expected_token(call.prompt, self._offset)
        self._offset += 1
        return TokenFrame(
            request=call.request,
            attempt=call.attempt,
            offset=self._offset - 1,
            tokens=(token,),
        )


class _Silence:
    async def receive(self) -> EngineReport | None:
        """Return no report, ever."""
        await anyio.sleep_forever()
        return None


@dataclass(kw_only=True, slots=True)
class MemoryEngines:
    """The `Engines` port over emulated engines."""

    by_id: dict[EndpointId, MemoryEngine] = field(default_factory=dict)

    def add(self, endpoint: Endpoint) -> MemoryEngine:
        """Start an emulated engine for an endpoint."""
        engine = MemoryEngine(endpoint=endpoint)
        self.by_id[endpoint.id] = engine
        return engine

    def generate(
        self, endpoint: Endpoint, call: EngineCall
    ) -> AbstractAsyncContextManager[
        EngineStream | ConnectFailed | EngineRefused | StreamBroken
    ]:
        """Open the stream of one attempt."""
        return self._generate(endpoint, call)

    @asynccontextmanager
    async def _generate(
        self, endpoint: Endpoint, call: EngineCall
    ) -> AsyncIterator[
        EngineStream | ConnectFailed | EngineRefused | StreamBroken
    ]:
        engine = self.by_id.get(endpoint.id)
        if engine is None or engine.dead.is_set():
            yield ConnectFailed(reason='connection refused')
            return
        engine.calls.append(call)
        yield _Stream(engine=engine, call=call)

    def watch(
        self, endpoint: Endpoint
    ) -> AbstractAsyncContextManager[ReportStream | ConnectFailed]:
        """Open the stream of reports."""
        return self._watch()

    @asynccontextmanager
    async def _watch(self) -> AsyncIterator[ReportStream | ConnectFailed]:
        yield _Silence()

    async def cancel(
        self, endpoint: Endpoint, request: RequestId, attempt: int
    ) -> None:
        """Do nothing: hanging up has already ended the stream."""

    async def export_kv(
        self, endpoint: Endpoint, request: RequestId, attempt: int
    ) -> KvExport | KvUnavailable:
        """Say that this engine exports no KV cache."""
        return KvUnavailable(reason='not supported')

    async def import_kv(
        self, endpoint: Endpoint, source: Endpoint, export: KvExport
    ) -> KvImported | KvUnavailable:
        """Say that this engine imports no KV cache."""
        return KvUnavailable(reason='not supported')

    async def order(
        self, endpoint: Endpoint, order: EngineOrder
    ) -> OrderDone | OrderRefused | OrderUnanswered:
        """Carry any order out at once."""
        return OrderDone(id=order.id)
