"""Everything outside a daemon, behind the ports: over HTTP or in memory."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from mimosamux_daemon.adapters.http_cloud import HttpCloud
from mimosamux_daemon.adapters.http_object_store import HttpObjectStore
from mimosamux_daemon.adapters.http_platform import PlatformClient
from mimosamux_daemon.adapters.http_service import HttpServices
from mimosamux_daemon.adapters.http_table import HttpTable
from mimosamux_daemon.adapters.http_weight_store import HttpWeightStore
from mimosamux_daemon.adapters.memory_engine import (
    MemoryEngines as HttpEngines,
)
from mimosamux_daemon.embedded import embed_platform
from mimosamux_daemon.ports import (
    Cloud,
    Engines,
    ObjectStore,
    Services,
    Table,
    WeightStore,
)
from mimosamux_daemon.settings import Settings


async def _close_nothing() -> None:
    """Leave everything as it is: nothing is open."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Platform:
    """The ports that a daemon is built over."""

    table: Table
    objects: ObjectStore
    cloud: Cloud
    weights: WeightStore
    engines: Engines
    services: Services
    close: Callable[[], Awaitable[None]] = _close_nothing


def build_platform(settings: Settings) -> Platform:
    """Return the platform that the settings name."""
    if settings.platform_url is not None:
        return connect_platform(settings.platform_url)
    embedded = embed_platform(settings.data_centre)
    return Platform(
        table=embedded.table,
        objects=embedded.objects,
        cloud=embedded.cloud,
        weights=embedded.weights,
        engines=embedded.engines,
        services=embedded.services,
    )


def connect_platform(url: str) -> Platform:
    """Return the platform that answers HTTP at a base URL."""
    client = PlatformClient(base_url=url)
    return Platform(
        table=HttpTable(client=client),
        objects=HttpObjectStore(client=client),
        cloud=HttpCloud(client=client),
        weights=HttpWeightStore(client=client),
        engines=HttpEngines(),
        services=HttpServices(),
        close=client.close,
    )
