"""Takes running streams off endpoints that are about to go.

A stream that ends in time stays where it is. The others are copied to other
endpoints, side by side, and stopped just before theirs is taken away; they
go on from the copies, and the caller sees one stream with a short pause.
"""

from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import anyio
import anyio.abc

from mimosamux_daemon.domain.names import EndpointId
from mimosamux_daemon.domain.store import Unavailable
from mimosamux_daemon.gateway.endpoint_record import EndpointRecord
from mimosamux_daemon.gateway.running_stream import RunningStream, StreamCopy
from mimosamux_daemon.gateway.stream_moves import COPY_TIMEOUT_S, StreamMoves
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.run_moves import EndpointOutlook, RunMoves

log = get_log('evacuation')

LAST_S = 0.5
"""What is kept of the time before an endpoint goes for stopping runs: two
tries, and a notice that came late."""
LOOK_S = 0.1
"""Pause between two looks for streams that have begun at an endpoint that
leaves: a request that was sent there before may begin its answer later."""
LEAST_WAIT_S = 0.001
"""What a stop may come late by."""
SIDE_BY_SIDE = 8
"""Copies from one endpoint at a time: one that hangs holds up no others,
and each still gets a fair part of the link."""


@dataclass(kw_only=True, slots=True)
class Departure:
    """An endpoint that leaves, and until when it is there."""

    record: EndpointRecord
    drained_at: float
    """When it is gone if nobody tells otherwise."""
    is_unanswered: bool = False
    """Whether it was asked for its end and has not answered."""

    @property
    def end(self) -> float:
        """Return when it is gone, as it is known now.

        A drain may be cut short by a reclaim: kept from the first look, the
        end would come before the first copy, and streams would break off
        with no `stream_moved` before them.
        """
        told = self.record.leaves_at
        return self.drained_at if told is None else told


