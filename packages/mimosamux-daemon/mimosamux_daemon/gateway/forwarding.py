"""Passes a request on to endpoints until it has its answer."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from http import HTTPStatus

import anyio

from mimosamux_daemon.domain.gateway import (
    BrokenOff,
    CallerGone,
    Delivered,
    GatewayOutcome,
    GatewayRequest,
)
from mimosamux_daemon.domain.outcomes import Reason, Refused
from mimosamux_daemon.domain.routes import RouteKind
from mimosamux_daemon.gateway.admission import Admission
from mimosamux_daemon.gateway.choice import Choice, Chooser
from mimosamux_daemon.gateway.crash_holds import CrashHolds
from mimosamux_daemon.gateway.demand import Demand
from mimosamux_daemon.gateway.evacuation import Evacuation
from mimosamux_daemon.gateway.jobs import Job
from mimosamux_daemon.gateway.list_age import ListAge
from mimosamux_daemon.gateway.loop_lag import LoopLag
from mimosamux_daemon.gateway.outcome_log import OutcomeLog
from mimosamux_daemon.gateway.overload import Overload
from mimosamux_daemon.gateway.relay import (
    Patience,
    Silent,
    WholeAnswer,
    pass_on_whole,
    receive_whole,
    relay_events,
)
from mimosamux_daemon.gateway.retry_budget import RetryBudget
from mimosamux_daemon.gateway.roster import Roster
from mimosamux_daemon.gateway.running_stream import RunningStream
from mimosamux_daemon.gateway.sends import Send, SendNotes
from mimosamux_daemon.ports.callers import AnswerSink, Caller
from mimosamux_daemon.ports.endpoint_calls import (
    CallBroken,
    EndpointAnswer,
    EndpointCalls,
    NotAwaited,
    NotSent,
    SentRequest,
    TurnedDown,
)

CONNECTS = 4
"""Endpoints that cannot be connected to before a request is given up."""
SOON_S = 0.1
"""When to come again after a cause that passes quickly."""
NO_ENDPOINT_RETRY_S = 0.5
RESTARTED = CallBroken(reason='the endpoint has started anew since')


@dataclass(frozen=True, kw_only=True, slots=True)
class GoOn:
    """The request goes on at another endpoint."""


@dataclass(kw_only=True, slots=True)
class Forwarder:
    """Forwards requests, one call each."""

    admission: Admission
    roster: Roster
    chooser: Chooser
    list_age: ListAge
    calls: EndpointCalls
    budget: RetryBudget
    notes: SendNotes
    demand: Demand
    overload: Overload
    evacuation: Evacuation
    holds: CrashHolds
    outcomes: OutcomeLog
    lag: LoopLag
    clock: Callable[[], float]

    async def forward(
        self, request: GatewayRequest, caller: Caller, sink: AnswerSink
    ) -> GatewayOutcome:
        """Have a request answered; the outcome tells if it was not."""
        waited_s = self.lag.waited_s()
        if waited_s:
            request = replace(
                request, received_at=request.received_at - waited_s
            )
        with anyio.CancelScope() as waiting:
            # A caller that leaves while a cap is waited for is not let in
            # afterwards: what may not be repeated would run for nobody.
            caller.cancel_when_gone(waiting)
            job = await self.admission.admit(request, sink)
        if waiting.cancelled_caught:
            self.outcomes.note_left(request)
            return CallerGone()
        if isinstance(job, Refused):
            self.outcomes.note_refusal(request, job)
            return job
        job.caller = caller
        outcome = await self._run_unless_held(job, caller, waited_s)
        if isinstance(outcome, Delivered) and not job.is_resumed:
            self.holds.note_whole(job.content)
        if isinstance(outcome, Refused) or not job.may_have_run:
            self.admission.release_cap(job)
        self.outcomes.note_outcome(job, outcome)
        return outcome

    async def _run_unless_held(
        self, job: Job, caller: Caller, waited_s: float
    ) -> GatewayOutcome:
        held = self.holds.find_refusal(job.content)
        if held is not None:
            return held
        self._note_demand(job)
        return await self._run_in_time(job, caller, waited_s)

    async def _run_in_time(
        self, job: Job, caller: Caller, waited_s: float
    ) -> GatewayOutcome:
        if job.left_s(self.clock()) <= 0:
            return job.give_up(
                Reason.DEADLINE,
                f'it waited {waited_s:.1f} s here to be read',
                retry_after_s=SOON_S,
            )
        outcome: GatewayOutcome = CallerGone()
        with anyio.move_on_after(job.left_s(self.clock())) as timer:
            with anyio.CancelScope() as scope:
                if job.route.kind is not RouteKind.NON_IDEMPOTENT:
                    caller.cancel_when_gone(scope)
                outcome = await self._run(job)
        if timer.cancelled_caught:
            outcome = self._end_late(job)
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
            await self.list_age.wait_until_new()
            choice = self._choose(job)
            if choice is None or unsent >= CONNECTS:
                return self._give_up_unplaced(job)
            refused = self.overload.find_refusal(job, choice)
            if refused is not None:
                return refused
            outcome = await self._send(job, choice)
            if isinstance(outcome, NotSent):
                unsent += 1
                if not job.may_be_sent_anew:
                    return _break_off(job, outcome.reason)
            elif not isinstance(outcome, GoOn):
                return outcome

    def _give_up_unplaced(self, job: Job) -> GatewayOutcome:
        name = job.service.name
        wait_s = self.roster.opens_in_s(name)
        if wait_s > 0:
            return job.give_up(
                Reason.TURNED_DOWN,
                f'no endpoint of {name} wants more at the moment',
                retry_after_s=wait_s,
            )
        return job.give_up(
            Reason.NO_ENDPOINT,
            f'no endpoint of {name} takes it',
            retry_after_s=NO_ENDPOINT_RETRY_S,
        )

    def _choose(self, job: Job) -> Choice | None:
        if job.move_target is not None:
            record = self.roster.by_id.get(job.move_target)
            if record is not None:
                return Choice(record=record)
        return self.chooser.choose(
            job.service,
            job.route,
            job.request.prompt,
            request_id=job.request.id,
            trial_weight=self.notes.trials.weight(
                job.service.name, job.route.name
            ),
            excluding=job.tried,
            is_spread=job.has_broken or self.holds.is_suspected(job.content),
        )

    async def _send(
        self, job: Job, choice: Choice
    ) -> GatewayOutcome | NotSent | GoOn:
        with self.notes.open(job, choice) as send:
            with choice.record.sending(send.sent_at):
                return await self._exchange(job, send)
            return self._end_broken(job, send, RESTARTED)

    async def _exchange(
        self, job: Job, send: Send
    ) -> GatewayOutcome | NotSent | GoOn:
        async with self.calls.send(send.call()) as sent:
            if isinstance(sent, NotSent):
                send.note_unsent(sent.reason)
                return sent
            if isinstance(sent, NotAwaited):
                send.note_unawaited()
                return CallerGone()
            send.note_connected()
            job.kv_source = job.move_target = None
            if isinstance(sent, CallBroken):
                return self._end_broken(job, send, sent)
            return await self._take_answer(job, send, sent)

    async def _take_answer(
        self, job: Job, send: Send, sent: SentRequest
    ) -> GatewayOutcome | GoOn:
        patience = Patience(
            send=send,
            may_leave=lambda: self._may_send_again(job),
            clock=self.clock,
        )
        answer = await patience.wait(sent.answer)
        if isinstance(answer, Silent):
            return GoOn()
        if isinstance(answer, CallBroken):
            return self._end_broken(job, send, answer)
        send.note_head(answer)
        if isinstance(answer, TurnedDown):
            return self._end_turned_down(job, send, answer)
        if job.is_stream and answer.status == HTTPStatus.OK:
            return await self._relay(job, answer, send, patience)
        return await self._pass_on(job, answer, send, patience)

    async def _pass_on(
        self, job: Job, answer: EndpointAnswer, send: Send, patience: Patience
    ) -> GatewayOutcome | GoOn:
        """Pass a whole answer on; an error may be tried elsewhere first."""
        send.note_begun()
        whole = await receive_whole(answer, patience, job)
        if isinstance(whole, Silent):
            return GoOn()
        if isinstance(whole, CallBroken):
            return self._end_broken(job, send, whole)
        if not isinstance(whole, WholeAnswer):
            return whole
        is_error = answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        send.note_answer(failed=is_error)
        if is_error and self._may_send_again(job):
            return GoOn()
        return await pass_on_whole(job, whole)

    async def _relay(
        self, job: Job, answer: EndpointAnswer, send: Send, patience: Patience
    ) -> GatewayOutcome | GoOn:
        """Pass events on until they end, or the run has moved elsewhere."""
        prompt = job.request.prompt
        stream = RunningStream(
            request_id=job.request.id,
            service=job.service,
            record=send.choice.record,
            tokens=0 if prompt is None else prompt.tokens,
        )
        with self.evacuation.running(stream):
            ended = await relay_events(job, answer, send, patience)
        if isinstance(ended, Silent):
            return GoOn()
        if not isinstance(ended, CallBroken):
            send.note_answer(failed=False)
            return ended
        is_held = self.holds.is_held(job.content)
        if job.last_event_id is not None and not is_held:
            copy = await self.evacuation.claim_copy(stream)
            if copy is not None:
                send.note_answer(failed=False)
                job.kv_source = copy.kv_source
                job.move_target = copy.holder.id
                return GoOn()
        return self._end_broken(job, send, ended)

    def _end_turned_down(
        self, job: Job, send: Send, answer: TurnedDown
    ) -> GatewayOutcome | GoOn:
        send.note_unrun(answer)
        if self._may_send_again(job, is_proven_unrun=True):
            return GoOn()
        return job.give_up(
            Reason.TURNED_DOWN,
            f'the endpoint answered {answer.status}',
            retry_after_s=max(
                self.roster.opens_in_s(job.service.name), SOON_S
            ),
        )

    def _end_broken(
        self, job: Job, send: Send, broken: CallBroken
    ) -> GatewayOutcome | GoOn:
        job.has_broken = True
        send.note_broken(broken.reason)
        if self._may_send_again(job):
            return GoOn()
        return _break_off(job, broken.reason)

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
        if not self.holds.may_go_on(job.content, is_unrun=is_proven_unrun):
            return False
        if not self._has_other(job):
            return False
        return self.budget.take(job.service.name)

    def _has_other(self, job: Job) -> bool:
        return bool(
            self.chooser.find_open(
                job.service.name,
                request_id=job.request.id,
                excluding=job.tried,
            )
        )

    def _end_late(self, job: Job) -> GatewayOutcome:
        if job.sink.is_started:
            return BrokenOff(reason='no whole answer in time')
        return job.give_up(
            Reason.DEADLINE, 'no answer in time', retry_after_s=SOON_S
        )


def _break_off(job: Job, reason: str) -> GatewayOutcome:
    """Return the outcome of a request that may have run."""
    if job.sink.is_started:
        return BrokenOff(reason=reason)
    return job.fail(Reason.ENDPOINT_FAILED, reason)
