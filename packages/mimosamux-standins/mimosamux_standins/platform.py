"""Stand-in for the platform: table, objects, weight store and cloud.

It keeps everything in memory. The routes under `/control` change what
goes wrong, and take part in no protocol of the product.
"""

import pathlib
from dataclasses import asdict, dataclass, field
from functools import partial

import anyio
import orjson
import pydantic
import yaml
from mimosamux_daemon.adapters.http_cloud import StartBody
from mimosamux_daemon.adapters.http_table import CommitBody
from mimosamux_daemon.adapters.memory_object_store import MemoryObjectStore
from mimosamux_daemon.adapters.memory_table import MemoryTable, TableFaults
from mimosamux_daemon.domain.names import DataCentreName, VMId
from mimosamux_daemon.domain.store import Conflict, Unavailable
from mimosamux_daemon.domain.vms import VM, Price
from mimosamux_daemon.ports.models.cloud import StartRefused
from mimosamux_daemon.validation import first_problem
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from mimosamux_standins.cloud import CloudFaults, StandInCloud
from mimosamux_standins.program import serve_app

DEFAULT_BYTES_PER_S = 1e9


class PlatformFile(pydantic.BaseModel):
    """What the platform shows from the start, read from YAML."""

    model_config = pydantic.ConfigDict(extra='forbid')

    vms: tuple[VM, ...] = ()
    spares: tuple[VM, ...] = ()
    prices: tuple[Price, ...] = ()
    weights: dict[str, int] = {}
    """Size in bytes by `model@version`."""
    weight_rates: dict[str, float] = {}
    """Bytes a second by data centre."""


class _Notice(pydantic.BaseModel):
    vm: str
    seconds_left: float


class _VMBody(pydantic.BaseModel):
    vm: VM


