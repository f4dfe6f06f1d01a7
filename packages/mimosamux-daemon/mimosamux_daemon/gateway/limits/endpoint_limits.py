"""Rate limits that overloaded endpoints report, shared among the daemons.

An endpoint in need reports how many requests per second it accepts from all
daemons together, and the daemons announce the limit to each other in their
digests. As many daemons as the limit has whole requests per second send there,
each with an equal share of it, and the others send nothing: with a share for
each of hundreds of daemons, hundreds could send at once. A rendezvous hash
selects the daemons, so they need no agreement. The selection rotates, as a
daemon that receives no requests, or cannot reach the endpoint, would otherwise
withhold its share from all others.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from mimosamux_wire import EndpointLimit, StateDigest

from mimosamux_daemon.control.members import rank
from mimosamux_daemon.domain.names import DaemonId, EndpointId
from mimosamux_daemon.gateway.balancing.endpoint_record import EndpointRecord
from mimosamux_daemon.gateway.exchange.peer_states import PeerState, PeerStates
from mimosamux_daemon.gateway.limits.rate_shares import RateShare
from mimosamux_daemon.gateway.limits.ready_daemons import (
    list_ready_daemons,
)
from mimosamux_daemon.gateway.roster import OWN_ANSWER, Roster
from mimosamux_daemon.gateway.shared_time import SharedTime
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.endpoint_calls import UnreadableLimit

log = get_log('endpoint_limits')

MIN_SHARE_PER_S = 1.0
"""Minimum share of a daemon, in requests per second, if several have one."""
MIN_PER_S = 0.25
"""Minimum rate, at which an endpoint that accepts nothing, or almost nothing,
is probed for a change; well above one request per rotation."""
ROTATION_S = 10.0
"""Time after which the shares of an endpoint move to other daemons."""
REASSIGN_S = 0.25
"""Interval at which shares are reassigned."""
ANNOUNCE_LIFTED_S = 30.0
"""Time for which digests announce that a limit is lifted."""
LOGGED_CHANGE = 0.25
"""Fraction by which a limit has to change to be logged again."""


@dataclass(kw_only=True, slots=True)
class ReportedLimit:
    """The limit that an endpoint last reported, as far as is known."""

    per_s: float | None
    """Requests per second from all daemons, None: unlimited."""
    reported_ms: int
    """Time of the report, in ms of the store's clock."""
    received_at: float
    """Time at which this daemon learned of it, on the steady clock."""
    is_own: bool
    """Whether the endpoint reported it to this daemon."""


@dataclass(kw_only=True, slots=True)
class _Assignment:
    """Whether this daemon has a share, and the inputs of that selection."""

    ready: tuple[DaemonId, ...]
    count: int
    rotation: int
    is_own: bool = field(default=False, compare=False)


