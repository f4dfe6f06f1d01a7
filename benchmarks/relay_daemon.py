"""The serving part of a daemon over HTTP engines, for bench_relay."""

import sys
from contextlib import aclosing

import anyio
import structlog
from mimosamux_daemon.adapters.http_engine import (
    HttpEngines,
)
from mimosamux_daemon.adapters.http_server import listen, serve_http
from mimosamux_daemon.api.callers import CallerRoutes
from mimosamux_daemon.control.configuration import ConfigurationInForce
from mimosamux_daemon.control.configuration_models import parse_configuration
from mimosamux_daemon.domain.engine import ConnectFailed, LoadReport
from mimosamux_daemon.domain.names import (
    DataCentreName,
    EndpointId,
    ModelName,
    VMId,
)
from mimosamux_daemon.domain.vms import Endpoint
from mimosamux_daemon.serving.admission import Admission
from mimosamux_daemon.serving.fleet import Fleet
from mimosamux_daemon.serving.model_serving import ModelServing
from mimosamux_daemon.serving.requests import RequestRegistry
from mimosamux_daemon.serving.routing import Router
from starlette.applications import Starlette

from benchmarks.relay_load import CONFIGURATION, PROBE_MODEL, STREAM_MODEL


async def main(probe: str, engines: list[str]) -> None:
    """Serve until killed."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(50)
    )
    fleet = Fleet()
    fleet.add(make_endpoint(probe, PROBE_MODEL))
    for address in engines:
        fleet.add(make_endpoint(address, STREAM_MODEL))
    in_force = ConfigurationInForce()
    in_force.update(parse_configuration(CONFIGURATION, version=1))
    listener = listen('127.0.0.1', 0)
    async with (
        aclosing(HttpEngines()) as engine_port,
        anyio.create_task_group() as tasks,
    ):
        serving = ModelServing(
            engines=engine_port,
            fleet=fleet,
            router=Router(fleet=fleet),
            admission=Admission(),
            registry=RequestRegistry(),
            tasks=tasks,
        )
        for state in tuple(fleet.by_id.values()):
            tasks.start_soon(watch, engine_port, fleet, state.endpoint)
        callers = CallerRoutes(in_force=in_force, serving=serving)
        print(f'127.0.0.1:{listener.getsockname()[1]}', flush=True)
        await serve_http(
            Starlette(routes=callers.routes()),
            listener,
            shutdown=anyio.sleep_forever,
        )


async def watch(
    engine_port: HttpEngines, fleet: Fleet, endpoint: Endpoint
) -> None:
    """Take the load reports of an engine."""
    async with engine_port.watch(endpoint) as reports:
        if isinstance(reports, ConnectFailed):
            return
        while (report := await reports.receive()) is not None:
            if isinstance(report, LoadReport):
                fleet.apply_report(report)


def make_endpoint(address: str, model: str) -> Endpoint:
    """Return the endpoint of a stand-in."""
    return Endpoint(
        id=EndpointId(address),
        vm=VMId(address),
        address=address,
        data_centre=DataCentreName('local'),
        model=ModelName(model),
    )


if __name__ == '__main__':
    anyio.run(
        main,
        sys.argv[1],
        sys.argv[2:],
        backend_options={'use_uvloop': True},
    )
