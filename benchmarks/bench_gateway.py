"""What daemons before endpoints tell each other costs, by their number.

Real states and relays, on a model of the network without loss: every message
is encoded and decoded as over a link, and comes 1 ms later.
"""

import heapq
import itertools
import random
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from mimosamux_daemon.control.members import MemberState
from mimosamux_daemon.domain.names import DaemonId, DataCentreName
from mimosamux_daemon.gateway.exchange.peer_states import (
    DaemonPlace,
    PeerState,
    PeerStates,
)
from mimosamux_wire import (
    CapUse,
    EndpointUse,
    Envelope,
    EnvelopeType,
    Message,
    ServiceDemand,
    StateBatch,
    StateDigest,
    WindowUse,
    decode,
    encode,
)

from benchmarks.gateway_parts import BusyParts
from benchmarks.report import Table

SITES = ((9, 3), (24, 5), (73, 3), (89, 4), (195, 5), (340, 32))
"""Daemons, data centres."""
SITES_WITH_PARTS = ((9, 3), (73, 3))
REQUESTS = 2
"""Requests that a daemon with all parts receives in each `REQUESTS_S`."""
REQUESTS_S = 0.25
ACCOUNTS = 5
"""Client accounts that a daemon has something to tell of."""
ENDPOINTS_IN_USE = 5
LARGEST_USE = 1 << 30
DELAY_S = 0.001
WARM_S = 12.0
MEASURED_S = 8.0


class BusyPart:
    """What a busy daemon tells."""

    def write(self, digest: StateDigest) -> None:
        """Add uses of endpoints and accounts."""
        digest.endpoints = [
            EndpointUse(
                endpoint=f'i-{number:010x}',
                open_requests=1,
                unread_tokens=9_000,
                ended=12,
                failed=1,
            )
            for number in range(ENDPOINTS_IN_USE)
        ]
        digest.caps = [
            CapUse(account=f'acct{n}', used=LARGEST_USE, recent=900_000)
            for n in range(ACCOUNTS)
        ]
        digest.windows = [
            WindowUse(window=353_445_120, account=f'acct{n}', requests=90)
            for n in range(ACCOUNTS)
        ]
        digest.demands = [ServiceDemand(service='engines', busy_ms=9_000_000)]

    def take(self, peer: PeerState, digest: StateDigest) -> None:
        """Take nothing: only the exchange is measured."""


@dataclass(kw_only=True)
class Fleet:
    """Daemons, the time, and messages that are under way."""

    count: int
    centres: int
    now: float = 1000.0
    rng: random.Random = field(default_factory=lambda: random.Random(5))
    daemons: list['Daemon'] = field(default_factory=list)
    index_by_id: dict[DaemonId, int] = field(default_factory=dict)
    messages: int = 0
    sent_bytes: int = 0
    far_bytes: int = 0
    received_digests: int = 0
    requests_s: float = 0.0
    """Processor time of the requests, which is no cost of the exchange."""
    has_all_parts: bool = False
    _order: 'itertools.count[int]' = field(default_factory=itertools.count)
    _due: list[tuple[float, int, Callable[[], None]]] = field(
        default_factory=list
    )

    def start(self) -> None:
        """Start all daemons at once; each knows of every other."""
        for number in range(self.count):
            self.daemons.append(Daemon(fleet=self, number=number))
        self.index_by_id = {each.id: each.number for each in self.daemons}
        centre_by_id = {each.id: each.centre for each in self.daemons}
        for daemon in self.daemons:
            daemon.states.add_daemons(centre_by_id, centre_by_id)
            self.at(self.now + self.rng.uniform(0, 0.25), daemon.tick)
            if self.has_all_parts:
                daemon.add_parts()

    def at(self, when: float, work: Callable[[], None]) -> None:
        """Have something done at a time."""
        heapq.heappush(self._due, (when, next(self._order), work))

    def run_until(self, end: float) -> None:
        """Let time pass."""
        while self._due and self._due[0][0] <= end:
            self.now, _, work = heapq.heappop(self._due)
            work()
        self.now = end


