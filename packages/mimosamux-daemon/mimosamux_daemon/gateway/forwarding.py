"""Forwards a request to endpoints, with retries, until it is answered.

Each request passes admission, the check for contents that crashed endpoints,
the choice of an endpoint and load shedding before it is sent; at larger sites
it can wait for an engine instead of being refused by the latter. A failed
attempt is repeated at another endpoint only where the route allows it, or
where the endpoint states that it has not run the request.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from http import HTTPStatus

import anyio

from mimosamux_daemon.domain.gateway import (
    AnswerTruncated,
    CallerGone,
    Delivered,
    GatewayOutcome,
    GatewayRequest,
    ScreenedRequest,
)
from mimosamux_daemon.domain.outcomes import Reason, Refused
from mimosamux_daemon.domain.routes import RouteKind
from mimosamux_daemon.domain.stream_origins import StreamOrigin
from mimosamux_daemon.gateway.admission.admission import Admission
from mimosamux_daemon.gateway.admission.endpoint_wait import EndpointWait
from mimosamux_daemon.gateway.admission.load_shedding import LoadShedding
from mimosamux_daemon.gateway.admission.request_dispatcher import (
    RequestDispatcher,
)
from mimosamux_daemon.gateway.admission.waiting_queue import (
    Placement,
    Unplaced,
)
from mimosamux_daemon.gateway.answers.answer_relay import (
    CompleteAnswer,
    FailoverWait,
    NoAnswer,
    receive_complete,
    relay_events,
    send_complete,
)
from mimosamux_daemon.gateway.attempts import Attempt, AttemptRecorder
from mimosamux_daemon.gateway.balancing.choice import Choice, Chooser
from mimosamux_daemon.gateway.crashes.quarantine import CrashQuarantine
from mimosamux_daemon.gateway.demand import Demand
from mimosamux_daemon.gateway.endpoint_reach import EndpointReach
from mimosamux_daemon.gateway.jobs import Job
from mimosamux_daemon.gateway.limits.brittle_services import BrittleServices
from mimosamux_daemon.gateway.limits.retry_budget import RetryBudget
from mimosamux_daemon.gateway.list_age import ListFreshness
from mimosamux_daemon.gateway.loop_lag import LoopLag
from mimosamux_daemon.gateway.outcome_log import OutcomeLog
from mimosamux_daemon.gateway.roster import Roster
from mimosamux_daemon.gateway.stopping.open_requests import OpenRequests
from mimosamux_daemon.gateway.stopping.stop_admission import StopAdmission
from mimosamux_daemon.gateway.streams.continuation import StreamContinuation
from mimosamux_daemon.gateway.streams.evacuation import Evacuation
from mimosamux_daemon.gateway.streams.resumption import StreamResumption
from mimosamux_daemon.gateway.streams.running_stream import RunningStream
from mimosamux_daemon.gateway.streams.version_users import VersionUsers
from mimosamux_daemon.ports.callers import AnswerSink, Caller
from mimosamux_daemon.ports.endpoint_calls import (
    CallBroken,
    CallerGoneBeforeSend,
    EndpointAnswer,
    EndpointCalls,
    NotSent,
    RequestRejected,
    SentRequest,
)

MAX_FAILED_CONNECTS = 4
"""Failed connection attempts after which a request is given up."""
TRANSIENT_RETRY_S = 0.1
"""Retry-after time for transient causes."""
NO_ENDPOINT_RETRY_S = 0.5
"""Retry-after time when no endpoint takes the request."""
ENDPOINT_RESTARTED = CallBroken(reason='the endpoint has started anew since')
"""Result of a call whose endpoint was restarted while it was in flight."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ContinueElsewhere:
    """The request continues at another endpoint."""


