"""One send of a request to one endpoint, and what is noted of it."""

import math
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from http import HTTPStatus

from mimosamux_daemon.domain.gateway import ListedEndpoint
from mimosamux_daemon.gateway.begun_counts import BegunCounts
from mimosamux_daemon.gateway.choice import Choice, Chooser
from mimosamux_daemon.gateway.crash_watch import CrashWatch
from mimosamux_daemon.gateway.endpoint_limits import EndpointLimits
from mimosamux_daemon.gateway.jobs import Job
from mimosamux_daemon.gateway.metrics import GatewayMetrics
from mimosamux_daemon.gateway.roster import OWN_ANSWER, Roster
from mimosamux_daemon.gateway.trial_tallies import TrialTallies
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.endpoint_calls import (
    EndpointAnswer,
    EndpointCall,
    TurnedDown,
)

log = get_log('sends')

SILENT_SHARE = 0.7
"""Share of the latency target after which an endpoint that has not begun
to answer may be left for another, where that is allowed: late enough that
few well ones are, early enough for the other to be in time."""
SILENT_FACTOR = 3.0
"""The same as a multiple of the time that the answer was to take."""


@dataclass(kw_only=True, slots=True)
class Send:
    """A request under way at one endpoint."""

    job: Job
    choice: Choice
    sent_at: float
    could_have_run: bool
    """Whether the job may have run before this send."""
    silent_at: float
    """When the endpoint counts as silent unless it has begun to answer."""
    notes: 'SendNotes'
    is_read: bool = False
    """Whether the endpoint has read the prompt."""
    is_answered: bool = False
    first_s: float | None = None
    """Time until the first event of a stream."""

    @property
    def endpoint(self) -> ListedEndpoint:
        """Return the endpoint's entry in the list."""
        return self.choice.record.listed

    def call(self) -> EndpointCall:
        """Return the call as it goes out."""
        job, source = self.job, self.choice.fetch_from
        return EndpointCall(
            request=job.request,
            endpoint=self.endpoint,
            left_s=job.left_s(self.sent_at),
            has_caller_left=job.has_caller_left,
            is_too_late=self._is_too_late,
            account=None if job.account is None else job.account.id,
            priority=job.priority,
            resume=job.resume_point(),
            fetch_from=None if source is None else source.listed.address,
        )

    def _is_too_late(self) -> bool:
        """Whether the endpoint began to leave after it was chosen.

        What goes on from a copy goes where the copy is, whoever leaves.
        """
        record = self.choice.record
        return self.job.move_target is None and not record.takes_work

    def note_unawaited(self) -> None:
        """Note that the caller left before a byte was sent."""
        self._take_back()
        self._count('unawaited')
        self._log('caller_left_unsent')

    def note_unsent(self, reason: str) -> None:
        """Note that no byte was sent."""
        self._take_back()
        self._count('unsent')
        record = self.choice.record
        self.notes.roster.note_connect(record, failed=True)
        self._log('connect_failed', reason=reason)

    def _take_back(self) -> None:
        self.job.sends -= 1
        self.job.may_have_run = self.could_have_run

    def note_connected(self) -> None:
        """Note that the endpoint was reached."""
        self.notes.roster.note_connect(self.choice.record, failed=False)

    def note_head(self, answer: EndpointAnswer | TurnedDown) -> None:
        """Note what the start of an answer says of its endpoint.

        The list may tell later, or not at all while it cannot be written.
        """
        record = self.choice.record
        roster = self.notes.roster
        if not (isinstance(answer, TurnedDown) and answer.is_other_endpoint):
            self.notes.crashes.note_answer(record)
        if not isinstance(answer, TurnedDown):
            roster.note_taken(record, self.sent_at)
        elif answer.is_full and not self.job.is_resumed:
            # What goes on from a copy is turned down where the copy is gone.
            roster.note_refusal(record, self.sent_at)
        if answer.retry_after_s is not None:
            roster.note_rest(record, answer.retry_after_s)
        self.notes.limits.note_answer(
            record,
            answer.limit_per_s,
            sent_at=self.sent_at,
            is_served=not isinstance(answer, TurnedDown)
            and answer.status < HTTPStatus.INTERNAL_SERVER_ERROR,
        )
        if answer.is_leaving:
            roster.note_leaving(
                record.id,
                left_s=None,
                source=OWN_ANSWER,
                incarnation=record.incarnation,
            )

    def note_unrun(self, answer: TurnedDown) -> None:
        """Note that the endpoint says that it has not run the request."""
        self.job.may_have_run = self.could_have_run
        self._count('turned_down')
        self._log('turned_down', status=answer.status)
        if answer.is_full and not self.job.is_resumed:
            self._note_trial(failed=True)
        if answer.is_other_endpoint:
            self.notes.roster.note_replaced(self.choice.record)

    def note_broken(self, reason: str) -> None:
        """Note that no whole answer came."""
        self.note_begun()
        self.note_answer(failed=True)
        self._log('call_broken', reason=reason)
        self.notes.crashes.note_broken(self.job.content, self.choice.record)

    def note_silent(self) -> None:
        """Note that the endpoint is left for its silence."""
        self.note_answer(failed=True)
        self._log('endpoint_silent')

    def note_answer(self, *, failed: bool) -> None:
        """Count an answer for the endpoint's health, once for each send."""
        if not self.is_answered:
            self.is_answered = True
            self._count('failed' if failed else 'answered')
            now = self.notes.clock()
            self.choice.record.health.note(now, failed=failed)
            self._note_trial(failed=failed)

    def note_begun(self) -> None:
        """Count the request as begun, once however often it is sent."""
        job = self.job
        if not job.has_begun and job.account is not None:
            job.has_begun = True
            self.notes.begun.note(job.account.id)

    def note_first_event(self) -> None:
        """Note that the prompt was read and the answer has begun."""
        self.silent_at = math.inf
        self.note_begun()
        self.is_read = True
        choice, prompt = self.choice, self.job.request.prompt
        took_s = self.first_s = self.notes.clock() - self.sent_at
        self.notes.metrics.first_event_s.observe(
            {'service': self.job.service.name}, took_s
        )
        choice.record.load.note_read(choice.unread_tokens)
        if prompt is None:
            return
        chooser = self.notes.chooser
        record = choice.record
        chooser.parts.note_read(record.id, prompt, record.incarnation)
        if choice.ahead_tokens < 1:
            speed = chooser.speed_of(self.job.service.name)
            speed.note(choice.unread_tokens, took_s)

    def _note_trial(self, *, failed: bool) -> None:
        """Count the end for a version that is under trial, if one is."""
        job = self.job
        now = self.notes.clock()
        took_s = self.first_s if job.is_stream else now - self.sent_at
        self.notes.trials.note_end(
            job.service.name,
            job.route.name,
            self.endpoint.id,
            self.endpoint.software,
            failed=failed,
            # Each start is slow for a while, whatever its version.
            took_s=None if self.choice.record.is_cold(now) else took_s,
            expected_s=self.choice.first_event_s,
        )

    def _count(self, result: str) -> None:
        labels = {'service': self.job.service.name, 'result': result}
        self.notes.metrics.sends.inc(labels)

    def _log(self, event: str, **fields: object) -> None:
        log.info(
            event,
            request=self.job.request.id,
            content=self.job.content,
            endpoint=self.endpoint.id,
            sends=self.job.sends,
            took_s=round(self.notes.clock() - self.sent_at, 3),
            **fields,
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class SendNotes:
    """Where sends are counted."""

    roster: Roster
    chooser: Chooser
    begun: BegunCounts
    crashes: CrashWatch
    limits: EndpointLimits
    trials: TrialTallies
    metrics: GatewayMetrics
    news_age_s: Callable[[], float]
    """Age of the oldest digest that the choice rested on."""
    list_age_s: Callable[[], float]
    """Age of the list of endpoints that it rested on."""
    clock: Callable[[], float]

    @contextmanager
    def open(self, job: Job, choice: Choice) -> Iterator[Send]:
        """Count a send as under way until the block ends.

        It counts before any byte of it leaves: the time limit can strike
        while it is under way. Counted only afterwards, a request that runs
        would be called not run.
        """
        now = self.clock()
        limit_s = max(
            SILENT_SHARE * job.route.target_s,
            SILENT_FACTOR * choice.first_event_s,
        )
        self._log_sent(job, choice)
        send = Send(
            job=job,
            choice=choice,
            sent_at=now,
            could_have_run=job.may_have_run,
            silent_at=now + limit_s,
            notes=self,
        )
        self.trials.note_send(job.service.name, send.endpoint.software)
        job.tried.add(choice.record.id)
        job.sends += 1
        job.may_have_run = True
        job.is_resumed = (
            job.last_event_id or job.request.last_event_id
        ) is not None
        if choice.record.share is not None:
            choice.record.share.take(now)
        load, unread = choice.record.load, choice.unread_tokens
        load.begin(unread)
        try:
            yield send
        finally:
            load.end(0.0 if send.is_read else unread)

    def _log_sent(self, job: Job, choice: Choice) -> None:
        record = choice.record
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
            unread_tokens=int(choice.unread_tokens),
            ahead_tokens=int(choice.ahead_tokens),
            fetch_from=choice.fetch_from and choice.fetch_from.id,
            under_way=record.load.total(self.clock()).requests,
            news_age_s=round(self.news_age_s(), 2),
            list_age_s=round(self.list_age_s(), 2),
            left_s=round(job.left_s(self.clock()), 2),
            goes_on_behind=job.last_event_id,
        )
