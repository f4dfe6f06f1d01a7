"""Port to the platform's rate-limited weight store."""

from dataclasses import dataclass
from typing import Protocol

from mimosamux_daemon.domain.names import DataCentreName, ModelName
from mimosamux_daemon.domain.store import Unavailable


@dataclass(frozen=True, kw_only=True, slots=True)
class WeightLimits:
    """Rate that the store gives to a data centre, in bytes a second."""

    bytes_per_s: float


class WeightStore(Protocol):
    """Sizes of weights and the rate at which they may be loaded."""

    async def size_bytes(
        self, model: ModelName, version: str
    ) -> int | None | Unavailable:
        """Return the size of a model's weights, None if unknown."""

    async def limits(
        self, data_centre: DataCentreName
    ) -> WeightLimits | Unavailable:
        """Return the rate that a data centre may load with."""
