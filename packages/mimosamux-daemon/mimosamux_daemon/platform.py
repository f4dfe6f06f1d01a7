"""Adapters of the services that a daemon uses: over HTTP or in memory."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, aclosing, asynccontextmanager
from dataclasses import dataclass

from mimosamux_daemon.adapters.http_cloud import HttpCloud
from mimosamux_daemon.adapters.http_engine import HttpEngines
from mimosamux_daemon.adapters.http_object_store import HttpObjectStore
from mimosamux_daemon.adapters.http_platform import PlatformClient
from mimosamux_daemon.adapters.http_service import HttpServices
from mimosamux_daemon.adapters.http_table import HttpTable
from mimosamux_daemon.adapters.http_weight_store import HttpWeightStore
from mimosamux_daemon.embedded import embed_platform
from mimosamux_daemon.ports import Table
from mimosamux_daemon.ports.models import (
    Cloud,
    Engines,
    ObjectStore,
    Services,
    WeightStore,
)
from mimosamux_daemon.settings import Settings


@dataclass(frozen=True, kw_only=True, slots=True)
class Platform:
    """Implementations of the ports through which a daemon reaches them."""

    table: Table
    objects: ObjectStore
    cloud: Cloud
    weights: WeightStore
    engines: Engines
    services: Services


@asynccontextmanager
async def open_platform(settings: Settings) -> AsyncIterator[Platform]:
    """Open the platform that the settings name; close it on exit."""
    if settings.platform_url is None:
        yield _embed(settings)
        return
    async with AsyncExitStack() as stack:
        client = PlatformClient(base_url=settings.platform_url)
        stack.push_async_callback(client.close)
        yield Platform(
            table=HttpTable(client=client),
            objects=HttpObjectStore(client=client),
            cloud=HttpCloud(client=client),
            weights=HttpWeightStore(client=client),
            engines=await stack.enter_async_context(aclosing(HttpEngines())),
            services=HttpServices(),
        )


def _embed(settings: Settings) -> Platform:
    embedded = embed_platform(settings.data_centre)
    return Platform(
        table=embedded.table,
        objects=embedded.objects,
        cloud=embedded.cloud,
        weights=embedded.weights,
        engines=embedded.engines,
        services=embedded.services,
    )
