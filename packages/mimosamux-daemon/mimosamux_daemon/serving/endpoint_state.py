"""State of one endpoint at a daemon, and the work sent to it."""

from collections.abc import Sequence
from dataclasses import dataclass, field

import anyio

from mimosamux_daemon.domain.engine import LoadReport
from mimosamux_daemon.domain.names import RequestId
from mimosamux_daemon.domain.vms import Endpoint
from mimosamux_daemon.serving.load import Load
from mimosamux_daemon.serving.prices import CapacityPool
from mimosamux_daemon.serving.service_times import (
    DEFAULT_SERVICE_S,
    WorkKind,
)

STATE_NAMES = ('serving', 'suspected', 'leaving')
SUSPECT_AFTER = 2
"""Consecutive failed connects after which an endpoint is suspected."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PromptWork:
    """Estimated work of an attempt at its endpoint."""

    tokens: float = 512.0
    """Prompt tokens to prefill: those likely not in the prefix cache."""
    blocks: Sequence[int] = ()
    """Hashes of the prompt's blocks, which the endpoint will cache."""
    kind: WorkKind | None = None
    wait_s: float = 0.0
    """Estimated time in the queue, until prefill starts."""
    service_s: float = DEFAULT_SERVICE_S
    """Estimated time that the request holds a slot."""


@dataclass(kw_only=True, slots=True)
class UnreportedWork:
    """Work sent to an endpoint since this daemon's last digest."""

    tokens: float = 0.0
    requests: int = 0
    ended: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class SlotUse:
    """Estimated times at which an attempt gets and frees its slot."""

    kind: WorkKind | None
    starts_at: float
    ends_at: float


@dataclass(kw_only=True, slots=True, eq=False)
class EndpointState:
    """State of one endpoint, as this daemon knows it."""

    endpoint: Endpoint
    pool: CapacityPool
    leaving: anyio.Event = field(default_factory=anyio.Event)
    """Set once the endpoint is about to go away; never reset."""
    leaves_at: float | None = None
    """Time (`anyio.current_time`) at which its VM is taken away."""
    load: Load = field(default_factory=Load)
    is_own: bool = False
    """Whether this daemon owns the endpoint, see `Fleet.set_own`."""
    open_by_request: dict[RequestId, int] = field(default_factory=dict)
    """Attempt numbers of this daemon's requests that run there."""
    slot_use_by_request: dict[RequestId, SlotUse] = field(default_factory=dict)
    failed_connects: int = 0
    """Failed connects since the last successful one."""
    next_probe_at: float = 0.0
    """Time from which a suspected endpoint is tried again."""

    @property
    def is_leaving(self) -> bool:
        """Whether the endpoint goes away and gets no new work."""
        return self.leaving.is_set()

    @property
    def report(self) -> LoadReport | None:
        """Newest load report; None before the first."""
        return self.load.report

    def slot_wait_s(
        self, now: float, service_s: float, *, occupied: float
    ) -> float:
        """Return the wait for a slot with `occupied` requests there."""
        ends = [each.ends_at for each in self.slot_use_by_request.values()]
        return self.load.slot_wait_s(now, service_s, ends, occupied=occupied)

    def is_suspected(self, now: float) -> bool:
        """Whether connects have failed and the next probe is not due."""
        return (
            self.failed_connects >= SUSPECT_AFTER and now < self.next_probe_at
        )

    def state_name(self, now: float) -> str:
        """Return one of `STATE_NAMES`."""
        if self.is_leaving:
            return 'leaving'
        return 'suspected' if self.is_suspected(now) else 'serving'
