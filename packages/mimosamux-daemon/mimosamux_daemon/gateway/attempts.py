"""Attempts to send a request to an endpoint, and the record of their results.

The result of each attempt is passed on to the endpoint's load and health, to
the crash and rollout statistics, to the metrics and to the log.
"""

import math
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from http import HTTPStatus

from mimosamux_daemon.domain.gateway import ListedEndpoint
from mimosamux_daemon.domain.http_messages import BodyFraming
from mimosamux_daemon.domain.names import ContentKey
from mimosamux_daemon.domain.stream_origins import StreamOrigin
from mimosamux_daemon.gateway.admission.request_dispatcher import (
    RequestDispatcher,
)
from mimosamux_daemon.gateway.answers.process_proofs import ProcessProofs
from mimosamux_daemon.gateway.balancing.choice import Choice, Chooser
from mimosamux_daemon.gateway.crashes.detector import CrashDetector
from mimosamux_daemon.gateway.jobs import Job
from mimosamux_daemon.gateway.limits.brittle_services import BrittleServices
from mimosamux_daemon.gateway.limits.endpoint_limits import EndpointLimits
from mimosamux_daemon.gateway.metrics import GatewayMetrics
from mimosamux_daemon.gateway.request_counts import RequestCounts
from mimosamux_daemon.gateway.roster import OWN_ANSWER, Roster
from mimosamux_daemon.gateway.streams.origin_exchange import OriginExchange
from mimosamux_daemon.gateway.trial_tallies import TrialTallies
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.endpoint_calls import (
    EndpointAnswer,
    EndpointCall,
    ProcessState,
    RequestRejected,
)

log = get_log('sends')

SILENCE_TARGET_SHARE = 0.7
"""Share of the latency target after which a request may be sent elsewhere
if its endpoint has not begun to answer: late enough to abandon few healthy
endpoints, early enough for another endpoint to answer in time."""
SILENCE_ESTIMATE_FACTOR = 3.0
"""The same limit as a multiple of the estimated time to the first event; the
later of the two limits applies."""

PART_CRASH_S = 1.0
"""Time from the first event within which a part of the prompt crashes an
endpoint, if it does."""

MAX_LOGGED_PARTS = 8
"""Keys of prompt parts in one line."""


