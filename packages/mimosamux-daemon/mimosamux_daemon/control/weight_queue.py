"""One queue of a data centre for loading weights, within the store's rate."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio

from mimosamux_daemon.domain.configuration import ModelSpec
from mimosamux_daemon.domain.names import DataCentreName
from mimosamux_daemon.domain.store import Unavailable
from mimosamux_daemon.ports.models.weight_store import WeightStore

RETRY_S = 5.0


class WeightQueue:
    """Hands out turns to load, one after the other.

    Loads that begin together share the store's rate, and all of them end
    late; in a row the first replica serves while the others load.
    """

    def __init__(
        self, *, weights: WeightStore, data_centre: DataCentreName
    ) -> None:
        self._weights = weights
        self._data_centre = data_centre
        self._lock = anyio.Lock()
        self._free_at = 0.0

    def reserve(self, seconds: float) -> None:
        """Leave the store to loads that an earlier holder began."""
        now = anyio.current_time()
        self._free_at = max(self._free_at, now) + seconds

    async def load_time_s(self, spec: ModelSpec) -> float:
        """Return how long a load takes at the full rate."""
        size = await self._find_size(spec)
        limits = await self._weights.limits(self._data_centre)
        while isinstance(limits, Unavailable):
            await anyio.sleep(RETRY_S)
            limits = await self._weights.limits(self._data_centre)
        return size / limits.bytes_per_s

    @asynccontextmanager
    async def turn(self, spec: ModelSpec) -> AsyncIterator[float]:
        """Wait for a turn; gives the seconds that the load may take."""
        async with self._lock:
            seconds = await self.load_time_s(spec)
            await anyio.sleep_until(self._free_at)
            self._free_at = anyio.current_time() + seconds
            yield seconds

    async def _find_size(self, spec: ModelSpec) -> int:
        size = await self._weights.size_bytes(spec.name, spec.version)
        while isinstance(size, Unavailable):
            await anyio.sleep(RETRY_S)
            size = await self._weights.size_bytes(spec.name, spec.version)
        return spec.size_bytes if size is None else size