@dataclass(kw_only=True, slots=True)
class Evacuation:
    """Knows the streams of this daemon, and moves them in time."""

    moves: RunMoves
    stream_moves: StreamMoves
    drain_s: float
    """Time that an endpoint serves on after it was listed as leaving."""
    clock: Callable[[], float]
    tell: Callable[[EndpointRecord], None]
    """Tells the peers when an endpoint leaves."""
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
            stream.ended.set()
            streams.discard(stream)
            if not streams:
                self._by_endpoint.pop(stream.record, None)

    async def claim_copy(self, stream: RunningStream) -> StreamCopy | None:
        """Return the copy from which a stream that broke may go on.

        Its run is stopped first if that has not been confirmed: two runs
        of one request must not go on side by side.
        """
        stream.is_claimed = True
        if stream.copy is None and not stream.changing.locked():
            return None
        await self.stream_moves.stop(stream)
        return stream.copy

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
        departure = Departure(
            record=record, drained_at=self.clock() + self.drain_s
        )
        while not self._movable(record):
            if self.clock() >= departure.end:
                return
            await anyio.sleep(LOOK_S)
        async with anyio.create_task_group() as tasks:
            if record.leaves_at is None:
                tasks.start_soon(self._ask, departure)
            await self._wait_to_copy(departure)
            self._log_begin(departure)
            await self._move_all(departure)
            tasks.cancel_scope.cancel()

    async def _ask(self, departure: Departure) -> None:
        """Ask an endpoint for its end until it answers."""
        record = departure.record
        while record.leaves_at is None and self.clock() < departure.end:
            outlook = await self.moves.look(record.listed)
            departure.is_unanswered = isinstance(outlook, Unavailable)
            if isinstance(outlook, EndpointOutlook):
                self._take_outlook(record, outlook)
                return
            log.info(
                'endpoint_end_unknown',
                endpoint=record.id,
                reason=outlook.reason,
            )
            await anyio.sleep(LOOK_S)

    def _take_outlook(
        self, record: EndpointRecord, outlook: EndpointOutlook
    ) -> None:
        if outlook.leaves_in_s is None:
            return
        if 0 < record.incarnation != outlook.incarnation > 0:
            return
        record.leaves_at = self.clock() + outlook.leaves_in_s
        self.tell(record)

    async def _wait_to_copy(self, departure: Departure) -> None:
        """Wait until copies have to begin for a second try to fit in.

        They begin at once where the endpoint did not say when it goes: that
        may be sooner than the shortest wait for another answer.
        """
        while not departure.is_unanswered:
            copies_s = self._copies_s(departure.record)
            first_at = departure.end - LAST_S - COPY_TIMEOUT_S - copies_s
            left_s = first_at - self.clock()
            if left_s <= 0:
                return
            await anyio.sleep(_until_look(left_s))

    async def _move_all(self, departure: Departure) -> None:
        """Move the streams of an endpoint, late ones too.

        It goes on past the end for as long as streams run there: what an
        endpoint tells is an estimate, and a daemon that got no processor
        time in the last moments would leave streams at an endpoint that is
        still there (`stream_stays` with a negative `left_s`).
        """
        record = departure.record
        limiter = anyio.CapacityLimiter(SIDE_BY_SIDE)
        seen: set[RunningStream] = set()
        async with anyio.create_task_group() as tasks:
            while self.clock() < departure.end or self._movable(record):
                for stream in self._movable(record):
                    if stream not in seen:
                        seen.add(stream)
                        tasks.start_soon(
                            self._move, stream, departure, limiter
                        )
                await anyio.sleep(LOOK_S)

    async def _move(
        self,
        stream: RunningStream,
        departure: Departure,
        limiter: anyio.CapacityLimiter,
    ) -> None:
        tries: Counter[EndpointId] = Counter()
        while not stream.ended.is_set() and not stream.is_stopped:
            await self._advance(stream, departure, tries, limiter)
            await self._pause(stream, departure)
        await stream.ended.wait()
        if not stream.is_claimed or stream.copy is None:
            self._log_stay(stream, tries, departure)
        if not stream.is_claimed:
            await self.stream_moves.release(stream)

    async def _advance(
        self,
        stream: RunningStream,
        departure: Departure,
        tries: Counter[EndpointId],
        limiter: anyio.CapacityLimiter,
    ) -> None:
        """Copy a stream, anew if its copy is about to go; stop it at last.

        The endpoint that holds the copy may leave as well. Stopped then, the
        run found no room there and went on at the endpoint it was to leave
        (`stream_moved outcome=RunKept`, and `request_sent` to its source).
        """
        if not stream.has_lasting_copy:
            await self._copy(stream, tries, limiter)
        is_due = self.clock() >= departure.end - LAST_S
        if is_due and not stream.ended.is_set():
            await self.stream_moves.stop(stream)

    async def _pause(
        self, stream: RunningStream, departure: Departure
    ) -> None:
        """Wait for the next look, for less if the stream is to stop."""
        left_s = departure.end - LAST_S - self.clock()
        with anyio.move_on_after(_until_look(left_s)):
            await stream.ended.wait()

    async def _copy(
        self,
        stream: RunningStream,
        tries: Counter[EndpointId],
        limiter: anyio.CapacityLimiter,
    ) -> None:
        async with limiter:
            if not stream.ended.is_set():
                await self.stream_moves.copy(stream, tries)

    def _log_begin(self, departure: Departure) -> None:
        log.info(
            'evacuation_began',
            endpoint=departure.record.id,
            streams=len(self._movable(departure.record)),
            left_s=round(departure.end - self.clock(), 3),
            is_told=departure.record.leaves_at is not None,
            is_unanswered=departure.is_unanswered,
        )

    def _log_stay(
        self,
        stream: RunningStream,
        tries: Counter[EndpointId],
        departure: Departure,
    ) -> None:
        """Tell of a stream that stays at its endpoint.

        With `has_ended` it had no need to go on elsewhere; without, it is
        lost unless it may be run anew.
        """
        log.info(
            'stream_stays',
            request=stream.request_id,
            endpoint=stream.record.id,
            has_ended=stream.ended.is_set(),
            copy_calls=tries.total(),
            left_s=round(departure.end - self.clock(), 3),
        )

    def _movable(self, record: EndpointRecord) -> list[RunningStream]:
        """Return the streams there that can be moved, the largest first."""
        streams = self._by_endpoint.get(record, ())
        movable = [stream for stream in streams if stream.can_move]
        return sorted(movable, key=lambda each: -each.tokens)

    def _copies_s(self, record: EndpointRecord) -> float:
        """Return the time that copying all streams there takes.

        Other daemons copy theirs over the same link at the same time; what
        they have there is taken to be like the streams from here.
        """
        own = self._by_endpoint.get(record, ())
        own_s = sum(stream.copy_s() for stream in own)
        everybody = record.load.total(self.clock()).requests
        return own_s * max(1.0, everybody / max(len(own), 1))


def _until_look(left_s: float) -> float:
    """Return the wait until the next look, shorter just before a moment.

    Never next to nothing: a wait that is lost in rounding would come to the
    moment no nearer, and be repeated for ever.
    """
    return min(max(left_s, LEAST_WAIT_S), LOOK_S) if left_s > 0 else LOOK_S
