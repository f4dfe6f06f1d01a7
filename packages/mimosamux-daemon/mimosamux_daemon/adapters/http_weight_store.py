"""The platform's weight store over HTTP."""

from dataclasses import dataclass

from mimosamux_daemon.adapters.http_platform import (
    PlatformClient,
    PlatformModel,
    parse_reply,
)
from mimosamux_daemon.domain.names import DataCentreName, ModelName
from mimosamux_daemon.domain.store import Unavailable
from mimosamux_daemon.ports.models.weight_store import WeightLimits


class SizeReply(PlatformModel):
    """Size of a model's weights, null if the store has none."""

    size_bytes: int | None


class LimitsReply(PlatformModel):
    """Rate of a data centre."""

    bytes_per_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class HttpWeightStore:
    """The `WeightStore` port over HTTP."""

    client: PlatformClient

    async def size_bytes(
        self, model: ModelName, version: str
    ) -> int | None | Unavailable:
        """Return the size of a model's weights, None if unknown."""
        reply = await self.client.send(
            'GET',
            '/weights/size',
            params={'model': model, 'version': version},
        )
        if isinstance(reply, Unavailable):
            return reply
        parsed = parse_reply(SizeReply, reply)
        if isinstance(parsed, Unavailable):
            return parsed
        return parsed.size_bytes

    async def limits(
        self, data_centre: DataCentreName
    ) -> WeightLimits | Unavailable:
        """Return the rate that a data centre may load with."""
        reply = await self.client.send(
            'GET', '/weights/limits', params={'data_centre': data_centre}
        )
        if isinstance(reply, Unavailable):
            return reply
        parsed = parse_reply(LimitsReply, reply)
        if isinstance(parsed, Unavailable):
            return parsed
        return WeightLimits(bytes_per_s=parsed.bytes_per_s)
