"""State that a daemon keeps of one incarnation of an endpoint."""

import math
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import anyio

from mimosamux_daemon.domain.gateway import ListedEndpoint
from mimosamux_daemon.domain.names import EndpointId
from mimosamux_daemon.gateway.balancing.engine_samples import EngineSamples
from mimosamux_daemon.gateway.balancing.health import EndpointHealth
from mimosamux_daemon.gateway.balancing.loads import EndpointLoad
from mimosamux_daemon.gateway.limits.rate_shares import RateShare
from mimosamux_daemon.gateway.limits.slot_shares import SlotShare

WITHHELD_RETRY_S = 0.3
"""Time in which the read of a stale list is expected to end."""
MAX_LEFT_S = 3600.0
"""Longest time left that counts: a corrupted number would not fit into the
messages to peers."""


def find_end(now: float, left_s: float) -> float:
    """Return when an endpoint is gone that has some time left."""
    return now + min(left_s, MAX_LEFT_S)


@dataclass(kw_only=True, slots=True, eq=False)
class OpenCall:
    """A request that is in flight at an endpoint."""

    sent_at: float
    """Time of sending, on the steady clock."""
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    """Cancelled when the endpoint has been restarted since."""


@dataclass(kw_only=True, slots=True, eq=False)
class EndpointRecord:
    """State of one endpoint; times are of the steady clock."""

    listed: ListedEndpoint
    listed_at: float
    """When this daemon first saw this incarnation in the list."""
    is_leaving: bool = False
    """Set for good once the endpoint is known to be leaving."""
    leaves_at: float | None = None
    """When it is expected to be gone, None if not known."""
    gone_at: float | None = None
    """When it was removed from the list, None while it is listed."""
    is_lapsed: bool = False
    """Whether its entry is missing but may have expired during a store
    outage, so that the endpoint may still be alive."""
    is_unreadable: bool = False
    """Whether its list entry cannot be decoded at the moment."""
    leaving_incarnation: int = 0
    """Newest incarnation that peers have reported as leaving; the list may
    not contain it yet."""
    has_crashed: bool = False
    """Whether its process ended without having been announced as leaving."""
    failed_connects: int = 0
    """Failed connection attempts in a row."""
    unreachable_until: float = -math.inf
    """End of the backoff after failed connection attempts."""
    paused_until: float = -math.inf
    """End of the pause that the endpoint has asked this daemon for."""
    confirmed_at: float = -math.inf
    """When the latest request was sent to which it has answered without
    announcing that it leaves."""
    is_withheld: bool = False
    """Whether it gets no requests because the list is too old to show that
    it does not leave."""
    share: RateShare | None = None
    """This daemon's part of the endpoint's rate limit, None: unlimited."""
    slot_share: SlotShare | None = None
    """This daemon's part of the slots of a brittle endpoint, None: it is not
    brittle."""
    rejections: int = 0
    """Rejections in a row; those of requests that were already in flight at
    the last one are not counted."""
    rejected_at: float = -math.inf
    """Time of the last rejection that was counted."""
    deprioritised_until: float = -math.inf
    """Until when other endpoints are preferred, after rejections."""
    load: EndpointLoad = field(default_factory=EndpointLoad)
    health: EndpointHealth = field(default_factory=EndpointHealth)
    speed_samples: EngineSamples = field(default_factory=EngineSamples)
    time_factor: float = 1.0
    """Time that the engine takes, relative to the mean of its service."""
    logged_time_factor: float = 1.0
    open_calls: set[OpenCall] = field(default_factory=set)
    """Requests of this daemon that are in flight there."""

    @property
    def id(self) -> EndpointId:
        """Return the id, which an endpoint keeps across restarts."""
        return self.listed.id

    @property
    def incarnation(self) -> int:
        """Return the number of this incarnation, 0: not known."""
        return self.listed.incarnation

    @property
    def accepts_requests(self) -> bool:
        """Whether the endpoint accepts new requests at all."""
        return not (
            self.is_leaving or self.is_unreadable or self.gone_at is not None
        )

    def is_warming_up(self, now: float) -> bool:
        """Whether it is within its slow period after a start."""
        return now < self.listed_at + self.listed.warm_up_left_s

    def is_unreachable(self, now: float) -> bool:
        """Whether connections to it fail and the next attempt is not due."""
        return now < self.unreachable_until

    def is_deprioritised(self, now: float) -> bool:
        """Whether other endpoints are preferred at the moment."""
        return self.is_unreachable(now) or now < self.deprioritised_until

    def is_open(self, now: float) -> bool:
        """Whether this daemon may send it a request now.

        Its pause, its rate limit and the age of the list have to allow it.
        """
        if self.is_withheld or now < self.paused_until:
            return False
        if self.slot_share is not None and not self.slot_share.has_room(now):
            return False
        return self.share is None or self.share.has_token(now)

    def opens_in_s(self, now: float) -> float:
        """Return the time in s until this daemon may send it a request."""
        wait_s = 0.0 if self.share is None else self.share.available_in_s(now)
        if self.is_withheld:
            wait_s = max(wait_s, WITHHELD_RETRY_S)
        share = self.slot_share
        if share is not None and not share.has_room(now):
            wait_s = max(wait_s, share.available_in_s(now))
        return max(self.paused_until - now, wait_s, 0.0)

    @contextmanager
    def track_call(self, now: float) -> Iterator[None]:
        """Count a request as in flight, and cancel the block on a restart."""
        call = OpenCall(sent_at=now)
        self.open_calls.add(call)
        try:
            with call.scope:
                yield
        finally:
            self.open_calls.discard(call)

    def cancel_calls(self, *, before: float) -> int:
        """Cancel requests sent before a given time; return their number.

        The process that received them is gone. During a network partition,
        or if its VM lost power, no TCP reset reports this, and callers would
        wait in vain.
        """
        lost = [call for call in self.open_calls if call.sent_at < before]
        for call in lost:
            call.scope.cancel()
        return len(lost)
