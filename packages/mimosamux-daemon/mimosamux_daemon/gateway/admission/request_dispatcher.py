"""Decides which requests wait for an engine, and when each is sent.

A request that an engine can begin within its latency target is sent at once,
unless others wait. Otherwise it waits: it is chosen anew when room may have
come free, and is sent in time, sent late at the lowest priority, or refused.
Each daemon decides for its own requests.
"""

from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio

from mimosamux_daemon.domain.gateway import CallerGone
from mimosamux_daemon.domain.names import ServiceName
from mimosamux_daemon.domain.outcomes import Reason, Refused
from mimosamux_daemon.gateway.admission.answer_statistics import (
    AnswerStatistics,
)
from mimosamux_daemon.gateway.admission.load_shedding import (
    LoadShedding,
    counted_s,
    describe_estimate,
)
from mimosamux_daemon.gateway.admission.retry_times import RetryTimes
from mimosamux_daemon.gateway.admission.waiting_queue import (
    Placement,
    Unplaced,
    WaitingQueue,
    WaitingRequest,
    describe_placement,
)
from mimosamux_daemon.gateway.balancing.choice import Choice, Chooser
from mimosamux_daemon.gateway.jobs import Job
from mimosamux_daemon.gateway.metrics import GatewayMetrics
from mimosamux_daemon.logs import get_log

log = get_log('queueing')

MIN_LIMIT_TARGETS = 5.0
"""Time limit of a request, in latency targets, from which it may wait."""
MAX_WAITING = 32
"""Bound of the requests that wait for one service. At 2.5 times the usual
load, a daemon of the larger sites receives 30 requests within the longest
waits of its routes."""
MAX_WAITING_PER_ACCOUNT = 16
MAX_WAIT_SHARE = 0.5
"""Longest wait as a share of the time limit. The caller keeps the rest for a
retry at another daemon."""
LATE_MARGIN = 2.0
"""Factor on the estimated time of a late request, which has to end before its
deadline by this estimate: at the lowest priority, others overtake it."""
LATE_SLOT_SHARE = 0.1
"""Part of a service's slots that late requests of all daemons may take. Each
daemon has an equal part of it, and at least one slot."""
MAX_MISSES = 3
"""Choices in one pass that find no room, after which the pass ends. Such
a choice takes 0.2 to 0.5 ms."""
POLL_INTERVAL_S = 0.1
"""Longest time between two passes while requests wait. New digests and
changes of the endpoint list are noticed by it."""
MIN_PASS_INTERVAL_S = 0.01
"""Shortest time between two passes."""


