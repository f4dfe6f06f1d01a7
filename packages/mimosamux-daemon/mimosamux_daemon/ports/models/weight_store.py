"""Port to the platform's rate-limited store of model weights."""

from dataclasses import dataclass
from typing import Protocol

from mimosamux_daemon.domain.names import DataCentreName, ModelName
from mimosamux_daemon.domain.store import Unavailable


@dataclass(frozen=True, kw_only=True, slots=True)
class WeightLimits:
    """Download rate limit of a data centre, in bytes a second."""

    bytes_per_s: float


class WeightStore(Protocol):
    """Sizes of model weights and limits on their download rate."""

    async def size_bytes(
        self, model: ModelName, version: str
    ) -> int | None | Unavailable:
        """Return the size of a model's weights, or None if unknown."""

    async def limits(
        self, data_centre: DataCentreName
    ) -> WeightLimits | Unavailable:
        """Return the download rate limit of a data centre."""
