"""Moves one stream to another endpoint: copies it first, then stops it.

A call to a leaving engine can be lost, and then it is unknown whether the run
has stopped. The KV cache is therefore copied while the run continues, which
can fail and be retried without harm. Once a copy exists, the stream continues
from it whatever happens to the call that stops the run, or to the engine.
"""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from mimosamux_daemon.domain.names import EndpointId
from mimosamux_daemon.gateway.balancing.endpoint_record import EndpointRecord
from mimosamux_daemon.gateway.metrics import GatewayMetrics
from mimosamux_daemon.gateway.rollouts import Rollouts
from mimosamux_daemon.gateway.roster import Roster
from mimosamux_daemon.gateway.streams.running_stream import (
    RunningStream,
    StreamCopy,
)
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.run_moves import (
    CopyOutcome,
    MoveOutcome,
    NotMoved,
    RunCopied,
    RunKept,
    RunMoved,
    RunMoves,
)

log = get_log('stream_moves')

COPY_TIMEOUT_S = 0.4
"""Timeout of a copy call, on top of the estimated time of the copy. If the
call is lost, a second one still fits into the shortest notice, 1 s."""
STOP_TIMEOUT_S = 0.2
"""Timeout of the call that stops a run, and of a release. It is short as most
of the KV cache is copied by then, and the caller waits meanwhile."""
REMOTE_PENALTY_SHARE = 0.25
"""Load, as a share of an endpoint's slots, that a remote data centre counts
as: a copy within the same data centre takes half the time."""


@dataclass(kw_only=True, slots=True)
class StreamMoves:
    """Copies streams, stops them, and frees unneeded copies."""

    roster: Roster
    rollouts: Rollouts
    moves: RunMoves
    clock: Callable[[], float]
    rng: random.Random
    metrics: GatewayMetrics

    async def copy(
        self, stream: RunningStream, attempts: Counter[EndpointId]
    ) -> None:
        """Copy a stream's KV cache; `attempts` counts the calls by target."""
        target = self._find_target(stream, attempts)
        if target is None:
            return
        attempts[target.id] += 1
        async with stream.move_lock:
            outcome = await self.moves.copy(
                stream.record.listed,
                target.listed,
                stream.request_id,
                timeout_s=COPY_TIMEOUT_S + stream.copy_time_s(),
            )
        self._record_outcome(stream, target, outcome)
        if isinstance(outcome, RunCopied):
            stream.copy = StreamCopy(
                kv_source=outcome.kv_source, holder=target
            )

    async def stop(self, stream: RunningStream) -> None:
        """Stop the run of a copied stream, to continue it elsewhere."""
        async with stream.move_lock:
            copy = stream.copy
            if copy is None or stream.is_stopped:
                return
            was_stop_possible = stream.is_stop_possible
            stream.is_stop_possible = True
            outcome = await self.moves.move(
                stream.record.listed,
                copy.holder.listed,
                stream.request_id,
                timeout_s=STOP_TIMEOUT_S,
            )
            if isinstance(outcome, RunMoved):
                stream.copy = StreamCopy(
                    kv_source=outcome.kv_source, holder=copy.holder
                )
            elif (
                isinstance(outcome, RunKept)
                and not copy.holder.accepts_requests
            ):
                # The copy is lost with its holder; the source keeps the KV
                # cache until it is removed.
                stream.copy = StreamCopy(
                    kv_source=outcome.kv_source, holder=stream.record
                )
            stream.is_stopped = isinstance(outcome, RunMoved | RunKept)
            if isinstance(outcome, NotMoved):
                # An earlier order without an answer may have stopped it.
                stream.is_stop_possible = was_stop_possible
        self._record_outcome(stream, copy.holder, outcome)

    async def release(self, stream: RunningStream) -> None:
        """Free the copy of a stream that has ended at its endpoint."""
        if stream.copy is not None:
            await self.moves.release(
                stream.record.listed,
                stream.copy.kv_source,
                timeout_s=STOP_TIMEOUT_S,
            )

    def _find_target(
        self, stream: RunningStream, attempts: Counter[EndpointId]
    ) -> EndpointRecord | None:
        """Return the least loaded endpoint, preferring those with a free slot.

        Endpoints with a rate limit rank behind those without: streams that
        move at the same time would exceed it.

        Targets of earlier attempts rank behind the others but are retried: a
        lost call says nothing about its target. If only one endpoint is left,
        the stream would otherwise be lost with its own endpoint while there
        is time for another call (`stream_moved` once, then nothing).
        """
        now = self.clock()
        records = [
            record
            for record in self.roster.accepting(stream.service.name)
            if record.id != stream.record.id and not record.is_unreachable(now)
        ]
        records = self.rollouts.filter_for_stream(stream.origin, records)
        if not records:
            return None
        source_data_centre = stream.record.listed.data_centre

        def cost(
            record: EndpointRecord,
        ) -> tuple[bool, int, bool, float, float]:
            is_remote = record.listed.data_centre != source_data_centre
            slot_share = record.load.total(now).requests / record.listed.slots
            weighted_load = slot_share + REMOTE_PENALTY_SHARE * is_remote
            return (
                record.share is not None,
                attempts[record.id],
                slot_share >= 1,
                weighted_load,
                self.rng.random(),
            )

        return min(records, key=cost)

    def _record_outcome(
        self,
        stream: RunningStream,
        target: EndpointRecord,
        outcome: CopyOutcome | MoveOutcome,
    ) -> None:
        """Count and log the outcome of a call."""
        result = type(outcome).__name__
        self.metrics.moves.inc({'result': result})
        log.info(
            'stream_moved',
            request=stream.request_id,
            source=stream.record.id,
            target=target.id,
            tokens=stream.tokens,
            outcome=result,
            reason=getattr(outcome, 'reason', None),
        )