@dataclass(kw_only=True, slots=True)
class RequestDispatcher:
    """The waiting requests of this daemon; `run` dispatches them."""

    shedding: LoadShedding
    retry_times: RetryTimes
    answers: AnswerStatistics
    chooser: Chooser
    is_flat: Callable[[], bool]
    """Whether digests arrive without relays; then no request waits."""
    daemons: Callable[[], int]
    wait_until_fresh: Callable[[], Awaitable[None]]
    """Returns once requests may be sent by the endpoint list."""
    digest_age_s: Callable[[], float]
    metrics: GatewayMetrics
    clock: Callable[[], float]
    is_closed: bool = False
    """Whether the daemon stops and lets no request wait."""
    late_by_service: Counter[ServiceName] = field(default_factory=Counter)
    """Late requests in flight."""
    _queue_by_service: dict[ServiceName, WaitingQueue] = field(
        default_factory=dict
    )
    _changed: anyio.Event = field(default_factory=anyio.Event)
    """Set when a pass is due, and replaced by a new one."""

    def handles(self, job: Job) -> bool:
        """Whether a request may wait, were it to begin late."""
        if job.sends or job.request.prompt is None or self.is_closed:
            return False
        if job.service.engine is None or self.is_flat():
            return False
        return job.limit_s >= MIN_LIMIT_TARGETS * job.route.latency_target_s

    async def place(
        self, job: Job, choice: Choice, choose: Callable[[Job], Choice | None]
    ) -> Placement:
        """Return where to send a request now, or its outcome.

        The request waits here if need be. `choice` is its first choice.
        """
        if job.is_late:
            # It was placed before, and the connection failed.
            return choice
        now = self.clock()
        queue = self._queue_of(job.service.name)
        waiting = WaitingRequest(
            job=job, choose=choose, estimate=choice, queued_at=now
        )
        is_late = self._would_be_late(waiting, counted_s(choice), now)
        self.shedding.note_offered(job)
        if not is_late and not queue.has_timely():
            self.shedding.note_admitted(job)
            return choice
        end_s = choice.first_event_s + self.answers.answer_s(job.route.name)
        if is_late and end_s > job.left_s(now):
            return self._refuse(waiting, describe_estimate(choice))
        evicted = queue.add(waiting)
        if evicted is not None:
            refused = self._refuse(evicted, 'too many requests wait')
            if evicted is waiting:
                return refused
            self._settle(evicted, refused)
        return await self._wait(queue, waiting)

    def note_room(self, service: ServiceName) -> None:
        """Have waiting requests chosen anew: room may have come free."""
        queue = self._queue_by_service.get(service)
        if queue:
            self._changed.set()

    def note_answer(self, job: Job, answer_s: float | None) -> None:
        """Note the end of an attempt, `answer_s` after its first event.

        None: its answer was not whole.
        """
        if answer_s is not None and not job.is_late:
            self.answers.note_answer(job.route.name, answer_s)
        self.note_room(job.service.name)

    def note_ended(self, job: Job) -> None:
        """Note the end of a request that was placed."""
        if job.is_late:
            self.late_by_service[job.service.name] -= 1

    def close(self) -> None:
        """Refuse all waiting requests, and let no further one wait."""
        self.is_closed = True
        for queue in self._queue_by_service.values():
            for waiting in queue.in_order():
                refused = self._refuse(
                    waiting, 'the daemon stops', reason=Reason.STOPPING
                )
                self._settle(waiting, refused)

    async def run(self) -> None:
        """Dispatch waiting requests until cancelled."""
        while True:
            await self._wait_for_change()
            await self.wait_until_fresh()
            self._changed = anyio.Event()
            for queue in self._queue_by_service.values():
                self._dispatch(queue)
            await anyio.sleep(MIN_PASS_INTERVAL_S)

    async def _wait_for_change(self) -> None:
        """Wait until a pass is due."""
        if not any(self._queue_by_service.values()):
            await self._changed.wait()
            return
        with anyio.move_on_after(POLL_INTERVAL_S):
            await self._changed.wait()

    async def _wait(
        self, queue: WaitingQueue, waiting: WaitingRequest
    ) -> Placement:
        """Wait for a placement; a caller that disconnects ends the wait.

        This holds for non-idempotent requests too: as the request has not
        been sent, it is not sent for nobody to receive its answer.
        """
        job = waiting.job
        self._changed.set()
        self._show_length(job.service.name)
        with anyio.CancelScope() as scope:
            if job.caller is not None:
                job.caller.cancel_on_disconnect(scope)
            try:
                await waiting.settled.wait()
            finally:
                self._end_wait(queue, waiting)
        if scope.cancel_called or waiting.placement is None:
            return CallerGone()
        return waiting.placement

    def _end_wait(self, queue: WaitingQueue, waiting: WaitingRequest) -> None:
        """Release what was reserved for a request, and record its wait."""
        job, placement = waiting.job, waiting.placement
        queue.remove(waiting)
        if isinstance(placement, Choice):
            placement.record.load.end(_counted_tokens(waiting, placement))
        now = self.clock()
        waited_s = now - waiting.queued_at
        outcome = describe_placement(placement, waiting)
        service = job.service.name
        self._show_length(service)
        self.metrics.note_wait(service, outcome, waited_s)
        log.info(
            'request_waited',
            request=job.request.id,
            route=job.route.name,
            waited_s=round(waited_s, 3),
            outcome=outcome,
            estimate_s=round(waiting.estimate.first_event_s, 3),
            news_age_s=round(self.digest_age_s(), 2),
            left_s=round(job.left_s(now), 2),
        )

    def _dispatch(self, queue: WaitingQueue) -> None:
        """Place all requests of a queue that can be placed now.

        Late ones are sent only if no other one waits: otherwise there is no
        spare room.
        """
        now = self.clock()
        for waiting in queue.in_order():
            waiting.is_late = self._would_be_late(
                waiting, self._counted_own_s(waiting), now
            )
            message = self._find_refusal_message(waiting, now)
            if message is not None:
                self._settle(waiting, self._refuse(waiting, message))
        ordered = queue.in_order()
        timely = [waiting for waiting in ordered if not waiting.is_late]
        self._send_timely(timely, now)
        if not queue.has_timely():
            self._send_late([each for each in ordered if each.is_late], now)

    def _send_timely(self, requests: list[WaitingRequest], now: float) -> None:
        """Send the requests that an engine can begin within their targets.

        A request is not chosen anew if the least wait that was found for an
        earlier one is already too long for it.
        """
        misses, least_wait_s = 0, 0.0
        for waiting in requests:
            least_s = least_wait_s + self._counted_own_s(waiting)
            if self._would_be_late(waiting, least_s, now):
                continue
            choice = self._choose(waiting)
            if choice is None:
                continue
            if not self._would_be_late(waiting, counted_s(choice), now):
                self._settle(waiting, choice)
                continue
            misses += 1
            if misses >= MAX_MISSES:
                return
            least_wait_s = choice.first_event_s - self._own_s(waiting)

    def _send_late(self, requests: list[WaitingRequest], now: float) -> None:
        """Send late requests to endpoints with spare room."""
        misses = 0
        for waiting in requests:
            service = waiting.job.service.name
            if self.late_by_service[service] >= self._late_limit(service):
                return
            choice = self._choose(waiting)
            if choice is None:
                continue
            if self._has_room(choice, now) and self._ends_in_time(
                waiting, choice.first_event_s, now
            ):
                self._settle(waiting, choice)
                continue
            misses += 1
            if misses >= MAX_MISSES:
                return

    def _choose(self, waiting: WaitingRequest) -> Choice | None:
        """Choose anew; a request that no endpoint takes leaves the queue."""
        choice = waiting.choose(waiting.job)
        if choice is None:
            self._settle(waiting, Unplaced())
        else:
            waiting.estimate = choice
        return choice

    def _settle(self, waiting: WaitingRequest, placement: Placement) -> None:
        """End a wait; the load of a placed request counts from now on."""
        queue = self._queue_of(waiting.job.service.name)
        waiting.placement = placement
        if isinstance(placement, Choice):
            if waiting.is_late:
                waiting.job.is_late = True
                self.late_by_service[waiting.job.service.name] += 1
            placement.record.load.begin(_counted_tokens(waiting, placement))
            self.shedding.note_admitted(waiting.job)
            queue.serve(waiting)
        else:
            queue.remove(waiting)
        waiting.settled.set()

    def _refuse(
        self,
        waiting: WaitingRequest,
        message: str,
        *,
        reason: Reason = Reason.NO_CAPACITY,
    ) -> Refused:
        """Return the refusal of a request."""
        job = waiting.job
        retry_after_s = self.retry_times.draw_s(
            job,
            late_s=self.shedding.late_s(job, counted_s(waiting.estimate)),
            ahead=len(self._queue_of(job.service.name)),
        )
        return Refused(
            reason=reason, message=message, retry_after_s=retry_after_s
        )

    def _find_refusal_message(
        self, waiting: WaitingRequest, now: float
    ) -> str | None:
        """Return why a request cannot be served, None if it still can."""
        own_s = self._own_s(waiting)
        if waiting.is_late and not self._ends_in_time(waiting, own_s, now):
            return 'it would end after its deadline'
        waited_s = now - waiting.job.request.received_at
        if waited_s > MAX_WAIT_SHARE * waiting.job.limit_s:
            return f'no engine had room for it in {waited_s:.2f} s'
        return None

    def _ends_in_time(
        self, waiting: WaitingRequest, first_event_s: float, now: float
    ) -> bool:
        """Whether a late request can end well before its deadline."""
        job = waiting.job
        end_s = first_event_s + self.answers.answer_s(job.route.name)
        return LATE_MARGIN * end_s <= job.left_s(now)

    def _would_be_late(
        self, waiting: WaitingRequest, first_event_s: float, now: float
    ) -> bool:
        """Whether a first event so long after now would be too late."""
        waited_s = now - waiting.job.request.received_at
        return self.shedding.late_s(waiting.job, waited_s + first_event_s) > 0

    def _counted_own_s(self, waiting: WaitingRequest) -> float:
        """Return the part of `_own_s` that counts against the target."""
        return self._own_s(waiting) - waiting.estimate.own_prefill_excess_s

    def _own_s(self, waiting: WaitingRequest) -> float:
        """Return the time to a request's first event at an idle engine.

        The engine is as fast as that of the estimate, whose parts this is
        compared with.
        """
        estimate = waiting.estimate
        speed = self.chooser.speed_of(waiting.job.service.name)
        own_s = speed.first_event_s(estimate.unread_tokens)
        return own_s * estimate.time_factor

    def _has_room(self, choice: Choice, now: float) -> bool:
        """Whether the chosen endpoint has a free slot by the reports."""
        record = choice.record
        load = self.chooser.forecast.load(record, now, is_engine=True)
        return load.requests < record.listed.slots

    def _late_limit(self, service: ServiceName) -> int:
        """Return how many late requests this daemon may have in flight."""
        slots = self.chooser.forecast.slots(service, self.clock())
        share = LATE_SLOT_SHARE * slots / max(self.daemons(), 1)
        return max(int(share), 1)

    def _queue_of(self, service: ServiceName) -> WaitingQueue:
        queue = self._queue_by_service.get(service)
        if queue is None:
            queue = self._queue_by_service[service] = WaitingQueue(
                max_waiting=MAX_WAITING,
                max_per_account=MAX_WAITING_PER_ACCOUNT,
            )
        return queue

    def _show_length(self, service: ServiceName) -> None:
        waiting = len(self._queue_of(service))
        self.metrics.waiting.set({'service': service}, waiting)


def _counted_tokens(waiting: WaitingRequest, choice: Choice) -> float:
    """Return the unread tokens to reserve; late ones delay no others."""
    return 0.0 if waiting.is_late else choice.unread_tokens
