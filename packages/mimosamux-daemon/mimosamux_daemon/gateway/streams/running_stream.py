"""A stream that runs at one endpoint, and the copy of its KV cache."""

from dataclasses import dataclass, field

import anyio

from mimosamux_daemon.domain.routes import EngineCapabilities, ServiceEntry
from mimosamux_daemon.domain.stream_origins import StreamOrigin
from mimosamux_daemon.gateway.balancing.endpoint_record import EndpointRecord

BITS_PER_BYTE = 8
REMOTE_COPY_FACTOR = 2.0
"""Factor on the time of a copy to another data centre."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamCopy:
    """A copy of a stream's KV cache at one endpoint."""

    kv_source: str
    """Handle of the copy, sent with the request that continues from it."""
    holder: EndpointRecord


@dataclass(kw_only=True, slots=True, eq=False)
class RunningStream:
    """A stream that runs at one endpoint."""

    request_id: str
    service: ServiceEntry
    record: EndpointRecord
    origin: StreamOrigin
    tokens: int
    """Estimated tokens in its KV cache."""
    copy: StreamCopy | None = None
    """Latest copy from which it could continue elsewhere."""
    is_stopped: bool = False
    """Whether its run has stopped at its endpoint for a move."""
    is_stop_possible: bool = False
    """Whether it was ordered to stop, and is not known to have run on."""
    is_claimed: bool = False
    """Whether it continues elsewhere, from its copy if there is one."""
    ended: anyio.Event = field(default_factory=anyio.Event)
    """Set when the response from its endpoint has ended or broken off."""
    move_lock: anyio.Lock = field(default_factory=anyio.Lock)
    """Serialises the calls that copy or stop its run."""

    @property
    def engine(self) -> EngineCapabilities | None:
        """Return the engine traits of its service; a plain one has none."""
        return self.service.engine

    @property
    def can_move(self) -> bool:
        """Whether its engine supports migration to another engine."""
        return self.engine is not None and self.engine.can_move

    @property
    def has_lasting_copy(self) -> bool:
        """Whether it has a copy at an endpoint that is not leaving."""
        return self.copy is not None and self.copy.holder.accepts_requests

    async def may_have_stopped(self) -> bool:
        """Whether its run may have stopped for a move.

        It waits for the answer to an order that is under way.
        """
        if self.is_stop_possible:
            async with self.move_lock:
                pass
        return self.is_stop_possible

    def copy_time_s(self) -> float:
        """Return an upper bound of the time to copy its KV cache."""
        engine = self.engine
        if engine is None or engine.link_mbps <= 0:
            return 0.0
        bits = self.tokens * engine.bytes_per_token * BITS_PER_BYTE
        return REMOTE_COPY_FACTOR * bits / (engine.link_mbps * 1e6)