@dataclass(kw_only=True, slots=True)
class Forwarder:
    """Forwards requests; `forward` is called once for each."""

    admission: Admission
    roster: Roster
    chooser: Chooser
    list_freshness: ListFreshness
    calls: EndpointCalls
    budget: RetryBudget
    recorder: AttemptRecorder
    demand: Demand
    load_shedding: LoadShedding
    dispatcher: RequestDispatcher
    endpoint_wait: EndpointWait
    evacuation: Evacuation
    reach: EndpointReach
    brittle: BrittleServices
    quarantine: CrashQuarantine
    resumption: StreamResumption
    version_users: VersionUsers
    continuation: StreamContinuation
    outcomes: OutcomeLog
    open_requests: OpenRequests
    stop_admission: StopAdmission
    lag: LoopLag
    clock: Callable[[], float]

    def screen(self, request: GatewayRequest) -> ScreenedRequest | Refused:
        """Check a request by its head, before its body has arrived."""
        return self.admission.screen(request)

    async def forward(
        self, request: GatewayRequest, caller: Caller, sink: AnswerSink
    ) -> GatewayOutcome:
        """Forward a request and return its outcome."""
        try:
            return await self._forward(request, caller, sink)
        except BaseException as error:
            # Cancelled or failed, the request ends without an answer: without
            # a line of its own nobody could tell which one it was.
            self.outcomes.log_abandoned(request, error)
            raise

    async def _forward(
        self, request: GatewayRequest, caller: Caller, sink: AnswerSink
    ) -> GatewayOutcome:
        """Forward a request until its end.

        The time that the event loop lagged before it read the request counts
        against the request's deadline.
        """
        lag_s = self.lag.estimated_wait_s()
        if lag_s:
            request = replace(request, received_at=request.received_at - lag_s)
        job = await self._admit(request, caller, sink)
        if isinstance(job, CallerGone):
            self.outcomes.log_caller_gone(request)
            return job
        if isinstance(job, Refused):
            self.outcomes.log_refusal(request, job)
            return job
        job.caller = caller
        with self.open_requests.track() as ended_by_stop:
            outcome = await self._run_unless_quarantined(job, caller, lag_s)
        if ended_by_stop.cancelled_caught:
            outcome = self.stop_admission.cut(job)
        is_whole = is_whole_run(job, outcome)
        took_s = self.clock() - job.request.received_at
        if is_whole or took_s >= job.limit_s:
            # One that reached its limit would have taken longer still.
            self.stop_admission.answer_times.note(job.route.name, took_s)
        if isinstance(outcome, Refused) or not job.may_have_run:
            self.admission.refund_cap(job)
        self.outcomes.log_outcome(job, outcome)
        return outcome

    async def _admit(
        self, request: GatewayRequest, caller: Caller, sink: AnswerSink
    ) -> Job | Refused | CallerGone:
        """Return an admitted job, unless its caller leaves or the stop ends.

        A caller that disconnects while its request waits for a usage cap is
        not admitted afterwards: a request that may not be repeated would run
        with nobody to receive its answer.
        """
        with self.open_requests.track() as ended_by_stop:
            with anyio.CancelScope() as waiting:
                caller.cancel_on_disconnect(waiting)
                return await self.admission.admit(request, sink)
        if ended_by_stop.cancelled_caught:
            return self.stop_admission.refuse_unadmitted()
        return CallerGone()

    async def _run_unless_quarantined(
        self, job: Job, caller: Caller, lag_s: float
    ) -> GatewayOutcome:
        """Run a job unless its content is quarantined after crashes."""
        refusal = self.quarantine.find_refusal(job)
        refusal = refusal or await self.resumption.bind(job)
        if refusal is not None:
            return refusal
        self._count_demand(job)
        with self.quarantine.ending_wait(job) as wait:
            return await self._run_until_deadline(job, caller, lag_s)
        assert wait.cancelled_caught
        return self.quarantine.find_hold(job) or job.give_up(
            Reason.CRASHES_ENDPOINTS,
            'it was held back while it waited',
            retry_after_s=TRANSIENT_RETRY_S,
        )

    async def _run_until_deadline(
        self, job: Job, caller: Caller, lag_s: float
    ) -> GatewayOutcome:
        """Run a job until its deadline, or until its caller disconnects.

        A non-idempotent request runs on after its caller has disconnected.
        """
        if job.left_s(self.clock()) <= 0:
            return job.give_up(
                Reason.DEADLINE,
                f'it waited {lag_s:.1f} s here to be read',
                retry_after_s=TRANSIENT_RETRY_S,
            )
        outcome: GatewayOutcome = CallerGone()
        with anyio.move_on_after(job.left_s(self.clock())) as timer:
            with anyio.CancelScope() as scope:
                if job.route.kind is not RouteKind.NON_IDEMPOTENT:
                    caller.cancel_on_disconnect(scope)
                try:
                    outcome = await self._run(job)
                finally:
                    self.dispatcher.note_ended(job)
        if timer.cancelled_caught:
            outcome = self._end_at_deadline(job)
        return outcome

    def _count_demand(self, job: Job) -> None:
        """Count the request for the retry budget and the demand estimate."""
        self.budget.note_request(job.service.name)
        prompt = job.request.prompt
        if prompt is not None:
            busy_s = self.chooser.estimate_engine_s(job.service.name, prompt)
            self.demand.note(job.service.name, busy_s)

    async def _run(self, job: Job) -> GatewayOutcome:
        """Send a job to one endpoint after another until one settles it."""
        failed_connects = 0
        while True:
            await self.list_freshness.wait_until_fresh()
            choice = self._choose(job)
            if failed_connects >= MAX_FAILED_CONNECTS:
                return self._give_up_unplaced(job)
            placement = await self._place(job, choice)
            if isinstance(placement, Unplaced):
                if await self._wait_for_endpoint(job):
                    continue
                if job.return_to_silent():
                    continue
                return self._give_up_unplaced(job)
            if not isinstance(placement, Choice):
                return placement
            outcome = await self._attempt(job, placement)
            if isinstance(outcome, NotSent):
                failed_connects += 1
                ended = self._end_unconnected(job, outcome)
                if ended is not None:
                    return ended
            elif not isinstance(outcome, ContinueElsewhere):
                return outcome

    async def _wait_for_endpoint(self, job: Job) -> bool:
        """Wait until an endpoint may take a job; False if none does."""
        if await self.endpoint_wait.wait(job):
            return True
        return await self.brittle.wait_for_slot(job)

    def _end_unconnected(
        self, job: Job, failure: NotSent
    ) -> GatewayOutcome | None:
        """Return the outcome of a job that needs no further connection."""
        if not job.may_reconnect:
            return _failure_after_send(job, failure.reason)
        service, reach = job.service.name, self.reach
        if reach.is_cut_off_from(service) and not reach.can_tunnel_to(service):
            return self._give_up_unplaced(job)
        return None

    async def _place(self, job: Job, choice: Choice | None) -> Placement:
        """Return where to send a job now, possibly after a wait."""
        if choice is None:
            return Unplaced()
        if self.dispatcher.handles(job):
            return await self.dispatcher.place(job, choice, self._choose)
        return self.load_shedding.find_refusal(job, choice) or choice

    def _give_up_unplaced(self, job: Job) -> GatewayOutcome:
        """Return the outcome of a job that no endpoint takes."""
        name = job.service.name
        wait_s = self.roster.opens_in_s(name)
        if self.roster.is_withheld(name):
            return job.give_up(
                Reason.LIST_IS_OLD,
                f'each endpoint of {name} may have left since it was listed',
                retry_after_s=wait_s,
            )
        if wait_s > 0:
            return job.give_up(
                Reason.ENDPOINT_REJECTED,
                f'no endpoint of {name} wants more at the moment',
                retry_after_s=wait_s,
            )
        return job.give_up(
            Reason.NO_ENDPOINT,
            f'no endpoint of {name} takes it',
            retry_after_s=NO_ENDPOINT_RETRY_S,
        )

    def _choose(self, job: Job) -> Choice | None:
        """Return the endpoint for the next attempt, None if there is none.

        A stream that was moved goes to the endpoint that holds its copy.
        """
        if job.move_target is not None:
            record = self.roster.by_id.get(job.move_target)
            if record is not None:
                return Choice(record=record)
        return self.chooser.choose(
            job.service,
            job.route,
            job.request.prompt,
            request_id=job.request.id,
            trial_weight=self.recorder.trials.weight(
                job.service.name, job.route.name
            ),
            excluding=job.tried,
            is_spread=job.has_broken_off or self.quarantine.is_suspected(job),
            origin=self._find_origin(job),
        )

    async def _attempt(
        self, job: Job, choice: Choice
    ) -> GatewayOutcome | NotSent | ContinueElsewhere:
        """Make one attempt; it breaks off if the endpoint restarts."""
        refusal = self.stop_admission.find_refusal(job) or self._find_hold(job)
        if refusal is not None:
            return refusal
        with self.recorder.open(job, choice) as attempt:
            with choice.record.track_call(attempt.sent_at):
                outcome = await self._exchange(job, attempt)
                if is_whole_run(job, outcome):
                    attempt.note_whole_run()
                return outcome
            return self._handle_broken_call(job, attempt, ENDPOINT_RESTARTED)

    def _find_hold(self, job: Job) -> GatewayOutcome | None:
        """Return the outcome of a job that was quarantined since admission.

        A stream that has begun has shown that it crashes nothing.
        """
        held = None if job.sink.is_started else self.quarantine.find_hold(job)
        if held is not None and job.may_have_run:
            return job.fail(held.reason, held.message)
        return held

    async def _exchange(
        self, job: Job, attempt: Attempt
    ) -> GatewayOutcome | NotSent | ContinueElsewhere:
        """Send the request, and handle the response."""
        async with self.calls.send(attempt.call()) as sent:
            if isinstance(sent, NotSent):
                attempt.note_connect_failed(sent.reason)
                return sent
            if isinstance(sent, CallerGoneBeforeSend):
                attempt.note_caller_gone()
                return CallerGone()
            attempt.note_connected()
            job.kv_source = job.move_target = None
            if isinstance(sent, CallBroken):
                return self._handle_broken_call(job, attempt, sent)
            return await self._handle_answer(job, attempt, sent)

    async def _handle_answer(
        self, job: Job, attempt: Attempt, sent: SentRequest
    ) -> GatewayOutcome | ContinueElsewhere:
        """Wait for the head of the response, and handle the response."""
        failover_wait = FailoverWait(
            attempt=attempt,
            may_fail_over=lambda: self._take_retry(job),
            clock=self.clock,
        )
        answer = await failover_wait.wait(sent.answer)
        if isinstance(answer, NoAnswer):
            return ContinueElsewhere()
        if isinstance(answer, CallBroken):
            return self._handle_broken_call(job, attempt, answer)
        attempt.note_response_head(answer)
        if isinstance(answer, RequestRejected):
            return await self._handle_turned_down(job, attempt, answer)
        if job.is_stream and answer.status == HTTPStatus.OK:
            return await self._forward_stream(
                job, answer, attempt, failover_wait
            )
        if job.sink.is_started:
            return self._handle_unanswered_rest(job, answer, attempt)
        return await self._forward_whole(job, answer, attempt, failover_wait)

    def _handle_unanswered_rest(
        self, job: Job, answer: EndpointAnswer, attempt: Attempt
    ) -> GatewayOutcome | ContinueElsewhere:
        """Retry the rest of a stream that got another status, or end it.

        The caller has the head of the stream, behind which no other can come.
        """
        is_error = answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        attempt.note_result(failed=is_error)
        if is_error and self._take_retry(job):
            return ContinueElsewhere()
        return AnswerTruncated(
            reason=f'the endpoint answered {answer.status} for the rest'
        )

    async def _forward_whole(
        self,
        job: Job,
        answer: EndpointAnswer,
        attempt: Attempt,
        failover_wait: FailoverWait,
    ) -> GatewayOutcome | ContinueElsewhere:
        """Forward a whole response; retry a 5xx elsewhere if allowed."""
        attempt.note_begun()
        response = await receive_complete(answer, failover_wait, job)
        if isinstance(response, NoAnswer):
            return ContinueElsewhere()
        if isinstance(response, CallBroken):
            return self._handle_broken_call(job, attempt, response)
        if not isinstance(response, CompleteAnswer):
            return response
        is_error = answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        attempt.note_result(failed=is_error)
        if is_error and self._take_retry(job):
            return ContinueElsewhere()
        return await send_complete(job, response)

    async def _forward_stream(
        self,
        job: Job,
        answer: EndpointAnswer,
        attempt: Attempt,
        failover_wait: FailoverWait,
    ) -> GatewayOutcome | ContinueElsewhere:
        """Forward events until the stream ends, or continues elsewhere.

        A stream that breaks off continues from the copy of its KV cache, if
        there is one; otherwise it counts as a broken call.
        """
        prompt = job.request.prompt
        stream = RunningStream(
            request_id=job.request.id,
            service=job.service,
            record=attempt.choice.record,
            origin=attempt.origin,
            tokens=0 if prompt is None else prompt.tokens,
        )
        with self.evacuation.tracking(stream):
            ended = await relay_events(job, answer, stream, failover_wait)
        if isinstance(ended, NoAnswer):
            return ContinueElsewhere()
        if not isinstance(ended, CallBroken):
            attempt.note_result(failed=False)
            return ended
        # What leaves by announcement has not crashed under the request.
        may_go_on = (
            stream.record.is_leaving or not self.quarantine.is_quarantined(job)
        )
        if may_go_on:
            copy = await self.evacuation.claim_copy(stream)
            if copy is not None:
                attempt.note_result(failed=False)
                job.kv_source = copy.kv_source
                job.move_target = copy.holder.id
                return ContinueElsewhere()
        return self._handle_broken_call(job, attempt, ended)

    async def _handle_turned_down(
        self, job: Job, attempt: Attempt, answer: RequestRejected
    ) -> GatewayOutcome | ContinueElsewhere:
        """Retry a request that its endpoint rejected, or refuse it."""
        attempt.note_rejection(answer)
        if await self.continuation.wait(job, attempt, answer):
            return ContinueElsewhere()
        if self._take_retry(job, is_proven_not_run=True):
            return ContinueElsewhere()
        return job.give_up(
            Reason.ENDPOINT_REJECTED,
            f'the endpoint answered {answer.status}',
            retry_after_s=max(
                self.roster.opens_in_s(job.service.name), TRANSIENT_RETRY_S
            ),
        )

    def _handle_broken_call(
        self, job: Job, attempt: Attempt, broken: CallBroken
    ) -> GatewayOutcome | ContinueElsewhere:
        """Retry a request whose answer broke off, or fail it."""
        job.has_broken_off = True
        attempt.note_broken(broken.reason)
        if self._take_retry(job):
            return ContinueElsewhere()
        return _failure_after_send(job, broken.reason)

    def _take_retry(
        self, job: Job, *, is_proven_not_run: bool = False
    ) -> bool:
        """Whether the request may go to a further endpoint; spends a retry.

        `is_proven_not_run` is set if the endpoint states that it has not run
        the request. Only then may a non-repeatable request be sent again, and
        only if no earlier attempt may have run it.
        """
        if not job.route.may_repeat and (
            job.may_have_run or not is_proven_not_run
        ):
            return False
        if job.sends >= job.route.max_attempts:
            return False
        if not self.quarantine.may_retry(job, was_not_run=is_proven_not_run):
            return False
        if not self._has_alternative(job):
            return False
        return self.budget.take(job.service.name)

    def _has_alternative(self, job: Job) -> bool:
        """Whether there is an endpoint that has not been tried yet."""
        return bool(
            self.chooser.find_candidates(
                job.service.name,
                request_id=job.request.id,
                excluding=job.tried,
                origin=self._find_origin(job),
            )
        )

    def _find_origin(self, job: Job) -> StreamOrigin | None:
        """Return the only version that a request may be sent to, if any."""
        return job.origin or self.version_users.limit_begin(job)

    def _end_at_deadline(self, job: Job) -> GatewayOutcome:
        """Return the outcome of a job whose deadline has passed."""
        if job.sink.is_started:
            return AnswerTruncated(
                reason='no whole answer in time', cause=Reason.DEADLINE
            )
        return job.give_up(
            Reason.DEADLINE,
            'no answer in time',
            retry_after_s=TRANSIENT_RETRY_S,
        )


def is_whole_run(job: Job, outcome: object) -> bool:
    """Whether a request ran from start to end at one endpoint.

    An error answer is no such run: the endpoint may have made it before it
    began to work.
    """
    return (
        isinstance(outcome, Delivered)
        and outcome.status < HTTPStatus.INTERNAL_SERVER_ERROR
        and not job.is_resumed
    )


def _failure_after_send(job: Job, reason: str) -> GatewayOutcome:
    """Return the outcome of a request that failed and may have run."""
    if job.sink.is_started:
        return AnswerTruncated(reason=reason)
    return job.fail(Reason.ENDPOINT_FAILED, reason)
