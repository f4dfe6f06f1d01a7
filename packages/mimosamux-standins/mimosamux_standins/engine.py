"""A model engine as a small HTTP program, around the emulated engine.

`python -m mimosamux_standins.engine --port 0` prints its address. The
routes below `/control` inject faults and show what was run.
"""

from collections.abc import AsyncIterator
from dataclasses import asdict, dataclass, field, replace
from typing import Any

import anyio
import fire
import httpx
import orjson
from mimosamux_daemon.adapters.emulated_engine import (
    EngineRun,
    EngineSpeed,
    FaultKind,
    HeldKv,
    MemoryEngine,
)
from mimosamux_daemon.adapters.emulated_stream import EmulatedReports
from mimosamux_daemon.adapters.http_server import listen, serve_http
from mimosamux_daemon.adapters.memory_engine import MemoryEngines
from mimosamux_daemon.domain.engine import (
    EngineCall,
    EngineOrder,
    EngineRefused,
    KvUnavailable,
    LoadReport,
    OrderDone,
    StreamBroken,
    StreamEnd,
    TokenFrame,
)
from mimosamux_daemon.domain.names import (
    DataCentreName,
    EndpointId,
    ModelName,
    RequestId,
    VMId,
)
from mimosamux_daemon.domain.vms import Endpoint
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from mimosamux_standins.program import GRACE_S, announce, wait_for_signal

EVENT_STREAM = 'text/event-stream'
FETCH_TIMEOUT_S = 5.0


@dataclass(kw_only=True, slots=True)
class EngineProgram:
    """The HTTP routes of one emulated engine."""

    engine: MemoryEngine
    engines: MemoryEngines = field(default_factory=MemoryEngines)

    def __post_init__(self) -> None:
        self.engines.by_id[self.engine.endpoint.id] = self.engine

    def build_app(self) -> Starlette:
        """Return the application."""
        return Starlette(
            routes=[
                Route('/v1/generate', self.generate, methods=['POST']),
                Route('/v1/reports', self.reports),
                Route('/v1/cancel', self.cancel, methods=['POST']),
                Route('/v1/kv/export', self.export_kv, methods=['POST']),
                Route('/v1/kv/import', self.import_kv, methods=['POST']),
                Route('/v1/kv/{handle:path}', self.show_kv),
                Route('/v1/orders', self.order, methods=['POST']),
                Route('/control/faults', self.control, methods=['POST']),
                Route('/control/runs', self.show_runs),
            ]
        )

    async def generate(self, request: Request) -> Response:
        """Answer a call with server-sent events."""
        fields = orjson.loads(await request.body())
        answer_so_far = tuple(fields.pop('answer_so_far', ()))
        call = EngineCall(answer_so_far=answer_so_far, **fields)
        if self.engine.dead.is_set():
            return _refusal('stopped', 503, 1.0)
        if self._takes_refusal():
            return _refusal('busy', 503, 1.0)
        return StreamingResponse(self._events(call), media_type=EVENT_STREAM)

    def _takes_refusal(self) -> bool:
        faults = self.engine.faults
        if faults and faults[0] is FaultKind.REFUSED:
            faults.popleft()
            return True
        return False

    async def _events(self, call: EngineCall) -> AsyncIterator[bytes]:
        opened = self.engines.generate(self.engine.endpoint, call)
        async with opened as stream:
            if isinstance(stream, EngineRefused | StreamBroken) or not hasattr(
                stream, 'receive'
            ):
                return
            while True:
                event = await stream.receive()
                if isinstance(event, StreamBroken):
                    return
                yield _event(_frame_fields(event))
                if isinstance(event, StreamEnd):
                    return

    async def reports(self, request: Request) -> Response:
        """Send load reports and cache events."""
        return StreamingResponse(self._reports(), media_type=EVENT_STREAM)

    async def _reports(self) -> AsyncIterator[bytes]:
        reports = EmulatedReports(engine=self.engine)
        while (report := await reports.receive()) is not None:
            kind = 'load' if isinstance(report, LoadReport) else 'cache'
            fields = asdict(report)
            del fields['endpoint']
            yield _event({kind: fields})

    async def cancel(self, request: Request) -> Response:
        """Drop an attempt; hanging up has the same effect."""
        return JSONResponse({})

    async def export_kv(self, request: Request) -> Response:
        """Stop an attempt and keep its KV cache ready."""
        fields = orjson.loads(await request.body())
        export = await self.engines.export_kv(
            self.engine.endpoint,
            RequestId(fields['request']),
            fields['attempt'],
        )
        if isinstance(export, KvUnavailable):
            return _refusal(export.reason, 409, None)
        return JSONResponse(
            {
                'handle': export.handle,
                'tokens': export.tokens,
                'size_bytes': export.size_bytes,
            }
        )

    async def show_kv(self, request: Request) -> Response:
        """Tell another engine what is held under a handle."""
        held = self.engine.held_kv.get(request.path_params['handle'])
        if held is None or self.engine.dead.is_set():
            return _refusal('unknown handle', 404, None)
        return JSONResponse(asdict(held))

    async def import_kv(self, request: Request) -> Response:
        """Fetch KV cache from another engine, at the speed of both."""
        fields = orjson.loads(await request.body())
        if not self.engine.abilities.imports_kv:
            return _refusal('not supported', 409, None)
        handle, source = fields['handle'], fields['source']
        held = await _fetch_kv(source, handle)
        if held is None:
            return _refusal('source does not answer', 409, None)
        await anyio.sleep(held.size_bytes / self.engine.speed.kv_bytes_per_s)
        if await _fetch_kv(source, handle) is None:
            return _refusal('source was lost', 409, None)
        self.engine.held_kv[handle] = held
        return JSONResponse({'handle': handle, 'tokens': held.tokens})

    async def order(self, request: Request) -> Response:
        """Carry an order out, unless its fencing number is too old."""
        fields = orjson.loads(await request.body())
        result = await self.engines.order(
            self.engine.endpoint,
            EngineOrder(endpoint=self.engine.endpoint.id, **fields),
        )
        if isinstance(result, OrderDone):
            return JSONResponse({})
        return _refusal('old fencing number', 409, None)

    async def control(self, request: Request) -> Response:
        """Inject faults and change abilities and speed."""
        fields = orjson.loads(await request.body())
        for kind in fields.get('inject', ()):
            self.engine.inject(FaultKind(kind))
        self.engine.abilities = replace(
            self.engine.abilities, **fields.get('abilities', {})
        )
        self.engine.speed = replace(
            self.engine.speed, **fields.get('speed', {})
        )
        for action in ('freeze', 'thaw', 'die'):
            if fields.get(action):
                getattr(self.engine, action)()
        return JSONResponse({})

    async def show_runs(self, request: Request) -> Response:
        """Return what the engine recorded of its work."""
        return JSONResponse([_run_fields(run) for run in self.engine.runs])


