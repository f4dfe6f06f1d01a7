"""The endpoints that the platform lists, and which of them take work."""

import math
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field

import anyio
from mimosamux_wire import EndpointsLeave, EndpointUse, StateDigest

from mimosamux_daemon.domain.gateway import EndpointState, ListedEndpoint
from mimosamux_daemon.domain.names import (
    DaemonId,
    DataCentreName,
    EndpointId,
    ServiceName,
)
from mimosamux_daemon.gateway.health import Answers, EndpointHealth
from mimosamux_daemon.gateway.loads import EndpointLoad
from mimosamux_daemon.gateway.peer_states import PeerState
from mimosamux_daemon.gateway.store_health import StoreHealth
from mimosamux_daemon.logs import get_log

log = get_log('roster')

PLATFORM = 'platform'
KEEP_GONE_S = 30.0
"""Endpoints that are gone are remembered for so long: a peer whose view is
older may still tell of them."""
FIRST_PAUSE_S = 0.25
LAST_PAUSE_S = 4.0
"""An endpoint that cannot be connected to is left alone for the first of
these; the pause doubles with each failed connect up to the last."""


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
    failed_connects: int = 0
    avoid_until: float = -math.inf
    load: EndpointLoad = field(default_factory=EndpointLoad)
    health: EndpointHealth = field(default_factory=EndpointHealth)
    left: anyio.Event = field(default_factory=anyio.Event)
    """Set with `is_leaving`."""

    @property
    def id(self) -> EndpointId:
        """Return the id of the endpoint's lifetime."""
        return self.listed.id

    @property
    def takes_work(self) -> bool:
        """Whether new requests may be sent there."""
        return not self.is_leaving and self.gone_at is None

    def is_avoided(self, now: float) -> bool:
        """Whether connects fail there and the next try is not due."""
        return now < self.avoid_until


Listener = Callable[[EndpointRecord], None]


