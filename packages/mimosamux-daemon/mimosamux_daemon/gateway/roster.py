"""Tracks the endpoints that the platform lists, and which take requests.

The list, the answers of endpoints, and the announcements of peers change the
records here. Connect failures and rejections add backoff per endpoint.
"""

import math
from collections.abc import Callable, Iterable, Iterator, Mapping

import anyio

from mimosamux_daemon.domain.gateway import EndpointState, ListedEndpoint
from mimosamux_daemon.domain.names import (
    DataCentreName,
    EndpointId,
    ServiceName,
)
from mimosamux_daemon.gateway.balancing.endpoint_record import (
    EndpointRecord,
    find_end,
)
from mimosamux_daemon.gateway.store_health import StoreHealth
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.feeds import Unreadable

log = get_log('roster')

PLATFORM = 'platform'
OWN_ANSWER = 'its answer'
GONE_RETENTION_S = 30.0
"""Time for which a gone endpoint's record is kept: a peer with an older view
may still send reports about it."""
INITIAL_BACKOFF_S = 0.25
MAX_CONNECT_BACKOFF_S = 4.0
"""Exponential backoff after failed connects to an endpoint: initial and
maximum pause."""
CRASH_BACKOFF_S = 2.0
"""Pause after an endpoint crashed. It is no longer, since only a request shows
that an endpoint which refused connections lives on."""
MAX_DOUBLINGS = 16
MAX_REJECTION_BACKOFF_S = 8.0
"""Maximum backoff after rejected requests. It starts and doubles the same way.
Each further try fails a caller whose request may go to one endpoint only."""
MAX_REQUESTED_PAUSE_S = 300.0
"""Maximum pause that an endpoint can request. Without it, a corrupted number
would take the endpoint out of use for good."""
CLOCK_TOLERANCE_S = 0.5
"""Bound of the difference between an endpoint's clock and this one. A request
sent up to this time before the reported start may have reached the new
process."""


Listener = Callable[[EndpointRecord], None]


