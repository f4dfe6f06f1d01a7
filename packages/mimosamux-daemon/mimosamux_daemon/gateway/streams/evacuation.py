"""Migrates running streams off endpoints that are about to be removed.

A stream that ends in time stays where it is. The KV caches of the others are
copied to other endpoints concurrently, and the streams are stopped just
before their endpoint is removed. They continue from the copies; the caller
sees one stream with a short pause.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import anyio
import anyio.abc

from mimosamux_daemon.domain.names import EndpointId
from mimosamux_daemon.domain.store import Unavailable
from mimosamux_daemon.gateway.balancing.endpoint_record import (
    EndpointRecord,
    find_end,
)
from mimosamux_daemon.gateway.streams.running_stream import (
    RunningStream,
    StreamCopy,
)
from mimosamux_daemon.gateway.streams.stream_moves import (
    COPY_TIMEOUT_S,
    StreamMoves,
)
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.run_moves import DepartureReport, RunMoves

log = get_log('evacuation')

STOP_RESERVE_S = 0.5
"""Time before the removal of an endpoint that is reserved for stopping runs:
it allows for two attempts, and for a notice that arrived late."""
CHECK_INTERVAL_S = 0.1
"""Interval of the checks for a due copy or stop while streams run at a leaving
endpoint: its time of removal and the estimated time of the copies change."""
MIN_WAIT_S = 0.001
"""Shortest wait; a stop may be late by as much."""
MAX_CONCURRENT_COPIES = 8
"""Concurrent copies from one endpoint: enough that a copy that hangs does not
block the others, and few enough for each to get a fair part of the link."""


@dataclass(kw_only=True, slots=True)
class Departure:
    """A leaving endpoint and the time of its removal."""

    record: EndpointRecord
    drain_ends_at: float
    """When it is removed if it does not report another time."""
    is_query_unanswered: bool = False
    """Whether the last query for its time of removal went unanswered."""

    @property
    def removed_at(self) -> float:
        """Return the time of removal by the latest information.

        A reclaim may cut a drain short. With the time that was known first,
        the endpoint would be gone before the first copy, and streams would
        break off with no `stream_moved` logged before.
        """
        reported = self.record.leaves_at
        return self.drain_ends_at if reported is None else reported


@dataclass(kw_only=True, slots=True)
class Evacuation:
    """Tracks the streams of this daemon and migrates them in time."""

    moves: RunMoves
    stream_moves: StreamMoves
    drain_s: float
    """Time that an endpoint still serves after it is listed as leaving."""
    clock: Callable[[], float]
    notify_peers: Callable[[EndpointRecord], None]
    """Announces the removal time of an endpoint to the peers."""
    _by_endpoint: dict[EndpointRecord, set[RunningStream]] = field(
        default_factory=dict
    )
    """Streams by record rather than by endpoint id: a restarted endpoint keeps
    its id, but does not have the streams of its previous incarnation."""
    _pending: list[EndpointRecord] = field(default_factory=list)
    """Leaving endpoints whose evacuation has not begun yet."""
    _added: anyio.Event = field(default_factory=anyio.Event)
    """Set when an endpoint is added to them."""
    _changed_by_endpoint: dict[EndpointRecord, anyio.Event] = field(
        default_factory=dict
    )
    """For each leaving endpoint whose evacuation waits for it, the event that
    is set when a stream begins or ends there."""

    @contextmanager
    def tracking(self, stream: RunningStream) -> Iterator[None]:
        """Count a stream as running at its endpoint."""
        streams = self._by_endpoint.setdefault(stream.record, set())
        streams.add(stream)
        self._note_change(stream.record)
        try:
            yield
        finally:
            stream.ended.set()
            streams.discard(stream)
            if not streams:
                self._by_endpoint.pop(stream.record, None)
            self._note_change(stream.record)

    async def claim_copy(self, stream: RunningStream) -> StreamCopy | None:
        """Return the copy from which a broken stream may continue.

        The original run is stopped first unless its stop is confirmed: one
        request must not have two runs at the same time.
        """
        stream.is_claimed = True
        if stream.copy is None and not stream.move_lock.locked():
            return None
        await self.stream_moves.stop(stream)
        return stream.copy

    def note_leaving(self, record: EndpointRecord) -> None:
        """Schedule the evacuation of an endpoint."""
        self._pending.append(record)
        self._added.set()

    async def run(self) -> None:
        """Evacuate leaving endpoints until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self._added.wait()
                self._added = anyio.Event()
                pending, self._pending = self._pending, []
                for record in pending:
                    tasks.start_soon(self._evacuate, record)

    async def _evacuate(self, record: EndpointRecord) -> None:
        """Migrate the streams of an endpoint, once it has movable ones."""
        departure = Departure(
            record=record, drain_ends_at=self.clock() + self.drain_s
        )
        while not self._movable(record):
            if self.clock() >= departure.removed_at:
                return
            await self._wait_for_change(record, until=departure.removed_at)
        async with anyio.create_task_group() as tasks:
            if record.leaves_at is None:
                tasks.start_soon(self._query_removal_time, departure)
            await self._wait_for_copy_time(departure)
            self._log_start(departure)
            await self._move_all(departure)
            tasks.cancel_scope.cancel()

    async def _query_removal_time(self, departure: Departure) -> None:
        """Query an endpoint for its time of removal until it answers."""
        record = departure.record
        while record.leaves_at is None and self.clock() < departure.removed_at:
            report = await self.moves.fetch_departure(record.listed)
            departure.is_query_unanswered = isinstance(report, Unavailable)
            if isinstance(report, DepartureReport):
                self._apply_report(record, report)
                return
            log.info(
                'endpoint_end_unknown',
                endpoint=record.id,
                reason=report.reason,
            )
            await anyio.sleep(CHECK_INTERVAL_S)

    def _apply_report(
        self, record: EndpointRecord, report: DepartureReport
    ) -> None:
        """Store and announce a reported time of removal.

        A report of another incarnation is ignored.
        """
        if report.leaves_in_s is None:
            return
        if 0 < record.incarnation != report.incarnation > 0:
            return
        record.leaves_at = find_end(self.clock(), report.leaves_in_s)
        self.notify_peers(record)

    async def _wait_for_copy_time(self, departure: Departure) -> None:
        """Wait until the latest start that leaves time for a second attempt.

        If a query for the time of removal went unanswered, copying begins at
        once: the endpoint may be gone before another query could time out.
        """
        while not departure.is_query_unanswered:
            copy_time_s = self._estimate_copies_s(departure.record)
            latest_start_at = (
                departure.removed_at
                - STOP_RESERVE_S
                - COPY_TIMEOUT_S
                - copy_time_s
            )
            left_s = latest_start_at - self.clock()
            if left_s <= 0:
                return
            if self._movable(departure.record):
                await anyio.sleep(_check_delay_s(left_s))
            else:
                await self._wait_for_change(
                    departure.record, until=latest_start_at
                )

    async def _move_all(self, departure: Departure) -> None:
        """Move the streams of an endpoint, including those that begin late.

        It continues past the time of removal while streams run there: that
        time is an estimate, and a daemon that gets no processor time in the
        last moments would leave streams at an endpoint that still exists
        (`stream_stays` with a negative `left_s`).
        """
        record = departure.record
        limiter = anyio.CapacityLimiter(MAX_CONCURRENT_COPIES)
        started: set[RunningStream] = set()
        async with anyio.create_task_group() as tasks:
            while True:
                movable = self._movable(record)
                if not movable and self.clock() >= departure.removed_at:
                    return
                for stream in movable:
                    if stream not in started:
                        started.add(stream)
                        tasks.start_soon(
                            self._move, stream, departure, limiter
                        )
                until = math.inf if movable else departure.removed_at
                await self._wait_for_change(record, until=until)

    async def _move(
        self,
        stream: RunningStream,
        departure: Departure,
        limiter: anyio.CapacityLimiter,
    ) -> None:
        """Copy and stop one stream, or release its copy if it ends before."""
        attempts: Counter[EndpointId] = Counter()
        while not stream.ended.is_set() and not stream.is_stopped:
            await self._advance(stream, departure, attempts, limiter)
            await self._pause(stream, departure)
        await stream.ended.wait()
        if not stream.is_claimed or stream.copy is None:
            self._log_stays(stream, attempts, departure)
        if not stream.is_claimed:
            await self.stream_moves.release(stream)

    async def _advance(
        self,
        stream: RunningStream,
        departure: Departure,
        attempts: Counter[EndpointId],
        limiter: anyio.CapacityLimiter,
    ) -> None:
        """Copy a stream if it lacks a lasting copy; stop it when that is due.

        The holder of the copy may be leaving as well. A run that is stopped
        then finds no room at the holder and continues at the very endpoint
        that it was to leave (`stream_moved outcome=RunKept`, followed by
        `request_sent` to the source).
        """
        if not stream.has_lasting_copy:
            await self._copy(stream, attempts, limiter)
        is_stop_due = self.clock() >= departure.removed_at - STOP_RESERVE_S
        if is_stop_due and not stream.ended.is_set():
            await self.stream_moves.stop(stream)

    async def _pause(
        self, stream: RunningStream, departure: Departure
    ) -> None:
        """Wait for the next check, or until the stop of the stream is due."""
        left_s = departure.removed_at - STOP_RESERVE_S - self.clock()
        with anyio.move_on_after(_check_delay_s(left_s)):
            await stream.ended.wait()

    async def _copy(
        self,
        stream: RunningStream,
        attempts: Counter[EndpointId],
        limiter: anyio.CapacityLimiter,
    ) -> None:
        """Copy a stream within the limit of concurrent copies."""
        async with limiter:
            if not stream.ended.is_set():
                await self.stream_moves.copy(stream, attempts)

    def _log_start(self, departure: Departure) -> None:
        log.info(
            'evacuation_began',
            endpoint=departure.record.id,
            streams=len(self._movable(departure.record)),
            left_s=round(departure.removed_at - self.clock(), 3),
            is_told=departure.record.leaves_at is not None,
            is_unanswered=departure.is_query_unanswered,
        )

    def _log_stays(
        self,
        stream: RunningStream,
        attempts: Counter[EndpointId],
        departure: Departure,
    ) -> None:
        """Log that a stream was not moved off its endpoint.

        With `has_ended` there was no need to move it; without, it is lost
        unless the request may be repeated.
        """
        log.info(
            'stream_stays',
            request=stream.request_id,
            endpoint=stream.record.id,
            has_ended=stream.ended.is_set(),
            copy_calls=attempts.total(),
            left_s=round(departure.removed_at - self.clock(), 3),
        )

    def _note_change(self, record: EndpointRecord) -> None:
        """Wake up the evacuation of an endpoint if it waits for a change."""
        changed = self._changed_by_endpoint.get(record)
        if changed is not None:
            changed.set()

    async def _wait_for_change(
        self, record: EndpointRecord, *, until: float
    ) -> None:
        """Wait until a stream begins or ends at an endpoint, or for a time.

        Only the one evacuation of the endpoint waits here. Nothing else runs
        between its look at the streams and this wait, so no change is missed.
        """
        changed = self._changed_by_endpoint[record] = anyio.Event()
        try:
            with anyio.move_on_after(max(until - self.clock(), MIN_WAIT_S)):
                await changed.wait()
        finally:
            del self._changed_by_endpoint[record]

    def _movable(self, record: EndpointRecord) -> list[RunningStream]:
        """Return the movable streams of an endpoint, largest first."""
        streams = self._by_endpoint.get(record, ())
        movable = [stream for stream in streams if stream.can_move]
        return sorted(movable, key=lambda each: -each.tokens)

    def _estimate_copies_s(self, record: EndpointRecord) -> float:
        """Return the estimated time to copy all streams of an endpoint.

        Other daemons copy their streams over the same link at the same time;
        these are assumed to be of the same size as the streams of this one.
        """
        own = self._by_endpoint.get(record, ())
        own_s = sum(stream.copy_time_s() for stream in own)
        all_requests = record.load.total(self.clock()).requests
        return own_s * max(1.0, all_requests / max(len(own), 1))


def _check_delay_s(left_s: float) -> float:
    """Return the wait until the next check, or until a due time if sooner.

    It is at least `MIN_WAIT_S`: a wait that is lost in floating-point rounding
    would not advance the clock, and would be repeated forever.
    """
    return (
        min(max(left_s, MIN_WAIT_S), CHECK_INTERVAL_S)
        if left_s > 0
        else CHECK_INTERVAL_S
    )
