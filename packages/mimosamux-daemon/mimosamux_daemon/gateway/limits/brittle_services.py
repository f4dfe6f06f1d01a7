"""Keeps services whose endpoints are brittle from falling over.

A brittle endpoint falls over if it turns too many requests down in a second,
and its load then drives the others over. While a service says that it is
brittle, the daemons share the slots of its endpoints, so that none is sent
more than it has room for; requests wait at the daemons.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

import anyio
from mimosamux_wire import BrittleService, StateDigest

from mimosamux_daemon.domain.names import DaemonId, ServiceName
from mimosamux_daemon.gateway.balancing.endpoint_record import EndpointRecord
from mimosamux_daemon.gateway.exchange.peer_states import PeerState, PeerStates
from mimosamux_daemon.gateway.jobs import Job
from mimosamux_daemon.gateway.limits.ready_daemons import (
    list_ready_daemons,
)
from mimosamux_daemon.gateway.limits.slot_shares import SlotShare, share_slots
from mimosamux_daemon.gateway.metrics import GatewayMetrics
from mimosamux_daemon.gateway.roster import Roster
from mimosamux_daemon.gateway.shared_time import SharedTime
from mimosamux_daemon.logs import get_log

log = get_log('brittle_services')

REASSIGN_S = 0.25
"""Interval at which shares follow the daemons and endpoints."""
ROTATION_S = 1.0
"""Time after which the slots of an endpoint pass on to other daemons, if it
has fewer slots than there are daemons."""
ROTATION_PAUSE_S = 0.1
"""End of that time in which nothing is sent: requests of the daemon before may
still be in flight."""
MIN_PAUSE_S = 1.0
"""Least pause after an endpoint turned a request down."""
MAX_WAIT_SHARE = 0.5
"""Longest wait for a slot as a share of the time limit."""
SPARE_SHARE = 0.5
"""Requests in flight at an endpoint beyond its slots, as a share of those that
it can turn down in a second. A daemon whose request is turned down pauses for
longer, so that no more of them are turned down in a second."""
POLL_INTERVAL_S = 0.02
MAX_WAITING = 64
"""Bound of the requests of a daemon that wait for a slot."""
ANNOUNCE_LIFTED_S = 30.0
"""Time for which digests announce that a service is brittle no more."""


@dataclass(kw_only=True, slots=True)
class Brittleness:
    """What the endpoints of a service said last."""

    per_s: float | None
    """Requests that each can turn down in a second, None: any number."""
    said_ms: int
    """When it was said, in ms of the store's clock."""
    known_at: float
    """When this daemon learned of it, on the steady clock."""