@dataclass(kw_only=True, slots=True)
class EndpointLimits:
    """Limits by endpoint, and this daemon's shares of them."""

    roster: Roster
    states: PeerStates
    shared_time: SharedTime
    clock: Callable[[], float]
    by_id: dict[EndpointId, ReportedLimit] = field(default_factory=dict)
    _unreadable: set[EndpointId] = field(default_factory=set)
    """Endpoints whose unreadable limit was logged."""
    _assignments: dict[EndpointId, _Assignment] = field(default_factory=dict)
    """Last assignment of each endpoint. To rank hundreds of daemons for each
    answer would cost more than the answer."""
    _limit_added: anyio.Event = field(default_factory=anyio.Event)
    """Set, and replaced by a new one, when an endpoint becomes limited."""

    def note_answer(
        self,
        record: EndpointRecord,
        per_s: float | UnreadableLimit | None,
        *,
        sent_at: float,
        is_served: bool,
    ) -> None:
        """Update an endpoint's limit from its answer to a request.

        An unreadable limit changes nothing. Only a request that was served,
        and that was sent after the limit became known, shows that the limit is
        lifted.
        """
        if isinstance(per_s, UnreadableLimit):
            self._note_unreadable(record.id, per_s.text, OWN_ANSWER)
            return
        if per_s is None and not (
            is_served and self._was_known_at(record.id, sent_at)
        ):
            return
        now = self.clock()
        limit = ReportedLimit(
            per_s=per_s if per_s is None else max(per_s, MIN_PER_S),
            reported_ms=self.shared_time.to_store_ms(now) or 0,
            received_at=now,
            is_own=True,
        )
        self._store(record, limit, source=OWN_ANSWER)

    def forget(self, id_: EndpointId) -> None:
        """Remove the state of an endpoint that is gone."""
        self.by_id.pop(id_, None)
        self._assignments.pop(id_, None)
        self._unreadable.discard(id_)

    def write(self, digest: StateDigest) -> None:
        """Add the limits that endpoints reported to this daemon."""
        now = self.clock()
        for id_, limit in self.by_id.items():
            record = self.roster.by_id.get(id_)
            is_long_lifted = (
                limit.per_s is None
                and now - limit.received_at > ANNOUNCE_LIFTED_S
            )
            if record is None or not limit.is_own or is_long_lifted:
                continue
            digest.limits.append(
                EndpointLimit(
                    endpoint=id_,
                    per_s=limit.per_s or 0.0,
                    said_ms=limit.reported_ms,
                    incarnation=record.incarnation,
                )
            )

    def take(self, peer: PeerState, digest: StateDigest) -> None:
        """Take over newer limits that endpoints reported to a peer."""
        for reported in digest.limits:
            id_ = EndpointId(reported.endpoint)
            record = self.roster.by_id.get(id_)
            known = self.by_id.get(id_)
            if record is None or not self.roster.is_current(
                id_, reported.incarnation
            ):
                continue
            if known is not None and reported.said_ms <= known.reported_ms:
                continue
            if not 0 <= reported.per_s < math.inf:
                self._note_unreadable(id_, str(reported.per_s), peer.place.id)
                continue
            limit = ReportedLimit(
                per_s=reported.per_s or None,
                reported_ms=reported.said_ms,
                received_at=self.clock(),
                is_own=False,
            )
            self._store(record, limit, source=peer.place.id)

    async def run(self) -> None:
        """Reassign shares as daemons come and go, until cancelled."""
        while True:
            self._limit_added = anyio.Event()
            pause_s = REASSIGN_S if self._assign_all_shares() else math.inf
            with anyio.move_on_after(pause_s):
                await self._limit_added.wait()

    def _was_known_at(self, id_: EndpointId, at: float) -> bool:
        """Whether an endpoint's current limit was known at a time."""
        known = self.by_id.get(id_)
        if known is None or known.per_s is None:
            return False
        return at >= known.received_at

    def _note_unreadable(
        self, id_: EndpointId, text: str, source: str
    ) -> None:
        if id_ not in self._unreadable:
            self._unreadable.add(id_)
            log.warning(
                'limit_unreadable', endpoint=id_, limit=text, source=source
            )

    def _store(
        self, record: EndpointRecord, limit: ReportedLimit, source: str
    ) -> None:
        known = self.by_id.get(record.id)
        before = None if known is None else known.per_s
        self.by_id[record.id] = limit
        if not _is_close(before, limit.per_s):
            log.info(
                'endpoint_limited',
                endpoint=record.id,
                per_s=limit.per_s,
                before=before,
                source=source,
            )
        self._assign_share(record, limit, list_ready_daemons(self.states))
        if before is None and limit.per_s is not None:
            if limit.is_own:
                self.states.expedite()
            self._limit_added.set()

    def _assign_all_shares(self) -> bool:
        """Reassign all shares; False if no endpoint has a limit."""
        is_any_limited = False
        ready = list_ready_daemons(self.states)
        for id_, limit in self.by_id.items():
            record = self.roster.by_id.get(id_)
            if record is not None and limit.per_s is not None:
                is_any_limited = True
                self._assign_share(record, limit, ready)
        return is_any_limited

    def _assign_share(
        self,
        record: EndpointRecord,
        limit: ReportedLimit,
        ready: tuple[DaemonId, ...],
    ) -> None:
        if limit.per_s is None:
            record.share = None
            return
        now = self.clock()
        if record.share is None:
            record.share = RateShare(refilled_at=now)
        share = record.share
        share.limit_per_s = limit.per_s
        share.set_rate(self._own_share(record.id, limit.per_s, ready), now)

    def _own_share(
        self, id_: EndpointId, per_s: float, ready: tuple[DaemonId, ...]
    ) -> float:
        """Return this daemon's share of a limit in requests per second."""
        count = min(len(ready), max(1, math.ceil(per_s / MIN_SHARE_PER_S)))
        store_now = self.shared_time.store_now() or 0.0
        assignment = _Assignment(
            ready=ready, count=count, rotation=int(store_now / ROTATION_S)
        )
        if self._assignments.get(id_) != assignment:
            selected = rank(ready, f'{id_} {assignment.rotation}')[:count]
            assignment.is_own = self.states.place.id in selected
            self._assignments[id_] = assignment
        return per_s / count if self._assignments[id_].is_own else 0.0


def _is_close(before: float | None, after: float | None) -> bool:
    if before is None or after is None:
        return before is after
    return abs(after - before) <= LOGGED_CHANGE * before
