"""Takes one stream to another endpoint: copy first, stop afterwards.

A call to an engine that leaves can be lost like any other, and nobody can
tell then whether the run has stopped. So the memory is copied while the run
goes on, which may fail and be tried again without harm. Once a copy is
known, the stream goes on from it whatever becomes of the call that stops
the run, or of its engine.
"""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from mimosamux_daemon.domain.names import EndpointId
from mimosamux_daemon.gateway.endpoint_record import EndpointRecord
from mimosamux_daemon.gateway.metrics import GatewayMetrics
from mimosamux_daemon.gateway.rollouts import Rollouts
from mimosamux_daemon.gateway.roster import Roster
from mimosamux_daemon.gateway.running_stream import RunningStream, StreamCopy
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.run_moves import (
    CopyOutcome,
    MoveOutcome,
    RunCopied,
    RunKept,
    RunMoved,
    RunMoves,
)

log = get_log('stream_moves')

COPY_TIMEOUT_S = 0.4
"""Longest wait for an answer to a copy, on top of the copy's own time. One
that is lost leaves room for a second within the shortest notice, 1 s."""
STOP_TIMEOUT_S = 0.2
"""The same for the call that stops a run: most of its memory is copied by
then, and the caller waits meanwhile."""
FAR_SHARE = 0.25
"""Load, as a part of an endpoint's slots, that a target in the same data
centre may have more: a copy that stays there takes half the time."""


@dataclass(kw_only=True, slots=True)
class StreamMoves:
    """Copies streams, stops them, and frees copies that nobody needs."""

    roster: Roster
    rollouts: Rollouts
    moves: RunMoves
    clock: Callable[[], float]
    rng: random.Random
    metrics: GatewayMetrics

    async def copy(
        self, stream: RunningStream, tries: Counter[EndpointId]
    ) -> None:
        """Have a stream's memory copied; `tries` counts calls by target."""
        target = self._find_target(stream, tries)
        if target is None:
            return
        tries[target.id] += 1
        async with stream.changing:
            outcome = await self.moves.copy(
                stream.record.listed,
                target.listed,
                stream.request_id,
                timeout_s=COPY_TIMEOUT_S + stream.copy_s(),
            )
        self._note(stream, target, outcome)
        if isinstance(outcome, RunCopied):
            stream.copy = StreamCopy(
                kv_source=outcome.kv_source, holder=target
            )

    async def stop(self, stream: RunningStream) -> None:
        """Stop a stream that was copied, so that it goes on elsewhere."""
        async with stream.changing:
            copy = stream.copy
            if copy is None or stream.is_stopped:
                return
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
                # The copy is lost with its holder; the source has the run
                # for as long as it is there.
                stream.copy = StreamCopy(
                    kv_source=outcome.kv_source, holder=stream.record
                )
            stream.is_stopped = isinstance(outcome, RunMoved | RunKept)
        self._note(stream, copy.holder, outcome)

    async def release(self, stream: RunningStream) -> None:
        """Free the copy of a stream that has ended where it was."""
        if stream.copy is not None:
            await self.moves.release(
                stream.record.listed,
                stream.copy.kv_source,
                timeout_s=STOP_TIMEOUT_S,
            )

    def _find_target(
        self, stream: RunningStream, tries: Counter[EndpointId]
    ) -> EndpointRecord | None:
        """Return the least loaded endpoint, those with a free slot first.

        One that names a limit comes behind those that do not: streams that
        move together would exceed it.

        One that was tried comes behind the others, but is tried again: a
        call that was lost says nothing of its target, and where only one
        endpoint is left, the stream would end with its own while there is
        time for another call (`stream_moved` once, then nothing).
        """
        now = self.clock()
        records = [
            record
            for record in self.roster.open_to(stream.service.name)
            if record.id != stream.record.id and not record.is_unreachable(now)
        ]
        records = self.rollouts.filter_endpoints(
            stream.service.name,
            records,
            request_id=stream.request_id,
            allow_trial=False,
        )
        if not records:
            return None
        here = stream.record.listed.data_centre

        def cost(
            record: EndpointRecord,
        ) -> tuple[bool, int, bool, float, float]:
            is_far = record.listed.data_centre != here
            share = record.load.total(now).requests / record.listed.slots
            wait = share + FAR_SHARE * is_far
            return (
                record.share is not None,
                tries[record.id],
                share >= 1,
                wait,
                self.rng.random(),
            )

        return min(records, key=cost)

    def _note(
        self,
        stream: RunningStream,
        target: EndpointRecord,
        outcome: CopyOutcome | MoveOutcome,
    ) -> None:
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
