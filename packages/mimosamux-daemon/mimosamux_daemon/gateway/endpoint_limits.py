"""Keeps endpoints within the limits that they name.

An endpoint in need says how many requests a second it takes from all daemons
together. Daemons tell each other of it. As many of them as the limit has
whole requests a second send there, each its equal share, and the others send
nothing: with a share for each of hundreds, hundreds could send at once. Which
ones they are follows from a rendezvous hash, so nothing has to be agreed on,
and changes after a while: one that gets no requests, or cannot reach the
endpoint, would keep its share from all others.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from mimosamux_wire import EndpointLimit, StateDigest

from mimosamux_daemon.control.members import MemberState, rank
from mimosamux_daemon.domain.names import DaemonId, EndpointId
from mimosamux_daemon.gateway.endpoint_record import EndpointRecord
from mimosamux_daemon.gateway.peer_states import PeerState, PeerStates
from mimosamux_daemon.gateway.rate_shares import RateShare
from mimosamux_daemon.gateway.roster import OWN_ANSWER, Roster
from mimosamux_daemon.gateway.shared_time import SharedTime
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.endpoint_calls import UnreadableLimit

log = get_log('endpoint_limits')

SHARE_PER_S = 1.0
"""Least share of a daemon, in requests a second, where there are several."""
LEAST_PER_S = 0.25
"""Rate at which an endpoint that takes nothing, or next to nothing, is asked
whether that still holds; well above one request in a turn."""
TURN_S = 10.0
"""Time after which other daemons have the shares of an endpoint."""
SETTLE_S = 0.25
"""Pause between two looks at who has which share."""
KEEP_LIFTED_S = 30.0
"""Time for which an endpoint that names no limit any more is told of."""
LOGGED_CHANGE = 0.25
"""Part of a limit by which it has to change to be logged again."""


@dataclass(kw_only=True, slots=True)
class NamedLimit:
    """What an endpoint has said of its limit last, as far as is known."""

    per_s: float | None
    """Requests a second from all daemons, None: as many as come."""
    said_ms: int
    """When it said so, on the store's clock."""
    known_at: float
    """When it was heard here, on the steady clock."""
    is_own: bool
    """Whether it said so to this daemon."""


@dataclass(kw_only=True, slots=True)
class _Deal:
    """What the daemons with a share follow from, and whether this is one."""

    ready: tuple[DaemonId, ...]
    count: int
    turn: int
    is_own: bool = field(default=False, compare=False)