@dataclass(kw_only=True)
class Daemon:
    """One daemon; as a set of links it hands messages to the fleet."""

    fleet: Fleet
    number: int
    handlers: dict[type, Any] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.id = DaemonId(f'10.0.{self.number // 250}.{self.number % 250}:1')
        self.centre = DataCentreName(f'c{self.number % self.fleet.centres}')
        self.states = PeerStates(
            place=DaemonPlace(
                id=self.id,
                data_centre=self.centre,
                region='r',
                entry_address=self.id,
            ),
            incarnation=self.fleet.rng.getrandbits(62),
            peers=self,
            clock=lambda: self.fleet.now,
            rng=self.fleet.rng,
        )
        self.states.state = MemberState.READY
        self.states.parts = [BusyPart()]

    def tick(self) -> None:
        """Do what is due, and again after the daemon's own pause."""
        _complete(self.states.tick())
        pause_s = self.states.pause_s() * self.fleet.rng.uniform(0.9, 1.1)
        self.fleet.at(self.fleet.now + pause_s, self.tick)

    def add_parts(self) -> None:
        """Have all parts of a daemon take part, and give them requests."""
        parts = BusyParts(
            states=self.states,
            clock=lambda: self.fleet.now,
            rng=self.fleet.rng,
        )
        self.states.parts = parts.all

        def send_requests() -> None:
            begun = time.process_time()
            parts.send_requests(REQUESTS)
            self.fleet.requests_s += time.process_time() - begun
            self.fleet.at(self.fleet.now + REQUESTS_S, send_requests)

        send_requests()

    def handle(self, kind: type, handler: Any) -> None:
        """Take messages of a kind."""
        self.handlers[kind] = handler

    def set_address(self, *_: object) -> None:
        """Ignore addresses: ids are enough here."""

    def forget(self, *_: object) -> None:
        """Ignore that a link is dropped."""

    async def notify(self, id_: DaemonId, message: Message) -> None:
        """Send a message as bytes."""
        fleet = self.fleet
        number = fleet.index_by_id[id_]
        data = encode(message, EnvelopeType.ONEWAY, 0)
        fleet.messages += 1
        fleet.sent_bytes += len(data)
        target = fleet.daemons[number]
        fleet.far_bytes += len(data) * (target.centre != self.centre)
        fleet.at(fleet.now + DELAY_S, lambda: target.take(self.id, data))

    def take(self, sender: DaemonId, data: bytes) -> None:
        """Take a message that has arrived."""
        envelope = decode(data)
        assert isinstance(envelope, Envelope)
        if isinstance(envelope.message, StateBatch):
            self.fleet.received_digests += len(envelope.message.digests)
        _complete(
            self.handlers[type(envelope.message)](sender, envelope.message)
        )


def _complete(work: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine that waits for nothing."""
    try:
        work.send(None)
    except StopIteration:
        return
    raise AssertionError('it waits')


def run() -> list[Table]:
    """Return what the exchange costs a daemon, at five sizes."""
    return [
        Table(
            title='states that daemons tell each other',
            columns=(
                'daemons',
                'data centres',
                'messages/s a daemon',
                'KB/s sent a daemon',
                'of it to other data centres',
                'processor ms/s a daemon',
                'oldest news s',
                'behind in confirming s',
            ),
            rows=tuple(measure(*site) for site in SITES),
        ),
        Table(
            title='cost of digests with all parts that read them',
            columns=(
                'daemons',
                'data centres',
                'digests/s received',
                'processor ms/s a daemon',
                'processor us a digest',
            ),
            rows=tuple(measure_parts(*site) for site in SITES_WITH_PARTS),
        ),
    ]


def measure(count: int, centres: int) -> tuple[float, ...]:
    """Return the row of one size."""
    fleet = Fleet(count=count, centres=centres)
    fleet.start()
    fleet.run_until(fleet.now + WARM_S)
    before = (fleet.messages, fleet.sent_bytes, fleet.far_bytes)
    begun = time.process_time()
    fleet.run_until(fleet.now + MEASURED_S)
    took_ms = (time.process_time() - begun) * 1000
    after = (fleet.messages, fleet.sent_bytes, fleet.far_bytes)
    messages, sent, far = (
        (late - early) / count / MEASURED_S
        for early, late in zip(before, after, strict=True)
    )
    states = [daemon.states for daemon in fleet.daemons]
    behind = max(
        each.next_sequence - 1 - each.acked_by_all() for each in states
    )
    return (
        count,
        centres,
        round(messages, 1),
        round(sent / 1000, 1),
        round(far / 1000, 1),
        round(took_ms / count / MEASURED_S, 1),
        round(max(each.oldest_digest_age_s() for each in states), 2),
        round(behind * states[0].interval_s, 2),
    )


def measure_parts(count: int, centres: int) -> tuple[float, ...]:
    """Return the row of one size with all parts of a daemon."""
    fleet = Fleet(count=count, centres=centres, has_all_parts=True)
    fleet.start()
    fleet.run_until(fleet.now + WARM_S)
    digests, requests_s = fleet.received_digests, fleet.requests_s
    begun = time.process_time()
    fleet.run_until(fleet.now + MEASURED_S)
    took_s = time.process_time() - begun - (fleet.requests_s - requests_s)
    digests = fleet.received_digests - digests
    return (
        count,
        centres,
        round(digests / count / MEASURED_S, 1),
        round(took_s * 1000 / count / MEASURED_S, 2),
        round(took_s * 1e6 / digests, 1),
    )
