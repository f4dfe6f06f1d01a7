"""What a daemon knows of one start of one endpoint."""

import math
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import anyio

from mimosamux_daemon.domain.gateway import ListedEndpoint
from mimosamux_daemon.domain.names import EndpointId
from mimosamux_daemon.gateway.health import EndpointHealth
from mimosamux_daemon.gateway.loads import EndpointLoad
from mimosamux_daemon.gateway.rate_shares import RateShare


@dataclass(kw_only=True, slots=True, eq=False)
class OpenSend:
    """A request under way at an endpoint."""

    sent_at: float
    """On the steady clock."""
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    """Cancelled when the endpoint has started anew since."""


@dataclass(kw_only=True, slots=True, eq=False)
class EndpointRecord:
    """What is known of one endpoint; times are of the steady clock."""

    listed: ListedEndpoint
    since: float
    """When it was first heard of."""
    is_leaving: bool = False
    """Set for good once it is known to go away."""
    leaves_at: float | None = None
    gone_at: float | None = None
    """When it was found missing in the list."""
    is_lapsed: bool = False
    """Whether it is missing in the list, and may live all the same."""
    is_withheld: bool = False
    """Whether its entry cannot be read at the moment."""
    leaving_incarnation: int = 0
    """Newest start of the endpoint of which peers said that it leaves; it
    may be one that the list has not told of yet."""
    has_crashed: bool = False
    """Whether its process ended and nobody had said that it would."""
    failed_connects: int = 0
    avoid_until: float = -math.inf
    rests_until: float = -math.inf
    """Until when it wants nothing from this daemon, as it said."""
    share: RateShare | None = None
    """What this daemon may send there, None: as much as comes."""
    refusals: int = 0
    """Refusals in a row, those of requests that were under way left out."""
    refused_at: float = -math.inf
    passed_over_until: float = -math.inf
    """Until when others go first, since it turned requests down."""
    load: EndpointLoad = field(default_factory=EndpointLoad)
    health: EndpointHealth = field(default_factory=EndpointHealth)
    open_sends: set[OpenSend] = field(default_factory=set)

    @property
    def id(self) -> EndpointId:
        """Return the id, which an endpoint keeps when it starts anew."""
        return self.listed.id

    @property
    def incarnation(self) -> int:
        """Return which start of the endpoint this is, 0: not known."""
        return self.listed.incarnation

    @property
    def takes_work(self) -> bool:
        """Whether new requests may be sent there."""
        return not (
            self.is_leaving or self.is_withheld or self.gone_at is not None
        )

    def is_cold(self, now: float) -> bool:
        """Whether it is still slow since its start, as the list tells."""
        return now < self.since + self.listed.slow_for_s

    def is_avoided(self, now: float) -> bool:
        """Whether connects fail there and the next try is not due."""
        return now < self.avoid_until

    def is_passed_over(self, now: float) -> bool:
        """Whether requests go elsewhere first, where that is possible."""
        return self.is_avoided(now) or now < self.passed_over_until

    def is_open(self, now: float) -> bool:
        """Whether it wants a request of this daemon now, as it has said."""
        if now < self.rests_until:
            return False
        return self.share is None or self.share.has_room(now)

    def opens_in_s(self, now: float) -> float:
        """Return the time until it wants a request, as far as is known."""
        wait_s = 0.0 if self.share is None else self.share.opens_in_s(now)
        return max(self.rests_until - now, wait_s, 0.0)

    @contextmanager
    def sending(self, now: float) -> Iterator[None]:
        """Count a request as under way; the block ends with the process."""
        send = OpenSend(sent_at=now)
        self.open_sends.add(send)
        try:
            with send.scope:
                yield
        finally:
            self.open_sends.discard(send)

    def end_sends(self, *, before: float) -> int:
        """Cancel what was sent before a moment; return how much it was.

        Its process is gone. Behind a cut, or from a VM that lost power,
        no reset tells so, and callers would wait for nothing.
        """
        lost = [send for send in self.open_sends if send.sent_at < before]
        for send in lost:
            send.scope.cancel()
        return len(lost)