class BrittleServices:
    """Brittle services, and this daemon's shares of their slots."""

    def __init__(
        self,
        *,
        roster: Roster,
        states: PeerStates,
        shared_time: SharedTime,
        metrics: GatewayMetrics,
        clock: Callable[[], float],
    ) -> None:
        self.by_service: dict[ServiceName, Brittleness] = {}
        self._roster = roster
        self._states = states
        self._shared_time = shared_time
        self._metrics = metrics
        self._clock = clock
        self._waiting = 0
        self._became_brittle = anyio.Event()
        """Set, and replaced by a new one, when a service becomes brittle."""
        roster.on_listed.append(self._add)

    def note_answer(
        self,
        record: EndpointRecord,
        per_s: float | None,
        *,
        sent_at: float,
        is_rejected: bool,
    ) -> None:
        """Take what an endpoint's answer says, and whether it had no room."""
        service, now = record.listed.service, self._clock()
        known = self.by_service.get(service)
        is_news = per_s is not None or (
            known is not None
            and known.per_s is not None
            and sent_at >= known.known_at
        )
        if is_news:
            said_ms = self._shared_time.to_store_ms(now) or 0
            self._store(service, per_s, said_ms)
        if is_rejected and record.slot_share is not None:
            # All daemons together may cause `per_s` refusals in a second.
            daemons = len(list_ready_daemons(self._states))
            pause_s = max(daemons / max(per_s or 1.0, 1.0), MIN_PAUSE_S)
            record.slot_share.paused_until = now + pause_s

    def write(self, digest: StateDigest) -> None:
        """Add what endpoints said to this daemon or, last, to a peer."""
        now = self._clock()
        digest.brittle_services = [
            BrittleService(
                service=service, per_s=each.per_s or 0.0, said_ms=each.said_ms
            )
            for service, each in self.by_service.items()
            if each.per_s is not None
            or now - each.known_at < ANNOUNCE_LIFTED_S
        ]

    def take(self, peer: PeerState, digest: StateDigest) -> None:
        """Take over what endpoints said later than is known here."""
        for each in digest.brittle_services:
            service = ServiceName(each.service)
            known = self.by_service.get(service)
            is_later = known is None or each.said_ms > known.said_ms
            if is_later and 0 <= each.per_s < math.inf:
                self._store(service, each.per_s or None, each.said_ms)

    async def run(self) -> None:
        """Have shares follow daemons and endpoints, until cancelled."""
        while True:
            self._became_brittle = anyio.Event()
            pause_s = REASSIGN_S if self._assign_all() else math.inf
            with anyio.move_on_after(pause_s):
                await self._became_brittle.wait()

    async def wait_for_slot(self, job: Job) -> bool:
        """Wait until the service of a request has a slot; False: it has none.

        A request that a brittle endpoint would turn down waits here.
        """
        service = job.service.name
        until = job.request.received_at + MAX_WAIT_SHARE * job.limit_s
        if not self._is_brittle(service) or self._waiting >= MAX_WAITING:
            return False
        self._waiting += 1
        try:
            while self._is_brittle(service) and self._clock() < until:
                await anyio.sleep(POLL_INTERVAL_S)
                if self._has_room(job):
                    return True
        finally:
            self._waiting -= 1
        return False

    def _is_brittle(self, service: ServiceName) -> bool:
        known = self.by_service.get(service)
        return known is not None and known.per_s is not None

    def _has_room(self, job: Job) -> bool:
        """Whether an endpoint that was not tried has room for a request."""
        now = self._clock()
        return any(
            record.id not in job.tried and record.is_open(now)
            for record in self._roster.serving(job.service.name)
        )

    def _store(
        self, service: ServiceName, per_s: float | None, said_ms: int
    ) -> None:
        known = self.by_service.get(service)
        before = None if known is None else known.per_s
        now = self._clock()
        if known is None or before != per_s:
            self.by_service[service] = Brittleness(
                per_s=per_s, said_ms=said_ms, known_at=now
            )
            log.info(
                'service_brittle', service=service, per_s=per_s, before=before
            )
            self._metrics.brittle.set({'service': service}, per_s or 0.0)
            self._states.expedite()
            self._assign(service)
            self._became_brittle.set()
        else:
            known.said_ms = max(known.said_ms, said_ms)

    def _assign_all(self) -> bool:
        """Assign the shares of all services; False if none is brittle."""
        for service in self.by_service:
            self._assign(service)
        return any(map(self._is_brittle, self.by_service))

    def _add(self, record: EndpointRecord) -> None:
        if self._is_brittle(record.listed.service):
            self._assign(record.listed.service)

    def _assign(self, service: ServiceName) -> None:
        """Set this daemon's shares of the slots of a service."""
        if not self._is_brittle(service):
            for record in self._roster.of_service(service):
                record.slot_share = None
            return
        daemons = list_ready_daemons(self._states)
        per_s = self.by_service[service].per_s or 0.0
        for record in self._roster.serving(service):
            if record.slot_share is None:
                record.slot_share = SlotShare(open_sends=record.open_calls)
            capacity = record.listed.slots + int(per_s * SPARE_SHARE)
            record.slot_share.slots = self._own_capacity(
                record, capacity, daemons
            )

    def _own_capacity(
        self,
        record: EndpointRecord,
        capacity: int,
        daemons: tuple[DaemonId, ...],
    ) -> int:
        """Return this daemon's share of the requests in flight somewhere."""
        rotation, is_ending = self._rotation(capacity < len(daemons))
        if is_ending:
            return 0
        key = f'{record.id} {rotation}'
        return share_slots(capacity, daemons, self._states.place.id, key)

    def _rotation(self, is_scarce: bool) -> tuple[int, bool]:
        """Return the number of the rotation, and whether it is ending."""
        store_now = self._shared_time.store_now()
        if not is_scarce or store_now is None:
            return 0, False
        number, passed = divmod(store_now, ROTATION_S)
        return int(number), passed > ROTATION_S - ROTATION_PAUSE_S
