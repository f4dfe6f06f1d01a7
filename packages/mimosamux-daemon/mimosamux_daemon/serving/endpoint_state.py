"""What a daemon knows of one endpoint, and the work it sent there."""

from collections.abc import Sequence
from dataclasses import dataclass, field

import anyio

from mimosamux_daemon.domain.engine import LoadReport
from mimosamux_daemon.domain.names import RequestId
from mimosamux_daemon.domain.vms import Endpoint
from mimosamux_daemon.serving.load import Load
from mimosamux_daemon.serving.prices import Place
from mimosamux_daemon.serving.service_times import (
    DEFAULT_SERVICE_S,
    WorkKind,
)

STATE_NAMES = ('serving', 'suspected', 'leaving')
SUSPECT_AFTER = 2
"""Failed connects in a row after which an endpoint is avoided."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PromptWork:
    """What an attempt gives its endpoint to do."""

    tokens: float = 512.0
    """Prompt tokens that are likely not in the prefix cache."""
    blocks: Sequence[int] = ()
    """Hashes of the prompt's blocks, cached there afterwards."""
    kind: WorkKind | None = None
    wait_s: float = 0.0
    """Estimated wait for the prompt's turn and a slot."""
    service_s: float = DEFAULT_SERVICE_S
    """Estimated time in a slot."""


@dataclass(kw_only=True, slots=True)
class RecentWork:
    """What this daemon sent to an endpoint since its last digest."""

    tokens: float = 0.0
    requests: int = 0
    ended: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Started:
    """When an attempt likely got its slot, and when it likely ends."""

    kind: WorkKind | None
    at: float
    ends_at: float


@dataclass(kw_only=True, slots=True, eq=False)
class EndpointState:
    """What is known of one endpoint."""

    endpoint: Endpoint
    place: Place
    leaving: anyio.Event = field(default_factory=anyio.Event)
    """Set for good once the endpoint is known to go away."""
    leaves_at: float | None = None
    """Time of `anyio.current_time` at which it is taken away."""
    load: Load = field(default_factory=Load)
    is_own: bool = False
    """Whether this daemon watches it, see `Fleet.set_own`."""
    open_by_request: dict[RequestId, int] = field(default_factory=dict)
    """Attempt number of each request that runs there from here."""
    started_by_request: dict[RequestId, Started] = field(default_factory=dict)
    failed_connects: int = 0
    """Connects that failed since the last that came about."""
    probe_at: float = 0.0
    """Time before which a suspected endpoint is not tried again."""

    @property
    def is_leaving(self) -> bool:
        """Whether no new work may be sent there."""
        return self.leaving.is_set()

    @property
    def report(self) -> LoadReport | None:
        """Newest load report, None before the first."""
        return self.load.report

    def slot_wait_s(
        self, now: float, service_s: float, *, occupied: float
    ) -> float:
        """Return the wait for a slot if `occupied` requests fill them."""
        ends = [each.ends_at for each in self.started_by_request.values()]
        return self.load.slot_wait_s(now, service_s, ends, occupied=occupied)

    def is_suspected(self, now: float) -> bool:
        """Whether connects fail there and the next probe is not due."""
        return self.failed_connects >= SUSPECT_AFTER and now < self.probe_at

    def state_name(self, now: float) -> str:
        """Return one of `STATE_NAMES`."""
        if self.is_leaving:
            return 'leaving'
        return 'suspected' if self.is_suspected(now) else 'serving'
