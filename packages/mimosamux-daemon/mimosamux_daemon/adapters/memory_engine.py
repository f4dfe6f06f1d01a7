"""The `Engines` port over emulated engines in memory.

An engine answers a prompt with the prompt's own words, over and over,
each marked with its place, so that a check can tell from the answer
alone whether it is whole and belongs to the request.
"""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from dataclasses import dataclass, field

import anyio

from mimosamux_daemon.adapters.emulated_engine import (
    EngineAbilities,
    EngineRun,
    EngineSpeed,
    FaultKind,
    HeldKv,
    MemoryEngine,
    count_prompt_tokens,
    expected_token,
)
from mimosamux_daemon.adapters.emulated_stream import (
    EmulatedReports,
    EmulatedStream,
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
from mimosamux_daemon.domain.names import EndpointId, RequestId
from mimosamux_daemon.domain.vms import Endpoint
from mimosamux_daemon.ports.models.engine import EngineStream, ReportStream

__all__ = [
    'EngineAbilities',
    'EngineRun',
    'EngineSpeed',
    'FaultKind',
    'MemoryEngine',
    'MemoryEngines',
    'expected_token',
]

REFUSAL_RETRY_S = 1.0


@dataclass(kw_only=True, slots=True)
class MemoryEngines:
    """The `Engines` port over emulated engines."""

    by_id: dict[EndpointId, MemoryEngine] = field(default_factory=dict)

    def add(
        self, endpoint: Endpoint, *, speed: EngineSpeed | None = None
    ) -> MemoryEngine:
        """Start an emulated engine for an endpoint."""
        engine = MemoryEngine(endpoint=endpoint, speed=speed or EngineSpeed())
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
        engine = self._living(endpoint)
        if engine is None:
            yield ConnectFailed(reason='connection refused')
            return
        if engine.faults and engine.faults[0] is FaultKind.REFUSED:
            engine.faults.popleft()
            yield EngineRefused(reason='busy', retry_after_s=REFUSAL_RETRY_S)
            return
        run = EngineRun(call=call, dispatched_at=anyio.current_time())
        engine.runs.append(run)
        key = (call.request, call.attempt)
        engine.open_runs[key] = run
        stream = EmulatedStream(engine=engine, run=run)
        try:
            yield stream
        finally:
            run.ended = run.ended or 'hung up'
            engine.open_runs.pop(key, None)
            engine.exporting.discard(key)
            if stream.has_slot and engine.abilities.cancels:
                engine.free_slot()
            elif stream.has_slot:
                engine.abandon_slot(stream.natural_end())

    def watch(
        self, endpoint: Endpoint
    ) -> AbstractAsyncContextManager[ReportStream | ConnectFailed]:
        """Open the stream of reports."""
        return self._watch(endpoint)

    @asynccontextmanager
    async def _watch(
        self, endpoint: Endpoint
    ) -> AsyncIterator[ReportStream | ConnectFailed]:
        engine = self._living(endpoint)
        if engine is None:
            yield ConnectFailed(reason='connection refused')
            return
        yield EmulatedReports(engine=engine)

    async def cancel(
        self, endpoint: Endpoint, request: RequestId, attempt: int
    ) -> None:
        """Do nothing: hanging up has already ended the stream."""

    async def export_kv(
        self, endpoint: Endpoint, request: RequestId, attempt: int
    ) -> KvExport | KvUnavailable:
        """Stop an attempt at a token and keep its KV cache ready."""
        engine = self._living(endpoint)
        if engine is None:
            return KvUnavailable(reason='connection refused')
        await engine.while_frozen()
        run = engine.open_runs.get((request, attempt))
        if not engine.abilities.exports_kv:
            return KvUnavailable(reason='not supported')
        if run is None or not run.computed_tokens:
            return KvUnavailable(reason='not running')
        engine.exporting.add((request, attempt))
        answer = run.produced + len(run.call.answer_so_far)
        tokens = count_prompt_tokens(run.call.prompt) + answer
        export = KvExport(
            handle=f'{endpoint.id}/{request}/{attempt}',
            source=endpoint.id,
            tokens=tokens,
            size_bytes=tokens * engine.speed.kv_bytes_per_token,
        )
        engine.held_kv[export.handle] = HeldKv(
            request=request, tokens=tokens, size_bytes=export.size_bytes
        )
        return export

    async def import_kv(
        self, endpoint: Endpoint, source: Endpoint, export: KvExport
    ) -> KvImported | KvUnavailable:
        """Have `endpoint` fetch exported KV cache from `source`."""
        target = self._living(endpoint)
        origin = self._living(source)
        if target is None or origin is None:
            return KvUnavailable(reason='connection refused')
        if not target.abilities.imports_kv:
            return KvUnavailable(reason='not supported')
        held = origin.held_kv.get(export.handle)
        if held is None:
            return KvUnavailable(reason='unknown handle')
        now = anyio.current_time()
        rate = min(origin.speed.kv_bytes_per_s, target.speed.kv_bytes_per_s)
        done = max(now, origin.kv_free_at) + held.size_bytes / rate
        origin.kv_free_at = done
        await anyio.sleep_until(done)
        await target.while_frozen()
        if target.dead.is_set() or origin.dead.is_set():
            return KvUnavailable(reason='connection lost')
        target.held_kv[export.handle] = held
        return KvImported(handle=export.handle, tokens=held.tokens)

    async def order(
        self, endpoint: Endpoint, order: EngineOrder
    ) -> OrderDone | OrderRefused | OrderUnanswered:
        """Have an engine carry an order out, or refuse it."""
        engine = self._living(endpoint)
        if engine is None:
            return OrderUnanswered(id=order.id)
        await anyio.sleep(engine.speed.order_s)
        await engine.while_frozen()
        if engine.dead.is_set():
            return OrderUnanswered(id=order.id)
        return engine.carry_out(order)

    def _living(self, endpoint: Endpoint) -> MemoryEngine | None:
        engine = self.by_id.get(endpoint.id)
        if engine is None or engine.dead.is_set():
            return None
        return engine