class Roster:
    """Records of the listed and recently listed endpoints, by id."""

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        time_of_day: Callable[[], float],
        health: StoreHealth,
    ) -> None:
        self.by_id: dict[EndpointId, EndpointRecord] = {}
        self.changed = anyio.Event()
        """Set, and replaced by a new one, with each change of the list."""
        self.on_listed: list[Listener] = []
        """Called with each new record of a listed endpoint, and again when
        the service of an endpoint changes."""
        self.on_leaving: list[Listener] = []
        """Called with each leaving endpoint, from whatever source."""
        self.on_listed_leaving: list[Listener] = []
        """Called with each endpoint that the list shows as leaving."""
        self.on_answered_leaving: list[Listener] = []
        """Called with each one that said so in an answer to this daemon."""
        self.on_restarted: list[Listener] = []
        """Called with the old record of each endpoint that restarted."""
        self.on_forgotten: list[Callable[[EndpointId], None]] = []
        """Called with the id of each endpoint whose record is deleted."""
        self._clock = clock
        self._time_of_day = time_of_day
        self._health = health
        self._has_lapsed = False
        """Whether the entry of a record may have lapsed."""
        self._is_withholding = False
        """Whether the list is stale, so that some endpoints are withheld."""

    def replace(
        self, items: Mapping[str, ListedEndpoint | Unreadable]
    ) -> None:
        """Apply a complete list of the current endpoints."""
        for id_, record in tuple(self.by_id.items()):
            if id_ not in items and record.gone_at is None:
                self._handle_missing(record)
        self.apply(tuple(items.items()))

    def apply(
        self, changes: Iterable[tuple[str, ListedEndpoint | Unreadable | None]]
    ) -> None:
        """Apply changes of the list in their order; None is a deletion."""
        for key, item in changes:
            record = self.by_id.get(EndpointId(key))
            if isinstance(item, Unreadable):
                self._mark_unreadable(record, item)
            elif item is not None:
                self._apply_entry(item)
            elif record is not None and record.gone_at is None:
                self._handle_missing(record)
        self._delete_old_records()
        self.changed.set()
        self.changed = anyio.Event()

    def confirm(self, at: float) -> None:
        """Do nothing: entries hold no time that a confirmation renews."""

    def note_leaving(
        self,
        id_: EndpointId,
        *,
        left_s: float | None,
        source: str,
        incarnation: int = 0,
    ) -> bool:
        """Send an endpoint no new requests; return whether that is news.

        `left_s` is the time until it is gone, None if unknown.
        `incarnation` is the process that leaves, 0: the known one. An earlier
        process than the known one is ignored. A later one is remembered
        until the list shows it.
        """
        record = self.by_id.get(id_)
        if record is None or 0 < incarnation < record.incarnation:
            return False
        record.leaving_incarnation = max(
            record.leaving_incarnation, incarnation
        )
        known = record.leaves_at
        if left_s is not None:
            leaves_at = find_end(self._clock(), left_s)
            record.leaves_at = min(known or leaves_at, leaves_at)
        if record.is_leaving:
            return known is None and left_s is not None
        record.is_leaving = True
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
            for listener in self.on_listed_leaving:
                listener(record)
        elif source == OWN_ANSWER:
            for listener in self.on_answered_leaving:
                listener(record)
        return True

    def serving(self, service: ServiceName) -> list[EndpointRecord]:
        """Return the endpoints of a service that may get new requests."""
        self.remove_lapsed()
        return [
            record
            for record in self.by_id.values()
            if record.listed.service == service and record.accepts_requests
        ]

    def accepting(self, service: ServiceName) -> list[EndpointRecord]:
        """Return those that accept requests from this daemon now."""
        now = self._clock()
        return [
            record for record in self.serving(service) if record.is_open(now)
        ]

    def opens_in_s(self, service: ServiceName) -> float:
        """Return the time until one accepts requests again, 0: one does."""
        now = self._clock()
        waits_s = [record.opens_in_s(now) for record in self.serving(service)]
        return min(waits_s, default=0.0)

    def of_service(self, service: ServiceName) -> Iterator[EndpointRecord]:
        """Yield the listed endpoints of a service."""
        for record in self.by_id.values():
            if record.listed.service == service and record.gone_at is None:
                yield record

    def note_connect(self, record: EndpointRecord, *, failed: bool) -> None:
        """Record the outcome of a connect; back off after a failure.

        A dead endpoint stays listed for seconds, and each request sent to
        it would lose the time of a failing connect.
        """
        if not failed:
            record.failed_connects = 0
            record.unreachable_until = -math.inf
            return
        pause = _backoff_s(record.failed_connects, MAX_CONNECT_BACKOFF_S)
        record.failed_connects += 1
        record.unreachable_until = self._clock() + pause

    def note_crash(self, id_: EndpointId, incarnation: int) -> None:
        """Avoid an endpoint whose process ended, as this or a peer found.

        It stays listed for seconds. Otherwise each daemon would find it by
        failed connects of its own, and give requests up after a few of them.
        """
        record = self.by_id.get(id_)
        if record is not None and record.incarnation == incarnation:
            until = self._clock() + CRASH_BACKOFF_S
            record.unreachable_until = max(record.unreachable_until, until)

    def note_rejection(self, record: EndpointRecord, sent_at: float) -> None:
        """Deprioritise an endpoint that rejected a request, with backoff.

        With nothing in flight, it would otherwise seem the least loaded.
        """
        if sent_at < record.rejected_at:
            return
        now = self._clock()
        pause = _backoff_s(record.rejections, MAX_REJECTION_BACKOFF_S)
        record.rejections += 1
        record.rejected_at = now
        record.deprioritised_until = now + pause

    def note_acceptance(self, record: EndpointRecord, sent_at: float) -> None:
        """Reset the backoff if a request sent since was accepted."""
        if sent_at >= record.rejected_at:
            record.rejections = 0
            record.deprioritised_until = -math.inf

    def note_requested_pause(
        self, record: EndpointRecord, pause_s: float
    ) -> None:
        """Send an endpoint no requests for the time that it asked for."""
        until = self._clock() + min(pause_s, MAX_REQUESTED_PAUSE_S)
        if until > record.paused_until:
            record.paused_until = until
            log.info('endpoint_rests', endpoint=record.id, pause_s=pause_s)

    def note_replaced(self, record: EndpointRecord) -> None:
        """Mark an endpoint as gone because another one has its address.

        Its entry stays listed for some seconds, and each request sent by it
        would be rejected.
        """
        self.note_leaving(
            record.id,
            left_s=0.0,
            source='its heir',
            incarnation=record.incarnation,
        )

    def withhold_unconfirmed(self, since: float) -> None:
        """Withhold the endpoints that may leave, as far as is known.

        Those that were asked since a time, and answered without announcing
        that they leave, accept requests.
        """
        self._is_withholding = True
        for record in self.by_id.values():
            record.is_withheld = record.confirmed_at < since

    def release_withheld(self) -> None:
        """Withhold no endpoint any more."""
        if self._is_withholding:
            self._is_withholding = False
            for record in self.by_id.values():
                record.is_withheld = False

    def is_withheld(self, service: ServiceName) -> bool:
        """Whether every endpoint of a service is withheld."""
        serving = self.serving(service)
        return bool(serving) and all(each.is_withheld for each in serving)

    def is_current(self, id_: EndpointId, incarnation: int) -> bool:
        """Whether an incarnation of an endpoint is the known one, 0: it is.

        Reports of peers about an earlier process must not count: the new
        process has neither its load nor its failures.
        """
        record = self.by_id.get(id_)
        if record is None or not incarnation:
            return True
        return record.incarnation in (0, incarnation)

    def left_s(self, record: EndpointRecord) -> float | None:
        """Return the time until an endpoint is gone, None: unknown."""
        if record.leaves_at is None:
            return None
        return max(record.leaves_at - self._clock(), 0.0)

    def data_centres(self, service: ServiceName) -> set[DataCentreName]:
        """Return the data centres of a service's listed endpoints."""
        return {
            record.listed.data_centre for record in self.of_service(service)
        }

    def _apply_entry(self, item: ListedEndpoint) -> None:
        record = self.by_id.get(item.id)
        if record is not None and item.incarnation < record.incarnation:
            # An earlier process or another writer wrote it, so it says nothing
            # about the process that is known to run there.
            log.info(
                'endpoint_entry_stale',
                endpoint=item.id,
                incarnation=item.incarnation,
                known=record.incarnation,
            )
            return
        if record is None:
            record = self._add(item)
        elif 0 < record.incarnation < item.incarnation:
            record = self._restart(record, item)
        is_moved = record.listed.service != item.service
        record.listed = item
        if is_moved and not record.is_leaving:
            self._notify_listed(record)
        record.gone_at = None
        record.is_lapsed = False
        record.is_unreadable = False
        if item.state is EndpointState.LEAVING:
            self.note_leaving(
                item.id, left_s=item.leaves_in_s, source=PLATFORM
            )

    def _add(self, item: ListedEndpoint) -> EndpointRecord:
        record = EndpointRecord(listed=item, listed_at=self._clock())
        self.by_id[item.id] = record
        log.info(
            'endpoint_listed',
            endpoint=item.id,
            incarnation=item.incarnation,
            service=item.service,
            software=item.software,
            address=item.address,
            data_centre=item.data_centre,
            market=item.market,
            state=item.state,
        )
        self._notify_listed(record)
        return record

    def _notify_listed(self, record: EndpointRecord) -> None:
        for listener in self.on_listed:
            listener(record)

    def _restart(
        self, old: EndpointRecord, item: ListedEndpoint
    ) -> EndpointRecord:
        """Start a new record for an endpoint whose process restarted.

        Requests in flight at the old process are lost and get cancelled.
        """
        now = self._clock()
        old.gone_at = now
        age_s = self._time_of_day() - item.incarnation / 1000
        lost = old.cancel_calls(
            before=now - max(age_s, 0.0) - CLOCK_TOLERANCE_S
        )
        log.info(
            'endpoint_restarted',
            endpoint=item.id,
            before=old.incarnation,
            age_s=round(age_s, 2),
            lost_requests=lost,
        )
        record = self._add(item)
        for listener in self.on_restarted:
            listener(old)
        if item.incarnation <= old.leaving_incarnation:
            self.note_leaving(item.id, left_s=None, source='a peer')
        return record

    def _mark_unreadable(
        self, record: EndpointRecord | None, item: Unreadable
    ) -> None:
        """Send an endpoint no requests until its entry can be parsed again."""
        if record is None or record.is_unreadable:
            return
        record.is_unreadable = True
        log.warning(
            'endpoint_withheld', endpoint=record.id, problem=item.problem
        )

    def _handle_missing(self, record: EndpointRecord) -> None:
        """Mark an endpoint that is missing from the list as gone.

        Not during or just after an outage of the platform's store, when
        live endpoints cannot renew their entries: all endpoints of a service
        could vanish at once, and every request would be refused.
        """
        if self._health.may_have_lapsed():
            if not record.is_lapsed:
                log.info('endpoint_lapsed', endpoint=record.id)
            record.is_lapsed = True
            self._has_lapsed = True
            return
        record.is_lapsed = False
        record.gone_at = self._clock()
        log.info('endpoint_gone', endpoint=record.id)
        if not record.is_leaving:
            self.note_leaving(record.id, left_s=None, source=PLATFORM)

    def remove_lapsed(self) -> None:
        """Mark endpoints as gone that stay missing after an outage."""
        if not self._has_lapsed or self._health.may_have_lapsed():
            return
        self._has_lapsed = False
        for record in self.by_id.values():
            if record.is_lapsed:
                self._handle_missing(record)

    def _delete_old_records(self) -> None:
        now = self._clock()
        for id_, record in tuple(self.by_id.items()):
            gone_at = record.gone_at
            if gone_at is not None and now - gone_at > GONE_RETENTION_S:
                del self.by_id[id_]
                for listener in self.on_forgotten:
                    listener(id_)


def _backoff_s(failures: int, limit_s: float) -> float:
    """Return the backoff after this number of earlier failures."""
    # Bounded first, since the power overflows in long outages.
    doublings = min(failures, MAX_DOUBLINGS)
    return min(INITIAL_BACKOFF_S * 2.0**doublings, limit_s)
