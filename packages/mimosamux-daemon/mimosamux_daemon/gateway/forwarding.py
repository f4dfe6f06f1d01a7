"""Passes a request on to endpoints until it has its answer."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from http import HTTPStatus

import anyio

from mimosamux_daemon.domain.gateway import GatewayRequest
from mimosamux_daemon.domain.outcomes import Reason, Refused
from mimosamux_daemon.domain.routes import RouteKind
from mimosamux_daemon.gateway.admission import Admission
from mimosamux_daemon.gateway.begun_counts import BegunCounts
from mimosamux_daemon.gateway.choice import Choice, Chooser
from mimosamux_daemon.gateway.demand import Demand
from mimosamux_daemon.gateway.evacuation import Evacuation, RunningStream
from mimosamux_daemon.gateway.events import EventSplitter
from mimosamux_daemon.gateway.jobs import (
    BrokenOff,
    CallerGone,
    Delivered,
    GatewayOutcome,
    Job,
)
from mimosamux_daemon.gateway.outcome_log import log_outcome, log_refusal
from mimosamux_daemon.gateway.overload import Overload
from mimosamux_daemon.gateway.retry_budget import RetryBudget
from mimosamux_daemon.gateway.roster import Roster
from mimosamux_daemon.gateway.sinks import AnswerSink, Caller
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.endpoint_calls import (
    CallBroken,
    EndpointAnswer,
    EndpointCall,
    EndpointCalls,
    NotSent,
    TurnedDown,
)
from mimosamux_daemon.ports.run_moves import RunKept, RunMoved

log = get_log('forwarding')

CONNECTS = 4
"""Endpoints that cannot be connected to before a request is given up."""
SOON_S = 0.1
"""When to come again after a cause that passes quickly."""
NO_ENDPOINT_RETRY_S = 0.5
MAX_BUFFERED_BYTES = 1024 * 1024
"""Answers up to this size are received whole before any of it is passed
on, so that one that breaks off can still be had elsewhere."""


@dataclass(kw_only=True, slots=True)
class _Progress:
    """What one send has still to read at its endpoint."""

    choice: Choice
    sent_at: float
    is_read: bool = False


@dataclass(kw_only=True, slots=True)
class Forwarder:
    """Forwards requests, one call each."""

    admission: Admission
    roster: Roster
    chooser: Chooser
    calls: EndpointCalls
    budget: RetryBudget
    begun: BegunCounts
    demand: Demand
    overload: Overload
    evacuation: Evacuation
    clock: Callable[[], float]

    async def forward(
        self, request: GatewayRequest, caller: Caller, sink: AnswerSink
    ) -> GatewayOutcome:
        """Have a request answered; the outcome tells if it was not."""
        job = self.admission.admit(request, sink)
        if isinstance(job, Refused):
            log_refusal(request, job)
            return job
        self._note_demand(job)
        outcome: GatewayOutcome = CallerGone()
        with anyio.move_on_after(job.left_s(self.clock())) as timer:
            with anyio.CancelScope() as scope:
                if job.route.kind is not RouteKind.NON_IDEMPOTENT:
                    caller.cancel_when_gone(scope)
                outcome = await self._run(job)
        if timer.cancelled_caught:
            outcome = self._end_late(job)
        if isinstance(outcome, Refused):
            self.admission.release_cap(job)
        log_outcome(job, outcome, now=self.clock())
        return outcome

    def _note_demand(self, job: Job) -> None:
        self.budget.note_request(job.service.name)
        prompt = job.request.prompt
        if prompt is not None:
            busy_s = self.chooser.busy_s(job.service.name, prompt)
            self.demand.note(job.service.name, busy_s)

    async def _run(self, job: Job) -> GatewayOutcome:
        unsent = 0
        while True:
            choice = self._choose(job)
            if choice is None or unsent >= CONNECTS:
                return job.give_up(
                    Reason.NO_ENDPOINT,
                    f'no endpoint of {job.service.name} takes it',
                    retry_after_s=NO_ENDPOINT_RETRY_S,
                )
            refused = self.overload.find_refusal(job, choice)
            if refused is not None:
                return refused
            outcome = await self._send(job, choice)
            if isinstance(outcome, NotSent):
                unsent += 1
                if not job.may_be_sent_anew:
                    return self._broken_off(job, outcome.reason)
            elif outcome is not None:
                return outcome

    def _choose(self, job: Job) -> Choice | None:
        if job.move_target is not None:
            record = self.roster.by_id.get(job.move_target)
            if record is not None:
                return Choice(record=record)
        return self.chooser.choose(
            job.service,
            job.route,
            job.request.prompt,
            excluding=job.tried,
        )

    async def _send(
        self, job: Job, choice: Choice
    ) -> GatewayOutcome | NotSent | None:
        """Return the outcome, or None to go on at another endpoint."""
        record = choice.record
        job.tried.add(record.id)
        now = self.clock()
        call = EndpointCall(
            request=job.request,
            endpoint=record.listed,
            left_s=job.left_s(now),
            account=None if job.account is None else job.account.id,
            resume=job.resume_point(),
        )
        progress = _Progress(choice=choice, sent_at=now)
        sending = job.begin_send()
        with self._counted(progress):
            async with self.calls.send(call) as answer:
                if isinstance(answer, NotSent):
                    sending.note_unsent()
                    self._note_unsent(job, record.id, answer)
                    self.roster.note_connect(record, failed=True)
                    return answer
                self.roster.note_connect(record, failed=False)
                job.kv_source = job.move_target = None
                if isinstance(answer, TurnedDown):
                    sending.note_unrun()
                    return self._turned_down(job, record.id, answer)
                if isinstance(answer, CallBroken):
                    self._note_begun(job)
                    return self._broken(job, record.id, answer)
                if job.is_stream and answer.status == HTTPStatus.OK:
                    return await self._relay(job, answer, progress)
                self._note_begun(job)
                return await self._pass_on(job, answer, progress)

    @contextmanager
    def _counted(self, progress: _Progress) -> Iterator[None]:
        """Count a send as under way at its endpoint."""
        load = progress.choice.record.load
        unread = progress.choice.unread_tokens
        load.begin(unread)
        try:
            yield
        finally:
            load.end(0.0 if progress.is_read else unread)

    async def _pass_on(
        self, job: Job, answer: EndpointAnswer, progress: _Progress
    ) -> GatewayOutcome | None:
        """Pass a whole answer on."""
        body = bytearray()
        while (part := await answer.receive()) is not None:
            if isinstance(part, CallBroken):
                record = progress.choice.record
                return self._broken(job, record.id, part)
            body += part
            if len(body) > MAX_BUFFERED_BYTES:
                return await self._pass_on_long(job, answer, bytes(body))
        is_error = answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if is_error and self._may_send_again(job):
            log.info(
                'answer_is_error',
                request=job.request.id,
                status=answer.status,
                endpoint=progress.choice.record.id,
            )
            return None
        is_sent = await job.sink.answer(
            answer.status, answer.headers, bytes(body)
        )
        return Delivered(status=answer.status) if is_sent else CallerGone()

    async def _pass_on_long(
        self, job: Job, answer: EndpointAnswer, first: bytes
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

    async def _relay(
        self, job: Job, answer: EndpointAnswer, progress: _Progress
    ) -> GatewayOutcome | None:
        """Pass events on until they end, or the run has moved elsewhere."""
        prompt = job.request.prompt
        stream = RunningStream(
            request_id=job.request.id,
            service=job.service,
            record=progress.choice.record,
            tokens=0 if prompt is None else prompt.tokens,
        )
        with self.evacuation.running(stream):
            ended = await self._relay_events(job, answer, progress)
        if not isinstance(ended, CallBroken):
            return ended
        outcome = await stream.find_move()
        if isinstance(outcome, RunMoved | RunKept) and job.last_event_id:
            self._go_on_at(job, stream, outcome)
            return None
        return self._broken(job, progress.choice.record.id, ended)

    def _go_on_at(
        self, job: Job, stream: RunningStream, outcome: RunMoved | RunKept
    ) -> None:
        """Have a run that was stopped go on where its memory is."""
        target = stream.record
        if isinstance(outcome, RunMoved) and stream.target is not None:
            target = stream.target
        job.kv_source = outcome.kv_source
        job.move_target = target.id

    async def _relay_events(
        self, job: Job, answer: EndpointAnswer, progress: _Progress
    ) -> GatewayOutcome | CallBroken:
        """Pass events on as they arrive, whole ones only."""
        splitter = EventSplitter()
        job.weights_version = answer.weights_version
        while (part := await answer.receive()) is not None:
            if isinstance(part, CallBroken):
                return part
            events = splitter.feed(part)
            if events is None:
                continue
            if not progress.is_read:
                self._note_first_event(job, progress)
            job.last_event_id = events.last_id or job.last_event_id
            if job.sink.is_started:
                is_sent = await job.sink.write(events.data)
            else:
                is_sent = await job.sink.start(
                    answer.status, answer.headers, events.data
                )
            if not is_sent:
                return CallerGone()
        if splitter.has_rest or not job.sink.is_started:
            return CallBroken(reason='ended within an event')
        await job.sink.finish()
        return Delivered(status=answer.status)

    def _note_first_event(self, job: Job, progress: _Progress) -> None:
        self._note_begun(job)
        progress.is_read = True
        choice = progress.choice
        choice.record.load.note_read(choice.unread_tokens)
        prompt = job.request.prompt
        if prompt is None:
            return
        self.chooser.parts.note_read(choice.record.id, prompt)
        if choice.ahead_tokens < 1:
            self.chooser.speed_of(job.service.name).note(
                choice.unread_tokens, self.clock() - progress.sent_at
            )

    def _note_begun(self, job: Job) -> None:
        if not job.has_begun and job.account is not None:
            job.has_begun = True
            self.begun.note(job.account.id)

    def _note_unsent(self, job: Job, endpoint: str, answer: NotSent) -> None:
        log.info(
            'connect_failed',
            request=job.request.id,
            endpoint=endpoint,
            reason=answer.reason,
        )

    def _turned_down(
        self, job: Job, endpoint: str, answer: TurnedDown
    ) -> GatewayOutcome | None:
        log.info(
            'turned_down',
            request=job.request.id,
            endpoint=endpoint,
            status=answer.status,
        )
        if self._may_send_again(job, is_proven_unrun=True):
            return None
        return job.give_up(
            Reason.TURNED_DOWN,
            f'the endpoint answered {answer.status}',
            retry_after_s=answer.retry_after_s or SOON_S,
        )

    def _broken(
        self, job: Job, endpoint: str, broken: CallBroken
    ) -> GatewayOutcome | None:
        log.info(
            'call_broken',
            request=job.request.id,
            endpoint=endpoint,
            reason=broken.reason,
        )
        if self._may_send_again(job):
            return None
        return self._broken_off(job, broken.reason)

    def _broken_off(self, job: Job, reason: str) -> GatewayOutcome:
        if job.sink.is_started:
            return BrokenOff(reason=reason)
        return job.fail(Reason.ENDPOINT_FAILED, reason)

    def _may_send_again(
        self, job: Job, *, is_proven_unrun: bool = False
    ) -> bool:
        """Whether it may go to a further endpoint; spends a retry."""
        if not job.route.may_repeat and (
            job.may_have_run or not is_proven_unrun
        ):
            return False
        if job.sends >= job.route.max_endpoints:
            return False
        return self.budget.take(job.service.name)

    def _end_late(self, job: Job) -> GatewayOutcome:
        if job.sink.is_started:
            return BrokenOff(reason='no whole answer in time')
        if job.sends or job.may_have_run:
            return job.fail(Reason.DEADLINE, 'no answer in time')
        return job.give_up(
            Reason.NO_ENDPOINT, 'not sent in time', retry_after_s=SOON_S
        )