@dataclass(kw_only=True, slots=True)
class Attempt:
    """One attempt to have an endpoint answer a request."""

    job: Job
    choice: Choice
    sent_at: float
    copy_source: str | None = None
    """Handle of the copy that it goes on from, None: from none."""
    may_have_run_before: bool
    """Whether the job may have run before this attempt."""
    silence_deadline: float
    """When the endpoint counts as silent if no answer has begun."""
    recorder: 'AttemptRecorder'
    origin: StreamOrigin = field(init=False)
    """Software that it was sent to, whatever the list shows later."""
    has_first_event: bool = False
    """Whether the prompt is prefilled, as the first event shows."""
    framing: BodyFraming = BodyFraming.NO_BODY
    """What marks the end of its answer."""
    via: str = ''
    """Address of the peer's tunnel that its answer comes through."""
    is_result_counted: bool = False
    """Whether the result was counted for the endpoint's health."""
    time_to_first_event_s: float | None = None
    """Time until the first event of a stream."""
    decoding_steps: int = 0
    """Events of a stream after those that arrived with the first."""
    are_parts_cleared: bool = False
    """Whether the answer went on for long enough to clear the prompt."""
    answer_s: float | None = None
    """Time from the first event to the end of a stream that was received as
    a whole from this endpoint."""

    def __post_init__(self) -> None:
        self.origin = StreamOrigin.of(self.endpoint)

    @property
    def endpoint(self) -> ListedEndpoint:
        """Return the endpoint's entry in the list."""
        return self.choice.record.listed

    @property
    def ends_with_connection(self) -> bool:
        """Whether only the end of its connection ends the answer."""
        return self.framing is BodyFraming.CONNECTION

    @property
    def counted_tokens(self) -> float:
        """Return the unread tokens that count as the endpoint's load.

        Engines prefill a late request after all others, so that its tokens
        delay none; counted, they would have others refused.
        """
        return 0.0 if self.job.is_late else self.choice.unread_tokens

    def call(self) -> EndpointCall:
        """Return the call to the endpoint for this attempt."""
        job, source = self.job, self.choice.fetch_from
        return EndpointCall(
            request=job.request,
            endpoint=self.endpoint,
            timeout_s=job.left_s(self.sent_at),
            has_caller_left=job.has_caller_left,
            is_endpoint_closed=self._is_endpoint_closed,
            account=None if job.account is None else job.account.id,
            priority=job.priority,
            resume=job.resume_point(),
            fetch_from=None if source is None else source.listed.address,
        )

    def _is_endpoint_closed(self) -> bool:
        """Whether the endpoint began to leave after it was chosen.

        A moved stream continues at the holder of its copy even if that one
        is leaving.
        """
        record = self.choice.record
        return self.job.move_target is None and not record.accepts_requests

    def note_caller_gone(self) -> None:
        """Record that the caller disconnected before a byte was sent."""
        self._undo_count()
        self._count('unawaited')
        self._log('caller_left_unsent')

    def note_connect_failed(self, reason: str) -> None:
        """Record that the connection failed and no byte was sent."""
        self._undo_count()
        self._count('unsent')
        record = self.choice.record
        self.recorder.roster.note_connect(record, failed=True)
        self._log('connect_failed', reason=reason)

    def _undo_count(self) -> None:
        """Undo the job's count of an attempt that was not sent."""
        self.job.sends -= 1
        self.job.may_have_run = self.may_have_run_before

    def note_connected(self) -> None:
        """Record a successful connection to the endpoint."""
        self.recorder.roster.note_connect(self.choice.record, failed=False)

    def note_response_head(
        self, answer: EndpointAnswer | RequestRejected
    ) -> None:
        """Update the endpoint's state from the head of a response.

        The endpoint list may report the same later, or not at all while the
        platform's store cannot be written.
        """
        record = self.choice.record
        roster = self.recorder.roster
        if not isinstance(answer, RequestRejected):
            self.framing, self.via = answer.framing, answer.via
        if not (
            isinstance(answer, RequestRejected) and answer.is_other_endpoint
        ):
            self.recorder.crash_detector.note_answer(record)
            self.recorder.process_proofs.note_answer(record, self.sent_at)
        if not isinstance(answer, RequestRejected):
            roster.note_acceptance(record, self.sent_at)
        elif answer.is_full and not self.job.is_resumed:
            # A full endpoint also rejects a resumed stream whose copy it has
            # lost; that says nothing about its load.
            roster.note_rejection(record, self.sent_at)
        if answer.retry_after_s is not None:
            roster.note_requested_pause(record, answer.retry_after_s)
        self.recorder.limits.note_answer(
            record,
            answer.limit_per_s,
            sent_at=self.sent_at,
            is_served=not isinstance(answer, RequestRejected)
            and answer.status < HTTPStatus.INTERNAL_SERVER_ERROR,
        )
        self.recorder.brittle.note_answer(
            record,
            answer.brittle_per_s,
            sent_at=self.sent_at,
            is_rejected=isinstance(answer, RequestRejected) and answer.is_full,
        )
        if answer.confirms_staying:
            record.confirmed_at = max(record.confirmed_at, self.sent_at)
        if answer.is_leaving:
            roster.note_leaving(
                record.id,
                left_s=None,
                source=OWN_ANSWER,
                incarnation=record.incarnation,
            )

    def note_rejection(self, answer: RequestRejected) -> None:
        """Record that the endpoint rejected the request without running it."""
        self.job.may_have_run = self.may_have_run_before
        self._count('turned_down')
        self._log('turned_down', status=answer.status)
        if answer.is_full and not self.job.is_resumed:
            self._count_trial_result(failed=True)
        if answer.is_other_endpoint:
            self.recorder.roster.note_replaced(self.choice.record)

    def note_broken(self, reason: str) -> None:
        """Record that no complete answer was received."""
        self.note_begun()
        self.note_result(failed=True)
        suspects = self.find_suspects()
        parts = [key for key in suspects if key != self.job.content]
        self._log(
            'call_broken',
            reason=reason,
            parts=','.join(parts[:MAX_LOGGED_PARTS]),
        )
        self.recorder.crash_detector.note_broken_answer(
            suspects, self.choice.record
        )

    async def find_process_state(self) -> ProcessState:
        """Return the state of the endpoint's process from now on."""
        return await self.recorder.process_proofs.find_state(
            self.choice.record
        )

    def note_whole_run(self) -> None:
        """Record that the request ran from start to end at this endpoint."""
        self.recorder.crash_detector.note_whole_run(
            self.choice.record,
            contents=self.job.suspect_keys,
            suspects=self.find_suspects(),
            ends_with_connection=self.ends_with_connection,
        )

    def find_suspects(self) -> tuple[ContentKey, ...]:
        """Return the keys of what may have crashed the endpoint, if it has.

        A part of a prompt crashes it when the answer begins. Accused later,
        parts of long answers would collect the crashes that others cause.
        """
        if self._is_under_way():
            return (self.job.content,)
        return self.job.suspect_keys

    def _is_under_way(self) -> bool:
        """Whether a part would have crashed the endpoint by now."""
        took_s = self.time_to_first_event_s
        return (
            took_s is not None
            and self.recorder.clock() - self.sent_at - took_s >= PART_CRASH_S
        )

    def note_silent(self) -> None:
        """Record that the endpoint is abandoned because it did not answer."""
        self.job.silent.add(self.endpoint.id)
        self.note_result(failed=True)
        self._log('endpoint_silent')

    def note_result(self, *, failed: bool) -> None:
        """Count a result for the endpoint's health, once for each attempt."""
        if not self.is_result_counted:
            self.is_result_counted = True
            self._count('failed' if failed else 'answered')
            now = self.recorder.clock()
            self.choice.record.health.note(now, failed=failed)
            self._count_trial_result(failed=failed)

    def note_begun(self) -> None:
        """Count the request as begun, once whatever its number of attempts."""
        job = self.job
        if not job.has_begun and job.account is not None:
            job.has_begun = True
            self.recorder.request_counts.increment(job.account.id)

    def note_first_event(self) -> None:
        """Record the first event of a stream: the prompt is prefilled.

        The time to it is a sample for the engine speed if no other prompt
        was queued at the endpoint.
        """
        self.silence_deadline = math.inf
        self.note_begun()
        self.has_first_event = True
        self.job.origin = self.job.origin or self.origin
        choice, prompt = self.choice, self.job.request.prompt
        took_s = self.time_to_first_event_s = (
            self.recorder.clock() - self.sent_at
        )
        self.recorder.metrics.first_event_s.observe(
            {'service': self.job.service.name}, took_s
        )
        choice.record.load.note_read(self.counted_tokens)
        self.recorder.dispatcher.note_room(self.job.service.name)
        chooser = self.recorder.chooser
        if not self.job.is_late:
            residence = chooser.forecast.residence(self.job.service.name)
            residence.prefill.add(took_s)
        if prompt is None:
            return
        record = choice.record
        chooser.prefix_index.note_read(record.id, prompt, record.incarnation)
        if choice.queued_tokens < 1 and not self.job.is_late:
            chooser.note_first_event(choice, took_s)

    def note_later_events(self, count: int) -> None:
        """Record events behind the first; they clear the prompt's parts.

        A whole run would clear them as well, but long answers would end too
        late, one after the other, beside a part that crashes their endpoints.
        """
        self.decoding_steps += count
        if not self.are_parts_cleared and self._is_under_way():
            self.are_parts_cleared = True
            if not self.job.is_resumed:
                self.recorder.crash_detector.on_whole_run(
                    self.job.part_id_by_key
                )

    def note_stream_end(self) -> None:
        """Record the end of a complete stream: a sample of decoding."""
        if (
            self.time_to_first_event_s is None
            or self.job.request.prompt is None
            # An engine interrupts a late request for more urgent ones.
            or self.job.is_late
        ):
            return
        passed_s = self.recorder.clock() - self.sent_at
        took_s = passed_s - self.time_to_first_event_s
        if not self.job.is_resumed:
            self.answer_s = took_s
        self.recorder.chooser.engine_factors.note_decoding(
            self.choice.record,
            self.job.route.name,
            steps=self.decoding_steps,
            took_s=took_s,
        )

    def _count_trial_result(self, *, failed: bool) -> None:
        """Count the result for a software version that is on trial."""
        job = self.job
        now = self.recorder.clock()
        took_s = (
            self.time_to_first_event_s if job.is_stream else now - self.sent_at
        )
        self.recorder.trials.note_end(
            job.service.name,
            job.route.name,
            self.endpoint.id,
            self.endpoint.software,
            failed=failed,
            # Every endpoint is slow after its start, whatever its version.
            # A late request waits there behind all others.
            took_s=None
            if job.is_late or self.choice.record.is_warming_up(now)
            else took_s,
            # With its time factor, a slow version would meet its estimates.
            expected_s=self.choice.first_event_s / self.choice.time_factor,
        )

    def _count(self, result: str) -> None:
        labels = {'service': self.job.service.name, 'result': result}
        self.recorder.metrics.sends.inc(labels)

    def _log(self, event: str, **fields: object) -> None:
        log.info(
            event,
            request=self.job.request.id,
            content=self.job.content,
            endpoint=self.endpoint.id,
            sends=self.job.sends,
            took_s=round(self.recorder.clock() - self.sent_at, 3),
            **fields,
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptRecorder:
    """Opens attempts, and passes their results to all who count them."""

    roster: Roster
    chooser: Chooser
    request_counts: RequestCounts
    crash_detector: CrashDetector
    process_proofs: ProcessProofs
    origins: OriginExchange
    limits: EndpointLimits
    brittle: BrittleServices
    trials: TrialTallies
    dispatcher: RequestDispatcher
    metrics: GatewayMetrics
    digest_age_s: Callable[[], float]
    """Age of the oldest peer digest that a choice of endpoint relies on."""
    list_age_s: Callable[[], float]
    """Age of the endpoint list that the choice relies on."""
    clock: Callable[[], float]

    @contextmanager
    def open(self, job: Job, choice: Choice) -> Iterator[Attempt]:
        """Count an attempt as in flight until the block ends.

        It counts before any byte is sent, because the deadline can pass
        while the request is being sent. If it counted only afterwards, a
        request that runs would be reported as not run.
        """
        now = self.clock()
        self._log_sent(job, choice)
        attempt = Attempt(
            job=job,
            choice=choice,
            sent_at=now,
            may_have_run_before=job.may_have_run,
            silence_deadline=now + _silence_limit_s(job, choice),
            copy_source=job.kv_source,
            recorder=self,
        )
        self.origins.note_send(job, attempt.origin)
        self.trials.note_send(job.service.name, attempt.endpoint.software)
        job.tried.add(choice.record.id)
        job.sends += 1
        job.may_have_run = True
        job.is_resumed = (
            job.last_event_id or job.request.last_event_id or job.kv_source
        ) is not None
        if choice.record.share is not None:
            choice.record.share.take(now)
        load, unread_tokens = choice.record.load, attempt.counted_tokens
        load.begin(unread_tokens)
        try:
            yield attempt
        finally:
            load.end(0.0 if attempt.has_first_event else unread_tokens)
            if attempt.is_result_counted:
                residence = self.chooser.forecast.residence(job.service.name)
                residence.request.add(self.clock() - now)
            self.dispatcher.note_answer(job, attempt.answer_s)

    def _log_sent(self, job: Job, choice: Choice) -> None:
        record, forecast = choice.record, self.chooser.forecast
        load = forecast.load(
            record,
            self.clock(),
            is_engine=job.service.engine is not None,
        )
        if forecast.is_active():
            self.metrics.forecast_sends.inc({'service': job.service.name})
        log.info(
            'request_sent',
            request=job.request.id,
            content=job.content,
            route=job.route.name,
            service=job.service.name,
            endpoint=record.id,
            software=record.listed.software,
            data_centre=record.listed.data_centre,
            estimate_s=round(choice.first_event_s, 3),
            time_factor=round(choice.time_factor, 3),
            unread_tokens=int(choice.unread_tokens),
            ahead_tokens=int(choice.queued_tokens),
            fetch_from=choice.fetch_from and choice.fetch_from.id,
            under_way=record.load.total(self.clock()).requests,
            forecast_load=round(load.requests, 2),
            report_age_s=load.report_age_s and round(load.report_age_s, 2),
            news_age_s=round(self.digest_age_s(), 2),
            list_age_s=round(self.list_age_s(), 2),
            left_s=round(job.left_s(self.clock()), 2),
            goes_on_behind=job.last_event_id or job.request.last_event_id,
            resumes=job.request.resumes,
        )


def _silence_limit_s(job: Job, choice: Choice) -> float:
    """Return for how long an endpoint may be silent, in seconds.

    A late request has no limit: it waits until the endpoint has nothing else
    to do, and its silence says nothing about the endpoint's health.
    """
    if job.is_late:
        return math.inf
    return max(
        SILENCE_TARGET_SHARE * job.route.latency_target_s,
        SILENCE_ESTIMATE_FACTOR * choice.first_event_s,
    )
