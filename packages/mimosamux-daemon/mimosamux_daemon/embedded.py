"""Embedded platform: in-memory adapters for a daemon without a cloud."""

from dataclasses import dataclass, field

import anyio

from mimosamux_daemon.adapters.memory_cloud import (
    CloudFaults,
    MemoryCloud,
    VMRecord,
)
from mimosamux_daemon.adapters.memory_engine import MemoryEngines
from mimosamux_daemon.adapters.memory_object_store import MemoryObjectStore
from mimosamux_daemon.adapters.memory_service import MemoryServices
from mimosamux_daemon.adapters.memory_table import MemoryTable
from mimosamux_daemon.adapters.memory_weight_store import MemoryWeightStore
from mimosamux_daemon.domain.names import (
    DataCentreName,
    EndpointId,
    ModelName,
    ServiceName,
    VMId,
)
from mimosamux_daemon.domain.vms import (
    VM,
    Endpoint,
    Market,
    Price,
    VMRole,
    VMState,
)

EMBEDDED_MODEL = ModelName('demo')
EMBEDDED_SERVICE = ServiceName('echo')
MACHINE_CLASS = 'standard'
PRICE_PER_HOUR = 1.0


@dataclass(kw_only=True, slots=True)
class EmbeddedPlatform:
    """In-memory table, object store, cloud, engines and services."""

    table: MemoryTable = field(default_factory=MemoryTable)
    objects: MemoryObjectStore = field(default_factory=MemoryObjectStore)
    engines: MemoryEngines = field(default_factory=MemoryEngines)
    services: MemoryServices = field(default_factory=MemoryServices)
    weights: MemoryWeightStore = field(default_factory=MemoryWeightStore)
    cloud: MemoryCloud = field(
        default_factory=lambda: MemoryCloud(faults=CloudFaults(list_lag_s=0.0))
    )


def embed_platform(data_centre: DataCentreName) -> EmbeddedPlatform:
    """Return an embedded platform with one live engine and one service."""
    platform = EmbeddedPlatform()
    platform.cloud.set_price(
        Price(
            data_centre=data_centre,
            machine_class=MACHINE_CLASS,
            market=Market.ON_DEMAND,
            per_hour=PRICE_PER_HOUR,
        )
    )
    engine = _add_live_vm(
        platform, 'engine-1', data_centre, model=EMBEDDED_MODEL
    )
    _add_live_vm(platform, 'service-1', data_centre, service=EMBEDDED_SERVICE)
    platform.engines.add(
        Endpoint(
            id=EndpointId(engine.id),
            vm=engine.id,
            address=engine.address,
            data_centre=data_centre,
            market=Market.ON_DEMAND,
            model=EMBEDDED_MODEL,
        )
    )
    return platform


def _add_live_vm(
    platform: EmbeddedPlatform,
    name: str,
    data_centre: DataCentreName,
    *,
    model: ModelName | None = None,
    service: ServiceName | None = None,
) -> VM:
    vm = VM(
        id=VMId(name),
        data_centre=data_centre,
        machine_class=MACHINE_CLASS,
        market=Market.ON_DEMAND,
        role=VMRole.ENDPOINT,
        state=VMState.LIVE,
        address='embedded:0',
        model=model,
        service=service,
    )
    now = anyio.current_time()
    platform.cloud.by_id[vm.id] = VMRecord(vm=vm, started_at=now, live_at=now)
    return vm
