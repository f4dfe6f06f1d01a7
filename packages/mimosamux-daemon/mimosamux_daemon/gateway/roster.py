"""The endpoints that the platform lists, and which of them take work."""

import math
from collections.abc import Callable, Iterable, Iterator, Mapping

import anyio

from mimosamux_daemon.domain.gateway import EndpointState, ListedEndpoint
from mimosamux_daemon.domain.names import (
    DataCentreName,
    EndpointId,
    ServiceName,
)
from mimosamux_daemon.gateway.endpoint_record import EndpointRecord
from mimosamux_daemon.gateway.store_health import StoreHealth
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.feeds import Unreadable

log = get_log('roster')

PLATFORM = 'platform'
OWN_ANSWER = 'its answer'
KEEP_GONE_S = 30.0
"""Endpoints that are gone are remembered for so long: a peer whose view is
older may still tell of them."""
FIRST_PAUSE_S = 0.25
LAST_PAUSE_S = 4.0
"""An endpoint that cannot be connected to is left alone for the first of
these; the pause doubles with each failed connect up to the last."""
MOST_DOUBLINGS = 16
LONGEST_PASSED_OVER_S = 8.0
"""The same for one that turns requests down: each try costs a caller whose
request may go to one endpoint only."""
LONGEST_REST_S = 300.0
"""Longest pause that an endpoint is given: a number that was spoiled on its
way would take it out of use for good."""
START_SLACK_S = 0.5
"""Time before an endpoint's start, as it tells it, from which on a request
may have reached the new process: its clock and ours differ by less."""


Listener = Callable[[EndpointRecord], None]