@dataclass(kw_only=True, slots=True)
class EndpointLimits:
    """Limits by endpoint, and this daemon's shares of them."""

    roster: Roster
    states: PeerStates
    shared_time: SharedTime
    clock: Callable[[], float]
    by_id: dict[EndpointId, NamedLimit] = field(default_factory=dict)
    _unreadable: set[EndpointId] = field(default_factory=set)
    """Endpoints of which a limit that makes no sense was logged."""
    _deals: dict[EndpointId, _Deal] = field(default_factory=dict)
    """The last ones: to rank hundreds of daemons for each answer would cost
    more than the answer."""
    _named: anyio.Event = field(default_factory=anyio.Event)
    """Set, and replaced by a new one, when an endpoint names a limit."""

    def note_answer(
        self,
        record: EndpointRecord,
        per_s: float | UnreadableLimit | None,
        *,
        sent_at: float,
        is_served: bool,
    ) -> None:
        """Take what the answer to a request that was sent then says.

        A limit that makes no sense changes nothing. Only a request that was
        served, and sent since the limit is known, shows that there is none
        any more.
        """
        if isinstance(per_s, UnreadableLimit):
            self._note_unreadable(record.id, per_s.text, OWN_ANSWER)
            return
        if per_s is None and not (
            is_served and self._is_known_since(record.id, sent_at)
        ):
            return
        now = self.clock()
        word = NamedLimit(
            per_s=per_s if per_s is None else max(per_s, LEAST_PER_S),
            said_ms=self.shared_time.to_store_ms(now) or 0,
            known_at=now,
            is_own=True,
        )
        self._take(record, word, source=OWN_ANSWER)

    def forget(self, id_: EndpointId) -> None:
        """Forget an endpoint that is gone."""
        self.by_id.pop(id_, None)
        self._deals.pop(id_, None)
        self._unreadable.discard(id_)

    def write(self, digest: StateDigest) -> None:
        """Tell what endpoints have said to this daemon."""
        now = self.clock()
        for id_, word in self.by_id.items():
            record = self.roster.by_id.get(id_)
            is_past = (
                word.per_s is None and now - word.known_at > KEEP_LIFTED_S
            )
            if record is None or not word.is_own or is_past:
                continue
            digest.limits.append(
                EndpointLimit(
                    endpoint=id_,
                    per_s=word.per_s or 0.0,
                    said_ms=word.said_ms,
                    incarnation=record.incarnation,
                )
            )

    def take(self, peer: PeerState, digest: StateDigest) -> None:
        """Take what endpoints have said to a peer."""
        for told in digest.limits:
            id_ = EndpointId(told.endpoint)
            record = self.roster.by_id.get(id_)
            known = self.by_id.get(id_)
            if record is None or not self.roster.is_current(
                id_, told.incarnation
            ):
                continue
            if known is not None and told.said_ms <= known.said_ms:
                continue
            if not 0 <= told.per_s < math.inf:
                self._note_unreadable(id_, str(told.per_s), peer.place.id)
                continue
            word = NamedLimit(
                per_s=told.per_s or None,
                said_ms=told.said_ms,
                known_at=self.clock(),
                is_own=False,
            )
            self._take(record, word, source=peer.place.id)

    async def run(self) -> None:
        """Keep the shares as the daemons are, until cancelled."""
        while True:
            self._named = anyio.Event()
            pause_s = SETTLE_S if self._settle_all() else math.inf
            with anyio.move_on_after(pause_s):
                await self._named.wait()

    def _is_known_since(self, id_: EndpointId, at: float) -> bool:
        """Whether all that named a limit had been heard by a moment."""
        known = self.by_id.get(id_)
        if known is None or known.per_s is None:
            return False
        return at >= known.known_at

    def _note_unreadable(
        self, id_: EndpointId, text: str, source: str
    ) -> None:
        if id_ not in self._unreadable:
            self._unreadable.add(id_)
            log.warning(
                'limit_unreadable', endpoint=id_, limit=text, source=source
            )

    def _take(
        self, record: EndpointRecord, word: NamedLimit, source: str
    ) -> None:
        known = self.by_id.get(record.id)
        before = None if known is None else known.per_s
        self.by_id[record.id] = word
        if not _is_close(before, word.per_s):
            log.info(
                'endpoint_limited',
                endpoint=record.id,
                per_s=word.per_s,
                before=before,
                source=source,
            )
        self._settle(record, word, self._find_ready())
        if before is None and word.per_s is not None:
            if word.is_own:
                self.states.expedite()
            self._named.set()

    def _settle_all(self) -> bool:
        """Find the shares anew; False if no endpoint has a limit."""
        is_any = False
        ready = self._find_ready()
        for id_, word in self.by_id.items():
            record = self.roster.by_id.get(id_)
            if record is not None and word.per_s is not None:
                is_any = True
                self._settle(record, word, ready)
        return is_any

    def _settle(
        self,
        record: EndpointRecord,
        word: NamedLimit,
        ready: tuple[DaemonId, ...],
    ) -> None:
        if word.per_s is None:
            record.share = None
            return
        now = self.clock()
        if record.share is None:
            record.share = RateShare(filled_at=now)
        share = record.share
        share.limit_per_s = word.per_s
        share.change(self._find_share(record.id, word.per_s, ready), now)

    def _find_share(
        self, id_: EndpointId, per_s: float, ready: tuple[DaemonId, ...]
    ) -> float:
        """Return how much of a limit is this daemon's now."""
        count = min(len(ready), max(1, math.ceil(per_s / SHARE_PER_S)))
        store_now = self.shared_time.store_now() or 0.0
        deal = _Deal(ready=ready, count=count, turn=int(store_now / TURN_S))
        if self._deals.get(id_) != deal:
            first = rank(ready, f'{id_} {deal.turn}')[:count]
            deal.is_own = self.states.place.id in first
            self._deals[id_] = deal
        return per_s / count if self._deals[id_].is_own else 0.0

    def _find_ready(self) -> tuple[DaemonId, ...]:
        """Return the daemons among which shares are dealt out."""
        ready = [peer.place.id for peer in self.states.ready()]
        if self.states.state is MemberState.READY or not ready:
            ready.append(self.states.place.id)
        return tuple(ready)


def _is_close(before: float | None, after: float | None) -> bool:
    if before is None or after is None:
        return before is after
    return abs(after - before) <= LOGGED_CHANGE * before
