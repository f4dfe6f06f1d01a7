"""Stand-in for a plain service that records each call it ran."""

from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from functools import partial

import anyio
import orjson
import pydantic
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from mimosamux_standins.program import serve_app

METHODS = ['GET', 'POST', 'PUT', 'PATCH', 'DELETE']


@dataclass(kw_only=True, slots=True)
class ServiceFaults:
    """What goes wrong at present."""

    delay_s: float = 0.0
    """Time between the run of a call and its answer."""
    cut_next: int = 0
    """So many calls run, and their answer is cut in the middle."""
    status: int = 200


@dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """One call that was run."""

    key: str
    request: str
    method: str
    path: str
    body: str
    at: float


@dataclass(kw_only=True, slots=True)
class Service:
    """State of the stand-in and its routes."""

    faults: ServiceFaults = field(default_factory=ServiceFaults)
    runs: list[Run] = field(default_factory=list)

    def app(self) -> Starlette:
        """Return the application."""
        return Starlette(
            routes=[
                Route('/control/runs', self.list_runs),
                Route('/control', self.set_faults, methods=['POST']),
                Route('/{path:path}', self.run, methods=METHODS),
            ]
        )

    async def run(self, request: Request) -> Response:
        """Run one call: record it, then answer."""
        body = await request.body()
        run = Run(
            key=request.headers.get('idempotency-key', ''),
            request=request.headers.get('x-mimosamux-request', ''),
            method=request.method,
            path=request.url.path,
            body=body.decode(errors='replace'),
            at=anyio.current_time(),
        )
        self.runs.append(run)
        number = len(self.runs)
        faults = self.faults
        if faults.delay_s:
            await anyio.sleep(faults.delay_s)
        content = orjson.dumps({'run': number, 'path': run.path})
        answer_bytes = int(request.query_params.get('answer_bytes', 0))
        content = content.ljust(answer_bytes)
        if faults.cut_next > 0:
            faults.cut_next -= 1
            return StreamingResponse(
                _cut(content), headers={'Content-Length': '100000'}
            )
        return Response(
            content,
            status_code=faults.status,
            media_type='application/json',
        )

    async def list_runs(self, request: Request) -> Response:
        """Return every call that ran, in order."""
        return Response(orjson.dumps({'runs': self.runs}))

    async def set_faults(self, request: Request) -> Response:
        """Take the faults; those left out end."""
        body = await request.body()
        faults = pydantic.TypeAdapter(ServiceFaults).validate_json(body)
        self.faults = faults
        return Response(status_code=204)


class _CutError(Exception):
    pass


async def _cut(content: bytes) -> AsyncIterator[bytes]:
    yield content
    raise _CutError


def serve(host: str = '127.0.0.1', port: int = 0) -> None:
    """Serve a plain service that records its calls."""
    anyio.run(partial(serve_app, Service().app(), host=host, port=port))