async def _fetch_kv(source: str, handle: str) -> HeldKv | None:
    url = f'http://{source}/v1/kv/{handle}'
    async with httpx.AsyncClient(
        timeout=FETCH_TIMEOUT_S, verify=False, trust_env=False
    ) as client:
        try:
            answer = await client.get(url)
        except httpx.HTTPError:
            return None
    return HeldKv(**answer.json()) if answer.is_success else None


def _frame_fields(event: TokenFrame | StreamEnd) -> dict[str, object]:
    if isinstance(event, TokenFrame):
        return {
            'request': event.request,
            'attempt': event.attempt,
            'offset': event.offset,
            'tokens': event.tokens,
        }
    return asdict(event)


def _run_fields(run: EngineRun) -> dict[str, object]:
    return {
        'request': run.call.request,
        'attempt': run.call.attempt,
        'resumed_at': len(run.call.answer_so_far),
        'computed_tokens': run.computed_tokens,
        'cached_tokens': run.cached_tokens,
        'imported_tokens': run.imported_tokens,
        'produced': run.produced,
        'ended': run.ended,
    }


def _event(fields: dict[str, Any]) -> bytes:
    return b'data:' + orjson.dumps(fields) + b'\n\n'


def _refusal(
    reason: str, status: int, retry_after_s: float | None
) -> Response:
    return JSONResponse(
        {'reason': reason, 'retry_after_s': retry_after_s},
        status_code=status,
    )


def build_program(
    *,
    identity: str,
    address: str,
    model: str = 'demo',
    data_centre: str = 'local',
    checks_fencing: bool = False,
    speed: EngineSpeed | None = None,
) -> EngineProgram:
    """Return the routes of a new engine."""
    endpoint = Endpoint(
        id=EndpointId(identity),
        vm=VMId(identity),
        address=address,
        data_centre=DataCentreName(data_centre),
        model=ModelName(model),
        checks_fencing=checks_fencing,
    )
    engine = MemoryEngine(endpoint=endpoint, speed=speed or EngineSpeed())
    return EngineProgram(engine=engine)


def run(
    *,
    port: int = 0,
    host: str = '127.0.0.1',
    identity: str = 'engine',
    model: str = 'demo',
    data_centre: str = 'local',
    checks_fencing: bool = False,
    **speed: float,
) -> None:
    """Run an engine; speeds such as `--slots 32` may be given."""
    listener = listen(host, port)
    address = f'{host}:{listener.getsockname()[1]}'
    program = build_program(
        identity=identity,
        address=address,
        model=model,
        data_centre=data_centre,
        checks_fencing=checks_fencing,
        speed=EngineSpeed(**speed),  # type: ignore[arg-type]
    )

    async def serve() -> None:
        stopping = anyio.Event()
        announce('listening', address)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(wait_for_signal, stopping.set)
            await serve_http(
                program.build_app(),
                listener,
                shutdown=stopping.wait,
                grace_s=GRACE_S,
            )
            tasks.cancel_scope.cancel()

    anyio.run(serve, backend_options={'use_uvloop': True})


if __name__ == '__main__':
    fire.Fire(run)
