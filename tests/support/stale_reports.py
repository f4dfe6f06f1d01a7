"""Daemons that choose plain endpoints with reports that are out of date."""

import heapq
import itertools
import random
from dataclasses import dataclass, field, replace

from mimosamux_daemon.domain.gateway import ListedEndpoint
from mimosamux_daemon.domain.names import (
    DaemonId,
    DataCentreName,
    EndpointId,
    ServiceName,
)
from mimosamux_daemon.domain.routes import Route, RouteKind, ServiceEntry
from mimosamux_daemon.gateway.balancing.service_endpoints import (
    ServiceEndpoints,
)
from mimosamux_daemon.gateway.roster import Roster
from mimosamux_daemon.gateway.store_health import StoreHealth

from tests.support.choosers import make_chooser

APP = ServiceName('app')
SERVICE = ServiceEntry(name=APP)
ROUTE = Route(
    name='slip',
    host='h',
    prefix=b'/',
    kind=RouteKind.NON_IDEMPOTENT,
    splits=(),
    timeout_s=1.1,
    latency_target_s=0.16,
)
STREAM = replace(
    ROUTE, name='question', kind=RouteKind.STREAM, latency_target_s=0.52
)
ZONES = ('north', 'middle', 'south')


def listed(number, *, service=APP, slots=6, incarnation=0):
    return ListedEndpoint(
        id=EndpointId(f'i-{number}'),
        service=service,
        address=f'10.9.{number // 250}.{number % 250}:80',
        data_centre=DataCentreName(ZONES[number % 3]),
        slots=slots,
        incarnation=incarnation,
    )


@dataclass(kw_only=True)
class ChoosingDaemon:
    """The parts of a daemon that choose an endpoint."""

    clock: object
    rng: random.Random
    is_relayed: bool = True
    daemons: int = 73
    zone: str = 'north'

    def __post_init__(self):
        self.health = StoreHealth(clock=self.clock)
        self.roster = Roster(
            clock=self.clock,
            time_of_day=self.clock,
            health=self.health,
        )
        self.endpoints = ServiceEndpoints()
        self.chooser = make_chooser(
            self.roster,
            clock=self.clock,
            rng=self.rng,
            zone=self.zone,
            daemons=lambda: self.daemons,
            is_relayed=lambda: self.is_relayed,
            endpoints=self.endpoints,
        )

    def list(self, *items):
        self.roster.apply([(item.id, item) for item in items])

    def record(self, number):
        return self.roster.by_id[EndpointId(f'i-{number}')]

    def report(self, number, peer, requests, now, unread_tokens=0.0):
        self.record(number).load.note_peer(
            DaemonId(str(peer)),
            requests=requests,
            unread_tokens=unread_tokens,
            now=now,
        )

    def choose(self, service=SERVICE, prompt=None, route=ROUTE, **options):
        return self.chooser.choose(service, route, prompt, **options)


@dataclass(kw_only=True)
class PlainEndpoint:
    """A plain endpoint: slots, a queue, and refusals when it is full."""

    slots: int = 6
    places: int = 30
    in_flight: int = 0
    free_at: list = field(default_factory=list)

    def begin(self, now, service_s):
        """Return when a call ends, None if it is refused."""
        if self.in_flight >= self.places:
            return None
        self.in_flight += 1
        start = now
        if len(self.free_at) >= self.slots:
            start = max(now, heapq.heappop(self.free_at))
        heapq.heappush(self.free_at, start + service_s)
        return start + service_s


@dataclass(kw_only=True)
class CallCounts:
    """Numbers of calls, and of those refused or late."""

    calls: int = 0
    refused: int = 0
    late: int = 0


class Play:
    """Calls of many daemons at few endpoints, in the order of time."""

    REPORT_INTERVAL_S = 0.73
    REPORT_DELAY_S = 0.27
    """With the interval, a report is up to a second old."""

    def __init__(self, *, is_relayed, per_s, service_s, seed, daemons=73):
        self.now = 0.0
        self.per_s, self.service_s = per_s, service_s
        self.rng = random.Random(seed)
        self.result = CallCounts()
        self.endpoints = [PlainEndpoint() for _ in ZONES]
        self.daemons = [
            ChoosingDaemon(
                clock=lambda: self.now,
                rng=random.Random(seed + number),
                is_relayed=is_relayed,
                daemons=daemons,
                zone=ZONES[number % 3],
            )
            for number in range(daemons)
        ]
        for daemon in self.daemons:
            daemon.list(*map(listed, range(3)))
        self._events = []
        self._order = itertools.count()

    def run(self, seconds):
        for number in range(len(self.daemons)):
            first = self.rng.uniform(0, self.REPORT_INTERVAL_S)
            self._at(first, self._send_report, number)
        self._at(0.0, self._call)
        while self._events and self._events[0][0] < seconds:
            self.now, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)
        return self.result

    def _at(self, time, function, *arguments):
        heapq.heappush(
            self._events, (time, next(self._order), function, arguments)
        )

    def _send_report(self, sender):
        records = map(self.daemons[sender].record, range(3))
        requests = [record.load.requests for record in records]
        arrival = self.now + self.REPORT_DELAY_S
        self._at(arrival, self._take_report, sender, requests)
        pause_s = self.REPORT_INTERVAL_S * self.rng.uniform(0.9, 1.1)
        self._at(self.now + pause_s, self._send_report, sender)

    def _take_report(self, sender, requests):
        for receiver, daemon in enumerate(self.daemons):
            if receiver != sender:
                for number, count in enumerate(requests):
                    daemon.report(number, sender, count, self.now)

    def _call(self):
        self._at(self.now + self.rng.expovariate(self.per_s), self._call)
        daemon = self.rng.choice(self.daemons)
        record = daemon.choose().record
        endpoint = self.endpoints[int(record.id[2:])]
        self.result.calls += 1
        ends_at = endpoint.begin(self.now, self.service_s)
        if ends_at is None:
            self.result.refused += 1
            daemon.roster.note_rejection(record, self.now)
            return
        self.result.late += ends_at - self.now > ROUTE.latency_target_s
        record.load.begin(0.0)
        self._at(ends_at, self._end, daemon, record, endpoint, self.now)

    def _end(self, daemon, record, endpoint, sent_at):
        endpoint.in_flight -= 1
        record.load.end(0.0)
        daemon.roster.note_acceptance(record, sent_at)
        residence = daemon.chooser.forecast.residence(APP)
        residence.request.add(self.now - sent_at)
