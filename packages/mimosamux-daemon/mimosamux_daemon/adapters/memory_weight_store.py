"""A weight store in memory, with a rate for each data centre."""

from dataclasses import dataclass, field

import anyio.lowlevel

from mimosamux_daemon.domain.names import DataCentreName, ModelName
from mimosamux_daemon.domain.store import Unavailable
from mimosamux_daemon.ports.models.weight_store import WeightLimits

DEFAULT_BYTES_PER_S = 1e9


@dataclass(kw_only=True, slots=True)
class MemoryWeightStore:
    """The `WeightStore` port over dictionaries."""

    down: bool = False
    sizes_by_model: dict[tuple[ModelName, str], int] = field(
        default_factory=dict
    )
    """Size in bytes by model and version."""
    rates_by_data_centre: dict[DataCentreName, float] = field(
        default_factory=dict
    )

    async def size_bytes(
        self, model: ModelName, version: str
    ) -> int | None | Unavailable:
        """Return the size of a model's weights, None if unknown."""
        await anyio.lowlevel.checkpoint()
        if self.down:
            return Unavailable(reason='down', may_have_taken_effect=False)
        return self.sizes_by_model.get((model, version))

    async def limits(
        self, data_centre: DataCentreName
    ) -> WeightLimits | Unavailable:
        """Return the rate that a data centre may load with."""
        await anyio.lowlevel.checkpoint()
        if self.down:
            return Unavailable(reason='down', may_have_taken_effect=False)
        rate = self.rates_by_data_centre.get(data_centre, DEFAULT_BYTES_PER_S)
        return WeightLimits(bytes_per_s=rate)
