"""The embedded default: everything outside the daemon, in memory."""

from dataclasses import dataclass, field

from mimosamux_daemon.adapters.memory_engine import MemoryEngines
from mimosamux_daemon.adapters.memory_object_store import MemoryObjectStore
from mimosamux_daemon.adapters.memory_table import MemoryTable
from mimosamux_daemon.domain.names import (
    DataCentreName,
    EndpointId,
    ModelName,
    VMId,
)
from mimosamux_daemon.domain.vms import Endpoint

EMBEDDED_MODEL = ModelName('demo')


@dataclass(kw_only=True, slots=True)
class EmbeddedPlatform:
    """An in-memory platform with one emulated engine."""

    data_centre: DataCentreName
    table: MemoryTable = field(default_factory=MemoryTable)
    objects: MemoryObjectStore = field(default_factory=MemoryObjectStore)
    engines: MemoryEngines = field(default_factory=MemoryEngines)

    def endpoints(self) -> tuple[Endpoint, ...]:
        """Return the emulated engine, started."""
        endpoint = Endpoint(
            id=EndpointId('embedded-1'),
            vm=VMId('embedded-1'),
            address='embedded',
            data_centre=self.data_centre,
            model=EMBEDDED_MODEL,
        )
        if endpoint.id not in self.engines.by_id:
            self.engines.add(endpoint)
        return (endpoint,)
