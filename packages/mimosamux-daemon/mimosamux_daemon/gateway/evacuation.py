"""Moves running requests away from endpoints that are about to go.

A request that ends in time stays where it is. The others are stopped just
before their endpoint is taken away, their memory is copied to another one,
and they go on there: the caller sees one stream with a short pause.
"""

import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import anyio
import anyio.abc

from mimosamux_daemon.domain.routes import EngineTraits, ServiceEntry
from mimosamux_daemon.domain.store import Unavailable
from mimosamux_daemon.gateway.endpoint_record import EndpointRecord
from mimosamux_daemon.gateway.metrics import GatewayMetrics
from mimosamux_daemon.gateway.roster import Roster
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.run_moves import (
    MoveOutcome,
    MoveUnanswered,
    NotMoved,
    RunMoves,
)

log = get_log('evacuation')

LAST_S = 0.5
"""What is kept of the time before an endpoint goes, on top of the time that
the copies take: for the calls themselves, and for a notice that came late."""
BITS_PER_BYTE = 8
FAR_FACTOR = 2.0
"""Copies to another data centre take so much longer."""


@dataclass(kw_only=True, slots=True, eq=False)
class RunningStream:
    """A stream under way at one endpoint."""

    request_id: str
    service: ServiceEntry
    record: EndpointRecord
    tokens: int
    """Tokens in its engine's memory, about."""
    outcome: MoveOutcome | None = None
    target: EndpointRecord | None = None
    is_moving: bool = False
    settled: anyio.Event = field(default_factory=anyio.Event)
    """Set once the outcome of a move is known."""

    async def find_move(self) -> MoveOutcome | None:
        """Return what became of a move, None if there was none."""
        if self.is_moving:
            await self.settled.wait()
        return self.outcome


@dataclass(kw_only=True, slots=True)
class Evacuation:
    """Knows the streams of this daemon, and moves them in time."""

    roster: Roster
    moves: RunMoves
    drain_s: float
    """Time that an endpoint serves on after it was listed as leaving."""
    clock: Callable[[], float]
    rng: random.Random
    tell: Callable[[EndpointRecord], None]
    """Tells the peers when an endpoint leaves."""
    metrics: GatewayMetrics
    _by_endpoint: dict[EndpointRecord, set[RunningStream]] = field(
        default_factory=dict
    )
    """By record, not by id: streams of a process that is gone are not those
    of the one that has started under its id."""
    _waiting: list[EndpointRecord] = field(default_factory=list)
    _arrived: anyio.Event = field(default_factory=anyio.Event)

    @contextmanager
    def running(self, stream: RunningStream) -> Iterator[None]:
        """Count a stream as running at its endpoint."""
        streams = self._by_endpoint.setdefault(stream.record, set())
        streams.add(stream)
        try:
            yield
        finally:
            streams.discard(stream)
            if not streams:
                self._by_endpoint.pop(stream.record, None)

    def note_leaving(self, record: EndpointRecord) -> None:
        """Have the streams of an endpoint looked after."""
        self._waiting.append(record)
        self._arrived.set()

    async def run(self) -> None:
        """Look after endpoints that leave, until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self._arrived.wait()
                self._arrived = anyio.Event()
                waiting, self._waiting = self._waiting, []
                for record in waiting:
                    tasks.start_soon(self._evacuate, record)

    async def _evacuate(self, record: EndpointRecord) -> None:
        streams = self._by_endpoint.get(record)
        if not streams or not _can_move(next(iter(streams))):
            return
        if record.leaves_at is None:
            await self._ask(record)
        leaves_at = record.leaves_at
        if leaves_at is None:
            leaves_at = self.clock() + self.drain_s
        left_s = leaves_at - self.clock() - LAST_S - self._copy_s(record)
        await anyio.sleep(max(left_s, 0.0))
        for stream in self._sort(record):
            await self._move(stream)

    async def _ask(self, record: EndpointRecord) -> None:
        outlook = await self.moves.look(record.listed)
        if isinstance(outlook, Unavailable) or outlook.leaves_in_s is None:
            return
        if 0 < record.incarnation != outlook.incarnation > 0:
            return
        record.leaves_at = self.clock() + outlook.leaves_in_s
        self.tell(record)

    def _copy_s(self, record: EndpointRecord) -> float:
        """Return the time that copying all streams there takes."""
        return sum(map(_copy_s, self._by_endpoint.get(record, ())))

    def _sort(self, record: EndpointRecord) -> list[RunningStream]:
        """Return the streams still there, the largest first."""
        streams = self._by_endpoint.get(record, set())
        return sorted(streams, key=lambda each: -each.tokens)

    async def _move(self, stream: RunningStream) -> None:
        target = self._find_target(stream)
        if target is None or stream.record not in self._by_endpoint:
            return
        if stream not in self._by_endpoint[stream.record]:
            return
        stream.is_moving = True
        outcome: MoveOutcome = MoveUnanswered(reason='cancelled')
        try:
            outcome = await self.moves.move(
                stream.record.listed, target.listed, stream.request_id
            )
        finally:
            stream.outcome = outcome
            stream.target = target
            stream.settled.set()
        stream.is_moving = not isinstance(outcome, NotMoved)
        self.metrics.moves.inc({'result': type(outcome).__name__})
        log.info(
            'stream_moved',
            request=stream.request_id,
            source=stream.record.id,
            target=target.id,
            tokens=stream.tokens,
            outcome=type(outcome).__name__,
            reason=getattr(outcome, 'reason', None),
        )

    def _find_target(self, stream: RunningStream) -> EndpointRecord | None:
        now = self.clock()
        records = [
            record
            for record in self.roster.serving(stream.service.name)
            if not record.is_avoided(now)
            and record.load.total(now).requests < record.listed.slots
        ]
        if not records:
            return None
        here = stream.record.listed.data_centre

        def cost(record: EndpointRecord) -> tuple[float, float]:
            is_far = record.listed.data_centre != here
            use = record.load.total(now)
            share = use.requests / record.listed.slots
            return (share + 0.25 * is_far, self.rng.random())

        return min(records, key=cost)


def _can_move(stream: RunningStream) -> bool:
    engine = stream.service.engine
    return engine is not None and engine.can_move


def _copy_s(stream: RunningStream) -> float:
    engine: EngineTraits | None = stream.service.engine
    if engine is None or engine.link_mbps <= 0:
        return 0.0
    bits = stream.tokens * engine.bytes_per_token * BITS_PER_BYTE
    return FAR_FACTOR * bits / (engine.link_mbps * 1e6)