class Roster:
    """Endpoints by id."""

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        health: StoreHealth,
    ) -> None:
        self.by_id: dict[EndpointId, EndpointRecord] = {}
        self.changed = anyio.Event()
        """Set, and replaced by a new one, with each change of the list."""
        self.on_leaving: list[Listener] = []
        """Told of each endpoint that leaves, whoever learned of it."""
        self.on_learned: list[Listener] = []
        """Told of those that the platform told this daemon of."""
        self.on_forgotten: list[Callable[[EndpointId], None]] = []
        """Told of each endpoint that is remembered no longer."""
        self._clock = clock
        self._health = health
        self._told_by_peer: dict[DaemonId, frozenset[EndpointId]] = {}
        """Endpoints that each peer told of in its last digest."""

    def replace(self, items: Mapping[str, ListedEndpoint]) -> None:
        """Take the whole list as it is now."""
        for id_, record in tuple(self.by_id.items()):
            if id_ not in items and record.gone_at is None:
                self._note_missing(record)
        self.apply(tuple(items.items()))

    def apply(
        self, changes: Iterable[tuple[str, ListedEndpoint | None]]
    ) -> None:
        """Take changes of the list in their order."""
        for key, item in changes:
            id_ = EndpointId(key)
            record = self.by_id.get(id_)
            if item is not None:
                self._take(item)
            elif record is not None and record.gone_at is None:
                self._note_missing(record)
        self._forget_old()
        self.changed.set()
        self.changed = anyio.Event()

    def confirm(self, at: float) -> None:
        """Nothing to do: entries carry no time that has to be fresh."""

    def note_leaving(
        self, id_: EndpointId, *, left_s: float | None, source: str
    ) -> None:
        """Give an endpoint nothing new from now on."""
        record = self.by_id.get(id_)
        if record is None:
            return
        if left_s is not None:
            leaves_at = self._clock() + left_s
            known = record.leaves_at
            record.leaves_at = min(known or leaves_at, leaves_at)
        if record.is_leaving:
            return
        record.is_leaving = True
        record.left.set()
        log.info(
            'endpoint_leaving',
            endpoint=id_,
            service=record.listed.service,
            left_s=left_s,
            source=source,
        )
        for listener in self.on_leaving:
            listener(record)
        if source == PLATFORM:
            for listener in self.on_learned:
                listener(record)

    def serving(self, service: ServiceName) -> list[EndpointRecord]:
        """Return the endpoints of a service that take new requests."""
        self._settle_lapsed()
        return [
            record
            for record in self.by_id.values()
            if record.listed.service == service and record.takes_work
        ]

    def of_service(self, service: ServiceName) -> Iterator[EndpointRecord]:
        """Return every endpoint of a service that is listed."""
        for record in self.by_id.values():
            if record.listed.service == service and record.gone_at is None:
                yield record

    def note_connect(self, record: EndpointRecord, *, failed: bool) -> None:
        """Note how a connect went; failures keep others from trying.

        An endpoint that died stays listed for seconds. Each request sent
        there meanwhile would lose the time of a connect that fails.
        """
        if not failed:
            record.failed_connects = 0
            record.avoid_until = -math.inf
            return
        pause = min(FIRST_PAUSE_S * 2**record.failed_connects, LAST_PAUSE_S)
        record.failed_connects += 1
        record.avoid_until = self._clock() + pause

    def note_replaced(self, record: EndpointRecord) -> None:
        """Take an endpoint as gone whose address another one has.

        Its entry is listed for some seconds more, and each request that is
        sent to it meanwhile would be turned down.
        """
        self.note_leaving(record.id, left_s=0.0, source='its heir')

    def write(self, digest: StateDigest) -> None:
        """Tell what is under way at each endpoint from here."""
        now = self._clock()
        for record in self.by_id.values():
            use, answers = record.load.own(), record.health.own(now)
            if use.requests or answers.ended:
                digest.endpoints.append(
                    EndpointUse(
                        endpoint=record.id,
                        open_requests=use.requests,
                        unread_tokens=int(use.unread_tokens),
                        ended=answers.ended,
                        failed=answers.failed,
                    )
                )

    def take(self, peer: PeerState, digest: StateDigest) -> None:
        """Take what a peer has under way.

        Only endpoints that the peer tells of, or told of last time, are
        looked at: with 65 daemons and 92 endpoints, going through all of
        them for each digest took 0.21 of 0.34 ms.
        """
        now = self._clock()
        told = {EndpointId(use.endpoint): use for use in digest.endpoints}
        before = self._told_by_peer.get(peer.place.id, frozenset())
        self._told_by_peer[peer.place.id] = frozenset(told)
        for id_ in before - told.keys():
            self._note_peer(peer, id_, EndpointUse(), now)
        for id_, use in told.items():
            self._note_peer(peer, id_, use, now)

    def forget_peer(self, id_: DaemonId) -> None:
        """Forget what a daemon told that is given up."""
        self._told_by_peer.pop(id_, None)

    def _note_peer(
        self, peer: PeerState, id_: EndpointId, use: EndpointUse, now: float
    ) -> None:
        record = self.by_id.get(id_)
        if record is None:
            return
        record.load.note_peer(
            peer.place.id,
            requests=use.open_requests,
            unread_tokens=use.unread_tokens,
            now=now,
        )
        answers = Answers(ended=use.ended, failed=use.failed)
        record.health.note_peer(peer.place.id, answers, now)

    async def take_leaving(
        self, sender: DaemonId, message: EndpointsLeave
    ) -> None:
        """Take what a peer has learned of endpoints that leave."""
        for id_, left_ms in zip(
            message.endpoints, message.leave_in_ms, strict=False
        ):
            self.note_leaving(
                EndpointId(id_),
                left_s=None if left_ms < 0 else left_ms / 1000,
                source=sender,
            )

    def data_centres(self, service: ServiceName) -> set[DataCentreName]:
        """Return where a service has endpoints listed."""
        return {
            record.listed.data_centre for record in self.of_service(service)
        }

    def _take(self, item: ListedEndpoint) -> None:
        record = self.by_id.get(item.id)
        if record is None:
            record = EndpointRecord(listed=item, since=self._clock())
            self.by_id[item.id] = record
            log.info(
                'endpoint_listed',
                endpoint=item.id,
                service=item.service,
                address=item.address,
                data_centre=item.data_centre,
                market=item.market,
                state=item.state,
            )
        record.listed = item
        record.gone_at = None
        record.is_lapsed = False
        if item.state is EndpointState.LEAVING:
            self.note_leaving(
                item.id, left_s=item.leaves_in_s, source=PLATFORM
            )

    def _note_missing(self, record: EndpointRecord) -> None:
        """Take an endpoint that is no longer listed as gone.

        While the platform's store was away, live endpoints could not
        renew their entries. Taken as gone at once, all of a service could
        vanish together, and every request would be refused.
        """
        if self._health.may_have_lapsed():
            if not record.is_lapsed:
                log.info('endpoint_lapsed', endpoint=record.id)
            record.is_lapsed = True
            return
        record.is_lapsed = False
        record.gone_at = self._clock()
        log.info('endpoint_gone', endpoint=record.id)
        if not record.is_leaving:
            self.note_leaving(record.id, left_s=None, source=PLATFORM)

    def _settle_lapsed(self) -> None:
        """Take those as gone that did not come back in time."""
        if self._health.may_have_lapsed():
            return
        for record in self.by_id.values():
            if record.is_lapsed:
                self._note_missing(record)

    def _forget_old(self) -> None:
        now = self._clock()
        for id_, record in tuple(self.by_id.items()):
            gone_at = record.gone_at
            if gone_at is not None and now - gone_at > KEEP_GONE_S:
                del self.by_id[id_]
                for listener in self.on_forgotten:
                    listener(id_)
