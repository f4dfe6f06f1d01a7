"""Relays an endpoint's answer to the caller.

Streams of events are relayed event by event. Other answers are buffered until
they are complete, so that a broken one can be requested from another endpoint.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

import anyio

from mimosamux_daemon.domain.gateway import (
    AnswerTruncated,
    CallerGone,
    Delivered,
    GatewayOutcome,
)
from mimosamux_daemon.gateway.answers.answer_ends import find_cut
from mimosamux_daemon.gateway.attempts import Attempt
from mimosamux_daemon.gateway.events import EventSplitter
from mimosamux_daemon.gateway.jobs import Job
from mimosamux_daemon.gateway.streams.running_stream import RunningStream
from mimosamux_daemon.ports.endpoint_calls import CallBroken, EndpointAnswer

MAX_BUFFERED_BYTES = 1024 * 1024
"""Maximum size of a buffered answer. A longer one is relayed as it arrives,
and cannot be requested elsewhere if it breaks off. So is any large one while
callers hold too much."""

ResultT = TypeVar('ResultT')


@dataclass(frozen=True, kw_only=True, slots=True)
class NoAnswer:
    """The endpoint did not answer in time; another one may be tried."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CompleteAnswer:
    """An answer that was received to its end."""

    answer: EndpointAnswer
    body: bytes


@dataclass(kw_only=True, slots=True)
class FailoverWait:
    """Waits for an endpoint, until failing over to another is better."""

    attempt: Attempt
    may_fail_over: Callable[[], bool]
    """Whether the request may go elsewhere; takes a retry from the budget
    if so."""
    clock: Callable[[], float]
    waits_without_timeout: bool = False

    async def wait(
        self, receive: Callable[[], Awaitable[ResultT]]
    ) -> ResultT | NoAnswer:
        """Return what arrives; wait without time-out if failover is barred."""
        while not self.waits_without_timeout:
            if self.attempt.has_first_event:
                # A request does not fail over once its answer has begun, and
                # a timer for each event costs as much as relaying it.
                break
            timeout_s = self.attempt.silence_deadline - self.clock()
            with anyio.move_on_after(max(timeout_s, 0.0)):
                return await receive()
            if self.may_fail_over():
                self.attempt.note_silent()
                return NoAnswer()
            self.waits_without_timeout = True
        return await receive()


async def receive_complete(
    answer: EndpointAnswer, failover_wait: FailoverWait, job: Job
) -> CompleteAnswer | GatewayOutcome | CallBroken | NoAnswer:
    """Buffer an answer to its end; relay one for which there is no room."""
    body = bytearray()
    while True:
        part = await failover_wait.wait(answer.receive)
        if isinstance(part, CallBroken | NoAnswer):
            return part
        if part is None:
            cut = await find_cut(failover_wait.attempt)
            return cut or CompleteAnswer(answer=answer, body=bytes(body))
        body += part
        if len(body) > MAX_BUFFERED_BYTES or not job.sink.hold(len(body)):
            return await _relay_long(job, answer, failover_wait.attempt, body)


async def _relay_long(
    job: Job, answer: EndpointAnswer, attempt: Attempt, buffered: bytearray
) -> GatewayOutcome:
    is_sent = await job.sink.start(
        answer.status, answer.headers, _take(buffered)
    )
    while is_sent:
        part = await answer.receive()
        if part is None:
            part = await find_cut(attempt)
        if isinstance(part, CallBroken):
            return AnswerTruncated(reason=part.reason)
        if part is None:
            await job.sink.finish()
            return Delivered(status=answer.status)
        is_sent = await job.sink.write(part)
    return CallerGone()


def _take(buffered: bytearray) -> bytes:
    """Return what is buffered; only the caller of this keeps it then."""
    taken = bytes(buffered)
    buffered.clear()
    return taken


async def send_complete(job: Job, complete: CompleteAnswer) -> GatewayOutcome:
    """Send a complete answer to the caller."""
    answer = complete.answer
    is_sent = await job.sink.answer(
        answer.status, answer.headers, complete.body
    )
    return Delivered(status=answer.status) if is_sent else CallerGone()


async def relay_events(
    job: Job,
    answer: EndpointAnswer,
    stream: RunningStream,
    failover_wait: FailoverWait,
) -> GatewayOutcome | CallBroken | NoAnswer:
    """Relay complete events as they arrive."""
    attempt = failover_wait.attempt
    splitter = EventSplitter(behind=job.last_event_id)
    job.weights_version = answer.weights_version
    while True:
        part = await failover_wait.wait(answer.receive)
        if isinstance(part, CallBroken | NoAnswer):
            return part
        if part is None:
            break
        events = splitter.feed(part)
        problem = splitter.problem or _find_no_room(job, splitter)
        if problem is not None:
            return CallBroken(reason=problem)
        job.owes_event = splitter.has_partial or (
            job.owes_event and events is None
        )
        if events is None:
            continue
        if not attempt.has_first_event:
            attempt.note_first_event()
        else:
            attempt.note_later_events(events.count)
        job.events += events.count
        job.last_event_id = events.last_id or job.last_event_id
        if job.sink.is_started:
            is_sent = await job.sink.write(events.data)
        else:
            is_sent = await job.sink.start(
                answer.status, answer.headers, events.data
            )
        if not is_sent:
            return CallerGone()
    broken = await _find_break(job, attempt, stream)
    if broken is not None:
        return broken
    attempt.note_stream_end()
    await job.sink.finish()
    return Delivered(status=answer.status)


def _find_no_room(job: Job, splitter: EventSplitter) -> str | None:
    """Return that an event is too long for what callers may hold now."""
    if job.sink.hold(splitter.partial_bytes):
        return None
    return 'no room for a long event'


async def _find_break(
    job: Job, attempt: Attempt, stream: RunningStream
) -> CallBroken | None:
    """Return why a stream that has ended is not whole, None if it is."""
    if job.owes_event or not job.sink.is_started:
        return CallBroken(reason='ended within an event')
    return await find_cut(attempt, stream)