class Roster:
    """Endpoints by id."""

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
        self.on_leaving: list[Listener] = []
        """Told of each endpoint that leaves, whoever learned of it."""
        self.on_learned: list[Listener] = []
        """Told of those that the platform told this daemon of."""
        self.on_own_answer: list[Listener] = []
        """Told of those that said so in an answer to this daemon."""
        self.on_restarted: list[Listener] = []
        """Told of what was known of an endpoint that has started anew."""
        self.on_forgotten: list[Callable[[EndpointId], None]] = []
        """Told of each endpoint that is remembered no longer."""
        self._clock = clock
        self._time_of_day = time_of_day
        self._health = health

    def replace(
        self, items: Mapping[str, ListedEndpoint | Unreadable]
    ) -> None:
        """Take the whole list as it is now."""
        for id_, record in tuple(self.by_id.items()):
            if id_ not in items and record.gone_at is None:
                self._note_missing(record)
        self.apply(tuple(items.items()))

    def apply(
        self, changes: Iterable[tuple[str, ListedEndpoint | Unreadable | None]]
    ) -> None:
        """Take changes of the list in their order."""
        for key, item in changes:
            record = self.by_id.get(EndpointId(key))
            if isinstance(item, Unreadable):
                self._withhold(record, item)
            elif item is not None:
                self._take(item)
            elif record is not None and record.gone_at is None:
                self._note_missing(record)
        self._forget_old()
        self.changed.set()
        self.changed = anyio.Event()

    def confirm(self, at: float) -> None:
        """Nothing to do: entries carry no time that has to be fresh."""

    def note_leaving(
        self,
        id_: EndpointId,
        *,
        left_s: float | None,
        source: str,
        incarnation: int = 0,
    ) -> bool:
        """Give an endpoint nothing new from now on; False if known before.

        `incarnation` tells which start of it is meant, 0: the known one.
        An earlier one has left anyway, and says nothing of the known one;
        a later one is kept in mind until the list tells of it.
        """
        record = self.by_id.get(id_)
        if record is None or 0 < incarnation < record.incarnation:
            return False
        record.leaving_incarnation = max(
            record.leaving_incarnation, incarnation
        )
        known = record.leaves_at
        if left_s is not None:
            leaves_at = self._clock() + left_s
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
            for listener in self.on_learned:
                listener(record)
        elif source == OWN_ANSWER:
            for listener in self.on_own_answer:
                listener(record)
        return True

    def serving(self, service: ServiceName) -> list[EndpointRecord]:
        """Return the endpoints of a service that take new requests."""
        self._settle_lapsed()
        return [
            record
            for record in self.by_id.values()
            if record.listed.service == service and record.accepts_requests
        ]

    def open_to(self, service: ServiceName) -> list[EndpointRecord]:
        """Return those of them that want requests from this daemon now."""
        now = self._clock()
        return [
            record for record in self.serving(service) if record.is_open(now)
        ]

    def opens_in_s(self, service: ServiceName) -> float:
        """Return when the first endpoint is open again, 0: some are."""
        now = self._clock()
        waits_s = [record.opens_in_s(now) for record in self.serving(service)]
        return min(waits_s, default=0.0)

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
            record.unreachable_until = -math.inf
            return
        pause = _find_pause(record.failed_connects, LAST_PAUSE_S)
        record.failed_connects += 1
        record.unreachable_until = self._clock() + pause

    def note_refusal(self, record: EndpointRecord, sent_at: float) -> None:
        """Pass over an endpoint for a while that turned a request down.

        It has nothing under way then, and would be taken for the best.
        """
        if sent_at < record.rejected_at:
            return
        now = self._clock()
        pause = _find_pause(record.rejections, LONGEST_PASSED_OVER_S)
        record.rejections += 1
        record.rejected_at = now
        record.deprioritised_until = now + pause

    def note_taken(self, record: EndpointRecord, sent_at: float) -> None:
        """Note that an endpoint took a request that was sent at a time."""
        if sent_at >= record.rejected_at:
            record.rejections = 0
            record.deprioritised_until = -math.inf

    def note_rest(self, record: EndpointRecord, pause_s: float) -> None:
        """Send an endpoint nothing for as long as it asks."""
        until = self._clock() + min(pause_s, LONGEST_REST_S)
        if until > record.paused_until:
            record.paused_until = until
            log.info('endpoint_rests', endpoint=record.id, pause_s=pause_s)

    def note_replaced(self, record: EndpointRecord) -> None:
        """Take an endpoint as gone whose address another one has.

        Its entry is listed for some seconds more, and each request that is
        sent to it meanwhile would be turned down.
        """
        self.note_leaving(
            record.id,
            left_s=0.0,
            source='its heir',
            incarnation=record.incarnation,
        )

    def is_current(self, id_: EndpointId, incarnation: int) -> bool:
        """Whether a start of an endpoint is the known one, 0: it is.

        What peers tell of an earlier one would count its load and its
        failures for the new process, which has neither.
        """
        record = self.by_id.get(id_)
        if record is None or not incarnation:
            return True
        return record.incarnation in (0, incarnation)

    def left_s(self, record: EndpointRecord) -> float | None:
        """Return the time until an endpoint is gone, None: not known."""
        if record.leaves_at is None:
            return None
        return max(record.leaves_at - self._clock(), 0.0)

    def data_centres(self, service: ServiceName) -> set[DataCentreName]:
        """Return where a service has endpoints listed."""
        return {
            record.listed.data_centre for record in self.of_service(service)
        }

    def _take(self, item: ListedEndpoint) -> None:
        record = self.by_id.get(item.id)
        if record is not None and item.incarnation < record.incarnation:
            # Written by an earlier process, or by another writer: it says
            # nothing of the process that is known to run there.
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
        record.listed = item
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
        return record

    def _restart(
        self, old: EndpointRecord, item: ListedEndpoint
    ) -> EndpointRecord:
        """Begin anew with an endpoint that has lost all that it held."""
        now = self._clock()
        old.gone_at = now
        age_s = self._time_of_day() - item.incarnation / 1000
        lost = old.cancel_calls(before=now - max(age_s, 0.0) - START_SLACK_S)
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

    def _withhold(
        self, record: EndpointRecord | None, item: Unreadable
    ) -> None:
        """Use an endpoint no longer until its entry can be read again."""
        if record is None or record.is_unreadable:
            return
        record.is_unreadable = True
        log.warning(
            'endpoint_withheld', endpoint=record.id, problem=item.problem
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


def _find_pause(failures: int, longest_s: float) -> float:
    """Return the pause after so many failures before this one."""
    # Bounded before the power is taken, which overflows in long outages.
    doublings = min(failures, MOST_DOUBLINGS)
    return min(FIRST_PAUSE_S * 2.0**doublings, longest_s)
