"""Passes answers on: whole ones, and streams event by event."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

import anyio

from mimosamux_daemon.domain.gateway import (
    BrokenOff,
    CallerGone,
    Delivered,
    GatewayOutcome,
)
from mimosamux_daemon.gateway.attempts import Attempt
from mimosamux_daemon.gateway.events import EventSplitter
from mimosamux_daemon.gateway.jobs import Job
from mimosamux_daemon.ports.endpoint_calls import CallBroken, EndpointAnswer

MAX_BUFFERED_BYTES = 1024 * 1024
"""Answers up to this size are received whole before any of it is passed
on, so that one that breaks off can still be had elsewhere."""

ResultT = TypeVar('ResultT')


@dataclass(frozen=True, kw_only=True, slots=True)
class Silent:
    """The endpoint has not begun to answer, and is left for another."""


@dataclass(frozen=True, kw_only=True, slots=True)
class WholeAnswer:
    """An answer that was received to its end."""

    answer: EndpointAnswer
    body: bytes


@dataclass(kw_only=True, slots=True)
class Patience:
    """Waits for an endpoint, until it is better left for another one."""

    attempt: Attempt
    may_leave: Callable[[], bool]
    """Whether the request may go elsewhere; spends a retry if so."""
    clock: Callable[[], float]
    is_over: bool = False

    async def wait(
        self, receive: Callable[[], Awaitable[ResultT]]
    ) -> ResultT | Silent:
        """Return what comes; once it may not be left, wait for good."""
        while not self.is_over:
            if self.attempt.has_first_event:
                # Nothing leaves an endpoint whose answer has begun, and a
                # timer for each event costs as much as passing it on.
                break
            left_s = self.attempt.silence_deadline - self.clock()
            with anyio.move_on_after(max(left_s, 0.0)):
                return await receive()
            if self.may_leave():
                self.attempt.note_silent()
                return Silent()
            self.is_over = True
        return await receive()


async def receive_whole(
    answer: EndpointAnswer, patience: Patience, job: Job
) -> WholeAnswer | GatewayOutcome | CallBroken | Silent:
    """Return a whole answer; one that is too long is passed on at once."""
    body = bytearray()
    while True:
        part = await patience.wait(answer.receive)
        if isinstance(part, CallBroken | Silent):
            return part
        if part is None:
            return WholeAnswer(answer=answer, body=bytes(body))
        body += part
        if len(body) > MAX_BUFFERED_BYTES:
            return await _pass_on_long(job, answer, bytes(body))


async def _pass_on_long(
    job: Job, answer: EndpointAnswer, first: bytes
) -> GatewayOutcome:
    is_sent = await job.sink.start(answer.status, answer.headers, first)
    while is_sent:
        part = await answer.receive()
        if isinstance(part, CallBroken):
            return BrokenOff(reason=part.reason)
        if part is None:
            await job.sink.finish()
            return Delivered(status=answer.status)
        is_sent = await job.sink.write(part)
    return CallerGone()


async def pass_on_whole(job: Job, whole: WholeAnswer) -> GatewayOutcome:
    """Give a whole answer to the caller."""
    answer = whole.answer
    is_sent = await job.sink.answer(answer.status, answer.headers, whole.body)
    return Delivered(status=answer.status) if is_sent else CallerGone()


async def relay_events(
    job: Job, answer: EndpointAnswer, attempt: Attempt, patience: Patience
) -> GatewayOutcome | CallBroken | Silent:
    """Pass events on as they arrive, whole ones only."""
    splitter = EventSplitter()
    job.weights_version = answer.weights_version
    while True:
        part = await patience.wait(answer.receive)
        if isinstance(part, CallBroken | Silent):
            return part
        if part is None:
            break
        events = splitter.feed(part)
        if events is None:
            continue
        if not attempt.has_first_event:
            attempt.note_first_event()
        job.last_event_id = events.last_id or job.last_event_id
        if job.sink.is_started:
            is_sent = await job.sink.write(events.data)
        else:
            is_sent = await job.sink.start(
                answer.status, answer.headers, events.data
            )
        if not is_sent:
            return CallerGone()
    if splitter.has_partial or not job.sink.is_started:
        return CallBroken(reason='ended within an event')
    await job.sink.finish()
    return Delivered(status=answer.status)