@dataclass(kw_only=True, slots=True)
class Platform:
    """State of the stand-in and its routes."""

    table: MemoryTable = field(default_factory=MemoryTable)
    objects: MemoryObjectStore = field(default_factory=MemoryObjectStore)
    cloud: StandInCloud = field(default_factory=StandInCloud)
    weights: dict[str, int] = field(default_factory=dict)
    weight_rates: dict[str, float] = field(default_factory=dict)

    def app(self) -> Starlette:
        """Return the application."""
        return Starlette(
            routes=[
                Route('/table/rows', self.read_row),
                Route('/table/scan', self.scan),
                Route('/table/commit', self.commit, methods=['POST']),
                Route('/objects/{key:path}', self.get_object),
                Route('/objects/{key:path}', self.put_object, methods=['PUT']),
                Route('/weights/size', self.weight_size),
                Route('/weights/limits', self.weight_limits),
                Route('/cloud/vms', self.list_vms),
                Route('/cloud/vms', self.start_vm, methods=['POST']),
                Route('/cloud/vms/{vm}', self.stop_vm, methods=['DELETE']),
                Route('/cloud/notices', self.list_notices),
                Route('/cloud/prices', self.list_prices),
                *self._control_routes(),
            ]
        )

    def _control_routes(self) -> list[Route]:
        return [
            Route('/control', self.show),
            Route('/control/table', self.set_table, methods=['POST']),
            Route('/control/objects', self.set_objects, methods=['POST']),
            Route('/control/cloud', self.set_cloud, methods=['POST']),
            Route('/control/vms', self.put_vm, methods=['POST']),
            Route('/control/notices', self.give_notice, methods=['POST']),
        ]

    async def read_row(self, request: Request) -> Response:
        """Answer `GET /table/rows`."""
        row = await self.table.read(request.query_params['key'])
        if isinstance(row, Unavailable):
            return _unavailable(row)
        return _reply({'row': row})

    async def scan(self, request: Request) -> Response:
        """Answer `GET /table/scan`."""
        params = request.query_params
        rows = await self.table.scan(
            params['prefix'],
            after=params.get('after', ''),
            limit=int(params.get('limit', '1000')),
        )
        if isinstance(rows, Unavailable):
            return _unavailable(rows)
        return _reply({'rows': rows})

    async def commit(self, request: Request) -> Response:
        """Answer `POST /table/commit`."""
        try:
            body = CommitBody.model_validate_json(await request.body())
        except pydantic.ValidationError as error:
            return _malformed(error)
        outcome = await self.table.commit(body.checks, body.writes)
        if isinstance(outcome, Unavailable):
            return _unavailable(outcome)
        if isinstance(outcome, Conflict):
            return _reply(
                {'key': outcome.key, 'found': outcome.found}, status=409
            )
        return _reply({'versions': outcome.versions})

    async def get_object(self, request: Request) -> Response:
        """Answer `GET /objects/KEY`."""
        key = request.path_params['key']
        data = await self.objects.get(key)
        if isinstance(data, Unavailable):
            return _unavailable(data)
        if data is None:
            return _reply({'missing_object': key}, status=404)
        return Response(data, media_type='application/octet-stream')

    async def put_object(self, request: Request) -> Response:
        """Answer `PUT /objects/KEY`."""
        failed = await self.objects.put(
            request.path_params['key'], await request.body()
        )
        return _unavailable(failed) if failed else Response(status_code=204)

    async def weight_size(self, request: Request) -> Response:
        """Answer `GET /weights/size`."""
        params = request.query_params
        size = self.weights.get(f'{params["model"]}@{params["version"]}')
        return _reply({'size_bytes': size})

    async def weight_limits(self, request: Request) -> Response:
        """Answer `GET /weights/limits`."""
        rate = self.weight_rates.get(
            request.query_params['data_centre'], DEFAULT_BYTES_PER_S
        )
        return _reply({'bytes_per_s': rate})

    async def list_vms(self, request: Request) -> Response:
        """Answer `GET /cloud/vms`."""
        names = request.query_params.get('data_centres', '')
        vms = await self.cloud.list_vms(
            [DataCentreName(name) for name in names.split(',') if name]
        )
        if isinstance(vms, Unavailable):
            return _unavailable(vms)
        return _reply({'vms': vms})

    async def list_notices(self, request: Request) -> Response:
        """Answer `GET /cloud/notices`."""
        notices = await self.cloud.list_notices()
        if isinstance(notices, Unavailable):
            return _unavailable(notices)
        return _reply({'notices': notices})

    async def list_prices(self, request: Request) -> Response:
        """Answer `GET /cloud/prices`."""
        prices = await self.cloud.list_prices()
        if isinstance(prices, Unavailable):
            return _unavailable(prices)
        return _reply({'prices': prices})

    async def start_vm(self, request: Request) -> Response:
        """Answer `POST /cloud/vms`."""
        try:
            body = StartBody.model_validate_json(await request.body())
        except pydantic.ValidationError as error:
            return _malformed(error)
        vm = await self.cloud.start_vm(body.order)
        if isinstance(vm, Unavailable):
            return _unavailable(vm)
        if isinstance(vm, StartRefused):
            return _reply({'refused': vm.reason}, status=409)
        return _reply({'vm': vm})

    async def stop_vm(self, request: Request) -> Response:
        """Answer `DELETE /cloud/vms/VM`."""
        failed = await self.cloud.stop_vm(VMId(request.path_params['vm']))
        return _unavailable(failed) if failed else Response(status_code=204)

    async def show(self, request: Request) -> Response:
        """Return what was served and what goes wrong."""
        return _reply(
            {
                'table': asdict(self.table.faults),
                'cloud': asdict(self.cloud.faults),
                'rows': len(self.table.rows_by_key),
                'rows_read': self.table.rows_read,
                'rows_written': self.table.rows_written,
                'commits': self.table.commits,
                'starts': self.cloud.starts,
                'stops': self.cloud.stops,
            }
        )

    async def set_table(self, request: Request) -> Response:
        """Take the faults of the table; those left out end."""
        body = await request.body()
        faults = pydantic.TypeAdapter(TableFaults).validate_json(body)
        self.table.faults = faults
        return Response(status_code=204)

    async def set_objects(self, request: Request) -> Response:
        """Take the faults of the object store."""
        self.objects.down = bool(orjson.loads(await request.body())['down'])
        return Response(status_code=204)

    async def set_cloud(self, request: Request) -> Response:
        """Take the faults of the cloud; those left out end."""
        body = await request.body()
        faults = pydantic.TypeAdapter(CloudFaults).validate_json(body)
        self.cloud.faults = faults
        return Response(status_code=204)

    async def put_vm(self, request: Request) -> Response:
        """List a VM, or change its state."""
        body = _VMBody.model_validate_json(await request.body())
        self.cloud.put(body.vm)
        return Response(status_code=204)

    async def give_notice(self, request: Request) -> Response:
        """Give a reclaim notice; the VM counts as leaving."""
        notice = _Notice.model_validate_json(await request.body())
        self.cloud.reclaim(VMId(notice.vm), seconds_left=notice.seconds_left)
        return Response(status_code=204)


class _Reply(pydantic.RootModel[object]):
    model_config = pydantic.ConfigDict(ser_json_bytes='base64')


def _reply(content: object, *, status: int = 200) -> Response:
    return Response(
        _Reply(content).model_dump_json(),
        status_code=status,
        media_type='application/json',
    )


def _unavailable(problem: Unavailable) -> Response:
    landed = problem.may_have_taken_effect
    return _reply(
        {'message': problem.reason, 'not_applied': not landed},
        status=500 if landed else 503,
    )


def _malformed(error: pydantic.ValidationError) -> Response:
    problem = first_problem(error)
    message = f'{problem.path}: {problem.message}'
    return _reply(
        {'message': message, 'not_applied': True},
        status=400,
    )


def build_platform(content: PlatformFile) -> Platform:
    """Return a platform that shows what a file says."""
    platform = Platform(
        weights=dict(content.weights),
        weight_rates=dict(content.weight_rates),
    )
    platform.cloud.prices = content.prices
    platform.cloud.spares = list(content.spares)
    for vm in content.vms:
        platform.cloud.put(vm)
    return platform


def serve(
    file: str | None = None, host: str = '127.0.0.1', port: int = 0
) -> None:
    """Serve a platform that starts with the VMs of a YAML file."""
    text = pathlib.Path(file).read_text() if file else ''
    content = PlatformFile.model_validate(yaml.safe_load(text) or {})
    anyio.run(partial(_serve, content, host=host, port=port))


async def _serve(content: PlatformFile, *, host: str, port: int) -> None:
    await serve_app(build_platform(content).app(), host=host, port=port)
