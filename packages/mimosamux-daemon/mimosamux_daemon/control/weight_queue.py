"""Serialises the loading of model weights in one data centre."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio

from mimosamux_daemon.domain.configuration import ModelSpec
from mimosamux_daemon.domain.names import DataCentreName
from mimosamux_daemon.domain.store import Unavailable
from mimosamux_daemon.ports.models.weight_store import WeightStore

RETRY_INTERVAL_S = 5.0


class WeightQueue:
    """Lets one replica at a time load weights from the weight store.

    Concurrent loads share the store's bandwidth and all finish late. When
    they run one after another, the first replica serves while the others
    still wait.
    """

    def __init__(
        self, *, weights: WeightStore, data_centre: DataCentreName
    ) -> None:
        self._weights = weights
        self._data_centre = data_centre
        self._lock = anyio.Lock()
        self._available_at = 0.0

    def delay_loads(self, seconds: float) -> None:
        """Delay loads by the time that an earlier lease holder's need."""
        now = anyio.current_time()
        self._available_at = max(self._available_at, now) + seconds

    async def load_time_s(self, spec: ModelSpec) -> float:
        """Return the seconds that a load takes at full bandwidth."""
        size = await self._fetch_size(spec)
        limits = await self._weights.limits(self._data_centre)
        while isinstance(limits, Unavailable):
            await anyio.sleep(RETRY_INTERVAL_S)
            limits = await self._weights.limits(self._data_centre)
        return size / limits.bytes_per_s

    @asynccontextmanager
    async def reserve_load(self, spec: ModelSpec) -> AsyncIterator[float]:
        """Hold the queue for one load; yield its expected seconds."""
        async with self._lock:
            seconds = await self.load_time_s(spec)
            await anyio.sleep_until(self._available_at)
            self._available_at = anyio.current_time() + seconds
            yield seconds

    async def _fetch_size(self, spec: ModelSpec) -> int:
        size = await self._weights.size_bytes(spec.name, spec.version)
        while isinstance(size, Unavailable):
            await anyio.sleep(RETRY_INTERVAL_S)
            size = await self._weights.size_bytes(spec.name, spec.version)
        return spec.size_bytes if size is None else size
