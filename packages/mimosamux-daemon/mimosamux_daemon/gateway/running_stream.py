"""A stream under way at one endpoint, and the copies of its memory."""

from dataclasses import dataclass, field

import anyio

from mimosamux_daemon.domain.routes import EngineTraits, ServiceEntry
from mimosamux_daemon.gateway.endpoint_record import EndpointRecord

BITS_PER_BYTE = 8
FAR_FACTOR = 2.0
"""Copies to another data centre take so much longer."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamCopy:
    """A copy of a stream's memory at one endpoint."""

    kv_source: str
    """Names the copy for the request that goes on from it."""
    holder: EndpointRecord


@dataclass(kw_only=True, slots=True, eq=False)
class RunningStream:
    """A stream under way at one endpoint."""

    request_id: str
    service: ServiceEntry
    record: EndpointRecord
    tokens: int
    """Tokens in its engine's memory, about."""
    copy: StreamCopy | None = None
    """Newest copy from which it could go on elsewhere."""
    is_stopped: bool = False
    """Whether its run has stopped at its endpoint for a move."""
    is_claimed: bool = False
    """Whether it goes on elsewhere, from its copy if there is one."""
    ended: anyio.Event = field(default_factory=anyio.Event)
    """Set once nothing comes from its endpoint any more."""
    changing: anyio.Lock = field(default_factory=anyio.Lock)
    """Held during a call that moves it: one such call at a time."""

    @property
    def engine(self) -> EngineTraits | None:
        """Return what is known of engines of its service."""
        return self.service.engine

    @property
    def can_move(self) -> bool:
        """Whether its engine can hand it over to another one."""
        return self.engine is not None and self.engine.can_move

    @property
    def has_lasting_copy(self) -> bool:
        """Whether a copy stands at an endpoint that does not leave."""
        return self.copy is not None and self.copy.holder.accepts_requests

    def copy_s(self) -> float:
        """Return the time that a copy of its memory takes at most."""
        engine = self.engine
        if engine is None or engine.link_mbps <= 0:
            return 0.0
        bits = self.tokens * engine.bytes_per_token * BITS_PER_BYTE
        return FAR_FACTOR * bits / (engine.link_mbps * 1e6)
